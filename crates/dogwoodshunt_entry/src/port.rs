//! The way to one agent: its connection and the attempts in flight on it.

use crate::control::Event;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::AnswerHead;
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

/// How long an attempt waits for its agent's connection to come back.
const RESUME_WINDOW: Duration = Duration::from_secs(5);

/// First upper bound of the pause before connecting again.
const RECONNECT_FIRST: Duration = Duration::from_millis(50);

/// Last upper bound of the pause before connecting again.
const RECONNECT_MOST: Duration = Duration::from_secs(1);

/// What comes back for an attempt.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A part of the body.
    Chunk {
        /// Number of the chunk, from 0.
        number: u64,
        /// Bytes of the body.
        data: bytes::Bytes,
    },
    /// The answer is complete.
    End {
        /// Number of chunks in the answer.
        chunks: u64,
    },
    /// The attempt ended without a whole answer.
    Failed {
        /// What is known of it.
        outcome: Outcome,
        /// What went wrong.
        message: Box<str>,
    },
    /// Status and headers.
    Head(AnswerHead),
    /// The connection was lost and did not come back to the same agent.
    Lost,
    /// The attempt did not run and never will.
    NotRun(NotRun),
}

/// How far the entry has read an answer.
#[derive(Debug, Default)]
pub struct Progress {
    next: AtomicU64,
    has_head: AtomicBool,
}

struct Waiting {
    answers: Sender<Answer>,
    agent_boot: BootId,
    progress: Arc<Progress>,
}

#[derive(Default)]
struct State {
    link: Option<(Sender<Frame>, BootId)>,
    waiting: HashMap<RequestId, Waiting>,
}

/// The way to one agent.
pub struct Port {
    /// Address of the agent.
    pub address: Box<str>,
    state: Mutex<State>,
}

/// An attempt in flight; dropping it before its end cancels it.
pub struct InFlight {
    /// Boot of the agent that received it.
    pub agent_boot: BootId,
    port: Arc<Port>,
    request: RequestId,
    answers: Receiver<Answer>,
    progress: Arc<Progress>,
    over: bool,
}

impl Port {
    /// Creates the way to the agent at `address`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.into(),
            state: Mutex::new(State::default()),
        }
    }

    /// Sends an attempt; returns `None` if no connection is open, and then
    /// nothing was sent.
    pub fn submit(self: &Arc<Self>, submit: Box<Submit>) -> Option<InFlight> {
        let request = submit.request;
        let (tx, answers) = async_channel::unbounded();
        let progress = Arc::new(Progress::default());
        let mut state = self.lock();
        let (link, agent_boot) = state.link.as_ref()?;
        let agent_boot = *agent_boot;
        link.try_send(Frame::Submit(submit)).ok()?;
        state.waiting.insert(
            request,
            Waiting {
                answers: tx,
                agent_boot,
                progress: progress.clone(),
            },
        );
        Some(InFlight {
            agent_boot,
            port: self.clone(),
            request,
            answers,
            progress,
            over: false,
        })
    }

    /// Sends a frame if a connection is open.
    pub fn send(&self, frame: Frame) {
        if let Some((link, _)) = &self.lock().link {
            // A closed link is reported by its receiver.
            let _ = link.try_send(frame);
        }
    }

    /// Takes over a new connection and continues attempts of the same boot.
    fn open(&self, tx: &Sender<Frame>, agent_boot: BootId) {
        let mut state = self.lock();
        state.link = Some((tx.clone(), agent_boot));
        state.waiting.retain(|request, waiting| {
            if waiting.agent_boot != agent_boot {
                let _ = waiting.answers.try_send(Answer::Lost);
                return false;
            }
            let resume = Frame::Resume {
                request: *request,
                next: waiting.progress.next.load(Ordering::Acquire),
                has_head: waiting.progress.has_head.load(Ordering::Acquire),
            };
            tx.try_send(resume).is_ok()
        });
    }

    fn close(&self) {
        self.lock().link = None;
    }

    fn lose_all(&self) {
        for (_, waiting) in self.lock().waiting.drain() {
            let _ = waiting.answers.try_send(Answer::Lost);
        }
    }

    fn deliver(&self, request: RequestId, answer: Answer) {
        let state = self.lock();
        if let Some(waiting) = state.waiting.get(&request) {
            let _ = waiting.answers.try_send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlight {
    /// Waits for what comes back next.
    pub async fn next(&mut self) -> Answer {
        let answer = self.answers.recv().await.unwrap_or(Answer::Lost);
        match &answer {
            Answer::Head(_) => self.progress.has_head.store(true, Ordering::Release),
            Answer::End { .. } | Answer::Failed { .. } => {
                self.ack(u64::MAX);
                self.over = true;
            }
            Answer::Lost | Answer::NotRun(_) => self.over = true,
            Answer::Chunk { .. } => {}
        }
        answer
    }

    /// Tells the agent that every chunk before `next` has been passed on.
    pub fn ack(&self, next: u64) {
        self.progress.next.store(next, Ordering::Release);
        let request = self.request;
        self.port.send(Frame::Ack { request, next });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.port.lock().waiting.remove(&self.request);
        if !self.over {
            let request = self.request;
            self.port.send(Frame::Cancel { request });
        }
    }
}

/// Keeps one agent connected.
pub struct Connector {
    /// The agent.
    pub agent: AgentKey,
    /// The way to it.
    pub port: Arc<Port>,
    /// What this process shows the agent.
    pub credentials: Arc<Credentials>,
    /// Traffic threads.
    pub traffic: Traffic,
    /// Where control frames go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl Connector {
    /// Connects, receives, and connects again, for as long as the process runs.
    pub async fn work(self) {
        let mut failures = 0;
        let mut lost_at = Instant::now();
        loop {
            let (address, log) = (&self.port.address, &self.log);
            match link::connect(address, &self.credentials, &self.traffic, log).await {
                Ok(link) => {
                    failures = 0;
                    if self.receive(link).await.is_none() {
                        return;
                    }
                    lost_at = Instant::now();
                }
                Err(error) => {
                    failures += 1;
                    slog::debug!(log, "connect failed"; "error" => %error);
                }
            }
            if lost_at.elapsed() >= RESUME_WINDOW {
                self.port.lose_all();
            }
            Timer::after(reconnect_pause(failures)).await;
        }
    }

    async fn receive(&self, link: Link) -> Option<()> {
        let Link { peer, tx, rx } = link;
        let agent = self.agent;
        info!(self.log, "agent connected"; "agent" => %peer.node, "address" => %self.port.address);
        let node = peer.node.clone();
        self.port.open(&tx, peer.boot);
        let up = Event::AgentUp {
            agent,
            identity: peer,
        };
        self.events.send(up).await.ok()?;
        while let Ok(frame) = rx.recv().await {
            if let Some(frame) = self.deliver(frame) {
                self.events.send(Event::Frame { agent, frame }).await.ok()?;
            }
        }
        self.port.close();
        info!(self.log, "agent lost"; "agent" => %node, "address" => %self.port.address);
        self.events.send(Event::AgentDown { agent }).await.ok()
    }

    /// Hands answers to their attempts; returns frames for the control thread.
    fn deliver(&self, frame: Frame) -> Option<Frame> {
        let (request, answer) = match frame {
            Frame::Chunk {
                request,
                number,
                data,
            } => (request, Answer::Chunk { number, data }),
            Frame::End { request, chunks } => (request, Answer::End { chunks }),
            Frame::Failed {
                request,
                outcome,
                message,
            } => (request, Answer::Failed { outcome, message }),
            Frame::Head { request, head } => (request, Answer::Head(head)),
            Frame::NotRun { request, not_run } => (request, Answer::NotRun(not_run)),
            other => return Some(other),
        };
        self.port.deliver(request, answer);
        None
    }
}

fn reconnect_pause(failures: u32) -> Duration {
    let bound = RECONNECT_MOST.min(RECONNECT_FIRST * (1 << failures.min(8)));
    bound.mul_f64(rand::rng().random::<f64>())
}
