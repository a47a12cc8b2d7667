//! Tests that the example files are valid, and that invalid settings are rejected.

use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_runtime::settings;
use rstest::rstest;
use std::path::Path;
use std::path::PathBuf;

fn example_files(dir: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let dir_entries = std::fs::read_dir(root.join(dir)).unwrap();
    let mut example_files: Vec<PathBuf> = dir_entries.map(|entry| entry.unwrap().path()).collect();
    example_files.sort();
    assert!(!example_files.is_empty());
    example_files
}

#[rstest]
#[case("inyange")]
#[case("nile-rail")]
#[case("small")]
fn example_settings_are_valid(#[case] dir: &str) {
    for file in example_files(dir) {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        if name.starts_with("entry") {
            settings::read::<EntrySettings>(&file).map(drop).unwrap();
        } else {
            settings::read::<AgentSettings>(&file).map(drop).unwrap();
        }
    }
}

#[test]
fn example_release_notes_are_valid() {
    for file in example_files("releases") {
        let text = std::fs::read_to_string(&file).unwrap();
        let note: ReleaseNote = settings::parse_without_validation("example", &text).unwrap();
        assert_eq!(note.validate(), []);
    }
}

#[rstest]
#[case("\"heartbeat_ms\": 5", "heartbeat_ms", "use 20 to 1000")]
#[case("\"agents\": []", "agents", "list the addresses")]
#[case("\"shared_key\": \"sesame\"", "shared_key", "at least 16")]
#[case("\"surprise\": 1", "surprise", "unknown field")]
fn invalid_settings_are_rejected_with_line_field_and_fix(
    #[case] field: &str,
    #[case] name: &str,
    #[case] fix: &str,
) {
    let mut lines = vec![
        "{\"node\": {\"name\": \"e\", \"failure_domain\": \"d\"},",
        "\"listen_callers\": \"127.0.0.1:1\", \"listen_operators\": \"127.0.0.1:2\",",
        "\"key_value_service\": \"127.0.0.1:3\",",
    ];
    if !field.starts_with("\"shared_key") {
        lines.push("\"shared_key\": \"0123456789abcdef\",");
    }
    if !field.starts_with("\"agents") {
        lines.push("\"agents\": [\"127.0.0.1:4\"],");
    }
    let text = format!("{}\n{field}}}", lines.join("\n"));
    let error = settings::parse::<EntrySettings>("entry.json", &text)
        .err()
        .unwrap();
    let message = error.to_string();
    let line = format!("entry.json:{}", lines.len() + 1);
    for expected in [name, fix, &line] {
        assert!(message.contains(expected), "{message}");
    }
    assert!(
        !message.contains("sesame"),
        "message reveals the shared key: {message}"
    );
}
