//! What one entry does on behalf of all: watching, compacting, witnesses.
//!
//! Who does it is found by rendezvous hashing over the entries that a node
//! sees live. Two entries that see different ones may both do a duty for a
//! while; each duty is a read or a compare-and-swap, so that does no harm.

use crate::control::Control;
use dogwoodshunt_types::rendezvous;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at this entry's duties.
pub(super) const DUTY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Watchers of the log per failure domain.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Key by which the entry with the fleet-wide duties is found.
const KEEPER: &str = "keeper";

impl Control {
    pub(super) fn do_duties(&mut self, now: Instant) {
        let watching = self.is_watcher(now);
        let keeping = self.is_keeper(now);
        let watcher = &self.around.watcher;
        watcher.watching.store(watching, Ordering::Release);
        watcher.compacting.store(keeping, Ordering::Release);
        if !keeping || !self.replica.is_fresh(now) {
            return;
        }
        if let Some(change) = self.replica.wanted_witnesses(now) {
            // A change that is already on its way fills the channel.
            let _ = self.around.duties.try_send(change);
        }
    }

    fn is_watcher(&self, now: Instant) -> bool {
        let me = self.replica.me();
        let entries = self.replica.live_entries(now);
        let domain = entries.iter().filter(|entry| entry.domain == me.domain);
        let names = domain.map(|entry| entry.node.as_ref());
        let watchers = rendezvous::pick(&me.domain, names, WATCHERS_PER_DOMAIN);
        watchers.contains(&me.node.as_ref())
    }

    fn is_keeper(&self, now: Instant) -> bool {
        let entries = self.replica.live_entries(now);
        let names = entries.iter().map(|entry| entry.node.as_ref());
        let keeper = rendezvous::pick(KEEPER, names, 1);
        keeper == [self.replica.me().node.as_ref()]
    }
}
