//! Tests of routes, the list of upstreams, pools and admission.

use crate::Config;
use crate::Pool;
use crate::Registry;
use crate::Route;
use crate::admission;
use crate::config::CallerLimits;
use crate::config::RouteKind;
use crate::config::RouteTable;
use crate::config::Share;
use crate::pool::CallEnd;
use crate::registry::Listed;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        rank: 0,
        attempts: 2,
        shares: vec![Share {
            service: "records".into(),
            weight: 1,
        }],
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Config {
        revision: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    })
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("A.Example:8080", "/x/y/1?q=/z/", Some("long"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/?p=/x/", None)]
#[case("b.example", "/x/1", Some("other"))]
#[case("c.example", "/x/1", None)]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn split_sends_each_service_its_part_and_a_request_always_to_one() {
    let mut route = route("split", "a.example", "/");
    route.shares = vec![
        Share {
            service: "old".into(),
            weight: 90,
        },
        Share {
            service: "new".into(),
            weight: 10,
        },
    ];
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for number in 0..10_000 {
        let id = format!("request-{number}");
        let service = route.service_for(&id).unwrap();
        assert_eq!(route.service_for(&id), Some(service));
        *counts.entry(service).or_default() += 1;
    }
    let new = counts["new"];
    assert!((800..1_200).contains(&new), "{new} of 10,000");
}

#[test]
fn route_without_weights_leads_nowhere() {
    let mut route = route("none", "a.example", "/");
    route.shares.clear();
    assert_eq!(route.service_for("request"), None);
}

fn listed(name: &str) -> Listed {
    Listed {
        name: name.into(),
        service: "records".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".into(),
        started: 1,
        leaving: false,
    }
}

fn names(registry: &Registry) -> Vec<&str> {
    registry.upstreams().map(|listed| &*listed.name).collect()
}

#[test]
fn upstream_that_is_removed_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_store_answer(now);
    registry.on_list(now, vec![listed("a"), listed("b")]);
    registry.on_removed(now, "a");
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn entries_that_lapsed_with_the_store_are_kept_until_they_could_be_back() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, vec![listed("back"), listed("gone")]);
    registry.on_store_lost();
    let returned = now + Duration::from_secs(5);
    registry.on_store_answer(returned);
    registry.on_list(returned, Vec::new());
    assert_eq!(names(&registry), ["back", "gone"]);
    registry.on_listed(listed("back"));
    assert!(!registry.drop_missing(returned + Duration::from_millis(1_900)));
    assert!(registry.drop_missing(returned + Duration::from_millis(2_000)));
    assert_eq!(names(&registry), ["back"]);
}

#[test]
fn list_is_complete_only_once_it_was_read() {
    let mut registry = Registry::default();
    registry.on_listed(listed("a"));
    assert!(!registry.is_complete());
    registry.on_list(Instant::now(), Vec::new());
    assert!(registry.is_complete());
}

fn pool(domains: &[&str]) -> Pool {
    let mut pool = Pool::default();
    for (index, domain) in domains.iter().enumerate() {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        pool.set(&format!("u{index}"), address, domain, false);
    }
    pool
}

#[test]
fn calls_stay_in_their_domain_until_it_is_busier_than_others() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    let picks: Vec<_> = (0..4)
        .map(|_| pool.pick(now, "a", &[]).unwrap().0)
        .collect();
    let at_home = picks.iter().filter(|name| ***name == *"u0").count();
    assert_eq!(&*picks[0], "u0");
    assert!((2..=3).contains(&at_home), "{picks:?}");
}

#[test]
fn upstream_that_fails_its_calls_is_passed_over_and_tried_again_later() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    for _ in 0..6 {
        let (name, _) = pool.pick(now, "a", &["u1".into()]).unwrap();
        pool.on_end(now, &name, CallEnd::Failed);
    }
    assert_eq!(&*pool.pick(now, "a", &[]).unwrap().0, "u1");
    pool.on_end(now, "u1", CallEnd::Answered);
    let later = now + Duration::from_secs(30);
    assert_eq!(&*pool.pick(later, "a", &[]).unwrap().0, "u0");
}

#[test]
fn leaving_upstream_of_a_pool_gets_no_call() {
    let now = Instant::now();
    let mut pool = pool(&["a"]);
    pool.set("u0", SocketAddr::from(([127, 0, 0, 1], 9)), "a", true);
    assert!(pool.pick(now, "a", &[]).is_none());
    assert!(pool.is_empty());
}

#[rstest]
#[case(1_000, 400, 60_000, 4_000)]
#[case(800, 400, 60_000, 3_200)]
#[case(100, 100, 60_000, 2_000)]
#[case(1_000, 400, 2_500, 2_500)]
fn caller_of_a_stream_waits_as_long_as_its_route_says(
    #[case] objective: u64,
    #[case] pause: u64,
    #[case] left: u64,
    #[case] expected: u64,
) {
    let mut route = route("s", "a.example", "/");
    route.timeout = Duration::from_secs(60);
    route.objective = Duration::from_millis(objective);
    route.kind = RouteKind::Stream {
        resumable: false,
        longest_pause: Duration::from_millis(pause),
    };
    let patience = admission::patience(&route, Duration::from_millis(left));
    assert_eq!(patience, Duration::from_millis(expected));
}

#[test]
fn late_answers_of_streams_are_not_waited_for() {
    let mut route = route("s", "a.example", "/");
    route.timeout = Duration::from_secs(60);
    route.objective = Duration::from_millis(1_000);
    let left = Duration::from_secs(10);
    let call = admission::useful_wait(&route, left, 1.4);
    assert_eq!(call, Duration::from_secs(8));
    route.kind = RouteKind::Stream {
        resumable: false,
        longest_pause: Duration::from_millis(400),
    };
    let stream = admission::useful_wait(&route, left, 1.4);
    assert_eq!(stream, Duration::from_millis(1_400));
    let patient = admission::useful_wait(&route, left, 100.0);
    assert_eq!(patient, Duration::from_millis(3_200));
}

#[test]
fn refused_callers_come_back_apart_and_within_bounds() {
    let useful = Duration::from_secs(3);
    let early = admission::retry_after(Duration::from_secs(4), useful, 0.0);
    let late = admission::retry_after(Duration::from_secs(4), useful, 1.0);
    assert_eq!(early, Duration::from_secs(1));
    assert_eq!(late, Duration::from_millis(1_500));
    let longest = admission::retry_after(Duration::from_secs(60), useful, 1.0);
    assert_eq!(longest, Duration::from_secs(3));
    let shortest = admission::retry_after(Duration::ZERO, useful, 0.0);
    assert_eq!(shortest, Duration::from_millis(200));
}
