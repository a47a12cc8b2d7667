//! Rendezvous hashing: every node ranks the same candidates in the same order.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`; the highest weight wins.
pub fn weight(key: &str, candidate: &str) -> u64 {
    hash(candidate.as_bytes(), hash(key.as_bytes(), 0))
}

/// Returns the hash of `bytes`, the same in every process.
pub fn hash(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the `count` candidates with the highest weights for `key`, best first.
pub fn pick<'a, I>(key: &str, candidates: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate), candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns the shard of `key` among `shards` shards.
///
/// # Panics
///
/// Panics if `shards` is zero.
pub fn shard(key: &str, shards: u32) -> u32 {
    assert!(shards > 0, "shards must be above zero");
    let hash = xxh3_64_with_seed(key.as_bytes(), 0) % u64::from(shards);
    u32::try_from(hash).unwrap_or(0)
}
