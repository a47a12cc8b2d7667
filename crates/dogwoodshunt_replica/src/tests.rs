//! Tests of replicas that exchange heartbeats.

use crate::Replica;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use std::time::Duration;
use std::time::Instant;

const LIMIT: Duration = Duration::from_secs(3);

fn identity(node: &str) -> Identity {
    Identity {
        node: node.into(),
        boot: 1,
        domain: node.into(),
    }
}

fn entry(revision: Revision) -> LogEntry {
    LogEntry {
        revision,
        id: format!("stop-{revision}").into(),
        author: "nadia".into(),
        written_at: 0,
        change: Change::PlanStop {
            target: "host".into(),
        },
    }
}

fn pair() -> (Replica, Replica) {
    let mut a = Replica::new(identity("a"), LIMIT);
    let mut b = Replica::new(identity("b"), LIMIT);
    a.add_peer(identity("b"));
    b.add_peer(identity("a"));
    (a, b)
}

/// Sends one heartbeat from `from` to `to` and whatever follows from it.
fn beat(now: Instant, from: &mut Replica, to: &mut Replica) {
    let (from_key, to_key) = (only(from), only(to));
    let beat = from.beat(now, from_key).unwrap();
    let Some(Frame::Pull { after }) = to.on_beat(now, to_key, &beat) else {
        return;
    };
    for frame in from.on_pull(after) {
        match frame {
            Frame::Entries { entries } => to.on_entries(Some(to_key), &entries),
            Frame::Snapshot { shard } => to.on_shard(to_key, *shard),
            other => panic!("unexpected {other:?}"),
        };
    }
}

fn only(replica: &Replica) -> crate::PeerKey {
    replica.peers().next().unwrap().0
}

#[test]
fn node_that_is_behind_pulls_before_it_trusts() {
    let now = Instant::now();
    let (mut a, mut b) = pair();
    a.on_entries(None, &[entry(1), entry(2)]);
    a.on_service(now, 2);
    beat(now, &mut b, &mut a);
    beat(now, &mut a, &mut b);
    assert_eq!(b.catalogue().revision(), 2);
    assert!(!b.is_fresh(now));
    beat(now, &mut a, &mut b);
    assert!(b.is_fresh(now));
}

#[test]
fn node_far_behind_gets_a_snapshot() {
    let now = Instant::now();
    let (mut a, mut b) = pair();
    let entries: Vec<LogEntry> = (1..=3_000).map(entry).collect();
    a.on_entries(None, &entries);
    beat(now, &mut a, &mut b);
    assert_eq!(b.catalogue().revision(), 3_000);
    assert!(b.catalogue().is_stopped("host"));
}

#[test]
fn entries_with_a_gap_are_passed_over() {
    let (mut a, _) = pair();
    assert!(!a.on_entries(None, &[entry(2)]));
    assert!(a.on_entries(None, &[entry(1), entry(3)]));
    assert_eq!(a.catalogue().revision(), 1);
}

#[test]
fn frozen_node_is_stale_when_it_wakes_whatever_waits_for_it() {
    let start = Instant::now();
    let (mut a, mut b) = pair();
    a.on_service(start, 0);
    beat(start, &mut b, &mut a);
    let (from, to) = (only(&a), only(&b));
    let waiting = a.beat(start, from).unwrap();
    let woken = start + Duration::from_secs(10);
    b.on_beat(woken, to, &waiting);
    assert!(!b.is_fresh(woken));
}

#[test]
fn note_is_in_force_once_every_live_node_holds_it() {
    let now = Instant::now();
    let (mut a, mut b) = pair();
    beat(now, &mut b, &mut a);
    a.on_entries(None, &[entry(1)]);
    let standing = a.standing(now, 1);
    assert!(!standing.in_force);
    assert_eq!(standing.missing, ["b".into()]);
    beat(now, &mut a, &mut b);
    beat(now, &mut b, &mut a);
    assert!(a.standing(now, 1).in_force);
    let later = now + LIMIT;
    assert_eq!(a.standing(later, 1).live, 1);
}
