//! Tests of the command line, the text output and the selection of log lines.

use crate::cli::Cli;
use crate::diff::diff;
use crate::explain;
use crate::explain::LogLine;
use crate::render;
use clap::CommandFactory;
use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_replica::ReplicationStatus;
use rstest::rstest;

fn release_entry(revision: u64, version: &str) -> LogEntry {
    let spec = AdapterSpec::builder()
        .adapter("roast")
        .version(version)
        .base_model("base")
        .source("w")
        .digest("d")
        .build();
    let note = ReleaseNote::builder().id("n").author("a").based_on(0_u64);
    let note = if revision == 1 {
        note.added(vec![spec]).build()
    } else {
        note.changed(vec![spec]).build()
    };
    LogEntry {
        revision,
        id: "n".into(),
        author: "a".into(),
        written_at: 0,
        change: Change::Release(note),
    }
}

#[test]
fn command_line_definition_is_valid() {
    Cli::command().debug_assert();
}

#[rstest]
#[case(true, true, &[], "in force")]
#[case(true, false, &["host-1"], "missing at host-1")]
#[case(true, false, &[], "bare names are moving")]
#[case(false, false, &["host-1"], "pending")]
fn replication_status_names_what_is_pending(
    #[case] accepted: bool,
    #[case] in_force: bool,
    #[case] lagging_nodes: &[&str],
    #[case] expected: &str,
) {
    let status = ReplicationStatus {
        revision: 3,
        accepted,
        in_force,
        lagging_nodes: lagging_nodes.iter().map(|node| (*node).into()).collect(),
        live_nodes: 3,
    };
    let text = render::replication_status(&status);
    assert!(text.contains(expected), "{text}");
}

#[test]
fn audit_shows_previous_version_even_if_its_entry_is_not_listed() {
    let entries = [release_entry(1, "1"), release_entry(2, "2")];
    let text = render::audit(&entries, 1);
    assert!(text.contains("roast: 1 -> 2"), "{text}");
    assert_eq!(text.lines().count(), 2);
}

#[test]
fn diff_merges_the_changes_of_one_adapter() {
    let entries = [
        release_entry(1, "1"),
        release_entry(2, "2"),
        release_entry(3, "3"),
    ];
    let changes = diff(&entries, 1, 3);
    assert_eq!(changes.len(), 1);
    assert_eq!((&*changes[0].before, &*changes[0].after), ("1", "3"));
}

const LOGS: &str = r#"
ts_ms=30 level=info event="stream ended" node=entry-1 id=c1 outcome=complete
ts_ms=10 level=info event="placed" node=entry-1 id=c1 request=00a-256 waited_ms=4
ts_ms=9 level=info event="granted" node=agent-3 request=00a-256 unread=100
ts_ms=11 level=info event="granted" node=agent-3 request=00a-512 unread=0
ts_ms=12 level=info event="request" node=entry-1 id=c1 outcome=answered
ts_ms=13 level=info event="request" node=entry-1 id=c2 outcome="not-run" detail="id=c1"
not a log line
"#;

#[rstest]
#[case("c1", &[9, 10, 12, 30])]
#[case("00a-256", &[9, 10, 12, 30])]
#[case("c2", &[13])]
#[case("c3", &[])]
fn lines_of_a_request_are_selected_in_order_of_time(#[case] id: &str, #[case] timestamps: &[u64]) {
    let lines = LOGS.lines().filter_map(LogLine::parse).collect();
    let related = explain::related_lines(lines, id);
    let prefixes: Vec<String> = timestamps.iter().map(|at| format!("ts_ms={at} ")).collect();
    assert_eq!(related.len(), prefixes.len(), "{related:?}");
    for (line, prefix) in related.iter().zip(prefixes) {
        assert!(line.text().starts_with(&prefix), "{}", line.text());
    }
}

/// Logs of a stream that its caller took up twice, at other entries, and of another stream.
const LOGS_OF_STREAMS: &str = r#"
ts_ms=1 event="placed" node=entry-1 id=c1 request=00a-256 software=v1
ts_ms=2 event="request" node=entry-1 id=c1 resumes="" outcome=answered
ts_ms=3 event="stream taken up" node=entry-2 id=c2 resumes=c1 software=v1 source=agent
ts_ms=4 event="placed" node=entry-2 id=c2 request=00b-256 software=v1
ts_ms=5 event="granted" node=agent-1 request=00b-256
ts_ms=6 event="stream taken up" node=entry-1 id=c3 resumes=c1 source=unknown
ts_ms=7 event="stream taken up" node=entry-1 id=d2 resumes=d1 source=entry
"#;

#[rstest]
fn request_that_takes_up_a_stream_is_shown_with_the_others_of_the_stream(
    #[values("c1", "c2", "c3", "00b-256")] id: &str,
) {
    let lines = LOGS_OF_STREAMS.lines().filter_map(LogLine::parse).collect();
    let related = explain::related_lines(lines, id);
    let related: Vec<&str> = related.iter().map(LogLine::text).collect();
    let all: Vec<&str> = LOGS_OF_STREAMS.lines().skip(1).take(6).collect();
    assert_eq!(related, all);
}

/// Logs of a request that waited for its adapter and lost its engine, with
/// unrelated lines of other requests, agents and times.
const LOGS_WITH_CAUSES: &str = r#"
ts_ms=20100 event="engine named" node=agent-3 upstream=engine-3
ts_ms=20100 event="engine named" node=agent-4 upstream=engine-4
ts_ms=10000 event="ordered" node=agent-3 order="load base/a@1"
ts_ms=24500 event="ordered" node=agent-3 order="load base/a@1"
ts_ms=24600 event="ordered" node=agent-4 order="load base/a@1"
ts_ms=24600 event="ordered" node=agent-3 order="load base/b@1"
ts_ms=25000 event="granted" node=agent-3 request=00a-256 target=base/a@1 waited_ms=600
ts_ms=25001 event="placed" node=entry-1 id=c1 request=00a-256 upstream=engine-3 target=base/a@1
ts_ms=25400 event="request" node=entry-1 id=c1 outcome=lost upstream=engine-3 took_ms=1000
ts_ms=25300 event="agent silent" node=entry-1 upstream=engine-3 agent="10.0.0.3:99"
ts_ms=25300 event="agent silent" node=entry-1 upstream=engine-4 agent="10.0.0.4:99"
ts_ms=25500 event="engine lost" node=agent-3 error="reset"
ts_ms=25500 event="engine lost" node=agent-4 error="reset"
ts_ms=28000 event="upstream gone" node=entry-2 upstream=engine-3
ts_ms=28000 event="upstream gone" node=entry-2 upstream=engine-4
ts_ms=80000 event="engine lost" node=agent-3 error="reset"
"#;

#[test]
fn selection_includes_the_awaited_load_and_the_loss_of_the_engine() {
    let lines = LOGS_WITH_CAUSES
        .lines()
        .filter_map(LogLine::parse)
        .collect();
    let related = explain::related_lines(lines, "c1");
    let events: Vec<&str> = related
        .iter()
        .map(|line| line.text().split('"').nth(1).unwrap_or_default())
        .collect();
    let expected = [
        "ordered",
        "granted",
        "placed",
        "agent silent",
        "request",
        "engine lost",
        "upstream gone",
    ];
    assert_eq!(events, expected, "{related:#?}");
}
