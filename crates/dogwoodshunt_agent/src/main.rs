//! The process beside an upstream host's engines and services.

use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_agent::Agent;
use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::shutdown;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// The process beside an upstream host's engines and services.
///
/// It is the only way to its host's upstreams: it loads adapters into engines,
/// queues requests and passes answers back to the entries. SIGTERM makes it
/// take no new work, finish what is in flight and exit.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a settings file and exits: 0 if it is good, 2 if not.
    Check {
        /// Settings file, JSON with comments.
        settings: PathBuf,
    },
    /// Runs the agent.
    Run {
        /// Settings file, JSON with comments.
        settings: PathBuf,
    },
}

/// Exit code for settings that are refused.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let (path, run) = match Cli::parse().command {
        Command::Check { settings } => (settings, false),
        Command::Run { settings } => (settings, true),
    };
    let settings: AgentSettings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if !run {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    let threads = usize::try_from(settings.traffic_threads)?;
    let (traffic, _threads) = traffic::start(threads)?;
    let log = telemetry::logger(
        &settings.telemetry,
        "dogwoodshunt-agent",
        &settings.node.name,
    );
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let wait = async move {
        let _ = shutdown::requested().await;
        drop(stop);
    };
    traffic.spawn(wait).detach();
    smol::block_on(async {
        let agent = Agent::bind(settings, traffic, log).await?;
        agent.run(stopped).await;
        Ok(())
    })
}
