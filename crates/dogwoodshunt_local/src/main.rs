//! A whole fleet in one process on loopback, to try things out.

use clap::Parser;
use dogwoodshunt_local::Fleet;
use dogwoodshunt_local::Plan;
use dogwoodshunt_local::samples;
use dogwoodshunt_runtime::settings::LogLevel;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::shutdown::StopSignals;
use dogwoodshunt_runtime::telemetry;
use std::error::Error;
use std::net::SocketAddr;

/// Adapters that are in force from the start.
const SAMPLES: [&str; 3] = ["roast-schedule", "contract-reader", "cut-plan"];

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
    let (log, _flushed_last) = telemetry::logger(&telemetry, "dogwoodshunt-local", "local");
    let plan = Plan {
        callers: Some(cli.callers),
        operators: Some(cli.operators),
        ..Plan::default()
    };
    smol::block_on(async {
        let fleet = Fleet::start(&plan, &log).await?;
        let operator = fleet.operator(0);
        operator.wait_ready().await;
        samples::add(&operator, "samples", &SAMPLES, "1").await?;
        println!("callers    http://{}", cli.callers);
        println!("operators  http://{}", cli.operators);
        println!("adapters   {}", SAMPLES.join(", "));
        println!("try:");
        println!(
            "  curl -N http://{}/v1/completions -H 'content-type: application/json' \
             -d '{{\"model\": \"{}\", \"prompt\": \"hello\", \"max_tokens\": 8, \"stream\": true}}'",
            cli.callers, SAMPLES[0]
        );
        StopSignals::take()?.requested().await?;
        Ok(())
    })
}
