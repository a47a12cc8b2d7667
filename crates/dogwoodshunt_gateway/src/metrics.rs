//! Prometheus metrics of an entry.

use dogwoodshunt_runtime::metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of the outcomes of a route's requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteOutcomeLabels {
    /// Name of the route; empty if no route matched.
    pub route: String,
    /// Outcome of the request or of its stream.
    pub outcome: &'static str,
}

/// Label of the latencies of one route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabels {
    /// Name of the route.
    pub route: String,
}

/// Labels of sends to a service and of its retries.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceOutcomeLabels {
    /// Name of the service.
    pub service: String,
    /// Outcome of the send, or decision of the retry budget.
    pub outcome: &'static str,
}

/// Labels of decisions on the requests of a workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceOutcomeLabels {
    /// Name of the workspace; `other` beyond the first 64 of them.
    pub workspace: String,
    /// `granted`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// Label of a workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// Name of the workspace; `other` beyond the first 64 of them.
    pub workspace: String,
}

/// Label of the outcome of something that has no other label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// Outcome.
    pub outcome: &'static str,
}

/// Labels of requests to the platform's store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreOutcomeLabels {
    /// Watched part of the store.
    pub topic: &'static str,
    /// `answered` or `lost`.
    pub outcome: &'static str,
}

/// Latency histograms, by route.
pub type LatencyFamily = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// Records a latency of `route`.
///
/// The lock of the metric family is held only in this function, so never across
/// an await.
pub fn observe_latency(latencies: &LatencyFamily, route: &str, seconds: f64) {
    let route = route.to_owned();
    let histogram = latencies.get_or_create(&RouteLabels { route });
    histogram.observe(seconds);
}

/// Metrics of an entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests that have ended, by outcome; streams that follow an answer are counted in
    /// `streams`.
    pub requests: Family<RouteOutcomeLabels, Counter>,
    /// Time from the arrival of a request to the head of its response, in
    /// seconds.
    pub response_head_seconds: LatencyFamily,
    /// Time that model requests waited for a grant, in seconds.
    pub grant_wait_seconds: LatencyFamily,
    /// Time from the arrival of a request to the first event of its stream, in
    /// seconds.
    pub first_event_seconds: LatencyFamily,
    /// Longest gap between two events of a stream, in seconds.
    pub longest_event_gap_seconds: LatencyFamily,
    /// Streams ended, by outcome.
    pub streams: Family<RouteOutcomeLabels, Counter>,
    /// Requests that take up a stream, by outcome.
    pub take_ups: Family<RouteOutcomeLabels, Counter>,
    /// Sends to upstreams, by outcome.
    pub sends: Family<ServiceOutcomeLabels, Counter>,
    /// Times that an engine was left out as it was not reached, by cause, or taken back.
    pub left_out_engines: Family<ServiceOutcomeLabels, Counter>,
    /// Retries requested, by decision of the retry budget.
    pub retries: Family<ServiceOutcomeLabels, Counter>,
    /// Requests to the platform's store, by outcome.
    pub store_requests: Family<StoreOutcomeLabels, Counter>,
    /// Requests with keys that were refused since the configuration was not proven to be recent.
    pub refusals_without_proof: Counter,
    /// Waits for a confirmation that a key is unknown, by outcome.
    pub confirmations: Family<OutcomeLabels, Counter>,
    /// Age of the proof that the configuration was the newest one, in milliseconds; -1 if there is
    /// none.
    pub config_proof_age_ms: Gauge,
    /// Revision of the configuration in force.
    pub config_revision: Gauge,
    /// Number of prompt parts that are refused since they crash engines.
    pub quarantined_parts: Gauge,
    /// Number of requests that are refused since they crash upstreams.
    pub quarantined_requests: Gauge,
    /// Number of connected agents.
    pub connected_agents: Gauge,
    /// Requests of workspaces that have a quota, by decision.
    pub quota_requests: Family<WorkspaceOutcomeLabels, Counter>,
    /// Tokens of workspaces that this entry holds.
    pub quota_tokens_in_hand: Family<WorkspaceLabels, Gauge>,
    /// Changes of the ledgers of workspaces.
    pub quota_ledger_changes: Family<WorkspaceLabels, Counter>,
}

impl Metrics {
    /// Counts a wait for a confirmation that a key is unknown.
    pub fn count_confirmation(&self, is_confirmed: bool) {
        let outcome = match is_confirmed {
            true => "confirmed",
            false => "unconfirmed",
        };
        let labels = OutcomeLabels { outcome };
        self.confirmations.get_or_create(&labels).inc();
    }

    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let latencies = || LatencyFamily::new_with_constructor(metrics::latency_histogram);
        let registered = Self {
            requests: Family::default(),
            response_head_seconds: latencies(),
            grant_wait_seconds: latencies(),
            first_event_seconds: latencies(),
            longest_event_gap_seconds: latencies(),
            streams: Family::default(),
            take_ups: Family::default(),
            sends: Family::default(),
            left_out_engines: Family::default(),
            retries: Family::default(),
            store_requests: Family::default(),
            refusals_without_proof: Counter::default(),
            confirmations: Family::default(),
            config_proof_age_ms: Gauge::default(),
            config_revision: Gauge::default(),
            quarantined_parts: Gauge::default(),
            quarantined_requests: Gauge::default(),
            connected_agents: Gauge::default(),
            quota_requests: Family::default(),
            quota_tokens_in_hand: Family::default(),
            quota_ledger_changes: Family::default(),
        };
        registered.register_quotas(registry);
        let requests = registered.requests.clone();
        registry.register("requests", "Requests ended, by outcome", requests);
        let streams = registered.streams.clone();
        registry.register("streams", "Streams ended, by outcome", streams);
        let take_ups = registered.take_ups.clone();
        let help = "Requests that take up a stream, by outcome";
        registry.register("take_ups", help, take_ups);
        let sends = registered.sends.clone();
        registry.register("upstream_sends", "Sends to upstreams, by outcome", sends);
        let left_out = registered.left_out_engines.clone();
        let help = "Engines left out as they were not reached, by cause, or taken back";
        registry.register("left_out_engines", help, left_out);
        let retries = registered.retries.clone();
        registry.register("retries", "Retries asked for, by decision", retries);
        let store_requests = registered.store_requests.clone();
        registry.register(
            "store_calls",
            "Calls of the platform's store",
            store_requests,
        );
        for (name, help, family) in [
            (
                "answer_seconds",
                "Time to the head of the answer",
                &registered.response_head_seconds,
            ),
            (
                "grant_wait_seconds",
                "Time that model requests waited for an engine",
                &registered.grant_wait_seconds,
            ),
            (
                "first_event_seconds",
                "Time to the first event of a stream",
                &registered.first_event_seconds,
            ),
            (
                "stream_pause_seconds",
                "Longest pause of a stream",
                &registered.longest_event_gap_seconds,
            ),
        ] {
            registry.register(name, help, family.clone());
        }
        let refusals = registered.refusals_without_proof.clone();
        let help = "Requests with keys refused since the configuration was not proven to be recent";
        registry.register("refusals_without_proof", help, refusals);
        let confirmations = registered.confirmations.clone();
        let help = "Waits for a confirmation that a key is unknown, by outcome";
        registry.register("key_confirmations", help, confirmations);
        let proof_age = registered.config_proof_age_ms.clone();
        let help =
            "Age of the proof that the configuration was the newest, in ms; -1 without proof";
        registry.register("config_proof_age_ms", help, proof_age);
        let revision = registered.config_revision.clone();
        let help = "Revision of the configuration in force";
        registry.register("config_revision", help, revision);
        let agents = registered.connected_agents.clone();
        registry.register("agents_connected", "Agents that are connected", agents);
        let parts = registered.quarantined_parts.clone();
        let help = "Prompt parts that are refused since they crash engines";
        registry.register("quarantined_prompt_parts", help, parts);
        let requests = registered.quarantined_requests.clone();
        let help = "Requests that are refused since they crash upstreams";
        registry.register("quarantined_requests", help, requests);
        registered
    }

    fn register_quotas(&self, registry: &mut Registry) {
        let requests = self.quota_requests.clone();
        let help = "Requests of workspaces that have a quota, by decision";
        registry.register("quota_requests", help, requests);
        let tokens = self.quota_tokens_in_hand.clone();
        let help = "Tokens of workspaces that this entry holds";
        registry.register("quota_tokens_in_hand", help, tokens);
        let changes = self.quota_ledger_changes.clone();
        let help = "Changes of the ledgers of workspaces";
        registry.register("quota_ledger_changes", help, changes);
    }
}
