//! The engine: what it holds, which start of it this is, and orders to it.

use crate::control::Control;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderCall;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderEnd;
use dogwoodshunt_residency::orders::ProbeAnswer;
use dogwoodshunt_residency::upstream::Base;
use dogwoodshunt_residency::upstream::Kind;
use dogwoodshunt_residency::upstream::Residence;
use dogwoodshunt_residency::upstream::Room;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::adapter;
use dogwoodshunt_wire::frame::DeclaredVersion;
use dogwoodshunt_wire::frame::EngineTerms;
use dogwoodshunt_wire::frame::Terms;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use slog::info;
use slog::warn;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time without a report after which the engine takes no new work: more than
/// two reports of an idle engine.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Adapters that may be on their way to an engine at once, by its protocol.
const TRANSIT: usize = 4;

/// Share of the KV cache given to runs; the rest keeps parts of prompts that
/// many requests share.
const KV_SHARE: f64 = 0.9;

/// What this process knows of its engine.
pub(super) struct EngineState {
    pub(super) key: Option<UpstreamKey>,
    pub(super) identity: Option<UpstreamIdentity>,
    report: Option<EngineReport>,
    reported: Instant,
    terms: Option<(Revision, EngineTerms)>,
    versions: HashMap<AdapterName, (Revision, AdapterRef)>,
    epoch: Option<Epoch>,
    ordered: u64,
}

impl EngineState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            key: None,
            identity: None,
            report: None,
            reported: now,
            terms: None,
            versions: HashMap::new(),
            epoch: None,
            ordered: 0,
        }
    }

    /// Returns the newest known version of an adapter, at least `asked`.
    pub(super) fn newest(&self, asked: &AdapterRef) -> AdapterRef {
        match self.versions.get(&asked.name) {
            Some((_, known)) if adapter::is_newer(&known.version, &asked.version) => known.clone(),
            Some(_) | None => asked.clone(),
        }
    }

    fn started(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.started)
    }
}

impl Control {
    /// Takes over what an entry says is in force.
    pub(super) fn on_terms(&mut self, now: Instant, terms: Terms) {
        if let Some(identity) = terms.upstream {
            self.on_identity(identity);
        }
        for declared in terms.versions {
            self.on_declared(declared);
        }
        let newer = self.engine.terms.as_ref();
        if newer.is_none_or(|(revision, _)| *revision < terms.revision) {
            self.engine.terms = Some((terms.revision, terms.engine));
            self.read_back(now);
        }
        self.apply_leaving();
    }

    fn on_identity(&mut self, identity: UpstreamIdentity) {
        let started = self.engine.started();
        if identity.started != started && identity.started != 0 && started != 0 {
            // Of another start of the engine: the entry or the report is behind.
            return;
        }
        match &mut self.engine.identity {
            Some(known) if known.name == identity.name => {
                // A start that has begun to leave does not come back.
                known.leaving |= identity.leaving;
            }
            known => {
                info!(self.around.log, "engine named"; "upstream" => %identity.name,
                    "started" => identity.started, "leaving" => identity.leaving);
                *known = Some(identity);
            }
        }
    }

    fn on_declared(&mut self, declared: DeclaredVersion) {
        let DeclaredVersion { adapter, revision } = declared;
        let known = self.engine.versions.get(&adapter.name);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        info!(self.around.log, "version declared"; "adapter" => %adapter, "revision" => revision);
        self.residency.retarget(&adapter);
        let name = adapter.name.clone();
        self.engine.versions.insert(name, (revision, adapter));
    }

    /// Takes over what the engine says of itself; `None` if it did not answer.
    pub(super) fn on_report(&mut self, now: Instant, report: Option<EngineReport>) {
        let Some(report) = report else {
            let silent = now.saturating_duration_since(self.engine.reported) >= SILENCE_LIMIT;
            if let Some(key) = self.engine.key.filter(|_| silent) {
                self.residency.on_upstream_down(key);
            }
            return;
        };
        let before = self.engine.started();
        if before != report.started && self.engine.report.is_some() {
            warn!(self.around.log, "engine restarted"; "started" => report.started,
                "before" => before);
            self.engine.identity = None;
        }
        self.engine.reported = now;
        self.engine.ordered = report.orders;
        self.engine.report = Some(report);
        self.read_back(now);
        self.apply_leaving();
    }

    /// Gives the residency what the engine holds, once its room is known.
    fn read_back(&mut self, now: Instant) {
        let (Some(report), Some((_, terms))) = (&self.engine.report, &self.engine.terms) else {
            return;
        };
        let kind = Kind::Engine {
            base_model: terms.base_model.clone(),
        };
        let residency = &mut self.residency;
        let new = || residency.add_upstream("engine".into(), kind);
        let key = *self.engine.key.get_or_insert_with(new);
        let has_base = report.base_models.contains(&terms.base_model);
        let usable = (terms.kv_tokens as f64 * KV_SHARE) as u64;
        let answer = ProbeAnswer {
            boot: report.started,
            room: Room {
                kv_tokens: usable,
                transit: TRANSIT,
                one_version: true,
                ..Room::new(to_usize(terms.slots), to_usize(terms.batch))
            },
            has_base,
            resident: report.adapters.clone(),
            incoming: Some(report.incoming.clone()),
        };
        for coming in &report.incoming {
            self.residency.rename_loading(key, coming);
        }
        for held in report.adapters.iter().chain(&report.incoming) {
            if self.engine.newest(held) == *held {
                self.residency.retarget(held);
            }
        }
        self.residency.on_probe(now, key, &answer);
        self.residency.set_owned(self.engine.epoch.is_some());
    }

    /// Takes no new work where the engine leaves or cannot be named.
    fn apply_leaving(&mut self) {
        let named = self.engine.identity.as_ref();
        let staying = named.is_some_and(|identity| !identity.leaving);
        let says_leaving = self.engine.report.as_ref().is_some_and(|r| r.leaving);
        self.residency
            .set_upstream_leaving("engine", !staying || says_leaving);
    }

    pub(super) fn on_ownership(&mut self, ownership: Ownership) {
        self.engine.epoch = match ownership {
            Ownership::Owned { epoch } => Some(epoch),
            Ownership::Superseded => None,
        };
        self.residency.set_owned(self.engine.epoch.is_some());
    }

    pub(super) fn order_base(&mut self, now: Instant) {
        if let Some((_, terms)) = &self.engine.terms {
            let base_model = terms.base_model.clone();
            self.order(now, Order::LoadBase(base_model));
        }
    }

    /// Sends an order that only this start of the engine carries out, and only
    /// if it has accepted no other meanwhile.
    pub(super) fn order(&mut self, now: Instant, order: Order) {
        let identity = self.engine.identity.as_ref();
        let (Some(identity), Some(epoch)) = (identity, self.engine.epoch) else {
            let answer = OrderAnswer::Refused("the engine is not named or not owned".into());
            return self.on_ordered(now, &order, &answer);
        };
        let call = OrderCall {
            order,
            upstream: identity.name.clone(),
            after: self.engine.ordered,
            holder: self.me.node.clone(),
            epoch,
        };
        // The orders that wait here are accepted first.
        self.engine.ordered += 1;
        // The worker lives as long as this state.
        let _ = self.around.orders.try_send(call);
    }

    pub(super) fn on_ordered(&mut self, now: Instant, order: &Order, answer: &OrderAnswer) {
        self.around.metrics.count_order(answer.as_str());
        if *answer == OrderAnswer::Fenced {
            self.engine.epoch = None;
            self.residency.set_owned(false);
            let _ = self.around.doubts.try_send(());
        }
        let Some(key) = self.engine.key else { return };
        let accepted = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        match order {
            // The report shows when the adapter is there.
            Order::LoadAdapter(_) if accepted => {}
            Order::LoadAdapter(adapter) => {
                let actions = self
                    .residency
                    .on_load_end(now, key, adapter, OrderEnd::Unsure);
                self.carry_out(now, actions);
            }
            Order::LoadBase(_) if accepted => {}
            Order::LoadBase(_) => self.residency.on_base_refused(now, key),
            Order::UnloadAdapter(adapter) => {
                let end = match answer {
                    OrderAnswer::Done => OrderEnd::Done,
                    _ => OrderEnd::Unsure,
                };
                let actions = self.residency.on_unload_end(key, adapter, end);
                self.carry_out(now, actions);
            }
        }
    }

    /// Logs and counts what the engine does, as this process and as the engine see it.
    pub(super) fn log_load(&self) {
        let upstream = self.engine.key.and_then(|key| self.residency.upstream(key));
        let (Some(upstream), Some(report)) = (upstream, &self.engine.report) else {
            return;
        };
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.around.metrics;
        metrics.running.set(gauge(upstream.running as u64));
        metrics
            .queued
            .set(gauge(self.residency.queued_len() as u64));
        metrics.unread_tokens.set(gauge(upstream.tokens.unread));
        metrics
            .residents
            .set(gauge(upstream.residents.len() as u64));
        info!(self.around.log, "load"; "granted" => upstream.running,
            "queued" => self.residency.queued_len(), "unread" => upstream.tokens.unread,
            "held" => upstream.tokens.held,
            "tokens_per_ms" => format!("{:.1}", upstream.tokens.pace.rate()),
            "residents" => upstream.residents.len(), "engine_running" => report.running,
            "engine_waiting" => report.waiting, "engine_kv" => report.kv_used);
    }

    pub(super) fn engine_epoch(&self) -> Epoch {
        self.engine.epoch.unwrap_or(0)
    }

    /// Tells the worker whether the engine's report will soon change.
    pub(super) fn note_expecting(&self) {
        let upstream = self.engine.key.and_then(|key| self.residency.upstream(key));
        let expecting = upstream.is_some_and(|upstream| {
            let mut residents = upstream.residents.values();
            let moving = residents.any(|resident| {
                matches!(
                    resident.state,
                    Residence::Loading { .. } | Residence::Unloading | Residence::Unsure
                )
            });
            moving || upstream.base != Base::Ready
        });
        self.around.expecting.store(expecting, Ordering::Relaxed);
    }
}

fn to_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
