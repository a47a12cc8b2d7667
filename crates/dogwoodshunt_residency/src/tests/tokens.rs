//! Admission by tokens, kept prefixes, one version at a time, several loads.

use crate::Action;
use crate::Gate;
use crate::JobKey;
use crate::PrefixRecord;
use crate::Residency;
use crate::Settings;
use crate::Target;
use crate::UpstreamKey;
use crate::demand::Demand;
use crate::demand::Part;
use crate::job::Job;
use crate::job::RunEnd;
use crate::orders::ProbeAnswer;
use crate::pace::Pace;
use crate::upstream::Kind;
use crate::upstream::Room;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

struct Open;

impl Gate for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Adapters that may be on their way to the engine at once.
const TRANSIT: usize = 4;

struct Engine {
    residency: Residency,
    key: UpstreamKey,
    answer: ProbeAnswer,
    next: u64,
}

impl Engine {
    fn new(now: Instant, slots: usize, resident: &[&str]) -> Self {
        let mut residency = Residency::new(
            Settings::builder()
                .load_share(1_000.0)
                .load_burst(8.0)
                // As many as the engine takes; `load_window` tests fewer.
                .loads_at_first(TRANSIT)
                .build(),
        );
        let base_model = "base".into();
        let key = residency.add_upstream("engine".into(), Kind::Engine { base_model });
        residency.set_owned(true);
        let answer = ProbeAnswer {
            boot: 1,
            room: Room {
                kv_tokens: 100_000,
                transit: TRANSIT,
                one_version: true,
                ..Room::new(slots, 64)
            },
            has_base: true,
            incoming: Some(Vec::new()),
            resident: resident.iter().map(|text| adapter(text)).collect(),
        };
        residency.on_probe(now, key, &answer);
        Self {
            residency,
            key,
            answer,
            next: 0,
        }
    }

    fn job(&mut self, now: Instant, name: &str, prompt: u32, rank: u8) -> Job<crate::job::Queued> {
        self.next += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next,
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
        let due = Some(now + Duration::from_secs(1));
        Job::new(request, target, Priority::Normal, now, deadline).with_demand(demand, due)
    }

    fn submit(&mut self, now: Instant, name: &str, prompt: u32, rank: u8) -> JobKey {
        let job = self.job(now, name, prompt, rank);
        self.residency.submit(now, job, &Open).unwrap()
    }

    fn plan(&mut self, now: Instant) -> Vec<Action> {
        self.residency.plan(now, &Open)
    }

    fn dispatched(&mut self, now: Instant) -> Vec<JobKey> {
        let actions = self.plan(now);
        let jobs = actions.into_iter().filter_map(|action| match action {
            Action::Dispatch { job, .. } => Some(job),
            _ => None,
        });
        jobs.collect()
    }

    fn probe(&mut self, now: Instant, resident: &[&str], incoming: &[&str]) {
        self.answer.resident = resident.iter().map(|text| adapter(text)).collect();
        self.answer.incoming = Some(incoming.iter().map(|text| adapter(text)).collect());
        self.residency.on_probe(now, self.key, &self.answer);
    }
}

fn adapter(text: &str) -> AdapterRef {
    AdapterRef::parse(text).unwrap_or_else(|| AdapterRef::new(text, "1"))
}

fn loads(actions: &[Action]) -> Vec<String> {
    let loads = actions.iter().filter_map(|action| match action {
        Action::Load { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    loads.collect()
}

fn unloads(actions: &[Action]) -> Vec<String> {
    let unloads = actions.iter().filter_map(|action| match action {
        Action::Unload { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    unloads.collect()
}

#[test]
fn prompts_wait_here_while_the_engine_has_enough_to_read() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    // 300 ms of reading at the first rate of 30 tokens/ms: 9,000 tokens.
    let first = engine.submit(now, "a@1", 8_000, 1);
    let second = engine.submit(now, "a@1", 8_000, 1);
    assert_eq!(engine.dispatched(now), [first]);
    engine
        .residency
        .on_first_byte(now + Duration::from_millis(250), first);
    assert_eq!(
        engine.dispatched(now + Duration::from_millis(250)),
        [second]
    );
}

#[test]
fn request_that_waits_for_tokens_is_not_overtaken_by_smaller_ones() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let running = engine.submit(now, "a@1", 8_000, 1);
    let large = engine.submit(now + Duration::from_millis(1), "a@1", 9_000, 1);
    let small = engine.submit(now + Duration::from_millis(2), "a@1", 100, 1);
    assert_eq!(engine.dispatched(now), [running]);
    engine.residency.on_first_byte(now, running);
    assert_eq!(engine.dispatched(now), [large]);
    engine.residency.on_first_byte(now, large);
    assert_eq!(engine.dispatched(now), [small]);
}

#[test]
fn more_urgent_requests_go_first_and_late_ones_last() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let running = engine.submit(now, "a@1", 9_000, 1);
    assert_eq!(engine.dispatched(now), [running]);
    let late = engine.submit(now, "a@1", 8_000, 0);
    let later = now + Duration::from_millis(1_500);
    let less = engine.submit(later, "a@1", 8_000, 1);
    let urgent = engine.submit(later, "a@1", 8_000, 0);
    let mut order = Vec::new();
    let mut ended = running;
    for _ in 0..3 {
        engine.residency.on_first_byte(later, ended);
        let dispatched = engine.dispatched(later);
        ended = dispatched[0];
        order.extend(dispatched);
    }
    assert_eq!(order, [urgent, less, late]);
}

#[test]
fn kv_cache_is_not_promised_twice() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let first = engine.submit(now, "a@1", 60_000, 1);
    let second = engine.submit(now, "a@1", 60_000, 1);
    assert_eq!(engine.dispatched(now), [first]);
    engine.residency.on_first_byte(now, first);
    assert!(engine.dispatched(now).is_empty());
    engine.residency.on_run_end(now, first, RunEnd::Over);
    assert_eq!(engine.dispatched(now), [second]);
}

#[test]
fn several_adapters_are_on_their_way_at_once_up_to_the_limit() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 9, &[]);
    for name in ["a", "b", "c", "d", "e", "f"] {
        engine.submit(now, name, 100, 0);
    }
    let first = loads(&engine.plan(now));
    assert_eq!(first.len(), TRANSIT);
    engine.probe(now, &["a@1"], &["b@1", "c@1", "d@1"]);
    assert_eq!(loads(&engine.plan(now)).len(), 1);
}

#[test]
fn load_that_the_engine_does_not_show_is_ordered_again() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 2, &[]);
    engine.submit(now, "a", 100, 0);
    assert_eq!(loads(&engine.plan(now)), ["a@1"]);
    engine.probe(now + Duration::from_millis(100), &[], &[]);
    assert!(loads(&engine.plan(now + Duration::from_millis(100))).is_empty());
    let later = now + Duration::from_millis(500);
    engine.probe(later, &[], &[]);
    assert_eq!(loads(&engine.plan(later)), ["a@1"]);
}

#[test]
fn loads_ordered_by_another_hand_hold_places_too() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 2, &[]);
    engine.probe(now, &["x@1"], &["y@1"]);
    engine.submit(now, "a", 100, 0);
    let actions = engine.plan(now);
    assert!(loads(&actions).is_empty());
    assert_eq!(unloads(&actions), ["x@1"]);
}

#[test]
fn newer_version_replaces_the_older_once_nothing_uses_it() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    let old = engine.submit(now, "a@1", 100, 0);
    assert_eq!(engine.dispatched(now), [old]);
    let refused = engine.job(now, "a@2", 100, 0);
    let refused = engine.residency.submit(now, refused, &Open);
    assert_eq!(refused.unwrap_err().reason, NotRunReason::Overloaded);
    engine.residency.on_run_end(now, old, RunEnd::Over);
    engine.submit(now, "a@2", 100, 0);
    assert_eq!(unloads(&engine.plan(now)), ["a@1"]);
    engine
        .residency
        .on_unload_end(engine.key, &adapter("a@1"), crate::orders::OrderEnd::Done);
    assert_eq!(loads(&engine.plan(now)), ["a@2"]);
}

#[test]
fn waiting_requests_get_the_version_that_was_declared_meanwhile() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &[]);
    let job = engine.submit(now, "a@1", 100, 0);
    engine.residency.retarget(&adapter("a@2"));
    assert_eq!(loads(&engine.plan(now)), ["a@2"]);
    engine.probe(now, &["a@2"], &[]);
    assert_eq!(engine.dispatched(now), [job]);
}

#[test]
fn engine_without_its_base_model_gets_it_and_no_request_before() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a@1"]);
    engine.answer.has_base = false;
    engine.probe(now, &[], &[]);
    engine.submit(now, "a", 100, 0);
    let orders = |actions: Vec<Action>| {
        let orders = actions
            .iter()
            .filter(|a| matches!(a, Action::LoadBase { .. }));
        (orders.count(), loads(&actions).len())
    };
    assert_eq!(orders(engine.plan(now)), (1, 0));
    assert_eq!(orders(engine.plan(now)), (0, 0));
    engine.residency.on_base_refused(now, engine.key);
    assert_eq!(orders(engine.plan(now)), (0, 0));
    assert_eq!(orders(engine.plan(now + Duration::from_secs(1))), (1, 0));
    engine.answer.has_base = true;
    engine.probe(now, &[], &[]);
    assert_eq!(orders(engine.plan(now)), (0, 1));
}

#[test]
fn run_that_goes_on_under_a_new_agent_pins_its_adapter() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 1, &["a@1"]);
    let job = engine.job(now, "a@1", 100, 0);
    let adopted = engine.residency.adopt(now, engine.key, job).unwrap();
    engine.submit(now, "b", 100, 0);
    assert!(unloads(&engine.plan(now)).is_empty());
    engine.residency.on_run_end(now, adopted, RunEnd::Over);
    assert_eq!(unloads(&engine.plan(now)), ["a@1"]);
}

fn parts(ids: &[u64]) -> Vec<Part> {
    ids.iter()
        .map(|id| Part {
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
fn prompt_is_kept_for_its_adapter_as_far_as_all_parts_before_are(
    #[case] adapter: &str,
    #[case] ids: &[u64],
    #[case] kept: u64,
) {
    let mut record = PrefixRecord::new(1_000);
    record.record("a", &parts(&[1, 2, 3]));
    assert_eq!(record.kept_tokens(adapter, &parts(ids)), kept);
}

#[test]
fn least_recently_used_parts_yield() {
    let mut record = PrefixRecord::new(400);
    record.record("a", &parts(&[1, 2]));
    record.record("b", &parts(&[3, 4]));
    record.record("a", &parts(&[1, 2]));
    record.record("c", &parts(&[5]));
    assert_eq!(record.kept_tokens("a", &parts(&[1, 2])), 200);
    assert_eq!(record.kept_tokens("b", &parts(&[3, 4])), 0);
}

#[test]
fn pace_is_that_of_whole_readings_though_prompts_end_together() {
    let begun = Instant::now();
    let mut pace = Pace::default();
    for round in 0..50 {
        let at = begun + Duration::from_millis(500) * round;
        let end = at + Duration::from_millis(400);
        pace.on_start(at);
        // Four prompts that one step ends, and that were read at 40 tokens/ms.
        for left in [12_000, 8_000, 4_000, 0] {
            pace.on_read(end, 4_000, left);
        }
    }
    assert!((38.0..42.0).contains(&pace.rate()), "{}", pace.rate());
    let share = pace.share(begun + Duration::from_secs(25));
    assert!((0.5..1.0).contains(&share), "{share}");
}

/// Submits a request for each adapter and returns how many loads are ordered.
fn loads_for(engine: &mut Engine, now: Instant, names: &[&str]) -> usize {
    for name in names {
        engine.submit(now, name, 100, 0);
    }
    loads(&engine.plan(now)).len()
}

#[rstest]
#[case::at_full_speed(250, TRANSIT)]
#[case::in_a_crowd(500, 1)]
fn loads_that_the_report_shows_to_be_slow_make_room_for_others(
    #[case] took_ms: u64,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut engine = Engine::new(now, 9, &[]);
    assert_eq!(loads_for(&mut engine, now, &["a"]), 1);
    let there = now + Duration::from_millis(took_ms);
    engine.probe(there, &["a@1"], &[]);
    let names = ["b", "c", "d", "e", "f"];
    assert_eq!(loads_for(&mut engine, there, &names), expected);
}

#[test]
fn engine_that_has_started_anew_loads_one_at_a_time_again() {
    let now = Instant::now();
    let settings = Settings::builder().load_share(1_000.0).load_burst(8.0);
    let mut engine = Engine::new(now, 9, &[]);
    engine.residency.settings = settings.build();
    engine.answer.boot = 2;
    // So long after the first start that it would load as many as it takes.
    let later = now + Duration::from_secs(60);
    engine.probe(later, &[], &[]);
    assert_eq!(loads_for(&mut engine, later, &["a", "b", "c"]), 1);
}
