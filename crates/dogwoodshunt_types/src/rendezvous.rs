//! Rendezvous hashing: every node ranks the same candidates in the same order
//! for a key, without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`. The candidate with the highest
/// weight ranks first.
pub fn weight(key: &str, candidate: &str) -> u64 {
    hash(candidate.as_bytes(), hash(key.as_bytes(), 0))
}

/// Returns the XXH3 hash of `bytes`, which is the same in every process.
pub fn hash(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns up to `count` candidates with the highest weights for `key`, in
/// descending order of weight.
pub fn highest_ranked<'a, I>(key: &str, candidates: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut by_weight: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate), candidate))
        .collect();
    by_weight.sort_unstable_by(|a, b| b.cmp(a));
    by_weight.truncate(count);
    by_weight
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Returns the index of the shard that holds `key`, in `0..shard_count`.
///
/// # Panics
///
/// Panics if `shard_count` is zero.
pub fn shard_index(key: &str, shard_count: u32) -> u32 {
    assert!(shard_count > 0, "shard count must be greater than zero");
    let index = xxh3_64_with_seed(key.as_bytes(), 0) % u64::from(shard_count);
    u32::try_from(index).unwrap_or(0)
}
