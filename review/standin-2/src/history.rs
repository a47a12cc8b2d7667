//! Case of a configuration that has grown and then stays as it is for longer than the history of the
//! store, at an entry whose link is that of a small machine.

use crate::client::Clients;
use crate::link::Link;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use crate::system::{Entry, Problem, SMALL_EDGE};
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the site swl-acquiring-grown.
const CONFIG_APPLY_MS: u64 = 3_000;
const RECOVER_MS: u64 = 15_000;
const HEARTBEAT_MS: u64 = 1_200;

/// History of the store, and the time without a change of the configuration, which is longer.
const HISTORY_S: u64 = 20;
const QUIET_MS: u64 = 23_000;

/// Link of the 36 smaller machines of class `edge`, in Mbit/s.
const LINK_MBIT: f64 = 10.0;

/// Longest value that the store takes (`platform.value_bytes`).
const VALUE_BYTES: usize = 1_048_576;

/// Number of routes at first, and by which a change lets them grow (`big_config`, `count`).
const FIRST_ROUTES: usize = 49;
const MORE_ROUTES: usize = 1_400;
const GROWTHS: usize = 4;

/// Time for which the last configuration is watched.
const WATCHED_MS: u64 = 20_000;

const SERVICES: [&str; 2] = ["acq-core", "acq-core-b"];

const REQUEST: &str = "POST /capture/book HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: 1000\r\nContent-Type: application/json\r\n";

/// Returns a configuration whose route of the clients leads to `service`.
fn config(version: u64, route_count: usize, service: &str) -> String {
    let mut routes = format!(
        r#"{{"name":"capture","host":"shop.example","prefix":"/capture/","service":"{service}","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":120,"max_attempts":1,"priority":2}}"#
    );
    for number in 1..route_count {
        let _ = write!(
            routes,
            r#",{{"name":"r-{number:07}","host":"shop.example","prefix":"/b{number:04}/","service":"acq-core","kind":"idempotent","timeout_ms":1000,"target_latency_ms":120,"max_attempts":1,"priority":2}}"#
        );
    }
    let services = SERVICES.map(|name| {
        format!(r#"{{"name":"{name}","health_path":"/health","max_connections":355}}"#)
    });
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        services.join(",")
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, Problem> {
    let store = Store::start_with(record, Some(Duration::from_secs(HISTORY_S)));
    store.put("op/config", &config(1, FIRST_ROUTES, SERVICES[0]));
    let mut runners: Vec<(&str, Arc<Runner>)> = Vec::new();
    for (index, service) in SERVICES.iter().enumerate() {
        for zone in ["lan-a", "lan-b", "fsg-c"] {
            let id = format!("i-{index}{zone}");
            let runner = Runner::start(&id, service, zone, 15, record);
            runner.beat_every(Duration::from_millis(HEARTBEAT_MS), &store);
            runners.push((service, runner));
        }
    }
    let link = Link::start(store.address, LINK_MBIT);
    let mut entry = Entry::start_with(root, folder, link.address, &SMALL_EDGE)?;
    entry.wait_until_ready(record)?;
    let period = Duration::from_millis(100);
    let clients = Clients::start(6, period, entry.callers, REQUEST, record);
    let mut version = 1;
    let mut routes = FIRST_ROUTES;
    for _ in 0..GROWTHS {
        if trouble {
            version += 1;
            routes += MORE_ROUTES;
            let text = config(version, routes, SERVICES[0]);
            if text.len() > VALUE_BYTES {
                return Err("the configuration is too long for the store".into());
            }
            store.put("op/config", &text);
            record.add(format!(
                "the store has accepted version {version}: {routes} routes, {} bytes",
                text.len()
            ));
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    record.add("the configuration stays as it is");
    std::thread::sleep(Duration::from_millis(QUIET_MS));
    version += 1;
    store.put("op/config", &config(version, routes, SERVICES[1]));
    let acked_at = record.now();
    record.add(format!(
        "the store has accepted version {version}: the route of the clients leads to {}",
        SERVICES[1]
    ));
    let binds_from = acked_at + CONFIG_APPLY_MS;
    record.sleep_until(binds_from + WATCHED_MS);
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
    let old = runners.iter().filter(|(s, _)| *s == SERVICES[0]);
    let old_runs: Vec<String> = old
        .flat_map(|(_, runner)| runner.runs.lock().unwrap().clone())
        .map(|run| run.id)
        .collect();
    let bound: Vec<_> = attempts.iter().filter(|a| a.sent_at > binds_from).collect();
    let stale: Vec<_> = bound.iter().filter(|a| old_runs.contains(&a.id)).collect();
    let last = stale.iter().map(|a| a.sent_at).max().unwrap_or(binds_from);
    record.add(format!(
        "RESULT: {} of {} requests that were sent later than {CONFIG_APPLY_MS} ms after the \
         acknowledgement of version {version} were run by {}, the last one {} ms after it",
        stale.len(),
        bound.len(),
        SERVICES[0],
        last - acked_at
    ));
    if trouble {
        show_restart(&mut entry, root, record)?;
    }
    Ok(stale.is_empty())
}

/// Kills the entry, starts it again and records whether it gets ready; this is not judged.
fn show_restart(entry: &mut Entry, root: &Path, record: &Record) -> Result<(), Problem> {
    entry.restart(root)?;
    let restarted_at = record.now();
    record.add("the entry was killed and is started again");
    while record.now() < restarted_at + RECOVER_MS {
        if entry.is_ready() {
            let took = record.now() - restarted_at;
            record.add(format!("NOT JUDGED: it is ready after {took} ms"));
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.add(format!(
        "NOT JUDGED: it is not ready {RECOVER_MS} ms (recover_s) after its start"
    ));
    Ok(())
}
