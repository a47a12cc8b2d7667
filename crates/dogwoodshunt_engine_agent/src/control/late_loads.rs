//! Loads that were ordered from an engine process, got no answer and may still be carried out after
//! the engine has started again.
//!
//! Nothing in an order tells a process from its successor under the same name: fencing tokens and
//! the count of orders start anew. A slot is kept free for each such load.

use dogwoodshunt_types::UnixMillis;
use std::time::Duration;
use std::time::Instant;

/// Time within which an order without an answer may be carried out.
const LATE_ORDER_TIME: Duration = Duration::from_secs(20);

/// A load whose order got no answer.
#[derive(Clone, Copy, Debug)]
struct LateLoad {
    /// Start time of the process that the order was sent to.
    sent_to: UnixMillis,
    unanswered_at: Instant,
}

impl LateLoad {
    fn may_be_carried_out(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.unanswered_at) < LATE_ORDER_TIME
    }
}

/// Loads whose orders got no answer.
#[derive(Debug, Default)]
pub(super) struct LateLoads {
    loads: Vec<LateLoad>,
}

impl LateLoads {
    /// Adds a load that was ordered from the process that started at `sent_to`.
    pub(super) fn add(&mut self, now: Instant, sent_to: UnixMillis) {
        self.loads.retain(|load| load.may_be_carried_out(now));
        self.loads.push(LateLoad {
            sent_to,
            unanswered_at: now,
        });
    }

    /// Returns the number of loads that the process that started at `started` may carry out
    /// although they were ordered from another one. Of those ordered from the process itself, the
    /// number of orders that a later order expects excludes one of the two.
    pub(super) fn count_of_others(&self, now: Instant, started: UnixMillis) -> usize {
        let loads = self.loads.iter().filter(|load| load.sent_to != started);
        loads.filter(|load| load.may_be_carried_out(now)).count()
    }
}
