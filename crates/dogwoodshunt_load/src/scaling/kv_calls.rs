//! Calls that fleets of processes make to the key-value service.

use crate::scaling::linear_fit::LinearFit;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::caller::CallerRequest;
use dogwoodshunt_proof::cluster::SERVICE;
use smol::Timer;
use std::io;
use std::time::Duration;

/// Number of entries and number of agents of each measured fleet.
const FLEET_SIZES: [(usize, usize); 4] = [(1, 4), (2, 8), (4, 18), (4, 40)];

/// Time for which calls are counted in an idle fleet and after agent restarts, in seconds.
const OBSERVATION_TIME_S: u64 = 10;

/// Number of agents that are killed and restarted.
const RESTART_COUNT: usize = 4;

/// Number of catalogue changes, and of requests with an idempotency key, over which the calls
/// are averaged.
const OPERATION_COUNT: usize = 20;

/// Measures how calls scale with the number of processes.
///
/// # Errors
///
/// Fails if a process of a fleet does not start, or if an agent cannot be killed.
pub async fn measure() -> io::Result<Vec<LinearFit>> {
    let (mut idle_points, mut change_points, mut keyed_points) =
        (Vec::new(), Vec::new(), Vec::new());
    let mut restart_points = Vec::new();
    for (entries, agents) in FLEET_SIZES {
        let cluster_config = ClusterConfig {
            entries,
            agents,
            ..ClusterConfig::default()
        };
        let mut cluster = Cluster::start(&cluster_config).await?;
        let process_count = (entries + agents) as f64;
        wait_until_settled(&cluster).await;
        let idle_rate = idle_calls_per_second(&cluster).await;
        idle_points.push((process_count, idle_rate));
        let per_change = calls_per_change(&cluster, idle_rate).await;
        change_points.push((process_count, per_change));
        keyed_points.push((
            process_count,
            calls_per_keyed_request(&cluster, idle_rate).await,
        ));
        restart_points.push((
            process_count,
            calls_per_agent_restart(&mut cluster, idle_rate).await?,
        ));
    }
    Ok(vec![
        LinearFit::from_points(
            "key-value calls of an idle fleet",
            "calls/s by processes",
            idle_points,
        ),
        LinearFit::from_points(
            "key-value calls per change",
            "calls by processes",
            change_points,
        ),
        LinearFit::from_points(
            "key-value calls per keyed request",
            "calls by processes",
            keyed_points,
        ),
        LinearFit::from_points(
            "key-value calls per agent restarted",
            "calls by processes",
            restart_points,
        ),
    ])
}

/// Waits until the catalogue names witnesses, and then for the fleet to become idle.
async fn wait_until_settled(cluster: &Cluster) {
    cluster.add_adapters("first", &["first"], "1").await;
    while cluster
        .operator(0)
        .catalogue()
        .await
        .map_or(0, |catalogue| catalogue.witnesses().len())
        == 0
    {
        Timer::after(Duration::from_millis(100)).await;
    }
    Timer::after(Duration::from_secs(6)).await;
}

async fn total_calls(cluster: &Cluster) -> f64 {
    let (reads, writes) = cluster.kv_calls().await;
    (reads + writes) as f64
}

async fn idle_calls_per_second(cluster: &Cluster) -> f64 {
    let calls_before = total_calls(cluster).await;
    Timer::after(Duration::from_secs(OBSERVATION_TIME_S)).await;
    (total_calls(cluster).await - calls_before) / OBSERVATION_TIME_S as f64
}

async fn calls_per_change(cluster: &Cluster, idle_rate: f64) -> f64 {
    let started_at = std::time::Instant::now();
    let calls_before = total_calls(cluster).await;
    for number in 0..OPERATION_COUNT {
        let name = format!("more-{number}");
        cluster
            .add_adapters(&format!("note-{number}"), &[&name], "1")
            .await;
    }
    let idle_calls = idle_rate * started_at.elapsed().as_secs_f64();
    (total_calls(cluster).await - calls_before - idle_calls) / OPERATION_COUNT as f64
}

/// Returns the calls per agent restart, including those that make the restarted process a
/// witness.
async fn calls_per_agent_restart(cluster: &mut Cluster, idle_rate: f64) -> io::Result<f64> {
    let started_at = std::time::Instant::now();
    let calls_before = total_calls(cluster).await;
    for agent_index in 0..RESTART_COUNT {
        if let Some(mut process) = cluster.agents[agent_index].process.take() {
            process.kill()?;
        }
        cluster.start_agent(agent_index)?;
    }
    Timer::after(Duration::from_secs(OBSERVATION_TIME_S)).await;
    let idle_calls = idle_rate * started_at.elapsed().as_secs_f64();
    Ok((total_calls(cluster).await - calls_before - idle_calls) / RESTART_COUNT as f64)
}

async fn calls_per_keyed_request(cluster: &Cluster, idle_rate: f64) -> f64 {
    let started_at = std::time::Instant::now();
    let calls_before = total_calls(cluster).await;
    for number in 0..OPERATION_COUNT {
        let request = CallerRequest {
            idempotency_key: Some(format!("key-{number}")),
            ..CallerRequest::for_service(format!("order-{number}"), SERVICE)
        };
        let _ = cluster.caller(0).send(&request).await;
    }
    let idle_calls = idle_rate * started_at.elapsed().as_secs_f64();
    (total_calls(cluster).await - calls_before - idle_calls) / OPERATION_COUNT as f64
}
