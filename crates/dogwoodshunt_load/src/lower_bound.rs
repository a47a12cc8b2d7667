//! Lower bound on the number of adapter loads that a trace needs.

use crate::trace::RequestKind;
use crate::trace::TraceRequest;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Returns the minimum number of loads from `measured_from` on, with at most `slots` adapters
/// resident in the whole fleet.
///
/// The computation uses Belady's optimal replacement, which knows the whole trace: it evicts
/// the adapter whose next request is farthest in the future. All slots of the fleet count as
/// one pool, so the bound is optimistic: engines with separate slots may need more loads.
pub fn min_loads(requests: &[TraceRequest], slots: usize, measured_from: Duration) -> usize {
    let next_uses = next_uses(requests);
    let mut resident: HashMap<usize, usize> = HashMap::new();
    let mut by_next_use: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut loads = 0;
    for (index, request) in requests.iter().enumerate() {
        let RequestKind::Adapter(adapter) = request.kind else {
            continue;
        };
        match resident.remove(&adapter) {
            Some(next_use) => {
                by_next_use.remove(&(next_use, adapter));
            }
            None => {
                loads += usize::from(request.scheduled_at >= measured_from);
                if resident.len() >= slots
                    && let Some((_, evicted)) = by_next_use.pop_last()
                {
                    resident.remove(&evicted);
                }
            }
        }
        resident.insert(adapter, next_uses[index]);
        by_next_use.insert((next_uses[index], adapter));
    }
    loads
}

/// Returns for each request the index of the next request for the same adapter, or
/// [`usize::MAX`] where none follows.
fn next_uses(requests: &[TraceRequest]) -> Vec<usize> {
    let mut next_uses = vec![usize::MAX; requests.len()];
    let mut next_seen: HashMap<usize, usize> = HashMap::new();
    for (index, request) in requests.iter().enumerate().rev() {
        if let RequestKind::Adapter(adapter) = request.kind {
            next_uses[index] = next_seen.insert(adapter, index).unwrap_or(usize::MAX);
        }
    }
    next_uses
}
