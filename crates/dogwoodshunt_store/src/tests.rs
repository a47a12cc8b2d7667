//! Tests of the store against a key-value service that fails on demand.

use crate::LogStore;
use crate::claim;
use crate::claim::Claim;
use crate::claim::Claimed;
use crate::claim::KeptAnswer;
use crate::claim::State;
use crate::compact::Step;
use crate::log::Proposal;
use crate::log::StoreError;
use crate::ownership;
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

fn adds(id: &str, adapter: &str, based_on: u64) -> Proposal {
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

fn request(number: u64) -> RequestId {
    RequestId {
        entry_boot: 1,
        number,
    }
}

#[test]
fn note_whose_answer_was_lost_stands_once() {
    let (kv, store) = store();
    kv.set_fault(Fault::AnswerLost);
    let mut catalogue = Catalogue::new();
    let entry = block_on(store.append(&mut catalogue, &adds("a", "roast", 0), 0)).unwrap();
    assert_eq!(entry.revision, 1);
    kv.set_fault(Fault::None);
    let again = block_on(store.append(&mut catalogue, &adds("a", "roast", 0), 9)).unwrap();
    assert_eq!(again, entry);
    assert_eq!(block_on(store.head()).unwrap().head.revision, 1);
}

#[test]
fn note_is_refused_at_once_while_the_service_is_out() {
    let (kv, store) = store();
    kv.set_fault(Fault::Out);
    let result = block_on(store.append(&mut Catalogue::new(), &adds("a", "roast", 0), 0));
    let error = result.unwrap_err();
    assert!(!error.is_unsure());
    kv.set_fault(Fault::None);
    assert_eq!(block_on(store.head()).unwrap().head.revision, 0);
}

#[test]
fn of_two_conflicting_notes_one_is_accepted() {
    let (_, store) = store();
    let (mut one, mut two) = (Catalogue::new(), Catalogue::new());
    block_on(store.append(&mut one, &adds("a", "roast", 0), 0)).unwrap();
    let result = block_on(store.append(&mut two, &adds("b", "roast", 0), 0));
    let Err(StoreError::Refused { refusal }) = result else {
        panic!("accepted: {result:?}");
    };
    let text = refusal.to_string();
    assert!(text.contains("note b") && text.contains("note a") && text.contains("roast"));
}

#[rstest]
#[case(Step::Written)]
#[case(Step::Referred)]
#[case(Step::Deleted)]
fn compaction_broken_off_after_any_step_loses_nothing(#[case] last: Step) {
    let (_, store) = store();
    let mut catalogue = Catalogue::new();
    for n in 0..1_300 {
        let proposal = adds(&format!("note-{n}"), &format!("adapter-{n}"), n);
        block_on(store.append(&mut catalogue, &proposal, 0)).unwrap();
    }
    block_on(store.compact(last)).unwrap();
    let mut fresh = Catalogue::new();
    block_on(store.catch_up(&mut fresh)).unwrap();
    assert_eq!(fresh.adapters(), catalogue.adapters());
    assert_eq!(fresh.revision(), 1_300);
    let proposal = adds("late", "late", 1_300);
    block_on(store.append(&mut fresh, &proposal, 0)).unwrap();
    block_on(store.compact(Step::Deleted)).unwrap();
    let mut recovered = Catalogue::new();
    block_on(store.catch_up(&mut recovered)).unwrap();
    assert_eq!(recovered.adapters(), fresh.adapters());
}

#[test]
fn successor_gets_a_higher_fencing_number_and_the_old_owner_learns_of_it() {
    let kv = MemoryKv::new();
    let node = "agent".into();
    let first = block_on(ownership::take_over(&kv, &node, 1)).unwrap();
    kv.set_fault(Fault::AnswerLost);
    let second = block_on(ownership::take_over(&kv, &node, 2)).unwrap();
    assert!(second > first);
    assert!(!block_on(ownership::is_owner(&kv, &node, 1)).unwrap());
    assert!(block_on(ownership::is_owner(&kv, &node, 2)).unwrap());
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::AnswerLost)]
fn one_key_is_claimed_by_one_attempt(#[case] fault: Fault) {
    let kv = MemoryKv::new();
    kv.set_fault(fault);
    let first = block_on(claim::claim(&kv, "k", request(1), "f", None)).unwrap();
    assert!(matches!(first, Claimed::Mine { .. }));
    let second = block_on(claim::claim(&kv, "k", request(2), "f", None)).unwrap();
    assert!(matches!(second, Claimed::Taken(held) if held.owner == request(1)));
}

#[test]
fn kept_answer_comes_back_byte_for_byte_and_stays_small() {
    let kv = MemoryKv::new();
    let claimed = block_on(claim::claim(&kv, "k", request(1), "f", None)).unwrap();
    let Claimed::Mine { mod_revision } = claimed else {
        panic!("{claimed:?}");
    };
    let body: Vec<u8> = (0..=u8::MAX).cycle().take(10_000).collect();
    let settled = Claim {
        owner: request(1),
        fingerprint: "f".into(),
        state: State::Ran(KeptAnswer {
            status: 200,
            content_type: None,
            ran: "services/dispatch".into(),
            body,
        }),
    };
    assert!(serde_json::to_vec(&settled).unwrap().len() < 14_000);
    block_on(claim::settle(&kv, "k", &settled, mod_revision, None)).unwrap();
    let again = block_on(claim::claim(&kv, "k", request(2), "f", None)).unwrap();
    assert_eq!(again, Claimed::Taken(settled));
}

#[test]
fn claim_fails_while_the_service_is_out() {
    let kv = MemoryKv::new();
    kv.set_fault(Fault::Out);
    assert!(block_on(claim::claim(&kv, "k", request(1), "f", None)).is_err());
}
