//! Questions for the origins of streams that this entry does not know.

use dogwoodshunt_types::StreamId;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Time after which a stream that no agent has known counts as unknown: enough for an entry that has
/// just started to connect to its agents.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of streams that are looked up at the same time.
const MAX_LOOKUPS: usize = 1_024;

/// Maximum number of requests that wait for the origin of one stream.
const MAX_WAITERS: usize = 16;

#[derive(Debug)]
struct Lookup<A, W> {
    /// Agents that have not said that they do not know the stream.
    awaited: Vec<A>,
    waiters: Vec<W>,
    ends_at: Instant,
}

/// Streams whose origins are being looked up; `A` are agents and `W` the requests that wait.
#[derive(Debug)]
pub struct Lookups<A, W> {
    by_stream: HashMap<StreamId, Lookup<A, W>>,
}

impl<A, W> Default for Lookups<A, W> {
    fn default() -> Self {
        Self {
            by_stream: HashMap::new(),
        }
    }
}

/// What becomes of a request whose stream is to be looked up.
#[derive(Debug, Eq, PartialEq)]
pub enum Begin<W> {
    /// The agents are to be asked, as far as they are connected.
    Ask,
    /// The agents have been asked before.
    Waits,
    /// Nobody can be asked, or too much is asked already; the waiter is returned.
    Unknown(W),
}

impl<A: Copy + Eq, W> Lookups<A, W> {
    /// Begins to look up a stream for one request, or adds the request to the lookup of its stream.
    pub fn begin(&mut self, now: Instant, stream: StreamId, agents: Vec<A>, waiter: W) -> Begin<W> {
        if let Some(lookup) = self.by_stream.get_mut(&stream) {
            if lookup.waiters.len() >= MAX_WAITERS {
                return Begin::Unknown(waiter);
            }
            lookup.waiters.push(waiter);
            return Begin::Waits;
        }
        if agents.is_empty() || self.by_stream.len() >= MAX_LOOKUPS {
            return Begin::Unknown(waiter);
        }
        let lookup = Lookup {
            awaited: agents,
            waiters: vec![waiter],
            ends_at: now + LOOKUP_TIMEOUT,
        };
        self.by_stream.insert(stream, lookup);
        Begin::Ask
    }

    /// Ends the lookup of a stream whose origin is known now, and returns the requests that wait.
    pub fn on_known(&mut self, stream: StreamId) -> Vec<W> {
        let lookup = self.by_stream.remove(&stream);
        lookup.map_or_else(Vec::new, |lookup| lookup.waiters)
    }

    /// Records that an agent does not know a stream. If it was the last one that may know it, ends
    /// the lookup and returns the requests that wait.
    pub fn on_unknown(&mut self, stream: StreamId, agent: A) -> Vec<W> {
        let Some(lookup) = self.by_stream.get_mut(&stream) else {
            return Vec::new();
        };
        lookup.awaited.retain(|awaited| *awaited != agent);
        if lookup.awaited.is_empty() {
            self.on_known(stream)
        } else {
            Vec::new()
        }
    }

    /// Returns the streams that an agent is to be asked for, since it has connected.
    pub fn awaited_of(&self, agent: A) -> Vec<StreamId> {
        let lookups = self.by_stream.iter();
        let awaited = lookups.filter(|(_, lookup)| lookup.awaited.contains(&agent));
        awaited.map(|(stream, _)| *stream).collect()
    }

    /// Ends the lookups that have taken [`LOOKUP_TIMEOUT`], and returns the requests that wait.
    pub fn take_expired(&mut self, now: Instant) -> Vec<W> {
        let expired = self.by_stream.extract_if(|_, lookup| lookup.ends_at <= now);
        expired.flat_map(|(_, lookup)| lookup.waiters).collect()
    }
}
