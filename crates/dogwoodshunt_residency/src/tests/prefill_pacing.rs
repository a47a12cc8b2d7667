//! Tests of the pacing of prompts by the gaps that they make in streams.

use super::engine_limits::AllowAll;
use super::engine_limits::Engine;
use crate::Action;
use crate::JobKey;
use crate::job::Pacing;
use crate::job::RunOutcome;
use crate::prefill_pacing;
use crate::prefill_pacing::BegunStreams;
use crate::prefill_pacing::Pace;
use crate::prefill_pacing::PacingInput;
use dogwoodshunt_costs::EngineSpeed;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const GAP: Duration = Duration::from_millis(500);

/// Slowdowns of the prompts from which an engine learns that it has slow moments.
const SLOWDOWNS: [f64; 8] = [2.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

/// Returns the time in which an engine of the usual speed prefills a prompt of 1,000 tokens and
/// makes the first event.
fn prompt_time(slowdown: f64) -> Duration {
    Duration::from_secs_f64(slowdown * 2.2 / 30.0)
}

/// Guards against prompts that go although the streams don't tolerate them, or that wait although
/// that helps nobody. The engine takes 40 ms for 1,200 tokens, and 2.5 times as
/// long in a slow moment, so streams with a gap limit of 500 ms tolerate 4,800 tokens.
#[rstest]
#[case::engine_is_idle(0, 100_000, 3, Pace::Idle)]
#[case::no_stream_runs(4_000, 4_000, 0, Pace::NoStreams)]
#[case::both_prompts_fit(2_000, 2_700, 3, Pace::Tolerated)]
#[case::together_too_long(2_000, 2_900, 3, Pace::Wait)]
#[case::larger_than_any_allowance(1, 100_000, 3, Pace::Wait)]
fn prompts_wait_only_for_streams_that_do_not_tolerate_them(
    #[case] pending_prefill: u64,
    #[case] uncached: u64,
    #[case] streams: u32,
    #[case] expected: Pace,
) {
    let now = Instant::now();
    let mut speed = EngineSpeed::default();
    for slowdown in SLOWDOWNS {
        speed.record(now, 1_000, prompt_time(slowdown));
    }
    let input = PacingInput {
        uncached,
        pending_prefill,
        streams: BegunStreams {
            count: streams,
            tightest_gap: GAP,
        },
        speed: &speed,
        latest_start: Some(now + Duration::from_millis(1)),
    };
    assert_eq!(prefill_pacing::decide(now, &input), expected);
    let due = PacingInput {
        latest_start: Some(now),
        ..input
    };
    let expected = if expected == Pace::Wait {
        Pace::Due
    } else {
        expected
    };
    assert_eq!(prefill_pacing::decide(now, &due), expected);
}

struct PacedEngine {
    engine: Engine,
    now: Instant,
}

impl PacedEngine {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            engine: Engine::new(now, 4, &["a@1"]),
            now,
        }
    }

    /// Returns an engine that has learned that it has slow moments.
    fn with_slow_moments() -> Self {
        let mut engine = Self::new();
        for slowdown in SLOWDOWNS {
            let prompt = engine.submit(1_000, false);
            assert_eq!(engine.dispatched(), [prompt]);
            engine.first_byte(prompt, prompt_time(slowdown));
            let end = RunOutcome::Finished;
            engine.engine.scheduler.on_run_end(engine.now, prompt, end);
        }
        engine
    }

    fn submit(&mut self, prompt: u32, paced: bool) -> JobKey {
        let pacing = Pacing {
            max_event_gap: Some(GAP),
        };
        let job = self.engine.job(self.now, "a@1", prompt, 0);
        let job = job.with_pacing(paced.then_some(pacing));
        let submitted = self.engine.scheduler.submit(self.now, job, &AllowAll);
        submitted.expect("the job must be accepted")
    }

    fn dispatched(&mut self) -> Vec<JobKey> {
        let actions = self.engine.scheduler.plan(self.now, &AllowAll);
        let dispatches = actions.into_iter().filter_map(|action| match action {
            Action::Dispatch { job, .. } => Some(job),
            _ => None,
        });
        dispatches.collect()
    }

    fn first_byte(&mut self, job: JobKey, after: Duration) {
        self.now += after;
        self.engine.scheduler.on_first_byte(self.now, job);
    }

    /// Starts a stream of a short prompt.
    fn begin_stream(&mut self, paced: bool) -> JobKey {
        let stream = self.submit(600, paced);
        assert_eq!(self.dispatched(), [stream]);
        self.first_byte(stream, Duration::from_millis(60));
        stream
    }
}

/// Guards against two prompts in a row that make one long gap, and against a prompt that waits
/// longer than until the streams have had an event.
#[test]
fn a_prompt_waits_until_the_streams_have_had_an_event() {
    let mut engine = PacedEngine::with_slow_moments();
    engine.begin_stream(true);
    let first = engine.submit(4_000, true);
    let second = engine.submit(4_000, true);
    assert_eq!(engine.dispatched(), [first]);
    engine.first_byte(first, Duration::from_millis(150));
    assert_eq!(engine.dispatched(), [second]);
}

/// Guards against decisions that change although no entry uses learned costs.
#[test]
fn prompts_of_entries_without_learned_costs_do_not_wait() {
    let mut engine = PacedEngine::with_slow_moments();
    engine.begin_stream(false);
    let first = engine.submit(4_000, false);
    let second = engine.submit(4_000, false);
    assert_eq!(engine.dispatched(), [first, second]);
    let report = engine.engine.scheduler.report(engine.now);
    assert_eq!(report.upstreams[0].engine.and_then(|e| e.learned), None);
}

/// Guards against a wait past the time at which the waiting request misses its own objective of a
/// second.
#[test]
fn a_prompt_goes_when_it_would_begin_too_late_otherwise() {
    let mut engine = PacedEngine::with_slow_moments();
    engine.begin_stream(true);
    engine.submit(4_000, true);
    let second = engine.submit(4_000, true);
    engine.dispatched();
    engine.now += Duration::from_millis(500);
    assert_eq!(engine.dispatched(), []);
    engine.now += Duration::from_millis(150);
    assert_eq!(engine.dispatched(), [second]);
}

/// Guards against small prompts that overtake a large one for ever.
#[test]
fn a_large_prompt_goes_as_soon_as_no_prompt_is_pending() {
    let mut engine = PacedEngine::with_slow_moments();
    engine.begin_stream(true);
    let small = engine.submit(1_000, true);
    assert_eq!(engine.dispatched(), [small]);
    let large = engine.submit(8_000, true);
    engine.now += Duration::from_millis(10);
    let late = engine.submit(1_000, true);
    assert_eq!(engine.dispatched(), []);
    engine.first_byte(small, Duration::from_millis(60));
    assert_eq!(engine.dispatched(), [large]);
    engine.first_byte(large, Duration::from_millis(300));
    assert_eq!(engine.dispatched(), [late]);
}

/// Guards against streams that count before they begin or after they end.
#[test]
fn reports_count_the_begun_streams() {
    let mut engine = PacedEngine::new();
    let learned = |engine: &PacedEngine| {
        let report = engine.engine.scheduler.report(engine.now);
        let load = report.upstreams[0].engine.and_then(|engine| engine.learned);
        load.map(|load| (load.streams, load.tightest_gap))
    };
    assert_eq!(learned(&engine), None);
    let stream = engine.submit(600, true);
    engine.dispatched();
    assert_eq!(learned(&engine), Some((0, Duration::ZERO)));
    engine.first_byte(stream, Duration::from_millis(60));
    assert_eq!(learned(&engine), Some((1, GAP)));
    let end = RunOutcome::Finished;
    engine.engine.scheduler.on_run_end(engine.now, stream, end);
    assert_eq!(learned(&engine), Some((0, Duration::ZERO)));
}

/// Guards against a speed that outlives the engine's process.
#[test]
fn another_process_starts_with_a_neutral_speed() {
    let mut engine = PacedEngine::new();
    for _ in 0..6 {
        let stream = engine.begin_stream(true);
        let end = RunOutcome::Finished;
        engine.engine.scheduler.on_run_end(engine.now, stream, end);
    }
    let key = engine.engine.key;
    let is_known = |engine: &PacedEngine| {
        let upstream = engine.engine.scheduler.upstream(key);
        upstream.is_some_and(|upstream| upstream.tokens.speed.is_known())
    };
    assert!(is_known(&engine));
    engine.engine.response.boot += 1;
    let response = engine.engine.response.clone();
    engine.engine.scheduler.on_probe(engine.now, key, &response);
    assert!(!is_known(&engine));
}
