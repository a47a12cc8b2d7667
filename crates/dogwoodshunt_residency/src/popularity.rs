//! Exponentially decayed request counts per adapter.

use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Count below which an adapter is forgotten.
const NEGLIGIBLE: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Instant,
}

/// Decayed request counts; each halves every half-life.
#[derive(Clone, Debug)]
pub struct Popularity {
    half_life: Duration,
    counts: HashMap<AdapterRef, Count>,
}

impl Popularity {
    /// Creates an empty record.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: HashMap::new(),
        }
    }

    /// Counts one request for `adapter`.
    pub fn record(&mut self, now: Instant, adapter: &AdapterRef) {
        let value = self.get(now, adapter) + 1.0;
        self.counts
            .insert(adapter.clone(), Count { value, at: now });
    }

    /// Returns the decayed count of `adapter`, in requests.
    pub fn get(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| self.decayed(now, *count))
    }

    /// Returns all decayed counts.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&AdapterRef, f64)> {
        let counts = self.counts.iter();
        counts.map(move |(adapter, count)| (adapter, self.decayed(now, *count)))
    }

    /// Forgets adapters that have fallen idle.
    pub fn prune(&mut self, now: Instant) {
        let idle: Vec<AdapterRef> = self
            .counts
            .iter()
            .filter(|(_, count)| self.decayed(now, **count) < NEGLIGIBLE)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in idle {
            self.counts.remove(&adapter);
        }
    }

    /// Returns how many adapters are remembered.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter is remembered.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decayed(&self, now: Instant, count: Count) -> f64 {
        let age = now.saturating_duration_since(count.at).as_secs_f64();
        count.value * (-age / self.half_life.as_secs_f64()).exp2()
    }
}
