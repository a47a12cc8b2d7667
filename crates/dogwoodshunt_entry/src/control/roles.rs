//! Roles that only some entries hold: polling and compacting the log, changing
//! the set of witnesses, and granting loads.
//!
//! Each entry determines its roles by rendezvous hashing over the entries that
//! it considers live. Entries that consider different sets live may hold the same
//! role for a while; that does no harm, since each task is a read or a
//! compare-and-swap.

use crate::control::Control;
use dogwoodshunt_types::rendezvous;
use dogwoodshunt_wire::Frame;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Interval between updates of the roles that this entry holds.
pub(super) const ROLE_UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of entries per failure domain that poll the log.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Rendezvous key of the role that compacts the log and changes the set of witnesses.
const MAINTENANCE_ROLE: &str = "keeper";

/// Rendezvous key of the role that grants loads.
const GRANTER_ROLE: &str = "granter";

impl Control {
    pub(super) fn update_roles(&mut self, now: Instant) {
        let is_watcher = self.is_watcher(now);
        let is_maintainer = self.holds_role(now, MAINTENANCE_ROLE);
        let log_watcher = &self.context.log_watcher_control;
        log_watcher.enabled.store(is_watcher, Ordering::Release);
        log_watcher
            .compaction_enabled
            .store(is_maintainer, Ordering::Release);
        self.is_granter = self.holds_role(now, GRANTER_ROLE);
        if !is_maintainer || !self.replica.is_fresh(now) {
            return;
        }
        if let Some(change) = self.replica.next_witness_change(now) {
            // The channel is full while the previous change is still being appended.
            let _ = self.context.witness_changes.try_send(change);
        }
    }

    fn is_watcher(&self, now: Instant) -> bool {
        let identity = self.replica.identity();
        let entries = self.replica.live_entry_processes(now);
        let domain = entries
            .iter()
            .filter(|entry| entry.domain == identity.domain);
        let names = domain.map(|entry| entry.node.as_ref());
        let watchers = rendezvous::highest_ranked(&identity.domain, names, WATCHERS_PER_DOMAIN);
        watchers.contains(&identity.node.as_ref())
    }

    /// Sends the next load grants to the agents if this entry holds the granter role.
    pub(super) fn send_load_grants(&mut self, now: Instant) {
        if !self.is_granter {
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

    /// Returns whether this entry ranks highest for `role`.
    fn holds_role(&self, now: Instant, role: &str) -> bool {
        let entries = self.replica.live_entry_processes(now);
        let names = entries.iter().map(|entry| entry.node.as_ref());
        let holder = rendezvous::highest_ranked(role, names, 1);
        holder == [self.replica.identity().node.as_ref()]
    }
}
