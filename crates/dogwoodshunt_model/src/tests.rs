//! Tests of the model, and of decisions by what callers get under a load.

use crate::Fleet;
use crate::Load;
use crate::Outcome;
use crate::World;
use crate::engine::Engine;
use crate::engine::Progress;
use crate::engine::Spec;
use crate::weights::Weights;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Settings as Holding;
use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_routing::Policy;
use dogwoodshunt_routing::Settings as Placing;
use rstest::rstest;
use std::time::Duration;

fn demand(prompt_tokens: u32) -> Demand {
    Demand {
        prompt_tokens,
        ..Demand::default()
    }
}

/// Runs steps until nothing runs; returns the time and what came when.
fn run(engine: &mut Engine) -> (Duration, Vec<(Duration, Progress)>) {
    let (mut at, mut seen) = (Duration::ZERO, Vec::new());
    while let Some(step) = engine.begin_step() {
        at += step;
        seen.extend(engine.end_step().into_iter().map(|p| (at, p)));
    }
    (at, seen)
}

#[test]
fn prompt_is_read_at_the_engines_rate_before_its_first_event() {
    let mut engine = Engine::new(Spec::builder().build());
    engine.submit(1, "a", &demand(8_192), 4);
    let (_, seen) = run(&mut engine);
    // 8,192 tokens at 38 a millisecond, 22 ms of attention, seven steps of 5 ms.
    let first = seen[0].0.as_secs_f64() * 1e3;
    assert!((250.0..290.0).contains(&first), "{first}");
    assert_eq!(seen[0].1, Progress::Event(1));
    assert_eq!(seen[1].1, Progress::Over(1));
}

#[test]
fn kept_parts_are_not_read_again_for_the_same_adapter() {
    let parts = vec![PromptPart {
        id: 7,
        tokens: 8_000,
    }];
    let demand = Demand {
        parts,
        prompt_tokens: 8_000,
        ..Demand::default()
    };
    let mut engine = Engine::new(Spec::builder().build());
    engine.submit(1, "a", &demand, 1);
    let (cold, _) = run(&mut engine);
    engine.submit(2, "a", &demand, 1);
    let (kept, _) = run(&mut engine);
    engine.submit(3, "b", &demand, 1);
    let (other, _) = run(&mut engine);
    assert!(kept < cold / 5, "{kept:?} after {cold:?}");
    assert!(other > cold / 2, "{other:?} after {cold:?}");
}

#[test]
fn reading_a_prompt_slows_the_answers_that_run() {
    let mut engine = Engine::new(Spec::builder().build());
    engine.submit(1, "a", &demand(100), 100);
    let (alone, _) = run(&mut engine);
    engine.submit(2, "a", &demand(100), 100);
    engine.begin_step();
    engine.end_step();
    engine.submit(3, "b", &demand(20_000), 1);
    let (beside, _) = run(&mut engine);
    assert!(beside > alone + Duration::from_millis(500), "{beside:?}");
}

#[test]
fn loads_beyond_eight_share_the_stores_speed() {
    let mut weights: Weights<u32> = Weights::default();
    (0..16).for_each(|load| weights.begin(load));
    assert!(weights.advance(Duration::from_millis(400)).is_empty());
    assert_eq!(weights.advance(Duration::from_millis(101)).len(), 16);
}

fn placing() -> Placing {
    Placing::builder()
        .home_step(Duration::from_millis(100))
        .host_cache_capacity(40)
        .loads_per_second(32.0)
        .load_weight(5.0)
        .interference_weight(0.01)
        .output_weight(0.03)
        .batch_weight(0.0)
        .homes(6)
        .build()
}

fn holding() -> Holding {
    Holding::builder()
        .fallback_loads_per_second(1_000.0)
        .fallback_load_burst(4.0)
        .granter_timeout(Duration::ZERO)
        .popularity_half_life(Duration::from_secs(10))
        .build()
}

fn play(rate: f64, placing: Placing, useful_objectives: f64) -> Outcome {
    let fleet = Fleet::builder()
        .placing(placing)
        .holding(holding())
        .useful_objectives(useful_objectives)
        .build();
    play_from_cold(fleet, rate, Duration::from_secs(15), 11)
}

/// Plays a load on engines that hold no adapter.
fn play_from_cold(fleet: Fleet, rate: f64, length: Duration, seed: u64) -> Outcome {
    let load = Load::builder().rate(rate).length(length).seed(seed).build();
    World::new(fleet).play(&load)
}

#[test]
fn every_request_of_a_load_is_answered_one_way_or_another() {
    let outcome = play(100.0, placing(), 1.4);
    for counts in &outcome.classes {
        let ended =
            counts.on_time + counts.late_first + counts.late_pause + counts.refused + counts.failed;
        assert!(counts.sent > 0);
        assert_eq!(ended, counts.sent);
    }
}

#[test]
fn same_seed_plays_the_same() {
    let first = play(100.0, placing(), 1.4);
    let second = play(100.0, placing(), 1.4);
    assert_eq!(first.classes, second.classes);
    assert_eq!(first.loads, second.loads);
}

#[rstest]
#[case(Policy::LeastLoaded)]
#[case(Policy::Random)]
#[case(Policy::Rendezvous)]
fn callers_get_more_on_time_than_by_a_baseline(#[case] policy: Policy) {
    let ours = play(100.0, placing(), 1.4);
    let baseline = Placing {
        policy,
        ..placing()
    };
    let baseline = play(100.0, baseline, 1.4);
    assert!(
        ours.on_time() > baseline.on_time(),
        "{} against {}",
        ours.on_time(),
        baseline.on_time()
    );
}

#[test]
fn popular_adapters_spread_before_their_engine_is_full() {
    // A further home that costs as much as a load keeps them together.
    let together = Placing {
        home_step: Duration::from_millis(400),
        load_weight: 0.5,
        interference_weight: 0.0,
        output_weight: 0.0,
        ..placing()
    };
    let (spread, together) = (play(100.0, placing(), 1.4), play(100.0, together, 1.4));
    assert!(
        spread.worth() > together.worth(),
        "{} against {}",
        spread.worth(),
        together.worth()
    );
}

#[test]
fn refusing_what_would_be_late_serves_more_on_time_under_overload() {
    let (early, patient) = (play(130.0, placing(), 1.4), play(130.0, placing(), 3.2));
    assert!(
        early.worth() > patient.worth() && early.on_time() > patient.on_time(),
        "{} against {}",
        early.worth(),
        patient.worth()
    );
}

/// Returns the mean share on time and the mean worth over two seeds.
fn served_from_cold(holding: &Holding, rate: f64, seconds: u64) -> (f64, f64) {
    let plays = (1..=2).map(|seed| {
        let fleet = Fleet::builder()
            .placing(placing())
            .holding(holding.clone())
            .useful_objectives(1.4)
            .build();
        play_from_cold(fleet, rate, Duration::from_secs(seconds), seed)
    });
    let plays: Vec<Outcome> = plays.collect();
    let count = plays.len() as f64;
    let on_time: f64 = plays.iter().map(Outcome::on_time).sum();
    let worth: f64 = plays.iter().map(Outcome::worth).sum();
    (on_time / count, worth / count)
}

/// Under a heavy load, where all engines have lost their adapters, as after a
/// loss of power, and where that load goes on. A calm one is served alike.
#[rstest]
#[case(110.0, 5)]
#[case(110.0, 15)]
fn loads_that_yield_to_a_crowded_store_serve_more_callers(#[case] rate: f64, #[case] seconds: u64) {
    let eager = Holding {
        initial_load_limit: 4,
        slow_load_ratio: f64::INFINITY,
        ..holding()
    };
    let yielding = served_from_cold(&holding(), rate, seconds);
    let eager = served_from_cold(&eager, rate, seconds);
    assert!(yielding.0 > eager.0, "{yielding:?}, {eager:?}");
    assert!(yielding.1 > eager.1, "{yielding:?}, {eager:?}");
}

#[test]
fn calm_load_is_served_nearly_whole() {
    let outcome = play(50.0, placing(), 1.4);
    assert!(outcome.on_time() > 0.9, "{}", outcome.on_time());
}
