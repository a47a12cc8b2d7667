//! HTTP server with limits on slow and oversized requests and with graceful shutdown.

use crate::http::body;
use crate::http::body::ResponseBody;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt::set_socket_linger;
use smol::Executor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and returns its response.
    fn handle(&self, req: Request<Incoming>)
    -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Serves connections of `listener` until `stop` is closed.
///
/// After that, accepts no new connections, lets requests in flight finish and returns once the
/// last connection is closed.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    executor: Arc<Executor<'static>>,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    // Each connection holds a clone of the guard; `all_closed` ends once all clones are dropped.
    let (open_guard, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        let Some(accepted) = stopped.or(accepted).await else {
            break;
        };
        let Ok((stream, _)) = accepted else {
            // Accept errors are transient, such as running out of file descriptors, and do not
            // mean that the listener is broken.
            smol::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let (stop, handler, open_guard) = (stop.clone(), handler.clone(), open_guard.clone());
        let connection = async move {
            serve_connection(stream, stop, handler).await;
            drop(open_guard);
        };
        executor.spawn(connection).detach();
    }
    drop(listener);
    drop(open_guard);
    let _ = all_closed.recv().await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let socket = stream.clone();
    let frames_bodies = AtomicBool::new(true);
    let service = service_fn(|req| {
        frames_bodies.store(req.version() >= Version::HTTP_11, Ordering::Relaxed);
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    let ended = async { Some(connection.as_mut().await) };
    let result = match stopped.or(ended).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_err() && !frames_bodies.load(Ordering::Relaxed) {
        // A body without a frame ends with its connection, so only a reset tells that it broke off.
        let _ = set_socket_linger(&socket, Some(Duration::ZERO));
    }
}

/// Returns a response with the body `message` and no content type. An invalid `status` becomes 200.
pub fn text(status: u16, message: impl Into<String>) -> Response<ResponseBody> {
    let mut response = Response::new(body::full(message.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Returns a JSON response. An invalid `status` becomes 200; a `value` that cannot be serialized
/// gives an empty body.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}
