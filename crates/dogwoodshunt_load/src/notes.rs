//! Time from a note's acceptance until it is in force everywhere.

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

/// Time between two looks at a note that is not in force yet.
const POLL: Duration = Duration::from_millis(1);

/// Largest time that a histogram tells apart, in microseconds.
const MOST_US: u64 = 60_000_000;

/// Time for which a fleet may settle after it has started or was disturbed.
const SETTLE: Duration = Duration::from_secs(6);

/// Time for which a failure domain is cut off.
const CUT: Duration = Duration::from_secs(10);

/// What happens around each note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// An agent is frozen before the note and woken once it is in force.
    AgentFrozen,
    /// A failure domain's agents are cut off, for ten seconds at a time.
    DomainCut,
    /// Nothing.
    None,
    /// The key-value service is down from the acceptance on.
    ServiceDown,
}

/// Times of the notes of one kind of run.
pub struct Times {
    disturbance: Disturbance,
    submitted: u64,
    accepted: Histogram<u64>,
    in_force: Histogram<u64>,
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = |h: &Histogram<u64>| {
            let at = |q| h.value_at_quantile(q) as f64 / 1_000.0;
            format!(
                "{:.1} / {:.1} / {:.1}",
                at(0.5),
                at(0.99),
                h.max() as f64 / 1_000.0
            )
        };
        write!(
            f,
            "| {:?} | {} | {} | {} |",
            self.disturbance,
            self.submitted,
            row(&self.accepted),
            row(&self.in_force)
        )
    }
}

/// Submits `count` notes under load to four entries and 18 agents.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn measure(disturbance: Disturbance, count: usize) -> io::Result<Times> {
    let cluster_config = ClusterConfig {
        entries: 4,
        agents: 18,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(&cluster_config).await?;
    cluster.add_adapters("first", &["busy"], "1").await;
    Timer::after(SETTLE).await;
    let mix = RequestMix {
        adapters: vec!["busy".into()],
        request_interval: Duration::from_millis(10),
        max_tokens: 20,
        seed: 1,
    };
    let load_generator = LoadGenerator::start(&cluster, mix, &ConsistencyChecker::new());
    let mut times = Times {
        disturbance,
        submitted: 0,
        accepted: empty(),
        in_force: empty(),
    };
    let mut cut_since = None;
    for number in 0..count {
        disturb(&cluster, disturbance, number, &mut cut_since).await?;
        submit(&cluster, disturbance, number, &mut times).await;
        restore(&cluster, disturbance, number).await?;
    }
    load_generator.stop().await;
    Ok(times)
}

async fn submit(cluster: &Cluster, disturbance: Disturbance, number: usize, times: &mut Times) {
    let operator = cluster.operator(number % cluster.entries.len());
    let begun = Instant::now();
    let id = format!("note-{number}");
    let name = adapter_name(number);
    let Ok(appended) =
        dogwoodshunt_local::samples::submit_adapters(&operator, &id, &[&name], "1").await
    else {
        return;
    };
    times.submitted += 1;
    let accepted = Instant::now();
    if !appended.standing.accepted {
        return;
    }
    record(&mut times.accepted, accepted - begun);
    if disturbance == Disturbance::ServiceDown {
        cluster.set_kv_fault("down").await;
    }
    if wait_in_force(&operator, appended.entry.revision)
        .await
        .is_ok()
    {
        record(&mut times.in_force, accepted.elapsed());
    }
}

async fn wait_in_force(operator: &OperatorClient, revision: u64) -> Result<(), ClientError> {
    while !operator.replication_status(revision).await?.in_force {
        Timer::after(POLL).await;
    }
    Ok(())
}

async fn disturb(
    cluster: &Cluster,
    disturbance: Disturbance,
    number: usize,
    cut_since: &mut Option<Instant>,
) -> io::Result<()> {
    match disturbance {
        Disturbance::AgentFrozen => {
            if let Some(process) = &cluster.agents[number % cluster.agents.len()].process {
                process.freeze()?;
            }
        }
        Disturbance::DomainCut => {
            let is_over = cut_since.is_some_and(|since| since.elapsed() >= CUT);
            if is_over {
                set_domain(cluster, Mode::Forwarding);
                *cut_since = None;
                Timer::after(SETTLE).await;
            }
            if cut_since.is_none() {
                set_domain(cluster, Mode::Disconnected);
                *cut_since = Some(Instant::now());
            }
        }
        Disturbance::None | Disturbance::ServiceDown => {}
    }
    Ok(())
}

async fn restore(cluster: &Cluster, disturbance: Disturbance, number: usize) -> io::Result<()> {
    match disturbance {
        Disturbance::AgentFrozen => {
            if let Some(process) = &cluster.agents[number % cluster.agents.len()].process {
                process.resume()?;
            }
        }
        Disturbance::ServiceDown => cluster.set_kv_fault("none").await,
        Disturbance::DomainCut | Disturbance::None => {}
    }
    Ok(())
}

/// Cuts off or joins the agents of one of the four failure domains.
fn set_domain(cluster: &Cluster, mode: Mode) {
    for agent in cluster.agents.iter().skip(1).step_by(4) {
        agent.relay.set_mode(mode);
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MOST_US));
}

fn empty() -> Histogram<u64> {
    #[expect(clippy::expect_used, reason = "the bounds are constants")]
    Histogram::new_with_bounds(1, MOST_US, 3).expect("constant bounds")
}
