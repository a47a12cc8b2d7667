//! Jobs: requests submitted to the agent, and their life cycle.

use crate::demand::Demand;
use crate::fair_share::Group;
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
use std::time::Duration;
use std::time::Instant;

slotmap::new_key_type! {
    /// Identifies a job while the job is queued or running.
    pub struct JobKey;
}

/// Adapter, base model or service that a request addresses.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Target {
    /// Completion by one version of an adapter.
    Adapter {
        /// Adapter and version.
        adapter: AdapterRef,
        /// Base model of the adapter.
        base_model: Box<str>,
    },
    /// Completion by a base model without an adapter.
    BaseModel(Box<str>),
    /// Call of a plain service, which has neither a model nor adapters.
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

/// State of a job in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// State of a job on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Upstream that runs the job.
    pub upstream: UpstreamKey,
    /// Boot ID of the upstream at dispatch, if known. A run does not survive a
    /// restart of the upstream.
    pub boot: Option<BootId>,
    /// Time of dispatch.
    pub dispatched_at: Instant,
    /// Prompt tokens that the upstream has not yet processed.
    pub pending_prefill: u64,
    /// Work that was charged to the workspace at dispatch.
    pub charged_work: f64,
    /// Whether the first byte of the response has arrived.
    pub is_begun: bool,
}

/// Gap limits of a job whose entry paces prompts by the gaps that they make in streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pacing {
    /// Longest gap between two events of the response that counts as on time; `None` if the
    /// response is not a stream.
    pub max_event_gap: Option<Duration>,
}

/// A submitted request in state `S`.
///
/// Only a [`Queued`] job can be refused. A dispatched job can therefore be reported
/// as not run only after the job has returned to the queue, because its upstream
/// declined the job or was unreachable.
#[derive(Clone, Debug)]
pub struct Job<S> {
    /// Identifier of the request attempt.
    pub request: RequestId,
    /// Adapter, base model or service that the request addresses.
    pub target: Target,
    /// Priority of the request.
    pub priority: Priority,
    /// Time at which the agent received the request.
    pub arrived: Instant,
    /// Time at which the caller stops waiting for the first byte.
    pub deadline: Option<Instant>,
    /// Number of dispatches that returned the job to the queue.
    pub failed_dispatches: u32,
    /// Resource demand on the engine.
    pub demand: Demand,
    /// Time after which the first byte misses the latency objective. From then on,
    /// the job is dispatched after jobs of the same priority that can still meet
    /// their objective.
    pub slo_deadline: Option<Instant>,
    /// Workspace of the caller, if any.
    pub workspace: Group,
    /// Gap limits by which the job is paced; `None` if its entry does not pace prompts.
    pub pacing: Option<Pacing>,
    state: S,
}

/// Refusal of a queued job, which has therefore not run.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Identifier of the refused request attempt.
    pub request: RequestId,
    /// Workspace of the caller, if any.
    pub workspace: Group,
    /// Reason for the refusal, and retry delay.
    pub not_run: NotRun,
}

impl Job<Queued> {
    /// Returns until when a dispatch is of use to the caller: until the latency objective, if
    /// there is one, or else the deadline.
    pub(crate) fn useful_until(&self) -> Option<Instant> {
        self.slo_deadline.or(self.deadline)
    }

    /// Creates a queued job of unknown demand.
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
            failed_dispatches: 0,
            demand: Demand::default(),
            slo_deadline: None,
            workspace: None,
            pacing: None,
            state: Queued,
        }
    }

    /// Sets the resource demand, and the time after which the first byte misses the
    /// latency objective.
    #[must_use]
    pub fn with_demand(mut self, demand: Demand, slo_deadline: Option<Instant>) -> Self {
        self.demand = demand;
        self.slo_deadline = slo_deadline;
        self
    }

    /// Sets the workspace of the caller.
    #[must_use]
    pub fn with_workspace(mut self, workspace: Group) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the gap limits by which the job is paced.
    #[must_use]
    pub fn with_pacing(mut self, pacing: Option<Pacing>) -> Self {
        self.pacing = pacing;
        self
    }

    /// Marks the job as running on `upstream`, which has `pending_prefill` tokens of the
    /// prompt to process.
    pub fn dispatch(
        self,
        now: Instant,
        upstream: UpstreamKey,
        boot: Option<BootId>,
        pending_prefill: u64,
    ) -> Job<Running> {
        self.with_state(Running {
            upstream,
            boot,
            dispatched_at: now,
            pending_prefill,
            charged_work: 0.0,
            is_begun: false,
        })
    }

    /// Converts the job, which has not run, into a refusal.
    pub fn refuse(self, not_run: NotRun) -> Refusal {
        Refusal {
            request: self.request,
            workspace: self.workspace,
            not_run,
        }
    }
}

impl Job<Running> {
    /// Returns the upstream that runs the job.
    pub fn upstream(&self) -> UpstreamKey {
        self.state.upstream
    }

    /// Returns the boot ID of the upstream at dispatch, if known.
    pub fn boot(&self) -> Option<BootId> {
        self.state.boot
    }

    /// Returns the time of dispatch.
    pub fn dispatched_at(&self) -> Instant {
        self.state.dispatched_at
    }

    /// Returns the prompt tokens that the upstream has not yet processed.
    pub fn pending_prefill(&self) -> u64 {
        self.state.pending_prefill
    }

    /// Returns the work that was charged to the workspace at dispatch.
    pub fn charged_work(&self) -> f64 {
        self.state.charged_work
    }

    /// Records the work that is charged to the workspace.
    #[must_use]
    pub fn with_charged_work(mut self, work: f64) -> Self {
        self.state.charged_work = work;
        self
    }

    /// Returns the gap limit of the response if it is a stream that has begun.
    pub fn begun_stream_gap(&self) -> Option<Duration> {
        let pacing = self.pacing.filter(|_| self.state.is_begun);
        pacing.and_then(|pacing| pacing.max_event_gap)
    }

    /// Marks the whole prompt as processed and returns the tokens that were pending.
    pub fn finish_prefill(&mut self) -> u64 {
        self.state.is_begun = true;
        std::mem::take(&mut self.state.pending_prefill)
    }

    /// Returns the job to the queued state after a dispatch that ended without a run.
    pub fn requeue(mut self) -> Job<Queued> {
        self.failed_dispatches += 1;
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
            failed_dispatches: self.failed_dispatches,
            demand: self.demand,
            slo_deadline: self.slo_deadline,
            workspace: self.workspace,
            pacing: self.pacing,
            state,
        }
    }
}

/// Job in either state, as the scheduler stores it.
#[derive(Clone, Debug)]
pub enum AnyJob {
    /// Job in the queue.
    Queued(Job<Queued>),
    /// Job on an upstream.
    Running(Job<Running>),
}

/// Outcome of a dispatched job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream declined the job because it lacks the adapter; the job has not
    /// run.
    AdapterMissing,
    /// The upstream could not be reached and has not received the job.
    Unreachable,
    /// The upstream responded, or the connection was lost after the upstream had
    /// received the job. The job may have run, and the agent does not retry it.
    Finished,
}
