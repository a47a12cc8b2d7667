//! Tests of the command line of `dogwoodshunt-standins`.

use std::process::Command;

#[test]
fn help_names_every_standin() {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodshunt-standins"))
        .arg("--help")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    for name in ["engine", "hosts", "kv", "service", "weights"] {
        assert!(text.contains(name), "{text}");
    }
}
