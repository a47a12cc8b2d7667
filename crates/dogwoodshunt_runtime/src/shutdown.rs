//! Waiting for the signals that ask a process to stop.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use std::io;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signals cannot be watched.
pub async fn requested() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(signal) => signal.map(drop),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
