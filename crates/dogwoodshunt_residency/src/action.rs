//! Actions that the scheduler returns to the agent's runtime.

use crate::job::JobKey;
use crate::job::Refusal;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;

/// Side effect that the scheduler leaves to the agent's runtime.
#[derive(Clone, Debug)]
pub enum Action {
    /// Stops the run of a job that was cancelled.
    CancelRun {
        /// Running job.
        job: JobKey,
    },
    /// Sends a job to an upstream.
    Dispatch {
        /// Job that leaves the queue.
        job: JobKey,
        /// Upstream that runs the job.
        upstream: UpstreamKey,
    },
    /// Orders an upstream to load its base model.
    LoadBaseModel {
        /// Upstream that receives the order.
        upstream: UpstreamKey,
    },
    /// Orders an upstream to load an adapter.
    Load {
        /// Upstream that receives the order.
        upstream: UpstreamKey,
        /// Adapter to load.
        adapter: AdapterRef,
    },
    /// Tells the entry that a job was not run.
    NotRun {
        /// Job that leaves the queue.
        job: JobKey,
        /// Request and reason to report to the entry.
        refusal: Refusal,
    },
    /// Queries an upstream for its boot ID, resident adapters and limits.
    Probe {
        /// Upstream to query.
        upstream: UpstreamKey,
    },
    /// Orders an upstream to unload an adapter.
    Unload {
        /// Upstream that receives the order.
        upstream: UpstreamKey,
        /// Adapter to unload.
        adapter: AdapterRef,
    },
}
