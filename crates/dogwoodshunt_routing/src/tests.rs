//! Tests of the choice of agents and of retry decisions.

use crate::AgentKey;
use crate::RouteRequest;
use crate::Router;
use crate::RouterSettings;
use crate::retry;
use crate::retry::AttemptFailure;
use crate::retry::Repeatable;
use crate::retry::RetryBudget;
use crate::retry::RetryContext;
use crate::retry::RetryDecision;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RateLimit;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

mod partition;
mod reachability;

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, "1")
}

fn target(name: &str) -> Target {
    Target::Adapter {
        adapter: adapter(name),
        base_model: "base".into(),
    }
}

/// Returns the report of an agent with one upstream that has `running` running
/// requests of a batch of 4, and on which the adapters `ready` are ready.
fn report(running: u32, ready: &[&str]) -> Report {
    let upstream = UpstreamReport {
        name: "runner".into(),
        serves: Served::BaseModel("base".into()),
        takes_work: true,
        running,
        batch: 4,
        slots: 4,
        ready: ready.iter().map(|name| adapter(name)).collect(),
        loading: Vec::new(),
        kv_tokens: 0,
        rate_limit: None,
        waits_for_rate: false,
        engine: None,
    };
    Report {
        upstreams: vec![upstream],
        mean_run: Duration::from_secs(1),
        ..Report::default()
    }
}

/// Returns a router with one usable agent for each of `reports`, and their keys.
fn router(now: Instant, reports: &[Report]) -> (Router, Vec<AgentKey>) {
    router_with(RouterSettings::default(), now, reports)
}

fn router_with(
    settings: RouterSettings,
    now: Instant,
    reports: &[Report],
) -> (Router, Vec<AgentKey>) {
    let mut router = Router::new(settings);
    let keys = reports.iter().enumerate().map(|(index, report)| {
        let key = router.add_agent(format!("host-{index}").into());
        router.set_usable(key, true);
        router.on_report(now, key, ReportUpdate::Full(report.clone()));
        key
    });
    let keys = keys.collect();
    (router, keys)
}

fn route(router: &mut Router, now: Instant, name: &str) -> Result<AgentKey, NotRun> {
    let target = target(name);
    router.route(
        now,
        &RouteRequest {
            target: &target,
            deadline: None,
            excluded: &[],
            demand: &Demand::default(),
            service: None,
            software: None,
            max_event_gap: None,
        },
    )
}

#[test]
fn request_avoids_an_engine_that_has_reached_its_rate_limit() {
    let now = Instant::now();
    let report = |waits_for_rate| {
        let mut report = report(0, &["a"]);
        report.upstreams[0].rate_limit = RateLimit::per_second(1.0);
        report.upstreams[0].waits_for_rate = waits_for_rate;
        report
    };
    let (mut router, keys) = router(now, &[report(true), report(false)]);
    assert_eq!(route(&mut router, now, "a").unwrap(), keys[1]);
    // A second request would wait for a whole interval there and for half of one here.
    assert_eq!(route(&mut router, now, "a").unwrap(), keys[0]);
}

/// The first engine has the adapter but is not allowed another request before the deadline; the
/// second one has to load it.
#[test]
fn request_goes_to_a_more_expensive_engine_that_answers_before_the_deadline() {
    let now = Instant::now();
    let report = |ready: &[&str], limit| {
        let mut report = report(0, ready);
        report.upstreams[0].rate_limit = limit;
        report.upstreams[0].waits_for_rate = true;
        report.upstreams[0].engine = Some(EngineLoad {
            free_slots: 3,
            pending_prefill: 0,
            prefill_busy_percent: 0,
            prefill_tokens_per_second: 1_000,
            reserved_kv: 0,
            learned: None,
        });
        report
    };
    let limited = report(&["a"], RateLimit::per_second(0.25));
    let settings = RouterSettings::builder().load_weight(100.0).build();
    let (mut router, keys) = router_with(settings, now, &[limited, report(&[], None)]);
    let (target, demand) = (target("a"), Demand::default());
    let mut route = |deadline| {
        let req = RouteRequest {
            target: &target,
            deadline,
            excluded: &[],
            demand: &demand,
            service: None,
            software: None,
            max_event_gap: None,
        };
        router.route(now, &req)
    };
    assert_eq!(route(None).unwrap(), keys[0]);
    let deadline = now + Duration::from_secs(1);
    assert_eq!(route(Some(deadline)).unwrap(), keys[1]);
}

fn not_run(reason: NotRunReason) -> AttemptFailure {
    AttemptFailure::NotRun(NotRun::new(reason, Duration::ZERO))
}

#[rstest]
#[case(AttemptFailure::Unknown, Repeatable::Yes, false, true)]
#[case(AttemptFailure::Unknown, Repeatable::Yes, true, false)]
#[case(AttemptFailure::Unknown, Repeatable::No, false, false)]
#[case(not_run(NotRunReason::Overloaded), Repeatable::No, false, true)]
#[case(not_run(NotRunReason::Leaving), Repeatable::No, false, true)]
#[case(not_run(NotRunReason::Deadline), Repeatable::Yes, false, false)]
#[case(not_run(NotRunReason::Withdrawn), Repeatable::Yes, false, false)]
fn only_attempts_that_cannot_run_a_request_twice_are_retried(
    #[case] failure: AttemptFailure,
    #[case] repeatable: Repeatable,
    #[case] response_started: bool,
    #[case] retried: bool,
) {
    let ctx = RetryContext {
        attempts: 1,
        max_attempts: 4,
        repeatable,
        response_started,
    };
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let decision = retry::decide(failure, &ctx, &mut budget, &mut rng);
    assert_eq!(matches!(decision, RetryDecision::Retry { .. }), retried);
}

#[test]
fn retries_stop_at_the_budget_and_at_the_attempt_limit() {
    let mut budget = RetryBudget::new(0.1, 2.0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut decide = |attempts| {
        let ctx = RetryContext {
            attempts,
            max_attempts: 3,
            repeatable: Repeatable::Yes,
            response_started: false,
        };
        retry::decide(AttemptFailure::Unknown, &ctx, &mut budget, &mut rng)
    };
    assert_eq!(decide(3), RetryDecision::GiveUp);
    assert!(matches!(decide(1), RetryDecision::Retry { .. }));
    assert!(matches!(decide(1), RetryDecision::Retry { .. }));
    assert_eq!(decide(1), RetryDecision::GiveUp);
}

#[test]
fn request_is_routed_to_the_agent_with_its_adapter_ready() {
    let now = Instant::now();
    let reports = [report(0, &[]), report(2, &["roast"]), report(0, &[])];
    let (mut router, keys) = router(now, &reports);
    assert_eq!(route(&mut router, now, "roast"), Ok(keys[1]));
}

#[test]
fn later_requests_for_an_absent_adapter_go_to_the_agent_of_the_first_request() {
    let now = Instant::now();
    let reports: Vec<Report> = (0..8).map(|_| report(0, &[])).collect();
    let (mut router, _) = router(now, &reports);
    let first = route(&mut router, now, "roast");
    for _ in 0..3 {
        assert_eq!(route(&mut router, now, "roast"), first);
    }
}

#[test]
fn request_goes_to_another_agent_when_the_agent_with_its_adapter_has_a_full_batch() {
    let now = Instant::now();
    let mut busy = report(4, &["roast"]);
    busy.queued = 4;
    let (mut router, keys) = router(now, &[busy, report(0, &[])]);
    assert_eq!(route(&mut router, now, "roast"), Ok(keys[1]));
}

#[test]
fn load_update_keeps_the_reported_adapters() {
    let now = Instant::now();
    let (first, second) = (report(0, &["roast"]), report(3, &["roast"]));
    let update = second.update_since(Some(&first));
    assert!(matches!(update, ReportUpdate::Load(_)));
    assert_eq!(
        Report::apply_update(Some(&first), update.clone()),
        Some(second)
    );
    let (mut router, keys) = router(now, &[report(0, &[]), first]);
    router.on_report(now, keys[1], update);
    assert_eq!(route(&mut router, now, "roast"), Ok(keys[1]));
    let evicted = report(0, &[]);
    router.on_report(now, keys[1], ReportUpdate::Full(evicted));
    router.set_leaving(keys[1], true);
    assert_eq!(route(&mut router, now, "roast"), Ok(keys[0]));
}

#[test]
fn leaving_and_unusable_agents_get_no_requests() {
    let now = Instant::now();
    let (mut router, keys) = router(now, &[report(0, &["roast"]), report(0, &["roast"])]);
    router.set_leaving(keys[0], true);
    router.set_usable(keys[1], false);
    assert!(route(&mut router, now, "roast").is_err());
}

#[test]
fn agent_of_unknown_load_is_chosen_only_if_no_load_is_known() {
    let start = Instant::now();
    let (mut router, keys) = router(start, &[report(0, &[]), report(3, &[])]);
    let later = start + Duration::from_secs(3);
    router.on_report(later, keys[1], ReportUpdate::Full(report(3, &[])));
    // The report of the first agent has expired, so the second agent, whose load
    // is known, is preferred.
    assert_eq!(route(&mut router, later, "roast"), Ok(keys[1]));
    router.set_leaving(keys[1], true);
    assert_eq!(route(&mut router, later, "roast"), Ok(keys[0]));
}

#[test]
fn request_that_cannot_start_before_its_deadline_is_refused_with_a_retry_delay() {
    let now = Instant::now();
    let mut full = report(4, &["roast"]);
    full.queued = 40;
    let (mut router, _) = router(now, &[full]);
    let target = target("roast");
    let refused = router.route(
        now,
        &RouteRequest {
            target: &target,
            deadline: Some(now + Duration::from_secs(1)),
            excluded: &[],
            demand: &Demand::default(),
            service: None,
            software: None,
            max_event_gap: None,
        },
    );
    let refused = refused.unwrap_err();
    assert_eq!(refused.reason, NotRunReason::Deadline);
    // The retry delay is the expected wait.
    assert!(refused.retry_after > Duration::from_secs(5));
}

/// The homes of an adapter are busy, and one of the other agents is idle.
#[rstest]
#[case::large_fleet(40, true)]
#[case::small_fleet(11, false)]
fn idle_agent_is_found_beside_busy_homes_in_a_large_fleet(
    #[case] agents: usize,
    #[case] is_found: bool,
) {
    let now = Instant::now();
    let mut busy = report(4, &[]);
    busy.queued = 40;
    let settings = RouterSettings::builder().random_candidates(2).build();
    let mut router = Router::new(settings);
    let target = target("roast");
    let keys: Vec<AgentKey> = (0..agents)
        .map(|index| {
            let key = router.add_agent(format!("host-{index}").into());
            router.set_usable(key, true);
            router.on_report(now, key, ReportUpdate::Full(busy.clone()));
            key
        })
        .collect();
    let route = |router: &mut Router, excluded: &[AgentKey]| {
        let req = RouteRequest {
            target: &target,
            deadline: None,
            excluded,
            demand: &Demand::default(),
            service: None,
            software: None,
            max_event_gap: None,
        };
        let key = router.route(now, &req).unwrap();
        router.on_attempt_end(key, &target);
        key
    };
    // The three homes and all others but one are busy.
    let mut homes = Vec::new();
    for _ in 0..3 {
        homes.push(route(&mut router.clone(), &homes));
    }
    let idle = keys.into_iter().find(|key| !homes.contains(key)).unwrap();
    router.on_report(now, idle, ReportUpdate::Full(report(0, &[])));
    let found = (0..200).any(|_| route(&mut router, &[]) == idle);
    assert_eq!(found, is_found);
}

/// Two services may have the same base model, and only one of them may run the request.
#[test]
fn request_is_routed_only_to_engines_of_its_service() {
    let now = Instant::now();
    // The engine of the other service is idle and has the adapter.
    let (mut router, keys) = router(now, &[report(0, &["a"]), report(3, &[])]);
    for (key, service) in keys.iter().zip(["models", "models-next"]) {
        router.set_service(*key, service.into());
    }
    let (target, demand) = (target("a"), Demand::default());
    let route = |router: &mut Router, service| {
        let req = RouteRequest {
            target: &target,
            deadline: None,
            excluded: &[],
            demand: &demand,
            service,
            software: None,
            max_event_gap: None,
        };
        router.route(now, &req)
    };
    assert_eq!(route(&mut router, Some("models")), Ok(keys[0]));
    assert_eq!(route(&mut router, Some("models-next")), Ok(keys[1]));
    assert_eq!(route(&mut router, None), Ok(keys[0]));
    let refusal = route(&mut router, Some("none")).unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::NoUpstream);
    // A pause at another service is no reason to come back later.
    router.set_paused_until(keys[0], Some(now + Duration::from_secs(30)));
    router.set_leaving(keys[1], true);
    let refusal = route(&mut router, Some("models-next")).unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::NoUpstream);
}

/// The random candidates of a request come from its own service, however few of all engines that
/// has.
#[test]
fn random_candidates_are_drawn_from_the_service_of_the_request() {
    let now = Instant::now();
    let settings = RouterSettings::builder()
        .homes(1)
        .random_candidates(2)
        .build();
    let reports: Vec<Report> = (0..100).map(|_| report(4, &[])).collect();
    let (mut router, keys) = router_with(settings, now, &reports);
    for (index, key) in keys.iter().enumerate() {
        let service = if index < 4 { "models" } else { "models-next" };
        router.set_service(*key, service.into());
    }
    let (target, demand) = (target("a"), Demand::default());
    let req = RouteRequest {
        target: &target,
        deadline: None,
        excluded: &[],
        demand: &demand,
        service: Some("models"),
        software: None,
        max_event_gap: None,
    };
    let mut chosen: Vec<AgentKey> = (0..200)
        .map(|_| router.route(now, &req).expect("an engine"))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, keys[..4]);
}

#[test]
fn stream_is_routed_only_to_engines_of_its_software_version() {
    let now = Instant::now();
    let (mut router, keys) = router(now, &[report(0, &["a"]), report(0, &[]), report(9, &[])]);
    for (key, software) in keys.iter().zip(["v1", "v2", "v2"]) {
        router.set_software(*key, Some(software.into()));
    }
    let target = target("a");
    let demand = Demand::default();
    let route = |router: &mut Router, software, excluded: &[AgentKey]| {
        let req = RouteRequest {
            target: &target,
            deadline: None,
            excluded,
            demand: &demand,
            service: None,
            software: Some(software),
            max_event_gap: None,
        };
        router.route(now, &req).map_err(|not_run| not_run.reason)
    };
    for _ in 0..20 {
        let key = route(&mut router, "v2", &[]).unwrap();
        assert!(keys[1..].contains(&key));
    }
    assert_eq!(route(&mut router, "v1", &[]), Ok(keys[0]));
    // Its only engine may take it later.
    let excluded = route(&mut router, "v1", &keys[..1]);
    assert_eq!(excluded, Err(NotRunReason::NoUpstream));
    assert_eq!(
        route(&mut router, "v3", &[]),
        Err(NotRunReason::SoftwareGone)
    );
    router.set_leaving(keys[0], true);
    assert_eq!(
        route(&mut router, "v1", &[]),
        Err(NotRunReason::SoftwareGone)
    );
    router.set_software(keys[1], None);
    router.set_software(keys[2], None);
    assert_eq!(
        route(&mut router, "v2", &[]),
        Err(NotRunReason::SoftwareGone)
    );
}
