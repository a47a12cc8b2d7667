//! Log lines of `key=value` pairs, and metrics.

use crate::settings::LogLevel;
use crate::settings::TelemetrySettings;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use dogwoodshunt_types::invariant;
use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;
use std::io;
use std::net::UdpSocket;
use std::sync::Mutex;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "dogwoodshunt";

/// Log lines that may wait to be written.
const LOG_QUEUE: usize = 8192;

/// Writes what still waits to be logged when it is dropped.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Returns a logger that writes to standard output, and what a program drops
/// last so that no line is lost at its end.
pub fn logger(
    settings: &TelemetrySettings,
    program: &'static str,
    node: &str,
) -> (Logger, LogGuard) {
    let lines = slog_logfmt::Logfmt::new(io::stdout())
        .set_prefix(write_time)
        .build();
    // Whoever read the lines may end before this process, which is to go on
    // serving; there is no place left to say so.
    let drain = Mutex::new(lines).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain, level(settings.log_level)).ignore_res();
    let log = Logger::root(drain, o!("node" => node.to_owned(), "program" => program));
    (log, LogGuard { _guard: guard })
}

/// Returns a logger that drops everything, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns a client that sends metrics to the StatsD server of the settings.
///
/// # Errors
///
/// Fails if no socket can be opened or the address is unusable.
pub fn metrics(settings: &TelemetrySettings) -> Result<StatsdClient, cadence::MetricError> {
    let Some(address) = settings.statsd else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}

/// Logs violations of invariants that this process has counted.
#[derive(Debug, Default)]
pub struct ViolationWatch {
    seen: u64,
}

impl ViolationWatch {
    /// Logs violations that are new since the last look.
    pub fn look(&mut self, log: &Logger) {
        let violations = invariant::violation_count();
        if violations > self.seen {
            slog::error!(log, "invariant violated"; "violations" => violations);
            self.seen = violations;
        }
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
    }
}

fn write_time(f: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let millis = crate::boot::unix_millis();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        f,
        "ts_ms={millis} level={level} event=\"{}\" ",
        record.msg()
    )?;
    Ok(())
}
