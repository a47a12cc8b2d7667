//! Selection of the nodes that serve as witnesses.

use crate::tracker::WitnessId;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::rendezvous;
use std::collections::BTreeMap;

/// Number of witnesses per failure domain.
pub const WITNESSES_PER_DOMAIN: usize = 3;

/// A live node that is eligible as a witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WitnessCandidate {
    /// Witness id of the node's current boot.
    pub witness_id: WitnessId,
    /// Failure domain of the node.
    pub failure_domain: FailureDomain,
}

/// Selects up to [`WITNESSES_PER_DOMAIN`] witnesses per failure domain from the `live`
/// nodes, sorted by witness id.
///
/// Current witnesses that are still live are preferred, so that a joining node replaces
/// no witness of its failure domain.
pub fn select(current: &[WitnessId], live: &[WitnessCandidate]) -> Vec<WitnessId> {
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for candidate in live {
        let members = by_domain
            .entry(candidate.failure_domain.as_ref())
            .or_default();
        members.push(&candidate.witness_id);
    }
    let mut selected: Vec<WitnessId> = by_domain
        .into_iter()
        .flat_map(|(domain, live)| select_in_domain(current, domain, live))
        .collect();
    selected.sort_unstable();
    selected
}

fn select_in_domain(current: &[WitnessId], domain: &str, live: Vec<&str>) -> Vec<WitnessId> {
    let is_current = |witness: &str| current.iter().any(|id| **id == *witness);
    let (retained, new): (Vec<&str>, Vec<&str>) =
        live.into_iter().partition(|witness| is_current(witness));
    let mut selected = rendezvous::highest_ranked(domain, retained, WITNESSES_PER_DOMAIN);
    let vacancies = WITNESSES_PER_DOMAIN - selected.len();
    selected.extend(rendezvous::highest_ranked(domain, new, vacancies));
    selected.into_iter().map(Into::into).collect()
}
