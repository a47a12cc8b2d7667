//! Index of agents by the adapters that are ready or pending on them.

use crate::agent::AgentKey;
use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;

/// Maps each adapter to the agents on which it is ready or pending, with a
/// reference count.
///
/// An agent has one reference for each adapter that its latest report lists, and
/// one for the adapter of each attempt in flight, so the end of an attempt does
/// not remove an adapter that is still reported.
#[derive(Clone, Debug, Default)]
pub struct AdapterIndex {
    agents: HashMap<AdapterRef, HashMap<AgentKey, u32>>,
}

impl AdapterIndex {
    /// Adds one reference from each of `adapters` to `agent`.
    pub fn add<'a>(&mut self, agent: AgentKey, adapters: impl IntoIterator<Item = &'a AdapterRef>) {
        for adapter in adapters {
            let agents = self.agents.entry(adapter.clone()).or_default();
            *agents.entry(agent).or_default() += 1;
        }
    }

    /// Removes one reference from each of `adapters` to `agent`.
    pub fn remove<'a>(
        &mut self,
        agent: AgentKey,
        adapters: impl IntoIterator<Item = &'a AdapterRef>,
    ) {
        for adapter in adapters {
            let Some(agents) = self.agents.get_mut(adapter) else {
                continue;
            };
            if let Some(references) = agents.get_mut(&agent) {
                *references -= 1;
                if *references == 0 {
                    agents.remove(&agent);
                }
            }
            if agents.is_empty() {
                self.agents.remove(adapter);
            }
        }
    }

    /// Returns the agents that have `adapter` ready or pending, in key order.
    pub fn agents_with(&self, adapter: &AdapterRef) -> Vec<AgentKey> {
        let agents = self.agents.get(adapter).into_iter().flat_map(HashMap::keys);
        let mut agents: Vec<AgentKey> = agents.copied().collect();
        agents.sort_unstable();
        agents
    }
}
