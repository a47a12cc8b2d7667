//! What no online design can beat.

use crate::trace::Kind;
use crate::trace::Shot;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Returns the fewest loads that the trace needs from `from` on, with `slots`
/// adapters resident in all.
///
/// Belady's rule: the adapter whose next request is farthest away leaves.
/// All slots count as one pool, which flatters the bound.
pub fn fewest_loads(shots: &[Shot], slots: usize, from: Duration) -> usize {
    let next = next_uses(shots);
    let mut resident: HashMap<usize, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut loads = 0;
    for (index, shot) in shots.iter().enumerate() {
        let Kind::Adapter(adapter) = shot.kind else {
            continue;
        };
        match resident.remove(&adapter) {
            Some(due) => {
                by_next.remove(&(due, adapter));
            }
            None => {
                loads += usize::from(shot.at >= from);
                if resident.len() >= slots
                    && let Some((_, farthest)) = by_next.pop_last()
                {
                    resident.remove(&farthest);
                }
            }
        }
        resident.insert(adapter, next[index]);
        by_next.insert((next[index], adapter));
    }
    loads
}

/// Returns for each request the index of the next one for the same adapter.
fn next_uses(shots: &[Shot]) -> Vec<usize> {
    let mut next = vec![usize::MAX; shots.len()];
    let mut later: HashMap<usize, usize> = HashMap::new();
    for (index, shot) in shots.iter().enumerate().rev() {
        if let Kind::Adapter(adapter) = shot.kind {
            next[index] = later.insert(adapter, index).unwrap_or(usize::MAX);
        }
    }
    next
}
