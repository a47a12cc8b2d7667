//! Main function shared by the long-running programs, with the commands `check` and `run`.

use crate::reload::ReloadSignals;
use crate::reload::SettingsReloader;
use crate::settings;
use crate::settings::TelemetrySettings;
use crate::settings::ValidateSettings;
use crate::shutdown::StopSignals;
use crate::telemetry;
use crate::traffic;
use crate::traffic::TrafficExecutor;
use async_channel::Receiver;
use clap::Subcommand;
use slog::Logger;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Command of a long-running program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validates a settings file and exits with code 0 if the file is valid and 2 otherwise.
    Check {
        /// Settings file, JSON with comments.
        settings: PathBuf,
    },
    /// Runs the program until SIGTERM or SIGINT.
    Run {
        /// Settings file, JSON with comments.
        #[arg(env = "DOGWOODSHUNT_CONFIG")]
        settings: PathBuf,
    },
}

/// Settings of a long-running program.
pub trait ProgramSettings: ValidateSettings {
    /// Returns the node name of the process.
    fn node(&self) -> &str;

    /// Returns the number of traffic threads.
    fn traffic_threads(&self) -> u64;

    /// Returns the settings of logs and metrics.
    fn telemetry(&self) -> &TelemetrySettings;
}

/// Process-wide resources that a program runs with.
pub struct ProgramContext {
    /// Executor of the traffic threads.
    pub traffic: TrafficExecutor,
    /// Logger of the process.
    pub log: Logger,
    /// Channel that is closed on SIGTERM or SIGINT.
    pub stop: Receiver<()>,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Handler of SIGHUP; `None` if the program does not handle the signal.
    pub reload: Option<ReloadSignals>,
}

impl ProgramContext {
    /// Follows the settings file and returns a channel of its valid new versions. Invalid versions
    /// are logged and skipped.
    pub fn watch_settings<S: ValidateSettings + Send + 'static>(&mut self) -> Receiver<S> {
        let (changes_tx, changes_rx) = async_channel::bounded(1);
        let reloader = SettingsReloader::new(self.settings.clone(), self.log.clone());
        let signals = self.reload.take();
        self.traffic
            .spawn(reloader.run(signals, changes_tx))
            .detach();
        changes_rx
    }
}

/// Executes `command` of the program `name`. The command `run` calls `serve` on the calling thread.
///
/// The exit code is 2 for invalid settings and 1 if `serve` or the startup fails.
pub fn main<S, F>(name: &'static str, command: Command, serve: F) -> ExitCode
where
    S: ProgramSettings,
    F: FnOnce(S, ProgramContext) -> Result<(), Box<dyn Error>>,
{
    let (path, should_run) = match command {
        Command::Check { settings } => (settings, false),
        Command::Run { settings } => (settings, true),
    };
    let settings: S = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if !should_run {
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
    F: FnOnce(S, ProgramContext) -> Result<(), Box<dyn Error>>,
{
    let threads = usize::try_from(settings.traffic_threads())?;
    // Registered first, so that a signal during startup does not terminate the process abruptly.
    let mut stop_signals = StopSignals::register()?;
    let reload_signals = ReloadSignals::register()?;
    let (traffic, _threads) = traffic::start(threads)?;
    let (log, _log_guard) = telemetry::logger(settings.telemetry(), name, settings.node());
    let (stop_tx, stop) = async_channel::bounded::<()>(1);
    let wait_for_stop = async move {
        // If signals can no longer be received, the process stops too, since nobody could stop it
        // gracefully later.
        let _ = stop_signals.recv().await;
        drop(stop_tx);
    };
    traffic.spawn(wait_for_stop).detach();
    let context = ProgramContext {
        traffic,
        log,
        stop,
        settings: path,
        reload: Some(reload_signals),
    };
    serve(settings, context)
}
