//! HTTP listener and body parsing that the stand-ins share.

use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of a JSON request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A stand-in that accepts connections until this handle is dropped.
pub struct RunningStandin {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    _stop: async_channel::Sender<()>,
}

/// Serves `handler` on `address`; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound to `address`.
pub async fn serve<H: Handler>(
    address: SocketAddr,
    traffic: &TrafficExecutor,
    handler: Arc<H>,
) -> io::Result<RunningStandin> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let serve = server::serve(listener, traffic.clone(), stopped, handler);
    traffic.spawn(serve).detach();
    Ok(RunningStandin {
        address,
        _stop: stop,
    })
}

/// Reads and parses the JSON body of `req`.
///
/// # Errors
///
/// Returns the response with status 400 to send if the body cannot be read or
/// is not the JSON of a `T`.
pub async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<T, Response<ResponseBody>> {
    let bytes = body::read(req.into_body(), MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|error| server::text(400, error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| server::text(400, error.to_string()))
}
