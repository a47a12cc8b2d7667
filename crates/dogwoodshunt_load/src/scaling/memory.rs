//! Resident memory of the state of entries and agents.

use crate::scaling::fixtures;
use crate::scaling::linear_fit::LinearFit;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::SchedulerSettings;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::orders::ProbeResponse;
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

/// Size of a memory page, in bytes; `/proc/self/statm` counts pages.
const PAGE_BYTES: f64 = 4_096.0;

/// Numbers of adapters in the catalogue at which resources are measured.
pub const ADAPTER_COUNTS: [usize; 4] = [3_000, 12_000, 23_000, 46_000];

/// Numbers of peers at which resources are measured.
pub const PEER_COUNTS: [usize; 4] = [22, 100, 400, 1_400];

/// Number of instances that are built of small state, so that its size shows in the resident
/// memory of the process.
const COPIES: usize = 20;

/// Admits every target.
pub struct AllowAll;

impl AdmissionCheck for AllowAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Measures how memory scales.
pub fn measure() -> Vec<LinearFit> {
    vec![
        LinearFit::from_points(
            "catalogue memory",
            "bytes by adapters",
            measure_points(&ADAPTER_COUNTS, 1, fixtures::catalogue),
        ),
        LinearFit::from_points(
            "peer memory",
            "bytes by peers",
            measure_points(&PEER_COUNTS, COPIES, replica_with_peers),
        ),
        LinearFit::from_points(
            "agent memory at an entry",
            "bytes by agents with 32 adapters each",
            measure_points(&PEER_COUNTS, COPIES, router_with_agents),
        ),
        LinearFit::from_points(
            "queued request memory at an agent",
            "bytes by requests",
            measure_points(
                &[1_000, 4_000, 16_000, 64_000],
                1,
                scheduler_with_queued_jobs,
            ),
        ),
        LinearFit::from_points(
            "remembered request id memory at an agent",
            "bytes by ids",
            measure_points(&[10_000, 40_000, 160_000, 640_000], 1, finished_request_ids),
        ),
    ]
}

/// Returns for each size the growth of resident memory, in bytes per instance, while `copies`
/// instances are built.
fn measure_points<T>(
    sizes: &[usize],
    copies: usize,
    make_instance: impl Fn(usize) -> T,
) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| {
            let before = resident_bytes();
            let instances: Vec<T> = (0..copies).map(|_| make_instance(*size)).collect();
            let growth_bytes = resident_bytes() - before;
            let instance_count = instances.len() as f64;
            // The allocator would reuse freed memory for the next size, whose growth would then
            // be too small; the instances are leaked instead.
            std::mem::forget(instances);
            (*size as f64, growth_bytes / instance_count)
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
        // A replica keeps the send times of 64 heartbeats per peer until they are echoed.
        for _ in 0..64 {
            let _ = replica.next_heartbeat(now, key);
        }
    }
    replica
}

/// Returns a router with `count` usable agents, 32 loaded adapters each.
pub fn router_with_agents(count: usize) -> Router {
    let now = Instant::now();
    let mut router = Router::new(dogwoodshunt_routing::RouterSettings::default());
    for number in 0..count {
        let key = router.add_agent(fixtures::identity(number).node);
        router.set_usable(key, true);
        // The adapters of consecutive agents overlap by half, so each adapter is loaded on two
        // agents.
        let report = fixtures::report_from(number * 16, 32);
        router.on_report(now, key, ReportUpdate::Full(report));
    }
    router
}

/// Returns the scheduler of an agent with one engine and `count` queued requests.
pub fn scheduler_with_queued_jobs(count: usize) -> Scheduler {
    let now = Instant::now();
    let settings = SchedulerSettings::builder().queue_limit(count + 1).build();
    let mut scheduler = Scheduler::new(settings);
    let kind = UpstreamKind::Engine {
        base_model: fixtures::BASE_MODEL.into(),
    };
    let upstream = scheduler.add_upstream("runner".into(), kind);
    let probe_answer = ProbeResponse {
        boot: 1,
        limits: Limits::new(32, 32),
        has_base_model: true,
        loading: None,
        resident: (0..32).map(fixtures::adapter).collect(),
    };
    scheduler.on_probe(now, upstream, &probe_answer);
    for number in 0..count {
        let target = fixtures::target(number % 64);
        let request_id = fixtures::request_id(number as u64);
        let job = Job::new(request_id, target, Priority::Normal, now, None);
        let submitted = scheduler.submit(now, job, &AllowAll);
        debug_assert!(submitted.is_ok());
    }
    scheduler
}

fn finished_request_ids(count: usize) -> HashMap<RequestId, Instant> {
    let now = Instant::now();
    (0..count as u64)
        .map(|number| (fixtures::request_id(number), now))
        .collect()
}
