//! Counts of the requests that a stand-in has executed.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Number of executions of each request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Executions by `TARGET BODY`: the model or service that ran and the
    /// request's prompt or body.
    pub runs: BTreeMap<String, u32>,
}

impl RunCounts {
    /// Returns how often `target` ran with `body`.
    pub fn count(&self, target: &str, body: &str) -> u32 {
        self.runs.get(&run_key(target, body)).copied().unwrap_or(0)
    }

    /// Returns how often a request with `body` ran on any target.
    pub fn count_body(&self, body: &str) -> u32 {
        let suffix = format!(" {body}");
        let matching = self.runs.iter().filter(|(key, _)| key.ends_with(&suffix));
        matching.map(|(_, count)| count).sum()
    }
}

/// Counts the requests that one stand-in executes.
#[derive(Debug, Default)]
pub struct RunCounter {
    counts: Mutex<RunCounts>,
}

impl RunCounter {
    /// Counts one execution of `body` by `target`.
    pub fn record(&self, target: &str, body: &str) {
        *self.lock().runs.entry(run_key(target, body)).or_default() += 1;
    }

    /// Returns the counts so far.
    pub fn snapshot(&self) -> RunCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, RunCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn run_key(target: &str, body: &str) -> String {
    format!("{target} {body}")
}
