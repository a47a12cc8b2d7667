//! Termination signals.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use std::io;

/// Handler of SIGTERM and SIGINT. While registered, the signals do not terminate the process.
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Registers the handler.
    ///
    /// # Errors
    ///
    /// Fails if the handler cannot be registered with the operating system.
    pub fn register() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for the next termination signal.
    ///
    /// # Errors
    ///
    /// Fails if signals can no longer be received.
    pub async fn recv(&mut self) -> io::Result<()> {
        match self.signals.next().await {
            Some(signal) => signal.map(drop),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
