//! Frames of quotas.

use crate::codec;
use crate::frame::Frame;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaLimits;
use dogwoodshunt_quotas::QuotaRequest;
use dogwoodshunt_quotas::messages::Ask;
use dogwoodshunt_quotas::messages::WorkspaceGrant;
use dogwoodshunt_quotas::messages::WorkspaceRequest;

fn size(frame: &Frame) -> usize {
    let bytes = codec::encode(frame).unwrap();
    assert_eq!(codec::decode(&bytes).unwrap(), *frame);
    println!("{} bytes", bytes.len());
    bytes.len()
}

/// A renewal is sent twice a second to each ledger, whether or not anything is asked for.
#[test]
fn renewal_takes_at_most_16_bytes() {
    let renewal = QuotaRequest {
        entries: 42,
        registered: 2,
        workspaces: Vec::new(),
    };
    assert!(size(&Frame::QuotaRequest(Box::new(renewal))) <= 16);
}

#[test]
fn ask_and_its_answer_take_at_most_64_bytes_each() {
    let request = QuotaRequest {
        entries: 42,
        registered: 2,
        workspaces: vec![WorkspaceRequest {
            workspace: "workspace-11".into(),
            held: 10_000,
            ask: Some(Ask {
                number: 100_000,
                least: 10_000,
                wanted: 30_000,
                wait_ms: 220,
            }),
            ..WorkspaceRequest::default()
        }],
    };
    assert!(size(&Frame::QuotaRequest(Box::new(request))) <= 64);
    let grant = QuotaGrant {
        workspaces: vec![WorkspaceGrant {
            workspace: "workspace-11".into(),
            number: 100_000,
            amount: 30_000,
            fits_in_ms: 0,
            rate: 378_850,
        }],
        register_again: false,
    };
    assert!(size(&Frame::QuotaGrant(Box::new(grant))) <= 64);
}

#[test]
fn all_fields_are_decoded_as_they_were_encoded() {
    let request = QuotaRequest {
        entries: 1,
        registered: 1,
        workspaces: vec![WorkspaceRequest {
            workspace: "w".into(),
            limits: Some(QuotaLimits {
                rate: 1,
                burst: 2,
                revision: 3,
            }),
            held: 4,
            returned: 5,
            ask: None,
            leaves: true,
        }],
    };
    size(&Frame::QuotaRequest(Box::new(request)));
    let grant = QuotaGrant {
        workspaces: Vec::new(),
        register_again: true,
    };
    size(&Frame::QuotaGrant(Box::new(grant)));
}
