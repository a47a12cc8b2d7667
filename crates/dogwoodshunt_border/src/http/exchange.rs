//! Exchanges with upstreams: one request on one connection at a time.
//!
//! A connection is used again only after a whole answer. An exchange that is
//! dropped before that closes its connection, which tells the upstream to stop.

use crate::http::body::BrokenOff;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
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

/// Idle time of a connection whose peer names none, short of the five seconds
/// after which many servers close one.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of the peer's idle time after which a connection is not used again, so
/// that a request never meets the peer's close.
const IDLE_SHARE: f64 = 0.85;

/// Idle connections kept for one peer.
const IDLE_PER_PEER: usize = 32;

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request may have reached the peer.
    #[snafu(display("send to {peer}: the answer was lost: {message}"))]
    Lost {
        /// Address of the peer.
        peer: SocketAddr,
        /// What the HTTP library found.
        message: Box<str>,
    },
    /// No byte of the request was sent.
    #[snafu(display("send to {peer}: not reached: {message}"))]
    NotSent {
        /// Address of the peer.
        peer: SocketAddr,
        /// What the network or the HTTP library found.
        message: Box<str>,
    },
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    idle_until: Instant,
    // Dropping the task closes the connection at once.
    _drive: Task<()>,
}

/// Connections to upstreams.
pub struct Exchanges {
    executor: Arc<Executor<'static>>,
    connect_timeout: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    opened: AtomicU64,
}

impl Exchanges {
    /// Creates a pool whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>, connect_timeout: Duration) -> Self {
        Self {
            executor,
            connect_timeout,
            idle: Mutex::new(HashMap::new()),
            opened: AtomicU64::new(0),
        }
    }

    /// Returns how many connections were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells a request of which nothing was sent from one that may have run.
    pub async fn send(
        self: &Arc<Self>,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        while let Some(connection) = self.take_idle(Instant::now(), peer) {
            match self.try_send(peer, connection, req).await {
                Ok(exchange) => return Ok(exchange),
                Err(Unsent::Final(error)) => return Err(error),
                Err(Unsent::Returned(returned, _)) => req = *returned,
            }
        }
        let connection = self.connect(peer).await?;
        match self.try_send(peer, connection, req).await {
            Ok(exchange) => Ok(exchange),
            Err(Unsent::Final(error) | Unsent::Returned(_, error)) => Err(error),
        }
    }

    async fn try_send(
        self: &Arc<Self>,
        peer: SocketAddr,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, Unsent> {
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let idle = idle_time(&head.headers);
                connection.idle_until = Instant::now() + idle;
                Ok(Exchange {
                    status: head.status,
                    headers: head.headers,
                    body,
                    connection: Some(connection),
                    idle,
                    peer,
                    pool: self.clone(),
                })
            }
            Err(mut failed) => {
                let message: Box<str> = failed.error().to_string().into();
                Err(match failed.take_message() {
                    Some(req) => {
                        let error = SendError::NotSent { peer, message };
                        Unsent::Returned(Box::new(req), error)
                    }
                    None => Unsent::Final(SendError::Lost { peer, message }),
                })
            }
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection, SendError> {
        let not_sent = |message: String| SendError::NotSent {
            peer,
            message: message.into(),
        };
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        self.opened.fetch_add(1, Ordering::Relaxed);
        // Peers that are gone are asked for no connection again.
        self.prune(Instant::now());
        let stream = TcpStream::connect(peer).or(late).await;
        let stream = stream.map_err(|error| not_sent(error.to_string()))?;
        // Without it the request is only sent later.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let drive = async move {
            // What goes wrong is reported to the request that is on its way.
            let _ = connection.await;
        };
        Ok(Connection {
            sender,
            idle_until: Instant::now() + DEFAULT_IDLE,
            _drive: self.executor.spawn(drive),
        })
    }

    fn take_idle(&self, now: Instant, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let held = idle.get_mut(&peer)?;
        held.retain(|c| !c.sender.is_closed() && c.idle_until > now);
        let newest = held.iter().rposition(|c| c.sender.is_ready())?;
        Some(held.swap_remove(newest))
    }

    fn put_idle(&self, peer: SocketAddr, connection: Connection) {
        let mut idle = self.idle();
        let held = idle.entry(peer).or_default();
        if held.len() < IDLE_PER_PEER {
            held.push(connection);
        }
    }

    /// Closes idle connections that will not be used again.
    fn prune(&self, now: Instant) {
        let mut idle = self.idle();
        idle.retain(|_, held| {
            held.retain(|c| !c.sender.is_closed() && c.idle_until > now);
            !held.is_empty()
        });
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    idle: Duration,
    peer: SocketAddr,
    pool: Arc<Exchanges>,
}

impl Exchange {
    /// Returns the next part of the body, or `None` once it is complete.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Some(Ok(data)),
                    // Trailers say nothing to callers.
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    self.connection = None;
                    let reason = format!("{}: {error}", self.peer).into();
                    return Some(Err(BrokenOff { reason }));
                }
                None => {
                    self.recycle();
                    return None;
                }
            }
        }
    }

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is over the limit.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, BrokenOff> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.chunk().await {
            whole.extend_from_slice(&chunk?);
            if whole.len() > limit {
                let reason = format!("{}: the answer is over {limit} bytes", self.peer).into();
                return Err(BrokenOff { reason });
            }
        }
        Ok(whole.freeze())
    }

    fn recycle(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_until = Instant::now() + self.idle;
            self.pool.put_idle(self.peer, connection);
        }
    }
}

/// Why one connection did not bring an answer.
enum Unsent {
    /// The request may have been sent.
    Final(SendError),
    /// The request was not sent and is handed back.
    Returned(Box<Request<Full<Bytes>>>, SendError),
}

/// Returns how long a connection may stay idle after an answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    let named = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let named = named.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    named.unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE)
}
