//! Release notes: sets of adapter changes that operators submit.

use bon::Builder;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::Version;
use dogwoodshunt_types::adapter::is_valid_name;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of additions, changes and withdrawals in one release note.
pub const MAX_CHANGES_PER_NOTE: usize = 1000;

/// Maximum length of a base model name, weight source or digest, in bytes.
const MAX_FIELD_BYTES: usize = 512;

/// Specification of one version of an adapter.
#[derive(Builder, Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[builder(on(_, into))]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Version that becomes the adapter's active version.
    pub version: Version,
    /// Base model that the adapter was trained on.
    pub base_model: Box<str>,
    /// Path or URL of the weights in the weight store.
    pub source: Box<str>,
    /// Digest of the weights.
    pub digest: Box<str>,
}

impl AdapterSpec {
    /// Returns a reference to the specified adapter and version.
    pub fn adapter_ref(&self) -> AdapterRef {
        AdapterRef::new(&self.adapter, &self.version)
    }
}

/// Withdrawal of an adapter or of one of its versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Version to withdraw; `None` withdraws the whole adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// A set of adapter changes that is applied atomically.
#[derive(Builder, Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[builder(on(_, into))]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Id chosen by the operator; a note submitted again under the same id is applied once.
    pub id: Box<str>,
    /// Name of the operator who wrote the note.
    pub author: Box<str>,
    /// Catalogue revision against which the operator wrote the note.
    pub based_on: Revision,
    /// Adapters to add to the catalogue.
    #[builder(default)]
    #[serde(default)]
    pub added: Vec<AdapterSpec>,
    /// Adapters to change to a new version.
    #[builder(default)]
    #[serde(default)]
    pub changed: Vec<AdapterSpec>,
    /// Adapters or versions to withdraw from the catalogue.
    #[builder(default)]
    #[serde(default)]
    pub withdrawn: Vec<Withdrawal>,
}

/// Validation problem of a release note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NoteProblem {
    /// Path of the invalid field, such as `added[2].version`; `note` for the whole note.
    #[serde(rename = "place")]
    pub path: Box<str>,
    /// Description of the problem and of its remedy.
    pub message: Box<str>,
}

impl NoteProblem {
    /// Creates a problem of the field at `path`.
    pub fn new(path: impl fmt::Display, message: impl fmt::Display) -> Self {
        Self {
            path: path.to_string().into(),
            message: message.to_string().into(),
        }
    }
}

impl fmt::Display for NoteProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl ReleaseNote {
    /// Returns the names of all adapters that the note adds, changes or withdraws.
    pub fn adapter_names(&self) -> BTreeSet<&str> {
        let specs = self.added.iter().chain(&self.changed);
        let specified = specs.map(|spec| spec.adapter.as_ref());
        let withdrawn = self
            .withdrawn
            .iter()
            .map(|withdrawal| withdrawal.adapter.as_ref());
        specified.chain(withdrawn).collect()
    }

    /// Returns the validation problems that can be found without a catalogue.
    ///
    /// `Catalogue::validate_note` finds the others.
    pub fn validate(&self) -> Vec<NoteProblem> {
        let mut problems = Vec::new();
        self.check_id_author_and_size(&mut problems);
        self.check_specs("added", &self.added, &mut problems);
        self.check_specs("changed", &self.changed, &mut problems);
        self.check_withdrawals(&mut problems);
        self.check_duplicates(&mut problems);
        problems
    }

    fn check_id_author_and_size(&self, problems: &mut Vec<NoteProblem>) {
        if !is_valid_name(&self.id) {
            problems.push(NoteProblem::new(
                "id",
                "must be 1 to 128 letters, digits, '-', '_' or '.'",
            ));
        }
        if self.author.trim().is_empty() {
            problems.push(NoteProblem::new(
                "author",
                "is empty; name who wrote the note",
            ));
        }
        let total = self.added.len() + self.changed.len() + self.withdrawn.len();
        if total == 0 {
            problems.push(NoteProblem::new(
                "note",
                "changes nothing; list adapters under added, changed or withdrawn",
            ));
        }
        if total > MAX_CHANGES_PER_NOTE {
            problems.push(NoteProblem::new(
                "note",
                format_args!(
                    "lists {total} changes; split it, the limit is {MAX_CHANGES_PER_NOTE}"
                ),
            ));
        }
    }

    fn check_specs(&self, list: &str, specs: &[AdapterSpec], problems: &mut Vec<NoteProblem>) {
        for (index, spec) in specs.iter().enumerate() {
            check_name(&format!("{list}[{index}].adapter"), &spec.adapter, problems);
            check_name(&format!("{list}[{index}].version"), &spec.version, problems);
            let fields = [
                ("base_model", &spec.base_model),
                ("source", &spec.source),
                ("digest", &spec.digest),
            ];
            for (field, value) in fields {
                if value.is_empty() || value.len() > MAX_FIELD_BYTES {
                    problems.push(NoteProblem::new(
                        format_args!("{list}[{index}].{field}"),
                        format_args!("must hold 1 to {MAX_FIELD_BYTES} bytes"),
                    ));
                }
            }
        }
    }

    fn check_withdrawals(&self, problems: &mut Vec<NoteProblem>) {
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

    fn check_duplicates(&self, problems: &mut Vec<NoteProblem>) {
        let mut seen_adapters = BTreeSet::new();
        for (list, specs) in [("added", &self.added), ("changed", &self.changed)] {
            for (index, spec) in specs.iter().enumerate() {
                if !seen_adapters.insert(spec.adapter.as_ref()) {
                    problems.push(NoteProblem::new(
                        format_args!("{list}[{index}].adapter"),
                        format_args!("adapter {} is listed twice; keep one", spec.adapter),
                    ));
                }
            }
        }
        let mut seen_withdrawals = BTreeSet::new();
        for (index, withdrawal) in self.withdrawn.iter().enumerate() {
            if !seen_withdrawals.insert((&withdrawal.adapter, &withdrawal.version)) {
                problems.push(NoteProblem::new(
                    format_args!("withdrawn[{index}]"),
                    format_args!("{} is withdrawn twice; keep one", withdrawal.adapter),
                ));
            }
        }
    }
}

fn check_name(path: &str, name: &str, problems: &mut Vec<NoteProblem>) {
    if !is_valid_name(name) {
        problems.push(NoteProblem::new(
            path,
            format_args!("{name:?} must be 1 to 128 letters, digits, '-', '_' or '.'"),
        ));
    }
}
