//! Comparison of the outcomes that callers saw with the requests that ran.

use crate::caller::CallerOutcome;
use crate::caller::CallerRequest;
use crate::cluster::Cluster;
use dogwoodshunt_standins::run_counts::RunCounts;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCounts {
    /// Complete responses.
    pub answered: usize,
    /// Connections that failed and responses that ended early.
    pub incomplete: usize,
    /// Errors which state that the request was not run.
    pub not_run: usize,
    /// Errors which state that the request ran.
    pub ran: usize,
    /// Errors which state no outcome, and responses to another request.
    pub unknown: usize,
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered={} not_run={} unknown={} ran={} broken_off={}",
            self.answered, self.not_run, self.unknown, self.ran, self.incomplete
        )
    }
}

/// Records requests with their outcomes; clones share the records.
#[derive(Clone, Debug, Default)]
pub struct ConsistencyChecker {
    records: Arc<Mutex<Vec<(CallerRequest, CallerOutcome)>>>,
}

impl ConsistencyChecker {
    /// Creates a checker without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of a request.
    pub fn record(&self, request: CallerRequest, outcome: CallerOutcome) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push((request, outcome));
    }

    /// Returns all requests with their outcomes, in the order of their recording.
    pub fn records(&self) -> Vec<(CallerRequest, CallerOutcome)> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }

    /// Returns the numbers of requests by outcome.
    pub fn counts(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for (_, outcome) in self.records() {
            match outcome {
                CallerOutcome::Answered { .. } => counts.answered += 1,
                CallerOutcome::Incomplete => counts.incomplete += 1,
                CallerOutcome::NotRun { .. } => counts.not_run += 1,
                CallerOutcome::Ran => counts.ran += 1,
                CallerOutcome::Unknown | CallerOutcome::Mismatched(_) => counts.unknown += 1,
            }
        }
        counts
    }

    /// Returns a description of each violated invariant: contradictions between
    /// outcomes and executions, and adapters unloaded while in use.
    ///
    /// # Panics
    ///
    /// Panics if a stand-in does not return its run counts.
    pub async fn violations(&self, cluster: &Cluster) -> Vec<String> {
        let runs = fetch_runs(cluster).await;
        let records = self.records();
        let mut violations: Vec<String> = records
            .iter()
            .flat_map(|(request, outcome)| check_record(request, outcome, &runs))
            .collect();
        violations.extend(unloads_in_use(cluster).await);
        violations
    }
}

/// Numbers of executions by request tag, then by the model or service that ran.
type RunsByTag = BTreeMap<String, BTreeMap<String, u32>>;

async fn fetch_runs(cluster: &Cluster) -> RunsByTag {
    let mut by_tag = RunsByTag::new();
    let hosts = cluster.agents.iter();
    for address in hosts.flat_map(|host| [host.engine_address, host.service_address]) {
        let value = cluster.get_standin(address, "/standin/ran").await;
        let runs = value
            .ok()
            .and_then(|value| serde_json::from_value::<RunCounts>(value).ok());
        let Some(runs) = runs else {
            panic!("stand-in {address} did not return its run counts");
        };
        for (key, count) in runs.runs {
            let (target, tag) = key.split_once(' ').unwrap_or((&key, ""));
            let runs_by_target = by_tag.entry(tag.to_owned()).or_default();
            *runs_by_target.entry(target.to_owned()).or_default() += count;
        }
    }
    by_tag
}

async fn unloads_in_use(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for host in &cluster.agents {
        let stats = cluster
            .get_standin(host.engine_address, "/standin/stats")
            .await;
        let unloaded_in_use = stats.unwrap_or_default()["unloaded_in_use"].as_u64();
        if unloaded_in_use != Some(0) {
            violations.push(format!(
                "{}: adapters unloaded while in use: {unloaded_in_use:?}",
                host.name
            ));
        }
    }
    violations
}

fn check_record(request: &CallerRequest, outcome: &CallerOutcome, runs: &RunsByTag) -> Vec<String> {
    let no_runs = BTreeMap::new();
    let runs_by_target = runs.get(&request.tag).unwrap_or(&no_runs);
    let total: u32 = runs_by_target.values().sum();
    let tag = &request.tag;
    let mut violations = Vec::new();
    if !request.repeatable && total > 1 {
        violations.push(format!("at_most_once: {tag} ran {total} times"));
    }
    for target in runs_by_target
        .keys()
        .filter(|target| !may_run_as(request, target))
    {
        violations.push(format!(
            "ran_as_named: {tag} requested {}, ran as {target}",
            request.target
        ));
    }
    match outcome {
        CallerOutcome::NotRun { .. } if total > 0 => {
            violations.push(format!("not_run_means_not_run: {tag} ran {total} times"));
        }
        CallerOutcome::Mismatched(text) => {
            violations.push(format!("whole_answer_to_its_caller: {tag} got {text:?}"));
        }
        CallerOutcome::Answered { .. } | CallerOutcome::Ran if total == 0 => {
            violations.push(format!(
                "whole_answer_to_its_caller: {tag} reported as run, but never ran"
            ));
        }
        CallerOutcome::Answered { ran, .. } if !matches_target(request, ran) => {
            violations.push(format!("ran_as_named: {tag} was answered by {ran}"));
        }
        CallerOutcome::Answered { .. }
        | CallerOutcome::Incomplete
        | CallerOutcome::NotRun { .. }
        | CallerOutcome::Ran
        | CallerOutcome::Unknown => {}
    }
    violations
}

fn matches_target(request: &CallerRequest, ran: &str) -> bool {
    *ran == request.target || ran.starts_with(&format!("{}@", request.target))
}

fn may_run_as(request: &CallerRequest, target: &str) -> bool {
    let service = request.target.strip_prefix("services/");
    service == Some(target) || matches_target(request, target)
}
