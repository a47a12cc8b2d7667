//! Estimate of the prompt prefixes in an engine's KV cache.
//!
//! An engine caches a prompt part per adapter and can reuse it only if all
//! preceding parts are cached too. The key of a part is therefore a hash of the
//! adapter and of all parts up to and including the part itself.

use crate::demand::PromptPart;
use dogwoodshunt_types::rendezvous;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// Hash of an adapter and a sequence of prompt parts.
type PrefixHash = u64;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_used: u64,
}

/// Estimate of the prompt parts that one engine caches, with least-recently-used
/// eviction.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// Size of the engine's KV cache, in tokens.
    capacity: u64,
    /// Sum of the tokens of all cached parts.
    tokens: u64,
    /// Logical time, incremented with each use of a part.
    clock: u64,
    cached: HashMap<PrefixHash, CachedPart>,
    by_last_use: BTreeMap<u64, PrefixHash>,
}

impl PrefixIndex {
    /// Creates an empty index of an engine whose KV cache holds `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            clock: 0,
            cached: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the length of the cached prefix of a prompt for `adapter`, in tokens.
    pub fn cached_tokens(&self, adapter: &str, parts: &[PromptPart]) -> u64 {
        let mut cached = 0;
        for (hash, part) in prefix_hashes(adapter, parts) {
            if !self.cached.contains_key(&hash) {
                break;
            }
            cached += u64::from(part.tokens);
        }
        cached
    }

    /// Records that the engine processes a prompt of `adapter` and caches its parts.
    pub fn record(&mut self, adapter: &str, parts: &[PromptPart]) {
        for (hash, part) in prefix_hashes(adapter, parts) {
            self.touch(hash, u64::from(part.tokens));
        }
        self.evict();
    }

    /// Removes all parts, as a restart of the engine does.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Sets the size of the engine's KV cache, in tokens.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict();
    }

    fn touch(&mut self, hash: PrefixHash, tokens: u64) {
        self.clock += 1;
        let last_used = self.clock;
        let previous = self.cached.insert(hash, CachedPart { tokens, last_used });
        if let Some(previous) = previous {
            self.by_last_use.remove(&previous.last_used);
            self.tokens -= previous.tokens;
        }
        self.by_last_use.insert(last_used, hash);
        self.tokens += tokens;
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some(cached) = self.cached.remove(&hash) {
                self.tokens -= cached.tokens;
            }
        }
    }
}

fn prefix_hashes<'a>(
    adapter: &str,
    parts: &'a [PromptPart],
) -> impl Iterator<Item = (PrefixHash, &'a PromptPart)> {
    let seed = rendezvous::hash(adapter.as_bytes(), 0);
    parts.iter().scan(seed, |hash, part| {
        *hash = rendezvous::hash(&part.id.to_le_bytes(), *hash);
        Some((*hash, part))
    })
}
