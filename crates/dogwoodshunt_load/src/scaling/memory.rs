//! Memory of state.

use crate::scaling::fixtures;
use crate::scaling::linear_fit::Slope;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::Settings;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::orders::ProbeAnswer;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
use dogwoodshunt_routing::Router;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use std::collections::HashMap;
use std::fs;
use std::time::Duration;
use std::time::Instant;

/// Bytes in a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// Adapters in the catalogue at which state is measured.
pub const ADAPTERS: [usize; 4] = [3_000, 12_000, 23_000, 46_000];

/// Peers at which state is measured.
pub const PEERS: [usize; 4] = [22, 100, 400, 1_400];

/// Copies of small state, so that it shows in the memory of the process.
const COPIES: usize = 20;

/// Lets every target run.
pub struct Open;

impl AdmissionCheck for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Measures the slopes of memory.
pub fn measure() -> Vec<Slope> {
    vec![
        Slope::fit(
            "catalogue memory",
            "bytes by adapters",
            points(&ADAPTERS, 1, fixtures::catalogue),
        ),
        Slope::fit(
            "peer memory",
            "bytes by peers",
            points(&PEERS, COPIES, replica_with_peers),
        ),
        Slope::fit(
            "agent memory at an entry",
            "bytes by agents with 32 adapters each",
            points(&PEERS, COPIES, router_with_agents),
        ),
        Slope::fit(
            "queued request memory at an agent",
            "bytes by requests",
            points(&[1_000, 4_000, 16_000, 64_000], 1, scheduler_with_jobs),
        ),
        Slope::fit(
            "remembered request id memory at an agent",
            "bytes by ids",
            points(&[10_000, 40_000, 160_000, 640_000], 1, remembered_ids),
        ),
    ]
}

/// Returns how much memory `copies` of what `make` returns take, per copy.
fn points<T>(sizes: &[usize], copies: usize, make: impl Fn(usize) -> T) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| {
            let before = resident_bytes();
            let held: Vec<T> = (0..copies).map(|_| make(*size)).collect();
            let grown = resident_bytes() - before;
            let kept = held.len() as f64;
            // What was freed comes back to the next size; leaking keeps sizes apart.
            std::mem::forget(held);
            (*size as f64, grown / kept)
        })
        .collect()
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.map_or(0.0, |pages: f64| pages * PAGE_BYTES)
}

fn replica_with_peers(count: usize) -> Replica {
    let now = Instant::now();
    let mut replica = Replica::new(fixtures::identity(9_999), Duration::from_secs(3));
    for number in 0..count {
        let key = replica.add_peer(fixtures::identity(number));
        // As many heartbeats as are remembered until their echoes come.
        for _ in 0..64 {
            let _ = replica.next_heartbeat(now, key);
        }
    }
    replica
}

/// Returns a router that knows `count` agents.
pub fn router_with_agents(count: usize) -> Router {
    let now = Instant::now();
    let mut router = Router::new(dogwoodshunt_routing::Settings::default());
    for number in 0..count {
        let key = router.add_agent(fixtures::identity(number).node);
        router.set_usable(key, true);
        // Adapters of neighbours overlap, so that each has about two copies.
        let report = fixtures::report_from(number * 16, 32);
        router.on_report(now, key, ReportUpdate::Full(report));
    }
    router
}

/// Returns an agent with `count` requests in its queue.
pub fn scheduler_with_jobs(count: usize) -> Scheduler {
    let now = Instant::now();
    let settings = Settings::builder().queue_limit(count + 1).build();
    let mut scheduler = Scheduler::new(settings);
    let kind = UpstreamKind::Engine {
        base_model: fixtures::BASE_MODEL.into(),
    };
    let upstream = scheduler.add_upstream("runner".into(), kind);
    let answer = ProbeAnswer {
        boot: 1,
        limits: Limits::new(32, 32),
        has_base_model: true,
        incoming: None,
        resident: (0..32).map(fixtures::adapter).collect(),
    };
    scheduler.on_probe(now, upstream, &answer);
    for number in 0..count {
        let target = fixtures::target(number % 64);
        let request = fixtures::request(number as u64);
        let job = Job::new(request, target, Priority::Normal, now, None);
        let submitted = scheduler.submit(now, job, &Open);
        debug_assert!(submitted.is_ok());
    }
    scheduler
}

fn remembered_ids(count: usize) -> HashMap<RequestId, Instant> {
    let now = Instant::now();
    (0..count as u64)
        .map(|n| (fixtures::request(n), now))
        .collect()
}
