//! What the mains of entry and agent share: `check` and `run`.

use crate::reload::ReloadSignals;
use crate::reload::Reloader;
use crate::settings;
use crate::settings::Checked;
use crate::settings::TelemetrySettings;
use crate::shutdown::StopSignals;
use crate::telemetry;
use crate::traffic;
use crate::traffic::Traffic;
use async_channel::Receiver;
use clap::Subcommand;
use slog::Logger;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that are refused.
const BAD_SETTINGS: u8 = 2;

/// What to do with a settings file.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a settings file and exits: 0 if it is good, 2 if not.
    Check {
        /// Settings file, JSON with comments.
        settings: PathBuf,
    },
    /// Runs the program.
    Run {
        /// Settings file, JSON with comments.
        #[arg(env = "DOGWOODSHUNT_CONFIG")]
        settings: PathBuf,
    },
}

/// Settings of a program that runs until it is told to stop.
pub trait ProgramSettings: Checked {
    /// Returns the name of this node.
    fn node(&self) -> &str;

    /// Returns how many threads carry traffic.
    fn traffic_threads(&self) -> u64;

    /// Returns where logs and metrics go.
    fn telemetry(&self) -> &TelemetrySettings;
}

/// What a program runs with.
pub struct Surroundings {
    /// Traffic threads.
    pub traffic: Traffic,
    /// Logger of the process.
    pub log: Logger,
    /// Closes on SIGTERM and SIGINT.
    pub stop: Receiver<()>,
    /// The settings file.
    pub settings: PathBuf,
    /// SIGHUP, where the program has taken it over.
    pub reload: Option<ReloadSignals>,
}

impl Surroundings {
    /// Returns settings as they change; those that are refused are only logged.
    pub fn settings_changes<S: Checked + Send + 'static>(&mut self) -> Receiver<S> {
        let (changes, changed) = async_channel::bounded(1);
        let reloader = Reloader::new(self.settings.clone(), self.log.clone());
        let signals = self.reload.take();
        self.traffic.spawn(reloader.work(signals, changes)).detach();
        changed
    }
}

/// Carries out `command` of program `name`; `serve` runs on this thread.
pub fn main<S, F>(name: &'static str, command: Command, serve: F) -> ExitCode
where
    S: ProgramSettings,
    F: FnOnce(S, Surroundings) -> Result<(), Box<dyn Error>>,
{
    let (path, run) = match command {
        Command::Check { settings } => (settings, false),
        Command::Run { settings } => (settings, true),
    };
    let settings: S = match settings::read(&path) {
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
    match start(name, path, settings, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start<S, F>(
    name: &'static str,
    path: PathBuf,
    settings: S,
    serve: F,
) -> Result<(), Box<dyn Error>>
where
    S: ProgramSettings,
    F: FnOnce(S, Surroundings) -> Result<(), Box<dyn Error>>,
{
    let threads = usize::try_from(settings.traffic_threads())?;
    // Before anything else, so that a signal at the start ends nothing.
    let mut stop_signals = StopSignals::take()?;
    let reload_signals = ReloadSignals::take()?;
    let (traffic, _threads) = traffic::start(threads)?;
    let (log, _flushed_last) = telemetry::logger(settings.telemetry(), name, settings.node());
    let (stopping, stop) = async_channel::bounded::<()>(1);
    let wait = async move {
        // A failure to watch asks to stop too: the process could not be told.
        let _ = stop_signals.requested().await;
        drop(stopping);
    };
    traffic.spawn(wait).detach();
    let around = Surroundings {
        traffic,
        log,
        stop,
        settings: path,
        reload: Some(reload_signals),
    };
    serve(settings, around)
}
