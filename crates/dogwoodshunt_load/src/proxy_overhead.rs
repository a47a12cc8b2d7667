//! Overhead of a call through entry and agent, compared with a direct call to the engine.

use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::body;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Number of calls on each path before the measurement.
const WARM_UP_CALLS: usize = 300;

/// Upper bound of the histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// Latency, throughput and processor time of proxied calls.
#[derive(Clone, Debug)]
pub struct ProxyOverhead {
    /// Number of calls on each path.
    pub calls: usize,
    /// Number of calls in flight at once.
    pub concurrency: usize,
    /// Median and 99th percentile of the latency of direct calls, in microseconds.
    pub direct_us: (u64, u64),
    /// Median and 99th percentile of the latency through entry and agent, in microseconds.
    pub proxied_us: (u64, u64),
    /// Calls per second through entry and agent.
    pub throughput: f64,
    /// Processor time of the entry per call, in microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of the agent per call, in microseconds.
    pub agent_cpu_us: f64,
}

impl fmt::Display for ProxyOverhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "calls={} parallel={} direct_p50_us={} direct_p99_us={} through_p50_us={} \
             through_p99_us={} added_p50_us={} added_p99_us={} throughput={:.0}/s \
             entry_cpu_us={:.0} agent_cpu_us={:.0}",
            self.calls,
            self.concurrency,
            self.direct_us.0,
            self.direct_us.1,
            self.proxied_us.0,
            self.proxied_us.1,
            self.proxied_us.0.saturating_sub(self.direct_us.0),
            self.proxied_us.1.saturating_sub(self.direct_us.1),
            self.throughput,
            self.entry_cpu_us,
            self.agent_cpu_us
        )
    }
}

/// Measures the overhead with one entry, one agent and one engine that responds without delay.
///
/// # Errors
///
/// Fails if a process of the fleet does not start.
pub async fn measure(calls: usize, concurrency: usize) -> io::Result<ProxyOverhead> {
    let cluster_config = ClusterConfig {
        entries: 1,
        agents: 1,
        token_time: Duration::ZERO,
        batch: 256,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(&cluster_config).await?;
    cluster.add_adapters("note", &["roast"], "1").await;
    let (entry, engine) = (
        cluster.entries[0].direct_address(),
        cluster.agents[0].engine_address,
    );
    send_calls(&cluster, entry, WARM_UP_CALLS, concurrency).await;
    send_calls(&cluster, engine, WARM_UP_CALLS, concurrency).await;
    let (direct, _) = send_calls(&cluster, engine, calls, concurrency).await;
    let before = (
        node_cpu_seconds(&cluster, true),
        node_cpu_seconds(&cluster, false),
    );
    let (proxied, elapsed) = send_calls(&cluster, entry, calls, concurrency).await;
    let after = (
        node_cpu_seconds(&cluster, true),
        node_cpu_seconds(&cluster, false),
    );
    let per_call = |before: f64, after: f64| (after - before) * 1e6 / calls as f64;
    Ok(ProxyOverhead {
        calls,
        concurrency,
        direct_us: p50_and_p99(&direct),
        proxied_us: p50_and_p99(&proxied),
        throughput: calls as f64 / elapsed.as_secs_f64(),
        entry_cpu_us: per_call(before.0, after.0),
        agent_cpu_us: per_call(before.1, after.1),
    })
}

async fn send_calls(
    cluster: &Cluster,
    address: SocketAddr,
    calls: usize,
    concurrency: usize,
) -> (Histogram<u64>, Duration) {
    let started_at = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            let (client, calls) = (cluster.client.clone(), calls / concurrency);
            cluster
                .traffic
                .spawn(async move { run_worker(client, address, calls).await })
        })
        .collect();
    let mut merged = new_histogram();
    for worker in workers {
        // PANIC: All histograms have the bounds of `new_histogram`.
        merged
            .add(worker.await)
            .expect("merge histograms of equal bounds");
    }
    (merged, started_at.elapsed())
}

async fn run_worker(client: Arc<Client>, address: SocketAddr, calls: usize) -> Histogram<u64> {
    let mut histogram = new_histogram();
    let address = address.to_string();
    let body = json!({"model": "roast@1", "prompt": "p", "max_tokens": 8}).to_string();
    for _ in 0..calls {
        let req = Request::post("/v1/completions").header("host", "x");
        let Ok(req) = req.body(Full::new(body.clone().into())) else {
            continue;
        };
        let started_at = Instant::now();
        let response = client.send("measure", &address, req).await;
        if let Ok(response) = response
            && response.status().is_success()
            && body::read(response.into_body(), 1 << 20).await.is_ok()
        {
            histogram.saturating_record(
                u64::try_from(started_at.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US),
            );
        }
    }
    histogram
}

fn new_histogram() -> Histogram<u64> {
    #[expect(clippy::expect_used, reason = "the bounds are constants")]
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("histogram bounds are valid")
}

fn p50_and_p99(histogram: &Histogram<u64>) -> (u64, u64) {
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

/// Returns the processor time that the entry (`of_entry`) or else the agent has used, in
/// seconds.
fn node_cpu_seconds(cluster: &Cluster, of_entry: bool) -> f64 {
    let process = if of_entry {
        cluster.entries[0].process.as_ref()
    } else {
        cluster.agents[0].process.as_ref()
    };
    process.map_or(0.0, |process| process_cpu_seconds(process.id()))
}

/// Returns the user and system processor time that a process has used, in seconds.
pub fn process_cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The second field is the program name in parentheses and may contain spaces. `utime`
    // and `stime` are the 12th and 13th field after it.
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split(' ')
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    ticks / TICKS_PER_SECOND
}
