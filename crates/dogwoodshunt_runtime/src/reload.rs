//! Reload of the settings file of a running process.
//!
//! The file is read again on SIGHUP and also periodically, since it may change
//! without a signal. Invalid settings are logged, and the previous settings stay in
//! force.

use crate::settings;
use crate::settings::ValidateSettings;
use async_channel::Sender;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Interval between two reads of the file without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Handler of SIGHUP. While registered, the signal does not terminate the process.
pub struct ReloadSignals {
    signals: Signals,
}

impl ReloadSignals {
    /// Registers the handler.
    ///
    /// # Errors
    ///
    /// Fails if the handler cannot be registered with the operating system.
    pub fn register() -> io::Result<Self> {
        let signals = Signals::new([Signal::Hup])?;
        Ok(Self { signals })
    }
}

/// Detects changes of the settings file of a process.
pub struct SettingsReloader {
    path: PathBuf,
    last_text: Option<String>,
    log: Logger,
}

/// Result of reading the settings file again.
#[derive(Debug)]
pub enum ReloadOutcome<S> {
    /// The file has changed; these are its new settings.
    Changed(Box<S>),
    /// The file has not changed since the last read.
    Unchanged,
    /// The file cannot be read or its settings are invalid; the error has been logged.
    Refused,
}

impl SettingsReloader {
    /// Creates a reloader of the file at `path`; changes count from its current content.
    pub fn new(path: PathBuf, log: Logger) -> Self {
        let last_text = match fs::read_to_string(&path) {
            Ok(text) => Some(text),
            Err(error) => {
                warn!(log, "settings file not read"; "path" => %path.display(), "error" => %error);
                None
            }
        };
        Self {
            path,
            last_text,
            log,
        }
    }

    /// Reads the file and parses it if its content differs from the last read, so that an invalid
    /// content is logged only once.
    pub fn reload_if_changed<S: ValidateSettings>(&mut self) -> ReloadOutcome<S> {
        let name = self.path.display().to_string();
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                error!(self.log, "settings file not read"; "path" => &name, "error" => %error);
                return ReloadOutcome::Refused;
            }
        };
        if self.last_text.as_ref() == Some(&text) {
            return ReloadOutcome::Unchanged;
        }
        let parsed = settings::parse(&name, &text);
        self.last_text = Some(text);
        match parsed {
            Ok(settings) => ReloadOutcome::Changed(Box::new(settings)),
            Err(error) => {
                error!(self.log, "settings refused"; "error" => %error);
                ReloadOutcome::Refused
            }
        }
    }

    /// Reads the file on each signal and each interval, and sends changed settings to `changes` until
    /// its receiver is dropped.
    pub async fn run<S: ValidateSettings>(
        mut self,
        mut signals: Option<ReloadSignals>,
        changes: Sender<S>,
    ) {
        loop {
            let on_signal = async {
                match &mut signals {
                    Some(handler) => handler.signals.next().await.is_some(),
                    None => std::future::pending().await,
                }
            };
            let on_interval = async {
                Timer::after(POLL_INTERVAL).await;
                false
            };
            let signalled = on_signal.or(on_interval).await;
            match self.reload_if_changed() {
                ReloadOutcome::Changed(settings) => {
                    info!(self.log, "settings changed"; "signalled" => signalled);
                    if changes.send(*settings).await.is_err() {
                        return;
                    }
                }
                ReloadOutcome::Unchanged if signalled => info!(self.log, "settings unchanged"),
                ReloadOutcome::Unchanged | ReloadOutcome::Refused => {}
            }
        }
    }
}
