//! Soak test: requests and releases under random faults, one or two at a time.
//!
//! [`fault`] selects and injects faults; [`releases`] keeps releasing adapter
//! versions and checks that withdrawn versions stay withdrawn.

pub mod fault;
pub mod releases;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::consistency::ConsistencyChecker;
use crate::consistency::OutcomeCounts;
use crate::load_generator::LoadGenerator;
use crate::load_generator::RequestMix;
use crate::soak::fault::Fault;
use crate::soak::releases::ReleaseSubmitter;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// Time for the cluster to recover between the last fault and the final checks.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Number of adapters in the catalogue. One engine has fewer slots, so that
/// adapters are also evicted.
const ADAPTER_COUNT: usize = 12;

/// Settings of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Duration of the fault injection.
    pub duration: Duration,
    /// Seed of the random faults, releases and requests.
    pub seed: u64,
    /// Time between the starts of two requests.
    pub request_interval: Duration,
}

/// Result of a soak test.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Number of injected faults by [`Fault::name`].
    pub faults: BTreeMap<&'static str, u32>,
    /// Numbers of requests by outcome.
    pub counts: OutcomeCounts,
    /// Number of accepted release notes.
    pub accepted_releases: u32,
    /// Descriptions of the invariant violations found.
    pub violations: Vec<String>,
    /// Whether more than a quarter of all requests succeeded, and at least one
    /// after the last fault was cleared. With fewer, an absence of violations
    /// would say little.
    pub recovered: bool,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (fault, count) in &self.faults {
            write!(f, "{fault}={count} ")?;
        }
        let recovered = self.recovered;
        let violations = self.violations.len();
        write!(
            f,
            "notes={} {} recovered={recovered} violations={violations}",
            self.accepted_releases, self.counts
        )
    }
}

/// Runs a soak test.
///
/// # Errors
///
/// Returns an error if a process does not start or cannot be signalled.
pub async fn run(config: &SoakConfig) -> io::Result<SoakReport> {
    let cluster_config = ClusterConfig {
        entries: 3,
        agents: 3,
        token_time: Duration::from_millis(1),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&cluster_config).await?;
    let names: Vec<String> = (0..ADAPTER_COUNT).map(|n| format!("adapter-{n}")).collect();
    let adapters: Vec<&str> = names.iter().map(String::as_str).collect();
    cluster.add_adapters("start", &adapters, "1").await;
    let checker = ConsistencyChecker::new();
    let mix = RequestMix {
        adapters: names.clone(),
        request_interval: config.request_interval,
        max_tokens: 10,
        seed: config.seed,
    };
    let load_generator = LoadGenerator::start(&cluster, mix, &checker);
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut releases = ReleaseSubmitter::new(names);
    let mut faults = BTreeMap::new();
    let end = Instant::now() + config.duration;
    while Instant::now() < end {
        let first = Fault::random(&mut rng, &cluster_config);
        let second = rng
            .random_bool(0.3)
            .then(|| Fault::random(&mut rng, &cluster_config));
        for fault in [Some(first), second].into_iter().flatten() {
            *faults.entry(fault.name()).or_default() += 1;
            fault.inject(&mut cluster).await?;
        }
        releases.submit(&cluster, &mut rng).await;
        Timer::after(Duration::from_millis(rng.random_range(100..4_500))).await;
        releases.check_withdrawn(&cluster).await;
        for fault in [Some(first), second].into_iter().flatten() {
            fault.clear(&mut cluster).await?;
        }
        Timer::after(Duration::from_millis(rng.random_range(100..1_500))).await;
    }
    Timer::after(RECOVERY_TIME).await;
    releases.check_withdrawn(&cluster).await;
    let recovered = releases.serves_adapter(&cluster).await;
    load_generator.stop().await;
    let mut violations = checker.violations(&cluster).await;
    violations.append(&mut releases.violations);
    Ok(SoakReport {
        faults,
        counts: checker.counts(),
        accepted_releases: releases.accepted_count,
        violations,
        recovered: recovered && checker.counts().answered * 4 > checker.records().len(),
    })
}
