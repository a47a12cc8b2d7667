//! Record of which parts of prompts an engine is likely to keep.
//!
//! An engine keeps a part for one adapter, and can reuse it only if it keeps
//! all parts before it too. Parts are therefore recorded under a hash of the
//! adapter and of all parts up to and including the part itself.

use crate::demand::Part;
use dogwoodshunt_types::rendezvous;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// Hash of an adapter and a row of parts.
type ChainHash = u64;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u64,
    used: u64,
}

/// Record of the parts that one engine keeps, the least recently used yielding first.
#[derive(Clone, Debug)]
pub struct PrefixRecord {
    capacity: u64,
    tokens: u64,
    clock: u64,
    kept: HashMap<ChainHash, Kept>,
    by_use: BTreeMap<u64, ChainHash>,
}

impl PrefixRecord {
    /// Creates an empty record of an engine that keeps `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            clock: 0,
            kept: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns how many tokens of a prompt need not be read again.
    pub fn kept_tokens(&self, adapter: &str, parts: &[Part]) -> u64 {
        let mut kept = 0;
        for (hash, part) in chain(adapter, parts) {
            if !self.kept.contains_key(&hash) {
                break;
            }
            kept += u64::from(part.tokens);
        }
        kept
    }

    /// Records that the engine reads a prompt.
    pub fn record(&mut self, adapter: &str, parts: &[Part]) {
        for (hash, part) in chain(adapter, parts) {
            self.touch(hash, u64::from(part.tokens));
        }
        self.evict();
    }

    /// Forgets everything, since the engine has restarted.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Sets how many tokens the engine keeps.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict();
    }

    fn touch(&mut self, hash: ChainHash, tokens: u64) {
        self.clock += 1;
        let used = self.clock;
        let before = self.kept.insert(hash, Kept { tokens, used });
        if let Some(before) = before {
            self.by_use.remove(&before.used);
            self.tokens -= before.tokens;
        }
        self.by_use.insert(used, hash);
        self.tokens += tokens;
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(kept) = self.kept.remove(&hash) {
                self.tokens -= kept.tokens;
            }
        }
    }
}

fn chain<'a>(adapter: &str, parts: &'a [Part]) -> impl Iterator<Item = (ChainHash, &'a Part)> {
    let seed = rendezvous::hash(adapter.as_bytes(), 0);
    parts.iter().scan(seed, |hash, part| {
        *hash = rendezvous::hash(&part.id.to_le_bytes(), *hash);
        Some((*hash, part))
    })
}
