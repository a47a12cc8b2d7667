//! The upstreams that the platform's store lists, with tolerance for store outages and for
//! restores of the store from an older copy.
//!
//! What an upstream has announced holds until its process ends: a later record that lists the
//! process as not leaving is out of date, and so is a record of a process that was removed before
//! a restore.

use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time after the store has become available again within which upstreams whose
/// records expired during the outage list themselves again.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which a removal is remembered: longer than a restored store keeps the records of
/// upstreams that have ended.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// An upstream as the store lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedUpstream {
    /// Name of the upstream, which changes with each restart of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: FailureDomain,
    /// Start time of the upstream by its own clock, in milliseconds; 0 if the record
    /// contains none.
    pub started: UnixMillis,
    /// Version of the software of the upstream; `None` if the record contains none.
    pub software: Option<SoftwareVersion>,
    /// Whether the upstream accepts no new requests.
    pub leaving: bool,
}

impl ListedUpstream {
    /// Returns the upstream at this address as its agent sees it. If the process that runs is not
    /// the listed one, the version of its software is not known. A start time of 0 is not known
    /// either.
    ///
    /// Returns `None` if the service of the process is not known: upstreams of other services use
    /// the addresses of those that are gone, so for another name than the listed one only the
    /// agent can name the service.
    pub fn as_seen(
        &self,
        name: &str,
        started: UnixMillis,
        service: Option<ServiceName>,
    ) -> Option<Self> {
        let has_restarted = started != 0 && self.started != 0 && started != self.started;
        let mut seen = self.clone();
        if has_restarted || *self.name != *name {
            seen.name = name.into();
            seen.started = started;
            seen.software = None;
        }
        seen.service = match service {
            Some(service) => service,
            None if *self.name == *name => seen.service,
            None => return None,
        };
        Some(seen)
    }

    /// Returns what tells apart the software of upstreams whose streams do not fit together: the
    /// version or, where none is listed, the process. Returns `None` if neither is known.
    pub fn software_identity(&self) -> Option<SoftwareVersion> {
        let process = || format!("process {} {}", self.name, self.started).into();
        let is_process_known = self.started != 0;
        self.software
            .clone()
            .or_else(|| is_process_known.then(process))
    }
}

/// An upstream that is listed, or was listed before a store outage.
#[derive(Clone, Debug)]
struct KnownUpstream {
    listed: ListedUpstream,
    /// When an upstream that is no longer listed is dropped, unless it is listed
    /// again before.
    expires_at: Option<Instant>,
}

/// Process of an upstream whose record was removed from the store.
#[derive(Clone, Copy, Debug)]
struct RemovedUpstream {
    started: UnixMillis,
    /// Whether the process was leaving.
    leaving: bool,
    removed_at: Instant,
    /// Era of the store in which the record was removed.
    era: StoreEra,
}

/// The known upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    known: BTreeMap<UpstreamName, KnownUpstream>,
    fully_listed: bool,
    /// When the store last became available again.
    store_recovered_at: Option<Instant>,
    store_unavailable: bool,
    /// Highest era of the store of which a list was read.
    era: StoreEra,
    removed: BTreeMap<UpstreamName, RemovedUpstream>,
}

impl UpstreamRegistry {
    /// Returns whether the complete list has been read at least once.
    pub fn is_complete(&self) -> bool {
        self.fully_listed
    }

    /// Returns all known upstreams, including those that are leaving.
    pub fn upstreams(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.known.values().map(|known| &known.listed)
    }

    /// Records that the store does not answer. The known upstreams are kept.
    pub fn on_store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Records that the store answers.
    pub fn on_store_available(&mut self, now: Instant) {
        if std::mem::take(&mut self.store_unavailable) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Applies the complete list that was read in `era` of the store: adds and updates the listed
    /// upstreams, and handles all others as [`UpstreamRegistry::on_upstream_removed`] does.
    ///
    /// The first list after a restore lacks upstreams that registered since the copy was made; they
    /// are kept like those that are missing after an outage. It contains upstreams that were
    /// removed since; these stay removed until they write their record again.
    pub fn on_full_list(&mut self, now: Instant, era: StoreEra, listed: Vec<ListedUpstream>) {
        if self.fully_listed && era > self.era {
            self.store_recovered_at = Some(now);
        }
        self.era = self.era.max(era);
        self.fully_listed = true;
        let listed_names: Vec<UpstreamName> = listed.iter().map(|l| l.name.clone()).collect();
        for listed in listed {
            if !self.was_removed_before_restore(&listed) {
                self.on_upstream_listed(listed);
            }
        }
        let missing: Vec<UpstreamName> = self
            .known
            .keys()
            .filter(|name| !listed_names.contains(name))
            .cloned()
            .collect();
        missing
            .iter()
            .for_each(|name| self.on_upstream_removed(now, name));
    }

    fn was_removed_before_restore(&self, listed: &ListedUpstream) -> bool {
        let removed = self.removed.get(&listed.name);
        removed.is_some_and(|removed| removed.started == listed.started && removed.era < self.era)
    }

    /// Adds or updates one upstream that has written its record.
    pub fn on_upstream_listed(&mut self, mut listed: ListedUpstream) {
        let removed = self.removed.remove(&listed.name);
        let removed = removed.map(|removed| (removed.started, removed.leaving));
        let known = self.known.get(&listed.name);
        // A start time of 0 tells no process from its successor.
        let is_same_process = |started| started == listed.started && started != 0;
        let is_contradicted = known.is_some_and(|known| {
            is_same_process(known.listed.started) && known.listed.software != listed.software
        });
        let known = known.map(|known| (known.listed.started, known.listed.leaving));
        listed.leaving |= known
            .or(removed)
            .is_some_and(|(started, leaving)| leaving && is_same_process(started));
        if is_contradicted {
            // The software of a process does not change, so one of the records is wrong.
            listed.software = None;
        }
        let known = KnownUpstream {
            listed,
            expires_at: None,
        };
        self.known.insert(known.listed.name.clone(), known);
    }

    /// Marks the upstream process that started at `started` as leaving, since it has said so
    /// itself. Returns whether that was new.
    pub fn on_leaving_announced(&mut self, name: &str, started: UnixMillis) -> bool {
        if let Some(removed) = self.removed.get_mut(name) {
            removed.leaving |= removed.started == started;
        }
        let known = self.known.get_mut(name);
        let Some(known) = known.filter(|known| known.listed.started == started) else {
            return false;
        };
        !std::mem::replace(&mut known.listed.leaving, true)
    }

    /// Removes an upstream that is no longer listed.
    ///
    /// Within 2 s after the store has become available again, the upstream is kept
    /// until the end of these 2 s instead: its record may have expired during the
    /// outage, and the upstream needs time to list itself again.
    pub fn on_upstream_removed(&mut self, now: Instant, name: &str) {
        let expires_at = self
            .store_recovered_at
            .map(|recovered_at| recovered_at + RELIST_TIMEOUT);
        match expires_at.filter(|expires_at| *expires_at > now) {
            Some(expires_at) => {
                if let Some(known) = self.known.get_mut(name) {
                    known.expires_at.get_or_insert(expires_at);
                }
            }
            None => self.remove(now, name),
        }
    }

    fn remove(&mut self, now: Instant, name: &str) {
        let Some((name, known)) = self.known.remove_entry(name) else {
            return;
        };
        self.removed.retain(|_, removed| {
            now.saturating_duration_since(removed.removed_at) < REMOVAL_MEMORY
        });
        let removed = RemovedUpstream {
            started: known.listed.started,
            leaving: known.listed.leaving,
            removed_at: now,
            era: self.era,
        };
        self.removed.insert(name, removed);
    }

    /// Drops the upstreams that were not listed again in time after a store outage,
    /// and returns whether there were any.
    pub fn drop_expired(&mut self, now: Instant) -> bool {
        let is_expired =
            |known: &KnownUpstream| known.expires_at.is_some_and(|expires_at| expires_at <= now);
        let known = self.known.iter();
        let expired = known.filter(|(_, known)| is_expired(known));
        let expired: Vec<UpstreamName> = expired.map(|(name, _)| name.clone()).collect();
        expired.iter().for_each(|name| self.remove(now, name));
        !expired.is_empty()
    }
}
