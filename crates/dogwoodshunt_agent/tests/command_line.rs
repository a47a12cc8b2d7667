//! Tests of the agent's command line.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use std::fs;
use std::process::Command;

fn run_check(settings: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("dogwoodshunt-agent-{}.json", std::process::id()));
    fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodshunt-agent"))
        .arg("check")
        .arg(&path)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), stderr)
}

#[test]
fn unknown_settings_field_is_reported_with_its_line() {
    let (exit_code, stderr) = run_check("{\n  // A comment.\n  \"nod\": 1\n}");
    assert_eq!(exit_code, Some(2));
    assert!(
        stderr.contains(":3:") && stderr.contains("`nod`"),
        "{stderr}"
    );
}
