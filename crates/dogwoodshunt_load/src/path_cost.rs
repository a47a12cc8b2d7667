//! What the way through entry and agent adds to a call.

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

/// Calls before the measurement.
const WARM_UP: usize = 300;

/// Largest time that the histogram tells apart, in microseconds.
const MOST_US: u64 = 10_000_000;

/// Clock ticks per second in the system's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;

/// What was measured.
#[derive(Clone, Debug)]
pub struct PathCost {
    /// Calls on each way.
    pub calls: usize,
    /// Calls in flight at once.
    pub parallel: usize,
    /// Times of direct calls, in microseconds: median, 99th percentile.
    pub direct_us: (u64, u64),
    /// Times through entry and agent, in microseconds: median, 99th percentile.
    pub through_us: (u64, u64),
    /// Calls per second through entry and agent.
    pub throughput: f64,
    /// Processor time of the entry per call, in microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of the agent per call, in microseconds.
    pub agent_cpu_us: f64,
}

impl fmt::Display for PathCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "calls={} parallel={} direct_p50_us={} direct_p99_us={} through_p50_us={} \
             through_p99_us={} added_p50_us={} added_p99_us={} throughput={:.0}/s \
             entry_cpu_us={:.0} agent_cpu_us={:.0}",
            self.calls,
            self.parallel,
            self.direct_us.0,
            self.direct_us.1,
            self.through_us.0,
            self.through_us.1,
            self.through_us.0.saturating_sub(self.direct_us.0),
            self.through_us.1.saturating_sub(self.direct_us.1),
            self.throughput,
            self.entry_cpu_us,
            self.agent_cpu_us
        )
    }
}

/// Measures one entry, one agent and one engine that answers at once.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn measure(calls: usize, parallel: usize) -> io::Result<PathCost> {
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
    run(&cluster, entry, WARM_UP, parallel).await;
    run(&cluster, engine, WARM_UP, parallel).await;
    let (direct, _) = run(&cluster, engine, calls, parallel).await;
    let before = (cpu(&cluster, true), cpu(&cluster, false));
    let (through, took) = run(&cluster, entry, calls, parallel).await;
    let after = (cpu(&cluster, true), cpu(&cluster, false));
    let per_call = |before: f64, after: f64| (after - before) * 1e6 / calls as f64;
    Ok(PathCost {
        calls,
        parallel,
        direct_us: quantiles(&direct),
        through_us: quantiles(&through),
        throughput: calls as f64 / took.as_secs_f64(),
        entry_cpu_us: per_call(before.0, after.0),
        agent_cpu_us: per_call(before.1, after.1),
    })
}

async fn run(
    cluster: &Cluster,
    peer: SocketAddr,
    calls: usize,
    parallel: usize,
) -> (Histogram<u64>, Duration) {
    let begun = Instant::now();
    let workers: Vec<_> = (0..parallel)
        .map(|_| {
            let (client, calls) = (cluster.client.clone(), calls / parallel);
            cluster
                .traffic
                .spawn(async move { work(client, peer, calls).await })
        })
        .collect();
    let mut all = empty();
    for worker in workers {
        // PANIC: All have the bounds of `empty`.
        all.add(worker.await).expect("a histogram of equal bounds");
    }
    (all, begun.elapsed())
}

async fn work(client: Arc<Client>, peer: SocketAddr, calls: usize) -> Histogram<u64> {
    let mut histogram = empty();
    let peer = peer.to_string();
    let body = json!({"model": "roast@1", "prompt": "p", "max_tokens": 8}).to_string();
    for _ in 0..calls {
        let req = Request::post("/v1/completions").header("host", "x");
        let Ok(req) = req.body(Full::new(body.clone().into())) else {
            continue;
        };
        let begun = Instant::now();
        let response = client.send("measure", &peer, req).await;
        if let Ok(response) = response
            && response.status().is_success()
            && body::read(response.into_body(), 1 << 20).await.is_ok()
        {
            histogram
                .saturating_record(u64::try_from(begun.elapsed().as_micros()).unwrap_or(MOST_US));
        }
    }
    histogram
}

fn empty() -> Histogram<u64> {
    #[expect(clippy::expect_used, reason = "the bounds are constants")]
    Histogram::new_with_bounds(1, MOST_US, 3).expect("constant bounds")
}

fn quantiles(histogram: &Histogram<u64>) -> (u64, u64) {
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

/// Returns the processor time of the entry or the agent so far, in seconds.
fn cpu(cluster: &Cluster, entry: bool) -> f64 {
    let process = if entry {
        cluster.entries[0].process.as_ref()
    } else {
        cluster.agents[0].process.as_ref()
    };
    process.map_or(0.0, |process| cpu_seconds(process.id()))
}

/// Returns the processor time of a process so far, in seconds.
pub fn cpu_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The second field is a name in brackets; user and system time follow as
    // the 12th and 13th field after it.
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split(' ')
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    ticks / TICKS_PER_SECOND
}
