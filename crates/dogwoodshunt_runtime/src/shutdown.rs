//! Waiting for the signals that ask a process to stop.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use std::io;

/// SIGTERM and SIGINT, held back from now on.
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Takes over the signals: from here on they no longer end the process.
    ///
    /// # Errors
    ///
    /// Fails if the signals cannot be watched.
    pub fn take() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for one of them.
    ///
    /// # Errors
    ///
    /// Fails if the signals can no longer be watched.
    pub async fn requested(&mut self) -> io::Result<()> {
        match self.signals.next().await {
            Some(signal) => signal.map(drop),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
