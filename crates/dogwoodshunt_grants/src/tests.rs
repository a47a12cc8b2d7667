//! Tests of the order and the limits of granted loads.

use crate::Granter;
use crate::GranterSettings;
use dogwoodshunt_residency::PendingLoad;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use std::time::Duration;
use std::time::Instant;

fn pending_load(name: &str, waiting: u32) -> PendingLoad {
    PendingLoad {
        adapter: AdapterRef::new(name, "1"),
        waiting,
        oldest: Duration::from_millis(100),
        priority: Priority::Normal,
    }
}

fn report(pending_loads: Vec<PendingLoad>, loading: &[&str]) -> Report {
    let loading = loading.iter().map(|name| AdapterRef::new(name, "1"));
    let upstream = UpstreamReport {
        name: "runner".into(),
        serves: Served::BaseModel("base".into()),
        takes_work: true,
        running: 0,
        batch: 8,
        slots: 8,
        ready: Vec::new(),
        loading: loading.collect(),
        kv_tokens: 0,
        rate_limit: None,
        waits_for_rate: false,
        engine: None,
    };
    Report {
        upstreams: vec![upstream],
        pending_loads,
        ..Report::default()
    }
}

/// Returns the agent and the adapter name of each load that is granted now.
fn granted_loads(granter: &mut Granter<u32>, now: Instant) -> Vec<(u32, String)> {
    let grants = granter.next_grants(now).into_iter();
    grants
        .map(|grant| (grant.agent, grant.adapter.name.to_string()))
        .collect()
}

#[test]
fn loads_are_granted_across_agents_by_descending_cost_of_delay() {
    let now = Instant::now();
    let mut granter = Granter::new(GranterSettings::default());
    granter.on_report(now, 1, &report(vec![pending_load("few", 1)], &[]));
    granter.on_report(
        now,
        2,
        &report(vec![pending_load("many", 9), pending_load("some", 5)], &[]),
    );
    let granted = granted_loads(&mut granter, now);
    assert_eq!(granted, [(2, "many".into()), (2, "some".into())]);
}

#[test]
fn first_copy_of_an_adapter_is_granted_before_a_second_copy() {
    let now = Instant::now();
    let mut granter = Granter::new(GranterSettings::default());
    granter.on_report(
        now,
        1,
        &report(vec![pending_load("hot", 50), pending_load("cold", 1)], &[]),
    );
    granter.on_report(now, 2, &report(Vec::new(), &["hot"]));
    assert_eq!(granted_loads(&mut granter, now)[0], (1, "cold".into()));
}

#[test]
fn grants_stay_within_the_load_rate_and_the_burst() {
    let start = Instant::now();
    let mut granter = Granter::new(GranterSettings::default());
    let mut granted = 0;
    for tick in 0..500 {
        let now = start + Duration::from_millis(20 * tick);
        // Each load completes at once, and the agent then needs another adapter.
        granter.on_report(
            now,
            1,
            &report(vec![pending_load(&format!("a{tick}"), 1)], &[]),
        );
        granted += granter.next_grants(now).len();
    }
    // 10 s at 4 loads per second, plus a burst of 2.
    assert!((40..=42).contains(&granted), "{granted}");
}

#[test]
fn no_load_is_granted_at_the_limit_of_loads_in_flight() {
    let now = Instant::now();
    let mut granter = Granter::new(GranterSettings::default());
    let loading = ["a", "b", "c", "d", "e", "f", "g", "h"];
    granter.on_report(now, 1, &report(vec![pending_load("next", 1)], &loading));
    assert!(granter.next_grants(now).is_empty());
}

#[test]
fn unused_grant_is_renewed_only_after_it_expires() {
    let now = Instant::now();
    let mut granter = Granter::new(GranterSettings::default());
    granter.on_report(now, 1, &report(vec![pending_load("a", 1)], &[]));
    assert_eq!(granter.next_grants(now).len(), 1);
    assert!(granter.next_grants(now).is_empty());
    let after_expiry = now + Duration::from_millis(1_100);
    granter.on_report(after_expiry, 1, &report(vec![pending_load("a", 1)], &[]));
    assert_eq!(granter.next_grants(after_expiry).len(), 1);
}
