//! HTTP client that tells whether a request can have reached its peer.

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

/// Idle connections kept per peer.
const IDLE_PER_PEER: usize = 64;

/// Why a request got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The request was sent, or may have been; the answer did not come.
    #[snafu(display("{step} at {peer}: the answer was lost: {message}"))]
    Lost {
        /// What the request was for.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// What the HTTP library found.
        message: Box<str>,
    },
    /// The request was not sent.
    #[snafu(display("{step} at {peer}: not reached: {message}"))]
    Unreached {
        /// What the request was for.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// What the network or the HTTP library found.
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

    /// Sends a request to `peer` (`ADDRESS:PORT`) and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Tells a request that was not sent from one whose answer was lost.
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
                Err(Unsent::Final(error)) => return Err(error),
                Err(Unsent::Returned(returned, _)) => req = *returned,
            }
        }
        let sender = self.connect(step, peer).await?;
        match self.try_send(step, peer, sender, req).await {
            Ok(response) => Ok(response),
            Err(Unsent::Final(error) | Unsent::Returned(_, error)) => Err(error),
        }
    }

    /// Sends a request and gives up on the answer's head after `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; a timeout counts as a lost answer.
    pub async fn send_within(
        &self,
        timeout: Duration,
        step: &'static str,
        peer: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let late = async {
            Timer::after(timeout).await;
            Err(HttpError::Lost {
                step,
                peer: peer.into(),
                message: format!("no answer within {timeout:?}").into(),
            })
        };
        self.send(step, peer, req).or(late).await
    }

    async fn try_send(
        &self,
        step: &'static str,
        peer: &str,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Unsent> {
        match sender.try_send_request(req).await {
            Ok(response) => {
                self.put_idle(peer, sender);
                Ok(response)
            }
            Err(mut failed) => {
                let message = failed.error().to_string().into();
                let peer = peer.into();
                Err(match failed.take_message() {
                    Some(req) => Unsent::Returned(
                        Box::new(req),
                        HttpError::Unreached {
                            step,
                            peer,
                            message,
                        },
                    ),
                    None => Unsent::Final(HttpError::Lost {
                        step,
                        peer,
                        message,
                    }),
                })
            }
        }
    }

    async fn connect(&self, step: &'static str, peer: &str) -> Result<Sender, HttpError> {
        let unreached = |message: String| HttpError::Unreached {
            step,
            peer: peer.into(),
            message: message.into(),
        };
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(peer).or(late).await;
        let stream = stream.map_err(|error| unreached(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| unreached(error.to_string()))?;
        let drive = async move {
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
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
        if senders.len() < IDLE_PER_PEER {
            senders.push(sender);
        }
    }
}

/// Why one connection did not bring an answer.
enum Unsent {
    /// The request may have been sent.
    Final(HttpError),
    /// The request was not sent and is handed back.
    Returned(Box<Request<Full<Bytes>>>, HttpError),
}
