//! Tests of adapter references and rendezvous hashing.

use crate::AdapterRef;
use crate::rendezvous;
use rstest::rstest;

#[rstest]
#[case("roast@3", Some(("roast", "3")))]
#[case("roast", None)]
#[case("roast@", None)]
#[case("@3", None)]
#[case("ro ast@3", None)]
#[case("roast@3@4", None)]
fn adapter_ref_parses_only_a_valid_name_and_version(
    #[case] text: &str,
    #[case] parts: Option<(&str, &str)>,
) {
    let expected = parts.map(|(name, version)| AdapterRef::new(name, version));
    assert_eq!(AdapterRef::parse(text), expected);
}

#[test]
fn removing_a_candidate_reassigns_only_its_own_keys() {
    let candidates = ["a", "b", "c", "d"];
    let without_b = ["a", "c", "d"];
    for key in 0..200 {
        let key = key.to_string();
        let before = rendezvous::highest_ranked(&key, candidates, 1)[0];
        let after = rendezvous::highest_ranked(&key, without_b, 1)[0];
        assert!(before == "b" || before == after);
    }
}
