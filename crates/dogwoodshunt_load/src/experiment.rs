//! Comparison of routing policies on the same traces.
//!
//! Every pair of policy and seed runs on a fleet of its own; all fleets run
//! concurrently on this machine.

use crate::lower_bound;
use crate::replay;
use crate::replay::ReplayTarget;
use crate::summary;
use crate::summary::MeasurementWindow;
use crate::summary::Summary;
use crate::trace;
use crate::trace::RequestKind;
use crate::trace::TraceRequest;
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

/// Routing policies that are compared: the cost-based policy, which is the default of the
/// entries, and three baselines.
pub const POLICIES: [&str; 4] = ["cost", "least_loaded", "random", "rendezvous"];

/// Time for which the key-value service is down in [`Event::KvOutage`].
const KV_OUTAGE_DURATION: Duration = Duration::from_secs(10);

/// Number of adapters that move to a new version in [`Event::NewVersions`].
const UPDATED_ADAPTERS: usize = 10;

/// Result of one policy on the trace of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name of the routing policy, as in the settings of an entry.
    pub policy: &'static str,
    /// Seed from which the trace was generated.
    pub seed: u64,
    /// Lower bound on the adapter loads in the measurement window.
    #[serde(rename = "bound_loads")]
    pub min_loads: usize,
    /// Statistics over the measurement window.
    pub summary: Summary,
}

/// Runs all policies on the traces of all seeds concurrently, each on a fleet of its own.
///
/// # Errors
///
/// Fails if a process of a fleet does not start.
pub async fn run(
    workload: &Workload,
    policies: &[&'static str],
    seeds: &[u64],
) -> io::Result<Vec<PolicyResult>> {
    let mut clusters = Vec::new();
    for seed in seeds {
        for policy in policies {
            let cluster = start_cluster(workload, policy).await?;
            clusters.push((*policy, *seed, cluster));
        }
    }
    let started_at = Instant::now() + Duration::from_secs(1);
    let tasks = clusters.into_iter().map(|(policy, seed, cluster)| {
        let workload = workload.clone();
        smol::spawn(async move { run_policy(&workload, policy, seed, &cluster, started_at).await })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await);
    }
    Ok(results)
}

async fn start_cluster(workload: &Workload, policy: &str) -> io::Result<Cluster> {
    let fleet = &workload.fleet;
    let to_usize = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    let load_share = 4.0 / fleet.model_runners as f64;
    let cluster_config = ClusterConfig {
        entries: to_usize(fleet.entries),
        agents: to_usize(fleet.model_runners),
        services: to_usize(fleet.application_runners),
        slots: to_usize(fleet.adapter_slots),
        batch: to_usize(fleet.batch_size),
        token_time: Duration::from_micros(fleet.time_per_token_us),
        check_fencing: true,
        entry_settings: json!({"routing": {"policy": policy,
            "stall_weight": workload.routing.stall_weight,
            "batch_weight": workload.routing.batch_weight}}),
        agent_settings: json!({"load_share": load_share}),
    };
    let cluster = Cluster::start(&cluster_config).await?;
    let names: Vec<String> = (0..to_usize(workload.adapters)).map(adapter_name).collect();
    for (index, chunk) in names.chunks(MAX_CHANGES_PER_NOTE).enumerate() {
        let chunk: Vec<&str> = chunk.iter().map(String::as_str).collect();
        cluster
            .add_adapters(&format!("note-{index}"), &chunk, "1")
            .await;
    }
    Ok(cluster)
}

async fn run_policy(
    workload: &Workload,
    policy: &'static str,
    seed: u64,
    cluster: &Cluster,
    started_at: Instant,
) -> PolicyResult {
    let requests = trace::generate(workload, seed);
    let target = ReplayTarget {
        client: cluster.client.clone(),
        executor: cluster.traffic.clone(),
        entries: cluster
            .entries
            .iter()
            .map(|entry| entry.direct_address())
            .collect(),
        deadline: Duration::from_millis(workload.deadline_ms),
    };
    let start = Duration::from_secs(workload.warm_up_s);
    let duration = Duration::from_secs(workload.measure_s);
    let observe_engines = async {
        Timer::at(started_at + start).await;
        let before = collect_engine_stats(cluster).await;
        Timer::at(started_at + trace::event_time(workload)).await;
        trigger_event(workload, cluster, &requests).await;
        Timer::at(started_at + start + duration).await;
        summary::total_stats_delta(&before, &collect_engine_stats(cluster).await)
    };
    let send_requests = replay::replay_trace(&target, &requests, started_at);
    let (request_results, engine_stats) = smol::future::zip(send_requests, observe_engines).await;
    let window = MeasurementWindow {
        start,
        duration,
        time_per_token: Duration::from_micros(workload.fleet.time_per_token_us),
        batch_size: workload.fleet.batch_size as f64,
    };
    let slots = (workload.fleet.model_runners * workload.fleet.adapter_slots) as usize;
    PolicyResult {
        policy,
        seed,
        min_loads: lower_bound::min_loads(&requests, slots, start),
        summary: summary::summarise(&request_results, &engine_stats, &window),
    }
}

async fn collect_engine_stats(cluster: &Cluster) -> Vec<EngineStats> {
    let mut all_stats = Vec::new();
    for host in &cluster.agents {
        let value = cluster
            .get_standin(host.engine_address, "/standin/stats")
            .await;
        let stats = value
            .ok()
            .and_then(|value| serde_json::from_value(value).ok());
        // PANIC: Counting a silent engine as zero would omit its loads from the result.
        all_stats.push(
            stats.unwrap_or_else(|| panic!("engine {} sent no statistics", host.engine_address)),
        );
    }
    all_stats
}

async fn trigger_event(workload: &Workload, cluster: &Cluster, requests: &[TraceRequest]) {
    match workload.event {
        Event::None | Event::Shift => {}
        Event::KvOutage => {
            cluster.set_kv_fault("down").await;
            Timer::after(KV_OUTAGE_DURATION).await;
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
        Event::NewVersions => update_busiest_adapters(cluster, requests).await,
    }
}

async fn update_busiest_adapters(cluster: &Cluster, requests: &[TraceRequest]) {
    let mut counts: HashMap<usize, usize> = HashMap::new();
    for request in requests {
        if let RequestKind::Adapter(number) = request.kind {
            *counts.entry(number).or_default() += 1;
        }
    }
    let mut by_request_count: Vec<(usize, usize)> = counts
        .into_iter()
        .map(|(number, count)| (count, number))
        .collect();
    by_request_count.sort_unstable_by(|a, b| b.cmp(a));
    let updated = by_request_count.iter().take(UPDATED_ADAPTERS);
    let note = ReleaseNote::builder()
        .id("new-versions")
        .author("load")
        .based_on(0_u64)
        .changed(
            updated
                .map(|(_, number)| samples::adapter_spec(&adapter_name(*number), "2"))
                .collect::<Vec<_>>(),
        )
        .build();
    let operator = cluster.operator(0);
    let revision = operator
        .status()
        .await
        .map_or(0, |overview| overview.revision);
    let note = ReleaseNote {
        based_on: revision,
        ..note
    };
    let rebase = Rebase::Allowed;
    let _ = operator
        .submit_release(&ReleaseRequest { note, rebase })
        .await;
}
