//! A long run of the whole system as processes under random faults.

use clap::Parser;
use dogwoodshunt_proof::soak;
use dogwoodshunt_proof::soak::Plan;
use std::process::ExitCode;
use std::time::Duration;

/// Runs entries, agents and stand-ins under load and random faults, then
/// compares what callers were told with what really ran.
///
/// The programs `dogwoodshunt-entry` and `dogwoodshunt-agent` must stand
/// beside this one. Exit code 0: no contradiction was found.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// How long to inject faults, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Seed of every random choice.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time between two requests, in milliseconds.
    #[arg(long, default_value_t = 10)]
    period_ms: u64,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let plan = Plan {
        length: Duration::from_secs(cli.seconds),
        seed: cli.seed,
        period: Duration::from_millis(cli.period_ms),
    };
    let outcome = match smol::block_on(soak::run(&plan)) {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("seconds={} seed={} {outcome}", cli.seconds, cli.seed);
    for violation in &outcome.violations {
        println!("violation: {violation}");
    }
    if outcome.violations.is_empty() && outcome.recovered {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
