//! Tests of freshness, acceptance and witness selection.

use crate::FreshnessTracker;
use crate::MergeOutcome;
use crate::tracker::FreshnessSummary;
use crate::tracker::WitnessId;
use crate::tracker::witness_id;
use crate::witness_selection;
use crate::witness_selection::WitnessCandidate;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use std::time::Instant;

const LIMIT: Duration = Duration::from_secs(3);

fn witnesses(count: usize) -> Vec<WitnessId> {
    (0..count)
        .map(|n| witness_id(&format!("n{n}"), 1))
        .collect()
}

/// Creates the tracker of a node that is a witness only if `witnesses` lists its id.
fn tracker(local_witness: &str, witnesses: &[WitnessId]) -> FreshnessTracker {
    let mut tracker = FreshnessTracker::new(local_witness.into(), LIMIT);
    tracker.set_witnesses(1, witnesses, &[]);
    tracker
}

fn summary_at_revision(revision: u64) -> FreshnessSummary {
    FreshnessSummary {
        revision,
        witness_set_revision: 1,
        ..FreshnessSummary::default()
    }
}

#[test]
fn node_is_stale_once_its_last_confirmation_reaches_the_limit() {
    let start = Instant::now();
    let mut node = tracker("non-witness", &witnesses(3));
    assert!(!node.is_fresh(start));
    node.record_service_read(start, 1, 1);
    assert!(node.is_fresh(start + LIMIT - Duration::from_millis(1)));
    assert!(!node.is_fresh(start + LIMIT));
}

#[test]
fn service_read_with_a_newer_head_does_not_confirm_freshness() {
    let start = Instant::now();
    let mut node = tracker("non-witness", &witnesses(3));
    node.record_service_read(start, 2, 1);
    assert!(!node.is_fresh(start));
}

#[test]
fn half_of_the_witnesses_do_not_confirm_freshness() {
    let start = Instant::now();
    let ids = witnesses(4);
    let mut node = tracker("non-witness", &ids);
    node.merge_summary(start, &ids[0], &summary_at_revision(1), 1);
    node.merge_summary(start, &ids[1], &summary_at_revision(1), 1);
    assert!(!node.is_fresh(start));
    node.merge_summary(start, &ids[2], &summary_at_revision(1), 1);
    assert!(node.is_fresh(start));
}

#[test]
fn summary_of_a_peer_that_is_ahead_does_not_confirm_freshness() {
    let start = Instant::now();
    let ids = witnesses(1);
    let mut node = tracker("non-witness", &ids);
    assert_eq!(
        node.merge_summary(start, &ids[0], &summary_at_revision(2), 1),
        MergeOutcome::PeerAhead
    );
    assert!(!node.is_fresh(start));
}

#[test]
fn relayed_age_includes_the_time_spent_at_the_relay() {
    let start = Instant::now();
    let ids = witnesses(1);
    let mut relay = tracker("relay", &ids);
    let mut non_witness = tracker("non-witness", &ids);
    relay.merge_summary(start, &ids[0], &summary_at_revision(1), 1);
    let sent_at = start + Duration::from_secs(1);
    let relayed = relay.summary(sent_at + Duration::from_secs(1), 1);
    non_witness.merge_summary(sent_at, "relay", &relayed, 1);
    // The relay heard the witness at `start` and reports an age of 2 s. The non-witness counts
    // that age back from `sent_at`, so it is fresh until 2 s after `start`.
    assert!(non_witness.is_fresh(start + Duration::from_millis(1_999)));
    assert!(!non_witness.is_fresh(start + Duration::from_secs(2)));
}

#[test]
fn restarted_witness_does_not_count_as_the_former_witness() {
    let start = Instant::now();
    let ids = witnesses(1);
    let mut node = tracker("non-witness", &ids);
    node.merge_summary(start, &witness_id("n0", 2), &summary_at_revision(1), 1);
    assert!(!node.is_fresh(start));
}

#[test]
fn joining_node_does_not_replace_a_live_witness() {
    let live: Vec<WitnessCandidate> = (0..9)
        .map(|n| WitnessCandidate {
            witness_id: witness_id(&format!("n{n}"), 1),
            failure_domain: if n % 2 == 0 { "tanta" } else { "banha" }.into(),
        })
        .collect();
    let current = witness_selection::select(&[], &live[..6]);
    assert_eq!(current.len(), 6);
    assert_eq!(witness_selection::select(&current, &live), current);
    let without_first: Vec<WitnessCandidate> = live[1..].to_vec();
    let after_loss = witness_selection::select(&current, &without_first);
    assert_eq!(
        after_loss.iter().filter(|id| current.contains(id)).count(),
        5
    );
}

/// Reads the number of cases and the seed from the environment, for longer runs.
fn proptest_config() -> ProptestConfig {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: env_number("DOGWOODSHUNT_CASES").map_or(1_000, |cases: u64| cases as u32),
        rng_seed: RngSeed::Fixed(env_number("DOGWOODSHUNT_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn witness_that_restarted_does_not_block_acceptance() {
    let ids = witnesses(3);
    let mut node = tracker("non-witness", &ids);
    node.merge_summary(Instant::now(), &ids[0], &summary_at_revision(2), 2);
    assert!(!node.is_accepted(2, 2));
    node.record_boot("n1", 2);
    assert!(node.is_accepted(2, 2));
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    Heartbeat { from: usize, to: usize },
    AppendLogEntry,
    ReadService(usize),
    CompleteReplacement,
    ReplaceWitnesses(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1_u64..2_000).prop_map(Step::AdvanceClock),
        8 => (0..NODE_COUNT, 0..NODE_COUNT).prop_map(|(from, to)| Step::Heartbeat { from, to }),
        2 => Just(Step::AppendLogEntry),
        2 => (0..NODE_COUNT).prop_map(Step::ReadService),
        1 => Just(Step::CompleteReplacement),
        1 => (0..NODE_COUNT).prop_map(Step::ReplaceWitnesses),
    ];
    proptest::collection::vec(step, 1..160)
}

const NODE_COUNT: usize = 7;

/// Log of which only the witnesses as of each revision are modelled.
///
/// Element `n` holds, for revision `n + 1`: the revision that set the witnesses, the
/// witnesses and the outgoing witnesses.
#[derive(Clone, Default)]
struct Log {
    witness_sets: Vec<(u64, Vec<WitnessId>, Vec<WitnessId>)>,
}

impl Log {
    fn head_revision(&self) -> u64 {
        self.witness_sets.len() as u64
    }

    fn append(&mut self, change: Option<(Vec<WitnessId>, Vec<WitnessId>)>) {
        let revision = self.head_revision() + 1;
        let next = match (change, self.witness_sets.last()) {
            (Some((witnesses, outgoing)), Some((_, previous, _))) if *previous != witnesses => {
                (revision, witnesses, outgoing)
            }
            (Some((witnesses, outgoing)), None) => (revision, witnesses, outgoing),
            (Some((witnesses, outgoing)), Some((set_revision, _, _))) => {
                (*set_revision, witnesses, outgoing)
            }
            (None, previous) => previous.cloned().unwrap_or_default(),
        };
        self.witness_sets.push(next);
    }

    fn apply_to(&self, node: &mut FreshnessTracker, revision: u64) {
        let (set_revision, witnesses, outgoing) = &self.witness_sets[revision as usize - 1];
        node.set_witnesses(*set_revision, witnesses, outgoing);
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// A node that is fresh `LIMIT` after a log entry was accepted holds the entry,
    /// whichever heartbeats are lost and however the witnesses change.
    #[test]
    fn accepted_entry_is_held_by_every_fresh_node_within_the_limit(steps in steps()) {
        let mut now = Instant::now() + Duration::from_secs(3_600);
        let ids = witnesses(NODE_COUNT);
        let mut log = Log::default();
        log.append(Some((ids[..5].to_vec(), Vec::new())));
        let mut nodes: Vec<FreshnessTracker> =
            ids.iter().map(|id| tracker(id, &ids[..5])).collect();
        let mut revisions = [1_u64; NODE_COUNT];
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        for step in steps {
            match step {
                Step::AdvanceClock(ms) => now += Duration::from_millis(ms),
                Step::AppendLogEntry => log.append(None),
                Step::CompleteReplacement | Step::ReplaceWitnesses(_) => {
                    let (set_revision, current, outgoing) =
                        log.witness_sets[log.witness_sets.len() - 1].clone();
                    let set_accepted =
                        accepted.iter().any(|(revision, _)| *revision >= set_revision) || set_revision == 1;
                    match step {
                        Step::CompleteReplacement if set_accepted => log.append(Some((current, Vec::new()))),
                        Step::ReplaceWitnesses(first) if set_accepted && outgoing.is_empty() => {
                            let next = (0..5).map(|n| ids[(first + n) % NODE_COUNT].clone()).collect();
                            log.append(Some((next, current)));
                        }
                        _ => {}
                    }
                }
                Step::ReadService(n) => {
                    revisions[n] = log.head_revision();
                    log.apply_to(&mut nodes[n], revisions[n]);
                    nodes[n].record_service_read(now, log.head_revision(), revisions[n]);
                }
                Step::Heartbeat { from, to } => {
                    let summary = nodes[from].summary(now, revisions[from]);
                    if nodes[to].merge_summary(now, &ids[from], &summary, revisions[to]) == MergeOutcome::PeerAhead {
                        revisions[to] = revisions[from];
                        log.apply_to(&mut nodes[to], revisions[to]);
                        nodes[to].merge_summary(now, &ids[from], &summary, revisions[to]);
                    }
                }
            }
            for (node, local_revision) in nodes.iter().zip(&revisions) {
                for revision in 2..=*local_revision {
                    let already_accepted =
                        accepted.iter().any(|(known, _)| *known == revision);
                    if !already_accepted && node.is_accepted(revision, *local_revision) {
                        accepted.push((revision, now));
                    }
                }
            }
            for (revision, at) in &accepted {
                for (node, local_revision) in nodes.iter().zip(&revisions) {
                    let limit_passed = now >= *at + LIMIT;
                    prop_assert!(!limit_passed || !node.is_fresh(now) || local_revision >= revision);
                }
            }
        }
    }
}
