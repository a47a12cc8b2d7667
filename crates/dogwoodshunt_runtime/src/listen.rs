//! Addresses that programs listen on.

use smol::net::TcpListener;
use snafu::ResultExt;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why an address cannot be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("listen on {address}: {source}"))]
pub struct ListenError {
    /// Address of the settings.
    address: SocketAddr,
    /// What the system says.
    source: io::Error,
}

/// Listens on an address and returns the one that was taken; port 0 picks a
/// free one.
///
/// # Errors
///
/// Fails if the address is taken or is none of this host.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ListenError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}
