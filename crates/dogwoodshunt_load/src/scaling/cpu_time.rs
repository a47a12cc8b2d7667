//! Processor time of decisions and of the wire codec.

use crate::scaling::fixtures;
use crate::scaling::linear_fit::LinearFit;
use crate::scaling::memory::ADAPTER_COUNTS;
use crate::scaling::memory::AllowAll;
use crate::scaling::memory::PEER_COUNTS;
use crate::scaling::memory::router_with_agents;
use crate::scaling::memory::scheduler_with_queued_jobs;
use crate::scaling::message_size;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_grants::Granter;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::PendingLoad;
use dogwoodshunt_residency::Report;
use dogwoodshunt_routing::RouteRequest;
use dogwoodshunt_types::Priority;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::codec;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

/// Minimum time for which the operation of each point is repeated.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(60);

/// Measures how processor time scales.
///
/// # Panics
///
/// Panics if a frame exceeds the size limit of the wire format.
pub fn measure() -> Vec<LinearFit> {
    vec![
        LinearFit::from_points(
            "encode and decode a heartbeat of an agent",
            "us by ready adapters, 39 witnesses",
            measure_points(&[4, 8, 16, 32], |ready| {
                let frame = message_size::heartbeat(39, ready, 0);
                move || {
                    // PANIC: A failed encoding would be measured as a cheap one.
                    let bytes = codec::encode(&frame).expect("encode frame within the size limit");
                    black_box(codec::decode(&bytes).is_ok());
                }
            }),
        ),
        LinearFit::from_points(
            "exchange two heartbeats, both ends",
            "us by witnesses",
            measure_points(&[0, 12, 24, 39], exchange_heartbeats),
        ),
        LinearFit::from_points(
            "choose an agent",
            "us by agents with 32 adapters each",
            measure_points(&PEER_COUNTS, route_request),
        ),
        LinearFit::from_points(
            "plan of an agent",
            "us by queued requests",
            measure_points(&[10, 100, 400, 1_000], plan_orders),
        ),
        LinearFit::from_points(
            "decide on loads",
            "us by agents with 16 wants each",
            measure_points(&PEER_COUNTS, decide_grants),
        ),
        LinearFit::from_points(
            "apply a note of one adapter",
            "us by adapters in the catalogue",
            measure_points(&ADAPTER_COUNTS, apply_note),
        ),
        LinearFit::from_points(
            "copy the catalogue for an operator's submission",
            "us by adapters in the catalogue",
            measure_points(&ADAPTER_COUNTS, |count| {
                let catalogue = fixtures::catalogue(count);
                move || {
                    black_box(catalogue.clone());
                }
            }),
        ),
        LinearFit::from_points(
            "encode and decode a part of an answer",
            "us by bytes of body",
            measure_points(&[100, 200, 400, 1_000], |bytes| {
                let frame = Frame::Chunk {
                    request: fixtures::request_id(1),
                    number: 100,
                    data: vec![b'x'; bytes].into(),
                };
                move || {
                    // PANIC: A failed encoding would be measured as a cheap one.
                    let bytes = codec::encode(&frame).expect("encode frame within the size limit");
                    black_box(codec::decode(&bytes).is_ok());
                }
            }),
        ),
    ]
}

/// Returns for each size the mean time of one operation, in microseconds.
///
/// `make_operation` prepares the operation for a size outside the measured time.
fn measure_points<F: FnMut()>(
    sizes: &[usize],
    make_operation: impl Fn(usize) -> F,
) -> Vec<(f64, f64)> {
    let points = sizes.iter().map(|size| {
        let mut operation = make_operation(*size);
        operation();
        let started_at = Instant::now();
        let mut calls = 0_u32;
        while started_at.elapsed() < MIN_MEASURED_TIME {
            operation();
            calls += 1;
        }
        let micros_per_call = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(calls);
        (*size as f64, micros_per_call)
    });
    points.collect()
}

fn exchange_heartbeats(witnesses: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut replica = Replica::new(fixtures::identity(9_999), Duration::from_secs(3));
    let witnesses_entry = LogEntry {
        change: Change::Witnesses {
            nodes: fixtures::witness_ids(witnesses),
        },
        ..fixtures::log_entry_adding(1, 0..1)
    };
    replica.on_entries(None, &[witnesses_entry]);
    let key = replica.add_peer(fixtures::identity(1));
    let mut peer = replica.clone();
    let peer_key = peer.add_peer(fixtures::identity(9_999));
    move || {
        // The replica's heartbeat is applied by the peer, whose reply echoes it and is applied
        // in turn by the replica.
        if let Some(heartbeat) = replica.next_heartbeat(now, key) {
            black_box(peer.on_heartbeat(now, peer_key, &heartbeat));
        }
        if let Some(reply) = peer.next_heartbeat(now, peer_key) {
            black_box(replica.on_heartbeat(now, key, &reply));
        }
    }
}

fn route_request(agents: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut router = router_with_agents(agents);
    let target = fixtures::target(agents * 8);
    move || {
        let request = RouteRequest {
            target: &target,
            deadline: None,
            excluded: &[],
            demand: &Demand::default(),
            service: None,
            software: None,
            max_event_gap: None,
        };
        if let Ok(agent) = router.route(now, &request) {
            router.on_attempt_end(agent, &target);
        }
    }
}

fn plan_orders(queued: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_queued_jobs(queued);
    move || {
        black_box(scheduler.plan(now, &AllowAll).len());
    }
}

fn decide_grants(agents: usize) -> impl FnMut() {
    let now = Instant::now();
    // The rate allows a load at every call. Grants expire at once, so the pending loads stay.
    let settings = dogwoodshunt_grants::GranterSettings::builder()
        .loads_per_second(1e9)
        .max_in_flight(usize::MAX)
        .valid_for(Duration::ZERO)
        .build();
    let mut granter = Granter::new(settings);
    let report_of = |agent: usize| {
        let pending_loads = (0..16).map(|index| PendingLoad {
            adapter: fixtures::adapter(agent * 16 + index),
            waiting: 1,
            oldest: Duration::from_millis(100),
            priority: Priority::Normal,
        });
        Report {
            pending_loads: pending_loads.collect(),
            ..fixtures::report(8)
        }
    };
    for agent in 0..agents {
        granter.on_report(now, agent, &report_of(agent));
    }
    let mut now = now;
    move || {
        now += Duration::from_micros(1);
        black_box(granter.next_grants(now).len());
    }
}

fn apply_note(adapters: usize) -> impl FnMut() {
    let mut catalogue = fixtures::catalogue(adapters);
    move || {
        let revision = catalogue.revision() + 1;
        let number = 100_000 + revision as usize;
        let entry = fixtures::log_entry_adding(revision, number..number + 1);
        black_box(catalogue.apply(&entry).is_ok());
    }
}
