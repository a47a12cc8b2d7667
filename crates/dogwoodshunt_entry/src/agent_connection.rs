//! Connection to one agent and the attempts in flight on it.

use crate::control::ControlEvent;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::ResponseHead;
use dogwoodshunt_wire::frame::Submit;
use rand::RngExt;
use slog::Logger;
use slog::info;
use smol::Timer;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time for which attempts wait for a lost connection to be re-established.
const RESUME_WINDOW: Duration = Duration::from_secs(5);

/// Initial upper bound of the random delay before a reconnect.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Maximum upper bound of the random delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Event that the agent or the connection reports for an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// A chunk of the response body.
    Chunk {
        /// Number of the chunk, starting at 0.
        number: u64,
        /// Bytes of the chunk.
        data: bytes::Bytes,
    },
    /// The response is complete.
    End {
        /// Number of chunks in the response.
        chunks: u64,
    },
    /// The attempt ended without a complete response.
    Failed {
        /// Whether the request ran, did not run, or may have run.
        outcome: RequestOutcome,
        /// Cause of the failure.
        message: Box<str>,
    },
    /// Status and headers of the response.
    Head(ResponseHead),
    /// The connection was lost and not re-established to the same boot of the agent
    /// within `RESUME_WINDOW`.
    Lost,
    /// The agent did not run the request and will not run it.
    NotRun(NotRun),
}

/// How much of a response was received and forwarded; sent to the agent when the
/// connection is re-established.
#[derive(Debug, Default)]
pub struct ResponseProgress {
    /// Number of the first chunk that was not forwarded yet.
    next_chunk: AtomicU64,
    has_head: AtomicBool,
}

/// Attempt whose outcome is still awaited.
struct PendingAttempt {
    events_tx: Sender<AttemptEvent>,
    agent_boot: BootId,
    progress: Arc<ResponseProgress>,
}

#[derive(Default)]
struct ConnectionState {
    link: Option<(Sender<Frame>, BootId)>,
    pending: HashMap<RequestId, PendingAttempt>,
}

/// Connection to one agent, with its attempts in flight.
pub struct AgentConnection {
    /// Address of the agent.
    pub address: Box<str>,
    state: Mutex<ConnectionState>,
}

/// An attempt that was sent to an agent; dropping it before its end cancels the attempt.
pub struct InFlightAttempt {
    /// Boot ID of the agent that received the attempt.
    pub agent_boot: BootId,
    connection: Arc<AgentConnection>,
    request: RequestId,
    events_rx: Receiver<AttemptEvent>,
    progress: Arc<ResponseProgress>,
    ended: bool,
}

impl AgentConnection {
    /// Creates a closed connection to the agent at `address`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.into(),
            state: Mutex::new(ConnectionState::default()),
        }
    }

    /// Sends an attempt; returns `None`, with nothing sent, if no connection is open.
    pub fn submit(self: &Arc<Self>, submit: Box<Submit>) -> Option<InFlightAttempt> {
        let request = submit.request;
        let (events_tx, events_rx) = async_channel::unbounded();
        let progress = Arc::new(ResponseProgress::default());
        let mut state = self.lock();
        let (link, agent_boot) = state.link.as_ref()?;
        let agent_boot = *agent_boot;
        link.try_send(Frame::Submit(submit)).ok()?;
        state.pending.insert(
            request,
            PendingAttempt {
                events_tx,
                agent_boot,
                progress: progress.clone(),
            },
        );
        Some(InFlightAttempt {
            agent_boot,
            connection: self.clone(),
            request,
            events_rx,
            progress,
            ended: false,
        })
    }

    /// Sends a frame if a connection is open.
    pub fn send(&self, frame: Frame) {
        if let Some((link, _)) = &self.lock().link {
            // `AgentConnector` detects a closed link on its receiving side.
            let _ = link.try_send(frame);
        }
    }

    /// Installs a new link, resumes the attempts that were sent to the same boot of the
    /// agent and fails the others.
    fn attach(&self, tx: &Sender<Frame>, agent_boot: BootId) {
        let mut state = self.lock();
        state.link = Some((tx.clone(), agent_boot));
        state.pending.retain(|request, pending| {
            if pending.agent_boot != agent_boot {
                let _ = pending.events_tx.try_send(AttemptEvent::Lost);
                return false;
            }
            let resume = Frame::Resume {
                request: *request,
                next: pending.progress.next_chunk.load(Ordering::Acquire),
                has_head: pending.progress.has_head.load(Ordering::Acquire),
            };
            tx.try_send(resume).is_ok()
        });
    }

    fn detach(&self) {
        self.lock().link = None;
    }

    fn fail_pending(&self) {
        for (_, pending) in self.lock().pending.drain() {
            let _ = pending.events_tx.try_send(AttemptEvent::Lost);
        }
    }

    fn deliver(&self, request: RequestId, event: AttemptEvent) {
        let state = self.lock();
        if let Some(pending) = state.pending.get(&request) {
            let _ = pending.events_tx.try_send(event);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlightAttempt {
    /// Waits for the next event of the attempt.
    pub async fn next_event(&mut self) -> AttemptEvent {
        let event = self.events_rx.recv().await.unwrap_or(AttemptEvent::Lost);
        match &event {
            AttemptEvent::Head(_) => self.progress.has_head.store(true, Ordering::Release),
            AttemptEvent::End { .. } | AttemptEvent::Failed { .. } => {
                self.ack(u64::MAX);
                self.ended = true;
            }
            AttemptEvent::Lost | AttemptEvent::NotRun(_) => self.ended = true,
            AttemptEvent::Chunk { .. } => {}
        }
        event
    }

    /// Acknowledges to the agent that all chunks before `next` have been forwarded.
    pub fn ack(&self, next: u64) {
        self.progress.next_chunk.store(next, Ordering::Release);
        let request = self.request;
        self.connection.send(Frame::Ack { request, next });
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.connection.lock().pending.remove(&self.request);
        if !self.ended {
            let request = self.request;
            self.connection.send(Frame::Cancel { request });
        }
    }
}

/// Keeps a connection open to one agent.
pub struct AgentConnector {
    /// Key of the agent.
    pub agent: AgentKey,
    /// Connection that is kept open.
    pub connection: Arc<AgentConnection>,
    /// Identity and shared key for the handshake.
    pub credentials: Arc<Credentials>,
    /// Executor of the threads that exchange frames.
    pub traffic: TrafficExecutor,
    /// Channel to the control thread, for control frames.
    pub events: Sender<ControlEvent>,
    /// Logger of this process.
    pub log: Logger,
}

impl AgentConnector {
    /// Connects, receives frames and reconnects, for as long as the process runs.
    pub async fn run(self) {
        let mut failures = 0;
        let mut disconnected_at = Instant::now();
        loop {
            let (address, log) = (&self.connection.address, &self.log);
            match link::connect(address, &self.credentials, &self.traffic, log).await {
                Ok(link) => {
                    failures = 0;
                    if self.receive(link).await.is_none() {
                        return;
                    }
                    disconnected_at = Instant::now();
                }
                Err(error) => {
                    failures += 1;
                    slog::debug!(log, "connection to agent failed"; "error" => %error);
                }
            }
            if disconnected_at.elapsed() >= RESUME_WINDOW {
                self.connection.fail_pending();
            }
            Timer::after(reconnect_delay(failures)).await;
        }
    }

    async fn receive(&self, link: Link) -> Option<()> {
        let Link { peer, tx, rx } = link;
        let agent = self.agent;
        info!(self.log, "agent connected"; "agent" => %peer.node, "address" => %self.connection.address);
        let node = peer.node.clone();
        self.connection.attach(&tx, peer.boot);
        let connected = ControlEvent::AgentConnected {
            agent,
            identity: peer,
        };
        self.events.send(connected).await.ok()?;
        while let Ok(frame) = rx.recv().await {
            if let Some(frame) = self.deliver_response_frame(frame) {
                self.events
                    .send(ControlEvent::FrameReceived { agent, frame })
                    .await
                    .ok()?;
            }
        }
        self.connection.detach();
        info!(self.log, "agent lost"; "agent" => %node, "address" => %self.connection.address);
        self.events
            .send(ControlEvent::AgentDisconnected { agent })
            .await
            .ok()
    }

    /// Delivers a response frame to its attempt; returns any other frame, for the control
    /// thread.
    fn deliver_response_frame(&self, frame: Frame) -> Option<Frame> {
        let (request, event) = match frame {
            Frame::Chunk {
                request,
                number,
                data,
            } => (request, AttemptEvent::Chunk { number, data }),
            Frame::End { request, chunks } => (request, AttemptEvent::End { chunks }),
            Frame::Failed {
                request,
                outcome,
                message,
            } => (request, AttemptEvent::Failed { outcome, message }),
            Frame::Head { request, head } => (request, AttemptEvent::Head(head)),
            Frame::NotRun { request, not_run } => (request, AttemptEvent::NotRun(not_run)),
            other => return Some(other),
        };
        self.connection.deliver(request, event);
        None
    }
}

fn reconnect_delay(failures: u32) -> Duration {
    let bound = MAX_RECONNECT_DELAY.min(INITIAL_RECONNECT_DELAY * (1 << failures.min(8)));
    bound.mul_f64(rand::rng().random::<f64>())
}
