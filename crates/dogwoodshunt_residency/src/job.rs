//! The life cycle of a submitted request inside the agent.

use crate::demand::Demand;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::time::Instant;

slotmap::new_key_type! {
    /// Names a job for as long as the agent holds it.
    pub struct JobKey;
}

/// What a request asks for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Target {
    /// A completion by one version of an adapter.
    Adapter {
        /// The adapter and version that must run.
        adapter: AdapterRef,
        /// Base model that the adapter belongs to.
        base_model: Box<str>,
    },
    /// A completion by a base model, without an adapter.
    BaseModel(Box<str>),
    /// A call of a plain service.
    Service(ServiceName),
}

impl Target {
    /// Returns the adapter that must be resident, if any.
    pub fn adapter(&self) -> Option<&AdapterRef> {
        match self {
            Self::Adapter { adapter, .. } => Some(adapter),
            Self::BaseModel(_) | Self::Service(_) => None,
        }
    }

    /// Returns the base model that must be loaded, if any.
    pub fn base_model(&self) -> Option<&str> {
        match self {
            Self::Adapter { base_model, .. } | Self::BaseModel(base_model) => Some(base_model),
            Self::Service(_) => None,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adapter { adapter, .. } => adapter.fmt(f),
            Self::BaseModel(name) => write!(f, "base/{name}"),
            Self::Service(name) => write!(f, "services/{name}"),
        }
    }
}

/// State of a job that waits in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// State of a job that an upstream is running.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Upstream that runs the job.
    pub upstream: UpstreamKey,
    /// Boot of the upstream at dispatch.
    pub boot: Option<BootId>,
    /// When the job was dispatched.
    pub since: Instant,
    /// Tokens of the prompt that the upstream has still to read.
    pub unread: u64,
}

/// A submitted request in state `S`.
///
/// Only a [`Queued`] job can be refused, so a job that was handed to an
/// upstream cannot be reported as not run unless the upstream said so.
#[derive(Clone, Debug)]
pub struct Job<S> {
    /// Attempt that this job answers.
    pub request: RequestId,
    /// What the request asks for.
    pub target: Target,
    /// Class of the request.
    pub priority: Priority,
    /// When the agent received the request.
    pub arrived: Instant,
    /// When the caller stops waiting for the first byte.
    pub deadline: Option<Instant>,
    /// How often an upstream has declined the job.
    pub declined: u32,
    /// What the run costs the engine.
    pub demand: Demand,
    /// When the first byte stops being on time.
    pub due: Option<Instant>,
    state: S,
}

/// A definite refusal; it exists only for jobs that were in the queue.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Attempt that is refused.
    pub request: RequestId,
    /// Why, and when to try again.
    pub not_run: NotRun,
}

impl Job<Queued> {
    /// Creates a job in the queue.
    pub fn new(
        request: RequestId,
        target: Target,
        priority: Priority,
        arrived: Instant,
        deadline: Option<Instant>,
    ) -> Self {
        Self {
            request,
            target,
            priority,
            arrived,
            deadline,
            declined: 0,
            demand: Demand::default(),
            due: None,
            state: Queued,
        }
    }

    /// Adds what the run costs an engine, and when its first byte is due.
    #[must_use]
    pub fn with_demand(mut self, demand: Demand, due: Option<Instant>) -> Self {
        self.demand = demand;
        self.due = due;
        self
    }

    /// Hands the job to `upstream`.
    pub fn dispatch(
        self,
        now: Instant,
        upstream: UpstreamKey,
        boot: Option<BootId>,
        unread: u64,
    ) -> Job<Running> {
        self.with_state(Running {
            upstream,
            boot,
            since: now,
            unread,
        })
    }

    /// Gives the job up without having run it.
    pub fn refuse(self, not_run: NotRun) -> Refused {
        Refused {
            request: self.request,
            not_run,
        }
    }
}

impl Job<Running> {
    /// Returns the upstream that runs the job.
    pub fn upstream(&self) -> UpstreamKey {
        self.state.upstream
    }

    /// Returns the boot of the upstream at dispatch.
    pub fn boot(&self) -> Option<BootId> {
        self.state.boot
    }

    /// Returns when the job was dispatched.
    pub fn since(&self) -> Instant {
        self.state.since
    }

    /// Returns the tokens of the prompt that the upstream has still to read.
    pub fn unread(&self) -> u64 {
        self.state.unread
    }

    /// Records that the whole prompt has been read, and returns what was left.
    pub fn mark_read(&mut self) -> u64 {
        std::mem::take(&mut self.state.unread)
    }

    /// Puts the job back after its upstream declined it without running it.
    pub fn declined(mut self) -> Job<Queued> {
        self.declined += 1;
        self.with_state(Queued)
    }
}

impl<S> Job<S> {
    fn with_state<T>(self, state: T) -> Job<T> {
        Job {
            request: self.request,
            target: self.target,
            priority: self.priority,
            arrived: self.arrived,
            deadline: self.deadline,
            declined: self.declined,
            demand: self.demand,
            due: self.due,
            state,
        }
    }
}

/// A job in either state, as the agent stores it.
#[derive(Clone, Debug)]
pub enum AnyJob {
    /// The job waits.
    Queued(Job<Queued>),
    /// The job runs.
    Running(Job<Running>),
}

/// How the run of a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The upstream declined the job before it ran, for lack of the adapter.
    AdapterMissing,
    /// The upstream could not be reached, so it has not received the job.
    Unreached,
    /// The upstream answered, or the connection broke after it had the job.
    Over,
}
