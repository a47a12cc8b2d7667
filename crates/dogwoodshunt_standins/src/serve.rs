//! Serving of a stand-in on loopback.

use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_runtime::traffic::Traffic;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A stand-in that is being served; it stops when this is dropped.
pub struct Served {
    /// Address it listens on.
    pub address: SocketAddr,
    _stop: async_channel::Sender<()>,
}

/// Serves `handler` on `address`; port 0 picks a free one.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn serve<H: Handler>(
    address: SocketAddr,
    traffic: &Traffic,
    handler: Arc<H>,
) -> io::Result<Served> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let serve = server::serve(listener, traffic.clone(), stopped, handler);
    traffic.spawn(serve).detach();
    Ok(Served {
        address,
        _stop: stop,
    })
}

/// Reads a JSON body, or returns the answer that refuses it.
///
/// # Errors
///
/// Returns the answer to send where the body is no such JSON.
pub async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<T, Response<AnswerBody>> {
    let bytes = body::read(req.into_body(), MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|error| server::text(400, error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| server::text(400, error.to_string()))
}
