//! One upstream and the adapters resident on it.

use crate::load_window::LoadWindow;
use crate::pace::Pace;
use crate::prefix::PrefixRecord;
use crate::settings::Settings;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time after which an accepted load shows in the upstream's report.
const INCOMING_LAG: Duration = Duration::from_millis(400);

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
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Adapters that may be on their way to the upstream at once.
    pub transit: usize,
    /// Whether an adapter is resident in one version at a time only.
    pub one_version: bool,
}

impl Room {
    /// Returns the room of an upstream whose KV cache is not known, with one
    /// order at a time and any number of versions side by side.
    pub fn new(slots: usize, batch: usize) -> Self {
        Self {
            slots,
            batch,
            kv_tokens: u64::MAX,
            transit: 1,
            one_version: false,
        }
    }
}

/// Whether the base model of an engine is loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Base {
    /// It is not loaded.
    Absent,
    /// An order to load it is in flight.
    Loading {
        /// When the order was sent.
        since: Instant,
    },
    /// It is loaded.
    Ready,
}

/// What an engine is doing for this agent, in tokens.
#[derive(Clone, Debug)]
pub struct Tokens {
    /// Prompt tokens of running requests that have still to be read.
    pub unread: u64,
    /// KV cache tokens that running requests hold once complete.
    pub held: u64,
    /// Parts of prompts that the engine is likely to keep.
    pub prefixes: PrefixRecord,
    /// Rate at which it reads prompts.
    pub pace: Pace,
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
    /// Whether its base model is loaded; always so for a plain service.
    pub base: Base,
    /// Requests that it is running for this agent.
    pub running: usize,
    /// What it is doing, in tokens.
    pub tokens: Tokens,
    /// Adapters that occupy its slots.
    pub residents: BTreeMap<AdapterRef, Resident>,
    /// Loads that may be in flight.
    pub load_window: LoadWindow,
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
            room: Room::new(0, 0),
            base: Base::Ready,
            running: 0,
            tokens: Tokens {
                unread: 0,
                held: 0,
                prefixes: PrefixRecord::new(0),
                pace: Pace::default(),
            },
            residents: BTreeMap::new(),
            load_window: LoadWindow::default(),
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

    /// Returns whether one more order may be sent.
    ///
    /// Loads may overlap up to the upstream's limit; an order whose answer is
    /// unknown, or one to unload, must end first.
    pub fn takes_order(&self) -> bool {
        let mut states = self.residents.values().map(|resident| resident.state);
        let is_open = |state| matches!(state, Residence::Unloading | Residence::Unsure);
        !states.any(is_open) && self.loading() < self.room.transit
    }

    /// Returns whether one more load helps, as far as loads here tell of others.
    pub fn has_load_room(&self, now: Instant) -> bool {
        self.loading() < self.load_window.size(now, self.room.transit)
    }

    fn loading(&self) -> usize {
        let states = self.residents.values().map(|resident| resident.state);
        let loading = states.filter(|state| matches!(state, Residence::Loading { .. }));
        loading.count()
    }

    /// Returns another version of `adapter` that is resident here.
    pub fn other_version(&self, adapter: &AdapterRef) -> Option<(&AdapterRef, &Resident)> {
        let same_name = |held: &AdapterRef| held.name == adapter.name && held != adapter;
        self.residents.iter().find(|(held, _)| same_name(held))
    }

    /// Returns whether a run of `fresh` prompt tokens and `held` cache tokens
    /// can start without spoiling those that run.
    ///
    /// A request that is alone always fits; the engine has the last word.
    pub fn has_token_room(&self, fresh: u64, held: u64, unread_limit: u64) -> bool {
        let reads = self.tokens.unread == 0 || self.tokens.unread + fresh <= unread_limit;
        let cached = self.tokens.held == 0 || self.tokens.held + held <= self.room.kv_tokens;
        reads && cached
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

    /// Records that a prompt of which `tokens` were fresh has been read.
    pub(crate) fn end_reading(&mut self, now: Instant, tokens: u64) {
        self.tokens.unread = self.tokens.unread.saturating_sub(tokens);
        let left = self.tokens.unread;
        self.tokens.pace.on_read(now, tokens, left);
    }

    /// Replaces what is known of the residents by what the upstream lists.
    ///
    /// Pins survive where the boot is unchanged, since their requests still
    /// run. A pinned adapter that is no longer listed takes no new requests.
    pub fn read_back(
        &mut self,
        now: Instant,
        boot: BootId,
        listed: &[AdapterRef],
        settings: &Settings,
    ) {
        let mut before = std::mem::take(&mut self.residents);
        if self.boot != Some(boot) {
            before.clear();
            self.running = 0;
            self.tokens.unread = 0;
            self.tokens.held = 0;
            self.tokens.prefixes.clear();
            self.load_window.reset(now, settings.loads_at_first);
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

    /// Takes in how long a load that began at `since` took.
    pub(crate) fn note_load(&mut self, now: Instant, since: Instant, settings: &Settings) {
        let took = now.saturating_duration_since(since);
        let (usual, slow) = (settings.load_time, settings.slow_load);
        self.load_window.on_loaded(now, took, usual, slow);
    }

    /// Takes over which adapters are on their way.
    ///
    /// A load that the upstream does not show after [`INCOMING_LAG`] is lost.
    pub(crate) fn read_incoming(
        &mut self,
        now: Instant,
        incoming: &[AdapterRef],
        listed: &[AdapterRef],
        settings: &Settings,
    ) {
        for adapter in listed.iter().filter(|adapter| !incoming.contains(adapter)) {
            if let Some(resident) = self.residents.get_mut(adapter)
                && let Residence::Loading { since } = resident.state
            {
                resident.state = Residence::Ready;
                resident.last_used = now;
                self.note_load(now, since, settings);
            }
        }
        self.residents.retain(|adapter, resident| {
            let Residence::Loading { since } = resident.state else {
                return true;
            };
            let shown = incoming.contains(adapter);
            shown || now.saturating_duration_since(since) < INCOMING_LAG
        });
        for adapter in incoming {
            let loading = Resident::new(Residence::Loading { since: now }, now);
            self.residents.entry(adapter.clone()).or_insert(loading);
        }
    }
}

/// Returns the pause after `failures` failed loads in a row.
pub fn backoff_pause(first: Duration, most: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    most.min(first * (1 << doublings))
}
