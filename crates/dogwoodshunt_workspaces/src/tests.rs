//! Tests of the look-up of workspaces.

mod currency;
mod key_changes;

use crate::KeyDigest;
use crate::Workspace;
use crate::WorkspaceTable;
use rstest::rstest;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        quota: None,
    }
}

/// Guards against a key that counts for another workspace, or although it is not known.
#[rstest]
#[case("a1", Some("a"))]
#[case("a2", Some("a"))]
#[case("b1", Some("b"))]
#[case("A1", None)]
#[case("a", None)]
#[case("", None)]
fn workspace_of_a_key_is_found(#[case] key: &str, #[case] expected: Option<&str>) {
    let table = WorkspaceTable::new(&[workspace("a", &["a1", "a2"]), workspace("b", &["b1"])]);
    let found = table.find(&KeyDigest::of(key));
    assert_eq!(found.map(|workspace| &*workspace.name), expected);
}

/// Guards against keys in logs, where their digests could be printed as part of other values.
#[test]
fn debug_output_does_not_show_digests() {
    let text = format!("{:?}", workspace("a", &["a1"]));
    assert!(text.contains("keys: [KeyDigest(..)]"), "{text}");
}
