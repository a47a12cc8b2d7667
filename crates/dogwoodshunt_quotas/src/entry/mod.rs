//! The entry's side: chooses the ledger of each workspace, takes tokens from it and pays requests
//! with them.

mod account;
mod known_entries;
mod usage;

use crate::RENEWAL_INTERVAL;
use crate::entry::account::Account;
use crate::entry::known_entries::KnownEntries;
use crate::messages::QuotaGrant;
use crate::messages::QuotaLimits;
use crate::messages::QuotaRequest;
use crate::messages::WorkspaceRequest;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_types::rendezvous;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// Time for which an agent that has been listed but not yet connected may still be chosen. A new
/// entry that chose among the agents it happens to reach first would register with ledgers that no
/// other entry uses, where it gets only its share of the rate.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time for which an agent that has left an ask unanswered is not chosen, unless its connection is
/// re-established.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Why a request is not paid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The workspace has used its quota.
    OverQuota {
        /// Time after which the request will fit.
        retry_after: Duration,
    },
    /// It is not known whether the workspace has used its quota: its ledger does not answer, or no
    /// agent is reached and the number of entries is not known.
    Unknown {
        /// Time after which the request may be repeated.
        retry_after: Duration,
    },
}

/// Answer to a request: it is paid, or refused.
pub type Answer<T> = (T, Result<(), Refusal>);

/// Change of the ledger of a workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerChange<A> {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Agent that is the ledger from now on; `None` while there is none.
    pub ledger: Option<A>,
}

/// What is to be done.
#[derive(Debug)]
pub struct Actions<A, T> {
    /// Answers to requests.
    pub answers: Vec<Answer<T>>,
    /// Messages to agents, at most one to each.
    pub messages: Vec<(A, QuotaRequest)>,
    /// Ledgers that have changed.
    pub changes: Vec<LedgerChange<A>>,
}

impl<A, T> Default for Actions<A, T> {
    fn default() -> Self {
        Self {
            answers: Vec::new(),
            messages: Vec::new(),
            changes: Vec::new(),
        }
    }
}

/// An agent that is listed.
#[derive(Debug)]
struct Agent {
    name: Box<str>,
    listed_at: Instant,
    is_connected: bool,
    /// Whether the agent has been connected before.
    was_connected: bool,
    is_leaving: bool,
    suspected_until: Option<Instant>,
    /// When the registrations with the agent are renewed next.
    renewal_at: Instant,
}

impl Agent {
    fn is_usable(&self, now: Instant) -> bool {
        let is_suspected = self.suspected_until.is_some_and(|until| now < until);
        self.is_connected && !self.is_leaving && !is_suspected
    }

    /// Returns whether the agent may become connected soon.
    fn is_settling(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.listed_at) < SETTLE_TIME;
        !self.is_connected && !self.was_connected && !self.is_leaving && is_recent
    }
}

/// Workspace with its tokens and its ledger.
#[derive(Debug)]
struct Workspace<A, T> {
    account: Account<T>,
    ledger: Option<A>,
}

/// Quotas of all workspaces at an entry; `A` identifies an agent, and `T` a request.
#[derive(Debug)]
pub struct EntryQuotas<A, T> {
    workspaces: BTreeMap<WorkspaceName, Workspace<A, T>>,
    agents: HashMap<A, Agent>,
    entries: KnownEntries,
    last_number: u64,
    /// Whether the ledgers have to be chosen anew.
    is_choice_due: bool,
    /// Time at which the choice may change without an event.
    choice_at: Option<Instant>,
    /// Messages that end registrations.
    departures: Vec<(A, WorkspaceName)>,
}

impl<A, T> Default for EntryQuotas<A, T> {
    fn default() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            agents: HashMap::new(),
            entries: KnownEntries::default(),
            last_number: 0,
            is_choice_due: false,
            choice_at: None,
            departures: Vec::new(),
        }
    }
}

impl<A: Copy + Eq + Hash + Ord, T> EntryQuotas<A, T> {
    /// Returns whether any workspace has a quota; otherwise there is nothing to do.
    pub fn is_active(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Applies the limits of all workspaces that have a quota.
    pub fn set_limits(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (WorkspaceName, QuotaLimits)>,
    ) {
        let mut former = std::mem::take(&mut self.workspaces);
        for (name, limits) in limits {
            let workspace = former.remove(&name);
            let mut workspace = workspace.unwrap_or_else(|| Workspace {
                account: Account::new(now, limits),
                ledger: None,
            });
            if workspace.account.limits != limits {
                workspace.account.limits = limits;
                // The next message brings the limits to the ledger.
                workspace.account.is_registered = false;
            }
            self.workspaces.insert(name, workspace);
        }
        for (name, workspace) in former {
            if let Some(ledger) = workspace.ledger {
                self.departures.push((ledger, name));
            }
        }
        self.is_choice_due = true;
    }

    /// Records that an agent is listed.
    pub fn on_agent_listed(&mut self, now: Instant, agent: A, name: &str) {
        self.agents.entry(agent).or_insert_with(|| Agent {
            name: name.into(),
            listed_at: now,
            is_connected: false,
            was_connected: false,
            is_leaving: false,
            suspected_until: None,
            renewal_at: now,
        });
        self.is_choice_due = true;
    }

    /// Records that the connection to an agent is established.
    pub fn on_agent_connected(&mut self, now: Instant, agent: A) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.is_connected = true;
            state.was_connected = true;
            state.suspected_until = None;
            state.renewal_at = now;
            self.forget_ledger(now, agent);
            self.is_choice_due = true;
        }
    }

    /// Records that the connection to an agent has ended.
    pub fn on_agent_disconnected(&mut self, now: Instant, agent: A) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.is_connected = false;
            self.forget_ledger(now, agent);
            self.is_choice_due = true;
        }
    }

    /// Records whether an agent or its engine is leaving. Returns whether that has changed.
    pub fn set_agent_leaving(&mut self, agent: A, is_leaving: bool) -> bool {
        let Some(state) = self.agents.get_mut(&agent) else {
            return false;
        };
        let is_change = state.is_leaving != is_leaving;
        state.is_leaving = is_leaving;
        self.is_choice_due |= is_change;
        is_change
    }

    /// Applies the number of entries that an agent reports.
    pub fn on_entry_count(&mut self, now: Instant, entries: u32) {
        self.entries.on_report(now, entries);
    }

    /// Adds a request of a workspace, which waits for at most `wait`. The answer is among the
    /// actions that [`Self::poll`] returns. A workspace without a quota pays nothing.
    ///
    /// # Errors
    ///
    /// Returns the request if the workspace has no quota.
    pub fn take(
        &mut self,
        now: Instant,
        workspace: &str,
        cost: u64,
        wait: Duration,
        ticket: T,
    ) -> Result<(), T> {
        let Some(workspace) = self.workspaces.get_mut(workspace) else {
            return Err(ticket);
        };
        workspace.account.add(now, ticket, cost, wait);
        Ok(())
    }

    /// Takes back the cost of a request that has not run.
    pub fn refund(&mut self, now: Instant, workspace: &str, cost: u64) {
        if let Some(workspace) = self.workspaces.get_mut(workspace) {
            workspace.account.refund(now, cost);
        }
    }

    /// Applies answers of a ledger. Those of an agent that is not the ledger of a workspace are
    /// ignored.
    pub fn on_grant(&mut self, now: Instant, agent: A, grant: &QuotaGrant) {
        for granted in &grant.workspaces {
            if let Some(workspace) = self.workspaces.get_mut(&granted.workspace)
                && workspace.ledger == Some(agent)
            {
                workspace.account.on_grant(now, granted);
            }
        }
        if grant.register_again {
            for workspace in self.workspaces.values_mut() {
                if workspace.ledger == Some(agent) {
                    workspace.account.is_registered = false;
                }
            }
        }
    }

    /// Returns what is to be done at `now`.
    pub fn poll(&mut self, now: Instant) -> Actions<A, T> {
        let mut actions = Actions::default();
        self.suspect_silent_ledgers(now);
        if self.is_choice_due || self.choice_at.is_some_and(|at| at <= now) {
            self.choose_ledgers(now, &mut actions);
        }
        let entries = self.entries.count();
        for workspace in self.workspaces.values_mut() {
            workspace.account.drop_stale(now);
            workspace.account.settle(now, entries, &mut actions.answers);
        }
        actions.messages = self.messages(now);
        actions
    }

    /// Returns the time until which [`Self::poll`] has nothing to do unless something happens.
    pub fn next_due(&self, now: Instant) -> Instant {
        let accounts = self.workspaces.values();
        let accounts = accounts.filter_map(|workspace| workspace.account.next_due(now));
        let agents = self.agents.values().filter(|agent| agent.is_connected);
        let renewals = agents.map(|agent| agent.renewal_at);
        let due = accounts.chain(renewals).chain(self.choice_at).min();
        due.unwrap_or(now + RENEWAL_INTERVAL)
            .min(now + RENEWAL_INTERVAL)
    }

    /// Returns the tokens in hand and the number of waiting requests of each workspace.
    pub fn accounts(&self) -> impl Iterator<Item = (&str, u64, usize)> {
        let workspaces = self.workspaces.iter();
        workspaces.map(|(name, workspace)| {
            let account = &workspace.account;
            (&**name, account.hand(), account.waiting_count())
        })
    }

    /// Returns the agent that keeps the ledger of a workspace.
    pub fn ledger(&self, workspace: &str) -> Option<A> {
        self.workspaces.get(workspace)?.ledger
    }

    /// Makes the entry register again with an agent, whose registrations have ended with the
    /// connection.
    fn forget_ledger(&mut self, now: Instant, agent: A) {
        for workspace in self.workspaces.values_mut() {
            if workspace.ledger == Some(agent) {
                workspace.account.leave_ledger(now);
            }
        }
        self.departures.retain(|(ledger, _)| *ledger != agent);
    }

    fn suspect_silent_ledgers(&mut self, now: Instant) {
        for workspace in self.workspaces.values() {
            if !workspace.account.is_ledger_silent(now) {
                continue;
            }
            let agent = workspace.ledger.and_then(|a| self.agents.get_mut(&a));
            if let Some(agent) = agent {
                agent.suspected_until = Some(now + SUSPICION_TIME);
                self.is_choice_due = true;
            }
        }
    }

    /// Chooses the ledger of each workspace: the usable agent that ranks first by rendezvous
    /// hashing, which is the same at every entry that reaches the same agents.
    fn choose_ledgers(&mut self, now: Instant, actions: &mut Actions<A, T>) {
        self.is_choice_due = false;
        let settling = self.agents.values().filter(|a| a.is_settling(now));
        let settled_at = settling.map(|agent| agent.listed_at + SETTLE_TIME);
        let suspicions = self.agents.values().filter_map(|a| a.suspected_until);
        let suspicions = suspicions.filter(|until| *until > now);
        self.choice_at = settled_at.chain(suspicions).min();
        let candidates = self.agents.iter();
        let candidates = candidates.filter(|(_, a)| a.is_usable(now) || a.is_settling(now));
        let candidates: Vec<(A, &Agent)> = candidates.map(|(key, agent)| (*key, agent)).collect();
        for (name, workspace) in &mut self.workspaces {
            let weight = |agent: &Agent| rendezvous::weight(name, &agent.name);
            let first = candidates
                .iter()
                .max_by_key(|(_, agent)| (weight(agent), &agent.name));
            let ledger = first.filter(|(_, agent)| agent.is_connected);
            let ledger = ledger.map(|(key, _)| *key);
            workspace.account.set_local(now, first.is_none());
            if ledger == workspace.ledger {
                continue;
            }
            if let Some(former) = workspace.ledger {
                self.departures.push((former, name.clone()));
            }
            workspace.account.leave_ledger(now);
            workspace.ledger = ledger;
            actions.changes.push(LedgerChange {
                workspace: name.clone(),
                ledger,
            });
        }
    }

    /// Returns the messages that are due, those about all workspaces of a ledger in one.
    fn messages(&mut self, now: Instant) -> Vec<(A, QuotaRequest)> {
        let mut items: BTreeMap<A, Vec<WorkspaceRequest>> = BTreeMap::new();
        for (agent, workspace) in std::mem::take(&mut self.departures) {
            if self.agents.get(&agent).is_some_and(|a| a.is_connected) {
                items.entry(agent).or_default().push(WorkspaceRequest {
                    workspace,
                    leaves: true,
                    ..WorkspaceRequest::default()
                });
            }
        }
        let mut registered: HashMap<A, u32> = HashMap::new();
        for (name, workspace) in &mut self.workspaces {
            let Some(agent) = workspace.ledger else {
                continue;
            };
            let state = self.agents.get(&agent);
            let is_renewal = state.is_some_and(|agent| agent.renewal_at <= now);
            let account = &mut workspace.account;
            let limits = (!account.is_registered).then_some(account.limits);
            if let Some(report) = account.report(now, is_renewal, &mut self.last_number) {
                account.is_registered = true;
                items.entry(agent).or_default().push(WorkspaceRequest {
                    workspace: name.clone(),
                    limits,
                    held: report.held,
                    returned: report.returned,
                    ask: report.ask,
                    leaves: false,
                });
            }
            if is_renewal {
                items.entry(agent).or_default();
            }
            *registered.entry(agent).or_default() += u32::from(account.is_registered);
        }
        for agent in self.agents.values_mut() {
            if agent.renewal_at <= now {
                agent.renewal_at = now + RENEWAL_INTERVAL;
            }
        }
        let entries = self.entries.count().unwrap_or(0);
        let messages = items.into_iter().map(|(agent, workspaces)| {
            let request = QuotaRequest {
                entries,
                registered: registered.get(&agent).copied().unwrap_or(0),
                workspaces,
            };
            (agent, request)
        });
        messages.collect()
    }
}
