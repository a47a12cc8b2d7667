//! What the runtime must do after an event.

use crate::job::JobKey;
use crate::job::Refused;
use crate::upstream::UpstreamKey;
use dogwoodshunt_types::AdapterRef;

/// What the runtime must do after an event.
#[derive(Clone, Debug)]
pub enum Action {
    /// Stop the run of a job whose caller has gone.
    CancelRun {
        /// Job to stop.
        job: JobKey,
    },
    /// Send a job to an upstream.
    Dispatch {
        /// Job to send.
        job: JobKey,
        /// Upstream to send it to.
        upstream: UpstreamKey,
    },
    /// Order an upstream to load its base model.
    LoadBase {
        /// Upstream to order.
        upstream: UpstreamKey,
    },
    /// Order an upstream to load an adapter.
    Load {
        /// Upstream to order.
        upstream: UpstreamKey,
        /// Adapter to load.
        adapter: AdapterRef,
    },
    /// Tell the entry that a job was not run.
    NotRun {
        /// Job that is given up.
        job: JobKey,
        /// Statement for the entry.
        refused: Refused,
    },
    /// Ask an upstream what it holds.
    Probe {
        /// Upstream to ask.
        upstream: UpstreamKey,
    },
    /// Order an upstream to unload an adapter.
    Unload {
        /// Upstream to order.
        upstream: UpstreamKey,
        /// Adapter to unload.
        adapter: AdapterRef,
    },
}
