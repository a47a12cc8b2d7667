//! Tests of the store against an in-memory key-value service with fault injection.

mod ownership;

use crate::LogStore;
use crate::claim;
use crate::claim::Claim;
use crate::claim::ClaimOutcome;
use crate::claim::ClaimState;
use crate::claim::StoredResponse;
use crate::compaction::CompactionStep;
use crate::log::Proposal;
use crate::log::StoreError;
use crate::ownership as upstream_ownership;
use dogwoodshunt_border::kv::memory::Fault;
use dogwoodshunt_border::kv::memory::MemoryKv;
use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_types::RequestId;
use rstest::rstest;
use smol::block_on;
use std::sync::Arc;

fn release_proposal(id: &str, adapter: &str, based_on: u64) -> Proposal {
    let spec = AdapterSpec::builder()
        .adapter(adapter)
        .version("1")
        .base_model("base")
        .source("weights")
        .digest("00")
        .build();
    let note = ReleaseNote::builder()
        .id(id)
        .author("nadia")
        .based_on(based_on)
        .added(vec![spec])
        .build();
    Proposal {
        id: id.into(),
        author: "nadia".into(),
        change: Change::Release(note),
        rebase: Rebase::Allowed,
    }
}

fn store() -> (Arc<MemoryKv>, LogStore<MemoryKv>) {
    let kv = Arc::new(MemoryKv::new());
    (kv.clone(), LogStore::new(kv))
}

fn request_id(number: u64) -> RequestId {
    RequestId {
        entry_boot: 1,
        number,
    }
}

#[test]
fn append_with_a_lost_response_is_applied_once() {
    let (kv, store) = store();
    kv.set_fault(Fault::ResponseLost);
    let mut catalogue = Catalogue::new();
    let entry =
        block_on(store.append(&mut catalogue, &release_proposal("a", "roast", 0), 0)).unwrap();
    assert_eq!(entry.revision, 1);
    kv.set_fault(Fault::None);
    let repeated =
        block_on(store.append(&mut catalogue, &release_proposal("a", "roast", 0), 9)).unwrap();
    assert_eq!(repeated, entry);
    assert_eq!(block_on(store.head()).unwrap().head.revision, 1);
}

#[test]
fn append_during_an_outage_has_no_effect() {
    let (kv, store) = store();
    kv.set_fault(Fault::Unavailable);
    let result =
        block_on(store.append(&mut Catalogue::new(), &release_proposal("a", "roast", 0), 0));
    let error = result.unwrap_err();
    assert!(!error.is_outcome_unknown());
    kv.set_fault(Fault::None);
    assert_eq!(block_on(store.head()).unwrap().head.revision, 0);
}

#[test]
fn second_of_two_conflicting_notes_is_refused() {
    let (_, store) = store();
    let (mut first, mut second) = (Catalogue::new(), Catalogue::new());
    block_on(store.append(&mut first, &release_proposal("a", "roast", 0), 0)).unwrap();
    let result = block_on(store.append(&mut second, &release_proposal("b", "roast", 0), 0));
    let Err(StoreError::Refused { refusal }) = result else {
        panic!("conflicting note was not refused: {result:?}");
    };
    let text = refusal.to_string();
    assert!(text.contains("note b") && text.contains("note a") && text.contains("roast"));
}

#[rstest]
#[case(CompactionStep::ShardsWritten)]
#[case(CompactionStep::HeadPublished)]
#[case(CompactionStep::ReplacedDeleted)]
fn compaction_stopped_after_any_step_keeps_all_adapters(#[case] last_step: CompactionStep) {
    let (_, store) = store();
    let mut catalogue = Catalogue::new();
    for n in 0..1_300 {
        let proposal = release_proposal(&format!("note-{n}"), &format!("adapter-{n}"), n);
        block_on(store.append(&mut catalogue, &proposal, 0)).unwrap();
    }
    block_on(store.compact(last_step)).unwrap();
    let mut replayed = Catalogue::new();
    block_on(store.update_to_head(&mut replayed)).unwrap();
    assert_eq!(replayed.adapters(), catalogue.adapters());
    assert_eq!(replayed.revision(), 1_300);
    let proposal = release_proposal("late", "late", 1_300);
    block_on(store.append(&mut replayed, &proposal, 0)).unwrap();
    block_on(store.compact(CompactionStep::ReplacedDeleted)).unwrap();
    let mut recovered = Catalogue::new();
    block_on(store.update_to_head(&mut recovered)).unwrap();
    assert_eq!(recovered.adapters(), replayed.adapters());
}

#[test]
fn takeover_raises_the_fencing_token_and_ends_the_previous_ownership() {
    let kv = MemoryKv::new();
    let node = "agent".into();
    let first = block_on(upstream_ownership::take_over(&kv, &node, 1)).unwrap();
    kv.set_fault(Fault::ResponseLost);
    let second = block_on(upstream_ownership::take_over(&kv, &node, 2)).unwrap();
    assert!(second.epoch > first.epoch);
    assert_eq!(
        block_on(upstream_ownership::verify(&kv, &node, &first)).unwrap(),
        None
    );
    let confirmed = block_on(upstream_ownership::verify(&kv, &node, &second)).unwrap();
    assert_eq!(confirmed, Some(second));
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::ResponseLost)]
fn key_is_claimed_by_only_one_attempt(#[case] fault: Fault) {
    let kv = MemoryKv::new();
    kv.set_fault(fault);
    let first = block_on(claim::claim(&kv, "k", request_id(1), "f", None)).unwrap();
    assert!(matches!(first, ClaimOutcome::Acquired { .. }));
    let second = block_on(claim::claim(&kv, "k", request_id(2), "f", None)).unwrap();
    assert!(matches!(second, ClaimOutcome::Taken(claim) if claim.owner == request_id(1)));
}

#[test]
fn stored_response_is_returned_unchanged_and_encoded_compactly() {
    let kv = MemoryKv::new();
    let claimed = block_on(claim::claim(&kv, "k", request_id(1), "f", None)).unwrap();
    let ClaimOutcome::Acquired { mod_revision } = claimed else {
        panic!("key is not claimed by the first attempt: {claimed:?}");
    };
    let body: Vec<u8> = (0..=u8::MAX).cycle().take(10_000).collect();
    let completed = Claim {
        owner: request_id(1),
        fingerprint: "f".into(),
        state: ClaimState::Ran(StoredResponse {
            status: 200,
            content_type: None,
            ran: "services/dispatch".into(),
            body,
        }),
    };
    assert!(serde_json::to_vec(&completed).unwrap().len() < 14_000);
    block_on(claim::store_outcome(
        &kv,
        "k",
        &completed,
        mod_revision,
        None,
    ))
    .unwrap();
    let repeated = block_on(claim::claim(&kv, "k", request_id(2), "f", None)).unwrap();
    assert_eq!(repeated, ClaimOutcome::Taken(completed));
}

#[test]
fn claim_fails_during_an_outage() {
    let kv = MemoryKv::new();
    kv.set_fault(Fault::Unavailable);
    assert!(block_on(claim::claim(&kv, "k", request_id(1), "f", None)).is_err());
}
