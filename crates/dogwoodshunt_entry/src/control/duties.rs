//! What one entry does on behalf of all: watching, compacting, witnesses, loads.
//!
//! Who does it is found by rendezvous hashing over the entries that a node
//! sees live. Two entries that see different ones may both do a duty for a
//! while; each duty is a read or a compare-and-swap, so that does no harm.

use crate::control::Control;
use dogwoodshunt_types::rendezvous;
use dogwoodshunt_wire::Frame;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at this entry's duties.
pub(super) const DUTY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Watchers of the log per failure domain.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Key by which the entry with the fleet-wide duties is found.
const KEEPER: &str = "keeper";

/// Key by which the entry that decides on loads is found.
const GRANTER: &str = "granter";

impl Control {
    pub(super) fn do_duties(&mut self, now: Instant) {
        let watching = self.is_watcher(now);
        let keeping = self.is_first(now, KEEPER);
        let watcher = &self.around.watcher;
        watcher.watching.store(watching, Ordering::Release);
        watcher.compacting.store(keeping, Ordering::Release);
        self.granting = self.is_first(now, GRANTER);
        if !keeping || !self.replica.is_fresh(now) {
            return;
        }
        if let Some(change) = self.replica.next_witness_change(now) {
            // A change that is already on its way fills the channel.
            let _ = self.around.duties.try_send(change);
        }
    }

    fn is_watcher(&self, now: Instant) -> bool {
        let me = self.replica.identity();
        let entries = self.replica.live_entry_processes(now);
        let domain = entries.iter().filter(|entry| entry.domain == me.domain);
        let names = domain.map(|entry| entry.node.as_ref());
        let watchers = rendezvous::highest_ranked(&me.domain, names, WATCHERS_PER_DOMAIN);
        watchers.contains(&me.node.as_ref())
    }

    /// Says which loads come next, if that is this entry's duty.
    pub(super) fn grant_loads(&mut self, now: Instant) {
        if !self.granting {
            return;
        }
        for grant in self.granter.next_grants(now) {
            let frame = Frame::Grant {
                adapter: grant.adapter,
                valid_for: grant.valid_for,
            };
            self.send(grant.agent, frame);
        }
    }

    /// Returns whether this entry is the first for `duty`.
    fn is_first(&self, now: Instant, duty: &str) -> bool {
        let entries = self.replica.live_entry_processes(now);
        let names = entries.iter().map(|entry| entry.node.as_ref());
        let first = rendezvous::highest_ranked(duty, names, 1);
        first == [self.replica.identity().node.as_ref()]
    }
}
