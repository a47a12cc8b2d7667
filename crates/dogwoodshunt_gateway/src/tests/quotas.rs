//! Quotas of workspaces.

use super::TestEntry;
use crate::control::ControlEvent;
use crate::watch::Topic;
use async_channel::Receiver;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaRequest;
use dogwoodshunt_quotas::messages::WorkspaceGrant;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_wire::Frame;
use std::time::Duration;

impl TestEntry {
    /// Creates an entry whose configuration gives the workspace `w` a quota of 1,000 a second.
    fn with_quota() -> Self {
        let mut entry = Self::new();
        entry.put_record(Topic::Operator, "op/config", "config 2 quota");
        entry
    }

    fn take_quota(&mut self, cost: u64) -> Receiver<Result<(), NotRun>> {
        let (reply_tx, paid_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::TakeQuota {
            workspace: "w".into(),
            cost,
            wait: Duration::from_millis(250),
            reply_tx,
        });
        paid_rx
    }

    fn take_quota_requests(&self) -> Vec<(AgentKey, QuotaRequest)> {
        let frames = self.take_sent_frames().into_iter();
        let requests = frames.filter_map(|(agent, frame)| match frame {
            Frame::QuotaRequest(request) => Some((agent, *request)),
            _ => None,
        });
        requests.collect()
    }

    /// Answers the only ask sent since the last call.
    fn answer_ask(&mut self, amount: u64, fits_in_ms: u64) {
        let requests = self.take_quota_requests();
        let (agent, request) = requests
            .iter()
            .find(|(_, request)| request.workspaces.iter().any(|item| item.ask.is_some()))
            .unwrap();
        let grant = WorkspaceGrant {
            workspace: "w".into(),
            number: request.workspaces[0].ask.unwrap().number,
            amount,
            fits_in_ms,
            rate: 1_000,
        };
        let grant = QuotaGrant {
            workspaces: vec![grant],
            register_again: false,
        };
        let frame = Frame::QuotaGrant(Box::new(grant));
        let agent = *agent;
        self.handle(ControlEvent::Frame { agent, frame });
    }
}

#[test]
fn request_is_paid_when_the_ledger_grants_its_cost() {
    let mut entry = TestEntry::with_quota();
    let paid = entry.take_quota(500);
    assert!(paid.try_recv().is_err());
    entry.answer_ask(500, 0);
    assert_eq!(paid.try_recv(), Ok(Ok(())));
}

#[test]
fn request_over_the_quota_is_refused_with_the_time_of_the_ledger() {
    let mut entry = TestEntry::with_quota();
    let paid = entry.take_quota(500);
    entry.answer_ask(0, 1_234);
    let refusal = NotRun::new(NotRunReason::OverQuota, Duration::from_millis(1_234));
    assert_eq!(paid.try_recv(), Ok(Err(refusal)));
}

/// A request that was refused by all engines would be charged although it has not run.
#[test]
fn refunded_cost_pays_the_next_request_without_the_ledger() {
    let mut entry = TestEntry::with_quota();
    entry.take_quota(500);
    entry.answer_ask(500, 0);
    let workspace = "w".into();
    entry.handle(ControlEvent::RefundQuota {
        workspace,
        cost: 500,
    });
    let paid = entry.take_quota(500);
    assert_eq!(paid.try_recv(), Ok(Ok(())));
}

/// The cost of a caller who has left while waiting would be lost to the workspace.
#[test]
fn caller_who_leaves_while_waiting_pays_nothing() {
    let mut entry = TestEntry::with_quota();
    drop(entry.take_quota(500));
    entry.answer_ask(500, 0);
    let paid = entry.take_quota(500);
    assert_eq!(paid.try_recv(), Ok(Ok(())));
}

/// Entries that the agents do not count would exceed the rate together.
#[test]
fn registration_names_the_number_of_entries_that_agents_report() {
    let mut entry = TestEntry::with_quota();
    let agent = entry.agents[0].0;
    entry.receive_heartbeat(agent, |heartbeat| heartbeat.connected_entries = 12);
    entry.take_quota_requests();
    entry.now += Duration::from_millis(500);
    entry.control.tick(entry.now);
    let requests = entry.take_quota_requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].1.entries, 12);
}

#[test]
fn ledger_is_replaced_when_its_connection_ends_or_it_leaves() {
    let mut entry = TestEntry::with_quota();
    let ledger = entry.take_quota_requests()[0].0;
    entry.receive_heartbeat(ledger, |heartbeat| heartbeat.leaving = true);
    let requests = entry.take_quota_requests();
    let next = requests.iter().find(|(agent, _)| *agent != ledger);
    assert!(next.unwrap().1.workspaces[0].limits.is_some());
    let next = next.unwrap().0;
    entry.receive_heartbeat(ledger, |heartbeat| heartbeat.leaving = false);
    entry.handle(ControlEvent::AgentDisconnected { agent: ledger });
    entry.connect_agent(ledger);
    entry.handle(ControlEvent::AgentDisconnected { agent: next });
    entry.take_quota_requests();
    entry.now += Duration::from_millis(50);
    entry.take_quota(1);
    let requests = entry.take_quota_requests();
    assert!(requests.iter().all(|(agent, _)| *agent == ledger));
    assert!(!requests.is_empty());
}

/// Without workspaces, quotas would cost messages and time.
#[test]
fn entry_without_quotas_sends_nothing() {
    let mut entry = TestEntry::new();
    entry.now += Duration::from_secs(1);
    entry.control.tick(entry.now);
    assert!(entry.take_quota_requests().is_empty());
}

/// Guards against refusals of large requests that the slack of the quota allows.
#[test]
fn ledger_is_told_a_burst_that_includes_the_tolerance() {
    let mut entry = TestEntry::with_quota();
    let _paid = entry.take_quota(500);
    let requests = entry.take_quota_requests();
    let mut limits = requests
        .iter()
        .flat_map(|(_, request)| &request.workspaces)
        .filter_map(|item| item.limits);
    let limits = limits.next().expect("limits in the first message");
    assert_eq!((limits.rate, limits.burst), (1_000, 1_000 + 50));
}
