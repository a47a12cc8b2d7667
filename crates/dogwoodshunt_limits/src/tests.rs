use crate::BodyProgress;
use crate::Budget;
use crate::ConnectionKey;
use crate::LeaseKey;
use crate::Limits;
use crate::Listener;
use crate::budget::Admission;
use crate::budget::Reservation;
use crate::limits::CONNECTION_BYTES;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const MIB: usize = 1 << 20;

/// Size of the bodies of ordinary requests.
const ORDINARY_BODY: usize = 55_000;

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn limits(budget: usize, connections: usize) -> Limits {
    Limits::builder()
        .budget(budget)
        .small_reserve(budget / 4)
        .connections(connections)
        .build()
}

fn open(budget: &mut Budget, now: Instant) -> ConnectionKey {
    match budget.open(now, Listener::Callers) {
        Admission::Admitted(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Opens a connection that receives a body, for which `bytes` are leased.
fn receive(budget: &mut Budget, now: Instant, bytes: usize) -> (ConnectionKey, LeaseKey) {
    let connection = open(budget, now);
    let lease = budget.lease(Some(connection));
    assert_eq!(budget.reserve(now, lease, bytes), Reservation::Granted);
    (connection, lease)
}

/// Guards against limits that a client inside them meets on the smallest host.
#[test]
fn smallest_host_takes_a_legal_body_beside_hundreds_of_ordinary_ones() {
    let limits = Limits::of_host(112 * MIB, 2_870);
    assert!(limits.connections >= 600, "{limits:?}");
    let now = Instant::now();
    let mut budget = Budget::new(limits);
    receive(&mut budget, now, 4 * MIB);
    for _ in 0..300 {
        receive(&mut budget, now, ORDINARY_BODY);
    }
    assert!(budget.used() <= limits.budget);
}

/// Guards against a sum of budget and other memory beyond the host's.
#[rstest]
#[case(112)]
#[case(192)]
#[case(512)]
fn budget_leaves_room_for_the_rest_of_the_program(#[case] memory_mb: usize) {
    let limits = Limits::of_host(memory_mb * MIB, 8_192);
    assert!(limits.budget + 60 * MIB <= memory_mb * MIB, "{limits:?}");
    assert!(limits.connections * CONNECTION_BYTES <= limits.budget / 2);
}

/// Guards against connections that use up the descriptors.
#[test]
fn connections_and_those_to_upstreams_fit_into_the_descriptors() {
    let limits = Limits::of_host(4_096 * MIB, 2_870);
    assert!(
        2 * limits.connections + 2 * limits.other_connections + 200 <= 2_870,
        "{limits:?}"
    );
}

/// Guards against a silent crowd that keeps everyone else out.
#[test]
fn longest_quiet_connection_gives_way_to_a_new_one() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 2));
    let oldest = open(&mut budget, now);
    open(&mut budget, after(now, 1));
    let later = after(now, 2);
    let waits = Admission::Wait(Some(oldest));
    assert_eq!(budget.open(later, Listener::Callers), waits);
    assert_eq!(budget.open(later, Listener::Callers), Admission::Wait(None));
    budget.close(oldest);
    open(&mut budget, later);
    assert_eq!(budget.open_connections(), 2);
}

/// Guards against running requests that are given up for newcomers.
#[test]
fn running_requests_do_not_give_way() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 1));
    let running = open(&mut budget, now);
    budget.on_running(running);
    let later = after(now, 60_000);
    assert_eq!(budget.open(later, Listener::Callers), Admission::Refused);
}

/// Guards against callers that keep probes and operators out.
#[test]
fn other_listeners_have_places_of_their_own() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 1));
    let running = open(&mut budget, now);
    budget.on_running(running);
    let probe = budget.open(now, Listener::Readiness);
    assert!(matches!(probe, Admission::Admitted(_)), "{probe:?}");
}

/// Guards against large unfinished bodies that starve ordinary requests.
#[test]
fn small_bodies_are_admitted_beside_as_many_large_ones_as_fit() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 100));
    for _ in 0..3 {
        receive(&mut budget, now, 4 * MIB - 1);
    }
    let connection = open(&mut budget, now);
    let lease = budget.lease(Some(connection));
    let large = budget.reserve(now, lease, 4 * MIB);
    assert_eq!(large, Reservation::Wait(Vec::new()));
    for _ in 0..10 {
        receive(&mut budget, now, ORDINARY_BODY);
    }
}

/// Guards against a victim that still makes progress while an older one stands still.
#[test]
fn slowest_and_oldest_body_gives_way_first() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 100));
    let (moving, _) = receive(&mut budget, now, 4 * MIB);
    let (stalled, stalled_lease) = receive(&mut budget, now, 4 * MIB);
    receive(&mut budget, after(now, 500), 4 * MIB);
    for (millis, bytes) in [(500, MIB), (1_000, MIB), (1_900, MIB)] {
        budget.on_received(after(now, millis), moving, bytes);
    }
    let later = after(now, 2_000);
    let connection = open(&mut budget, later);
    let lease = budget.lease(Some(connection));
    let decided = budget.reserve(later, lease, 4 * MIB);
    assert_eq!(decided, Reservation::Wait(vec![stalled]));
    // Bytes are free only once they are released.
    let decided = budget.reserve(later, lease, 4 * MIB);
    assert_eq!(decided, Reservation::Wait(Vec::new()));
    budget.release(stalled_lease);
    budget.close(stalled);
    assert_eq!(budget.reserve(later, lease, 4 * MIB), Reservation::Granted);
}

/// Guards against responses that nobody reads and that hold the budget.
#[test]
fn connection_whose_peer_does_not_read_gives_way_to_a_response() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 100));
    let connection = open(&mut budget, now);
    budget.on_running(connection);
    let response = budget.lease(None);
    assert_eq!(
        budget.reserve(now, response, 10 * MIB),
        Reservation::Granted
    );
    budget.on_blocked(now, connection);
    let next = budget.lease(None);
    let soon = after(now, 100);
    assert_eq!(
        budget.reserve(soon, next, 10 * MIB),
        Reservation::Wait(Vec::new())
    );
    let later = after(now, 1_100);
    let decided = budget.reserve(later, next, 10 * MIB);
    assert_eq!(decided, Reservation::Wait(vec![connection]));
}

/// Guards against leases that stay when everything has ended.
#[test]
fn everything_returns_to_the_budget() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 100));
    let (connection, lease) = receive(&mut budget, now, 60 << 10);
    // The lease grows from a small to a large one.
    assert_eq!(budget.reserve(now, lease, 60 << 10), Reservation::Granted);
    budget.close(connection);
    assert_eq!(budget.used(), 120 << 10);
    budget.release(lease);
    budget.release(lease);
    assert_eq!((budget.used(), budget.open_connections()), (0, 0));
}

/// Guards against a wait for bytes that will never be free.
#[test]
fn body_beyond_the_budget_is_refused_at_once() {
    let now = Instant::now();
    let mut budget = Budget::new(limits(16 * MIB, 100));
    let lease = budget.lease(None);
    assert_eq!(budget.reserve(now, lease, 13 * MIB), Reservation::TooLarge);
}

/// Guards against a body on a slow link that is taken for a stalled one.
#[rstest]
#[case::standing_still(0, 0, true)]
#[case::one_byte_a_second(1_000, 1, true)]
#[case::slow_link(1_000, 4_096, false)]
#[case::seldom(4_000, 16_384, false)]
fn body_stalls_only_without_progress(
    #[case] every_ms: u64,
    #[case] bytes: usize,
    #[case] stalls: bool,
) {
    let start = Instant::now();
    let limits = limits(16 * MIB, 100);
    let mut progress = BodyProgress::new(start);
    let mut stalled = false;
    for millis in (0..14_000).step_by(500) {
        if every_ms > 0 && millis % every_ms == 0 {
            progress.on_bytes(after(start, millis), bytes);
        }
        stalled |= progress.is_stalled(after(start, millis), &limits);
    }
    assert_eq!(stalled, stalls);
}
