//! Which upstreams there are, as the platform lists them.

use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time after the store's return within which upstreams whose entries lapsed
/// list themselves again.
const RELIST_TIME: Duration = Duration::from_millis(2_000);

/// An upstream of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of this start of the upstream.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: FailureDomain,
    /// When it started, by its own clock; 0 if it does not tell.
    pub started: UnixMillis,
    /// Whether it takes no new work.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Known {
    listed: Listed,
    /// When the entry is dropped, if it is not listed again until then.
    missing_until: Option<Instant>,
}

/// Which upstreams there are.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    known: BTreeMap<UpstreamName, Known>,
    complete: bool,
    store_back: Option<Instant>,
    store_lost: bool,
}

impl Registry {
    /// Returns whether the whole list has been read once.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns all upstreams, also those that are leaving.
    pub fn upstreams(&self) -> impl Iterator<Item = &Listed> {
        self.known.values().map(|known| &known.listed)
    }

    /// Records that the store does not answer; what is known stays.
    pub fn on_store_lost(&mut self) {
        self.store_lost = true;
    }

    /// Records that the store answers.
    pub fn on_store_answer(&mut self, now: Instant) {
        if std::mem::take(&mut self.store_lost) {
            self.store_back = Some(now);
        }
    }

    /// Takes over the whole list.
    pub fn on_list(&mut self, now: Instant, listed: Vec<Listed>) {
        self.complete = true;
        let names: Vec<UpstreamName> = listed.iter().map(|l| l.name.clone()).collect();
        listed.into_iter().for_each(|listed| self.on_listed(listed));
        let missing: Vec<UpstreamName> = self
            .known
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        missing.iter().for_each(|name| self.on_removed(now, name));
    }

    /// Takes over one entry of the list.
    pub fn on_listed(&mut self, listed: Listed) {
        let known = Known {
            listed,
            missing_until: None,
        };
        self.known.insert(known.listed.name.clone(), known);
    }

    /// Records that an entry is no longer listed.
    ///
    /// An entry may have lapsed while the store was away, so it is kept until
    /// its upstream has had the time to list itself again.
    pub fn on_removed(&mut self, now: Instant, name: &str) {
        let until = self.store_back.map(|back| back + RELIST_TIME);
        match until.filter(|until| *until > now) {
            Some(until) => {
                if let Some(known) = self.known.get_mut(name) {
                    known.missing_until.get_or_insert(until);
                }
            }
            None => {
                self.known.remove(name);
            }
        }
    }

    /// Drops entries that were not listed again in time; returns whether any was.
    pub fn drop_missing(&mut self, now: Instant) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, known| known.missing_until.is_none_or(|until| until > now));
        self.known.len() < before
    }
}
