//! Tests of the entry's command line.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use std::fs;
use std::process::Command;

fn run_check(settings: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("dogwoodshunt-entry-{}.json", std::process::id()));
    fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodshunt-entry"))
        .arg("check")
        .arg(&path)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn unknown_field_is_rejected_with_its_line_number() {
    let (code, text) = run_check("{\n  // A comment.\n  \"nod\": 1\n}");
    assert_eq!(code, Some(2));
    assert!(text.contains(":3:") && text.contains("`nod`"), "{text}");
}
