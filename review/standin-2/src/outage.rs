//! Case of a configuration that comes right after the platform's store was down.

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
const CONFIG_APPLY_MS: u64 = 2_000;
const HEARTBEAT_MS: u64 = 1_200;

/// Longest outage of the store in the site file.
const MAX_OUTAGE_MS: u64 = 8_000;

/// Time from the entry's last watch to the beginning of an outage.
const WATCH_AGE_MS: u64 = 900;

const OUTAGES: u64 = 5;

const SERVICES: [&str; 2] = ["order-desk", "order-desk-b"];

const REQUEST: &str = "POST /desk/commit HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 1000\r\nContent-Type: application/json\r\n";

/// Returns a configuration whose route leads to `service`.
fn config(version: u64, service: &str) -> String {
    let services = SERVICES.map(|name| {
        format!(r#"{{"name":"{name}","health_path":"/health","max_connections":100}}"#)
    });
    format!(
        r#"{{"version":{version},"routes":[{{"name":"desk","host":"desk.example","prefix":"/desk/","service":"{service}","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"max_attempts":1,"priority":2}}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        services.join(",")
    )
}

/// A configuration that the store has accepted.
struct Change {
    old_service: &'static str,
    /// From when on requests have to be handled by it.
    binds_from: u64,
    /// Until when no newer one is written.
    until: u64,
}

/// Plays the case; returns whether the rule held.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, Problem> {
    let store = Store::start(record);
    store.put("op/config", &config(1, SERVICES[0]));
    let mut runners: Vec<(&str, Arc<Runner>)> = Vec::new();
    for (index, service) in SERVICES.iter().enumerate() {
        for zone in ["kicukiro", "gasabo"] {
            let id = format!("i-{index}{}", &zone[..2]);
            let runner = Runner::start(&id, service, zone, 30, record);
            runner.beat_every(Duration::from_millis(HEARTBEAT_MS), &store);
            runners.push((service, runner));
        }
    }
    let proxy = Proxy::start(store.address, record);
    let mut entry = Entry::start(root, folder, proxy.address)?;
    entry.wait_until_ready(record)?;
    let period = Duration::from_millis(100);
    let clients = Clients::start(20, period, entry.callers, REQUEST, record);
    std::thread::sleep(Duration::from_secs(1));
    let mut changes = Vec::new();
    for outage in 0..OUTAGES {
        let watches = wait_for_watch(&proxy, record);
        let down_at = record.now();
        if trouble {
            proxy.set_down(true);
            record.add("the store is down: it answers nothing");
            // It is back right after the entry has sent its third watch in vain.
            while proxy.operator_watches().0 < watches + 3
                && record.now() + 25 < down_at + MAX_OUTAGE_MS
            {
                std::thread::sleep(Duration::from_millis(2));
            }
            std::thread::sleep(Duration::from_millis(20));
            proxy.set_down(false);
            let lasted = record.now() - down_at;
            record.add(format!("the store is back after {lasted} ms"));
        }
        let back_at = record.now();
        std::thread::sleep(Duration::from_millis(300));
        let (old, new) = match outage % 2 {
            0 => (SERVICES[0], SERVICES[1]),
            _ => (SERVICES[1], SERVICES[0]),
        };
        store.put("op/config", &config(2 + outage, new));
        let acked_at = record.now();
        record.add_at(
            acked_at,
            format!("the store has accepted version {}: to {new}", 2 + outage),
        );
        record.sleep_until(back_at + CONTACT_MS + 1_200);
        changes.push(Change {
            old_service: old,
            binds_from: (acked_at + CONFIG_APPLY_MS).max(back_at + CONTACT_MS),
            until: record.now(),
        });
    }
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
    let mut broken = 0;
    for (change, number) in changes.iter().zip(1..) {
        let bound = attempts
            .iter()
            .filter(|a| a.sent_at > change.binds_from && a.sent_at < change.until);
        let mut stale = 0;
        let mut last = 0;
        for attempt in bound {
            let old = runners.iter().filter(|(s, _)| *s == change.old_service);
            let mut runs = old.flat_map(|(_, runner)| runner.runs.lock().unwrap().clone());
            if runs.any(|run| run.id == attempt.id) {
                stale += 1;
                last = attempt.sent_at - change.binds_from;
            }
        }
        record.add(format!(
            "RESULT {number}: {stale} requests were run by {} although they were sent after the \
             bound of the configuration, the last one {last} ms after it",
            change.old_service
        ));
        broken += u32::from(stale > 0);
    }
    record.add(format!(
        "RESULT: the rule was broken after {broken} of {OUTAGES} outages"
    ));
    Ok(broken == 0)
}

/// Waits until the entry's last watch of the operators' records is as old as it shall be; returns the
/// number of watches.
fn wait_for_watch(proxy: &Proxy, record: &Record) -> u64 {
    loop {
        let (count, at) = proxy.operator_watches();
        let age = record.now().saturating_sub(at);
        if (WATCH_AGE_MS..WATCH_AGE_MS + 20).contains(&age) {
            return count;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}
