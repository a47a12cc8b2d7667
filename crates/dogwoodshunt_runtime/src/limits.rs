//! Settings, metrics and logs of the limits on clients.

use crate::settings::InvalidSetting;
use crate::settings::validate_range;
use dogwoodshunt_border::http::limits::LimitEvent;
use dogwoodshunt_border::http::limits::LimitObserver;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_limits::Limits;
use dogwoodshunt_limits::limits::CONNECTION_BYTES;
use dogwoodshunt_limits::limits::MIN_BUDGET;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Deserialize;
use slog::Logger;
use slog::warn;
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Memory of a host whose settings do not state it, in MB.
const DEFAULT_MEMORY_MB: f64 = 512.0;

/// Descriptors of a host whose settings do not state them.
const DEFAULT_DESCRIPTORS: u64 = 8_192;

/// Range of the memory of a host, in MB. Below 76 MB the smallest budget is used.
const MEMORY_MB: RangeInclusive<f64> = 32.0..=1_048_576.0;

/// Descriptors below which too few connections are left beside those for files.
const MIN_DESCRIPTORS: u64 = 256;

/// Time between two log lines of one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits on clients. What is absent is derived from the memory and descriptors of the host.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Memory of the host, in MB.
    pub memory_mb: Option<f64>,
    /// File descriptors of the process.
    pub descriptors: Option<u64>,
    /// Bytes buffered for clients and their connections, in KiB.
    pub budget_kb: Option<u64>,
    /// Maximum number of callers' connections.
    pub connections: Option<u64>,
    /// Maximum number of connections of each other listener.
    pub other_connections: Option<u64>,
    /// Time after which a body without progress is given up, in milliseconds.
    pub body_stall_ms: Option<u64>,
    /// Average rate below which a body is given up after `body_stall_ms`, in bytes/s.
    pub body_bytes_per_s: Option<u64>,
    /// Time after which a connection is closed to whose peer nothing could be written, in
    /// milliseconds.
    pub write_stall_ms: Option<u64>,
}

impl LimitSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let min_budget_kb = MIN_BUDGET as u64 / 1_024;
        for (field, value, min, max) in [
            (
                "limits.descriptors",
                self.descriptors,
                MIN_DESCRIPTORS,
                1 << 20,
            ),
            ("limits.budget_kb", self.budget_kb, min_budget_kb, 1 << 30),
            ("limits.connections", self.connections, 1, 1 << 20),
            (
                "limits.other_connections",
                self.other_connections,
                4,
                1 << 16,
            ),
            ("limits.body_stall_ms", self.body_stall_ms, 1_000, 600_000),
            ("limits.body_bytes_per_s", self.body_bytes_per_s, 0, 1 << 20),
            ("limits.write_stall_ms", self.write_stall_ms, 1_000, 600_000),
        ] {
            if let Some(value) = value {
                validate_range(field, value, min, max)?;
            }
        }
        if self
            .memory_mb
            .is_some_and(|memory| !MEMORY_MB.contains(&memory))
        {
            let message = "must lie between 32 and 1048576";
            return Err(InvalidSetting::new("limits.memory_mb", message));
        }
        let limits = self.limits();
        if limits.connections * CONNECTION_BYTES > limits.budget / 2 {
            let message = format!(
                "{} connections of {CONNECTION_BYTES} bytes take more than half of the budget of \
                 {} bytes",
                limits.connections, limits.budget
            );
            return Err(InvalidSetting::new("limits.connections", message));
        }
        Ok(())
    }

    /// Returns the limits of the process.
    pub fn limits(&self) -> Limits {
        let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        // Validated to be a positive number that fits.
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(0.0) as u64 * (1 << 20);
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS).min(allowed);
        let mut limits = Limits::of_host(size(memory), size(descriptors));
        if let Some(kib) = self.budget_kb {
            limits.budget = size(kib).saturating_mul(1_024);
            limits.small_reserve = limits.budget / 4;
        }
        if let Some(count) = self.connections {
            limits.connections = size(count);
        }
        if let Some(count) = self.other_connections {
            limits.other_connections = size(count);
        }
        if let Some(millis) = self.body_stall_ms {
            limits.body_stall = Duration::from_millis(millis);
        }
        if let Some(rate) = self.body_bytes_per_s {
            limits.body_rate = size(rate);
        }
        if let Some(millis) = self.write_stall_ms {
            limits.write_stall = Duration::from_millis(millis);
        }
        limits
    }
}

/// Label of the limit that a client reached.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LimitLabel {
    limit: &'static str,
}

/// Creates the budget of a process that counts what clients reach in `registry`.
pub fn process_limits(
    settings: &LimitSettings,
    registry: &mut Registry,
    log: &Logger,
) -> Arc<ProcessLimits> {
    let reached = Family::<LimitLabel, Counter>::default();
    let help = "Limits that clients reached, by limit";
    registry.register("client_limits", help, reached.clone());
    let observer = logged(log, move |event| {
        let limit = event.as_str();
        reached.get_or_create(&LimitLabel { limit }).inc();
    });
    ProcessLimits::new(settings.limits(), observer)
}

/// Returns an observer that calls `count` and logs each limit at most once in 10 s, with
/// the number of times that it was reached since.
pub fn logged(log: &Logger, count: impl Fn(LimitEvent) + Send + Sync + 'static) -> LimitObserver {
    let log = log.clone();
    let lines: Mutex<HashMap<LimitEvent, (Instant, u64)>> = Mutex::default();
    Box::new(move |event| {
        count(event);
        let now = Instant::now();
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        let (logged_at, times) = lines.entry(event).or_insert((now, 0));
        *times += 1;
        let is_first = *logged_at == now;
        if is_first || now.saturating_duration_since(*logged_at) >= LOG_INTERVAL {
            warn!(log, "client reached a limit"; "limit" => event.as_str(), "times" => *times);
            (*logged_at, *times) = (now, 0);
        }
    })
}
