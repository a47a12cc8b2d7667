//! State of one upstream and of the adapters resident on it.

use crate::load_window::LoadWindow;
use crate::prefill_rate::PrefillRate;
use crate::prefix_index::PrefixIndex;
use crate::settings::SchedulerSettings;
use dogwoodshunt_costs::EngineSpeed;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time within which a load that an upstream has accepted appears in the upstream's
/// responses to probes.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(400);

/// Longest time between two planning steps, within which a dispatch follows the moment at which
/// the rate limit allows it.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(40);

/// Highest slowdown that overdue prompts show: a longer delay is a fault, or a first byte that will
/// not come.
const MAX_OVERDUE: f64 = 4.0;

slotmap::new_key_type! {
    /// Identifies an upstream of this agent.
    pub struct UpstreamKey;
}

/// Kind of an upstream, with the targets that it serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    /// Model engine that serves one base model and adapters of it.
    Engine {
        /// Base model of the engine.
        base_model: Box<str>,
    },
    /// Plain service, which has neither a model nor adapters.
    Service(ServiceName),
}

/// Limits of an upstream, as last reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of resident adapters.
    pub slots: usize,
    /// Maximum number of concurrent requests.
    pub batch: usize,
    /// Capacity of the KV cache, in tokens; `u64::MAX` if unknown.
    pub kv_tokens: u64,
    /// Maximum number of concurrent adapter loads.
    pub max_concurrent_loads: usize,
    /// Whether only one version of an adapter can be resident at a time.
    pub single_version: bool,
}

impl Limits {
    /// Returns the limits of an upstream with a KV cache of unknown size, which
    /// accepts one load at a time and any number of versions of an adapter.
    pub fn new(slots: usize, batch: usize) -> Self {
        Self {
            slots,
            batch,
            kv_tokens: u64::MAX,
            max_concurrent_loads: 1,
            single_version: false,
        }
    }
}

/// State of the base model on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaseModelState {
    /// The base model is not loaded.
    Absent,
    /// An order to load the base model is in flight.
    Loading {
        /// Time at which the order was sent.
        since: Instant,
    },
    /// The base model is loaded.
    Ready,
}

/// Load of an engine caused by this agent's jobs, in tokens.
#[derive(Clone, Debug)]
pub struct TokenLoad {
    /// Prompt tokens of running requests that the engine has not yet processed.
    pub pending_prefill: u64,
    /// KV cache tokens that running requests occupy when their completions have
    /// their maximum length.
    pub reserved_kv: u64,
    /// Estimate of the prompt prefixes in the engine's KV cache.
    pub prefixes: PrefixIndex,
    /// Estimated prefill rate of the engine.
    pub prefill_rate: PrefillRate,
    /// Learned speed of the engine's process.
    pub speed: EngineSpeed,
    /// Time of dispatch and uncached tokens of the prompt that the engine processes, if it has had
    /// no other one since.
    lone_prompt: Option<(Instant, u64)>,
    /// Start of the present prefill, and the time at which the last first event is expected at the
    /// persistent speed; `None` before the first prompt.
    expected_prefill: Option<(Instant, Instant)>,
}

impl TokenLoad {
    /// Records the dispatch of a prompt with `uncached` tokens to process.
    pub(crate) fn start_prefill(&mut self, now: Instant, uncached: u64) {
        let is_alone = self.pending_prefill == 0 && uncached > 0;
        self.lone_prompt = is_alone.then_some((now, uncached));
        self.expected_prefill = match self.expected_prefill.filter(|_| self.pending_prefill > 0) {
            Some((from, until)) => Some((from, until + self.speed.prefill_time(uncached))),
            None => Some((now, now + self.speed.event_time(uncached))),
        };
        self.pending_prefill += uncached;
        self.prefill_rate.on_prefill_start(now);
    }

    /// Returns the present transient slowdown: that of the newest sample, or that by which the
    /// pending prompts are overdue.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let pending = self.expected_prefill.filter(|_| self.pending_prefill > 0);
        let overdue = pending.map_or(1.0, |(from, until)| {
            let expected = until.saturating_duration_since(from).as_secs_f64();
            now.saturating_duration_since(from).as_secs_f64() / expected.max(1e-3)
        });
        self.speed.slowdown(now).max(overdue.min(MAX_OVERDUE))
    }

    fn finish_prefill(&mut self, now: Instant, tokens: u64) {
        if let Some((at, lone_tokens)) = self.lone_prompt
            && lone_tokens == tokens
        {
            let took = now.saturating_duration_since(at);
            self.speed.record(now, tokens, took);
            self.lone_prompt = None;
        }
        self.pending_prefill = self.pending_prefill.saturating_sub(tokens);
        self.prefill_rate
            .on_prefill_end(now, tokens, self.pending_prefill);
    }
}

/// Whether an upstream responds to probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// The upstream has not responded to a probe since the upstream was added or was
    /// last found unreachable.
    Down,
    /// The upstream responded to the last probe.
    Up,
}

/// State of one adapter on one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResidentState {
    /// A load is in flight.
    Loading {
        /// Time at which the load was ordered or first reported.
        since: Instant,
    },
    /// The adapter accepts requests.
    Ready,
    /// The adapter accepts no new requests and is unloaded once no run uses it.
    Draining,
    /// An unload order is in flight.
    Unloading,
    /// The outcome of an order is unknown until the next probe.
    Unknown,
}

/// Adapter that occupies a slot of an upstream.
#[derive(Clone, Debug)]
pub struct Resident {
    /// State of the adapter.
    pub state: ResidentState,
    /// Number of runs that use the adapter. The adapter must not be unloaded while
    /// there are any.
    pub pins: usize,
    /// Time of the adapter's last dispatch, end of a run, or load.
    pub last_used: Instant,
}

impl Resident {
    /// Creates an adapter in `state` that no run uses.
    pub fn new(state: ResidentState, now: Instant) -> Self {
        Self {
            state,
            pins: 0,
            last_used: now,
        }
    }
}

/// Backoff after failed loads of one adapter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Number of consecutive failed loads.
    pub failures: u32,
    /// Time at which the next load may start.
    pub until: Instant,
}

/// State of one upstream of this agent.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Configured name.
    pub name: UpstreamName,
    /// Kind of upstream, which determines the targets that it serves.
    pub kind: UpstreamKind,
    /// Whether the upstream responds to probes.
    pub reachability: Reachability,
    /// Boot ID of the upstream in its last response to a probe.
    pub boot: Option<BootId>,
    /// Whether the upstream is leaving and receives no new jobs or orders.
    pub leaving: bool,
    /// Whether this agent owns the upstream and may send it orders.
    pub owned: bool,
    /// Limits of the upstream, as last reported.
    pub limits: Limits,
    /// Limit that the upstream names for the requests of all senders together.
    pub rate_limit: Option<RateLimit>,
    /// Time of the last dispatch to the upstream.
    last_dispatch_at: Option<Instant>,
    /// State of the base model; always `Ready` for a plain service.
    pub base_model_state: BaseModelState,
    /// Number of this agent's jobs that run on the upstream.
    pub running: usize,
    /// Load caused by this agent's jobs, in tokens.
    pub tokens: TokenLoad,
    /// Adapters that occupy the slots.
    pub residents: BTreeMap<AdapterRef, Resident>,
    /// Limit on the loads in flight.
    pub load_window: LoadWindow,
    /// Backoffs of the adapters whose last load failed.
    pub backoffs: BTreeMap<AdapterRef, Backoff>,
}

impl Upstream {
    /// Creates an upstream that has not been probed.
    pub fn new(name: UpstreamName, kind: UpstreamKind) -> Self {
        Self {
            name,
            kind,
            reachability: Reachability::Down,
            boot: None,
            leaving: false,
            owned: false,
            limits: Limits::new(0, 0),
            rate_limit: None,
            last_dispatch_at: None,
            base_model_state: BaseModelState::Ready,
            running: 0,
            tokens: TokenLoad {
                pending_prefill: 0,
                reserved_kv: 0,
                prefixes: PrefixIndex::new(0),
                prefill_rate: PrefillRate::default(),
                speed: EngineSpeed::default(),
                lone_prompt: None,
                expected_prefill: None,
            },
            residents: BTreeMap::new(),
            load_window: LoadWindow::default(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Returns whether the upstream may receive new jobs and orders.
    pub fn takes_work(&self) -> bool {
        self.reachability == Reachability::Up && !self.leaving
    }

    /// Returns the time at which the rate limit allows the next dispatch; `None` if there is no
    /// limit or it allows one at any time.
    pub fn next_dispatch_at(&self) -> Option<Instant> {
        Some(self.last_dispatch_at? + self.rate_limit?.interval())
    }

    /// Returns whether the rate limit allows a dispatch now.
    pub fn is_within_rate(&self, now: Instant) -> bool {
        self.next_dispatch_at().is_none_or(|at| at <= now)
    }

    /// Records a dispatch. One that comes at most [`MAX_DISPATCH_DELAY`] after the rate limit
    /// allowed it counts from then, so that planning steps do not lower the rate.
    pub(crate) fn record_dispatch(&mut self, now: Instant) {
        let allowed_at = self.next_dispatch_at();
        let is_delayed = |at: &Instant| *at <= now && now - *at <= MAX_DISPATCH_DELAY;
        self.last_dispatch_at = allowed_at.filter(is_delayed).or(Some(now));
    }

    /// Returns whether one more request fits into the batch.
    pub fn has_batch_capacity(&self) -> bool {
        self.running < self.limits.batch
    }

    /// Returns whether a slot is free for one more adapter.
    pub fn has_free_slot(&self) -> bool {
        self.residents.len() < self.limits.slots
    }

    /// Returns whether one more order may be sent.
    ///
    /// Loads may overlap up to the upstream's limit. An unload in flight, or an
    /// order of unknown outcome, blocks any further order.
    pub fn can_send_order(&self) -> bool {
        let mut states = self.residents.values().map(|resident| resident.state);
        let blocks_orders =
            |state| matches!(state, ResidentState::Unloading | ResidentState::Unknown);
        !states.any(blocks_orders) && self.loading_count() < self.limits.max_concurrent_loads
    }

    /// Returns whether the adaptive limit on concurrent loads allows one more load.
    pub fn load_window_allows(&self, now: Instant) -> bool {
        self.loading_count() < self.load_window.size(now, self.limits.max_concurrent_loads)
    }

    fn loading_count(&self) -> usize {
        let states = self.residents.values().map(|resident| resident.state);
        let loading = states.filter(|state| matches!(state, ResidentState::Loading { .. }));
        loading.count()
    }

    /// Returns a resident adapter of the same name as `adapter` but of another
    /// version.
    pub fn other_version(&self, adapter: &AdapterRef) -> Option<(&AdapterRef, &Resident)> {
        let is_other = |other: &AdapterRef| other.name == adapter.name && other != adapter;
        self.residents.iter().find(|(other, _)| is_other(other))
    }

    /// Returns whether a run that adds `uncached` prompt tokens to process and
    /// `reserved_kv` KV cache tokens fits beside the runs in progress.
    ///
    /// The prefill backlog is limited to `max_pending_prefill` tokens. Each limit
    /// applies only while other runs contribute to the total: a request that is alone
    /// is always sent, and the engine decides whether the request fits.
    pub fn has_token_capacity(
        &self,
        uncached: u64,
        reserved_kv: u64,
        max_pending_prefill: u64,
    ) -> bool {
        let fits_prefill = self.tokens.pending_prefill == 0
            || self.tokens.pending_prefill + uncached <= max_pending_prefill;
        let fits_kv_cache = self.tokens.reserved_kv == 0
            || self.tokens.reserved_kv + reserved_kv <= self.limits.kv_tokens;
        fits_prefill && fits_kv_cache
    }

    /// Returns whether `adapter` accepts requests on this upstream.
    pub fn is_ready(&self, adapter: &AdapterRef) -> bool {
        let resident = self.residents.get(adapter);
        resident.is_some_and(|resident| resident.state == ResidentState::Ready)
    }

    /// Returns whether `adapter` is loading or in an unknown state on this upstream.
    pub fn is_loading_or_unknown(&self, adapter: &AdapterRef) -> bool {
        let resident = self.residents.get(adapter);
        resident.is_some_and(|resident| {
            matches!(
                resident.state,
                ResidentState::Loading { .. } | ResidentState::Unknown
            )
        })
    }

    /// Returns whether this upstream is an engine of `base_model`.
    pub fn is_engine_of(&self, base_model: &str) -> bool {
        matches!(&self.kind, UpstreamKind::Engine { base_model: served } if **served == *base_model)
    }

    /// Returns whether `adapter` may be loaded: no backoff after failed loads is in
    /// effect.
    pub fn may_load(&self, now: Instant, adapter: &AdapterRef) -> bool {
        let backoff = self.backoffs.get(adapter);
        backoff.is_none_or(|backoff| backoff.until <= now)
    }

    /// Records a failed load of `adapter`, sets the backoff to end at `until`, and
    /// returns the number of consecutive failures.
    pub fn record_load_failure(&mut self, adapter: &AdapterRef, until: Instant) -> u32 {
        let backoff = self
            .backoffs
            .entry(adapter.clone())
            .or_insert(Backoff { failures: 0, until });
        backoff.failures += 1;
        backoff.until = until;
        backoff.failures
    }

    /// Records that the engine has processed `tokens` of a prompt.
    pub(crate) fn finish_prefill(&mut self, now: Instant, tokens: u64) {
        self.tokens.finish_prefill(now, tokens);
    }

    /// Replaces the resident adapters by those that the upstream lists.
    ///
    /// If `boot` shows a restart of the upstream, all pins and token counts are reset,
    /// since the runs on the previous boot have ended. Otherwise pins and loads in
    /// flight are kept, and a pinned adapter that is no longer listed is drained.
    pub fn reconcile_residents(
        &mut self,
        now: Instant,
        boot: BootId,
        listed: &[AdapterRef],
        settings: &SchedulerSettings,
    ) {
        let mut previous = std::mem::take(&mut self.residents);
        if self.boot != Some(boot) {
            previous.clear();
            self.running = 0;
            // Another process has not named the limit of the one before.
            self.rate_limit = None;
            self.tokens.pending_prefill = 0;
            self.tokens.reserved_kv = 0;
            self.tokens.prefixes.clear();
            self.tokens.speed = EngineSpeed::default();
            self.tokens.lone_prompt = None;
            self.tokens.expected_prefill = None;
            self.load_window.reset(now, settings.initial_load_limit);
        }
        for adapter in listed {
            let known = previous.remove(adapter);
            let mut resident = known.unwrap_or_else(|| Resident::new(ResidentState::Ready, now));
            if resident.state == ResidentState::Unknown {
                resident.state = ResidentState::Ready;
            }
            self.residents.insert(adapter.clone(), resident);
        }
        for (adapter, mut resident) in previous {
            let loading = matches!(resident.state, ResidentState::Loading { .. });
            if resident.pins > 0 {
                resident.state = ResidentState::Draining;
            }
            if loading || resident.pins > 0 {
                self.residents.insert(adapter, resident);
            }
        }
        self.boot = Some(boot);
        self.reachability = Reachability::Up;
    }

    /// Updates the load window with the duration of a load that began at `since`.
    pub(crate) fn record_load_time(
        &mut self,
        now: Instant,
        since: Instant,
        settings: &SchedulerSettings,
    ) {
        let duration = now.saturating_duration_since(since);
        let (expected, slow_ratio) = (settings.uncontended_load_time, settings.slow_load_ratio);
        self.load_window
            .on_loaded(now, duration, expected, slow_ratio);
    }

    /// Updates the loads in flight from those that the upstream reports.
    ///
    /// A load that the upstream still does not report [`LOAD_REPORT_LAG`] after
    /// the order counts as lost, and its slot becomes free.
    pub(crate) fn reconcile_loads(
        &mut self,
        now: Instant,
        loading: &[AdapterRef],
        listed: &[AdapterRef],
        settings: &SchedulerSettings,
    ) {
        for adapter in listed.iter().filter(|adapter| !loading.contains(adapter)) {
            if let Some(resident) = self.residents.get_mut(adapter)
                && let ResidentState::Loading { since } = resident.state
            {
                resident.state = ResidentState::Ready;
                resident.last_used = now;
                self.record_load_time(now, since, settings);
            }
        }
        self.residents.retain(|adapter, resident| {
            let ResidentState::Loading { since } = resident.state else {
                return true;
            };
            let reported = loading.contains(adapter);
            reported || now.saturating_duration_since(since) < LOAD_REPORT_LAG
        });
        for adapter in loading {
            let resident = Resident::new(ResidentState::Loading { since: now }, now);
            self.residents.entry(adapter.clone()).or_insert(resident);
        }
    }
}

/// Returns the backoff after `failures` consecutive failed loads: `initial`, doubled
/// with each further failure, up to `max`.
pub fn backoff_delay(initial: Duration, max: Duration, failures: u32) -> Duration {
    let exponent = failures.saturating_sub(1).min(16);
    max.min(initial * (1 << exponent))
}
