//! Tests of route lookup, the list of upstreams, pools and admission limits.

mod call_times;
mod fair_calls;
mod quarantine;
mod rate_limits;
mod request_quarantine;

use crate::Config;
use crate::Route;
use crate::UpstreamPool;
use crate::UpstreamRegistry;
use crate::admission;
use crate::config::CallerLimits;
use crate::config::RouteKind;
use crate::config::RouteTable;
use crate::config::WeightedService;
use crate::pool::CallEnd;
use crate::pool::PickError;
use crate::registry::ListedUpstream;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        rank: 0,
        max_attempts: 2,
        is_public: false,
        weighted_services: vec![WeightedService {
            service: "records".into(),
            weight: 1,
        }],
    }
}

fn route_table(routes: Vec<Route>) -> RouteTable {
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
        workspaces: None,
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
fn route_with_the_longest_matching_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = route_table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn requests_are_split_by_weight_and_each_request_always_gets_the_same_service() {
    let mut route = route("split", "a.example", "/");
    route.weighted_services = vec![
        WeightedService {
            service: "old".into(),
            weight: 90,
        },
        WeightedService {
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
    let new_count = counts["new"];
    assert!(
        (800..1_200).contains(&new_count),
        "{new_count} of 10,000 requests to the new service"
    );
}

#[test]
fn route_without_services_has_no_service_for_a_request() {
    let mut route = route("none", "a.example", "/");
    route.weighted_services.clear();
    assert_eq!(route.service_for("request"), None);
}

fn listed_upstream(name: &str) -> ListedUpstream {
    ListedUpstream {
        name: name.into(),
        service: "records".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".into(),
        started: 1,
        software: None,
        leaving: false,
    }
}

fn upstream_names(registry: &UpstreamRegistry) -> Vec<&str> {
    registry.upstreams().map(|listed| &*listed.name).collect()
}

#[test]
fn removed_upstream_is_dropped_at_once_if_the_store_was_available() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.on_store_available(now);
    registry.on_full_list(now, 0, vec![listed_upstream("a"), listed_upstream("b")]);
    registry.on_upstream_removed(now, "a");
    assert_eq!(upstream_names(&registry), ["b"]);
}

#[test]
fn upstreams_missing_after_a_store_outage_are_kept_until_the_relist_timeout() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.on_full_list(
        now,
        0,
        vec![listed_upstream("relisted"), listed_upstream("missing")],
    );
    registry.on_store_unavailable();
    let recovered_at = now + Duration::from_secs(5);
    registry.on_store_available(recovered_at);
    registry.on_full_list(recovered_at, 0, Vec::new());
    assert_eq!(upstream_names(&registry), ["missing", "relisted"]);
    registry.on_upstream_listed(listed_upstream("relisted"));
    assert!(!registry.drop_expired(recovered_at + Duration::from_millis(1_900)));
    assert!(registry.drop_expired(recovered_at + Duration::from_millis(2_000)));
    assert_eq!(upstream_names(&registry), ["relisted"]);
}

#[test]
fn registry_is_complete_only_after_the_whole_list_was_read() {
    let mut registry = UpstreamRegistry::default();
    registry.on_upstream_listed(listed_upstream("a"));
    assert!(!registry.is_complete());
    registry.on_full_list(Instant::now(), 0, Vec::new());
    assert!(registry.is_complete());
}

fn pool(domains: &[&str]) -> UpstreamPool {
    let mut pool = UpstreamPool::default();
    for (index, domain) in domains.iter().enumerate() {
        let listed = ListedUpstream {
            domain: (*domain).into(),
            ..listed_upstream(&format!("u{index}"))
        };
        pool.upsert(&listed, None);
    }
    pool
}

#[test]
fn calls_stay_in_their_failure_domain_until_the_upstream_there_is_busier() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    let picks: Vec<_> = (0..4)
        .map(|_| pool.pick(now, "a", &[], None).unwrap().0)
        .collect();
    let in_own_domain = picks.iter().filter(|name| ***name == *"u0").count();
    assert_eq!(&*picks[0], "u0");
    assert!((2..=3).contains(&in_own_domain), "{picks:?}");
}

#[test]
fn failing_upstream_is_avoided_and_tried_again_after_its_failure_rate_decays() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    for _ in 0..6 {
        let (name, _) = pool.pick(now, "a", &["u1".into()], None).unwrap();
        pool.on_call_ended(now, &name, CallEnd::Failed);
    }
    assert_eq!(&*pool.pick(now, "a", &[], None).unwrap().0, "u1");
    pool.on_call_ended(now, "u1", CallEnd::Answered);
    let later = now + Duration::from_secs(30);
    assert_eq!(&*pool.pick(later, "a", &[], None).unwrap().0, "u0");
}

#[test]
fn leaving_upstream_gets_no_calls() {
    let now = Instant::now();
    let mut pool = pool(&["a"]);
    let listed = ListedUpstream {
        leaving: true,
        ..listed_upstream("u0")
    };
    pool.upsert(&listed, None);
    assert_eq!(
        pool.pick(now, "a", &[], None).err(),
        Some(PickError::NoUpstream)
    );
    assert!(pool.has_none_available());
}

#[test]
fn upstream_that_asked_for_a_pause_gets_no_calls_until_the_pause_ends() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    let until = now + Duration::from_secs(5);
    pool.pause("u0", 1, until);
    pool.upsert(&listed_upstream("u0"), Some(until));
    for _ in 0..20 {
        assert_eq!(&*pool.pick(now, "a", &[], None).unwrap().0, "u1");
    }
    let before_end = now + Duration::from_millis(4_999);
    assert_eq!(&*pool.pick(before_end, "a", &[], None).unwrap().0, "u1");
    let after_end = now + Duration::from_secs(5);
    assert_eq!(&*pool.pick(after_end, "a", &[], None).unwrap().0, "u0");
}

#[test]
fn pause_of_all_upstreams_is_refused_with_the_time_until_the_first_one_ends() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"]);
    pool.pause("u0", 1, now + Duration::from_secs(5));
    pool.pause("u1", 1, now + Duration::from_secs(3));
    let ends_in = Duration::from_secs(3);
    assert_eq!(
        pool.pick(now, "a", &[], None).err(),
        Some(PickError::AllPaused { ends_in })
    );
    // Callers come back after the pause, spread over some time.
    assert_eq!(admission::retry_after_pause(ends_in, 0.0), ends_in);
    assert_eq!(
        admission::retry_after_pause(ends_in, 1.0),
        Duration::from_secs(4)
    );
}

#[test]
fn restarted_upstream_is_not_bound_by_the_pause_or_departure_of_its_predecessor() {
    let now = Instant::now();
    let mut pool = pool(&["a"]);
    pool.pause("u0", 1, now + Duration::from_secs(5));
    let restarted = ListedUpstream {
        started: 2,
        ..listed_upstream("u0")
    };
    pool.upsert(&restarted, None);
    assert!(pool.pick(now, "a", &[], None).is_ok());
    // A late answer of the process before does not pause its successor.
    pool.pause("u0", 1, now + Duration::from_secs(5));
    assert!(pool.pick(now, "a", &[], None).is_ok());

    let mut registry = UpstreamRegistry::default();
    registry.on_upstream_listed(listed_upstream("u0"));
    assert!(registry.on_leaving_announced("u0", 1));
    registry.on_upstream_listed(restarted);
    assert!(!registry.upstreams().next().unwrap().leaving);
    assert!(!registry.on_leaving_announced("u0", 1));
    assert!(!registry.upstreams().next().unwrap().leaving);
}

#[test]
fn upstream_that_said_it_is_leaving_stays_so_whatever_its_record_says() {
    let mut registry = UpstreamRegistry::default();
    registry.on_upstream_listed(listed_upstream("u0"));
    assert!(registry.on_leaving_announced("u0", 1));
    assert!(!registry.on_leaving_announced("u0", 1));
    registry.on_upstream_listed(listed_upstream("u0"));
    registry.on_full_list(Instant::now(), 4, vec![listed_upstream("u0")]);
    assert!(registry.upstreams().next().unwrap().leaving);
}

#[test]
fn restored_list_neither_drops_new_upstreams_nor_brings_removed_ones_back() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    let listed = |names: &[&str]| names.iter().map(|name| listed_upstream(name)).collect();
    registry.on_full_list(now, 1, listed(&["old", "removed"]));
    registry.on_upstream_listed(listed_upstream("new"));
    registry.on_upstream_removed(now, "removed");
    assert_eq!(upstream_names(&registry), ["new", "old"]);
    // The copy is of the time before the two changes.
    let restored_at = now + Duration::from_secs(3);
    registry.on_full_list(restored_at, 2, listed(&["old", "removed"]));
    assert_eq!(upstream_names(&registry), ["new", "old"]);
    registry.on_full_list(restored_at, 2, listed(&["old", "removed"]));
    assert_eq!(upstream_names(&registry), ["new", "old"]);
    // An upstream that writes its record again is alive; one that does not is gone.
    registry.on_upstream_listed(listed_upstream("removed"));
    assert!(registry.drop_expired(restored_at + Duration::from_secs(2)));
    assert_eq!(upstream_names(&registry), ["old", "removed"]);
}

#[rstest]
#[case(1_000, 400, 60_000, 4_000)]
#[case(800, 400, 60_000, 3_200)]
#[case(100, 100, 60_000, 2_000)]
#[case(1_000, 400, 2_500, 2_500)]
fn stream_wait_is_the_longest_of_objective_event_gap_and_minimum_within_the_time_left(
    #[case] objective: u64,
    #[case] event_gap: u64,
    #[case] time_left: u64,
    #[case] expected: u64,
) {
    let mut route = route("s", "a.example", "/");
    route.timeout = Duration::from_secs(60);
    route.latency_objective = Duration::from_millis(objective);
    route.kind = RouteKind::Stream {
        resumable: false,
        max_event_gap: Duration::from_millis(event_gap),
    };
    let max_wait = admission::max_first_byte_wait(&route, Duration::from_millis(time_left));
    assert_eq!(max_wait, Duration::from_millis(expected));
}

#[test]
fn useful_wait_of_a_stream_is_bounded_by_objectives_and_by_the_caller_wait() {
    let mut route = route("s", "a.example", "/");
    route.timeout = Duration::from_secs(60);
    route.latency_objective = Duration::from_millis(1_000);
    let time_left = Duration::from_secs(10);
    let idempotent_wait = admission::useful_wait(&route, time_left, 1.4);
    assert_eq!(idempotent_wait, Duration::from_secs(8));
    route.kind = RouteKind::Stream {
        resumable: false,
        max_event_gap: Duration::from_millis(400),
    };
    let stream_wait = admission::useful_wait(&route, time_left, 1.4);
    assert_eq!(stream_wait, Duration::from_millis(1_400));
    let capped_stream_wait = admission::useful_wait(&route, time_left, 100.0);
    assert_eq!(capped_stream_wait, Duration::from_millis(3_200));
}

#[test]
fn retry_delay_is_jittered_and_bounded() {
    let useful_wait = Duration::from_secs(3);
    let without_jitter = admission::retry_after(Duration::from_secs(4), useful_wait, 0.0);
    let with_full_jitter = admission::retry_after(Duration::from_secs(4), useful_wait, 1.0);
    assert_eq!(without_jitter, Duration::from_secs(1));
    assert_eq!(with_full_jitter, Duration::from_millis(1_500));
    let longest = admission::retry_after(Duration::from_secs(60), useful_wait, 1.0);
    assert_eq!(longest, Duration::from_secs(3));
    let shortest = admission::retry_after(Duration::ZERO, useful_wait, 0.0);
    assert_eq!(shortest, Duration::from_millis(200));
}

#[rstest]
#[case::announced_before_the_removal(true)]
#[case::announced_after_the_removal(false)]
fn departure_is_remembered_while_the_record_of_the_upstream_is_gone(#[case] before: bool) {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.on_upstream_listed(listed_upstream("u0"));
    if before {
        registry.on_leaving_announced("u0", 1);
    }
    registry.on_upstream_removed(now, "u0");
    if !before {
        registry.on_leaving_announced("u0", 1);
    }
    registry.on_upstream_listed(listed_upstream("u0"));
    assert!(registry.upstreams().next().unwrap().leaving);
}

#[test]
fn streams_of_an_upstream_without_a_version_fit_only_those_of_the_same_process() {
    let unnamed = listed_upstream("u1");
    let restarted = ListedUpstream {
        started: 2,
        ..unnamed.clone()
    };
    let identity = unnamed.software_identity().unwrap();
    assert_eq!(unnamed.clone().software_identity(), Some(identity.clone()));
    assert_ne!(restarted.software_identity(), Some(identity));
    let unknown_process = ListedUpstream {
        started: 0,
        ..unnamed
    };
    assert_eq!(unknown_process.software_identity(), None);
}

#[test]
fn version_that_a_process_contradicts_is_not_used() {
    let mut registry = UpstreamRegistry::default();
    let listed = |software: Option<&str>, started| ListedUpstream {
        software: software.map(Into::into),
        started,
        ..listed_upstream("u1")
    };
    let software = |registry: &UpstreamRegistry| {
        let upstreams = registry.upstreams();
        upstreams.map(|u| u.software.clone()).collect::<Vec<_>>()
    };
    registry.on_upstream_listed(listed(Some("v1"), 1));
    assert_eq!(software(&registry), [Some("v1".into())]);
    for contradiction in [Some("v2"), Some("v2"), Some("v1"), None] {
        registry.on_upstream_listed(listed(contradiction, 1));
        assert_eq!(software(&registry), [None]);
    }
    registry.on_upstream_listed(listed(Some("v2"), 2));
    assert_eq!(software(&registry), [Some("v2".into())]);
}

#[test]
fn call_that_continues_a_stream_goes_to_upstreams_of_its_software_version() {
    let now = Instant::now();
    let mut pool = UpstreamPool::default();
    for (name, software) in [("u1", "v1"), ("u2", "v2"), ("u3", "v2")] {
        let listed = ListedUpstream {
            software: Some(software.into()),
            ..listed_upstream(name)
        };
        pool.upsert(&listed, None);
    }
    for _ in 0..10 {
        let (name, _) = pool.pick(now, "a", &[], Some("v2")).unwrap();
        assert_ne!(&*name, "u1");
    }
    let excluded = ["u1".into()];
    let none_left = pool.pick(now, "a", &excluded, Some("v1")).err();
    assert_eq!(none_left, Some(PickError::NoUpstream));
    let gone = pool.pick(now, "a", &[], Some("v3")).err();
    assert_eq!(gone, Some(PickError::SoftwareGone));
}
