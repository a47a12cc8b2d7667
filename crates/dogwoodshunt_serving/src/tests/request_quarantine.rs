//! Requests that crash upstreams.

use crate::RequestQuarantine;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::UpstreamProcess;
use std::time::Duration;
use std::time::Instant;

const DEADLY: RequestFingerprint = 7;

fn lost(fingerprint: RequestFingerprint, upstream: u64, age: Duration) -> RequestObservation {
    RequestObservation {
        fingerprint,
        lost_at: Some(UpstreamProcess {
            name: format!("u{upstream}").into(),
            started: upstream,
        }),
        age,
    }
}

fn answered(fingerprint: RequestFingerprint, age: Duration) -> RequestObservation {
    RequestObservation {
        fingerprint,
        lost_at: None,
        age,
    }
}

/// Returns a quarantine that has seen three processes lose the response to [`DEADLY`].
fn quarantined(now: Instant) -> RequestQuarantine {
    let mut quarantine = RequestQuarantine::default();
    for upstream in 0..3 {
        assert!(quarantine.until(now, DEADLY).is_none());
        assert!(quarantine.observe(now, &lost(DEADLY, upstream, Duration::ZERO)));
    }
    quarantine
}

#[test]
fn request_that_three_processes_lost_is_refused_and_no_other_is() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    let end = quarantine.until(now, DEADLY).unwrap();
    assert_eq!(end, now + Duration::from_secs(600));
    assert!(quarantine.until(now, DEADLY + 1).is_none());
    assert_eq!(quarantine.len(), 1);
    // Each later loss, as of a send that was on its way, extends the quarantine.
    let later = now + Duration::from_secs(5);
    quarantine.observe(later, &lost(DEADLY, 3, Duration::ZERO));
    assert_eq!(
        quarantine.until(later, DEADLY),
        Some(end + Duration::from_secs(5))
    );
    assert!(
        quarantine
            .until(end + Duration::from_secs(5), DEADLY)
            .is_none()
    );
}

#[test]
fn losses_at_one_process_count_once() {
    let now = Instant::now();
    let mut quarantine = RequestQuarantine::default();
    assert!(quarantine.observe(now, &lost(DEADLY, 0, Duration::ZERO)));
    for _ in 0..9 {
        assert!(!quarantine.observe(now, &lost(DEADLY, 0, Duration::ZERO)));
    }
    assert!(quarantine.until(now, DEADLY).is_none());
}

#[test]
fn answered_request_is_not_refused_in_whatever_order_entries_tell() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut quarantine = quarantined(now);
    assert!(quarantine.observe(now + second, &answered(DEADLY, Duration::ZERO)));
    assert!(quarantine.until(now + second, DEADLY).is_none());
    // Losses before the answer that arrive after it tell nothing.
    for upstream in 4..8 {
        let late = lost(DEADLY, upstream, second * 3);
        assert!(!quarantine.observe(now + second * 2, &late));
    }
    assert!(quarantine.until(now + second * 2, DEADLY).is_none());
    // An answer that is older than a loss does not void it.
    let mut quarantine = quarantined(now);
    quarantine.observe(now, &answered(DEADLY, second));
    assert!(quarantine.until(now, DEADLY).is_some());
}

#[test]
fn answer_to_a_request_without_losses_is_not_passed_on() {
    let now = Instant::now();
    let mut quarantine = RequestQuarantine::default();
    assert!(!quarantine.observe(now, &answered(DEADLY, Duration::ZERO)));
}

#[test]
fn request_is_not_repeated_by_the_entry_after_its_second_loss() {
    let now = Instant::now();
    let mut quarantine = RequestQuarantine::default();
    assert!(quarantine.may_repeat(DEADLY));
    quarantine.observe(now, &lost(DEADLY, 0, Duration::ZERO));
    assert!(quarantine.may_repeat(DEADLY));
    quarantine.observe(now, &lost(DEADLY, 1, Duration::ZERO));
    assert!(!quarantine.may_repeat(DEADLY));
}

#[test]
fn memory_is_bounded_and_keeps_the_requests_with_the_most_losses() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    for fingerprint in 100..10_000 {
        quarantine.observe(now, &lost(fingerprint, 0, Duration::ZERO));
    }
    assert!(quarantine.until(now, DEADLY).is_some());
    let observations = quarantine.observations(now);
    assert_eq!(observations.len(), 256);
    let of_deadly = observations
        .iter()
        .take(3)
        .filter(|seen| seen.fingerprint == DEADLY);
    assert_eq!(of_deadly.count(), 3);
    let later = now + Duration::from_secs(600);
    quarantine.expire(later);
    assert!(quarantine.observations(later).is_empty());
}
