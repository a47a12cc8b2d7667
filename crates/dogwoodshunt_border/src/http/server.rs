//! HTTP server with limits on slow and oversized requests and a graceful stop.

use crate::http::body;
use crate::http::body::AnswerBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
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
use std::time::Duration;

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Serves connections of `listener` until `stop` is closed.
///
/// Then it takes no new connections, lets requests in flight finish and
/// returns once the last one has ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    executor: Arc<Executor<'static>>,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    let (open, all_closed) = async_channel::bounded::<()>(1);
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
            // A failed accept says nothing of the listener; out of files, it passes.
            smol::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let (stop, handler, open) = (stop.clone(), handler.clone(), open.clone());
        let connection = async move {
            serve_connection(stream, stop, handler).await;
            drop(open);
        };
        executor.spawn(connection).detach();
    }
    drop(listener);
    drop(open);
    let _ = all_closed.recv().await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    stop: async_channel::Receiver<()>,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| {
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
        true
    };
    let ended = async {
        let _ = connection.as_mut().await;
        false
    };
    if stopped.or(ended).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Returns an answer of plain text.
pub fn text(status: u16, message: impl Into<String>) -> Response<AnswerBody> {
    let mut response = Response::new(body::full(message.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Returns an answer of JSON.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Response<AnswerBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}
