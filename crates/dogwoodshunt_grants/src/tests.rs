//! Tests of the granter.

use crate::Granter;
use crate::Settings;
use dogwoodshunt_residency::LoadWant;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::report::Serves;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Priority;
use std::time::Duration;
use std::time::Instant;

fn want(name: &str, waiting: u32) -> LoadWant {
    LoadWant {
        adapter: AdapterRef::new(name, "1"),
        waiting,
        oldest: Duration::from_millis(100),
        priority: Priority::Normal,
    }
}

fn report(wants: Vec<LoadWant>, loading: &[&str]) -> Report {
    let loading = loading.iter().map(|name| AdapterRef::new(name, "1"));
    let upstream = UpstreamReport {
        name: "runner".into(),
        serves: Serves::BaseModel("base".into()),
        takes_work: true,
        running: 0,
        batch: 8,
        slots: 8,
        ready: Vec::new(),
        loading: loading.collect(),
        kv_tokens: 0,
        engine: None,
    };
    Report {
        upstreams: vec![upstream],
        wants,
        ..Report::default()
    }
}

fn names(granter: &mut Granter<u32>, now: Instant) -> Vec<(u32, String)> {
    let grants = granter.decide(now).into_iter();
    grants
        .map(|grant| (grant.agent, grant.adapter.name.to_string()))
        .collect()
}

#[test]
fn costliest_wait_is_granted_first_across_agents() {
    let now = Instant::now();
    let mut granter = Granter::new(Settings::default());
    granter.on_report(now, 1, &report(vec![want("few", 1)], &[]));
    granter.on_report(now, 2, &report(vec![want("many", 9), want("some", 5)], &[]));
    let granted = names(&mut granter, now);
    assert_eq!(granted, [(2, "many".into()), (2, "some".into())]);
}

#[test]
fn first_copies_come_before_second_ones() {
    let now = Instant::now();
    let mut granter = Granter::new(Settings::default());
    granter.on_report(now, 1, &report(vec![want("hot", 50), want("cold", 1)], &[]));
    granter.on_report(now, 2, &report(Vec::new(), &["hot"]));
    assert_eq!(names(&mut granter, now)[0], (1, "cold".into()));
}

#[test]
fn no_more_loads_are_granted_than_the_store_allows_in_a_second() {
    let start = Instant::now();
    let mut granter = Granter::new(Settings::default());
    let mut granted = 0;
    for tick in 0..500 {
        let now = start + Duration::from_millis(20 * tick);
        // Every load ends at once and a new adapter is wanted.
        granter.on_report(now, 1, &report(vec![want(&format!("a{tick}"), 1)], &[]));
        granted += granter.decide(now).len();
    }
    // Ten seconds at four a second, and a burst of two.
    assert!((40..=42).contains(&granted), "{granted}");
}

#[test]
fn loads_in_flight_are_limited() {
    let now = Instant::now();
    let mut granter = Granter::new(Settings::default());
    let loading = ["a", "b", "c", "d", "e", "f", "g", "h"];
    granter.on_report(now, 1, &report(vec![want("next", 1)], &loading));
    assert!(granter.decide(now).is_empty());
}

#[test]
fn grant_that_lapsed_unused_is_given_again() {
    let now = Instant::now();
    let mut granter = Granter::new(Settings::default());
    granter.on_report(now, 1, &report(vec![want("a", 1)], &[]));
    assert_eq!(granter.decide(now).len(), 1);
    assert!(granter.decide(now).is_empty());
    let later = now + Duration::from_millis(1_100);
    granter.on_report(later, 1, &report(vec![want("a", 1)], &[]));
    assert_eq!(granter.decide(later).len(), 1);
}
