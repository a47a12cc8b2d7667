//! Entry point of `dogwoodshunt-local`.

use clap::Parser;
use dogwoodshunt_local::FleetConfig;
use dogwoodshunt_local::LocalFleet;
use dogwoodshunt_local::samples;
use dogwoodshunt_runtime::settings::LogLevel;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::shutdown::StopSignals;
use dogwoodshunt_runtime::telemetry;
use std::error::Error;
use std::net::SocketAddr;

/// Adapters that the fleet serves from the start.
const SAMPLE_ADAPTERS: [&str; 3] = ["roast-schedule", "contract-reader", "cut-plan"];

/// Runs a complete fleet in one process on the loopback interface, for local experiments.
///
/// Starts one entry, two agents and stand-ins for two engines, a plain
/// service, the key-value service, the weight store and the host list, and
/// releases a few sample adapters. Ctrl-C stops the fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Address on which the entry listens for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    callers: SocketAddr,
    /// Address on which the entry listens for operators.
    #[arg(long, default_value = "127.0.0.1:8081")]
    operators: SocketAddr,
    /// Log all events instead of only warnings and errors.
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
    let (log, _flush_guard) = telemetry::logger(&telemetry, "dogwoodshunt-local", "local");
    let config = FleetConfig {
        caller_address: Some(cli.callers),
        operator_address: Some(cli.operators),
        ..FleetConfig::default()
    };
    smol::block_on(async {
        let fleet = LocalFleet::start(&config, &log).await?;
        let operator = fleet.operator(0);
        operator.wait_until_ready().await;
        samples::submit_adapters(&operator, "samples", &SAMPLE_ADAPTERS, "1").await?;
        println!("callers    http://{}", cli.callers);
        println!("operators  http://{}", cli.operators);
        println!("adapters   {}", SAMPLE_ADAPTERS.join(", "));
        println!("try:");
        println!(
            "  curl -N http://{}/v1/completions -H 'content-type: application/json' \
             -d '{{\"model\": \"{}\", \"prompt\": \"hello\", \"max_tokens\": 8, \"stream\": true}}'",
            cli.callers, SAMPLE_ADAPTERS[0]
        );
        StopSignals::register()?.recv().await?;
        Ok(())
    })
}
