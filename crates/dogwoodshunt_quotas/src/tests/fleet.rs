//! The bound on the cost of a workspace, and refusals within its quota, over many entries and
//! under failures.

use super::limits;
use super::simulation::Fleet;
use super::simulation::bound;
use super::simulation::highest_in_window;
use crate::messages::QuotaLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Agents of a fleet; more change nothing, since a workspace uses one at a time.
const AGENTS: usize = 5;

/// Mean cost of a request.
const MEAN_COST: u64 = 5_500;

/// Where a burst arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Burst {
    AtOneEntry,
    AtAllEntries,
    /// At another entry each second.
    Moving,
}

fn large() -> QuotaLimits {
    limits(378_850, 378_850, 1)
}

fn small() -> QuotaLimits {
    limits(29_000, 29_000, 1)
}

/// Demand on a fleet: the usual load at all entries unevenly, and a burst.
struct Load {
    /// Tokens per second.
    usual: f64,
    burst: Burst,
    /// Multiple of the usual load during a burst.
    factor: f64,
    /// Beginning and end of the burst.
    from_ms: u64,
    to_ms: u64,
    /// Tokens that arrive next.
    due: f64,
}

impl Load {
    /// Sends the requests of one step. Entries have unequal demand: entry `n` has a weight of
    /// `1 / (n + 1)`.
    fn send(&mut self, fleet: &mut Fleet, entries: usize) -> u64 {
        let is_burst = (self.from_ms..self.to_ms).contains(&fleet.now_ms);
        let mut sent = 0;
        self.due += self.usual / 1e3 * if is_burst { self.factor } else { 1.0 };
        let usual_part = if is_burst { 1.0 / self.factor } else { 1.0 };
        while self.due > 0.0 {
            let cost = 1_000 + fleet.random(9_001) as u64;
            self.due -= cost as f64;
            let is_usual = (fleet.random(1_000) as f64) < usual_part * 1e3;
            let entry = match (is_usual, self.burst) {
                (true, _) | (false, Burst::AtAllEntries) => weighted(fleet, entries),
                (false, Burst::AtOneEntry) => entries - 1,
                (false, Burst::Moving) => (fleet.now_ms / 1_000) as usize * 7 % entries,
            };
            fleet.request(entry, cost);
            sent += cost;
        }
        sent
    }
}

fn weighted(fleet: &mut Fleet, entries: usize) -> usize {
    let weights: Vec<usize> = (0..entries).map(|entry| 10_000 / (entry + 1)).collect();
    let mut rest = fleet.random(weights.iter().sum());
    for (entry, weight) in weights.iter().enumerate() {
        if rest < *weight {
            return entry;
        }
        rest -= weight;
    }
    0
}

/// What one bucket in one place would have let through of the same offered load, in time steps of
/// 1 ms.
struct IdealBucket {
    limits: QuotaLimits,
    tokens: f64,
    paid: f64,
}

impl IdealBucket {
    fn step(&mut self, offered: u64) {
        let refill = self.limits.rate as f64 / 1e3;
        self.tokens = (self.tokens + refill).min(self.limits.burst as f64);
        let paid = (offered as f64).min(self.tokens.max(0.0));
        self.tokens -= paid;
        self.paid += paid;
    }
}

/// Figures of one run.
#[derive(Debug)]
struct Figures {
    /// Highest cost within a window, as a part of the bound.
    highest: f64,
    /// Part of the cost that one bucket in one place would have paid, but that was refused.
    falsely_refused: f64,
    /// Part of the requests before the burst that was refused.
    refused_before: f64,
    /// Part of the refusals that were no 429.
    unknown: f64,
}

fn run(entries: usize, limits: QuotaLimits, burst: Burst, factor: f64, seed: u64) -> Figures {
    let mut fleet = Fleet::new(entries, AGENTS, limits, seed);
    let usual = limits.rate as f64 / 1.8;
    let mut load = Load {
        usual,
        burst,
        factor,
        from_ms: 12_000,
        to_ms: 18_000,
        due: 0.0,
    };
    for _ in 0..4_000 {
        fleet.step();
    }
    let mut ideal = IdealBucket {
        limits,
        tokens: limits.burst as f64,
        paid: 0.0,
    };
    let mut offered_before = 0;
    while fleet.now_ms < 26_000 {
        let offered = load.send(&mut fleet, entries);
        ideal.step(offered);
        if fleet.now_ms < load.from_ms {
            offered_before += offered;
        }
        fleet.step();
    }
    let paid: u64 = fleet.runs.iter().map(|run| run.cost).sum();
    let before = fleet.refused.iter().filter(|r| r.at_ms < load.from_ms);
    let before: u64 = before.map(|refused| refused.cost).sum();
    let unknown = fleet.refused.iter().filter(|r| !r.is_over_quota).count();
    Figures {
        highest: highest_in_window(&fleet.runs) as f64 / bound(limits) as f64,
        falsely_refused: (ideal.paid - paid as f64).max(0.0) / ideal.paid,
        refused_before: before as f64 / offered_before as f64,
        unknown: unknown as f64 / fleet.refused.len().max(1) as f64,
    }
}

/// A burst would exceed the bound, or be refused although the quota has room.
#[rstest]
fn burst_stays_within_the_bound_and_uses_the_quota(
    #[values(4, 12, 42)] entries: usize,
    #[values(Burst::AtOneEntry, Burst::AtAllEntries, Burst::Moving)] burst: Burst,
    #[values(4.0, 8.0)] factor: f64,
    #[values(large(), small())] limits: QuotaLimits,
) {
    let figures = run(entries, limits, burst, factor, 7);
    println!(
        "{entries} entries, rate {}, {burst:?} x {factor}: highest {:.3} of the bound, {:.4} falsely refused, {:.5} refused before, {:.4} unknown",
        limits.rate,
        figures.highest,
        figures.falsely_refused,
        figures.refused_before,
        figures.unknown
    );
    assert!(figures.highest <= 1.0, "{figures:?}");
    assert!(figures.falsely_refused <= 0.05, "{figures:?}");
    assert!(figures.refused_before <= 0.002, "{figures:?}");
    assert!(figures.unknown == 0.0, "{figures:?}");
}

/// A lowered limit would take effect only when each entry has read it.
#[test]
fn lowered_limit_holds_from_one_window_on_once_one_entry_has_read_it() {
    let mut fleet = Fleet::new(12, AGENTS, large(), 3);
    let mut load = Load {
        usual: 378_850.0 / 1.8,
        burst: Burst::AtAllEntries,
        factor: 4.0,
        from_ms: 0,
        to_ms: u64::MAX,
        due: 0.0,
    };
    let lowered = limits(50_000, 50_000, 2);
    while fleet.now_ms < 30_000 {
        if fleet.now_ms == 10_000 {
            fleet.set_limits(3, lowered);
        }
        if fleet.now_ms == 12_000 {
            (0..12).for_each(|entry| fleet.set_limits(entry, lowered));
        }
        load.send(&mut fleet, 12);
        fleet.step();
    }
    let runs = std::mem::take(&mut fleet.runs);
    let after = runs.into_iter().filter(|run| run.at_ms >= 10_000 + 50);
    let highest = highest_in_window(&after.collect::<Vec<_>>());
    assert!(highest <= bound(lowered), "{highest}");
}

/// A failure that befalls the fleet.
#[derive(Clone, Debug)]
enum Failure {
    /// The connections between the entries and the agents of two sides are cut.
    Partition {
        entries: u64,
        agents: u64,
        millis: u64,
    },
    BreakLink {
        entry: usize,
        agent: usize,
    },
    BreakLedgerLink {
        entry: usize,
    },
    RestartEntry {
        entry: usize,
    },
    RestartAgent {
        agent: usize,
    },
    RestartLedger,
    FreezeEntry {
        entry: usize,
        millis: u64,
    },
    FreezeAgent {
        agent: usize,
        millis: u64,
    },
    FreezeLedger {
        millis: u64,
    },
    /// Requests of an entry do not run.
    Refund {
        entry: usize,
    },
}

fn failure() -> impl Strategy<Value = Failure> {
    let entry = 0_usize..12;
    let agent = 0..AGENTS;
    prop_oneof![
        (any::<u64>(), any::<u64>(), 200_u64..9_000).prop_map(|(entries, agents, millis)| {
            Failure::Partition {
                entries,
                agents,
                millis,
            }
        }),
        (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| Failure::BreakLink { entry, agent }),
        entry
            .clone()
            .prop_map(|entry| Failure::BreakLedgerLink { entry }),
        entry
            .clone()
            .prop_map(|entry| Failure::RestartEntry { entry }),
        agent
            .clone()
            .prop_map(|agent| Failure::RestartAgent { agent }),
        Just(Failure::RestartLedger),
        (entry.clone(), 100_u64..6_000)
            .prop_map(|(entry, millis)| Failure::FreezeEntry { entry, millis }),
        (agent, 100_u64..6_000).prop_map(|(agent, millis)| Failure::FreezeAgent { agent, millis }),
        (100_u64..6_000).prop_map(|millis| Failure::FreezeLedger { millis }),
        entry.prop_map(|entry| Failure::Refund { entry }),
    ]
}

fn apply(fleet: &mut Fleet, failure: &Failure, ends: &mut Vec<u64>) {
    let ledger = fleet.ledger(0).unwrap_or(0);
    match *failure {
        Failure::Partition {
            entries,
            agents,
            millis,
        } => {
            for entry in 0..12 {
                for agent in 0..AGENTS {
                    let differs = (entries >> entry) & 1 != (agents >> agent) & 1;
                    fleet.set_cut(entry, agent, differs);
                }
            }
            ends.push(fleet.now_ms + millis);
        }
        Failure::BreakLink { entry, agent } => fleet.break_link(entry, agent),
        Failure::BreakLedgerLink { entry } => fleet.break_link(entry, ledger),
        Failure::RestartEntry { entry } => fleet.restart_entry(entry),
        Failure::RestartAgent { agent } => fleet.restart_agent(agent),
        Failure::RestartLedger => fleet.restart_agent(ledger),
        Failure::FreezeEntry { entry, millis } => fleet.freeze_entry(entry, millis),
        Failure::FreezeAgent { agent, millis } => fleet.freeze_agent(agent, millis),
        Failure::FreezeLedger { millis } => fleet.freeze_agent(ledger, millis),
        Failure::Refund { entry } => {
            // The last run of the entry has been refused without having run.
            if let Some(run) = fleet.runs.pop() {
                fleet.refund(entry, run.cost);
            }
        }
    }
}

fn cases() -> u32 {
    let cases = std::env::var("DOGWOODSHUNT_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Failures would let a workspace exceed its bound.
    #[test]
    fn no_window_exceeds_the_bound_under_failures(
        failures in proptest::collection::vec((0_u64..20_000, failure()), 1..24),
        burst in prop_oneof![
            Just(Burst::AtOneEntry), Just(Burst::AtAllEntries), Just(Burst::Moving)],
        is_small in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let limits = if is_small { small() } else { large() };
        let mut fleet = Fleet::new(12, AGENTS, limits, seed);
        let mut load = Load {
            usual: limits.rate as f64 / 1.8,
            burst,
            factor: 6.0,
            from_ms: 0,
            to_ms: u64::MAX,
            due: 0.0,
        };
        let mut ends = Vec::new();
        for _ in 0..2_000 {
            fleet.step();
        }
        while fleet.now_ms < 26_000 {
            let at = fleet.now_ms - 2_000;
            for (_, failure) in failures.iter().filter(|(due, _)| *due == at) {
                apply(&mut fleet, failure, &mut ends);
            }
            if ends.contains(&fleet.now_ms) {
                (0..12).for_each(|e| (0..AGENTS).for_each(|a| fleet.set_cut(e, a, false)));
            }
            // Half of the load pauses now and then, so that buckets and hands fill.
            if !(fleet.now_ms / 3_000).is_multiple_of(3) {
                load.send(&mut fleet, 12);
            }
            fleet.step();
        }
        let highest = highest_in_window(&fleet.runs);
        prop_assert!(highest <= bound(limits), "{highest} of {}", bound(limits));
        prop_assert!(highest > MEAN_COST);
    }
}
