//! Quotas of workspaces: charges requests, and exchanges messages with the ledgers at agents.

use crate::control::Control;
use crate::metrics::Metrics;
use crate::metrics::WorkspaceLabels;
use crate::metrics::WorkspaceOutcomeLabels;
use crate::platform::RecordDecoder;
use async_channel::Sender;
use dogwoodshunt_quotas::EntryQuotas;
use dogwoodshunt_quotas::QuotaAllowance;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaLimits;
use dogwoodshunt_quotas::entry::LedgerChange;
use dogwoodshunt_quotas::entry::Refusal;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_serving::Config;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_wire::Frame;
use slog::info;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Number of workspaces with a label of their own in metrics.
const MAX_LABELS: usize = 64;

/// Label of all other workspaces.
const OTHER_LABEL: &str = "other";

/// Time between two log lines on refused requests, and two updates of the tokens in hand.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Request that waits for tokens.
#[derive(Debug)]
struct Ticket {
    workspace: WorkspaceName,
    cost: u64,
    reply_tx: Sender<Result<(), NotRun>>,
}

/// Refusals of a workspace since the last log line.
#[derive(Debug, Default)]
struct RefusalCount {
    over_quota: u64,
    unknown: u64,
    retry_after: Duration,
}

/// Quotas of all workspaces.
pub(super) struct QuotaState {
    quotas: EntryQuotas<AgentKey, Ticket>,
    /// How the limits that ledgers are told differ from a quota.
    allowance: QuotaAllowance,
    /// Limits of a configuration that have not been applied yet.
    new_limits: Option<Vec<(WorkspaceName, QuotaLimits)>>,
    due: Instant,
    /// Whether an agent has begun to leave or has stopped leaving since the last poll.
    is_choice_due: bool,
    report_due: Instant,
    refusals: BTreeMap<WorkspaceName, RefusalCount>,
    labels: HashSet<WorkspaceName>,
}

impl QuotaState {
    pub(super) fn new(now: Instant, allowance: QuotaAllowance) -> Self {
        Self {
            quotas: EntryQuotas::default(),
            allowance,
            new_limits: None,
            due: now,
            is_choice_due: false,
            report_due: now,
            refusals: BTreeMap::new(),
            labels: HashSet::new(),
        }
    }

    /// Notes the quotas of a configuration that is in force from now on.
    pub(super) fn set_config(&mut self, config: &Config) {
        let workspaces = config.workspaces.iter().flatten();
        let limits = workspaces.filter_map(|workspace| {
            let limits = QuotaLimits::new(workspace.quota.as_ref()?, config.revision);
            let limits = self.allowance.apply(limits);
            Some((workspace.name.clone(), limits))
        });
        self.new_limits = Some(limits.collect());
    }

    fn apply_new_limits(&mut self, now: Instant) {
        if let Some(limits) = self.new_limits.take() {
            for (name, _) in &limits {
                if self.labels.len() < MAX_LABELS {
                    self.labels.insert(name.clone());
                }
            }
            self.quotas.set_limits(now, limits);
            self.due = now;
        }
    }

    pub(super) fn on_agent_listed(&mut self, now: Instant, agent: AgentKey, address: &str) {
        self.quotas.on_agent_listed(now, agent, address);
        self.due = now;
    }

    pub(super) fn on_agent_connected(&mut self, now: Instant, agent: AgentKey) {
        self.quotas.on_agent_connected(now, agent);
        self.due = now;
    }

    pub(super) fn on_agent_disconnected(&mut self, now: Instant, agent: AgentKey) {
        self.quotas.on_agent_disconnected(now, agent);
        self.due = now;
    }

    pub(super) fn set_agent_leaving(&mut self, agent: AgentKey, is_leaving: bool) {
        self.is_choice_due |= self.quotas.set_agent_leaving(agent, is_leaving);
    }

    pub(super) fn on_entry_count(&mut self, now: Instant, entries: u32) {
        self.quotas.on_entry_count(now, entries);
    }

    pub(super) fn on_grant(&mut self, now: Instant, agent: AgentKey, grant: &QuotaGrant) {
        self.quotas.on_grant(now, agent, grant);
        self.due = now;
    }

    pub(super) fn refund(&mut self, now: Instant, workspace: &str, cost: u64) {
        self.quotas.refund(now, workspace, cost);
        self.due = now;
    }

    /// Returns the label of a workspace in metrics.
    fn label(&self, workspace: &str) -> String {
        let has_label = self.labels.contains(workspace);
        if has_label { workspace } else { OTHER_LABEL }.to_owned()
    }

    fn count(&mut self, metrics: &Metrics, workspace: &str, result: Result<(), Refusal>) {
        let outcome = match result {
            Ok(()) => "granted",
            Err(Refusal::OverQuota { .. }) => "refused",
            Err(Refusal::Unknown { .. }) => "unknown",
        };
        let labels = WorkspaceOutcomeLabels {
            workspace: self.label(workspace),
            outcome,
        };
        metrics.quota_requests.get_or_create(&labels).inc();
        let Err(refusal) = result else {
            return;
        };
        let count = self.refusals.entry(workspace.into()).or_default();
        match refusal {
            Refusal::OverQuota { retry_after } => {
                count.over_quota += 1;
                count.retry_after = retry_after;
            }
            Refusal::Unknown { retry_after } => {
                count.unknown += 1;
                count.retry_after = retry_after;
            }
        }
    }
}

impl<D: RecordDecoder> Control<D> {
    pub(super) fn on_take_quota(
        &mut self,
        now: Instant,
        workspace: WorkspaceName,
        cost: u64,
        wait: Duration,
        reply_tx: Sender<Result<(), NotRun>>,
    ) {
        self.quotas.apply_new_limits(now);
        let ticket = Ticket {
            workspace: workspace.clone(),
            cost,
            reply_tx,
        };
        let taken = self.quotas.quotas.take(now, &workspace, cost, wait, ticket);
        match taken {
            Ok(()) => self.poll_quotas(now),
            // The quota has ended with a configuration that is newer than the request. The receiver
            // is dropped if the caller has disconnected.
            Err(ticket) => {
                let _ = ticket.reply_tx.try_send(Ok(()));
            }
        }
    }

    /// Does what is due.
    pub(super) fn tick_quotas(&mut self, now: Instant) {
        self.quotas.apply_new_limits(now);
        if self.quotas.due <= now || self.quotas.is_choice_due {
            self.poll_quotas(now);
        }
        if self.quotas.report_due <= now && self.quotas.quotas.is_active() {
            self.quotas.report_due = now + REPORT_INTERVAL;
            self.report_quotas();
        }
    }

    fn poll_quotas(&mut self, now: Instant) {
        self.quotas.is_choice_due = false;
        let actions = self.quotas.quotas.poll(now);
        self.quotas.due = self.quotas.quotas.next_due(now);
        for (ticket, result) in actions.answers {
            let metrics = &self.context.metrics;
            self.quotas.count(metrics, &ticket.workspace, result);
            let answer = result.map_err(not_run);
            if ticket.reply_tx.try_send(answer).is_err() && result.is_ok() {
                // The caller has disconnected, and its request has not been sent.
                self.quotas.refund(now, &ticket.workspace, ticket.cost);
            }
        }
        for (agent, request) in actions.messages {
            // A failed send is ignored: the connector reports the closed connection.
            self.send(agent, Frame::QuotaRequest(Box::new(request)));
        }
        self.log_ledger_changes(&actions.changes);
    }

    fn log_ledger_changes(&self, changes: &[LedgerChange<AgentKey>]) {
        let Some(first) = changes.first() else {
            return;
        };
        let agent = first.ledger.map(|agent| self.agent_address(agent));
        info!(self.context.log, "ledgers changed"; "count" => changes.len(),
            "workspace" => %first.workspace, "agent" => agent.unwrap_or_default());
        for change in changes {
            let workspace = self.quotas.label(&change.workspace);
            let labels = WorkspaceLabels { workspace };
            let changes = &self.context.metrics.quota_ledger_changes;
            changes.get_or_create(&labels).inc();
        }
    }

    /// Logs the workspace with the most refused requests, and updates the tokens in hand.
    fn report_quotas(&mut self) {
        let mut in_hand: BTreeMap<String, u64> = BTreeMap::new();
        for (workspace, hand, _) in self.quotas.quotas.accounts() {
            *in_hand.entry(self.quotas.label(workspace)).or_default() += hand;
        }
        for (workspace, hand) in in_hand {
            let gauge = &self.context.metrics.quota_tokens_in_hand;
            let gauge = gauge.get_or_create(&WorkspaceLabels { workspace });
            gauge.set(i64::try_from(hand).unwrap_or(i64::MAX));
        }
        let refusals = std::mem::take(&mut self.quotas.refusals);
        let count = |refused: &RefusalCount| refused.over_quota + refused.unknown;
        let most = refusals.iter().max_by_key(|(_, refused)| count(refused));
        if let Some((workspace, refused)) = most {
            let total: u64 = refusals.values().map(count).sum();
            info!(self.context.log, "quota refused requests"; "workspace" => %workspace,
                "over_quota" => refused.over_quota, "unknown" => refused.unknown,
                "retry_after_ms" => refused.retry_after.as_millis() as u64,
                "of_other_workspaces" => total - count(refused));
        }
    }
}

fn not_run(refusal: Refusal) -> NotRun {
    match refusal {
        Refusal::OverQuota { retry_after } => NotRun::new(NotRunReason::OverQuota, retry_after),
        Refusal::Unknown { retry_after } => NotRun::new(NotRunReason::QuotaUnknown, retry_after),
    }
}
