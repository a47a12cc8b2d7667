//! The upstreams that the platform's store lists, with tolerance for store outages.

use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time after the store has become available again within which upstreams whose
/// records expired during the outage list themselves again.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_000);

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
    /// Whether the upstream accepts no new requests.
    pub leaving: bool,
}

/// An upstream that is listed, or was listed before a store outage.
#[derive(Clone, Debug)]
struct KnownUpstream {
    listed: ListedUpstream,
    /// When an upstream that is no longer listed is dropped, unless it is listed
    /// again before.
    expires_at: Option<Instant>,
}

/// The known upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    known: BTreeMap<UpstreamName, KnownUpstream>,
    fully_listed: bool,
    /// When the store last became available again.
    store_recovered_at: Option<Instant>,
    store_unavailable: bool,
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

    /// Applies the complete list: adds and updates the listed upstreams, and handles
    /// all others as [`UpstreamRegistry::on_upstream_removed`] does.
    pub fn on_full_list(&mut self, now: Instant, listed: Vec<ListedUpstream>) {
        self.fully_listed = true;
        let listed_names: Vec<UpstreamName> = listed.iter().map(|l| l.name.clone()).collect();
        listed
            .into_iter()
            .for_each(|listed| self.on_upstream_listed(listed));
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

    /// Adds or updates one listed upstream.
    pub fn on_upstream_listed(&mut self, listed: ListedUpstream) {
        let known = KnownUpstream {
            listed,
            expires_at: None,
        };
        self.known.insert(known.listed.name.clone(), known);
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
            None => {
                self.known.remove(name);
            }
        }
    }

    /// Drops the upstreams that were not listed again in time after a store outage,
    /// and returns whether there were any.
    pub fn drop_expired(&mut self, now: Instant) -> bool {
        let count_before = self.known.len();
        self.known
            .retain(|_, known| known.expires_at.is_none_or(|expires_at| expires_at > now));
        self.known.len() < count_before
    }
}
