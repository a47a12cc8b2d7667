//! Tests of the codec and the handshake.

use crate::Frame;
use crate::codec;
use crate::frame::Beat;
use crate::frame::Identity;
use crate::handshake;
use crate::handshake::SharedKey;
use crate::handshake::Side;
use crate::handshake::Transcript;
use dogwoodshunt_types::RequestId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn identity(node: &str) -> Identity {
    Identity {
        node: node.into(),
        boot: 7,
        domain: "banha".into(),
    }
}

fn chunk() -> Frame {
    Frame::Chunk {
        request: RequestId {
            entry_boot: 1,
            number: 2,
        },
        number: 3,
        data: vec![0; 1_000].into(),
    }
}

#[test]
fn frame_survives_the_codec() {
    for frame in [chunk(), Frame::Beat(Box::<Beat>::default())] {
        let bytes = codec::encode(&frame).unwrap();
        assert_eq!(codec::decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn chunk_is_encoded_as_bytes_not_as_a_list() {
    assert!(codec::encode(&chunk()).unwrap().len() < 1_100);
}

#[test]
fn truncated_frame_is_refused() {
    let bytes = codec::encode(&chunk()).unwrap();
    for length in 0..bytes.len() {
        assert!(codec::decode(&bytes[..length]).is_err());
    }
}

#[test]
fn deep_nesting_is_refused() {
    let nested = vec![0x81; 100_000];
    assert!(codec::decode(&nested).is_err());
}

#[test]
fn proof_of_another_key_or_side_is_refused() {
    let (agent, entry) = (identity("a"), identity("e"));
    let transcript = Transcript {
        agent_nonce: &[1; 32],
        entry_nonce: &[2; 32],
        agent: &agent,
        entry: &entry,
    };
    let key = SharedKey::new("right");
    let proof = handshake::prove(&key, Side::Entry, &transcript);
    assert!(handshake::verify(&key, Side::Entry, &transcript, &proof));
    assert!(!handshake::verify(&key, Side::Agent, &transcript, &proof));
    let other = SharedKey::new("wrong");
    assert!(!handshake::verify(&other, Side::Entry, &transcript, &proof));
}

#[test]
fn key_is_hidden_from_logs() {
    assert!(!format!("{:?}", SharedKey::new("secret")).contains("secret"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn mutated_frame_never_panics(at in 0_usize..64, with in any::<u8>()) {
        let mut bytes = codec::encode(&chunk()).unwrap().to_vec();
        bytes[at] = with;
        let _ = codec::decode(&bytes);
    }
}
