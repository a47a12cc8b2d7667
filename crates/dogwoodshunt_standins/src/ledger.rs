//! Counts of what really ran.

use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// How often each request ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Runs by `WHAT RAN` and the request's prompt or body, joined by a space.
    pub runs: BTreeMap<String, u32>,
}

impl Runs {
    /// Returns how often `what` ran with `body`.
    pub fn count(&self, what: &str, body: &str) -> u32 {
        self.runs.get(&key(what, body)).copied().unwrap_or(0)
    }

    /// Returns how often a request with `body` ran, on anything.
    pub fn count_body(&self, body: &str) -> u32 {
        let suffix = format!(" {body}");
        let matching = self.runs.iter().filter(|(key, _)| key.ends_with(&suffix));
        matching.map(|(_, count)| count).sum()
    }
}

/// Record of what ran on one stand-in.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<Runs>,
}

impl Ledger {
    /// Records a run.
    pub fn record(&self, what: &str, body: &str) {
        *self.lock().runs.entry(key(what, body)).or_default() += 1;
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Runs {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(what: &str, body: &str) -> String {
    format!("{what} {body}")
}
