//! Extra requests to the store that prove that the configuration is the newest one, when the proof
//! of the watch grows old or an unknown key is to be confirmed.
//!
//! Each request is a watch without wait after the last position of the watch of the operators'
//! records. It has a connection of its own, since that of the watch is taken. What it returns is
//! applied like the result of the watch; changes may therefore be applied twice.

use crate::control::ControlEvent;
use crate::control::shared_state::SharedState;
use crate::metrics::Metrics;
use crate::metrics::StoreOutcomeLabels;
use crate::watch::Topic;
use async_channel::Sender;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_border::kv::WatchOutcome;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::StoreEra;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Value of the `topic` label of these requests in metrics.
const METRIC_TOPIC: &str = "proof";

/// Position up to which the changes of the operators' records have been passed on to the control
/// thread, and the proofs that the watch of these records delivers.
#[derive(Debug)]
pub struct WatchProofs {
    shared_state: Arc<SharedState>,
    /// `None` while the records have to be listed.
    position: Mutex<Option<StorePosition>>,
}

impl WatchProofs {
    /// Creates the state of a watch that has not begun.
    pub fn new(shared_state: Arc<SharedState>) -> Self {
        Self {
            shared_state,
            position: Mutex::default(),
        }
    }

    /// Returns the time at which a request is sent.
    pub fn now(&self) -> BootTime {
        self.shared_state.currency.now()
    }

    /// Sets the position up to which all changes have been passed on; `None` if the records have to
    /// be listed.
    pub fn set_position(&self, position: Option<StorePosition>) {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    fn position(&self) -> Option<StorePosition> {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the extra requests.
pub struct ProofRequester<K> {
    /// Client of the store.
    pub kv: Arc<K>,
    /// Prefix of the operators' records.
    pub prefix: &'static str,
    /// Position of the watch of that prefix.
    pub proofs: Arc<WatchProofs>,
    /// Sends changes and proofs to the control thread.
    pub events: Sender<ControlEvent>,
    /// Executor of the requests.
    pub traffic: TrafficExecutor,
    /// Metrics of the entry.
    pub metrics: Metrics,
}

impl<K: WatchKv> ProofRequester<K> {
    /// Sends a request whenever one is due, until the control thread's event channel closes.
    pub async fn run(self) {
        let requester = Arc::new(self);
        while !requester.events.is_closed() {
            let sent_at = requester.proofs.shared_state.currency.extra_request().await;
            let request = requester.clone();
            // An answer that is slow or lost does not delay the next request.
            let request = async move { request.send_one(sent_at).await };
            requester.traffic.spawn(request).detach();
        }
    }

    /// Sends one request and passes on what it returns.
    pub(crate) async fn send_one(&self, sent_at: BootTime) {
        let outcome = match self.read_changes(sent_at).await {
            Ok(()) => "answered",
            Err(_) => "lost",
        };
        let labels = StoreOutcomeLabels {
            topic: METRIC_TOPIC,
            outcome,
        };
        let requests = &self.metrics.store_requests;
        requests.get_or_create(&labels).inc();
    }

    async fn read_changes(&self, sent_at: BootTime) -> Result<(), KvError> {
        let topic = Topic::Operator;
        if let Some(after) = self.proofs.position() {
            let no_wait = Duration::ZERO;
            let watched = self.kv.watch("proof", self.prefix, after, no_wait).await?;
            match watched {
                WatchOutcome::Changes(changes) => {
                    if !changes.is_empty() {
                        self.report(ControlEvent::StoreChanged { topic, changes })
                            .await;
                    }
                    self.report_proof(sent_at, after.era).await;
                    return Ok(());
                }
                // Neither says what the newest configuration is.
                WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {}
            }
        }
        let listing = self.kv.list("proof", self.prefix).await?;
        let era = listing.position.era;
        self.report(ControlEvent::StoreListed { topic, listing })
            .await;
        self.report_proof(sent_at, era).await;
        Ok(())
    }

    async fn report(&self, event: ControlEvent) {
        // The channel closes only while the process exits.
        let _ = self.events.send(event).await;
    }

    async fn report_proof(&self, sent_at: BootTime, era: StoreEra) {
        self.report(ControlEvent::ConfigProven { sent_at, era })
            .await;
    }
}
