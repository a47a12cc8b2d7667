//! Quarantine of prompt parts that crash engines.

use crate::PromptQuarantine;
use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_residency::demand::PromptPartId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const DEADLY: PromptPartId = 0xdead;

/// Quarantine that is fed with crashes of ever new engine processes.
struct Play {
    quarantine: PromptQuarantine,
    now: Instant,
    crash_count: u64,
}

impl Play {
    fn new() -> Self {
        Self {
            quarantine: PromptQuarantine::default(),
            now: Instant::now(),
            crash_count: 0,
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn answer(&mut self, parts: &[PromptPartId]) {
        self.quarantine.on_answer(self.now, &prompt(parts));
    }

    /// Reports a crash with one unanswered prompt for each of `suspects`. Returns the parts that
    /// are quarantined then.
    fn crash(&mut self, suspects: &[&[PromptPartId]]) -> Vec<PromptPartId> {
        self.crash_count += 1;
        let process = ("agent".into(), self.crash_count);
        let suspects: Vec<Vec<PromptPartId>> =
            suspects.iter().map(|parts| parts.to_vec()).collect();
        self.quarantine
            .on_crash(self.now, process, self.now, &suspects)
    }

    fn refuses(&self, parts: &[PromptPartId]) -> bool {
        self.quarantine.until(self.now, &prompt(parts)).is_some()
    }
}

fn prompt(parts: &[PromptPartId]) -> Vec<PromptPart> {
    let parts = parts.iter();
    parts.map(|id| PromptPart { id: *id, tokens: 1 }).collect()
}

#[test]
fn unanswered_part_of_three_crashes_is_refused_and_its_sound_neighbours_are_not() {
    let mut play = Play::new();
    for crash in 0..3 {
        play.answer(&[1, 2]);
        play.wait(300);
        let added = play.crash(&[&[1, 2, DEADLY], &[1, 10 + crash]]);
        assert_eq!(added.is_empty(), crash < 2);
    }
    assert!(play.refuses(&[1, 2, DEADLY]));
    assert!(play.refuses(&[DEADLY]));
    assert!(!play.refuses(&[1, 2]));
    assert!(!play.refuses(&[1, 10]));
}

#[test]
fn part_that_was_answered_is_not_refused_whatever_crashes() {
    let mut play = Play::new();
    for _ in 0..20 {
        play.answer(&[1]);
        play.wait(300);
        assert!(play.crash(&[&[1]]).is_empty());
    }
}

#[test]
fn answer_after_a_crash_clears_the_part() {
    let mut play = Play::new();
    for _ in 0..2 {
        play.wait(300);
        play.crash(&[&[1]]);
    }
    play.answer(&[1]);
    play.wait(20_000);
    assert!(play.crash(&[&[1]]).is_empty());
}

#[test]
fn engines_of_a_rack_that_crash_together_count_as_one() {
    let mut play = Play::new();
    for _ in 0..20 {
        play.wait(2);
        assert!(play.crash(&[&[1]]).is_empty());
    }
}

#[test]
fn repeated_report_of_a_crash_has_no_effect() {
    let mut play = Play::new();
    for _ in 0..5 {
        play.wait(300);
        let process = ("agent".into(), 7);
        let suspects = [vec![1]];
        let added = play
            .quarantine
            .on_crash(play.now, process, play.now, &suspects);
        assert!(added.is_empty());
    }
}

#[rstest]
#[case::deadly_part_last(&[5, DEADLY], &[5])]
#[case::deadly_part_first(&[DEADLY, 5], &[5])]
fn sound_part_that_was_never_answered_is_served_again_after_few_more_crashes(
    #[case] deadly: &[PromptPartId],
    #[case] sound: &[PromptPartId],
) {
    let mut play = Play::new();
    for crash in 0..6 {
        play.wait(300);
        // Without the quarantined part, requests with the other one still arrive.
        let prompt = if play.refuses(deadly) {
            &[DEADLY][..]
        } else {
            deadly
        };
        if !play.refuses(prompt) {
            play.crash(&[prompt]);
        }
        assert!(crash < 2 || play.refuses(deadly));
    }
    assert!(play.refuses(&[DEADLY]));
    play.wait(600_000);
    play.quarantine.expire(play.now);
    assert!(!play.refuses(sound));
}

#[test]
fn quarantined_part_is_tried_again_after_ten_minutes() {
    let mut play = Play::new();
    for _ in 0..3 {
        play.wait(300);
        play.crash(&[&[1]]);
    }
    assert!(play.refuses(&[1]));
    play.wait(599_000);
    assert!(play.refuses(&[1]));
    play.wait(2_000);
    assert!(!play.refuses(&[1]));
}

/// Time after the fifth crash by which the part must be refused.
const REFUSED_AFTER: Duration = Duration::from_secs(3);

/// Requests with the part that may still reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;

/// Plays a fleet in which engines crash at random, with `share` of the requests having the
/// deadly part, as one of several entries sees it. Returns how many requests with the part
/// reach engines too late, and the refused parts.
fn play_fleet(seed: u64, share: f64) -> (usize, Vec<PromptPartId>) {
    const STEP_MS: u64 = 10;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut play = Play::new();
    let mut deadly_crashes: Vec<Instant> = Vec::new();
    let mut refused = Vec::new();
    for step in 0..6_000 {
        play.wait(STEP_MS);
        // A request of this entry, with parts of falling popularity.
        let group = (rng.random::<f64>().powi(3) * 40.0) as u64;
        let sound = [1 + group % 3, 100 + group];
        if rng.random_bool(0.8) {
            play.answer(&sound);
        }
        let unanswered = [1 + group % 3, 100 + rng.random_range(0..40)];
        if step > 500 && rng.random_bool(share) && !play.refuses(&[sound[0], sound[1], DEADLY]) {
            deadly_crashes.push(play.now);
            let deadly = [sound[0], sound[1], DEADLY];
            refused.extend(play.crash(&[&deadly, &unanswered]));
        } else if rng.random_bool(0.005) {
            refused.extend(play.crash(&[&unanswered, &sound]));
        }
    }
    let known_at = deadly_crashes.get(4).map(|fifth| *fifth + REFUSED_AFTER);
    let is_late = |at: &&Instant| known_at.is_some_and(|known_at| **at > known_at);
    (deadly_crashes.iter().filter(is_late).count(), refused)
}

#[rstest]
fn deadly_part_reaches_few_engines_of_a_busy_fleet_after_the_fifth_crash(
    #[values(0.002, 0.02, 0.1)] share: f64,
) {
    for seed in 0..40 {
        let (late, refused) = play_fleet(seed, share);
        assert_eq!(refused, [DEADLY], "seed {seed}");
        assert!(late <= MAX_LATE_REQUESTS, "seed {seed}: {late} requests");
    }
}

#[test]
fn no_part_is_refused_while_engines_of_a_busy_fleet_crash_for_other_reasons() {
    for seed in 0..100 {
        let (_, refused) = play_fleet(seed, 0.0);
        assert!(refused.is_empty(), "seed {seed}: {refused:?}");
    }
}
