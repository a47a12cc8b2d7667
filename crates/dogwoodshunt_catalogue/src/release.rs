//! The release note that an operator writes.

use bon::Builder;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::Version;
use dogwoodshunt_types::adapter::is_name;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt;

/// Most adapters that one release note may touch.
pub const MAX_NOTE_ADAPTERS: usize = 1000;

/// Longest weight source or digest, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// One version of an adapter, as a release note describes it.
#[derive(Builder, Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[builder(on(_, into))]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Version that comes into force.
    pub version: Version,
    /// Base model that the adapter was trained on.
    pub base_model: Box<str>,
    /// Path or address of the weights in the weight store.
    pub source: Box<str>,
    /// Digest of the weights.
    pub digest: Box<str>,
}

impl AdapterSpec {
    /// Returns the adapter and version that this specifies.
    pub fn adapter_ref(&self) -> AdapterRef {
        AdapterRef::new(&self.adapter, &self.version)
    }
}

/// An adapter, or one version of it, that is taken out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Version to withdraw; the whole adapter where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// A set of changes that comes into force as one.
#[derive(Builder, Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[builder(on(_, into))]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Chosen by the operator; submitting one id twice accepts one note.
    pub id: Box<str>,
    /// Who wrote the note.
    pub author: Box<str>,
    /// Revision that the operator saw when writing the note.
    pub based_on: Revision,
    /// Adapters that come into the catalogue.
    #[builder(default)]
    #[serde(default)]
    pub added: Vec<AdapterSpec>,
    /// Adapters that move to a new version.
    #[builder(default)]
    #[serde(default)]
    pub changed: Vec<AdapterSpec>,
    /// Adapters or versions that leave the catalogue.
    #[builder(default)]
    #[serde(default)]
    pub withdrawn: Vec<Withdrawal>,
}

/// Something wrong with a release note, with its place in the file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Place in the note, such as `added[2].version`.
    pub place: Box<str>,
    /// What is wrong and how to mend it.
    pub message: Box<str>,
}

impl Problem {
    /// Creates a problem at `place`.
    pub fn new(place: impl fmt::Display, message: impl fmt::Display) -> Self {
        Self {
            place: place.to_string().into(),
            message: message.to_string().into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

impl ReleaseNote {
    /// Returns the names of all adapters that the note touches.
    pub fn touched(&self) -> BTreeSet<&str> {
        let specs = self.added.iter().chain(&self.changed);
        let named = specs.map(|spec| spec.adapter.as_ref());
        let withdrawn = self.withdrawn.iter().map(|w| w.adapter.as_ref());
        named.chain(withdrawn).collect()
    }

    /// Returns every problem that can be seen without a catalogue.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_header(&mut problems);
        self.check_specs("added", &self.added, &mut problems);
        self.check_specs("changed", &self.changed, &mut problems);
        self.check_withdrawals(&mut problems);
        self.check_duplicates(&mut problems);
        problems
    }

    fn check_header(&self, problems: &mut Vec<Problem>) {
        if !is_name(&self.id) {
            problems.push(Problem::new(
                "id",
                "must be 1 to 128 letters, digits, '-', '_' or '.'",
            ));
        }
        if self.author.trim().is_empty() {
            problems.push(Problem::new("author", "is empty; name who wrote the note"));
        }
        let total = self.added.len() + self.changed.len() + self.withdrawn.len();
        if total == 0 {
            problems.push(Problem::new(
                "note",
                "changes nothing; list adapters under added, changed or withdrawn",
            ));
        }
        if total > MAX_NOTE_ADAPTERS {
            problems.push(Problem::new(
                "note",
                format_args!("lists {total} changes; split it, the limit is {MAX_NOTE_ADAPTERS}"),
            ));
        }
    }

    fn check_specs(&self, list: &str, specs: &[AdapterSpec], problems: &mut Vec<Problem>) {
        for (index, spec) in specs.iter().enumerate() {
            check_name(&format!("{list}[{index}].adapter"), &spec.adapter, problems);
            check_name(&format!("{list}[{index}].version"), &spec.version, problems);
            let texts = [
                ("base_model", &spec.base_model),
                ("source", &spec.source),
                ("digest", &spec.digest),
            ];
            for (field, text) in texts {
                if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                    problems.push(Problem::new(
                        format_args!("{list}[{index}].{field}"),
                        format_args!("must hold 1 to {MAX_TEXT_BYTES} bytes"),
                    ));
                }
            }
        }
    }

    fn check_withdrawals(&self, problems: &mut Vec<Problem>) {
        for (index, withdrawal) in self.withdrawn.iter().enumerate() {
            check_name(
                &format!("withdrawn[{index}].adapter"),
                &withdrawal.adapter,
                problems,
            );
            if let Some(version) = &withdrawal.version {
                check_name(&format!("withdrawn[{index}].version"), version, problems);
            }
        }
    }

    fn check_duplicates(&self, problems: &mut Vec<Problem>) {
        let mut seen = BTreeSet::new();
        for (list, specs) in [("added", &self.added), ("changed", &self.changed)] {
            for (index, spec) in specs.iter().enumerate() {
                if !seen.insert(spec.adapter.as_ref()) {
                    problems.push(Problem::new(
                        format_args!("{list}[{index}].adapter"),
                        format_args!("adapter {} is listed twice; keep one", spec.adapter),
                    ));
                }
            }
        }
        let mut withdrawn = BTreeSet::new();
        for (index, withdrawal) in self.withdrawn.iter().enumerate() {
            if !withdrawn.insert((&withdrawal.adapter, &withdrawal.version)) {
                problems.push(Problem::new(
                    format_args!("withdrawn[{index}]"),
                    format_args!("{} is withdrawn twice; keep one", withdrawal.adapter),
                ));
            }
        }
    }
}

fn check_name(place: &str, name: &str, problems: &mut Vec<Problem>) {
    if !is_name(name) {
        problems.push(Problem::new(
            place,
            format_args!("{name:?} must be 1 to 128 letters, digits, '-', '_' or '.'"),
        ));
    }
}
