//! Loggers that write logfmt lines, and the StatsD client.

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

/// Prefix of the names of all StatsD metrics.
const METRIC_PREFIX: &str = "dogwoodshunt";

/// Capacity, in lines, of the queue to the log writer. Lines that do not fit are dropped, and their
/// number is logged.
const LOG_QUEUE_CAPACITY: usize = 8192;

/// Guard of the log writer; dropping the guard writes the queued log lines.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Returns a logger that writes to standard output, and its guard. A program drops the guard last,
/// so that no line is lost when the program ends.
pub fn logger(
    settings: &TelemetrySettings,
    program: &'static str,
    node: &str,
) -> (Logger, LogGuard) {
    let logfmt = slog_logfmt::Logfmt::new(io::stdout())
        .set_prefix(write_line_prefix)
        .build();
    // Write errors are ignored: the reader of standard output may end before this process, which
    // must continue to serve and has nowhere to report the error.
    let drain = Mutex::new(logfmt).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain, slog_level(settings.log_level)).ignore_res();
    let log = Logger::root(drain, o!("node" => node.to_owned(), "program" => program));
    (log, LogGuard { _guard: guard })
}

/// Returns a logger that discards all lines, for tests.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns a client that sends metrics to the StatsD server in the settings. Without a server, the
/// client discards all metrics.
///
/// # Errors
///
/// Fails if no UDP socket can be opened or the address is invalid.
pub fn statsd_client(settings: &TelemetrySettings) -> Result<StatsdClient, cadence::MetricError> {
    let Some(address) = settings.statsd else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}

/// Logs increases of the number of invariant violations counted in this process.
#[derive(Debug, Default)]
pub struct ViolationMonitor {
    last_logged: u64,
}

impl ViolationMonitor {
    /// Logs the number of violations if it has increased since the last call.
    pub fn log_new_violations(&mut self, log: &Logger) {
        let violations = invariant::violation_count();
        if violations > self.last_logged {
            slog::error!(log, "invariant violated"; "violations" => violations);
            self.last_logged = violations;
        }
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
    }
}

fn write_line_prefix(f: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let millis = crate::nondeterminism::unix_millis();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        f,
        "ts_ms={millis} level={level} event=\"{}\" ",
        record.msg()
    )?;
    Ok(())
}
