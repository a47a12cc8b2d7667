//! What the process beside an engine counts.

use dogwoodshunt_runtime::metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Label of what something came to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Outcome {
    /// What it came to.
    pub outcome: String,
}

/// What the process beside an engine counts.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Runs that were asked for, by decision.
    pub admissions: Family<Outcome, Counter>,
    /// Time from the wish to the grant.
    pub queue_seconds: Histogram,
    /// Orders to the engine, by answer.
    pub orders: Family<Outcome, Counter>,
    /// Runs granted at this moment.
    pub running: Gauge,
    /// Runs that wait at this moment.
    pub queued: Gauge,
    /// Prompt tokens that the engine has still to read.
    pub unread_tokens: Gauge,
    /// Adapters that hold a place.
    pub residents: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let held = Self {
            admissions: Family::default(),
            queue_seconds: metrics::latency(),
            orders: Family::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            unread_tokens: Gauge::default(),
            residents: Gauge::default(),
        };
        let admissions = held.admissions.clone();
        registry.register("admissions", "Runs asked for, by decision", admissions);
        let orders = held.orders.clone();
        registry.register("orders", "Orders to the engine, by answer", orders);
        let queue = held.queue_seconds.clone();
        registry.register("queue_seconds", "Time from wish to grant", queue);
        for (name, help, gauge) in [
            ("runs_granted", "Runs granted now", &held.running),
            ("runs_queued", "Runs that wait now", &held.queued),
            (
                "unread_tokens",
                "Prompt tokens still to read",
                &held.unread_tokens,
            ),
            (
                "resident_adapters",
                "Adapters that hold a place",
                &held.residents,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
        held
    }

    /// Counts what a run that was asked for came to.
    pub fn count_admission(&self, outcome: impl Into<String>) {
        let outcome = outcome.into();
        self.admissions.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts what an order came to.
    pub fn count_order(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.orders.get_or_create(&Outcome { outcome }).inc();
    }
}
