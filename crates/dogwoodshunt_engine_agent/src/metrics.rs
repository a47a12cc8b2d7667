//! Metrics of the agent.

use crate::workspace_labels::WorkspaceLabels;
use dogwoodshunt_runtime::metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Label set of the outcome of a requested run or an order.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabel {
    /// Decision on a run, or [`OrderAnswer::as_str`](crate::engine::OrderAnswer::as_str).
    pub outcome: String,
}

/// Label set of the workspace of a run.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabel {
    /// Name of the workspace, `other` beyond the maximum number of names, or `none`.
    pub workspace: String,
}

/// Metrics of the agent.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requested runs by decision: `granted`, `withdrawn` or the refusal reason.
    pub admissions: Family<OutcomeLabel, Counter>,
    /// Work of the granted runs by workspace, in tokens of prefill.
    pub workspace_work: Family<WorkspaceLabel, Counter>,
    /// Refused runs by workspace.
    pub workspace_refusals: Family<WorkspaceLabel, Counter>,
    workspace_labels: WorkspaceLabels,
    /// Time from the request for a run to its grant, in seconds.
    pub queue_seconds: Histogram,
    /// Orders to the engine by answer.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Granted runs that have not ended.
    pub runs_granted: Gauge,
    /// Runs that wait for a grant.
    pub runs_queued: Gauge,
    /// Prefill backlog: prompt tokens of granted runs that the engine has not
    /// prefilled yet.
    pub unread_tokens: Gauge,
    /// Adapters that occupy an adapter slot of the engine.
    pub resident_adapters: Gauge,
    /// Asks for tokens of workspaces, by outcome: `granted` or `refused`.
    pub quota_asks: Family<OutcomeLabel, Counter>,
    /// Tokens that the ledger has granted.
    pub quota_tokens: Counter,
    /// Workspaces of which this agent is the ledger.
    pub quota_workspaces: Gauge,
    /// Begun streams with a gap limit.
    pub begun_streams: Gauge,
    /// Learned time per prompt token without a transient slowdown, in nanoseconds.
    pub learned_ns_per_token: Gauge,
    /// Learned transient slowdown to allow for, in percent.
    pub learned_margin_percent: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            admissions: Family::default(),
            workspace_work: Family::default(),
            workspace_refusals: Family::default(),
            workspace_labels: WorkspaceLabels::default(),
            queue_seconds: metrics::latency_histogram(),
            orders: Family::default(),
            runs_granted: Gauge::default(),
            runs_queued: Gauge::default(),
            unread_tokens: Gauge::default(),
            resident_adapters: Gauge::default(),
            quota_asks: Family::default(),
            quota_tokens: Counter::default(),
            quota_workspaces: Gauge::default(),
            begun_streams: Gauge::default(),
            learned_ns_per_token: Gauge::default(),
            learned_margin_percent: Gauge::default(),
        };
        let asks = metrics.quota_asks.clone();
        registry.register("quota_asks", "Asks of entries for tokens, by outcome", asks);
        let tokens = metrics.quota_tokens.clone();
        registry.register("quota_tokens", "Tokens granted to entries", tokens);
        let admissions = metrics.admissions.clone();
        registry.register("admissions", "Runs asked for, by decision", admissions);
        registry.register(
            "workspace_work",
            "Work of granted runs, in tokens of prefill",
            metrics.workspace_work.clone(),
        );
        registry.register(
            "workspace_refusals",
            "Refused runs by workspace",
            metrics.workspace_refusals.clone(),
        );
        let orders = metrics.orders.clone();
        registry.register("orders", "Orders to the engine, by answer", orders);
        let queue_seconds = metrics.queue_seconds.clone();
        registry.register("queue_seconds", "Time from wish to grant", queue_seconds);
        for (name, help, gauge) in [
            ("runs_granted", "Runs granted now", &metrics.runs_granted),
            ("runs_queued", "Runs that wait now", &metrics.runs_queued),
            (
                "unread_tokens",
                "Prompt tokens still to read",
                &metrics.unread_tokens,
            ),
            (
                "resident_adapters",
                "Adapters that hold a place",
                &metrics.resident_adapters,
            ),
            (
                "quota_workspaces",
                "Workspaces of which this agent is the ledger",
                &metrics.quota_workspaces,
            ),
            (
                "begun_streams",
                "Streams with a gap limit",
                &metrics.begun_streams,
            ),
            (
                "learned_ns_per_token",
                "Learned time per prompt token",
                &metrics.learned_ns_per_token,
            ),
            (
                "learned_margin_percent",
                "Learned slowdown to allow for",
                &metrics.learned_margin_percent,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }

    /// Counts a requested run under its outcome.
    pub fn count_admission(&self, outcome: impl Into<String>) {
        let outcome = outcome.into();
        self.admissions
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts the work of a granted run under its workspace.
    pub fn count_work_of(&self, workspace: Option<&str>, work: f64) {
        let workspace = self.workspace_labels.label(workspace);
        self.workspace_work
            .get_or_create(&WorkspaceLabel { workspace })
            .inc_by(work as u64);
    }

    /// Counts a refused run under its workspace.
    pub fn count_refusal_of(&self, workspace: Option<&str>) {
        let workspace = self.workspace_labels.label(workspace);
        self.workspace_refusals
            .get_or_create(&WorkspaceLabel { workspace })
            .inc();
    }

    /// Counts an answer of the ledger.
    pub fn count_quota_ask(&self, outcome: &str, tokens: u64) {
        let outcome = outcome.to_owned();
        self.quota_asks
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
        self.quota_tokens.inc_by(tokens);
    }

    /// Counts an order under its outcome.
    pub fn count_order(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
