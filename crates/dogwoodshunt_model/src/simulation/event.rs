//! Events of the simulation.

use crate::engine::SimRequestId;
use dogwoodshunt_residency::Report;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;

/// Event of the simulation.
///
/// `id` identifies a request; `entry` and `host_index` are indices.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The request reaches the agent that the router selected.
    Submit { id: SimRequestId, host_index: usize },
    /// The request reaches its entry.
    Arrival { id: SimRequestId },
    /// The entry learns that the agent has declined the request.
    Declined {
        id: SimRequestId,
        host_index: usize,
        not_run: NotRun,
    },
    /// The agent learns that the caller has received the first byte.
    FirstByte { id: SimRequestId },
    /// A timeout of the caller expires.
    CallerTimeout { id: SimRequestId },
    /// The request that the agent has granted reaches the engine.
    Granted { id: SimRequestId, host_index: usize },
    /// A load from the host cache finishes.
    Loaded {
        host_index: usize,
        adapter: AdapterRef,
    },
    /// The agent looks whether its rate limit allows a dispatch.
    DispatchDue { host_index: usize },
    /// The engine names its rate limit.
    LimitNamed { host_index: usize },
    /// The agent's next report is due.
    ReportDue { host_index: usize },
    /// A report of an agent reaches an entry.
    ReportReceived {
        entry: usize,
        host_index: usize,
        report: Box<Report>,
    },
    /// The agent learns that the response is complete.
    RequestFinished { id: SimRequestId },
    /// The engine's current step ends.
    StepFinished { host_index: usize },
    /// The weight store advances.
    WeightStoreTick,
}
