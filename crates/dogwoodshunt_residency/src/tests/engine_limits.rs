//! Tests of the limits of an engine (prefill backlog, KV cache, one version of an
//! adapter at a time, concurrent loads), of the prefix index and of the prefill rate.

use crate::Action;
use crate::AdmissionCheck;
use crate::JobKey;
use crate::PrefixIndex;
use crate::Scheduler;
use crate::SchedulerSettings;
use crate::Target;
use crate::UpstreamKey;
use crate::demand::Demand;
use crate::demand::PromptPart;
use crate::job::Job;
use crate::job::RunOutcome;
use crate::orders::ProbeResponse;
use crate::prefill_rate::PrefillRate;
use crate::upstream::Limits;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

pub(super) struct AllowAll;

impl AdmissionCheck for AllowAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Maximum number of concurrent loads of the engine.
const MAX_CONCURRENT_LOADS: usize = 4;

pub(super) struct Engine {
    pub(super) scheduler: Scheduler,
    pub(super) key: UpstreamKey,
    pub(super) response: ProbeResponse,
    next_request: u64,
}

impl Engine {
    pub(super) fn new(now: Instant, slots: usize, resident: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(
            SchedulerSettings::builder()
                .fallback_loads_per_second(1_000.0)
                .fallback_load_burst(8.0)
                // As high as the limit of the engine, so that only the latter applies.
                // The tests in `load_window` cover lower limits.
                .initial_load_limit(MAX_CONCURRENT_LOADS)
                .build(),
        );
        let base_model = "base".into();
        let key = scheduler.add_upstream("engine".into(), UpstreamKind::Engine { base_model });
        scheduler.set_owned(true);
        let response = ProbeResponse {
            boot: 1,
            limits: Limits {
                kv_tokens: 100_000,
                max_concurrent_loads: MAX_CONCURRENT_LOADS,
                single_version: true,
                ..Limits::new(slots, 64)
            },
            has_base_model: true,
            loading: Some(Vec::new()),
            resident: resident.iter().map(|text| adapter(text)).collect(),
        };
        scheduler.on_probe(now, key, &response);
        Self {
            scheduler,
            key,
            response,
            next_request: 0,
        }
    }

    pub(super) fn job(
        &mut self,
        now: Instant,
        name: &str,
        prompt: u32,
        rank: u8,
    ) -> Job<crate::job::Queued> {
        self.next_request += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next_request,
        };
        let target = Target::Adapter {
            adapter: adapter(name),
            base_model: "base".into(),
        };
        let deadline = Some(now + Duration::from_secs(5));
        let demand = Demand {
            parts: Vec::new(),
            prompt_tokens: prompt,
            output_tokens: 100,
            rank,
        };
        let slo_deadline = Some(now + Duration::from_secs(1));
        Job::new(request, target, Priority::Normal, now, deadline).with_demand(demand, slo_deadline)
    }

    pub(super) fn submit(&mut self, now: Instant, name: &str, prompt: u32, rank: u8) -> JobKey {
        let job = self.job(now, name, prompt, rank);
        self.scheduler.submit(now, job, &AllowAll).unwrap()
    }

    pub(super) fn plan(&mut self, now: Instant) -> Vec<Action> {
        self.scheduler.plan(now, &AllowAll)
    }

    pub(super) fn dispatched(&mut self, now: Instant) -> Vec<JobKey> {
        let actions = self.plan(now);
        let jobs = actions.into_iter().filter_map(|action| match action {
            Action::Dispatch { job, .. } => Some(job),
            _ => None,
        });
        jobs.collect()
    }

    pub(super) fn probe(&mut self, now: Instant, resident: &[&str], loading: &[&str]) {
        self.response.resident = resident.iter().map(|text| adapter(text)).collect();
        self.response.loading = Some(loading.iter().map(|text| adapter(text)).collect());
        self.scheduler.on_probe(now, self.key, &self.response);
    }
}

fn adapter(text: &str) -> AdapterRef {
    AdapterRef::parse(text).unwrap_or_else(|| AdapterRef::new(text, "1"))
}

fn load_orders(actions: &[Action]) -> Vec<String> {
    let load_orders = actions.iter().filter_map(|action| match action {
        Action::Load { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    load_orders.collect()
}

fn unload_orders(actions: &[Action]) -> Vec<String> {
    let unload_orders = actions.iter().filter_map(|action| match action {
        Action::Unload { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    unload_orders.collect()
}

#[test]
fn job_waits_while_prefill_backlog_is_full() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    // The limit is 300 ms at the initial rate of 30 tokens/ms: 9,000 tokens.
    let first = engine.submit(now, "a@1", 8_000, 1);
    let second = engine.submit(now, "a@1", 8_000, 1);
    assert_eq!(engine.dispatched(now), [first]);
    engine
        .scheduler
        .on_first_byte(now + Duration::from_millis(250), first);
    assert_eq!(
        engine.dispatched(now + Duration::from_millis(250)),
        [second]
    );
}

#[test]
fn small_request_does_not_overtake_large_one_that_waits_for_capacity() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let running = engine.submit(now, "a@1", 8_000, 1);
    let large = engine.submit(now + Duration::from_millis(1), "a@1", 9_000, 1);
    let small = engine.submit(now + Duration::from_millis(2), "a@1", 100, 1);
    assert_eq!(engine.dispatched(now), [running]);
    engine.scheduler.on_first_byte(now, running);
    assert_eq!(engine.dispatched(now), [large]);
    engine.scheduler.on_first_byte(now, large);
    assert_eq!(engine.dispatched(now), [small]);
}

#[test]
fn jobs_are_dispatched_by_rank_and_those_past_their_objective_last() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let running = engine.submit(now, "a@1", 9_000, 1);
    assert_eq!(engine.dispatched(now), [running]);
    let late = engine.submit(now, "a@1", 8_000, 0);
    let later = now + Duration::from_millis(1_500);
    let less_urgent = engine.submit(later, "a@1", 8_000, 1);
    let urgent = engine.submit(later, "a@1", 8_000, 0);
    let mut order = Vec::new();
    let mut ended = running;
    for _ in 0..3 {
        engine.scheduler.on_first_byte(later, ended);
        let dispatched = engine.dispatched(later);
        ended = dispatched[0];
        order.extend(dispatched);
    }
    assert_eq!(order, [urgent, less_urgent, late]);
}

#[test]
fn kv_cache_is_not_overcommitted() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let first = engine.submit(now, "a@1", 60_000, 1);
    let second = engine.submit(now, "a@1", 60_000, 1);
    assert_eq!(engine.dispatched(now), [first]);
    engine.scheduler.on_first_byte(now, first);
    assert!(engine.dispatched(now).is_empty());
    engine
        .scheduler
        .on_run_end(now, first, RunOutcome::Finished);
    assert_eq!(engine.dispatched(now), [second]);
}

#[test]
fn concurrent_loads_are_limited_by_engine() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 9, &[]);
    for name in ["a", "b", "c", "d", "e", "f"] {
        engine.submit(now, name, 100, 0);
    }
    let first = load_orders(&engine.plan(now));
    assert_eq!(first.len(), MAX_CONCURRENT_LOADS);
    engine.probe(now, &["a@1"], &["b@1", "c@1", "d@1"]);
    assert_eq!(load_orders(&engine.plan(now)).len(), 1);
}

#[test]
fn load_missing_from_engine_report_is_ordered_again() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 2, &[]);
    engine.submit(now, "a", 100, 0);
    assert_eq!(load_orders(&engine.plan(now)), ["a@1"]);
    engine.probe(now + Duration::from_millis(100), &[], &[]);
    assert!(load_orders(&engine.plan(now + Duration::from_millis(100))).is_empty());
    let later = now + Duration::from_millis(500);
    engine.probe(later, &[], &[]);
    assert_eq!(load_orders(&engine.plan(later)), ["a@1"]);
}

#[test]
fn loads_not_ordered_by_this_agent_occupy_slots() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 2, &[]);
    engine.probe(now, &["x@1"], &["y@1"]);
    engine.submit(now, "a", 100, 0);
    let actions = engine.plan(now);
    assert!(load_orders(&actions).is_empty());
    assert_eq!(unload_orders(&actions), ["x@1"]);
}

#[test]
fn newer_version_replaces_older_one_once_unpinned() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let old = engine.submit(now, "a@1", 100, 0);
    assert_eq!(engine.dispatched(now), [old]);
    let refused = engine.job(now, "a@2", 100, 0);
    let refused = engine.scheduler.submit(now, refused, &AllowAll);
    assert_eq!(refused.unwrap_err().reason, NotRunReason::Overloaded);
    engine.scheduler.on_run_end(now, old, RunOutcome::Finished);
    engine.submit(now, "a@2", 100, 0);
    assert_eq!(unload_orders(&engine.plan(now)), ["a@1"]);
    engine.scheduler.on_unload_end(
        engine.key,
        &adapter("a@1"),
        crate::orders::OrderOutcome::Done,
    );
    assert_eq!(load_orders(&engine.plan(now)), ["a@2"]);
}

#[test]
fn queued_requests_switch_to_newly_declared_version() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &[]);
    let job = engine.submit(now, "a@1", 100, 0);
    engine.scheduler.retarget_queued(&adapter("a@2"));
    assert_eq!(load_orders(&engine.plan(now)), ["a@2"]);
    engine.probe(now, &["a@2"], &[]);
    assert_eq!(engine.dispatched(now), [job]);
}

#[test]
fn missing_base_model_is_loaded_before_adapters() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    engine.response.has_base_model = false;
    engine.probe(now, &[], &[]);
    engine.submit(now, "a", 100, 0);
    let orders = |actions: Vec<Action>| {
        let orders = actions
            .iter()
            .filter(|a| matches!(a, Action::LoadBaseModel { .. }));
        (orders.count(), load_orders(&actions).len())
    };
    assert_eq!(orders(engine.plan(now)), (1, 0));
    assert_eq!(orders(engine.plan(now)), (0, 0));
    engine.scheduler.on_base_model_load_failed(now, engine.key);
    assert_eq!(orders(engine.plan(now)), (0, 0));
    assert_eq!(orders(engine.plan(now + Duration::from_secs(1))), (1, 0));
    engine.response.has_base_model = true;
    engine.probe(now, &[], &[]);
    assert_eq!(orders(engine.plan(now)), (0, 1));
}

#[test]
fn adopted_run_pins_its_adapter() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 1, &["a@1"]);
    let job = engine.job(now, "a@1", 100, 0);
    let adopted = engine.scheduler.adopt(now, engine.key, job).unwrap();
    engine.submit(now, "b", 100, 0);
    assert!(unload_orders(&engine.plan(now)).is_empty());
    engine
        .scheduler
        .on_run_end(now, adopted, RunOutcome::Finished);
    assert_eq!(unload_orders(&engine.plan(now)), ["a@1"]);
}

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter()
        .map(|id| PromptPart {
            id: *id,
            tokens: 100,
        })
        .collect()
}

#[rstest]
#[case("a", &[1, 2, 3], 300)]
#[case("a", &[1, 2, 9], 200)]
#[case("a", &[9, 2, 3], 0)]
#[case("b", &[1, 2, 3], 0)]
fn cached_prefix_ends_at_first_uncached_part_of_the_adapter(
    #[case] adapter: &str,
    #[case] ids: &[u64],
    #[case] expected: u64,
) {
    let mut index = PrefixIndex::new(1_000);
    index.record("a", &parts(&[1, 2, 3]));
    assert_eq!(index.cached_tokens(adapter, &parts(ids)), expected);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let mut index = PrefixIndex::new(400);
    index.record("a", &parts(&[1, 2]));
    index.record("b", &parts(&[3, 4]));
    index.record("a", &parts(&[1, 2]));
    index.record("c", &parts(&[5]));
    assert_eq!(index.cached_tokens("a", &parts(&[1, 2])), 200);
    assert_eq!(index.cached_tokens("b", &parts(&[3, 4])), 0);
}

#[test]
fn prefill_rate_is_correct_when_prompts_end_together() {
    let start = Instant::now();
    let mut prefill_rate = PrefillRate::default();
    for round in 0..50 {
        let at = start + Duration::from_millis(500) * round;
        let end = at + Duration::from_millis(400);
        prefill_rate.on_prefill_start(at);
        // Four prompts end in the same step: 16,000 tokens in 400 ms, 40 tokens/ms.
        for remaining in [12_000, 8_000, 4_000, 0] {
            prefill_rate.on_prefill_end(end, 4_000, remaining);
        }
    }
    assert!(
        (38.0..42.0).contains(&prefill_rate.tokens_per_ms()),
        "{}",
        prefill_rate.tokens_per_ms()
    );
    let busy_share = prefill_rate.busy_share(start + Duration::from_secs(25));
    assert!((0.5..1.0).contains(&busy_share), "{busy_share}");
}

/// Submits a request for each adapter and returns the number of loads ordered.
fn loads_for(engine: &mut Engine, now: Instant, names: &[&str]) -> usize {
    for name in names {
        engine.submit(now, name, 100, 0);
    }
    load_orders(&engine.plan(now)).len()
}

#[rstest]
#[case::uncontended(250, MAX_CONCURRENT_LOADS)]
#[case::contended(500, 1)]
fn slow_load_limits_concurrent_loads(#[case] duration_ms: u64, #[case] expected: usize) {
    let now = Instant::now();
    let mut engine = Engine::new(now, 9, &[]);
    assert_eq!(loads_for(&mut engine, now, &["a"]), 1);
    let loaded_at = now + Duration::from_millis(duration_ms);
    engine.probe(loaded_at, &["a@1"], &[]);
    let names = ["b", "c", "d", "e", "f"];
    assert_eq!(loads_for(&mut engine, loaded_at, &names), expected);
}

#[test]
fn engine_restart_resets_concurrent_loads_to_initial_limit() {
    let now = Instant::now();
    let settings = SchedulerSettings::builder()
        .fallback_loads_per_second(1_000.0)
        .fallback_load_burst(8.0);
    let mut engine = Engine::new(now, 9, &[]);
    engine.scheduler.settings = settings.build();
    engine.response.boot = 2;
    // The limit has fully recovered since the first start, so only the reset lowers it.
    let later = now + Duration::from_secs(60);
    engine.probe(later, &[], &[]);
    assert_eq!(loads_for(&mut engine, later, &["a", "b", "c"]), 1);
}
