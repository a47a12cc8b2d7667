//! Encoded size of frames and of claims in the key-value service.

use crate::scaling::fixtures;
use crate::scaling::linear_fit::LinearFit;
use dogwoodshunt_freshness::FreshnessSummary;
use dogwoodshunt_freshness::tracker::WitnessState;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_store::claim::Claim;
use dogwoodshunt_store::claim::ClaimState;
use dogwoodshunt_store::claim::StoredResponse;
use dogwoodshunt_types::Priority;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::codec;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::PeerState;
use dogwoodshunt_wire::frame::Submit;

/// Measures how encoded sizes scale.
pub fn measure() -> Vec<LinearFit> {
    vec![
        LinearFit::from_points(
            "heartbeat of an entry",
            "bytes by witnesses",
            measure_points(&[0, 12, 24, 39], |count| heartbeat(count, 0, 0)),
        ),
        LinearFit::from_points(
            "heartbeat of an agent, by adapters",
            "bytes by ready adapters, 39 witnesses",
            measure_points(&[4, 8, 16, 32], |ready| heartbeat(39, ready, 0)),
        ),
        LinearFit::from_points(
            "heartbeat of an agent, adapters unchanged",
            "bytes by witnesses",
            measure_points(&[0, 12, 24, 39], heartbeat_with_unchanged_adapters),
        ),
        LinearFit::from_points(
            "heartbeat of an agent, by entries",
            "bytes by entries, 39 witnesses, 8 adapters",
            measure_points(&[4, 22, 100, 400], |entries| heartbeat(39, 8, entries)),
        ),
        LinearFit::from_points(
            "log entry",
            "bytes by adapters in the note",
            measure_points(&[1, 10, 100, 1_000], |count| Frame::Entries {
                entries: vec![fixtures::log_entry_adding(1, 0..count)],
            }),
        ),
        LinearFit::from_points(
            "request",
            "bytes by bytes of body",
            measure_points(&[100, 1_000, 10_000, 100_000], submit_frame),
        ),
        LinearFit::from_points(
            "part of an answer",
            "bytes by bytes of body",
            measure_points(&[100, 200, 400, 1_000], |bytes| Frame::Chunk {
                request: fixtures::request_id(1),
                number: 100,
                data: vec![b'x'; bytes].into(),
            }),
        ),
        LinearFit::from_points(
            "claim in the key-value service",
            "bytes by bytes of the kept answer",
            measure_claim_points(&[0, 100, 1_000, 10_000]),
        ),
        LinearFit::from_points(
            "acknowledgement",
            "bytes by number of the part",
            measure_points(&[10, 20, 100, 200], |next| Frame::Ack {
                request: fixtures::request_id(1),
                next: next as u64,
            }),
        ),
    ]
}

fn measure_points(sizes: &[usize], make_frame: impl Fn(usize) -> Frame) -> Vec<(f64, f64)> {
    let points = sizes.iter().map(|size| {
        let bytes = codec::encode(&make_frame(*size)).map_or(0, |bytes| bytes.len());
        (*size as f64, bytes as f64)
    });
    points.collect()
}

fn measure_claim_points(sizes: &[usize]) -> Vec<(f64, f64)> {
    let points = sizes.iter().map(|size| {
        let claim = Claim {
            owner: fixtures::request_id(1),
            fingerprint: "0123456789abcdef".repeat(4).into(),
            state: ClaimState::Ran(StoredResponse {
                status: 200,
                content_type: Some("application/json".into()),
                ran: "services/dispatch".into(),
                body: vec![b'x'; *size],
            }),
        };
        let bytes = serde_json::to_vec(&claim).map_or(0, |bytes| bytes.len());
        (*size as f64, bytes as f64)
    });
    points.collect()
}

/// Returns a heartbeat with a state for each witness and each of `entries` peers.
///
/// It is a heartbeat of an agent with `ready` adapters, or of an entry if `ready` is 0.
pub fn heartbeat(witnesses: usize, ready: usize, entries: usize) -> Frame {
    let state = WitnessState {
        age_ms: Some(180),
        revision: 11_000,
    };
    Frame::Heartbeat(Box::new(Heartbeat {
        number: 100_000,
        echo: 100_000,
        summary: FreshnessSummary {
            revision: 11_000,
            service_age_ms: Some(300),
            witness_set_revision: 10_900,
            witnesses: vec![state; witnesses],
        },
        report: (ready > 0).then(|| ReportUpdate::Full(fixtures::report(ready))),
        peers: (0..entries)
            .map(|number| PeerState {
                entry: fixtures::identity(number),
                revision: 11_000,
            })
            .collect(),
        ..Heartbeat::default()
    }))
}

/// Returns a heartbeat of an agent whose adapters have not changed since its last report.
fn heartbeat_with_unchanged_adapters(witnesses: usize) -> Frame {
    let report = fixtures::report(8);
    let update = report.update_since(Some(&report));
    match heartbeat(witnesses, 0, 0) {
        Frame::Heartbeat(heartbeat) => Frame::Heartbeat(Box::new(Heartbeat {
            report: Some(update),
            ..*heartbeat
        })),
        other => other,
    }
}

fn submit_frame(bytes: usize) -> Frame {
    Frame::Submit(Box::new(Submit {
        request: fixtures::request_id(1),
        revision: 11_000,
        target: fixtures::target(1),
        priority: Priority::Normal,
        time_left: None,
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: Some("application/json".into()),
        body: vec![b'x'; bytes].into(),
    }))
}
