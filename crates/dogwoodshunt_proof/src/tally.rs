//! Comparison of what callers were told with what really ran.

use crate::caller::Question;
use crate::caller::Told;
use crate::cluster::Cluster;
use dogwoodshunt_standins::ledger::Runs;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Numbers of questions by what callers were told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Whole answers.
    pub answered: usize,
    /// Answers that broke off.
    pub broken_off: usize,
    /// Refusals.
    pub not_run: usize,
    /// Errors that say the request ran.
    pub ran: usize,
    /// Errors that say the outcome is unknown.
    pub unknown: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered={} not_run={} unknown={} ran={} broken_off={}",
            self.answered, self.not_run, self.unknown, self.ran, self.broken_off
        )
    }
}

/// Questions with what callers were told.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    told: Arc<Mutex<Vec<(Question, Told)>>>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes what a caller was told.
    pub fn note(&self, question: Question, told: Told) {
        let mut notes = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        notes.push((question, told));
    }

    /// Returns all notes.
    pub fn notes(&self) -> Vec<(Question, Told)> {
        let notes = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        notes.clone()
    }

    /// Returns the numbers of questions by what callers were told.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for (_, told) in self.notes() {
            match told {
                Told::Answered { .. } => counts.answered += 1,
                Told::BrokenOff => counts.broken_off += 1,
                Told::NotRun { .. } => counts.not_run += 1,
                Told::Ran => counts.ran += 1,
                Told::Unknown | Told::Wrong(_) => counts.unknown += 1,
            }
        }
        counts
    }

    /// Returns every contradiction between what callers were told and what ran.
    ///
    /// # Panics
    ///
    /// Panics if a stand-in does not answer.
    pub async fn violations(&self, cluster: &Cluster) -> Vec<String> {
        let runs = all_runs(cluster).await;
        let notes = self.notes();
        let mut violations: Vec<String> = notes
            .iter()
            .flat_map(|(question, told)| check(question, told, &runs))
            .collect();
        violations.extend(evictions(cluster).await);
        violations
    }
}

/// Runs by tag, then by what ran.
type RunsByTag = BTreeMap<String, BTreeMap<String, u32>>;

async fn all_runs(cluster: &Cluster) -> RunsByTag {
    let mut by_tag = RunsByTag::new();
    let hosts = cluster.agents.iter();
    for address in hosts.flat_map(|host| [host.engine, host.service]) {
        let value = cluster.get_standin(address, "/standin/ran").await;
        let runs = value
            .ok()
            .and_then(|value| serde_json::from_value::<Runs>(value).ok());
        let Some(runs) = runs else {
            panic!("stand-in {address} does not answer");
        };
        for (key, count) in runs.runs {
            let (what, tag) = key.split_once(' ').unwrap_or((&key, ""));
            let whats = by_tag.entry(tag.to_owned()).or_default();
            *whats.entry(what.to_owned()).or_default() += count;
        }
    }
    by_tag
}

async fn evictions(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for host in &cluster.agents {
        let stats = cluster.get_standin(host.engine, "/standin/stats").await;
        let evicted = stats.unwrap_or_default()["unloaded_in_use"].as_u64();
        if evicted != Some(0) {
            violations.push(format!(
                "{}: adapters unloaded in use: {evicted:?}",
                host.name
            ));
        }
    }
    violations
}

fn check(question: &Question, told: &Told, runs: &RunsByTag) -> Vec<String> {
    let none = BTreeMap::new();
    let ran = runs.get(&question.tag).unwrap_or(&none);
    let total: u32 = ran.values().sum();
    let tag = &question.tag;
    let mut violations = Vec::new();
    if !question.repeatable && total > 1 {
        violations.push(format!("at_most_once: {tag} ran {total} times"));
    }
    for what in ran.keys().filter(|what| !may_run_as(question, what)) {
        violations.push(format!(
            "ran_as_named: {tag} named {}, ran as {what}",
            question.what
        ));
    }
    match told {
        Told::NotRun { .. } if total > 0 => {
            violations.push(format!("not_run_means_not_run: {tag} ran {total} times"));
        }
        Told::Wrong(text) => {
            violations.push(format!("whole_answer_to_its_caller: {tag} got {text:?}"));
        }
        Told::Answered { .. } | Told::Ran if total == 0 => {
            violations.push(format!(
                "whole_answer_to_its_caller: {tag} answered, never ran"
            ));
        }
        Told::Answered { ran, .. } if !answers_to(question, ran) => {
            violations.push(format!("ran_as_named: {tag} answered as {ran}"));
        }
        Told::Answered { .. }
        | Told::BrokenOff
        | Told::NotRun { .. }
        | Told::Ran
        | Told::Unknown => {}
    }
    violations
}

fn answers_to(question: &Question, ran: &str) -> bool {
    *ran == question.what || ran.starts_with(&format!("{}@", question.what))
}

fn may_run_as(question: &Question, what: &str) -> bool {
    let service = question.what.strip_prefix("services/");
    service == Some(what) || answers_to(question, what)
}
