//! Rules of the ledger.

use super::limits;
use crate::ledger::Ledger;
use crate::messages::Ask;
use crate::messages::QuotaLimits;
use crate::messages::QuotaRequest;
use crate::messages::WorkspaceGrant;
use crate::messages::WorkspaceRequest;
use std::time::Duration;
use std::time::Instant;

/// Ledger with entries that are numbered and ask in turn.
struct TestLedger {
    ledger: Ledger<u32>,
    now: Instant,
    number: u64,
}

impl TestLedger {
    fn new() -> Self {
        Self {
            ledger: Ledger::default(),
            now: Instant::now(),
            number: 0,
        }
    }

    fn send(&mut self, entry: u32, entries: u32, item: WorkspaceRequest) -> Vec<(u32, u64, u64)> {
        let request = QuotaRequest {
            entries,
            registered: 1,
            workspaces: vec![WorkspaceRequest {
                workspace: "w".into(),
                ..item
            }],
        };
        let answers = self.ledger.on_request(self.now, entry, request);
        answers.into_iter().map(summary).collect()
    }

    fn register(&mut self, entry: u32, entries: u32, limits: QuotaLimits) {
        let item = WorkspaceRequest {
            limits: Some(limits),
            ..WorkspaceRequest::default()
        };
        assert!(self.send(entry, entries, item).is_empty());
    }

    /// Sends a renewal of all registrations of an entry.
    fn renew(&mut self, entry: u32, entries: u32) {
        let request = QuotaRequest {
            entries,
            registered: 1,
            workspaces: Vec::new(),
        };
        self.ledger.on_request(self.now, entry, request);
    }

    /// Asks for exactly `amount`, which can wait for `wait_ms`. Returns the answers.
    fn ask(&mut self, entry: u32, entries: u32, amount: u64, wait_ms: u64) -> Vec<(u32, u64, u64)> {
        self.number += 1;
        let ask = Ask {
            number: self.number,
            least: amount,
            wanted: amount,
            wait_ms,
        };
        let item = WorkspaceRequest {
            ask: Some(ask),
            ..WorkspaceRequest::default()
        };
        self.send(entry, entries, item)
    }

    /// Passes time, with renewals of the given entries.
    fn pass(&mut self, millis: u64, renewing: &[u32], entries: u32) {
        for _ in 0..millis / 100 {
            self.now += Duration::from_millis(100);
            for entry in renewing {
                self.renew(*entry, entries);
            }
        }
    }

    fn tick(&mut self) -> Vec<(u32, u64, u64)> {
        self.ledger
            .tick(self.now)
            .into_iter()
            .map(summary)
            .collect()
    }
}

/// Returns the entry, the granted amount and the time after which the ask fits.
fn summary((entry, grant): (u32, WorkspaceGrant)) -> (u32, u64, u64) {
    (entry, grant.amount, grant.fits_in_ms)
}

/// A ledger that starts full would grant a burst at each takeover.
#[test]
fn new_ledger_starts_with_an_empty_bucket() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    assert_eq!(ledger.ask(1, 1, 100, 0), [(1, 0, 100)]);
    ledger.pass(1_000, &[1], 1);
    assert_eq!(ledger.ask(1, 1, 1_000, 0), [(1, 1_000, 0)]);
}

/// Two ledgers that serve different entries would together exceed the rate.
#[test]
fn ledger_refills_by_the_part_of_the_entries_that_are_registered() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 4, limits(1_000, 8_000, 1));
    ledger.pass(1_000, &[1], 4);
    assert_eq!(ledger.ask(1, 4, 250, 0), [(1, 250, 0)]);
    assert_eq!(ledger.ask(1, 4, 250, 0), [(1, 0, 1_000)]);
    ledger.register(2, 3, limits(1_000, 8_000, 1));
    ledger.pass(1_000, &[1, 2], 4);
    assert_eq!(ledger.ask(2, 3, 500, 0), [(2, 500, 0)]);
}

/// Ledgers that different entries use would each hold the whole burst.
#[test]
fn capacity_is_the_part_of_the_burst_of_the_registered_entries() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 4, limits(1_000, 4_000, 1));
    ledger.pass(60_000, &[1], 4);
    assert_eq!(ledger.ask(1, 4, 1_000, 0), [(1, 1_000, 0)]);
    assert_eq!(ledger.ask(1, 4, 1, 0), [(1, 0, 4)]);
}

/// An entry that spends elsewhere since a partition would be counted at two ledgers.
#[test]
fn silent_entry_is_credited_for_600_ms_and_registered_for_1500_ms() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 2, limits(1_000, 8_000, 1));
    ledger.register(2, 2, limits(1_000, 8_000, 1));
    ledger.pass(1_400, &[1], 2);
    // 1.4 s of the first entry and 0.6 s of the second one.
    assert_eq!(ledger.ask(1, 2, 1_000, 0), [(1, 1_000, 0)]);
    assert_eq!(ledger.ask(1, 2, 1, 0), [(1, 0, 1)]);
    ledger.pass(200, &[1], 2);
    assert!(ledger.ledger.has_lost_registrations(2, 1));
    assert!(!ledger.ledger.has_lost_registrations(1, 1));
}

/// A ledger that was abandoned would grant its old tokens on top of those of its successor.
#[rstest::rstest]
#[case::by_its_message(true)]
#[case::by_the_end_of_its_connection(false)]
fn tokens_are_forgotten_with_the_last_registration(#[case] leaves: bool) {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    ledger.pass(1_000, &[1], 1);
    if leaves {
        let item = WorkspaceRequest {
            leaves: true,
            ..WorkspaceRequest::default()
        };
        ledger.send(1, 1, item);
    } else {
        ledger.ledger.on_disconnected(ledger.now, 1);
    }
    assert_eq!(ledger.ledger.workspace_count(), 0);
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    assert_eq!(ledger.ask(1, 1, 100, 0), [(1, 0, 100)]);
}

/// A ledger that was frozen would grant the tokens of the time before.
#[test]
fn ledger_that_wakes_up_grants_nothing_of_the_time_before() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    ledger.pass(1_000, &[1], 1);
    ledger.now += Duration::from_secs(10);
    // The ask was sent before the pause; the rate of 0 makes the entry register again.
    let answers = ledger.ask(1, 1, 100, 0);
    assert_eq!(answers, [(1, 0, 0)]);
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    assert_eq!(ledger.ask(1, 1, 100, 0), [(1, 0, 100)]);
}

/// An entry that still has the former configuration would restore the former limit.
#[test]
fn limits_of_the_newest_revision_hold() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 2, limits(1_000, 10_000, 1));
    ledger.pass(10_000, &[1], 1);
    ledger.register(2, 2, limits(100, 100, 2));
    ledger.register(1, 2, limits(1_000, 10_000, 1));
    // The burst of the lowered limit holds at once.
    assert_eq!(ledger.ask(1, 2, 100, 0), [(1, 100, 0)]);
    assert_eq!(ledger.ask(1, 2, 100, 0), [(1, 0, 1_000)]);
}

/// The tokens in the bucket and in the hands of entries together would exceed the burst.
#[test]
fn tokens_that_entries_hold_count_towards_the_burst() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    ledger.pass(1_000, &[1], 1);
    assert_eq!(ledger.ask(1, 1, 400, 0), [(1, 400, 0)]);
    let item = WorkspaceRequest {
        held: 400,
        ..WorkspaceRequest::default()
    };
    ledger.send(1, 1, item);
    ledger.pass(5_000, &[1], 1);
    let item = WorkspaceRequest {
        held: 400,
        ask: Some(Ask {
            number: 99,
            least: 0,
            wanted: 5_000,
            wait_ms: 0,
        }),
        ..WorkspaceRequest::default()
    };
    // Half of the 600 tokens that the bucket may hold.
    assert_eq!(ledger.send(1, 1, item), [(1, 300, 0)]);
}

/// A small request that arrives later would take the tokens that a larger one waits for.
#[test]
fn asks_are_granted_in_order_of_arrival() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 2, limits(1_000, 1_000, 1));
    ledger.register(2, 2, limits(1_000, 1_000, 1));
    assert!(ledger.ask(1, 2, 150, 250).is_empty());
    assert!(ledger.ask(2, 2, 10, 250).is_empty());
    ledger.pass(100, &[1, 2], 2);
    assert!(ledger.tick().is_empty());
    ledger.pass(100, &[1, 2], 2);
    assert_eq!(ledger.tick(), [(1, 150, 0), (2, 10, 0)]);
}

/// A request that cannot fit in time would only wait in vain.
#[test]
fn ask_that_does_not_fit_in_time_is_refused_at_once_with_the_time_at_which_it_fits() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    ledger.register(2, 1, limits(1_000, 1_000, 1));
    assert!(ledger.ask(1, 2, 200, 250).is_empty());
    // 200 tokens of the ask ahead and 100 of its own.
    assert_eq!(ledger.ask(2, 2, 100, 250), [(2, 0, 300)]);
    ledger.pass(200, &[1, 2], 2);
    assert_eq!(ledger.tick(), [(1, 200, 0)]);
    ledger.pass(100, &[1, 2], 2);
    assert_eq!(ledger.ask(2, 2, 100, 250), [(2, 100, 0)]);
}

/// Requests larger than the burst would never be served, or would block all others for ever.
#[test]
fn two_requests_larger_than_the_burst_are_served_one_after_the_other() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 2, limits(1_000, 1_000, 1));
    ledger.register(2, 2, limits(1_000, 1_000, 1));
    let mut served = Vec::new();
    for step in 0..200 {
        for entry in [1, 2] {
            let is_served = served.iter().any(|(served, _)| *served == entry);
            if !is_served && ledger.ask(entry, 2, 5_000, 0)[0].1 == 5_000 {
                served.push((entry, step));
                // The entry has paid the request and holds nothing.
                ledger.send(entry, 2, WorkspaceRequest::default());
            }
        }
        ledger.pass(100, &[1, 2], 2);
    }
    assert_eq!(served, [(1, 10), (2, 60)]);
    // The debt of the second one is paid.
    assert_eq!(ledger.ask(1, 2, 500, 0), [(1, 500, 0)]);
}

/// A large request would never be served while small ones take every token.
#[test]
fn refused_large_request_fits_at_the_stated_time_in_spite_of_small_ones() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 2, limits(1_000, 1_000, 1));
    ledger.register(2, 2, limits(1_000, 1_000, 1));
    let answer = ledger.ask(1, 2, 800, 250);
    assert_eq!(answer, [(1, 0, 800)]);
    let mut small = 0;
    for _ in 0..8 {
        ledger.pass(100, &[1, 2], 2);
        small += ledger.ask(2, 2, 50, 0)[0].1;
    }
    assert_eq!(small, 0);
    assert_eq!(ledger.ask(1, 2, 800, 250), [(1, 800, 0)]);
    ledger.pass(100, &[1, 2], 2);
    assert_eq!(ledger.ask(2, 2, 50, 0), [(2, 50, 0)]);
}

/// Entries whose large requests are never repeated would keep the tokens from all others.
#[test]
fn tokens_kept_for_a_large_request_are_released_if_it_does_not_return() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    assert_eq!(ledger.ask(1, 1, 1_000, 0), [(1, 0, 1_000)]);
    ledger.pass(1_500, &[1], 1);
    let granted: u64 = (0..10).map(|_| ledger.ask(1, 1, 100, 0)[0].1).sum();
    assert_eq!(granted, 1_000);
}

/// Tokens that an entry gives back would be lost to the workspace, or exceed the burst.
#[test]
fn returned_tokens_are_granted_again_up_to_the_burst() {
    let mut ledger = TestLedger::new();
    ledger.register(1, 1, limits(1_000, 1_000, 1));
    ledger.pass(1_000, &[1], 1);
    assert_eq!(ledger.ask(1, 1, 600, 0), [(1, 600, 0)]);
    let back = WorkspaceRequest {
        returned: 5_000,
        ..WorkspaceRequest::default()
    };
    ledger.send(1, 1, back);
    assert_eq!(ledger.ask(1, 1, 1_000, 0), [(1, 1_000, 0)]);
    assert_eq!(ledger.ask(1, 1, 1, 0), [(1, 0, 1)]);
}
