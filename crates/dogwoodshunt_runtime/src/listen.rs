//! Listening sockets.

use smol::net::TcpListener;
use snafu::ResultExt;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Error from binding a listening socket.
#[derive(Debug, Snafu)]
#[snafu(display("listen on {address}: {source}"))]
pub struct ListenError {
    /// Address from the settings.
    address: SocketAddr,
    /// Error of the operating system.
    source: io::Error,
}

/// Binds a listening socket to `address` and returns it with its actual address. Port 0 selects a
/// free port.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ListenError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}
