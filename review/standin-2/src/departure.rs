//! Cases of runners of a plain service that leave around the time at which the entry's connections to
//! the store go silent for good, without a reset, while new ones work.

use crate::client::Clients;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use crate::system::{Entry, Problem};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the site inyange-orders.
const CONTACT_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const HEARTBEAT_MS: u64 = 1_200;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"desk","host":"desk.example","prefix":"/desk/","service":"order-desk","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"max_attempts":1,"priority":2}],"services":[{"name":"order-desk","health_path":"/health","max_connections":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const REQUEST: &str = "POST /desk/commit HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 1000\r\nContent-Type: application/json\r\n";

/// How a runner leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Whether the runner reports `draining`; else its entry is removed.
    pub reports: bool,
    /// When the connections go silent, before that. With 0, they go silent right after it.
    pub silent_before_ms: u64,
    /// How long it goes on beyond `drain_ms`.
    pub linger_ms: u64,
}

/// Plays the case; returns whether the rule held.
pub fn play(
    root: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
    departure: Departure,
) -> Result<bool, Problem> {
    let store = Store::start(record);
    store.put("op/config", CONFIG);
    let zones = ["kicukiro", "gasabo", "nyarugenge", "masaka"];
    let runners: Vec<Arc<Runner>> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            Runner::start(&format!("i-{index}a5e"), "order-desk", zone, 30, record)
        })
        .collect();
    for runner in &runners {
        runner.beat_every(Duration::from_millis(HEARTBEAT_MS), &store);
        std::thread::sleep(Duration::from_millis(HEARTBEAT_MS / 4));
    }
    let proxy = Proxy::start(store.address, record);
    let mut entry = Entry::start(root, folder, proxy.address)?;
    entry.wait_until_ready(record)?;
    let clients = Clients::start(
        12,
        Duration::from_millis(100),
        entry.callers,
        REQUEST,
        record,
    );
    record.sleep_until(record.now() + 3_500);
    // The runner of the entry's own zone.
    let leaving = &runners[0];
    let leave = || match departure.reports {
        true => leaving.report_draining(&store),
        false => leaving.remove_entry(&store),
    };
    let fall_silent = || {
        if trouble {
            let count = proxy.silence_open_connections();
            record.add(format!(
                "the {count} open connections to the store go silent"
            ));
        }
        record.now()
    };
    let (left_at, silent_at) = if departure.silent_before_ms == 0 {
        let left_at = leave();
        (left_at, fall_silent())
    } else {
        let silent_at = fall_silent();
        record.sleep_until(silent_at + departure.silent_before_ms);
        (leave(), silent_at)
    };
    record.sleep_until(left_at + DRAIN_MS + departure.linger_ms);
    leaving.exit();
    std::thread::sleep(Duration::from_millis(1_500));
    let is_running = entry.is_running();
    let attempts = clients.stop();
    if !is_running {
        return Err("the entry has ended".into());
    }
    let answered = attempts.iter().filter(|a| a.status == 200).count();
    record.add(format!(
        "{} requests, {answered} answered with 200",
        attempts.len()
    ));
    if answered < attempts.len() / 2 {
        return Err("the system did not serve".into());
    }
    // Requests that a machine in touch has taken and that reach the runner too late.
    let in_touch_from = silent_at + CONTACT_MS;
    let sent_at = |id: &str| attempts.iter().find(|a| a.id == id).map(|a| a.sent_at);
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.at > left_at + DRAIN_MS)
        .filter(|run| sent_at(&run.id).is_some_and(|at| at >= in_touch_from))
        .collect();
    let lost = late.iter().filter(|run| {
        let attempt = attempts.iter().find(|a| a.id == run.id);
        attempt.is_none_or(|a| a.status != 200)
    });
    let last = late.iter().map(|run| run.at - left_at).max().unwrap_or(0);
    record.add(format!(
        "RESULT: {} requests reached {} later than {DRAIN_MS} ms after its departure was acknowledged, \
         the last one after {last} ms; {} of them ran and got no answer of the runner",
        late.len(),
        leaving.id,
        lost.count()
    ));
    Ok(late.is_empty())
}
