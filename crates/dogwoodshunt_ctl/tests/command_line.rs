//! Tests of the `dogwoodshunt-ctl` process.

use std::process::Command;

#[test]
fn unreachable_entry_gives_exit_code_1_and_its_address() {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodshunt-ctl"))
        .args(["--entry", "127.0.0.1:1", "status"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("127.0.0.1:1"), "{text}");
}
