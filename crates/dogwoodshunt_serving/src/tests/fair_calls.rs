//! Plays the calls of workspaces to a plain service with few slots.

use crate::fair_calls::FairCalls;
use dogwoodshunt_types::WorkspaceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const STEP: Duration = Duration::from_millis(1);

/// Work of a call.
const CALL: Duration = Duration::from_millis(15);

/// Entries whose calls the upstreams take.
const ENTRIES: usize = 3;

const SLOTS: usize = 18;

const WORKSPACES: usize = 4;

/// Plays 10 s in which the first workspace calls `burst` times as often as each other one, and
/// returns for each workspace the share of its calls that was served, and the mean use of the slots.
fn play(per_second: f64, burst: f64, is_bounded: bool) -> (Vec<f64>, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let start = Instant::now();
    let mut entries = vec![FairCalls::default(); ENTRIES];
    let names: Vec<WorkspaceName> = (0..WORKSPACES).map(|n| format!("w{n}").into()).collect();
    let mut running: Vec<(Instant, usize, usize)> = Vec::new();
    let mut sent = [0_u32; WORKSPACES];
    let mut served = [0_u32; WORKSPACES];
    let mut used = 0;
    let steps = 10_000;
    for step in 0..steps {
        let now = start + STEP * step;
        running.retain(|(end, entry, workspace)| {
            let has_ended = *end <= now;
            if has_ended && is_bounded {
                entries[*entry].on_ended(now, &names[*workspace], false);
            }
            !has_ended
        });
        for (workspace, name) in names.iter().enumerate() {
            let factor = if workspace == 0 { burst } else { 1.0 };
            let mut expected = per_second * factor * STEP.as_secs_f64();
            while expected > 0.0 {
                if rng.random_bool(expected.min(1.0)) {
                    sent[workspace] += 1;
                    let entry = rng.random_range(0..ENTRIES);
                    if !is_bounded || entries[entry].begin(now, name).is_ok() {
                        if running.len() < SLOTS {
                            served[workspace] += 1;
                            running.push((now + CALL, entry, workspace));
                        } else if is_bounded {
                            entries[entry].on_ended(now, name, true);
                        }
                    }
                }
                expected -= 1.0;
            }
        }
        used += running.len();
    }
    let ratios = sent.iter().zip(served);
    let ratios = ratios.map(|(sent, served)| f64::from(served) / f64::from(*sent));
    (ratios.collect(), used as f64 / f64::from(steps))
}

#[rstest]
fn workspace_with_many_calls_leaves_slots_to_the_others(#[values(20.0, 60.0)] burst: f64) {
    let (bounded, used) = play(100.0, burst, true);
    let (unbounded, used_unbounded) = play(100.0, burst, false);
    for workspace in 1..WORKSPACES {
        assert!(
            bounded[workspace] > unbounded[workspace] + 0.1,
            "{bounded:?} instead of {unbounded:?}"
        );
        assert!(bounded[workspace] > bounded[0], "{bounded:?}");
    }
    assert!(used > 0.75 * used_unbounded, "{used} of {used_unbounded}");
}

#[test]
fn nothing_is_bounded_without_shortage() {
    let (bounded, used) = play(50.0, 4.0, true);
    let (unbounded, used_unbounded) = play(50.0, 4.0, false);
    assert_eq!(bounded, unbounded);
    assert!((used - used_unbounded).abs() < f64::EPSILON);
}

#[test]
fn workspace_that_is_alone_gets_all_slots() {
    let now = Instant::now();
    let mut calls = FairCalls::default();
    let name: WorkspaceName = "a".into();
    for _ in 0..6 {
        assert!(calls.begin(now, &name).is_ok());
    }
    calls.on_ended(now, &name, true);
    for _ in 0..6 {
        assert!(calls.begin(now, &name).is_ok());
    }
}

#[test]
fn bound_ends_with_the_shortage() {
    let now = Instant::now();
    let mut calls = FairCalls::default();
    let (a, b): (WorkspaceName, WorkspaceName) = ("a".into(), "b".into());
    for _ in 0..5 {
        assert!(calls.begin(now, &a).is_ok());
    }
    assert!(calls.begin(now, &b).is_ok());
    calls.on_ended(now, &b, true);
    assert_eq!(calls.begin(now, &a), Err(Duration::from_secs(1)));
    assert!(calls.begin(now, &b).is_ok());
    assert!(calls.begin(now + Duration::from_secs(1), &a).is_ok());
}

/// Guards against a count that grows with calls of which the end is never reported.
#[test]
fn calls_without_a_reported_end_are_forgotten() {
    let now = Instant::now();
    let mut calls = FairCalls::default();
    let name: WorkspaceName = "a".into();
    assert!(calls.begin(now, &name).is_ok());
    let later = now + Duration::from_secs(30);
    assert!(calls.begin(later, &name).is_ok());
    assert_eq!(calls.in_flight(&name), 1);
}
