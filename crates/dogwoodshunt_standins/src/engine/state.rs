//! What an engine holds and what it runs.

use crate::faults::EngineFaults;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Base model that it holds.
    pub base_model: Box<str>,
    /// Adapters that fit at once.
    pub slots: usize,
    /// Requests that run at once.
    pub batch: usize,
    /// Time per generated token.
    pub token_time: Duration,
    /// Whether old fencing numbers are refused.
    pub check_fencing: bool,
}

/// What an engine has done so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Stats {
    /// Adapters loaded.
    pub loads: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Adapters unloaded while a request was using them.
    pub unloaded_in_use: u64,
    /// Orders refused for their old fencing number.
    pub fenced: u64,
    /// Requests started.
    pub started: u64,
    /// Seconds during which at least one request ran.
    pub busy_seconds: f64,
    /// Requests running, summed over time, in request seconds.
    pub request_seconds: f64,
    /// Distinct adapters running, summed over time, in adapter seconds.
    pub adapter_seconds: f64,
}

/// Why an order is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The fencing number is old.
    Fenced,
    /// The adapter is not loaded.
    Missing,
    /// No slot is free.
    Full,
    /// The load failed, as a test asked.
    Failed,
}

/// What an engine holds and what it runs.
#[derive(Debug)]
pub struct State {
    shape: Shape,
    boot: u64,
    loaded: BTreeSet<String>,
    loading: BTreeSet<String>,
    running: BTreeMap<String, usize>,
    highest_epoch: u64,
    fail_loads: u32,
    answer_as_version: Option<String>,
    end_streams_after: Option<u32>,
    stats: Stats,
    counted_until: Instant,
}

impl State {
    /// Creates an engine that holds no adapter.
    pub fn new(shape: Shape, boot: u64, now: Instant) -> Self {
        Self {
            shape,
            boot,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            highest_epoch: 0,
            fail_loads: 0,
            answer_as_version: None,
            end_streams_after: None,
            stats: Stats::default(),
            counted_until: now,
        }
    }

    /// Returns the size and speed.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns the boot.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns the adapters that are loaded.
    pub fn loaded(&self) -> &BTreeSet<String> {
        &self.loaded
    }

    /// Returns what the engine has done up to `now`.
    pub fn stats(&mut self, now: Instant) -> Stats {
        self.count(now);
        self.stats
    }

    /// Sets faults; `new_boot` is the boot after a restart.
    pub fn set_faults(&mut self, now: Instant, faults: &EngineFaults, new_boot: u64) {
        self.fail_loads = faults.fail_loads.unwrap_or(self.fail_loads);
        self.shape.check_fencing = faults.check_fencing.unwrap_or(self.shape.check_fencing);
        if let Some(version) = &faults.answer_as_version {
            self.answer_as_version = Some(version.clone()).filter(|text| !text.is_empty());
        }
        if let Some(tokens) = faults.end_streams_after {
            self.end_streams_after = Some(tokens).filter(|tokens| *tokens > 0);
        }
        if faults.restart {
            self.count(now);
            self.boot = new_boot;
            self.loaded.clear();
            self.loading.clear();
            self.running.clear();
            self.highest_epoch = 0;
        }
    }

    /// Checks the fencing number of an order.
    ///
    /// # Errors
    ///
    /// Refuses an old number if the engine checks them.
    pub fn check_epoch(&mut self, epoch: u64) -> Result<(), Refusal> {
        if self.shape.check_fencing && epoch < self.highest_epoch {
            self.stats.fenced += 1;
            return Err(Refusal::Fenced);
        }
        self.highest_epoch = self.highest_epoch.max(epoch);
        Ok(())
    }

    /// Begins to load `adapter`; returns whether it is loaded already.
    ///
    /// # Errors
    ///
    /// Refuses where no slot is free or a test asked for a failure.
    pub fn begin_load(&mut self, adapter: &str) -> Result<bool, Refusal> {
        if self.loaded.contains(adapter) {
            return Ok(true);
        }
        if self.fail_loads > 0 {
            self.fail_loads -= 1;
            return Err(Refusal::Failed);
        }
        if self.loaded.len() + self.loading.len() >= self.shape.slots {
            return Err(Refusal::Full);
        }
        self.loading.insert(adapter.to_owned());
        Ok(false)
    }

    /// Ends a load that began in `boot`.
    pub fn end_load(&mut self, boot: u64, adapter: &str, done: bool) {
        if boot != self.boot || !self.loading.remove(adapter) || !done {
            return;
        }
        self.loaded.insert(adapter.to_owned());
        self.stats.loads += 1;
    }

    /// Unloads `adapter`.
    ///
    /// # Errors
    ///
    /// Refuses where the adapter is not loaded.
    pub fn unload(&mut self, adapter: &str) -> Result<(), Refusal> {
        if !self.loaded.remove(adapter) {
            return Err(Refusal::Missing);
        }
        self.stats.unloads += 1;
        if self.running.contains_key(adapter) {
            self.stats.unloaded_in_use += 1;
        }
        Ok(())
    }

    /// Returns after how many tokens a stream ends without its last event.
    pub fn end_streams_after(&self) -> Option<u32> {
        self.end_streams_after
    }

    /// Returns whether `model` can run: the base model or a loaded adapter.
    pub fn holds(&self, model: &str) -> bool {
        *model == *self.shape.base_model || self.loaded.contains(model)
    }

    /// Returns the name that a run of `model` answers with.
    pub fn answers_as(&self, model: &str) -> String {
        match (&self.answer_as_version, model.split_once('@')) {
            (Some(version), Some((name, _))) => format!("{name}@{version}"),
            (Some(_), None) | (None, _) => model.to_owned(),
        }
    }

    /// Records that a run of `model` starts.
    pub fn start(&mut self, now: Instant, model: &str) {
        self.count(now);
        self.stats.started += 1;
        *self.running.entry(model.to_owned()).or_default() += 1;
    }

    /// Records that a run that began in `boot` has ended.
    pub fn end(&mut self, now: Instant, boot: u64, model: &str) {
        if boot != self.boot {
            return;
        }
        self.count(now);
        let Some(count) = self.running.get_mut(model) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running.remove(model);
        }
    }

    fn count(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_until);
        self.counted_until = now;
        let seconds = elapsed.as_secs_f64();
        let running: usize = self.running.values().sum();
        if running > 0 {
            self.stats.busy_seconds += seconds;
        }
        self.stats.request_seconds += seconds * running as f64;
        self.stats.adapter_seconds += seconds * self.running.len() as f64;
    }
}
