//! Which nodes should be witnesses.

use crate::freshness::WitnessId;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::rendezvous;
use std::collections::BTreeMap;

/// Witnesses per failure domain.
pub const WITNESSES_PER_DOMAIN: usize = 3;

/// A node that could be a witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its witness id in this boot.
    pub witness: WitnessId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// Returns the witnesses that `live` calls for.
///
/// Witnesses that are still live stay, so that a joining node changes nothing
/// while its failure domain has enough of them.
pub fn desired(current: &[WitnessId], live: &[Candidate]) -> Vec<WitnessId> {
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for candidate in live {
        let domain = by_domain.entry(candidate.domain.as_ref()).or_default();
        domain.push(&candidate.witness);
    }
    let mut chosen: Vec<WitnessId> = by_domain
        .into_iter()
        .flat_map(|(domain, witnesses)| of_domain(current, domain, witnesses))
        .collect();
    chosen.sort_unstable();
    chosen
}

fn of_domain(current: &[WitnessId], domain: &str, live: Vec<&str>) -> Vec<WitnessId> {
    let is_current = |witness: &str| current.iter().any(|held| **held == *witness);
    let (kept, new): (Vec<&str>, Vec<&str>) = live.into_iter().partition(|w| is_current(w));
    let mut chosen = rendezvous::pick(domain, kept, WITNESSES_PER_DOMAIN);
    let missing = WITNESSES_PER_DOMAIN - chosen.len();
    chosen.extend(rendezvous::pick(domain, new, missing));
    chosen.into_iter().map(Into::into).collect()
}
