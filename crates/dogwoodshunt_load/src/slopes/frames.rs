//! Bytes on the network.

use crate::slopes::fit::Slope;
use crate::slopes::sample;
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

/// Measures the slopes of frame sizes.
pub fn measure() -> Vec<Slope> {
    vec![
        Slope::fit(
            "heartbeat of an entry",
            "bytes by witnesses",
            points(&[0, 12, 24, 39], |count| beat(count, 0, 0)),
        ),
        Slope::fit(
            "heartbeat of an agent, by adapters",
            "bytes by ready adapters, 39 witnesses",
            points(&[4, 8, 16, 32], |ready| beat(39, ready, 0)),
        ),
        Slope::fit(
            "heartbeat of an agent, adapters unchanged",
            "bytes by witnesses",
            points(&[0, 12, 24, 39], load_beat),
        ),
        Slope::fit(
            "heartbeat of an agent, by entries",
            "bytes by entries, 39 witnesses, 8 adapters",
            points(&[4, 22, 100, 400], |entries| beat(39, 8, entries)),
        ),
        Slope::fit(
            "log entry",
            "bytes by adapters in the note",
            points(&[1, 10, 100, 1_000], |count| Frame::Entries {
                entries: vec![sample::adding(1, 0..count)],
            }),
        ),
        Slope::fit(
            "request",
            "bytes by bytes of body",
            points(&[100, 1_000, 10_000, 100_000], submit),
        ),
        Slope::fit(
            "part of an answer",
            "bytes by bytes of body",
            points(&[100, 200, 400, 1_000], |bytes| Frame::Chunk {
                request: sample::request(1),
                number: 100,
                data: vec![b'x'; bytes].into(),
            }),
        ),
        Slope::fit(
            "claim in the key-value service",
            "bytes by bytes of the kept answer",
            claim_points(&[0, 100, 1_000, 10_000]),
        ),
        Slope::fit(
            "acknowledgement",
            "bytes by number of the part",
            points(&[10, 20, 100, 200], |next| Frame::Ack {
                request: sample::request(1),
                next: next as u64,
            }),
        ),
    ]
}

fn points(sizes: &[usize], make: impl Fn(usize) -> Frame) -> Vec<(f64, f64)> {
    let measured = sizes.iter().map(|size| {
        let bytes = codec::encode(&make(*size)).map_or(0, |bytes| bytes.len());
        (*size as f64, bytes as f64)
    });
    measured.collect()
}

fn claim_points(sizes: &[usize]) -> Vec<(f64, f64)> {
    let measured = sizes.iter().map(|size| {
        let claim = Claim {
            owner: sample::request(1),
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
    measured.collect()
}

/// Returns a heartbeat of an agent with `ready` adapters, or of an entry for 0.
pub fn beat(witnesses: usize, ready: usize, entries: usize) -> Frame {
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
        report: (ready > 0).then(|| ReportUpdate::Full(sample::report(ready))),
        peers: (0..entries)
            .map(|number| PeerState {
                entry: sample::identity(number),
                revision: 11_000,
            })
            .collect(),
        ..Heartbeat::default()
    }))
}

/// Returns a heartbeat of an agent whose adapters have not changed.
fn load_beat(witnesses: usize) -> Frame {
    let report = sample::report(8);
    let update = report.update_since(Some(&report));
    match beat(witnesses, 0, 0) {
        Frame::Heartbeat(beat) => Frame::Heartbeat(Box::new(Heartbeat {
            report: Some(update),
            ..*beat
        })),
        other => other,
    }
}

fn submit(bytes: usize) -> Frame {
    Frame::Submit(Box::new(Submit {
        request: sample::request(1),
        revision: 11_000,
        target: sample::target(1),
        priority: Priority::Normal,
        time_left: None,
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: Some("application/json".into()),
        body: vec![b'x'; bytes].into(),
    }))
}
