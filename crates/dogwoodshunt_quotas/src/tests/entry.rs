//! Rules of the entry's side.

use super::limits;
use crate::MAX_WAIT;
use crate::RENEWAL_INTERVAL;
use crate::entry::Actions;
use crate::entry::Answer;
use crate::entry::EntryQuotas;
use crate::entry::Refusal;
use crate::messages::Ask;
use crate::messages::QuotaGrant;
use crate::messages::QuotaRequest;
use crate::messages::WorkspaceGrant;
use crate::messages::WorkspaceRequest;
use std::time::Duration;
use std::time::Instant;

struct TestEntry {
    quotas: EntryQuotas<u32, u64>,
    now: Instant,
    answers: Vec<Answer<u64>>,
}

impl TestEntry {
    /// Creates an entry that knows 4 entries and is connected to the given agents.
    fn new(agents: &[u32]) -> Self {
        let mut entry = Self::unconnected(agents);
        entry.quotas.on_entry_count(entry.now, 4);
        for agent in agents {
            entry.quotas.on_agent_connected(entry.now, *agent);
        }
        entry.poll();
        entry
    }

    fn unconnected(agents: &[u32]) -> Self {
        let now = Instant::now();
        let mut quotas = EntryQuotas::default();
        quotas.set_limits(now, [("w".into(), limits(1_000, 1_000, 1))]);
        for agent in agents {
            quotas.on_agent_listed(now, *agent, &format!("agent-{agent}"));
        }
        Self {
            quotas,
            now,
            answers: Vec::new(),
        }
    }

    fn poll(&mut self) -> Vec<(u32, QuotaRequest)> {
        let Actions {
            answers, messages, ..
        } = self.quotas.poll(self.now);
        self.answers.extend(answers);
        messages
    }

    fn pass(&mut self, millis: u64) -> Vec<(u32, QuotaRequest)> {
        self.now += Duration::from_millis(millis);
        self.poll()
    }

    fn take(&mut self, ticket: u64, cost: u64) -> Vec<(u32, QuotaRequest)> {
        let taken = self.quotas.take(self.now, "w", cost, MAX_WAIT, ticket);
        assert_eq!(taken, Ok(()));
        self.poll()
    }

    fn ledger(&self) -> u32 {
        self.quotas.ledger("w").unwrap()
    }

    fn grant(&mut self, agent: u32, number: u64, amount: u64, fits_in_ms: u64) {
        let grant = QuotaGrant {
            workspaces: vec![WorkspaceGrant {
                workspace: "w".into(),
                number,
                amount,
                fits_in_ms,
                rate: 1_000,
            }],
            register_again: false,
        };
        self.quotas.on_grant(self.now, agent, &grant);
    }

    fn hand(&self) -> u64 {
        self.quotas.accounts().next().unwrap().1
    }
}

fn items(messages: Vec<(u32, QuotaRequest)>) -> Vec<WorkspaceRequest> {
    let messages = messages.into_iter();
    messages
        .flat_map(|(_, request)| request.workspaces)
        .collect()
}

fn ask(messages: Vec<(u32, QuotaRequest)>) -> Ask {
    let asks: Vec<Ask> = items(messages).iter().filter_map(|item| item.ask).collect();
    assert_eq!(asks.len(), 1);
    asks[0]
}

/// The bound would not hold if entries that reach the same agents chose different ledgers, and a
/// workspace would lose its burst if a ledger changed without need.
#[test]
fn entries_with_the_same_agents_choose_the_same_ledger_and_change_it_only_if_they_must() {
    let (one, other) = (TestEntry::new(&[1, 2, 3, 4]), TestEntry::new(&[4, 3, 2, 1]));
    assert_eq!(one.ledger(), other.ledger());
    let mut entry = one;
    let first = entry.ledger();
    for agent in (1..=4).filter(|agent| *agent != first) {
        entry.quotas.on_agent_disconnected(entry.now, agent);
        entry.poll();
        assert_eq!(entry.ledger(), first);
    }
    entry.quotas.on_agent_disconnected(entry.now, first);
    entry.poll();
    assert_eq!(entry.quotas.ledger("w"), None);
}

#[test]
fn leaving_ledger_is_told_and_replaced() {
    let mut entry = TestEntry::new(&[1, 2, 3]);
    let first = entry.ledger();
    entry.quotas.set_agent_leaving(first, true);
    let messages = entry.poll();
    assert_ne!(entry.ledger(), first);
    let to_first = messages.iter().find(|(agent, _)| *agent == first);
    assert!(to_first.unwrap().1.workspaces[0].leaves);
    let to_next = messages
        .iter()
        .find(|(agent, _)| *agent == entry.ledger())
        .unwrap();
    assert_eq!(
        to_next.1.workspaces[0].limits,
        Some(limits(1_000, 1_000, 1))
    );
}

/// A new entry would register with a ledger that no other entry uses and get only its share there.
#[test]
fn new_entry_waits_for_the_agent_that_ranks_first_to_connect() {
    let first = TestEntry::new(&[1, 2, 3]).ledger();
    let mut entry = TestEntry::unconnected(&[1, 2, 3]);
    for agent in (1..=3).filter(|agent| *agent != first) {
        entry.quotas.on_agent_connected(entry.now, agent);
    }
    entry.poll();
    assert_eq!(entry.quotas.ledger("w"), None);
    entry.pass(1_000);
    assert!(
        entry
            .quotas
            .ledger("w")
            .is_some_and(|ledger| ledger != first)
    );
    entry.quotas.on_agent_connected(entry.now, first);
    entry.poll();
    assert_eq!(entry.ledger(), first);
}

#[test]
fn registration_is_sent_at_once_and_renewed_twice_a_second() {
    let mut entry = TestEntry::unconnected(&[1]);
    entry.quotas.on_entry_count(entry.now, 4);
    entry.quotas.on_agent_connected(entry.now, 1);
    let (agent, request) = entry.poll().remove(0);
    assert_eq!((agent, request.entries, request.registered), (1, 4, 1));
    assert_eq!(request.workspaces[0].limits, Some(limits(1_000, 1_000, 1)));
    let mut renewals = 0;
    for _ in 0..100 {
        for (_, request) in entry.pass(20) {
            assert!(request.workspaces.is_empty());
            renewals += 1;
        }
    }
    assert_eq!(renewals, 4);
}

#[test]
fn waiting_requests_are_paid_in_order_of_arrival() {
    let mut entry = TestEntry::new(&[1]);
    let first = ask(entry.take(1, 500));
    assert_eq!((first.least, first.wanted, first.wait_ms), (500, 500, 220));
    // The second one is not asked for before the first ask is answered.
    assert!(items(entry.take(2, 100)).is_empty());
    assert!(entry.answers.is_empty());
    entry.grant(1, first.number, 500, 0);
    let second = ask(entry.poll());
    assert_eq!(entry.answers, [(1, Ok(()))]);
    assert_eq!(second.least, 100);
    entry.grant(1, second.number, 120, 0);
    entry.poll();
    assert_eq!(entry.answers, [(1, Ok(())), (2, Ok(()))]);
}

/// A request that never fits in time would occupy the queue, and its caller would not know when to
/// return.
#[test]
fn refused_request_learns_when_it_fits() {
    let mut entry = TestEntry::new(&[1]);
    let number = ask(entry.take(1, 500)).number;
    entry.take(2, 700);
    entry.take(3, 100);
    entry.grant(1, number, 0, 400);
    entry.poll();
    let refused = |millis| {
        let retry_after = Duration::from_millis(millis);
        Err(Refusal::OverQuota { retry_after })
    };
    // 200 tokens more need 200 ms more, and the first one takes its 500 before.
    assert_eq!(entry.answers, [(1, refused(400)), (2, refused(1_100))]);
    // The third one fits after 0 ms and is asked for soon.
    assert_eq!(ask(entry.pass(10)).least, 100);
}

/// Tokens would be spent twice if a grant were counted again, or one of another ledger or of an
/// earlier connection.
#[test]
fn grants_that_do_not_answer_the_outstanding_ask_are_ignored() {
    let mut entry = TestEntry::new(&[1, 2]);
    let (ledger, other) = (entry.ledger(), 3 - entry.ledger());
    let number = ask(entry.take(1, 500)).number;
    entry.grant(other, number, 500, 0);
    entry.grant(ledger, number + 1, 500, 0);
    entry.poll();
    assert!(entry.answers.is_empty());
    entry.quotas.on_agent_disconnected(entry.now, ledger);
    entry.poll();
    entry.quotas.on_agent_connected(entry.now, ledger);
    let next = ask(entry.poll()).number;
    assert_ne!(next, number);
    entry.grant(ledger, number, 500, 0);
    entry.poll();
    assert!(entry.answers.is_empty());
    entry.grant(ledger, next, 700, 0);
    entry.grant(ledger, next, 700, 0);
    entry.poll();
    assert_eq!(entry.answers, [(1, Ok(()))]);
    assert_eq!(entry.hand(), 200);
}

/// Requests would wait for a ledger that is frozen.
#[test]
fn silent_ledger_is_replaced() {
    let mut entry = TestEntry::new(&[1, 2, 3]);
    let first = entry.ledger();
    entry.take(1, 500);
    entry.pass(400);
    assert_eq!(entry.ledger(), first);
    entry.take(2, 500);
    let messages = entry.pass(50);
    assert_ne!(entry.ledger(), first);
    let (agent, request) = messages
        .iter()
        .find(|(_, request)| request.workspaces.iter().any(|item| item.ask.is_some()))
        .unwrap();
    assert_eq!(*agent, entry.ledger());
    assert_eq!(request.workspaces[0].ask.unwrap().least, 500);
    let retry_after = Duration::from_millis(300);
    assert_eq!(entry.answers, [(1, Err(Refusal::Unknown { retry_after }))]);
}

/// Requests would wait for the ledger although the entry knows that more are coming.
#[test]
fn advance_follows_recent_use_and_is_renewed_before_it_is_used_up() {
    let mut entry = TestEntry::new(&[1]);
    let mut waited = 0;
    for ticket in 0..200 {
        let mut messages = entry.take(ticket, 5);
        waited += usize::from(entry.answers.len() as u64 <= ticket);
        // The ledger answers after 2 ms.
        for _ in 0..5 {
            let later = entry.pass(2);
            for item in items(std::mem::replace(&mut messages, later)) {
                if let Some(ask) = item.ask {
                    entry.grant(1, ask.number, ask.wanted, 0);
                }
            }
        }
    }
    assert!(waited <= 5, "{waited} of 200 requests waited");
    // 250 ms of 500 tokens per second, and twice as much at most.
    assert!((60..=250).contains(&entry.hand()), "{}", entry.hand());
}

/// Tokens would lie idle at an entry while another one needs them.
#[test]
fn tokens_not_used_for_a_second_are_returned() {
    let mut entry = TestEntry::new(&[1]);
    let number = ask(entry.take(1, 100)).number;
    entry.grant(1, number, 300, 0);
    entry.poll();
    let mut returned = 0;
    for _ in 0..80 {
        for item in items(entry.pass(20)) {
            returned += item.returned;
        }
    }
    assert_eq!((returned, entry.hand()), (200, 0));
}

/// An entry that was frozen would spend the tokens of an earlier window.
#[test]
fn entry_that_wakes_up_spends_no_tokens_of_the_time_before() {
    let mut entry = TestEntry::new(&[1]);
    let number = ask(entry.take(1, 100)).number;
    entry.grant(1, number, 300, 0);
    entry.poll();
    entry.now += Duration::from_secs(10);
    entry.take(2, 200);
    assert_eq!(entry.answers, [(1, Ok(()))]);
}

/// A request that was refused elsewhere would be charged although it has not run.
#[test]
fn refund_pays_the_next_request() {
    let mut entry = TestEntry::new(&[1]);
    let number = ask(entry.take(1, 500)).number;
    entry.grant(1, number, 500, 0);
    entry.poll();
    entry.quotas.refund(entry.now, "w", 500);
    entry.take(2, 500);
    assert_eq!(entry.answers, [(1, Ok(())), (2, Ok(()))]);
}

/// Entries that reach no agent would together exceed the rate, or serve nobody.
#[test]
fn entry_without_agents_spends_its_share() {
    let mut entry = TestEntry::new(&[1]);
    entry.quotas.on_agent_disconnected(entry.now, 1);
    entry.poll();
    // A quarter of 1,000 tokens per second, from an empty bucket.
    for ticket in 0..100 {
        entry.pass(100);
        entry.take(ticket, 25);
        entry.take(1_000 + ticket, 25);
        entry.pass(0);
    }
    entry.pass(1_000);
    let paid = entry.answers.iter().filter(|(_, result)| result.is_ok());
    let paid = paid.count();
    assert!((98..=112).contains(&paid), "{paid}");
    let refused = entry.answers.iter().filter_map(|(_, result)| result.err());
    assert!(
        refused
            .into_iter()
            .all(|refusal| matches!(refusal, Refusal::OverQuota { .. }))
    );
}

/// An entry that knows nothing would guess a share.
#[test]
fn entry_that_never_knew_the_number_of_entries_refuses_without_a_guess() {
    let mut entry = TestEntry::unconnected(&[]);
    entry.poll();
    entry.take(1, 5);
    let retry_after = Duration::from_millis(300);
    assert_eq!(entry.answers, [(1, Err(Refusal::Unknown { retry_after }))]);
}

/// Entries of a partition would share the rate among themselves only.
#[test]
fn lower_number_of_entries_is_applied_only_after_two_minutes() {
    let mut entry = TestEntry::new(&[1]);
    entry.quotas.on_entry_count(entry.now, 1);
    entry.now += RENEWAL_INTERVAL;
    assert_eq!(entry.poll()[0].1.entries, 4);
    entry.now += Duration::from_secs(120);
    entry.quotas.on_entry_count(entry.now, 1);
    assert_eq!(entry.poll()[0].1.entries, 1);
}

/// A request that exceeds the bound alone would wait for ever and hold up the others.
#[test]
fn request_above_the_bound_is_refused_and_does_not_hold_up_others() {
    let mut entry = TestEntry::new(&[1]);
    entry.take(1, 101_001);
    let next = ask(entry.take(2, 10));
    assert_eq!(next.least, 10);
    let retry_after = Duration::from_secs(8);
    let refusal = Refusal::OverQuota { retry_after };
    assert_eq!(entry.answers, [(1, Err(refusal))]);
}

/// A changed limit would reach the ledger only with the next connection.
#[test]
fn changed_limits_are_sent_at_once() {
    let mut entry = TestEntry::new(&[1]);
    let changed = limits(10, 10, 2);
    entry.quotas.set_limits(entry.now, [("w".into(), changed)]);
    assert_eq!(items(entry.poll())[0].limits, Some(changed));
    entry.quotas.set_limits(entry.now, []);
    assert!(items(entry.poll())[0].leaves);
    assert_eq!(entry.quotas.take(entry.now, "w", 1, MAX_WAIT, 1), Err(1));
}

/// Each workspace of its own frame would multiply the idle traffic.
#[test]
fn workspaces_of_one_ledger_share_a_message() {
    let mut entry = TestEntry::unconnected(&[1]);
    let names = (0..16).map(|n| (format!("w{n}").into(), limits(1, 1, 1)));
    entry.quotas.set_limits(entry.now, names);
    entry.quotas.on_agent_connected(entry.now, 1);
    let messages = entry.poll();
    assert_eq!(messages.len(), 1);
    assert_eq!(messages[0].1.workspaces.len(), 16);
    assert_eq!(messages[0].1.registered, 16);
    entry.now += RENEWAL_INTERVAL;
    assert_eq!(entry.poll().len(), 1);
}
