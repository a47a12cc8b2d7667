//! Taking over settings that change while a process runs.
//!
//! The file is read again on SIGHUP, and now and then without one, since it
//! may change silently. Settings that are refused are logged and leave the
//! present ones in force.

use crate::settings;
use crate::settings::Checked;
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

/// Time between two looks at the file without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// SIGHUP, held back from now on.
pub struct ReloadSignals {
    signals: Signals,
}

impl ReloadSignals {
    /// Takes over SIGHUP: from here on it no longer ends the process.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be watched.
    pub fn take() -> io::Result<Self> {
        let signals = Signals::new([Signal::Hup])?;
        Ok(Self { signals })
    }
}

/// Follows the settings file of a process.
pub struct Reloader {
    path: PathBuf,
    text: Option<String>,
    log: Logger,
}

/// What a look at the file found.
#[derive(Debug)]
pub enum Look<S> {
    /// Settings that differ from those before.
    Changed(Box<S>),
    /// The file is as before.
    Unchanged,
    /// The file cannot be read or its settings are refused; they are logged.
    Refused,
}

impl Reloader {
    /// Creates a follower of the file at `path`, as it is now.
    pub fn new(path: PathBuf, log: Logger) -> Self {
        let text = match fs::read_to_string(&path) {
            Ok(text) => Some(text),
            Err(error) => {
                warn!(log, "settings not read"; "path" => %path.display(), "error" => %error);
                None
            }
        };
        Self { path, text, log }
    }

    /// Reads the file and parses it if it differs from the last look.
    pub fn look<S: Checked>(&mut self) -> Look<S> {
        let name = self.path.display().to_string();
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                error!(self.log, "settings not read"; "path" => &name, "error" => %error);
                return Look::Refused;
            }
        };
        if self.text.as_ref() == Some(&text) {
            return Look::Unchanged;
        }
        let parsed = settings::parse(&name, &text);
        self.text = Some(text);
        match parsed {
            Ok(settings) => Look::Changed(Box::new(settings)),
            Err(error) => {
                error!(self.log, "settings refused"; "error" => %error);
                Look::Refused
            }
        }
    }

    /// Sends changed settings until the receiver is gone.
    pub async fn work<S: Checked>(
        mut self,
        mut signals: Option<ReloadSignals>,
        changes: Sender<S>,
    ) {
        loop {
            let signalled = async {
                match &mut signals {
                    Some(held) => held.signals.next().await.is_some(),
                    None => std::future::pending().await,
                }
            };
            let due = async {
                Timer::after(LOOK_INTERVAL).await;
                false
            };
            let signalled = signalled.or(due).await;
            match self.look() {
                Look::Changed(settings) => {
                    info!(self.log, "settings changed"; "signalled" => signalled);
                    if changes.send(*settings).await.is_err() {
                        return;
                    }
                }
                Look::Unchanged if signalled => info!(self.log, "settings unchanged"),
                Look::Unchanged | Look::Refused => {}
            }
        }
    }
}
