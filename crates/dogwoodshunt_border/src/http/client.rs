//! HTTP client whose errors tell whether a request can have reached its peer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::Executor;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum number of idle connections kept per peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// Error of a request that got no usable response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The request was or may have been sent, but no complete and well-formed response
    /// arrived.
    #[snafu(display("{step} at {peer}: response lost: {message}"))]
    Lost {
        /// Operation that failed, such as `list adapters`.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Cause, such as an error of the HTTP library, a timeout or a malformed body.
        message: Box<str>,
    },
    /// No part of the request was sent.
    #[snafu(display("{step} at {peer}: request not sent: {message}"))]
    NotSent {
        /// Operation that failed, such as `list adapters`.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Error of the network or the HTTP library.
        message: Box<str>,
    },
}

type Sender = SendRequest<Full<Bytes>>;

/// HTTP client with a pool of idle connections.
pub struct Client {
    executor: Arc<Executor<'static>>,
    connect_timeout: Duration,
    idle: Mutex<HashMap<Box<str>, Vec<Sender>>>,
}

impl Client {
    /// Creates a client whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>, connect_timeout: Duration) -> Self {
        Self {
            executor,
            connect_timeout,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request to `peer` (`ADDRESS:PORT`) and waits for the head of the response.
    ///
    /// A request that an idle connection returns unsent is sent again over another connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or the connection fails; the variant tells whether the
    /// request may have been sent.
    pub async fn send(
        &self,
        step: &'static str,
        peer: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut req = req;
        while let Some(sender) = self.take_idle(peer) {
            match self.try_send(step, peer, sender, req).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::MaybeSent(error)) => return Err(error),
                Err(AttemptError::NotSent(returned, _)) => req = *returned,
            }
        }
        let sender = self.connect(step, peer).await?;
        match self.try_send(step, peer, sender, req).await {
            Ok(response) => Ok(response),
            Err(AttemptError::MaybeSent(error) | AttemptError::NotSent(_, error)) => Err(error),
        }
    }

    /// Sends a request as [`Client::send`] does, with a timeout for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::send`] does; a timeout counts as a lost response.
    pub async fn send_with_timeout(
        &self,
        timeout: Duration,
        step: &'static str,
        peer: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(HttpError::Lost {
                step,
                peer: peer.into(),
                message: format!("no response within {timeout:?}").into(),
            })
        };
        self.send(step, peer, req).or(timed_out).await
    }

    async fn try_send(
        &self,
        step: &'static str,
        peer: &str,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptError> {
        match sender.try_send_request(req).await {
            Ok(response) => {
                self.put_idle(peer, sender);
                Ok(response)
            }
            Err(mut send_error) => {
                let message = send_error.error().to_string().into();
                let peer = peer.into();
                Err(match send_error.take_message() {
                    Some(req) => AttemptError::NotSent(
                        Box::new(req),
                        HttpError::NotSent {
                            step,
                            peer,
                            message,
                        },
                    ),
                    None => AttemptError::MaybeSent(HttpError::Lost {
                        step,
                        peer,
                        message,
                    }),
                })
            }
        }
    }

    async fn connect(&self, step: &'static str, peer: &str) -> Result<Sender, HttpError> {
        let not_sent = |message: String| HttpError::NotSent {
            step,
            peer: peer.into(),
            message: message.into(),
        };
        let timed_out = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(peer).or(timed_out).await;
        let stream = stream.map_err(|error| not_sent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let connection_task = async move {
            let _ = connection.await;
        };
        self.executor.spawn(connection_task).detach();
        Ok(sender)
    }

    fn take_idle(&self, peer: &str) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(peer)?;
        senders.retain(|sender| !sender.is_closed());
        let index = senders.iter().position(SendRequest::is_ready)?;
        Some(senders.swap_remove(index))
    }

    fn put_idle(&self, peer: &str, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(peer.into()).or_default();
        if senders.len() < MAX_IDLE_PER_PEER {
            senders.push(sender);
        }
    }
}

/// Failure of an attempt to send a request over one connection.
enum AttemptError {
    /// The request may have been sent, so it must not be sent again.
    MaybeSent(HttpError),
    /// The request was not sent and is returned for another connection.
    NotSent(Box<Request<Full<Bytes>>>, HttpError),
}
