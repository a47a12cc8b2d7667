//! Watches the operators' records and the list of upstreams in the platform's
//! store.
//!
//! A prefix is listed once and watched from the position of the listing on. Each watch
//! request resumes after the last change received, not at the store's present revision: a store
//! that delivers no changes for a while may still have applied some. If the store
//! has compacted the revisions after that change, or was restored from an older
//! copy since, the prefix is listed again.

use crate::control::ControlEvent;
use crate::proof_requests::WatchProofs;
use async_channel::Sender;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_border::kv::WatchOutcome;
use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::StoreEra;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound of the delay after the first failed request; doubled with each
/// further failure up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the delay after any failed request. Configuration changes must
/// be in force within a time limit, to which the delay adds at most 500 ms.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watched part of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Records written by operators.
    Operator,
    /// List of upstreams.
    Upstreams,
}

impl Topic {
    /// Returns the value of the `topic` label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Watches one key prefix of the platform's store.
pub struct PrefixWatcher<K> {
    /// Client of the store.
    pub kv: Arc<K>,
    /// Topic of the reported events.
    pub topic: Topic,
    /// Watched key prefix.
    pub prefix: &'static str,
    /// Longest time that one watch request waits for a change.
    pub watch_timeout: Duration,
    /// Delay between two watch requests; limits the number of requests for
    /// prefixes that change more often than the entry needs to learn of.
    pub watch_delay: Duration,
    /// Receives the position of the watch and what its answers prove; `None` if nothing depends on
    /// how recent the records are.
    pub proofs: Option<Arc<WatchProofs>>,
    /// Sends changes to the control thread.
    pub events: Sender<ControlEvent>,
    /// Logger for outages of the store.
    pub log: Logger,
}

impl<K: WatchKv> PrefixWatcher<K> {
    /// Watches the prefix until the control thread's event channel closes.
    pub async fn run(self) {
        let mut failures = 0;
        loop {
            self.set_position(None);
            let sent_at = self.now();
            let listed = self.kv.list("list", self.prefix).await;
            let Some(listing) = self.report_result(listed, &mut failures).await else {
                continue;
            };
            // Records of later pages may be newer than the position. What was written meanwhile
            // under keys of earlier pages is reported only from the position on.
            let mut after = listing.position;
            if !self.send_listing(listing).await {
                return;
            }
            self.set_position(Some(after));
            self.send_proof(sent_at, after.era).await;
            loop {
                let sent_at = self.now();
                let watched = self
                    .kv
                    .watch("watch", self.prefix, after, self.watch_timeout)
                    .await;
                match self.report_result(watched, &mut failures).await {
                    Some(WatchOutcome::Changes(changes)) => {
                        advance(&mut after, changes.iter().map(KeyChange::revision));
                        if !changes.is_empty() && !self.send_changes(changes).await {
                            return;
                        }
                        self.set_position(Some(after));
                        self.send_proof(sent_at, after.era).await;
                    }
                    Some(WatchOutcome::Compacted) => {
                        info!(self.log, "requested revision compacted, listing the prefix again";
                            "topic" => ?self.topic, "after" => after.revision);
                        break;
                    }
                    Some(WatchOutcome::Restored { era }) => {
                        warn!(self.log, "store restored from an older copy, listing the prefix again";
                            "topic" => ?self.topic, "after" => after.revision,
                            "era" => era, "before" => after.era);
                        break;
                    }
                    None => {}
                }
                Timer::after(self.watch_delay).await;
            }
        }
    }

    /// Reports to the control thread whether the store answered and returns the
    /// response. After an error, waits and returns `None`.
    async fn report_result<T>(&self, result: Result<T, KvError>, failures: &mut u32) -> Option<T> {
        match result {
            Ok(result) => {
                if *failures > 0 {
                    info!(self.log, "store regained"; "topic" => ?self.topic,
                        "failures" => *failures);
                    *failures = 0;
                }
                let _ = self
                    .events
                    .send(ControlEvent::StoreReachable(self.topic))
                    .await;
                Some(result)
            }
            Err(error) => {
                if *failures == 0 {
                    warn!(self.log, "store lost"; "topic" => ?self.topic, "error" => %error);
                }
                let _ = self
                    .events
                    .send(ControlEvent::StoreUnreachable(self.topic))
                    .await;
                let bound = MAX_RETRY_DELAY.min(INITIAL_RETRY_DELAY * (1 << (*failures).min(8)));
                *failures += 1;
                let jitter = rand::rng().random_range(0.5..1.0);
                Timer::after(bound.mul_f64(jitter)).await;
                None
            }
        }
    }

    async fn send_listing(&self, listing: Listing) -> bool {
        let topic = self.topic;
        let event = ControlEvent::StoreListed { topic, listing };
        self.events.send(event).await.is_ok()
    }

    /// Returns when the next request is sent, if its answer proves something.
    fn now(&self) -> Option<BootTime> {
        self.proofs.as_ref().map(|proofs| proofs.now())
    }

    fn set_position(&self, position: Option<StorePosition>) {
        if let Some(proofs) = &self.proofs {
            proofs.set_position(position);
        }
    }

    /// Reports what an answer proves, after all changes in it.
    async fn send_proof(&self, sent_at: Option<BootTime>, era: StoreEra) {
        if let Some(sent_at) = sent_at {
            // The channel closes only while the process exits.
            let _ = self
                .events
                .send(ControlEvent::ConfigProven { sent_at, era })
                .await;
        }
    }

    async fn send_changes(&self, changes: Vec<KeyChange>) -> bool {
        let topic = self.topic;
        let event = ControlEvent::StoreChanged { topic, changes };
        self.events.send(event).await.is_ok()
    }
}

/// Advances `position` to the highest of the given revisions of its era.
fn advance(position: &mut StorePosition, revisions: impl Iterator<Item = i64>) {
    position.revision = revisions.fold(position.revision, i64::max);
}
