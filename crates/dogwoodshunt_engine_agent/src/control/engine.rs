//! The agent's view of its engine: reported state, identity and orders.
//!
//! An engine gets a new upstream name with each restart. The engine's report contains
//! the start time of the engine but not its name; entries send the name and start
//! time that the platform lists. The agent ignores a name whose start time differs
//! from the reported one. Without a name the agent sends no orders and grants no runs,
//! so that neither can reach an engine process they were not meant for. The capacity is that
//! of the service of the named process: another service may have used the address before.

use crate::control::Control;
use crate::control::late_loads::LateLoads;
use crate::control::rate_limit::RateLimitState;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderRequest;
use dogwoodshunt_costs::EngineSpeed;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_residency::orders::ProbeResponse;
use dogwoodshunt_residency::prefill_pacing::Pace;
use dogwoodshunt_residency::upstream::BaseModelState;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::ResidentState;
use dogwoodshunt_residency::upstream::UpstreamKind;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::adapter;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_wire::frame::UpstreamConfig;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use slog::info;
use slog::warn;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time without a report after which the engine gets no new runs or orders: longer
/// than two poll intervals of an idle engine.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of concurrent adapter loads that the engine's protocol allows.
const MAX_CONCURRENT_LOADS: usize = 4;

/// Share of the KV cache that granted runs may use; the rest caches prompt
/// prefixes that many requests have in common.
const RUN_KV_SHARE: f64 = 0.9;

/// An engine process as an entry names it, with the configuration of its service.
struct NamedEngine {
    identity: UpstreamIdentity,
    revision: Revision,
    config: EngineConfig,
}

/// Configured base model and capacity of the engine.
struct KnownConfig {
    /// Revision of the configuration.
    revision: Revision,
    /// Service that the configuration is of; `None` if no entry has named it.
    service: Option<ServiceName>,
    engine: EngineConfig,
}

impl KnownConfig {
    /// Returns whether a configuration that an entry has sent takes the place of this one.
    fn is_replaced_by(&self, revision: Revision, service: Option<&ServiceName>) -> bool {
        let is_of_other_service = service.is_some() && self.service.as_ref() != service;
        is_of_other_service || self.revision < revision
    }
}

/// Reported, configured and declared state of the engine.
pub(super) struct EngineState {
    /// Key of the engine in the scheduler, once its capacity is known.
    pub(super) key: Option<UpstreamKey>,
    /// Upstream name and start time of the running engine process, once an entry has
    /// sent them.
    pub(super) identity: Option<UpstreamIdentity>,
    /// A later process whose report has not arrived yet. Entries send an identity once, as soon
    /// as the platform lists it.
    next: Option<NamedEngine>,
    report: Option<EngineReport>,
    pub(super) rate_limit: RateLimitState,
    last_report_at: Instant,
    /// Newest configuration of the service of the engine.
    config: Option<KnownConfig>,
    /// Newest declared version of each adapter.
    declared_versions: HashMap<AdapterName, AdapterRef>,
    /// Highest era of the key-value service that a confirmation of the ownership or an entry
    /// has shown.
    store_era: StoreEra,
    /// Highest era in which the ownership was confirmed, or for which a verification was
    /// requested.
    verified_era: StoreEra,
    /// Fencing token, while this agent owns the engine.
    epoch: Option<Epoch>,
    /// Number of orders that the engine has accepted since its start, including those
    /// still in the channel to the worker.
    accepted_orders: u64,
    /// Start times of the processes that the orders without an outcome so far were sent to, the
    /// oldest order first.
    pending_orders: VecDeque<UnixMillis>,
    late_loads: LateLoads,
}

impl EngineState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            key: None,
            identity: None,
            next: None,
            report: None,
            rate_limit: RateLimitState::default(),
            last_report_at: now,
            config: None,
            declared_versions: HashMap::new(),
            store_era: 0,
            verified_era: 0,
            epoch: None,
            accepted_orders: 0,
            pending_orders: VecDeque::new(),
            late_loads: LateLoads::default(),
        }
    }

    /// Returns the declared version of an adapter if newer than `wanted`, and
    /// `wanted` otherwise.
    pub(super) fn newest_version(&self, wanted: &AdapterRef) -> AdapterRef {
        match self.declared_versions.get(&wanted.name) {
            Some(known) if adapter::is_newer(&known.version, &wanted.version) => known.clone(),
            Some(_) | None => wanted.clone(),
        }
    }

    pub(super) fn started_at(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.started)
    }
}

impl Control {
    /// Applies the upstream identity, capacity and versions that an entry sends.
    pub(super) fn on_upstream_config(&mut self, now: Instant, config: UpstreamConfig) {
        self.on_store_era(config.store_era);
        for declared in config.versions {
            self.on_version_declared(declared);
        }
        let (revision, engine) = (config.revision, config.engine);
        match config.upstream {
            Some(identity) => self.on_engine_named(
                now,
                NamedEngine {
                    identity,
                    revision,
                    config: engine,
                },
            ),
            None => self.set_config(now, revision, None, engine),
        }
        self.update_leaving();
    }

    /// Puts the configuration of the engine in force, unless a newer one of its service is known.
    fn set_config(
        &mut self,
        now: Instant,
        revision: Revision,
        service: Option<ServiceName>,
        engine: EngineConfig,
    ) {
        let known = self.engine.config.as_ref();
        if known.is_none_or(|known| known.is_replaced_by(revision, service.as_ref())) {
            self.engine.config = Some(KnownConfig {
                revision,
                service,
                engine,
            });
            self.apply_report(now);
        }
    }

    fn on_engine_named(&mut self, now: Instant, named: NamedEngine) {
        let identity = &named.identity;
        let started_at = self.engine.started_at();
        if identity.started != started_at && identity.started != 0 && started_at != 0 {
            // The identity belongs to another engine process: either the entry or the
            // report is out of date.
            if identity.started > started_at {
                self.engine.next = Some(named);
            }
            return;
        }
        let NamedEngine {
            identity,
            revision,
            config,
        } = named;
        let service = identity.service.clone();
        match &mut self.engine.identity {
            Some(known) if known.name == identity.name => {
                // A leaving engine accepts requests again only after a restart, so a
                // later `false` is out of date.
                known.leaving |= identity.leaving;
                known.service = known.service.take().or(identity.service);
            }
            known => {
                info!(self.context.log, "engine named"; "upstream" => %identity.name,
                    "started" => identity.started, "leaving" => identity.leaving);
                *known = Some(identity);
            }
        }
        self.set_config(now, revision, service, config);
    }

    fn on_version_declared(&mut self, declared: AdapterRef) {
        let known = self.engine.declared_versions.get(&declared.name);
        if known.is_some_and(|known| !declared.replaces(known)) {
            return;
        }
        info!(self.context.log, "version declared"; "adapter" => %declared);
        self.scheduler.retarget_queued(&declared);
        let name = declared.name.clone();
        self.engine.declared_versions.insert(name, declared);
    }

    fn on_store_era(&mut self, era: StoreEra) {
        self.engine.store_era = self.engine.store_era.max(era);
        if self.engine.epoch.is_some() {
            self.verify_after_restore();
        }
    }

    /// Verifies the ownership of the engine once for each restore of the key-value service, which
    /// may have discarded the takeover.
    fn verify_after_restore(&mut self) {
        let era = self.engine.store_era;
        if self.engine.verified_era >= era {
            return;
        }
        info!(self.context.log, "store restored, verifying ownership"; "era" => era);
        self.engine.verified_era = era;
        // A verification that is pending already covers this restore: it reads the record
        // after this point.
        let _ = self.context.verify_ownership_tx.try_send(());
    }

    /// Applies a report of the engine; `None` if the engine did not answer.
    pub(super) fn on_report(&mut self, now: Instant, report: Option<EngineReport>) {
        let Some(report) = report else {
            if self.crash_log.has_broken_run(now) {
                self.on_crash(now);
            }
            let timed_out =
                now.saturating_duration_since(self.engine.last_report_at) >= REPORT_TIMEOUT;
            if let Some(key) = self.engine.key.filter(|_| timed_out) {
                self.scheduler.on_upstream_down(key);
            }
            return;
        };
        let previous_started_at = self.engine.started_at();
        if previous_started_at != report.started && self.engine.report.is_some() {
            warn!(self.context.log, "engine restarted"; "started" => report.started,
                "before" => previous_started_at);
            self.on_crash(now);
            self.engine.identity = None;
            self.reset_limit();
        }
        self.on_report_limit(now, report.rate_limit);
        self.engine.last_report_at = now;
        self.engine.accepted_orders = report.accepted_orders;
        self.engine.report = Some(report);
        self.apply_early_limit();
        if let Some(named) = self.engine.next.take() {
            self.on_engine_named(now, named);
        }
        self.apply_report(now);
        self.update_leaving();
    }

    /// Records that the engine process has crashed, and tells the entries which requests it had
    /// not begun to answer. A leaving engine ends as planned.
    fn on_crash(&mut self, now: Instant) {
        let identity = self.engine.identity.as_ref();
        let is_leaving = identity.is_some_and(|identity| identity.leaving)
            || self.engine.report.as_ref().is_some_and(|r| r.leaving);
        if is_leaving {
            return;
        }
        let started = self.engine.started_at();
        let unanswered = self.unanswered_prompts();
        let Some(suspects) = self.crash_log.on_crash(now, started, unanswered) else {
            return;
        };
        let suspects = suspects.len();
        warn!(self.context.log, "engine crashed"; "started" => started, "suspects" => suspects);
        self.send_all_heartbeats(now);
    }

    /// Passes the reported state to the scheduler, once the capacity of the engine
    /// is known.
    fn apply_report(&mut self, now: Instant) {
        let (Some(report), Some(known)) = (&self.engine.report, &self.engine.config) else {
            return;
        };
        let config = &known.engine;
        let kind = UpstreamKind::Engine {
            base_model: config.base_model.clone(),
        };
        let scheduler = &mut self.scheduler;
        let add = || scheduler.add_upstream("engine".into(), kind);
        let key = *self.engine.key.get_or_insert_with(add);
        scheduler.set_base_model(key, &config.base_model);
        let has_base_model = report.base_models.contains(&config.base_model);
        let late_loads = self.engine.late_loads.count_of_others(now, report.started);
        let slots = to_usize(config.slots).saturating_sub(late_loads);
        let run_kv_tokens = (config.kv_tokens as f64 * RUN_KV_SHARE) as u64;
        let answer = ProbeResponse {
            boot: report.started,
            limits: Limits {
                kv_tokens: run_kv_tokens,
                max_concurrent_loads: MAX_CONCURRENT_LOADS,
                single_version: true,
                ..Limits::new(slots, to_usize(config.batch))
            },
            has_base_model,
            resident: report.adapters.clone(),
            loading: Some(report.loading_adapters.clone()),
        };
        for loading in &report.loading_adapters {
            self.scheduler.set_loading_version(key, loading);
        }
        for adapter in report.adapters.iter().chain(&report.loading_adapters) {
            if self.engine.newest_version(adapter) == *adapter {
                self.scheduler.retarget_queued(adapter);
            }
        }
        self.scheduler.on_probe(now, key, &answer);
        let limit = self.engine.rate_limit.limit();
        self.scheduler.set_rate_limit(key, limit);
        self.scheduler.set_owned(self.engine.epoch.is_some());
    }

    /// Stops new runs and orders if the engine is leaving or its name is unknown, and
    /// allows them otherwise.
    fn update_leaving(&mut self) {
        let identity = self.engine.identity.as_ref();
        let in_service = identity.is_some_and(|identity| !identity.leaving);
        let reports_leaving = self.engine.report.as_ref().is_some_and(|r| r.leaving);
        self.scheduler
            .set_upstream_leaving("engine", !in_service || reports_leaving);
    }

    pub(super) fn on_ownership(&mut self, ownership: Ownership) {
        self.engine.epoch = match ownership {
            Ownership::Owned { epoch, era } => {
                self.engine.verified_era = self.engine.verified_era.max(era);
                self.engine.store_era = self.engine.store_era.max(era);
                // Entries may have announced a restore that came after this confirmation.
                self.verify_after_restore();
                Some(epoch)
            }
            Ownership::Superseded => None,
        };
        self.scheduler.set_owned(self.engine.epoch.is_some());
    }

    pub(super) fn order_base_model_load(&mut self, now: Instant) {
        if let Some(known) = &self.engine.config {
            let base_model = known.engine.base_model.clone();
            self.send_order(now, Order::LoadBaseModel(base_model));
        }
    }

    /// Sends an order to the engine.
    ///
    /// The engine carries out the order only if it has not restarted and has accepted
    /// no order that this agent does not know of. Without a known name or without
    /// ownership, the order counts as refused and is not sent.
    pub(super) fn send_order(&mut self, now: Instant, order: Order) {
        let identity = self.engine.identity.as_ref();
        let (Some(identity), Some(epoch)) = (identity, self.engine.epoch) else {
            let answer = OrderAnswer::Refused(
                "engine has no known upstream name or is not owned by this agent".into(),
            );
            return self.apply_outcome(now, &order, &answer);
        };
        let order_request = OrderRequest {
            order,
            upstream: identity.name.clone(),
            accepted_before: self.engine.accepted_orders,
            holder: self.identity.node.clone(),
            epoch,
        };
        // The worker sends orders one at a time and in order, so the engine has
        // accepted the orders in the channel before it gets a later one.
        self.engine.accepted_orders += 1;
        let started = self.engine.started_at();
        self.engine.pending_orders.push_back(started);
        // The worker holds its end of the unbounded channel as long as this state
        // exists, so the send cannot fail.
        let _ = self.context.orders_tx.try_send(order_request);
    }

    /// Applies the answer to the oldest order that the worker has not reported on before.
    pub(super) fn on_order_answered(&mut self, now: Instant, order: &Order, answer: &OrderAnswer) {
        let sent_to = self.engine.pending_orders.pop_front();
        let is_load = matches!(order, Order::LoadAdapter(_));
        if let (Some(sent_to), true, OrderAnswer::Lost(_)) = (sent_to, is_load, answer) {
            self.engine.late_loads.add(now, sent_to);
        }
        self.apply_outcome(now, order, answer);
    }

    /// Applies the result of an order.
    ///
    /// A load or unload that may have failed leaves the adapter in an unknown state
    /// until the next report.
    fn apply_outcome(&mut self, now: Instant, order: &Order, answer: &OrderAnswer) {
        self.context.metrics.count_order(answer.as_str());
        if *answer == OrderAnswer::Fenced {
            self.engine.epoch = None;
            self.scheduler.set_owned(false);
            let _ = self.context.verify_ownership_tx.try_send(());
        }
        let Some(key) = self.engine.key else { return };
        let accepted = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        match order {
            // A later report shows when the adapter is loaded.
            Order::LoadAdapter(_) if accepted => {}
            Order::LoadAdapter(adapter) => {
                let actions = self
                    .scheduler
                    .on_load_end(now, key, adapter, OrderOutcome::Unknown);
                self.carry_out_actions(now, actions);
            }
            Order::LoadBaseModel(_) if accepted => {}
            Order::LoadBaseModel(_) => self.scheduler.on_base_model_load_failed(now, key),
            Order::UnloadAdapter(adapter) => {
                let outcome = match answer {
                    OrderAnswer::Done => OrderOutcome::Done,
                    _ => OrderOutcome::Unknown,
                };
                let actions = self.scheduler.on_unload_end(key, adapter, outcome);
                self.carry_out_actions(now, actions);
            }
        }
    }

    /// Logs the load of the engine as the agent and as the engine count it, and
    /// updates the gauges.
    pub(super) fn record_load(&self, now: Instant) {
        let (Some(key), Some(report)) = (self.engine.key, &self.engine.report) else {
            return;
        };
        let Some(upstream) = self.scheduler.upstream(key) else {
            return;
        };
        self.record_learned(now, key, &upstream.tokens.speed);
        let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.context.metrics;
        metrics.runs_granted.set(to_gauge(upstream.running as u64));
        metrics
            .runs_queued
            .set(to_gauge(self.scheduler.queued_len() as u64));
        metrics
            .unread_tokens
            .set(to_gauge(upstream.tokens.pending_prefill));
        metrics
            .resident_adapters
            .set(to_gauge(upstream.residents.len() as u64));
        info!(self.context.log, "load"; "granted" => upstream.running,
            "queued" => self.scheduler.queued_len(), "unread" => upstream.tokens.pending_prefill,
            "held" => upstream.tokens.reserved_kv,
            "tokens_per_ms" => format!("{:.1}", upstream.tokens.prefill_rate.tokens_per_ms()),
            "residents" => upstream.residents.len(), "engine_running" => report.running_requests,
            "engine_waiting" => report.queued_requests, "engine_kv" => report.kv_tokens_used);
    }

    /// Records the learned speed, and why the next prompt waits, while entries use learned costs.
    fn record_learned(&self, now: Instant, key: UpstreamKey, speed: &EngineSpeed) {
        if !self.scheduler.paces_prompts() {
            return;
        }
        let streams = self.scheduler.begun_streams(key);
        let metrics = &self.context.metrics;
        metrics.begun_streams.set(streams.count.into());
        let ns_per_token = (speed.ms_per_token() * 1e6) as i64;
        metrics.learned_ns_per_token.set(ns_per_token);
        let margin_percent = (speed.margin() * 100.0) as i64;
        metrics.learned_margin_percent.set(margin_percent);
        let next = self.scheduler.pace_of_next(now, key);
        info!(self.context.log, "learned"; "streams" => streams.count,
            "gap_ms" => streams.tightest_gap.as_millis() as u64,
            "known" => speed.is_known(), "ns_per_token" => ns_per_token,
            "margin_percent" => margin_percent,
            "slowdown_percent" => (speed.slowdown(now) * 100.0) as u64,
            "next_prompt" => next.map_or("none", Pace::as_str));
    }

    /// Returns the fencing token, or 0 while this agent does not own the engine.
    pub(super) fn fencing_token(&self) -> Epoch {
        self.engine.epoch.unwrap_or(0)
    }

    /// Tells the engine worker whether a load or unload is in progress, during which
    /// the worker polls the report more often.
    pub(super) fn update_load_in_progress(&self) {
        let upstream = self.engine.key.and_then(|key| self.scheduler.upstream(key));
        let in_progress = upstream.is_some_and(|upstream| {
            let mut residents = upstream.residents.values();
            let any_changing = residents.any(|resident| {
                matches!(
                    resident.state,
                    ResidentState::Loading { .. }
                        | ResidentState::Unloading
                        | ResidentState::Unknown
                )
            });
            any_changing || upstream.base_model_state != BaseModelState::Ready
        });
        self.context
            .load_in_progress
            .store(in_progress, Ordering::Relaxed);
    }
}

fn to_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
