//! Moving a bare adapter name from one version to the next.
//!
//! A bare name goes on meaning the version before until the new one is ready
//! on some agent, so that no request waits for the load. It moves at the
//! latest [`SWITCH_LIMIT`] after the note can have been accepted.

use crate::control::Control;
use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_routing::agent::Presence;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Revision;
use std::time::Duration;
use std::time::Instant;

/// Longest time for which a bare name means the version before, from the last
/// moment at which the note cannot have been accepted.
const SWITCH_LIMIT: Duration = Duration::from_millis(2_000);

/// A bare name that still means the version before.
#[derive(Clone, Debug)]
pub(super) struct Switch {
    until: Instant,
}

/// The newest note that moved bare names.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastSwitch {
    revision: Revision,
    accepted_at: Option<Instant>,
}

impl Control {
    /// Notes the adapters that moved to a new version after `before`.
    pub(super) fn begin_switches(&mut self, before: Revision) {
        let Some(as_of) = self.as_of else {
            return;
        };
        let until = as_of + SWITCH_LIMIT;
        let entries = self.replica.catalogue().entries_after(before);
        for entry in entries.into_iter().flatten() {
            let Change::Release(note) = entry.change else {
                continue;
            };
            if !note.changed.is_empty() {
                self.last_switch = Some(LastSwitch {
                    revision: entry.revision,
                    accepted_at: None,
                });
            }
            for spec in note.changed {
                self.switching.insert(spec.adapter, Switch { until });
            }
        }
    }

    /// Notes when the newest note that moved bare names is seen accepted.
    pub(super) fn note_switch_accepted(&mut self, now: Instant) {
        let Some(last) = self.last_switch.filter(|last| last.accepted_at.is_none()) else {
            return;
        };
        if self.replica.replication_status(now, last.revision).accepted {
            self.last_switch = Some(LastSwitch {
                accepted_at: Some(now),
                ..last
            });
        }
    }

    /// Returns whether some entry may still use a version that a note up to
    /// `revision` replaced: any entry does so for at most [`SWITCH_LIMIT`]
    /// after the acceptance.
    pub(super) fn may_be_switching(&self, now: Instant, revision: Revision) -> bool {
        let last = self.last_switch.filter(|last| last.revision <= revision);
        last.is_some_and(|last| {
            last.accepted_at
                .is_none_or(|at| now.saturating_duration_since(at) < SWITCH_LIMIT)
        })
    }

    /// Ends the switches that are done or due.
    pub(super) fn end_switches(&mut self, now: Instant) {
        if self.switching.is_empty() {
            return;
        }
        let over: Vec<AdapterName> = self
            .switching
            .iter()
            .filter(|(name, switch)| switch.until <= now || self.is_new_version_ready(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.switching.remove(&name);
        }
    }

    /// Returns the version before, while the bare name still means it.
    pub(super) fn version_before(&self, now: Instant, name: &str) -> Option<&AdapterSpec> {
        let switch = self.switching.get(name)?;
        if switch.until <= now {
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
        let mut agents = self.router.agents().filter(|(_, agent)| agent.takes_work());
        let ready = agents.any(|(_, agent)| agent.presence(&adapter) == Presence::Ready);
        ready || catalogue.previous_version(name).is_none()
    }
}
