//! Tests of freshness and confirmation.

use crate::Freshness;
use crate::Merge;
use crate::electorate;
use crate::electorate::Candidate;
use crate::freshness::Summary;
use crate::freshness::WitnessId;
use crate::freshness::witness_id;
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

fn node(me: &str, electorate: &[WitnessId]) -> Freshness {
    let mut node = Freshness::new(me.into(), LIMIT);
    node.set_witnesses(1, electorate, &[]);
    node
}

fn says(revision: u64) -> Summary {
    Summary {
        revision,
        electorate: 1,
        ..Summary::default()
    }
}

#[test]
fn node_is_stale_once_what_it_heard_is_too_old() {
    let start = Instant::now();
    let mut node = node("outsider", &witnesses(3));
    assert!(!node.is_fresh(start));
    node.on_service(start, 1, 1);
    assert!(node.is_fresh(start + LIMIT - Duration::from_millis(1)));
    assert!(!node.is_fresh(start + LIMIT));
}

#[test]
fn read_that_found_a_newer_head_proves_nothing() {
    let start = Instant::now();
    let mut node = node("outsider", &witnesses(3));
    node.on_service(start, 2, 1);
    assert!(!node.is_fresh(start));
}

#[test]
fn half_of_the_witnesses_is_not_enough() {
    let start = Instant::now();
    let electorate = witnesses(4);
    let mut node = node("outsider", &electorate);
    node.on_peer(start, &electorate[0], &says(1), 1);
    node.on_peer(start, &electorate[1], &says(1), 1);
    assert!(!node.is_fresh(start));
    node.on_peer(start, &electorate[2], &says(1), 1);
    assert!(node.is_fresh(start));
}

#[test]
fn peer_that_is_ahead_must_be_pulled_from_first() {
    let start = Instant::now();
    let electorate = witnesses(1);
    let mut node = node("outsider", &electorate);
    assert_eq!(
        node.on_peer(start, &electorate[0], &says(2), 1),
        Merge::Behind
    );
    assert!(!node.is_fresh(start));
}

#[test]
fn ages_add_up_over_relays() {
    let start = Instant::now();
    let electorate = witnesses(1);
    let mut relay = node("relay", &electorate);
    let mut outsider = node("outsider", &electorate);
    relay.on_peer(start, &electorate[0], &says(1), 1);
    let asked = start + Duration::from_secs(1);
    let told = relay.summary(asked + Duration::from_secs(1), 1);
    outsider.on_peer(asked, "relay", &told, 1);
    // Heard at `start`, told 2 s later, counted from when it was asked for.
    assert!(outsider.is_fresh(start + Duration::from_millis(1_999)));
    assert!(!outsider.is_fresh(start + Duration::from_secs(2)));
}

#[test]
fn restarted_witness_counts_as_another() {
    let start = Instant::now();
    let electorate = witnesses(1);
    let mut node = node("outsider", &electorate);
    node.on_peer(start, &witness_id("n0", 2), &says(1), 1);
    assert!(!node.is_fresh(start));
}

#[test]
fn joining_node_does_not_unseat_a_live_witness() {
    let live: Vec<Candidate> = (0..9)
        .map(|n| Candidate {
            witness: witness_id(&format!("n{n}"), 1),
            domain: if n % 2 == 0 { "tanta" } else { "banha" }.into(),
        })
        .collect();
    let current = electorate::desired(&[], &live[..6]);
    assert_eq!(current.len(), 6);
    assert_eq!(electorate::desired(&current, &live), current);
    let without_first: Vec<Candidate> = live[1..].to_vec();
    let replaced = electorate::desired(&current, &without_first);
    assert_eq!(replaced.iter().filter(|w| current.contains(w)).count(), 5);
}

/// Cases and seed may be set from outside for long runs.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: number("DOGWOODSHUNT_CASES").map_or(1_000, |cases: u64| cases as u32),
        rng_seed: RngSeed::Fixed(number("DOGWOODSHUNT_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn dead_witnesses_do_not_hold_up_acceptance() {
    let electorate = witnesses(3);
    let mut node = node("outsider", &electorate);
    node.on_peer(Instant::now(), &electorate[0], &says(2), 2);
    assert!(!node.is_confirmed(2, 2));
    node.on_boot("n1", 2);
    assert!(node.is_confirmed(2, 2));
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Beat { from: usize, to: usize },
    Note,
    ServiceRead(usize),
    Settle,
    Witnesses(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1_u64..2_000).prop_map(Step::Advance),
        8 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::Beat { from, to }),
        2 => Just(Step::Note),
        2 => (0..NODES).prop_map(Step::ServiceRead),
        1 => Just(Step::Settle),
        1 => (0..NODES).prop_map(Step::Witnesses),
    ];
    proptest::collection::vec(step, 1..160)
}

const NODES: usize = 7;

/// Witnesses and outgoing ones as of each revision, from 1.
#[derive(Clone, Default)]
struct Log {
    electorates: Vec<(u64, Vec<WitnessId>, Vec<WitnessId>)>,
}

impl Log {
    fn head(&self) -> u64 {
        self.electorates.len() as u64
    }

    fn append(&mut self, change: Option<(Vec<WitnessId>, Vec<WitnessId>)>) {
        let revision = self.head() + 1;
        let next = match (change, self.electorates.last()) {
            (Some((witnesses, outgoing)), Some((_, before, _))) if *before != witnesses => {
                (revision, witnesses, outgoing)
            }
            (Some((witnesses, outgoing)), None) => (revision, witnesses, outgoing),
            (Some((witnesses, outgoing)), Some((since, _, _))) => (*since, witnesses, outgoing),
            (None, before) => before.cloned().unwrap_or_default(),
        };
        self.electorates.push(next);
    }

    fn bring(&self, node: &mut Freshness, held: u64) {
        let (since, witnesses, outgoing) = &self.electorates[held as usize - 1];
        node.set_witnesses(*since, witnesses, outgoing);
    }
}

proptest! {
    #![proptest_config(config())]

    /// Any node that is fresh `LIMIT` after an acceptance holds the entry,
    /// whichever beats are lost and however the witnesses change.
    #[test]
    fn accepted_entry_is_in_force_at_every_fresh_node_within_the_limit(steps in steps()) {
        let mut now = Instant::now() + Duration::from_secs(3_600);
        let names = witnesses(NODES);
        let mut log = Log::default();
        log.append(Some((names[..5].to_vec(), Vec::new())));
        let mut nodes: Vec<Freshness> = names.iter().map(|n| node(n, &names[..5])).collect();
        let mut held = [1_u64; NODES];
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        for step in steps {
            match step {
                Step::Advance(ms) => now += Duration::from_millis(ms),
                Step::Note => log.append(None),
                Step::Settle | Step::Witnesses(_) => {
                    let (since, current, outgoing) = log.electorates[log.electorates.len() - 1].clone();
                    let known = accepted.iter().any(|(revision, _)| *revision >= since) || since == 1;
                    match step {
                        Step::Settle if known => log.append(Some((current, Vec::new()))),
                        Step::Witnesses(first) if known && outgoing.is_empty() => {
                            let next = (0..5).map(|n| names[(first + n) % NODES].clone()).collect();
                            log.append(Some((next, current)));
                        }
                        _ => {}
                    }
                }
                Step::ServiceRead(n) => {
                    held[n] = log.head();
                    log.bring(&mut nodes[n], held[n]);
                    nodes[n].on_service(now, log.head(), held[n]);
                }
                Step::Beat { from, to } => {
                    let told = nodes[from].summary(now, held[from]);
                    if nodes[to].on_peer(now, &names[from], &told, held[to]) == Merge::Behind {
                        held[to] = held[from];
                        log.bring(&mut nodes[to], held[to]);
                        nodes[to].on_peer(now, &names[from], &told, held[to]);
                    }
                }
            }
            for (node, held) in nodes.iter().zip(&held) {
                for revision in 2..=*held {
                    let known = accepted.iter().any(|(known, _)| *known == revision);
                    if !known && node.is_confirmed(revision, *held) {
                        accepted.push((revision, now));
                    }
                }
            }
            for (revision, at) in &accepted {
                for (node, held) in nodes.iter().zip(&held) {
                    let late = now >= *at + LIMIT;
                    prop_assert!(!late || !node.is_fresh(now) || held >= revision);
                }
            }
        }
    }
}
