//! Values of realistic size for the measurements.
//!
//! Lengths of names, identifiers and numbers determine the measured sizes.

use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::release::MAX_CHANGES_PER_NOTE;
use dogwoodshunt_freshness::tracker::witness_id;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::frame::Identity;
use std::time::Duration;

/// Base model of all adapters.
pub const BASE_MODEL: &str = "llama-base-70b";

/// Returns the adapter with this number, with a name and version of realistic length.
pub fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(&format!("desk-adapter-{number:05}"), "2026-12-04.1")
}

/// Returns the specification of the adapter with this number.
pub fn adapter_spec(number: usize) -> AdapterSpec {
    let adapter = adapter(number);
    AdapterSpec::builder()
        .adapter(adapter.name)
        .version(adapter.version)
        .base_model(BASE_MODEL)
        .source(format!("s3://weights/desk/{number:05}/2026-12-04.1"))
        .digest("sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")
        .build()
}

/// Returns the log entry of a release note that adds the adapters with these numbers.
pub fn log_entry_adding(revision: u64, numbers: std::ops::Range<usize>) -> LogEntry {
    let note = ReleaseNote::builder()
        .id(format!("note-{revision}"))
        .author("operator")
        .based_on(revision - 1)
        .added(numbers.map(adapter_spec).collect::<Vec<_>>())
        .build();
    LogEntry {
        revision,
        id: note.id.clone(),
        author: note.author.clone(),
        written_at: 1_796_351_163_704,
        change: Change::Release(note),
    }
}

/// Returns a catalogue of `count` adapters, assembled from the shards of a snapshot.
///
/// # Panics
///
/// Panics if the shards of the snapshot do not form a catalogue.
pub fn catalogue(count: usize) -> Catalogue {
    let mut catalogue = Catalogue::new();
    for first in (0..count).step_by(MAX_CHANGES_PER_NOTE) {
        let revision = catalogue.revision() + 1;
        let entry = log_entry_adding(revision, first..(first + MAX_CHANGES_PER_NOTE).min(count));
        let applied = catalogue.apply(&entry);
        debug_assert!(applied.is_ok());
    }
    let shards = dogwoodshunt_catalogue::snapshot::split(&catalogue);
    // PANIC: An empty catalogue would be measured in place of a full one.
    dogwoodshunt_catalogue::snapshot::assemble(shards)
        .expect("assemble catalogue from its own shards")
}

/// Returns the identity of the node with this number.
pub fn identity(number: usize) -> Identity {
    Identity {
        node: format!("host-{number:04}.region-2.example").into(),
        boot: 1_883_000_000_000_000_000 + number as u64,
        domain: format!("region-2-domain-{}", number % 13).into(),
    }
}

/// Returns the ids of `count` witnesses.
pub fn witness_ids(count: usize) -> Vec<Box<str>> {
    let identities = (0..count).map(identity);
    identities
        .map(|identity| witness_id(&identity.node, identity.boot))
        .collect()
}

/// Returns a load report of an agent with one engine and `ready` loaded adapters.
pub fn report(ready: usize) -> Report {
    report_from(0, ready)
}

/// Returns a load report with `ready` loaded adapters, numbered from `first` on.
pub fn report_from(first: usize, ready: usize) -> Report {
    let upstream = UpstreamReport {
        name: "runner-0001".into(),
        serves: Served::BaseModel(BASE_MODEL.into()),
        takes_work: true,
        running: 24,
        batch: 32,
        slots: 32,
        ready: (first..first + ready).map(adapter).collect(),
        loading: vec![adapter(first + ready)],
        kv_tokens: 0,
        rate_limit: None,
        waits_for_rate: false,
        engine: None,
    };
    Report {
        upstreams: vec![upstream],
        queued: 3,
        mean_run: Duration::from_millis(9_000),
        pending_loads: Vec::new(),
    }
}

/// Returns the target for the adapter with this number.
pub fn target(number: usize) -> Target {
    Target::Adapter {
        adapter: adapter(number),
        base_model: BASE_MODEL.into(),
    }
}

/// Returns the id of the request with this number.
pub fn request_id(number: u64) -> RequestId {
    RequestId {
        entry_boot: 1_883_000_000_000_000_000,
        number,
    }
}
