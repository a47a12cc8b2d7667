//! The process that takes callers' requests.

use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_entry::Entry;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::shutdown;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// The process that takes callers' requests.
///
/// It chooses an agent for each request, passes the answer on and serves the
/// operators' interface. SIGTERM makes it take no new requests, answer those
/// in flight and exit.
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
    /// Runs the entry.
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
    let settings: EntrySettings = match settings::read(&path) {
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

fn serve(settings: EntrySettings) -> Result<(), Box<dyn Error>> {
    let threads = usize::try_from(settings.traffic_threads)?;
    let (traffic, _threads) = traffic::start(threads)?;
    let log = telemetry::logger(
        &settings.telemetry,
        "dogwoodshunt-entry",
        &settings.node.name,
    );
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let wait = async move {
        let _ = shutdown::requested().await;
        drop(stop);
    };
    traffic.spawn(wait).detach();
    smol::block_on(async {
        let entry = Entry::bind(settings, traffic, log).await?;
        entry.run(stopped).await?;
        Ok(())
    })
}
