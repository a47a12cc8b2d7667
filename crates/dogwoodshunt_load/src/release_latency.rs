//! Latency of release notes: from submission to acceptance, and from acceptance until in force.
//!
//! A note is accepted once the witnesses that may lack its log entry are no
//! majority, and in force once every live node holds it. The latencies are measured
//! under request load, in a healthy fleet or under a [`Disturbance`].

use crate::trace::adapter_name;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_operator::client::ClientError;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::ConsistencyChecker;
use dogwoodshunt_proof::LoadGenerator;
use dogwoodshunt_proof::load_generator::RequestMix;
use dogwoodshunt_proof::relay::Mode;
use hdrhistogram::Histogram;
use smol::Timer;
use std::fmt;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// Interval between two status queries for a note that is not in force yet.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Upper bound of the histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Time that the fleet is given to settle after its start or after a disturbance.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Time for which the agents of a failure domain stay disconnected.
const DOMAIN_CUT_DURATION: Duration = Duration::from_secs(10);

/// Disturbance of the fleet around each note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// An agent process is suspended before the submission and resumed once the note is in
    /// force.
    AgentFrozen,
    /// The agents of one failure domain are disconnected, for ten seconds at a time.
    DomainCut,
    /// No disturbance.
    None,
    /// The key-value service is down from the acceptance of the note until it is in force.
    ServiceDown,
}

/// Latencies of the notes submitted under one disturbance.
pub struct ReleaseLatencies {
    disturbance: Disturbance,
    submitted: u64,
    submit_to_accepted: Histogram<u64>,
    accepted_to_in_force: Histogram<u64>,
}

impl fmt::Display for ReleaseLatencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_latencies = |histogram: &Histogram<u64>| {
            let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
            format!(
                "{:.1} / {:.1} / {:.1}",
                quantile_ms(0.5),
                quantile_ms(0.99),
                histogram.max() as f64 / 1_000.0
            )
        };
        write!(
            f,
            "| {:?} | {} | {} | {} |",
            self.disturbance,
            self.submitted,
            format_latencies(&self.submit_to_accepted),
            format_latencies(&self.accepted_to_in_force)
        )
    }
}

/// Measures `count` notes on a fleet of four entries and 18 agents under request load.
///
/// # Errors
///
/// Fails if a process does not start, or if an agent cannot be suspended or resumed.
pub async fn measure(disturbance: Disturbance, count: usize) -> io::Result<ReleaseLatencies> {
    let cluster_config = ClusterConfig {
        entries: 4,
        agents: 18,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(&cluster_config).await?;
    cluster.add_adapters("first", &["busy"], "1").await;
    Timer::after(SETTLE_TIME).await;
    let mix = RequestMix {
        adapters: vec!["busy".into()],
        request_interval: Duration::from_millis(10),
        max_tokens: 20,
        seed: 1,
    };
    let load_generator = LoadGenerator::start(&cluster, mix, &ConsistencyChecker::new());
    let mut latencies = ReleaseLatencies {
        disturbance,
        submitted: 0,
        submit_to_accepted: new_histogram(),
        accepted_to_in_force: new_histogram(),
    };
    let mut disconnected_since = None;
    for note_index in 0..count {
        apply_disturbance(&cluster, disturbance, note_index, &mut disconnected_since).await?;
        submit_note(&cluster, disturbance, note_index, &mut latencies).await;
        revert_disturbance(&cluster, disturbance, note_index).await?;
    }
    load_generator.stop().await;
    Ok(latencies)
}

async fn submit_note(
    cluster: &Cluster,
    disturbance: Disturbance,
    note_index: usize,
    latencies: &mut ReleaseLatencies,
) {
    let operator = cluster.operator(note_index % cluster.entries.len());
    let submitted_at = Instant::now();
    let id = format!("note-{note_index}");
    let name = adapter_name(note_index);
    let Ok(appended) =
        dogwoodshunt_local::samples::submit_adapters(&operator, &id, &[&name], "1").await
    else {
        return;
    };
    latencies.submitted += 1;
    let accepted_at = Instant::now();
    if !appended.replication_status.accepted {
        return;
    }
    record(
        &mut latencies.submit_to_accepted,
        accepted_at - submitted_at,
    );
    if disturbance == Disturbance::ServiceDown {
        cluster.set_kv_fault("down").await;
    }
    if wait_until_in_force(&operator, appended.entry.revision)
        .await
        .is_ok()
    {
        record(&mut latencies.accepted_to_in_force, accepted_at.elapsed());
    }
}

async fn wait_until_in_force(operator: &OperatorClient, revision: u64) -> Result<(), ClientError> {
    while !operator.replication_status(revision).await?.in_force {
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn apply_disturbance(
    cluster: &Cluster,
    disturbance: Disturbance,
    note_index: usize,
    disconnected_since: &mut Option<Instant>,
) -> io::Result<()> {
    match disturbance {
        Disturbance::AgentFrozen => {
            if let Some(process) = &cluster.agents[note_index % cluster.agents.len()].process {
                process.freeze()?;
            }
        }
        Disturbance::DomainCut => {
            let cut_has_ended =
                disconnected_since.is_some_and(|since| since.elapsed() >= DOMAIN_CUT_DURATION);
            if cut_has_ended {
                set_domain_relay_mode(cluster, Mode::Forwarding);
                *disconnected_since = None;
                Timer::after(SETTLE_TIME).await;
            }
            if disconnected_since.is_none() {
                set_domain_relay_mode(cluster, Mode::Disconnected);
                *disconnected_since = Some(Instant::now());
            }
        }
        Disturbance::None | Disturbance::ServiceDown => {}
    }
    Ok(())
}

async fn revert_disturbance(
    cluster: &Cluster,
    disturbance: Disturbance,
    note_index: usize,
) -> io::Result<()> {
    match disturbance {
        Disturbance::AgentFrozen => {
            if let Some(process) = &cluster.agents[note_index % cluster.agents.len()].process {
                process.resume()?;
            }
        }
        Disturbance::ServiceDown => cluster.set_kv_fault("none").await,
        Disturbance::DomainCut | Disturbance::None => {}
    }
    Ok(())
}

/// Sets the relay mode of all agents of one of the four failure domains.
///
/// Agents are assigned to the domains round-robin.
fn set_domain_relay_mode(cluster: &Cluster, mode: Mode) {
    for agent in cluster.agents.iter().skip(1).step_by(4) {
        agent.relay.set_mode(mode);
    }
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US));
}

fn new_histogram() -> Histogram<u64> {
    #[expect(clippy::expect_used, reason = "the bounds are constants")]
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("histogram bounds are valid")
}
