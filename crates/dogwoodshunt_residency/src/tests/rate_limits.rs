//! Tests of the rate limit that an upstream names.

use super::engine_limits::Engine;
use crate::Action;
use crate::JobKey;
use crate::job::RunOutcome;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RateLimit;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

/// Interval between two planning steps.
const STEP: Duration = Duration::from_millis(20);

fn limited_engine(now: Instant, per_second: f64) -> Engine {
    let mut engine = Engine::new(now, 4, &["a"]);
    let limit = RateLimit::per_second(per_second);
    engine.scheduler.set_rate_limit(engine.key, limit);
    engine
}

fn refused(actions: &[Action]) -> Vec<(JobKey, NotRunReason)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::NotRun { job, refusal } => Some((*job, refusal.not_run.reason)),
        _ => None,
    });
    refused.collect()
}

/// Plays more requests than the engine takes, and counts what it gets in each 4 s.
#[rstest]
#[case(1.0)]
#[case(1.2)]
#[case(7.5)]
fn engine_gets_requests_at_its_rate_and_the_others_are_refused_at_once(#[case] per_second: f64) {
    let start = Instant::now();
    let mut engine = limited_engine(start, per_second);
    let mut dispatched: Vec<Instant> = Vec::new();
    let (mut submitted, mut refused_count) = (0, 0);
    for step in 0..600 {
        let now = start + STEP * step;
        if step % 2 == 0 {
            engine.submit(now, "a", 10, 1);
            submitted += 1;
        }
        let actions = engine.plan(now);
        for action in &actions {
            match action {
                Action::Dispatch { job, .. } => {
                    dispatched.push(now);
                    engine.scheduler.on_run_end(now, *job, RunOutcome::Finished);
                }
                Action::NotRun { .. } => refused_count += 1,
                _ => {}
            }
        }
        for (job, _) in refused(&actions) {
            assert!(engine.scheduler.job(job).is_none());
        }
        // Nothing waits that could not run in time.
        let waiting = engine.scheduler.queued_len() as f64;
        assert!(waiting <= per_second + 1.0, "{waiting} requests wait");
    }
    let window = Duration::from_secs(4);
    let in_window = |from: &Instant| {
        let until = *from + window;
        dispatched
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    let most = dispatched.iter().map(in_window).max().unwrap();
    assert!(
        most as f64 <= per_second * 4.0 + 1.0,
        "{most} requests in 4 s"
    );
    assert!(
        dispatched.len() as f64 >= 12.0 * per_second - 1.0,
        "{} requests",
        dispatched.len()
    );
    assert_eq!(
        submitted,
        dispatched.len() + refused_count + engine.scheduler.queued_len()
    );
}

#[test]
fn limit_counts_from_the_last_request_before_it_was_known() {
    let now = Instant::now();
    let mut engine = Engine::new(now, 4, &["a"]);
    engine.submit(now, "a", 10, 1);
    assert_eq!(engine.dispatched(now).len(), 1);
    engine
        .scheduler
        .set_rate_limit(engine.key, RateLimit::per_second(2.0));
    engine.submit(now, "a", 10, 1);
    assert!(
        engine
            .dispatched(now + Duration::from_millis(480))
            .is_empty()
    );
    assert_eq!(engine.dispatched(now + Duration::from_millis(500)).len(), 1);
}

#[test]
fn request_that_the_limit_keeps_beyond_its_objective_is_refused_for_another_agent() {
    let now = Instant::now();
    let mut engine = limited_engine(now, 0.5);
    let first = engine.submit(now, "a", 10, 1);
    assert_eq!(engine.dispatched(now), [first]);
    // The objective is 1 s, the deadline 5 s, the next dispatch is due in 2 s.
    let second = engine.submit(now, "a", 10, 1);
    let actions = engine.plan(now);
    assert_eq!(refused(&actions), [(second, NotRunReason::Overloaded)]);
}

#[test]
fn restarted_engine_has_no_limit() {
    let now = Instant::now();
    let mut engine = limited_engine(now, 0.5);
    engine.submit(now, "a", 10, 1);
    engine.dispatched(now);
    engine.response.boot = 2;
    engine.probe(now, &["a"], &[]);
    engine.submit(now, "a", 10, 1);
    assert_eq!(engine.dispatched(now).len(), 1);
}

#[test]
fn report_tells_whether_the_limit_allows_a_request() {
    let now = Instant::now();
    let mut engine = limited_engine(now, 2.0);
    let reported = |engine: &Engine, now| {
        let report = engine.scheduler.report(now);
        let upstream = &report.upstreams[0];
        (upstream.rate_limit, upstream.waits_for_rate)
    };
    let limit = RateLimit::per_second(2.0);
    assert_eq!(reported(&engine, now), (limit, false));
    engine.submit(now, "a", 10, 1);
    engine.dispatched(now);
    assert_eq!(reported(&engine, now), (limit, true));
    let later = now + Duration::from_millis(450);
    assert_eq!(reported(&engine, later), (limit, false));
}
