//! Following what operators write and which upstreams there are.
//!
//! A prefix is listed once and watched from then on. A watch goes on from the
//! last change that it has brought, not from the store's present revision: a
//! store that brings no changes for a while may still have made some, and then
//! says that its history is gone, which has the prefix listed again.

use crate::control::Event;
use async_channel::Sender;
use dogwoodshunt_border::kv::Change;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_border::kv::Watched;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// First pause after a failed call; doubled with each further one, up to the last.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Last pause after a failed call: half of a second at most is added to the
/// time in which a change of the configuration must be in force.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// What operators write.
    Operator,
    /// The list of upstreams.
    Upstreams,
}

impl Topic {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Follows one prefix of the platform's store.
pub struct Follower<K> {
    /// The store.
    pub kv: Arc<K>,
    /// What is followed.
    pub topic: Topic,
    /// Prefix of its keys.
    pub prefix: &'static str,
    /// How long one watch waits for a change.
    pub wait: Duration,
    /// Pause between two watches, where changes come more often than needed.
    pub pause: Duration,
    /// Where changes go.
    pub events: Sender<Event>,
    /// Where the loss of the store is logged.
    pub log: Logger,
}

impl<K: WatchKv> Follower<K> {
    /// Follows the prefix until the control state is gone.
    pub async fn work(self) {
        let mut failures = 0;
        loop {
            let listed = self.kv.list("list", self.prefix).await;
            let Some(listing) = self.note(listed, &mut failures).await else {
                continue;
            };
            let newest = listing.records.iter().map(|record| record.mod_revision);
            let mut after = newest.fold(listing.revision, i64::max);
            if !self.tell_listing(listing).await {
                return;
            }
            loop {
                let watched = self.kv.watch("watch", self.prefix, after, self.wait).await;
                match self.note(watched, &mut failures).await {
                    Some(Watched::Changes(changes)) => {
                        let newest = changes.iter().map(Change::revision);
                        after = newest.fold(after, i64::max);
                        if !changes.is_empty() && !self.tell_changes(changes).await {
                            return;
                        }
                    }
                    Some(Watched::Compacted) => {
                        info!(self.log, "history gone"; "topic" => ?self.topic, "after" => after);
                        break;
                    }
                    None => {}
                }
                Timer::after(self.pause).await;
            }
        }
    }

    /// Tells the control state whether the store answered, and waits if not.
    async fn note<T>(&self, answer: Result<T, KvError>, failures: &mut u32) -> Option<T> {
        match answer {
            Ok(answer) => {
                if *failures > 0 {
                    info!(self.log, "store regained"; "topic" => ?self.topic,
                        "failures" => *failures);
                    *failures = 0;
                }
                let _ = self.events.send(Event::StoreAnswered(self.topic)).await;
                Some(answer)
            }
            Err(error) => {
                if *failures == 0 {
                    warn!(self.log, "store lost"; "topic" => ?self.topic, "error" => %error);
                }
                let _ = self.events.send(Event::StoreLost(self.topic)).await;
                let pause = PAUSE_MOST.min(PAUSE_FIRST * (1 << (*failures).min(8)));
                *failures += 1;
                let spread = rand::rng().random_range(0.5..1.0);
                Timer::after(pause.mul_f64(spread)).await;
                None
            }
        }
    }

    async fn tell_listing(&self, listing: Listing) -> bool {
        let topic = self.topic;
        let event = Event::Listing { topic, listing };
        self.events.send(event).await.is_ok()
    }

    async fn tell_changes(&self, changes: Vec<Change>) -> bool {
        let topic = self.topic;
        let event = Event::Changes { topic, changes };
        self.events.send(event).await.is_ok()
    }
}
