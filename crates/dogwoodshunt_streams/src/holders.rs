//! Agents that hold the origin of a stream.
//!
//! All entries rank the agents of a stream alike. An entry tells the first ones that it is connected
//! to, in different failure domains; an entry that asks goes further down the ranking, since other
//! agents may have been connected to the one that told them.

use dogwoodshunt_types::StreamId;
use dogwoodshunt_types::rendezvous;

/// Number of agents that are told the origin of a stream.
pub const HOLDERS: usize = 3;

/// Number of agents that are asked for the origin of a stream.
pub const ASKED_AGENTS: usize = 16;

/// An agent that may hold origins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a, A> {
    /// Key of the agent.
    pub agent: A,
    /// Name of the agent by which all entries know it.
    pub name: &'a str,
    /// Failure domain of the agent.
    pub domain: &'a str,
}

/// Returns the candidates in the order in which they hold the origin of a stream.
fn rank<'a, A>(
    stream: StreamId,
    candidates: impl IntoIterator<Item = Candidate<'a, A>>,
) -> Vec<Candidate<'a, A>> {
    let weight = |candidate: &Candidate<'_, A>| rendezvous::hash(candidate.name.as_bytes(), stream);
    let mut ranked: Vec<Candidate<'a, A>> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(weight(candidate)));
    ranked
}

/// Returns the agents that are told the origin of a stream, of those that this entry reaches: in
/// different failure domains as far as possible.
pub fn to_tell<'a, A: Copy>(
    stream: StreamId,
    candidates: impl IntoIterator<Item = Candidate<'a, A>>,
) -> Vec<A> {
    let ranked = rank(stream, candidates);
    let mut domains: Vec<&str> = Vec::with_capacity(HOLDERS);
    let (mut apart, mut rest) = (Vec::with_capacity(HOLDERS), Vec::new());
    for candidate in ranked {
        if domains.contains(&candidate.domain) {
            rest.push(candidate.agent);
        } else {
            domains.push(candidate.domain);
            apart.push(candidate.agent);
        }
    }
    apart.extend(rest);
    apart.truncate(HOLDERS);
    apart
}

/// Returns the agents that are asked for the origin of a stream, of all that are listed.
pub fn to_ask<'a, A: Copy>(
    stream: StreamId,
    candidates: impl IntoIterator<Item = Candidate<'a, A>>,
) -> Vec<A> {
    let ranked = rank(stream, candidates).into_iter();
    let agents = ranked.map(|candidate| candidate.agent);
    agents.take(ASKED_AGENTS).collect()
}
