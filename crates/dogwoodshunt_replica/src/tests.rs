//! Tests of replicas that exchange heartbeats and log entries.

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

fn log_entry(revision: Revision) -> LogEntry {
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

fn connected_pair() -> (Replica, Replica) {
    let mut a = Replica::new(identity("a"), LIMIT);
    let mut b = Replica::new(identity("b"), LIMIT);
    a.add_peer(identity("b"));
    b.add_peer(identity("a"));
    (a, b)
}

/// Sends one heartbeat from `from` to `to`; if `to` is behind, `to` pulls the difference.
fn send_heartbeat(now: Instant, from: &mut Replica, to: &mut Replica) {
    let (from_key, to_key) = (only_peer(from), only_peer(to));
    let heartbeat = from.next_heartbeat(now, from_key).unwrap();
    let Some(Frame::Pull { after }) = to.on_heartbeat(now, to_key, &heartbeat) else {
        return;
    };
    for frame in from.on_pull(after) {
        match frame {
            Frame::Entries { entries } => to.on_entries(Some(to_key), &entries),
            Frame::Snapshot { shard } => to.on_snapshot_shard(to_key, *shard),
            other => panic!("unexpected response to a pull: {other:?}"),
        };
    }
}

fn only_peer(replica: &Replica) -> crate::PeerKey {
    replica.peers().next().unwrap().0
}

#[test]
fn node_that_is_behind_is_not_fresh_until_it_has_pulled() {
    let now = Instant::now();
    let (mut a, mut b) = connected_pair();
    a.on_entries(None, &[log_entry(1), log_entry(2)]);
    a.on_service_read(now, 2);
    send_heartbeat(now, &mut b, &mut a);
    send_heartbeat(now, &mut a, &mut b);
    assert_eq!(b.catalogue().revision(), 2);
    assert!(!b.is_fresh(now));
    send_heartbeat(now, &mut a, &mut b);
    assert!(b.is_fresh(now));
}

#[test]
fn node_that_lacks_entries_no_longer_in_memory_receives_a_snapshot() {
    let now = Instant::now();
    let (mut a, mut b) = connected_pair();
    let entries: Vec<LogEntry> = (1..=3_000).map(log_entry).collect();
    a.on_entries(None, &entries);
    send_heartbeat(now, &mut a, &mut b);
    assert_eq!(b.catalogue().revision(), 3_000);
    assert!(b.catalogue().has_planned_stop("host"));
}

#[test]
fn entries_after_a_gap_are_ignored() {
    let (mut a, _) = connected_pair();
    assert!(!a.on_entries(None, &[log_entry(2)]));
    assert!(a.on_entries(None, &[log_entry(1), log_entry(3)]));
    assert_eq!(a.catalogue().revision(), 1);
}

/// A process that was suspended finds heartbeats in its socket buffer that are older than
/// the freshness limit; they must not make the node fresh.
#[test]
fn node_resumed_after_the_limit_stays_stale_despite_buffered_heartbeats() {
    let start = Instant::now();
    let (mut a, mut b) = connected_pair();
    a.on_service_read(start, 0);
    send_heartbeat(start, &mut b, &mut a);
    let (a_to_b, b_to_a) = (only_peer(&a), only_peer(&b));
    let buffered = a.next_heartbeat(start, a_to_b).unwrap();
    let resumed_at = start + Duration::from_secs(10);
    b.on_heartbeat(resumed_at, b_to_a, &buffered);
    assert!(!b.is_fresh(resumed_at));
}

#[test]
fn entry_is_in_force_once_every_live_node_holds_it() {
    let now = Instant::now();
    let (mut a, mut b) = connected_pair();
    send_heartbeat(now, &mut b, &mut a);
    a.on_entries(None, &[log_entry(1)]);
    let status = a.replication_status(now, 1);
    assert!(!status.in_force);
    assert_eq!(status.lagging_nodes, ["b".into()]);
    send_heartbeat(now, &mut a, &mut b);
    send_heartbeat(now, &mut b, &mut a);
    assert!(a.replication_status(now, 1).in_force);
    let later = now + LIMIT;
    assert_eq!(a.replication_status(later, 1).live_nodes, 1);
}
