//! Calls of the key-value service by fleets of processes.

use crate::slopes::fit::Slope;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::caller::CallerRequest;
use dogwoodshunt_proof::cluster::SERVICE;
use smol::Timer;
use std::io;
use std::time::Duration;

/// Entries and agents of the fleets.
const FLEETS: [(usize, usize); 4] = [(1, 4), (2, 8), (4, 18), (4, 40)];

/// Time for which an idle fleet is watched, in seconds.
const IDLE_S: u64 = 10;

/// Agents that are killed and started again.
const RESTARTED: usize = 4;

/// Changes and keyed requests that are made.
const MADE: usize = 20;

/// Measures the calls of fleets of growing size.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn measure() -> io::Result<Vec<Slope>> {
    let (mut idle, mut change, mut keyed) = (Vec::new(), Vec::new(), Vec::new());
    let mut joining = Vec::new();
    for (entries, agents) in FLEETS {
        let cluster_config = ClusterConfig {
            entries,
            agents,
            ..ClusterConfig::default()
        };
        let mut cluster = Cluster::start(&cluster_config).await?;
        let size = (entries + agents) as f64;
        settle(&cluster).await;
        let per_second = idle_calls(&cluster).await;
        idle.push((size, per_second));
        let made = change_calls(&cluster, per_second).await;
        change.push((size, made));
        keyed.push((size, keyed_calls(&cluster, per_second).await));
        joining.push((size, joining_calls(&mut cluster, per_second).await?));
    }
    Ok(vec![
        Slope::fit(
            "key-value calls of an idle fleet",
            "calls/s by processes",
            idle,
        ),
        Slope::fit("key-value calls per change", "calls by processes", change),
        Slope::fit(
            "key-value calls per keyed request",
            "calls by processes",
            keyed,
        ),
        Slope::fit(
            "key-value calls per agent restarted",
            "calls by processes",
            joining,
        ),
    ])
}

/// Waits until the witnesses have been named.
async fn settle(cluster: &Cluster) {
    cluster.add_adapters("first", &["first"], "1").await;
    while cluster
        .operator(0)
        .catalogue()
        .await
        .map_or(0, |c| c.witnesses().len())
        == 0
    {
        Timer::after(Duration::from_millis(100)).await;
    }
    Timer::after(Duration::from_secs(6)).await;
}

async fn calls(cluster: &Cluster) -> f64 {
    let (reads, writes) = cluster.kv_calls().await;
    (reads + writes) as f64
}

async fn idle_calls(cluster: &Cluster) -> f64 {
    let before = calls(cluster).await;
    Timer::after(Duration::from_secs(IDLE_S)).await;
    (calls(cluster).await - before) / IDLE_S as f64
}

async fn change_calls(cluster: &Cluster, idle: f64) -> f64 {
    let begun = std::time::Instant::now();
    let before = calls(cluster).await;
    for number in 0..MADE {
        let name = format!("more-{number}");
        cluster
            .add_adapters(&format!("note-{number}"), &[&name], "1")
            .await;
    }
    let idle = idle * begun.elapsed().as_secs_f64();
    (calls(cluster).await - before - idle) / MADE as f64
}

/// Returns the calls that a restarted agent brings, its successor's part as a
/// witness included.
async fn joining_calls(cluster: &mut Cluster, idle: f64) -> io::Result<f64> {
    let begun = std::time::Instant::now();
    let before = calls(cluster).await;
    for agent in 0..RESTARTED {
        if let Some(mut process) = cluster.agents[agent].process.take() {
            process.kill()?;
        }
        cluster.start_agent(agent)?;
    }
    Timer::after(Duration::from_secs(IDLE_S)).await;
    let idle = idle * begun.elapsed().as_secs_f64();
    Ok((calls(cluster).await - before - idle) / RESTARTED as f64)
}

async fn keyed_calls(cluster: &Cluster, idle: f64) -> f64 {
    let begun = std::time::Instant::now();
    let before = calls(cluster).await;
    for number in 0..MADE {
        let request = CallerRequest {
            idempotency_key: Some(format!("key-{number}")),
            ..CallerRequest::for_service(format!("order-{number}"), SERVICE)
        };
        let _ = cluster.caller(0).send(&request).await;
    }
    let idle = idle * begun.elapsed().as_secs_f64();
    (calls(cluster).await - before - idle) / MADE as f64
}
