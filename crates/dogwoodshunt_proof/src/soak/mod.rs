//! A long run under random faults, one or two at a time.
//!
//! [`fault`] draws and injects faults, [`notes`] keeps changing adapters and
//! checks that withdrawn versions stay withdrawn.

pub mod fault;
pub mod notes;

use crate::cluster::Cluster;
use crate::cluster::Shape;
use crate::load::Load;
use crate::load::Mix;
use crate::soak::fault::Fault;
use crate::soak::notes::Notes;
use crate::tally::Counts;
use crate::tally::Tally;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// Time that a soaked cluster is given to come back before the last check.
const RECOVERY: Duration = Duration::from_secs(8);

/// Adapters in the catalogue, more than fit into the engines.
const ADAPTERS: usize = 12;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// How long to inject faults.
    pub length: Duration,
    /// Seed of every random choice.
    pub seed: u64,
    /// Time between two requests.
    pub period: Duration,
}

/// What a run found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// What callers were told.
    pub counts: Counts,
    /// Release notes accepted.
    pub notes: u32,
    /// Contradictions found.
    pub violations: Vec<String>,
    /// Whether a quarter of all requests was answered, and one after the last
    /// fault was lifted; a run that answers less proves little.
    pub recovered: bool,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (fault, count) in &self.faults {
            write!(f, "{fault}={count} ")?;
        }
        let recovered = self.recovered;
        let violations = self.violations.len();
        write!(
            f,
            "notes={} {} recovered={recovered} violations={violations}",
            self.notes, self.counts
        )
    }
}

/// Runs a soak.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn run(plan: &Plan) -> io::Result<Outcome> {
    let shape = Shape {
        entries: 3,
        agents: 3,
        token_time: Duration::from_millis(1),
        ..Shape::default()
    };
    let mut cluster = Cluster::start(&shape).await?;
    let names: Vec<String> = (0..ADAPTERS).map(|n| format!("adapter-{n}")).collect();
    let adapters: Vec<&str> = names.iter().map(String::as_str).collect();
    cluster.add_adapters("start", &adapters, "1").await;
    let tally = Tally::new();
    let mix = Mix {
        adapters: names.clone(),
        period: plan.period,
        tokens: 10,
        seed: plan.seed,
    };
    let load = Load::start(&cluster, mix, &tally);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut notes = Notes::new(names);
    let mut faults = BTreeMap::new();
    let end = Instant::now() + plan.length;
    while Instant::now() < end {
        let first = Fault::draw(&mut rng, &shape);
        let second = rng.random_bool(0.3).then(|| Fault::draw(&mut rng, &shape));
        for fault in [Some(first), second].into_iter().flatten() {
            *faults.entry(fault.name()).or_default() += 1;
            fault.inject(&mut cluster).await?;
        }
        notes.submit(&cluster, &mut rng).await;
        Timer::after(Duration::from_millis(rng.random_range(100..4_500))).await;
        notes.check_withdrawn(&cluster).await;
        for fault in [Some(first), second].into_iter().flatten() {
            fault.lift(&mut cluster).await?;
        }
        Timer::after(Duration::from_millis(rng.random_range(100..1_500))).await;
    }
    Timer::after(RECOVERY).await;
    notes.check_withdrawn(&cluster).await;
    let recovered = notes.is_served(&cluster).await;
    load.stop().await;
    let mut violations = tally.violations(&cluster).await;
    violations.append(&mut notes.violations);
    Ok(Outcome {
        faults,
        counts: tally.counts(),
        notes: notes.accepted,
        violations,
        recovered: recovered && tally.counts().answered * 4 > tally.notes().len(),
    })
}
