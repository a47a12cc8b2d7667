//! A whole fleet in one process on loopback, to try things out.

use clap::Parser;
use dogwoodshunt_local::Fleet;
use dogwoodshunt_local::Plan;
use dogwoodshunt_local::operator;
use dogwoodshunt_runtime::settings::LogLevel;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::shutdown;
use dogwoodshunt_runtime::telemetry;
use smol::Timer;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

/// Adapters that are in force from the start.
const SAMPLES: [&str; 3] = ["roast-schedule", "contract-reader", "cut-plan"];

/// Time between two tries to submit the sample note while the fleet starts.
const SUBMIT_PAUSE: Duration = Duration::from_millis(100);

/// A whole fleet in one process on loopback, to try things out.
///
/// Starts one entry, two agents and stand-ins for two engines, a plain
/// service, the key-value service, the weight store and the host list, and
/// puts a few sample adapters into force. Ctrl-C stops it.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Address for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    callers: SocketAddr,
    /// Address for operators.
    #[arg(long, default_value = "127.0.0.1:8081")]
    operators: SocketAddr,
    /// Log every event, not only warnings.
    #[arg(long)]
    verbose: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let telemetry = TelemetrySettings {
        log_level: if cli.verbose {
            LogLevel::Info
        } else {
            LogLevel::Warning
        },
        statsd: None,
    };
    let log = telemetry::logger(&telemetry, "dogwoodshunt-local", "local");
    let plan = Plan {
        callers: Some(cli.callers),
        operators: Some(cli.operators),
        ..Plan::default()
    };
    smol::block_on(async {
        let fleet = Fleet::start(&plan, &log).await?;
        put_samples_into_force(&fleet).await?;
        println!("callers    http://{}", cli.callers);
        println!("operators  http://{}", cli.operators);
        println!("adapters   {}", SAMPLES.join(", "));
        println!("try:");
        println!(
            "  curl -N http://{}/v1/completions -H 'content-type: application/json' \
             -d '{{\"model\": \"{}\", \"prompt\": \"hello\", \"max_tokens\": 8, \"stream\": true}}'",
            cli.callers, SAMPLES[0]
        );
        shutdown::requested().await?;
        Ok(())
    })
}

async fn put_samples_into_force(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let operators = fleet.operators[0];
    operator::wait_ready(&fleet.client, operators).await;
    loop {
        let added = operator::add(&fleet.client, operators, "samples", &SAMPLES, "1").await;
        match added {
            Ok((200, _)) => return Ok(()),
            Ok((202 | 503, _)) | Err(_) => Timer::after(SUBMIT_PAUSE).await,
            Ok((status, answer)) => return Err(format!("status {status}: {answer}").into()),
        };
    }
}
