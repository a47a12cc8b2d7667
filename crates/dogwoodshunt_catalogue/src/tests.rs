//! Tests of name resolution, release note admission, snapshots and log replay.

use crate::AdapterSpec;
use crate::Catalogue;
use crate::Change;
use crate::LogEntry;
use crate::ReleaseNote;
use crate::ResolveError;
use crate::admission;
use crate::admission::Rebase;
use crate::admission::ReleaseRefusal;
use crate::release::Withdrawal;
use crate::snapshot;
use rstest::rstest;

fn spec(adapter: &str, version: &str) -> AdapterSpec {
    AdapterSpec::builder()
        .adapter(adapter)
        .version(version)
        .base_model("base")
        .source("s3://weights")
        .digest("sha256:00")
        .build()
}

fn note(id: &str, based_on: u64) -> ReleaseNote {
    ReleaseNote::builder()
        .id(id)
        .author("nadia")
        .based_on(based_on)
        .build()
}

fn withdrawal(adapter: &str, version: Option<&str>) -> Withdrawal {
    Withdrawal {
        adapter: adapter.into(),
        version: version.map(Into::into),
    }
}

fn log_entry(revision: u64, note: ReleaseNote) -> LogEntry {
    LogEntry {
        revision,
        id: note.id.clone(),
        author: note.author.clone(),
        written_at: 0,
        change: Change::Release(note),
    }
}

fn catalogue_with_two_versions_of_roast() -> Catalogue {
    let mut catalogue = Catalogue::new();
    let mut first = note("first", 0);
    first.added = vec![spec("roast", "1")];
    let mut second = note("second", 1);
    second.changed = vec![spec("roast", "2")];
    catalogue.apply(&log_entry(1, first)).unwrap();
    catalogue.apply(&log_entry(2, second)).unwrap();
    catalogue
}

#[rstest]
#[case("roast", None, Ok("2"))]
#[case("roast", Some("1"), Ok("1"))]
#[case("roast", Some("3"), Err(ResolveError::Unknown))]
#[case("lathe", None, Err(ResolveError::Unknown))]
fn name_resolves_to_the_requested_or_the_active_version(
    #[case] name: &str,
    #[case] version: Option<&str>,
    #[case] expected: Result<&str, ResolveError>,
) {
    let catalogue = catalogue_with_two_versions_of_roast();
    let resolved = catalogue.resolve(name, version);
    assert_eq!(resolved.map(|spec| spec.version.as_ref()), expected);
}

#[test]
fn withdrawn_version_cannot_be_resolved_or_reused() {
    let mut catalogue = catalogue_with_two_versions_of_roast();
    let mut third = note("third", 2);
    third.withdrawn = vec![withdrawal("roast", Some("1"))];
    catalogue.apply(&log_entry(3, third)).unwrap();
    assert_eq!(
        catalogue.resolve("roast", Some("1")),
        Err(ResolveError::Withdrawn)
    );
    let mut reuse = note("again", 3);
    reuse.changed = vec![spec("roast", "1")];
    assert_eq!(catalogue.validate_note(&reuse).len(), 1);
}

#[test]
fn withdrawn_version_is_not_offered_as_the_previous_version() {
    let mut catalogue = catalogue_with_two_versions_of_roast();
    let previous_version = catalogue
        .previous_version("roast")
        .map(|spec| spec.version.clone());
    assert_eq!(previous_version.as_deref(), Some("1"));
    let mut third = note("third", 2);
    third.changed = vec![spec("roast", "3")];
    third.withdrawn = vec![withdrawal("roast", Some("2"))];
    catalogue.apply(&log_entry(3, third)).unwrap();
    // Requests may still name version 1, but it does not become the previous version again.
    assert_eq!(catalogue.previous_version("roast"), None);
    assert!(catalogue.resolve("roast", Some("1")).is_ok());
}

#[test]
fn validation_reports_every_problem_with_its_field_path() {
    let mut invalid = note("b d", 2);
    invalid.author = " ".into();
    invalid.added = vec![spec("roast", "9"), spec("x", "")];
    invalid.changed = vec![spec("lathe", "2")];
    invalid.withdrawn = vec![withdrawal("roast", Some("2"))];
    let problems = catalogue_with_two_versions_of_roast().validate_note(&invalid);
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_ref())
        .collect();
    assert_eq!(
        paths,
        [
            "id",
            "author",
            "added[1].version",
            "added[0].adapter",
            "changed[0].adapter",
            "withdrawn[0].version",
        ]
    );
}

#[test]
fn conflicting_note_is_rejected_with_the_ids_of_both_notes() {
    let mut conflicting = note("late", 1);
    conflicting.changed = vec![spec("roast", "3")];
    let rejection = admission::check(
        &catalogue_with_two_versions_of_roast(),
        &conflicting,
        Rebase::Allowed,
    )
    .unwrap_err();
    let expected = ReleaseRefusal::Conflict {
        note: "late".into(),
        existing: "second".into(),
        adapters: vec!["roast".into()],
    };
    assert_eq!(rejection, expected);
}

#[rstest]
#[case(Rebase::Allowed, true)]
#[case(Rebase::Forbidden, false)]
fn outdated_note_without_conflict_is_admitted_only_if_rebase_is_allowed(
    #[case] rebase: Rebase,
    #[case] admitted: bool,
) {
    let mut unrelated = note("other", 1);
    unrelated.added = vec![spec("lathe", "1")];
    assert_eq!(
        admission::check(&catalogue_with_two_versions_of_roast(), &unrelated, rebase).is_ok(),
        admitted
    );
}

#[test]
fn replacing_witnesses_does_not_outdate_the_base_of_a_note() {
    let mut catalogue = catalogue_with_two_versions_of_roast();
    let replacement = LogEntry {
        change: Change::Witnesses {
            nodes: vec!["n#1".into()],
        },
        ..log_entry(3, note("w", 2))
    };
    catalogue.apply(&replacement).unwrap();
    let mut third = note("third", 2);
    third.changed = vec![spec("roast", "3")];
    assert!(admission::check(&catalogue, &third, Rebase::Forbidden).is_ok());
}

#[test]
fn older_catalogue_or_log_entry_does_not_lower_the_revision() {
    let mut catalogue = catalogue_with_two_versions_of_roast();
    assert!(!catalogue.replace_if_newer(Catalogue::new()));
    assert!(catalogue.apply(&log_entry(2, note("old", 1))).is_err());
    assert_eq!(catalogue.revision(), 2);
}

#[test]
fn snapshot_of_46_000_adapters_round_trips_through_shards_below_1_mib() {
    let mut catalogue = Catalogue::new();
    for first in (0..46_000).step_by(1_000) {
        let revision = catalogue.revision() + 1;
        let mut addition = note(&format!("n{revision}"), revision - 1);
        addition.added = (first..first + 1_000)
            .map(|n| spec(&format!("adapter-{n}"), "1"))
            .collect();
        catalogue.apply(&log_entry(revision, addition)).unwrap();
    }
    let mut shards = snapshot::split(&catalogue);
    for shard in &shards {
        assert!(serde_json::to_vec(shard).unwrap().len() < 1 << 20);
    }
    shards.reverse();
    let recovered = snapshot::assemble(shards.clone()).unwrap();
    assert_eq!(recovered.adapters(), catalogue.adapters());
    assert_eq!(recovered.revision(), catalogue.revision());
    shards.pop();
    assert!(snapshot::assemble(shards).is_err());
}

#[test]
fn entries_after_returns_none_for_entries_that_are_not_in_memory() {
    let catalogue = catalogue_with_two_versions_of_roast();
    assert_eq!(catalogue.entries_after(0).unwrap().len(), 2);
    assert_eq!(catalogue.entries_after(2).unwrap().len(), 0);
    let from_snapshot = snapshot::assemble(snapshot::split(&catalogue)).unwrap();
    assert_eq!(from_snapshot.entries_after(1), None);
}
