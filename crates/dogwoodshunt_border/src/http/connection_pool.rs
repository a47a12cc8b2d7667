//! Pooled connections to upstreams, with one request at a time on each connection.
//!
//! A connection returns to the pool only after a complete response. Dropping an
//! [`Exchange`] earlier closes its connection, which signals the upstream to stop
//! the run.

use crate::http::body::BodyError;
use crate::http::limits::LeasedBuffer;
use crate::http::limits::NoRoom;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::Executor;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of the buffer of one connection, in bytes; larger reads do not make a response faster.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Idle timeout of a connection whose peer sends no `keep-alive` header. Many servers close idle
/// connections after 5 s.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the peer's idle timeout after which a connection is no longer reused, so that a
/// request does not race with the peer closing the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;

/// Maximum number of idle connections kept per peer.
const MAX_IDLE_PER_PEER: usize = 32;

/// Error of a request that got no response head.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was or may have been sent, but no response head arrived.
    #[snafu(display("send request to {peer}: response lost: {message}"))]
    Lost {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the HTTP library.
        message: Box<str>,
    },
    /// No byte of the request was sent.
    #[snafu(display("send request to {peer}: request not sent: {message}"))]
    NotSent {
        /// Address of the peer.
        peer: SocketAddr,
        /// What prevented the send.
        cause: NotSentCause,
        /// Error of the network or the HTTP library.
        message: Box<str>,
    },
}

/// What prevented that a byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotSentCause {
    /// The connection failed or was closed.
    Closed,
    /// No process listens at the address of the peer.
    Refused,
    /// The connection was not open in time.
    TimedOut,
}

impl From<std::io::ErrorKind> for NotSentCause {
    fn from(kind: std::io::ErrorKind) -> Self {
        match kind {
            std::io::ErrorKind::ConnectionRefused => Self::Refused,
            std::io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Closed,
        }
    }
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The last chunk marks the end.
    Chunked,
    /// The body ends with its connection, so that a body cut short looks complete.
    Connection,
    /// The head states the length.
    Length,
}

impl BodyFraming {
    /// Returns the framing that the headers of a response state.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        if headers.contains_key(hyper::header::TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(hyper::header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name of the framing in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chunked => "chunked",
            Self::Connection => "connection",
            Self::Length => "length",
        }
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether a response has been read on the connection.
    is_used: bool,
    idle_until: Instant,
    // Dropping the task closes the connection immediately.
    _connection_task: Task<()>,
}

/// Pool of HTTP/1.1 connections to upstreams.
pub struct ConnectionPool {
    executor: Arc<Executor<'static>>,
    connect_timeout: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    opened: AtomicU64,
}

impl ConnectionPool {
    /// Creates a pool whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>, connect_timeout: Duration) -> Self {
        Self {
            executor,
            connect_timeout,
            idle: Mutex::new(HashMap::new()),
            opened: AtomicU64::new(0),
        }
    }

    /// Returns how many connections the pool has tried to open.
    pub fn opened_connections(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends a request to `peer` and waits for the head of the response.
    ///
    /// A request that an idle connection returns unsent is sent again over another connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or the connection fails; the variant tells whether the
    /// request may have been sent.
    pub async fn send(
        self: &Arc<Self>,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        while let Some(connection) = self.take_idle(Instant::now(), peer) {
            match self.try_send(peer, connection, req).await {
                Ok(exchange) => return Ok(exchange),
                Err(AttemptError::MaybeSent(error)) => return Err(error),
                Err(AttemptError::NotSent(returned, _)) => req = *returned,
            }
        }
        self.send_on_new_connection(peer, req).await
    }

    /// Sends a request to `peer` on a connection that has carried no other, and waits for the head
    /// of the response.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or the connection fails; the variant tells whether the
    /// request may have been sent.
    pub async fn send_on_new_connection(
        self: &Arc<Self>,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let connection = self.connect(peer).await?;
        match self.try_send(peer, connection, req).await {
            Ok(exchange) => Ok(exchange),
            Err(AttemptError::MaybeSent(error) | AttemptError::NotSent(_, error)) => Err(error),
        }
    }

    async fn try_send(
        self: &Arc<Self>,
        peer: SocketAddr,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, AttemptError> {
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let idle_timeout = idle_timeout(&head.headers);
                let is_first_on_connection = !std::mem::replace(&mut connection.is_used, true);
                connection.idle_until = Instant::now() + idle_timeout;
                Ok(Exchange {
                    status: head.status,
                    headers: head.headers,
                    body,
                    connection: Some(connection),
                    idle_timeout,
                    is_first_on_connection,
                    peer,
                    pool: self.clone(),
                })
            }
            Err(mut send_error) => {
                let message: Box<str> = send_error.error().to_string().into();
                Err(match send_error.take_message() {
                    Some(req) => {
                        let cause = NotSentCause::Closed;
                        let error = SendError::NotSent {
                            peer,
                            cause,
                            message,
                        };
                        AttemptError::NotSent(Box::new(req), error)
                    }
                    None => AttemptError::MaybeSent(SendError::Lost { peer, message }),
                })
            }
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection, SendError> {
        let not_sent = |cause, message: String| SendError::NotSent {
            peer,
            cause,
            message: message.into(),
        };
        let timed_out = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        self.opened.fetch_add(1, Ordering::Relaxed);
        // `take_idle` prunes only the peer it is called for; connections to peers that no longer
        // receive requests are pruned here.
        self.close_expired(Instant::now());
        let stream = TcpStream::connect(peer).or(timed_out).await;
        let stream = stream.map_err(|error| not_sent(error.kind().into(), error.to_string()))?;
        // Nagle's algorithm would delay the request.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| not_sent(NotSentCause::Closed, error.to_string()))?;
        let connection_task = async move {
            // `hyper` also reports a connection error to the request in flight.
            let _ = connection.await;
        };
        Ok(Connection {
            sender,
            is_used: false,
            idle_until: Instant::now() + DEFAULT_IDLE_TIMEOUT,
            _connection_task: self.executor.spawn(connection_task),
        })
    }

    fn take_idle(&self, now: Instant, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(&peer)?;
        connections
            .retain(|connection| !connection.sender.is_closed() && connection.idle_until > now);
        let newest = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(connections.swap_remove(newest))
    }

    fn put_idle(&self, peer: SocketAddr, connection: Connection) {
        let mut idle = self.lock_idle();
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(connection);
        }
    }

    /// Closes idle connections that are closed by the peer or past their idle timeout.
    fn close_expired(&self, now: Instant) {
        let mut idle = self.lock_idle();
        idle.retain(|_, connections| {
            connections
                .retain(|connection| !connection.sender.is_closed() && connection.idle_until > now);
            !connections.is_empty()
        });
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request/response exchange with an upstream whose response body is still to be read.
pub struct Exchange {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Whether no other response has been read on the connection, so that this one cannot be a late
    /// copy of another.
    pub is_first_on_connection: bool,
    body: Incoming,
    connection: Option<Connection>,
    idle_timeout: Duration,
    peer: SocketAddr,
    pool: Arc<ConnectionPool>,
}

impl Exchange {
    /// Returns the next chunk of the body, or `None` once the body is complete.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Some(Ok(data)),
                    // Trailers are not passed on to callers.
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    self.connection = None;
                    let reason = format!("{}: {error}", self.peer).into();
                    return Some(Err(BodyError { reason }));
                }
                None => {
                    self.return_to_pool();
                    return None;
                }
            }
        }
    }

    /// Reads the rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early or exceeds the limit.
    pub async fn read_to_end(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let buffer = LeasedBuffer::unlimited();
        self.read_to_end_into(buffer, limit).await
    }

    /// As [`Exchange::read_to_end`], with the bytes leased by `buffer` before they are read.
    ///
    /// # Errors
    ///
    /// As [`Exchange::read_to_end`], and if the bytes do not fit into the budget.
    pub async fn read_to_end_into(
        &mut self,
        mut buffer: LeasedBuffer,
        limit: usize,
    ) -> Result<Bytes, BodyError> {
        let too_large = |peer| BodyError {
            reason: format!("{peer}: response body exceeds {limit} bytes").into(),
        };
        let no_room = |_: NoRoom| BodyError {
            reason: "there is no room for the response body".into(),
        };
        if let Some(announced) = self.body.size_hint().exact() {
            let announced = usize::try_from(announced).unwrap_or(usize::MAX);
            if announced > limit {
                return Err(too_large(self.peer));
            }
            buffer.reserve(announced).await.map_err(no_room)?;
        }
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            if buffer.len() + chunk.len() > limit {
                return Err(too_large(self.peer));
            }
            buffer.append(&chunk, limit).await.map_err(no_room)?;
        }
        Ok(buffer.freeze())
    }

    fn return_to_pool(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_until = Instant::now() + self.idle_timeout;
            self.pool.put_idle(self.peer, connection);
        }
    }
}

/// Failure of an attempt to send a request over one connection.
enum AttemptError {
    /// The request may have been sent, so it must not be sent again.
    MaybeSent(SendError),
    /// The request was not sent and is returned for another connection.
    NotSent(Box<Request<Full<Bytes>>>, SendError),
}

/// Returns how long a connection may be reused after a response with the given headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let advertised = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let advertised = advertised.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    advertised
        .unwrap_or(DEFAULT_IDLE_TIMEOUT)
        .mul_f64(IDLE_TIMEOUT_FRACTION)
}
