//! Processor time of decisions and codecs.

use crate::scaling::fixtures;
use crate::scaling::linear_fit::Slope;
use crate::scaling::memory::ADAPTERS;
use crate::scaling::memory::Open;
use crate::scaling::memory::PEERS;
use crate::scaling::memory::router_with_agents;
use crate::scaling::memory::scheduler_with_jobs;
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

/// Time for which each point is measured.
const MEASURED: Duration = Duration::from_millis(60);

/// Measures the slopes of processor time.
///
/// # Panics
///
/// Panics if a frame is over the limit of the wire.
pub fn measure() -> Vec<Slope> {
    vec![
        Slope::fit(
            "encode and decode a heartbeat of an agent",
            "us by ready adapters, 39 witnesses",
            points(&[4, 8, 16, 32], |ready| {
                let frame = message_size::beat(39, ready, 0);
                move || {
                    // PANIC: A frame that is not encoded would be measured as a cheap one.
                    let bytes = codec::encode(&frame).expect("a frame under the limit");
                    black_box(codec::decode(&bytes).is_ok());
                }
            }),
        ),
        Slope::fit(
            "exchange two heartbeats, both ends",
            "us by witnesses",
            points(&[0, 12, 24, 39], take_in_beat),
        ),
        Slope::fit(
            "choose an agent",
            "us by agents with 32 adapters each",
            points(&PEERS, choose_agent),
        ),
        Slope::fit(
            "plan of an agent",
            "us by queued requests",
            points(&[10, 100, 400, 1_000], plan),
        ),
        Slope::fit(
            "decide on loads",
            "us by agents with 16 wants each",
            points(&PEERS, decide_loads),
        ),
        Slope::fit(
            "apply a note of one adapter",
            "us by adapters in the catalogue",
            points(&ADAPTERS, apply_note),
        ),
        Slope::fit(
            "copy the catalogue for an operator's submission",
            "us by adapters in the catalogue",
            points(&ADAPTERS, |count| {
                let catalogue = fixtures::catalogue(count);
                move || {
                    black_box(catalogue.clone());
                }
            }),
        ),
        Slope::fit(
            "encode and decode a part of an answer",
            "us by bytes of body",
            points(&[100, 200, 400, 1_000], |bytes| {
                let frame = Frame::Chunk {
                    request: fixtures::request(1),
                    number: 100,
                    data: vec![b'x'; bytes].into(),
                };
                move || {
                    // PANIC: A frame that is not encoded would be measured as a cheap one.
                    let bytes = codec::encode(&frame).expect("a frame under the limit");
                    black_box(codec::decode(&bytes).is_ok());
                }
            }),
        ),
    ]
}

/// Returns the time of one call of what `make` returns, in microseconds.
fn points<F: FnMut()>(sizes: &[usize], make: impl Fn(usize) -> F) -> Vec<(f64, f64)> {
    let measured = sizes.iter().map(|size| {
        let mut call = make(*size);
        call();
        let begun = Instant::now();
        let mut calls = 0_u32;
        while begun.elapsed() < MEASURED {
            call();
            calls += 1;
        }
        let micros = begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls);
        (*size as f64, micros)
    });
    measured.collect()
}

fn take_in_beat(witnesses: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut replica = Replica::new(fixtures::identity(9_999), Duration::from_secs(3));
    let named = LogEntry {
        change: Change::Witnesses {
            nodes: fixtures::witnesses(witnesses),
        },
        ..fixtures::adding(1, 0..1)
    };
    replica.on_entries(None, &[named]);
    let key = replica.add_peer(fixtures::identity(1));
    let mut peer = replica.clone();
    let peer_key = peer.add_peer(fixtures::identity(9_999));
    move || {
        // A heartbeat there, its echo back, and the echo taken in.
        if let Some(there) = replica.next_heartbeat(now, key) {
            black_box(peer.on_heartbeat(now, peer_key, &there));
        }
        if let Some(back) = peer.next_heartbeat(now, peer_key) {
            black_box(replica.on_heartbeat(now, key, &back));
        }
    }
}

fn choose_agent(agents: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut router = router_with_agents(agents);
    let target = fixtures::target(agents * 8);
    move || {
        let ask = RouteRequest {
            target: &target,
            deadline: None,
            excluded: &[],
            demand: &Demand::default(),
        };
        if let Ok(agent) = router.route(now, &ask) {
            router.on_attempt_end(agent, &target);
        }
    }
}

fn plan(queued: usize) -> impl FnMut() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_jobs(queued);
    move || {
        black_box(scheduler.plan(now, &Open).len());
    }
}

fn decide_loads(agents: usize) -> impl FnMut() {
    let now = Instant::now();
    // A load is due at every call, and grants lapse at once, so wants stay.
    let settings = dogwoodshunt_grants::Settings::builder()
        .loads_per_second(1e9)
        .max_in_flight(usize::MAX)
        .valid_for(Duration::ZERO)
        .build();
    let mut granter = Granter::new(settings);
    let report_of = |agent: usize| {
        let pending_loads = (0..16).map(|n| PendingLoad {
            adapter: fixtures::adapter(agent * 16 + n),
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
        let entry = fixtures::adding(revision, number..number + 1);
        black_box(catalogue.apply(&entry).is_ok());
    }
}
