//! Switch of a bare adapter name from one version to the next.
//!
//! After a release, a bare name resolves to the previous version until the new
//! version is ready on some agent, so that no request waits for the load. The
//! switch ends at most [`MAX_SWITCH_DURATION`] after the earliest time at which
//! the release note can have been accepted.

use crate::control::Control;
use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_routing::agent::Presence;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Revision;
use std::time::Duration;
use std::time::Instant;

/// Maximum time for which a bare name resolves to the previous version.
///
/// The time counts from the last moment at which the release note is known not to have
/// been accepted.
const MAX_SWITCH_DURATION: Duration = Duration::from_millis(2_000);

/// Switch of a bare name that still resolves to the previous version.
#[derive(Clone, Debug)]
pub(super) struct PendingSwitch {
    /// Time from which on the name resolves to the new version, ready or not.
    deadline: Instant,
}

/// Newest release note that changed the version of an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastVersionChange {
    revision: Revision,
    /// Time at which this entry first saw the release note as accepted.
    accepted_at: Option<Instant>,
}

impl Control {
    /// Starts a switch for each adapter whose version changed after `after_revision`.
    ///
    /// Without a time as of which the catalogue was fresh, the deadline of a switch is
    /// unknown; bare names then resolve to the new versions at once.
    pub(super) fn start_switches(&mut self, after_revision: Revision) {
        let Some(fresh_as_of) = self.fresh_as_of else {
            return;
        };
        let deadline = fresh_as_of + MAX_SWITCH_DURATION;
        let entries = self.replica.catalogue().entries_after(after_revision);
        for entry in entries.into_iter().flatten() {
            let Change::Release(note) = entry.change else {
                continue;
            };
            if !note.changed.is_empty() {
                self.last_version_change = Some(LastVersionChange {
                    revision: entry.revision,
                    accepted_at: None,
                });
            }
            for spec in note.changed {
                self.pending_switches
                    .insert(spec.adapter, PendingSwitch { deadline });
            }
        }
    }

    /// Records the time at which the newest release note that changed a version is first
    /// seen as accepted.
    pub(super) fn record_version_change_acceptance(&mut self, now: Instant) {
        let Some(last) = self
            .last_version_change
            .filter(|last| last.accepted_at.is_none())
        else {
            return;
        };
        if self.replica.replication_status(now, last.revision).accepted {
            self.last_version_change = Some(LastVersionChange {
                accepted_at: Some(now),
                ..last
            });
        }
    }

    /// Returns whether some entry may still resolve bare names to a version that a release
    /// note up to `revision` replaced.
    ///
    /// Every entry resolves them to the new version at the latest [`MAX_SWITCH_DURATION`]
    /// after the note is accepted.
    pub(super) fn may_serve_replaced_version(&self, now: Instant, revision: Revision) -> bool {
        let last = self
            .last_version_change
            .filter(|last| last.revision <= revision);
        last.is_some_and(|last| {
            last.accepted_at
                .is_none_or(|at| now.saturating_duration_since(at) < MAX_SWITCH_DURATION)
        })
    }

    /// Removes switches whose new version is ready or whose deadline has passed.
    pub(super) fn remove_finished_switches(&mut self, now: Instant) {
        if self.pending_switches.is_empty() {
            return;
        }
        let finished: Vec<AdapterName> = self
            .pending_switches
            .iter()
            .filter(|(name, switch)| switch.deadline <= now || self.is_new_version_ready(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in finished {
            self.pending_switches.remove(&name);
        }
    }

    /// Returns the previous version of the adapter while a switch of its bare name is
    /// pending.
    pub(super) fn version_before_switch(&self, now: Instant, name: &str) -> Option<&AdapterSpec> {
        let switch = self.pending_switches.get(name)?;
        if switch.deadline <= now {
            return None;
        }
        self.replica.catalogue().previous_version(name)
    }

    fn is_new_version_ready(&self, name: &str) -> bool {
        let catalogue = self.replica.catalogue();
        let Ok(spec) = catalogue.resolve(name, None) else {
            return true;
        };
        let adapter = spec.adapter_ref();
        let mut agents = self
            .router
            .agents()
            .filter(|(_, agent)| agent.accepts_requests());
        let ready = agents.any(|(_, agent)| agent.presence(&adapter) == Presence::Ready);
        ready || catalogue.previous_version(name).is_none()
    }
}
