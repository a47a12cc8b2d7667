//! One upstream and the adapters resident on it.

use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

slotmap::new_key_type! {
    /// Names an upstream of this agent.
    pub struct UpstreamKey;
}

/// What an upstream serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine of one base model.
    Engine {
        /// Base model that the engine holds.
        base_model: Box<str>,
    },
    /// A plain service.
    Service(ServiceName),
}

/// Room of an upstream, as it last reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// Adapters that fit at once.
    pub slots: usize,
    /// Requests that run at once.
    pub batch: usize,
}

/// Whether the upstream can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Nothing is known since the last failure; a probe must answer first.
    Down,
    /// The upstream answered the last probe.
    Up,
}

/// State of one adapter on one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Residence {
    /// A load order is in flight.
    Loading {
        /// When the order was sent.
        since: Instant,
    },
    /// The adapter takes requests.
    Ready,
    /// The adapter takes no new requests and leaves once unpinned.
    Retiring,
    /// An unload order is in flight.
    Unloading,
    /// An order's answer was lost; the next probe tells.
    Unsure,
}

/// An adapter that occupies a slot.
#[derive(Clone, Debug)]
pub struct Resident {
    /// State of the adapter.
    pub state: Residence,
    /// Running requests that use the adapter.
    pub pins: usize,
    /// When the adapter last took a request or was loaded.
    pub last_used: Instant,
}

impl Resident {
    /// Creates an adapter in `state` that nothing uses.
    pub fn new(state: Residence, now: Instant) -> Self {
        Self {
            state,
            pins: 0,
            last_used: now,
        }
    }
}

/// Pause after failed loads of one adapter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Loads that failed in a row.
    pub failures: u32,
    /// When the next load may start.
    pub until: Instant,
}

/// One upstream of this agent.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name from the settings.
    pub name: UpstreamName,
    /// What it serves.
    pub kind: Kind,
    /// Whether it can be used.
    pub link: Link,
    /// Boot that answered the last probe.
    pub boot: Option<BootId>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether orders may be sent to it.
    pub owned: bool,
    /// Its room.
    pub room: Room,
    /// Requests that it is running for this agent.
    pub running: usize,
    /// Adapters that occupy its slots.
    pub residents: BTreeMap<AdapterRef, Resident>,
    /// Adapters whose loads failed.
    pub backoffs: BTreeMap<AdapterRef, Backoff>,
}

impl Upstream {
    /// Creates an upstream that has not been probed.
    pub fn new(name: UpstreamName, kind: Kind) -> Self {
        Self {
            name,
            kind,
            link: Link::Down,
            boot: None,
            leaving: false,
            owned: false,
            room: Room { slots: 0, batch: 0 },
            running: 0,
            residents: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Returns whether the upstream may be given new work.
    pub fn takes_work(&self) -> bool {
        self.link == Link::Up && !self.leaving
    }

    /// Returns whether one more request fits into the batch.
    pub fn has_batch_room(&self) -> bool {
        self.running < self.room.batch
    }

    /// Returns whether one more adapter fits into the slots.
    pub fn has_slot(&self) -> bool {
        self.residents.len() < self.room.slots
    }

    /// Returns whether an order is in flight or its answer is unknown.
    pub fn is_ordering(&self) -> bool {
        self.residents.values().any(|resident| {
            matches!(
                resident.state,
                Residence::Loading { .. } | Residence::Unloading | Residence::Unsure
            )
        })
    }

    /// Returns whether `adapter` takes requests here.
    pub fn is_ready(&self, adapter: &AdapterRef) -> bool {
        let resident = self.residents.get(adapter);
        resident.is_some_and(|resident| resident.state == Residence::Ready)
    }

    /// Returns whether `adapter` is loading or about to be known here.
    pub fn is_expected(&self, adapter: &AdapterRef) -> bool {
        let resident = self.residents.get(adapter);
        resident.is_some_and(|resident| {
            matches!(
                resident.state,
                Residence::Loading { .. } | Residence::Unsure
            )
        })
    }

    /// Returns whether this is an engine of `base_model`.
    pub fn is_engine_of(&self, base_model: &str) -> bool {
        matches!(&self.kind, Kind::Engine { base_model: held } if **held == *base_model)
    }

    /// Returns whether the pause after failed loads of `adapter` is over.
    pub fn may_load(&self, now: Instant, adapter: &AdapterRef) -> bool {
        let backoff = self.backoffs.get(adapter);
        backoff.is_none_or(|backoff| backoff.until <= now)
    }

    /// Records a failed load of `adapter` and returns the failures in a row.
    pub fn note_failure(&mut self, adapter: &AdapterRef, until: Instant) -> u32 {
        let backoff = self
            .backoffs
            .entry(adapter.clone())
            .or_insert(Backoff { failures: 0, until });
        backoff.failures += 1;
        backoff.until = until;
        backoff.failures
    }

    /// Replaces what is known of the residents by what the upstream lists.
    ///
    /// Pins survive where the boot is unchanged, since their requests still
    /// run. A pinned adapter that is no longer listed takes no new requests.
    pub fn read_back(&mut self, now: Instant, boot: BootId, listed: &[AdapterRef]) {
        let mut before = std::mem::take(&mut self.residents);
        if self.boot != Some(boot) {
            before.clear();
            self.running = 0;
        }
        for adapter in listed {
            let held = before.remove(adapter);
            let mut resident = held.unwrap_or_else(|| Resident::new(Residence::Ready, now));
            if resident.state == Residence::Unsure {
                resident.state = Residence::Ready;
            }
            self.residents.insert(adapter.clone(), resident);
        }
        for (adapter, mut resident) in before {
            let loading = matches!(resident.state, Residence::Loading { .. });
            if resident.pins > 0 {
                resident.state = Residence::Retiring;
            }
            if loading || resident.pins > 0 {
                self.residents.insert(adapter, resident);
            }
        }
        self.boot = Some(boot);
        self.link = Link::Up;
    }
}

/// Returns the pause after `failures` failed loads in a row.
pub fn backoff_pause(first: Duration, most: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    most.min(first * (1 << doublings))
}
