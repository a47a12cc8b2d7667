//! HTTP server with limits on slow and oversized requests and with graceful shutdown.

use crate::http::body;
use crate::http::body::BodyError;
use crate::http::body::ResponseBody;
use crate::http::connection_io::ConnectionIo;
use crate::http::connection_io::HeadBytes;
use crate::http::limits::ConnectionAccount;
use crate::http::limits::ProcessLimits;
use bytes::Bytes;
use dogwoodshunt_limits::Listener;
use futures_lite::AsyncReadExt;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt::set_socket_linger;
use smol::Executor;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::SmolTimer;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a connection is read on after a response to an unfinished request, since a close
/// with unread bytes can discard the response.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Bytes that are read on after such a response.
const LINGER_BYTES: usize = 1024 * 1024;

/// Time for which an evicted connection may still send a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Handler of HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and returns its response.
    fn handle(&self, req: Request<Incoming>)
    -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Listening socket, and the budget that its connections are taken from.
pub struct Endpoint {
    /// Socket.
    pub listener: TcpListener,
    /// Budget and the kind of the listener; without it, connections are not limited.
    pub limits: Option<(Arc<ProcessLimits>, Listener)>,
}

impl Endpoint {
    /// Returns an endpoint whose connections are taken from `limits`.
    pub fn limited(listener: TcpListener, limits: &Arc<ProcessLimits>, kind: Listener) -> Self {
        Self {
            listener,
            limits: Some((limits.clone(), kind)),
        }
    }

    /// Accepts a connection and admits it; returns `None` if that fails.
    pub async fn accept(&self) -> Option<(TcpStream, Option<ConnectionAccount>)> {
        let Ok((stream, _)) = self.listener.accept().await else {
            // Accept errors are transient, such as running out of file descriptors, and do not
            // mean that the listener is broken.
            smol::Timer::after(Duration::from_millis(10)).await;
            return None;
        };
        let Some((limits, kind)) = &self.limits else {
            return Some((stream, None));
        };
        let account = limits.admit(*kind).await?;
        Some((stream, Some(account)))
    }
}

impl From<TcpListener> for Endpoint {
    fn from(listener: TcpListener) -> Self {
        Self {
            listener,
            limits: None,
        }
    }
}

/// Serves connections of `endpoint` until `stop` is closed.
///
/// After that, accepts no new connections, lets requests in flight finish and returns once the
/// last connection is closed.
pub async fn serve<H: Handler>(
    endpoint: impl Into<Endpoint>,
    executor: Arc<Executor<'static>>,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    let endpoint = endpoint.into();
    // Each connection holds a clone of the guard; `all_closed` ends once all clones are dropped.
    let (open_guard, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let accepted = async { Some(endpoint.accept().await) };
        let Some(accepted) = stopped.or(accepted).await else {
            break;
        };
        let Some((stream, account)) = accepted else {
            continue;
        };
        let (stop, handler, open_guard) = (stop.clone(), handler.clone(), open_guard.clone());
        let connection = async move {
            serve_connection(stream, account.map(Arc::new), stop, handler).await;
            drop(open_guard);
        };
        executor.spawn(connection).detach();
    }
    drop(endpoint);
    drop(open_guard);
    let _ = all_closed.recv().await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    account: Option<Arc<ConnectionAccount>>,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let socket = stream.clone();
    let frames_bodies = AtomicBool::new(true);
    let receives_body = AtomicBool::new(false);
    let head = Arc::new(HeadBytes::default());
    let service = service_fn(|mut req: Request<Incoming>| {
        frames_bodies.store(req.version() >= Version::HTTP_11, Ordering::Relaxed);
        receives_body.store(!req.body().is_end_stream(), Ordering::Relaxed);
        head.on_complete();
        if let Some(account) = &account {
            account.on_running();
            req.extensions_mut().insert(account.clone());
        }
        let handler = handler.clone();
        let next = NextRequest {
            account: account.clone(),
            head: head.clone(),
        };
        async move {
            let response = handler.handle(req).await;
            Ok::<_, Infallible>(response.map(|inner| SentBody { inner, _next: next }))
        }
    });
    let io = ConnectionIo::new(stream, account.clone(), head.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(io, service);
    let evicted = async {
        match &account {
            Some(account) => account.evicted().await,
            None => smol::future::pending().await,
        }
        // The handler refuses an unfinished body at the same event.
        if receives_body.load(Ordering::Relaxed) {
            smol::Timer::after(REFUSAL_TIME).await;
        }
        true
    };
    let served = async {
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
            // A body without a frame ends with its connection, so only a reset tells that it broke
            // off.
            let _ = set_socket_linger(&socket, Some(Duration::ZERO));
        }
        false
    };
    let is_evicted = served.or(evicted).await;
    if account.is_some() && !is_evicted && receives_body.load(Ordering::Relaxed) {
        linger(socket).await;
    }
}

/// Reads on, within bounds, until the peer has closed the connection.
async fn linger(mut socket: TcpStream) {
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let discard = async {
        let mut bytes = [0; 4 * 1024];
        let mut left = LINGER_BYTES;
        while let Ok(count @ 1..) = socket.read(&mut bytes).await {
            left = left.saturating_sub(count);
            if left == 0 {
                break;
            }
        }
    };
    let timed_out = async {
        smol::Timer::after(LINGER_TIME).await;
    };
    discard.or(timed_out).await;
}

/// Records that the next request may begin when it is dropped.
struct NextRequest {
    account: Option<Arc<ConnectionAccount>>,
    head: Arc<HeadBytes>,
}

impl Drop for NextRequest {
    fn drop(&mut self) {
        self.head.on_begin();
        if let Some(account) = &self.account {
            account.on_receiving();
        }
    }
}

/// Response body, dropped by the HTTP library once it is sent.
struct SentBody {
    inner: ResponseBody,
    _next: NextRequest,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
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
