//! Command line of the soak test.

use clap::Parser;
use dogwoodshunt_proof::soak;
use dogwoodshunt_proof::soak::SoakConfig;
use std::process::ExitCode;
use std::time::Duration;

/// Runs entries, agents and stand-ins under load and random faults, then
/// compares the outcomes that callers saw with the requests that ran.
///
/// The programs `dogwoodshunt-entry` and `dogwoodshunt-agent` must be in the
/// directory of this program. Exit code 0: no violation was found, and enough
/// requests succeeded, also after the last fault was cleared.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Duration of the fault injection, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Seed of the random faults, releases and requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time between the starts of two requests, in milliseconds.
    #[arg(long, default_value_t = 10)]
    period_ms: u64,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let config = SoakConfig {
        duration: Duration::from_secs(cli.seconds),
        seed: cli.seed,
        request_interval: Duration::from_millis(cli.period_ms),
    };
    let report = match smol::block_on(soak::run(&config)) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("seconds={} seed={} {report}", cli.seconds, cli.seed);
    for violation in &report.violations {
        println!("violation: {violation}");
    }
    if report.violations.is_empty() && report.recovered {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
