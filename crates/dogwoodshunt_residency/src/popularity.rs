//! Exponentially decayed request count of each adapter.

use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Decayed count, in requests, below which an adapter is removed.
const MIN_COUNT: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    value: f64,
    updated_at: Instant,
}

/// Exponentially decayed request count of each adapter.
#[derive(Clone, Debug)]
pub struct Popularity {
    half_life: Duration,
    counts: HashMap<AdapterRef, DecayedCount>,
}

impl Popularity {
    /// Creates an empty set of counts that halve every `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: HashMap::new(),
        }
    }

    /// Counts one request for `adapter`.
    pub fn record(&mut self, now: Instant, adapter: &AdapterRef) {
        let value = self.get(now, adapter) + 1.0;
        self.counts.insert(
            adapter.clone(),
            DecayedCount {
                value,
                updated_at: now,
            },
        );
    }

    /// Returns the decayed count of `adapter`, in requests.
    pub fn get(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| self.decayed(now, *count))
    }

    /// Returns each adapter with its decayed count, in requests.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&AdapterRef, f64)> {
        let counts = self.counts.iter();
        counts.map(move |(adapter, count)| (adapter, self.decayed(now, *count)))
    }

    /// Removes adapters whose decayed count is below 0.01 requests.
    pub fn prune(&mut self, now: Instant) {
        let negligible: Vec<AdapterRef> = self
            .counts
            .iter()
            .filter(|(_, count)| self.decayed(now, **count) < MIN_COUNT)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in negligible {
            self.counts.remove(&adapter);
        }
    }

    /// Returns the number of adapters with a count.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter has a count.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decayed(&self, now: Instant, count: DecayedCount) -> f64 {
        let age = now
            .saturating_duration_since(count.updated_at)
            .as_secs_f64();
        count.value * (-age / self.half_life.as_secs_f64()).exp2()
    }
}
