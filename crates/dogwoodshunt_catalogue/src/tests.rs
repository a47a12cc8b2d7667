//! Tests of the catalogue's decisions.

use crate::AdapterSpec;
use crate::Catalogue;
use crate::Change;
use crate::LogEntry;
use crate::Missing;
use crate::ReleaseNote;
use crate::conflict;
use crate::conflict::Rebase;
use crate::conflict::Refusal;
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

fn entry(revision: u64, note: ReleaseNote) -> LogEntry {
    LogEntry {
        revision,
        id: note.id.clone(),
        author: note.author.clone(),
        written_at: 0,
        change: Change::Release(note),
    }
}

fn roast_at_2() -> Catalogue {
    let mut catalogue = Catalogue::new();
    let mut first = note("first", 0);
    first.added = vec![spec("roast", "1")];
    let mut second = note("second", 1);
    second.changed = vec![spec("roast", "2")];
    catalogue.apply(&entry(1, first)).unwrap();
    catalogue.apply(&entry(2, second)).unwrap();
    catalogue
}

#[rstest]
#[case("roast", None, Ok("2"))]
#[case("roast", Some("1"), Ok("1"))]
#[case("roast", Some("3"), Err(Missing::Unknown))]
#[case("lathe", None, Err(Missing::Unknown))]
fn name_resolves_to_the_version_asked_for(
    #[case] name: &str,
    #[case] version: Option<&str>,
    #[case] expected: Result<&str, Missing>,
) {
    let catalogue = roast_at_2();
    let found = catalogue.resolve(name, version);
    assert_eq!(found.map(|spec| spec.version.as_ref()), expected);
}

#[test]
fn withdrawn_version_stays_withdrawn() {
    let mut catalogue = roast_at_2();
    let mut third = note("third", 2);
    third.withdrawn = vec![withdrawal("roast", Some("1"))];
    catalogue.apply(&entry(3, third)).unwrap();
    assert_eq!(
        catalogue.resolve("roast", Some("1")),
        Err(Missing::Withdrawn)
    );
    let mut again = note("again", 3);
    again.changed = vec![spec("roast", "1")];
    assert_eq!(catalogue.problems_with(&again).len(), 1);
}

#[test]
fn previous_version_is_gone_once_it_is_withdrawn() {
    let mut catalogue = roast_at_2();
    let previous = catalogue.previous("roast").map(|spec| spec.version.clone());
    assert_eq!(previous.as_deref(), Some("1"));
    let mut third = note("third", 2);
    third.changed = vec![spec("roast", "3")];
    third.withdrawn = vec![withdrawal("roast", Some("2"))];
    catalogue.apply(&entry(3, third)).unwrap();
    // Version 1 may still be named, but the bare name never goes back to it.
    assert_eq!(catalogue.previous("roast"), None);
    assert!(catalogue.resolve("roast", Some("1")).is_ok());
}

#[test]
fn every_problem_is_named_at_its_place() {
    let mut bad = note("b d", 2);
    bad.author = " ".into();
    bad.added = vec![spec("roast", "9"), spec("x", "")];
    bad.changed = vec![spec("lathe", "2")];
    bad.withdrawn = vec![withdrawal("roast", Some("2"))];
    let problems = roast_at_2().problems_with(&bad);
    let places: Vec<&str> = problems.iter().map(|p| p.place.as_ref()).collect();
    assert_eq!(
        places,
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
fn conflicting_note_is_refused_with_both_notes_named() {
    let mut late = note("late", 1);
    late.changed = vec![spec("roast", "3")];
    let refusal = conflict::admit(&roast_at_2(), &late, Rebase::Allowed).unwrap_err();
    let expected = Refusal::Conflict {
        note: "late".into(),
        accepted: "second".into(),
        adapters: vec!["roast".into()],
    };
    assert_eq!(refusal, expected);
}

#[rstest]
#[case(Rebase::Allowed, true)]
#[case(Rebase::Forbidden, false)]
fn note_on_other_adapters_is_moved_only_when_allowed(#[case] rebase: Rebase, #[case] ok: bool) {
    let mut other = note("other", 1);
    other.added = vec![spec("lathe", "1")];
    assert_eq!(conflict::admit(&roast_at_2(), &other, rebase).is_ok(), ok);
}

#[test]
fn change_of_witnesses_does_not_hold_up_a_note() {
    let mut catalogue = roast_at_2();
    let witnesses = LogEntry {
        change: Change::Witnesses {
            nodes: vec!["n#1".into()],
        },
        ..entry(3, note("w", 2))
    };
    catalogue.apply(&witnesses).unwrap();
    let mut third = note("third", 2);
    third.changed = vec![spec("roast", "3")];
    assert!(conflict::admit(&catalogue, &third, Rebase::Forbidden).is_ok());
}

#[test]
fn revision_never_reverts() {
    let mut catalogue = roast_at_2();
    assert!(!catalogue.advance_to(Catalogue::new()));
    assert!(catalogue.apply(&entry(2, note("old", 1))).is_err());
    assert_eq!(catalogue.revision(), 2);
}

#[test]
fn snapshot_of_46_000_adapters_is_recovered_from_values_below_a_megabyte() {
    let mut catalogue = Catalogue::new();
    for first in (0..46_000).step_by(1_000) {
        let revision = catalogue.revision() + 1;
        let mut add = note(&format!("n{revision}"), revision - 1);
        add.added = (first..first + 1_000)
            .map(|n| spec(&format!("adapter-{n}"), "1"))
            .collect();
        catalogue.apply(&entry(revision, add)).unwrap();
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
fn entries_after_is_refused_once_they_are_forgotten() {
    let catalogue = roast_at_2();
    assert_eq!(catalogue.entries_after(0).unwrap().len(), 2);
    assert_eq!(catalogue.entries_after(2).unwrap().len(), 0);
    let from_snapshot = snapshot::assemble(snapshot::split(&catalogue)).unwrap();
    assert_eq!(from_snapshot.entries_after(1), None);
}
