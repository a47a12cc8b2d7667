//! Lost responses that entries report, which the agent passes on to all entries.

use crate::control::Control;
use dogwoodshunt_wire::frame::CRASH_MEMORY;
use dogwoodshunt_wire::frame::RequestObservation;
use std::collections::VecDeque;
use std::time::Instant;

/// Maximum number of observations that are kept. The oldest is dropped first.
const MAX_RECORDS: usize = 512;

/// Observation of an entry.
#[derive(Debug)]
struct Record {
    /// Number of the record, from 1.
    number: u64,
    at: Instant,
    seen: RequestObservation,
}

/// Observations of entries, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    records: VecDeque<Record>,
    last_number: u64,
}

impl RequestLog {
    /// Adds an observation; returns whether it is new.
    fn add(&mut self, now: Instant, seen: RequestObservation) -> bool {
        let at = now.checked_sub(seen.age).unwrap_or(now);
        let is_known = self.records.iter().any(|known| {
            let is_same =
                known.seen.fingerprint == seen.fingerprint && known.seen.lost_at == seen.lost_at;
            is_same && (seen.lost_at.is_some() || known.at >= at)
        });
        if is_known {
            return false;
        }
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.last_number += 1;
        let number = self.last_number;
        self.records.push_back(Record { number, at, seen });
        true
    }

    /// Returns the observations after number `after`, and the number of the last one.
    pub(super) fn after(&self, now: Instant, after: u64) -> (Vec<RequestObservation>, u64) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let records = self.records.iter();
        let records =
            records.filter(|record| record.number > after && age(record.at) < CRASH_MEMORY);
        let seen = records.map(|record| RequestObservation {
            age: age(record.at),
            ..record.seen.clone()
        });
        (seen.collect(), self.last_number)
    }
}

impl Control {
    /// Passes on what an entry has seen, if it is new.
    pub(super) fn on_request_observations(&mut self, now: Instant, seen: Vec<RequestObservation>) {
        let new = seen
            .into_iter()
            .filter(|seen| self.request_log.add(now, seen.clone()));
        if new.count() > 0 {
            self.send_all_heartbeats(now);
        }
    }
}
