//! Division of the rate limit of an upstream among the entries.
//!
//! An upstream of a plain service names a limit for the requests of all entries, and no process
//! sees the requests of all of them. Each entry therefore sends at its share of the limit. An
//! entry that has sent nothing for some time may send at once, so the entries together may
//! exceed the limit by one request each. At a low limit only a few entries share it. The others
//! send a request now and then, which shows them whether the limit has ended.

use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::rendezvous;
use std::time::Duration;
use std::time::Instant;

/// Number of entries that share even the lowest limit.
const MIN_SHARERS: f64 = 3.0;

/// Mean time between the requests of all entries together that have no share.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Time within which an entry without a share sends its request or leaves it out, so that the
/// entries save no requests while they have no callers.
const PROBE_WINDOW: Duration = Duration::from_secs(4);

/// Place of this entry among all entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryPlace {
    /// Number of entries.
    pub entries: u32,
    /// Position of this entry in an order on which the entries agree, from 0; `None` if it is
    /// not known.
    pub rank: Option<u32>,
}

impl EntryPlace {
    /// Returns when this entry may send the next request to `upstream`, which names `limit` and
    /// to which this entry sent the last one at `last`.
    pub fn next_request_at(
        &self,
        now: Instant,
        upstream: &str,
        limit: RateLimit,
        last: Instant,
    ) -> Instant {
        let entries = self.entries.max(1);
        let Some(rank) = self.rank else {
            return last + limit.interval() * entries;
        };
        let per_second = 1.0 / limit.interval().as_secs_f64();
        let sharers = ((MIN_SHARERS + per_second) as u32).min(entries);
        // Another part of the entries shares the limit of another upstream.
        let offset = rendezvous::hash(upstream.as_bytes(), 0) % u64::from(entries);
        let offset = u32::try_from(offset).unwrap_or(0);
        let place = (rank % entries + offset) % entries;
        if place < sharers {
            return last + limit.interval() * sharers;
        }
        // The times differ, so that the entries do not send all at once.
        let interval = PROBE_INTERVAL.max(limit.interval()) * (entries + place - sharers);
        let elapsed = now.saturating_duration_since(last);
        let intervals = (elapsed.as_secs_f64() / interval.as_secs_f64()) as u32;
        let probe_at = last + interval * intervals.max(1);
        if now < probe_at + PROBE_WINDOW {
            probe_at
        } else {
            probe_at + interval
        }
    }
}
