//! Tests of the counts of changed keys.

use super::workspace;
use crate::KeyChanges;

/// Guards against a log line that hides a change, or shows a key.
#[test]
fn keys_added_and_taken_away_are_counted_by_workspace() {
    let before = [workspace("a", &["a1", "a2"]), workspace("b", &["moved"])];
    let after = [
        workspace("a", &["a2", "a3", "a4"]),
        workspace("c", &["moved"]),
    ];
    let changes = KeyChanges::between(&before, &after);
    assert_eq!(changes.to_string(), "a:+2-1 b:+0-1 c:+1-0");
    assert!(KeyChanges::between(&after, &after).is_empty());
}

/// Guards against a log line as long as the list of workspaces.
#[test]
fn text_names_a_bounded_number_of_workspaces() {
    let names: Vec<String> = (0..500).map(|n| format!("w{n:03}")).collect();
    let after: Vec<_> = names.iter().map(|name| workspace(name, &[name])).collect();
    let text = KeyChanges::between(&[], &after).to_string();
    assert!(text.ends_with("w007:+1-0 and 492 more"), "{text}");
}
