//! Loaded adapters, running requests and usage counters of an engine.

use crate::faults::EngineFaults;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Base model that the engine serves.
    pub base_model: Box<str>,
    /// Maximum number of adapters loaded or loading at once.
    pub slots: usize,
    /// Maximum number of requests that run at once.
    pub batch: usize,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Whether the engine refuses orders with an outdated fencing token.
    pub check_fencing: bool,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineStats {
    /// Adapters loaded.
    pub loads: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Adapters unloaded while a request was using them.
    pub unloaded_in_use: u64,
    /// Orders refused because of an outdated fencing token.
    pub fenced: u64,
    /// Requests started.
    pub started: u64,
    /// Seconds during which at least one request ran.
    pub busy_seconds: f64,
    /// Integral of the number of running requests over time, in seconds.
    pub request_seconds: f64,
    /// Integral of the number of distinct running models over time, in seconds.
    pub adapter_seconds: f64,
}

/// Reason for which an engine refuses a request or an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineError {
    /// A higher fencing token was seen before.
    StaleToken,
    /// The model or adapter is not loaded.
    NotLoaded,
    /// No slot is free.
    NoFreeSlot,
    /// The load failed, through an injected fault or the weight store.
    LoadFailed,
}

/// State of an engine.
#[derive(Debug)]
pub struct State {
    config: EngineConfig,
    boot_id: u64,
    loaded_adapters: BTreeSet<String>,
    loading_adapters: BTreeSet<String>,
    runs_by_model: BTreeMap<String, usize>,
    highest_fencing_token: u64,
    loads_to_fail: u32,
    answer_as_version: Option<String>,
    end_streams_after: Option<u32>,
    stats: EngineStats,
    usage_updated_at: Instant,
}

impl State {
    /// Creates the state of an engine without adapters.
    pub fn new(config: EngineConfig, boot_id: u64, now: Instant) -> Self {
        Self {
            config,
            boot_id,
            loaded_adapters: BTreeSet::new(),
            loading_adapters: BTreeSet::new(),
            runs_by_model: BTreeMap::new(),
            highest_fencing_token: 0,
            loads_to_fail: 0,
            answer_as_version: None,
            end_streams_after: None,
            stats: EngineStats::default(),
            usage_updated_at: now,
        }
    }

    /// Returns the capacity and speed of the engine.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Returns the id of the current boot; a restart changes the id.
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Returns the adapters that are loaded.
    pub fn loaded_adapters(&self) -> &BTreeSet<String> {
        &self.loaded_adapters
    }

    /// Returns the counters, updated to `now`.
    pub fn stats(&mut self, now: Instant) -> EngineStats {
        self.update_usage(now);
        self.stats
    }

    /// Applies `faults`; a restart changes the boot id to `new_boot_id`.
    pub fn set_faults(&mut self, now: Instant, faults: &EngineFaults, new_boot_id: u64) {
        self.loads_to_fail = faults.fail_loads.unwrap_or(self.loads_to_fail);
        self.config.check_fencing = faults.check_fencing.unwrap_or(self.config.check_fencing);
        if let Some(version) = &faults.answer_as_version {
            self.answer_as_version = Some(version.clone()).filter(|text| !text.is_empty());
        }
        if let Some(tokens) = faults.end_streams_after {
            self.end_streams_after = Some(tokens).filter(|tokens| *tokens > 0);
        }
        if faults.restart {
            self.update_usage(now);
            self.boot_id = new_boot_id;
            self.loaded_adapters.clear();
            self.loading_adapters.clear();
            self.runs_by_model.clear();
            self.highest_fencing_token = 0;
        }
    }

    /// Checks the fencing token of an order.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::StaleToken`] if the engine checks tokens and
    /// has seen a higher one.
    pub fn check_fencing_token(&mut self, fencing_token: u64) -> Result<(), EngineError> {
        if self.config.check_fencing && fencing_token < self.highest_fencing_token {
            self.stats.fenced += 1;
            return Err(EngineError::StaleToken);
        }
        self.highest_fencing_token = self.highest_fencing_token.max(fencing_token);
        Ok(())
    }

    /// Starts to load `adapter`; returns whether the adapter is already loaded.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::LoadFailed`] if a test injected a failure, or
    /// [`EngineError::NoFreeSlot`] if all slots are taken.
    pub fn begin_load(&mut self, adapter: &str) -> Result<bool, EngineError> {
        if self.loaded_adapters.contains(adapter) {
            return Ok(true);
        }
        if self.loads_to_fail > 0 {
            self.loads_to_fail -= 1;
            return Err(EngineError::LoadFailed);
        }
        if self.loaded_adapters.len() + self.loading_adapters.len() >= self.config.slots {
            return Err(EngineError::NoFreeSlot);
        }
        self.loading_adapters.insert(adapter.to_owned());
        Ok(false)
    }

    /// Ends a load that started in the boot `boot_id`; a load of an earlier boot
    /// has no effect.
    pub fn end_load(&mut self, boot_id: u64, adapter: &str, succeeded: bool) {
        if boot_id != self.boot_id || !self.loading_adapters.remove(adapter) || !succeeded {
            return;
        }
        self.loaded_adapters.insert(adapter.to_owned());
        self.stats.loads += 1;
    }

    /// Unloads `adapter`.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::NotLoaded`] if the adapter is not loaded.
    pub fn unload(&mut self, adapter: &str) -> Result<(), EngineError> {
        if !self.loaded_adapters.remove(adapter) {
            return Err(EngineError::NotLoaded);
        }
        self.stats.unloads += 1;
        if self.runs_by_model.contains_key(adapter) {
            self.stats.unloaded_in_use += 1;
        }
        Ok(())
    }

    /// Returns the number of tokens after which a stream ends without its final
    /// event, if this fault is set.
    pub fn end_streams_after(&self) -> Option<u32> {
        self.end_streams_after
    }

    /// Returns whether `model` is the base model or a loaded adapter.
    pub fn can_serve(&self, model: &str) -> bool {
        *model == *self.config.base_model || self.loaded_adapters.contains(model)
    }

    /// Returns the model name that responses to a request for `model` carry.
    pub fn reported_model(&self, model: &str) -> String {
        match (&self.answer_as_version, model.split_once('@')) {
            (Some(version), Some((name, _))) => format!("{name}@{version}"),
            (Some(_), None) | (None, _) => model.to_owned(),
        }
    }

    /// Records the start of a run of `model`.
    pub fn begin_run(&mut self, now: Instant, model: &str) {
        self.update_usage(now);
        self.stats.started += 1;
        *self.runs_by_model.entry(model.to_owned()).or_default() += 1;
    }

    /// Records the end of a run that started in the boot `boot_id`; a run of an
    /// earlier boot is ignored, since a restart drops all runs.
    pub fn end_run(&mut self, now: Instant, boot_id: u64, model: &str) {
        if boot_id != self.boot_id {
            return;
        }
        self.update_usage(now);
        let Some(count) = self.runs_by_model.get_mut(model) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.runs_by_model.remove(model);
        }
    }

    fn update_usage(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.usage_updated_at);
        self.usage_updated_at = now;
        let seconds = elapsed.as_secs_f64();
        let running: usize = self.runs_by_model.values().sum();
        if running > 0 {
            self.stats.busy_seconds += seconds;
        }
        self.stats.request_seconds += seconds * running as f64;
        self.stats.adapter_seconds += seconds * self.runs_by_model.len() as f64;
    }
}
