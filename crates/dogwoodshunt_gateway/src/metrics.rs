//! What an entry counts, by route, service and outcome.

use dogwoodshunt_runtime::metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of what a route's requests come to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteOutcome {
    /// Name of the route; empty where none was found.
    pub route: String,
    /// What the caller was answered.
    pub outcome: &'static str,
}

/// Label of one route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabel {
    /// Name of the route.
    pub route: String,
}

/// Labels of what sends to a service come to.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceOutcome {
    /// Name of the service.
    pub service: String,
    /// What the upstream, or the budget, answered.
    pub outcome: &'static str,
}

/// Labels of calls of the platform's store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreOutcome {
    /// What is followed.
    pub topic: &'static str,
    /// Whether the store answered.
    pub outcome: &'static str,
}

/// Latencies by route.
pub type Latencies = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Records a latency of a route.
///
/// The lock of the family is held only in here, so never across an await.
pub fn observe(latencies: &Latencies, route: &str, seconds: f64) {
    let route = route.to_owned();
    let histogram = latencies.get_or_create(&RouteLabel { route });
    histogram.observe(seconds);
}

/// What an entry counts.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests answered.
    pub requests: Family<RouteOutcome, Counter>,
    /// Time from a request's arrival to the head of its answer.
    pub answer_seconds: Latencies,
    /// Time that model requests waited for an engine.
    pub grant_seconds: Latencies,
    /// Time from a request's arrival to the first event of its stream.
    pub first_event_seconds: Latencies,
    /// Longest pause of a stream.
    pub pause_seconds: Latencies,
    /// How streams ended.
    pub streams: Family<RouteOutcome, Counter>,
    /// Sends to upstreams.
    pub sends: Family<ServiceOutcome, Counter>,
    /// Retries that were asked for.
    pub retries: Family<ServiceOutcome, Counter>,
    /// Calls of the platform's store.
    pub store_calls: Family<StoreOutcome, Counter>,
    /// Revision of the configuration in force.
    pub config_revision: Gauge,
    /// Agents that are connected.
    pub agents: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let latencies = || Latencies::new_with_constructor(metrics::latency);
        let held = Self {
            requests: Family::default(),
            answer_seconds: latencies(),
            grant_seconds: latencies(),
            first_event_seconds: latencies(),
            pause_seconds: latencies(),
            streams: Family::default(),
            sends: Family::default(),
            retries: Family::default(),
            store_calls: Family::default(),
            config_revision: Gauge::default(),
            agents: Gauge::default(),
        };
        let requests = held.requests.clone();
        registry.register("requests", "Requests answered, by outcome", requests);
        let streams = held.streams.clone();
        registry.register("streams", "Streams ended, by outcome", streams);
        let sends = held.sends.clone();
        registry.register("upstream_sends", "Sends to upstreams, by outcome", sends);
        let retries = held.retries.clone();
        registry.register("retries", "Retries asked for, by decision", retries);
        let calls = held.store_calls.clone();
        registry.register("store_calls", "Calls of the platform's store", calls);
        for (name, help, family) in [
            (
                "answer_seconds",
                "Time to the head of the answer",
                &held.answer_seconds,
            ),
            (
                "grant_wait_seconds",
                "Time that model requests waited for an engine",
                &held.grant_seconds,
            ),
            (
                "first_event_seconds",
                "Time to the first event of a stream",
                &held.first_event_seconds,
            ),
            (
                "stream_pause_seconds",
                "Longest pause of a stream",
                &held.pause_seconds,
            ),
        ] {
            registry.register(name, help, family.clone());
        }
        let revision = held.config_revision.clone();
        let help = "Revision of the configuration in force";
        registry.register("config_revision", help, revision);
        let agents = held.agents.clone();
        registry.register("agents_connected", "Agents that are connected", agents);
        held
    }
}
