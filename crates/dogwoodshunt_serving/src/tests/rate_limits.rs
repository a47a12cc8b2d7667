//! Rate limits of the upstreams of a plain service, which all entries share.

use crate::UpstreamPool;
use crate::pool::CallEnd;
use crate::pool::PickError;
use crate::rate_share::EntryPlace;
use crate::registry::ListedUpstream;
use dogwoodshunt_types::RateLimit;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn listed(started: u64) -> ListedUpstream {
    ListedUpstream {
        name: "u0".into(),
        service: "records".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: "a".into(),
        started,
        software: None,
        leaving: false,
    }
}

/// Returns the pool of entry `rank` of `entries`, of which the only upstream has just been
/// called and has named a limit.
fn limited_pool(now: Instant, limit: f64, entries: u32, rank: u32) -> UpstreamPool {
    let mut pool = UpstreamPool::default();
    pool.upsert(&listed(1), None);
    pool.set_place(EntryPlace {
        entries,
        rank: Some(rank),
    });
    assert!(call(&mut pool, now).is_ok());
    pool.set_rate_limit("u0", 1, RateLimit::per_second(limit));
    pool
}

fn call(pool: &mut UpstreamPool, now: Instant) -> Result<(), PickError> {
    pool.pick(now, "a", &[], None)?;
    pool.on_call_ended(now, "u0", CallEnd::Answered);
    Ok(())
}

/// Plays callers that press at each entry, either all the while or after a pause in which every
/// entry may have saved a request.
#[rstest]
fn all_entries_together_keep_to_the_limit(
    #[values(1, 2, 4, 27, 60, 1_400)] entries: u32,
    #[values(0.0, 0.4, 1.0, 1.2, 9.0, 40.0)] limit: f64,
    #[values(0, 900, 20_000)] pause_s: u64,
) {
    let pause = Duration::from_secs(pause_s);
    let start = Instant::now();
    let pools = (0..entries).map(|rank| limited_pool(start, limit, entries, rank));
    let mut pools: Vec<UpstreamPool> = pools.collect();
    let mut sent: Vec<Instant> = Vec::new();
    for step in 1..=600 {
        let now = start + pause + Duration::from_millis(50) * step;
        for pool in &mut pools {
            sent.extend(call(pool, now).is_ok().then_some(now));
        }
    }
    let in_window = |from: &Instant| {
        let until = *from + WINDOW;
        sent.iter().filter(|at| (*from..until).contains(at)).count()
    };
    let most = sent.iter().map(in_window).max().unwrap_or(0);
    let allowed = limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
    assert!(most as f64 <= allowed, "{most} requests in 4 s");
}

#[test]
fn entry_that_has_used_its_share_learns_when_the_next_call_is_allowed() {
    let now = Instant::now();
    let mut pool = limited_pool(now, 2.0, 4, 0);
    let later = now + Duration::from_millis(500);
    let ends_in = Duration::from_millis(1_500);
    assert_eq!(
        call(&mut pool, later),
        Err(PickError::AllPaused { ends_in })
    );
    assert_eq!(call(&mut pool, later + ends_in), Ok(()));
}

#[test]
fn every_entry_calls_a_limited_upstream_now_and_then() {
    let start = Instant::now();
    for rank in 0..27 {
        let mut pool = limited_pool(start, 1.0, 27, rank);
        let Err(PickError::AllPaused { ends_in }) = call(&mut pool, start) else {
            panic!("the limit has no effect");
        };
        assert!(ends_in <= Duration::from_secs(510), "{ends_in:?}");
        assert_eq!(call(&mut pool, start + ends_in), Ok(()));
    }
}

#[test]
fn limit_ends_with_the_process_that_named_it() {
    let now = Instant::now();
    let mut pool = limited_pool(now, 1.0, 4, 0);
    pool.upsert(&listed(1), None);
    assert!(call(&mut pool, now).is_err());
    pool.upsert(&listed(2), None);
    // A late response of the earlier process tells nothing about this one.
    pool.set_rate_limit("u0", 1, RateLimit::per_second(1.0));
    assert_eq!(call(&mut pool, now), Ok(()));
    assert_eq!(call(&mut pool, now), Ok(()));
}
