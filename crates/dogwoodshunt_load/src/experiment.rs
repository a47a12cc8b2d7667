//! One trace against the chosen design and the baselines, side by side.

use crate::bound;
use crate::drive;
use crate::drive::Target;
use crate::measure;
use crate::measure::Summary;
use crate::measure::Window;
use crate::trace;
use crate::trace::Kind;
use crate::trace::Shot;
use crate::trace::adapter_name;
use crate::workload::Event;
use crate::workload::Workload;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::release::MAX_CHANGES_PER_NOTE;
use dogwoodshunt_local::samples;
use dogwoodshunt_operator::messages::ReleaseRequest;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_standins::engine::EngineStats;
use serde::Serialize;
use serde_json::json;
use smol::Timer;
use std::collections::HashMap;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// Policies that are compared; the first is the chosen design.
pub const POLICIES: [&str; 4] = ["cost", "least_loaded", "random", "rendezvous"];

/// How long the key-value service is down in an outage.
const OUTAGE: Duration = Duration::from_secs(10);

/// Adapters that move to a new version.
const CHANGED: usize = 10;

/// Result of one policy on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: &'static str,
    /// Seed of the trace.
    pub seed: u64,
    /// Fewest loads that the trace needs in the measured time.
    pub bound_loads: usize,
    /// What was measured.
    pub summary: Summary,
}

/// Runs all policies on all seeds at the same time, each on a fleet of its own.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn run(
    workload: &Workload,
    policies: &[&'static str],
    seeds: &[u64],
) -> io::Result<Vec<Outcome>> {
    let mut fleets = Vec::new();
    for seed in seeds {
        for policy in policies {
            let cluster = start(workload, policy).await?;
            fleets.push((*policy, *seed, cluster));
        }
    }
    let begun = Instant::now() + Duration::from_secs(1);
    let runs = fleets.into_iter().map(|(policy, seed, cluster)| {
        let workload = workload.clone();
        smol::spawn(async move { run_one(&workload, policy, seed, &cluster, begun).await })
    });
    let runs: Vec<_> = runs.collect();
    let mut outcomes = Vec::new();
    for run in runs {
        outcomes.push(run.await);
    }
    Ok(outcomes)
}

async fn start(workload: &Workload, policy: &str) -> io::Result<Cluster> {
    let fleet = &workload.fleet;
    let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    let share = 4.0 / fleet.runners as f64;
    let cluster_config = ClusterConfig {
        entries: size(fleet.entries),
        agents: size(fleet.runners),
        services: size(fleet.services),
        slots: size(fleet.slots),
        batch: size(fleet.batch),
        token_time: Duration::from_micros(fleet.token_us),
        check_fencing: true,
        entry_settings: json!({"routing": {"policy": policy,
            "stall_weight": workload.routing.stall_weight,
            "batch_weight": workload.routing.batch_weight}}),
        agent_settings: json!({"load_share": share}),
    };
    let cluster = Cluster::start(&cluster_config).await?;
    let names: Vec<String> = (0..size(workload.adapters)).map(adapter_name).collect();
    for (index, chunk) in names.chunks(MAX_CHANGES_PER_NOTE).enumerate() {
        let chunk: Vec<&str> = chunk.iter().map(String::as_str).collect();
        cluster
            .add_adapters(&format!("note-{index}"), &chunk, "1")
            .await;
    }
    Ok(cluster)
}

async fn run_one(
    workload: &Workload,
    policy: &'static str,
    seed: u64,
    cluster: &Cluster,
    begun: Instant,
) -> Outcome {
    let shots = trace::draw(workload, seed);
    let target = Target {
        client: cluster.client.clone(),
        executor: cluster.traffic.clone(),
        entries: cluster
            .entries
            .iter()
            .map(|entry| entry.direct_address())
            .collect(),
        deadline: Duration::from_millis(workload.deadline_ms),
    };
    let from = Duration::from_secs(workload.warm_up_s);
    let length = Duration::from_secs(workload.measure_s);
    let watched = async {
        Timer::at(begun + from).await;
        let before = stats(cluster).await;
        Timer::at(begun + trace::event_time(workload)).await;
        happen(workload, cluster, &shots).await;
        Timer::at(begun + from + length).await;
        measure::stats_between(&before, &stats(cluster).await)
    };
    let driven = drive::drive(&target, &shots, begun);
    let (samples, engines) = smol::future::zip(driven, watched).await;
    let window = Window {
        from,
        length,
        token_time: Duration::from_micros(workload.fleet.token_us),
        batch: workload.fleet.batch as f64,
    };
    let slots = (workload.fleet.runners * workload.fleet.slots) as usize;
    Outcome {
        policy,
        seed,
        bound_loads: bound::fewest_loads(&shots, slots, from),
        summary: measure::summarise(&samples, &engines, &window),
    }
}

async fn stats(cluster: &Cluster) -> Vec<EngineStats> {
    let mut all = Vec::new();
    for host in &cluster.agents {
        let value = cluster
            .get_standin(host.engine_address, "/standin/stats")
            .await;
        let stats = value
            .ok()
            .and_then(|value| serde_json::from_value(value).ok());
        // PANIC: Counted as zero, its loads would be missing from the result.
        all.push(
            stats.unwrap_or_else(|| panic!("engine {} sent no statistics", host.engine_address)),
        );
    }
    all
}

async fn happen(workload: &Workload, cluster: &Cluster, shots: &[Shot]) {
    match workload.event {
        Event::None | Event::Shift => {}
        Event::KvOutage => {
            cluster.set_kv_fault("down").await;
            Timer::after(OUTAGE).await;
            cluster.set_kv_fault("none").await;
        }
        Event::RackRestart => {
            for host in cluster.agents.iter().step_by(4) {
                let restart = json!({"restart": true});
                let _ = cluster
                    .post_standin(host.engine_address, "/standin/faults", &restart)
                    .await;
            }
        }
        Event::NewVersions => change_busiest(cluster, shots).await,
    }
}

async fn change_busiest(cluster: &Cluster, shots: &[Shot]) {
    let mut counts: HashMap<usize, usize> = HashMap::new();
    for shot in shots {
        if let Kind::Adapter(number) = shot.kind {
            *counts.entry(number).or_default() += 1;
        }
    }
    let mut busiest: Vec<(usize, usize)> = counts.into_iter().map(|(n, c)| (c, n)).collect();
    busiest.sort_unstable_by(|a, b| b.cmp(a));
    let changed = busiest.iter().take(CHANGED);
    let note = ReleaseNote::builder()
        .id("new-versions")
        .author("load")
        .based_on(0_u64)
        .changed(
            changed
                .map(|(_, number)| samples::adapter_spec(&adapter_name(*number), "2"))
                .collect::<Vec<_>>(),
        )
        .build();
    let operator = cluster.operator(0);
    let newest = operator
        .status()
        .await
        .map_or(0, |overview| overview.revision);
    let note = ReleaseNote {
        based_on: newest,
        ..note
    };
    let rebase = Rebase::Allowed;
    let _ = operator
        .submit_release(&ReleaseRequest { note, rebase })
        .await;
}
