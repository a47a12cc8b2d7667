//! Tests of the codec and the handshake.

mod quotas;
mod reports;
mod streams;

use crate::Frame;
use crate::codec;
use crate::frame::Heartbeat;
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

fn chunk_frame() -> Frame {
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
fn decoding_an_encoded_frame_returns_the_frame() {
    for frame in [chunk_frame(), Frame::Heartbeat(Box::<Heartbeat>::default())] {
        let bytes = codec::encode(&frame).unwrap();
        assert_eq!(codec::decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn chunk_data_is_encoded_as_a_byte_string() {
    assert!(codec::encode(&chunk_frame()).unwrap().len() < 1_100);
}

#[test]
fn decode_rejects_truncated_frames() {
    let bytes = codec::encode(&chunk_frame()).unwrap();
    for length in 0..bytes.len() {
        assert!(codec::decode(&bytes[..length]).is_err());
    }
}

#[test]
fn decode_rejects_deep_nesting() {
    let nested_arrays = vec![0x81; 100_000];
    assert!(codec::decode(&nested_arrays).is_err());
}

#[test]
fn verify_rejects_proofs_of_another_key_or_side() {
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
    let wrong_key = SharedKey::new("wrong");
    assert!(!handshake::verify(
        &wrong_key,
        Side::Entry,
        &transcript,
        &proof
    ));
}

#[test]
fn debug_output_does_not_contain_the_key() {
    assert!(!format!("{:?}", SharedKey::new("secret")).contains("secret"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn decoding_a_mutated_frame_does_not_panic(
        offset in 0_usize..64,
        value in any::<u8>(),
    ) {
        let mut bytes = codec::encode(&chunk_frame()).unwrap().to_vec();
        bytes[offset] = value;
        let _ = codec::decode(&bytes);
    }
}
