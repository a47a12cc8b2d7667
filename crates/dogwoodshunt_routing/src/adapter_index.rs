//! Index from adapters to the agents that have them ready or pending.

use crate::agent::AgentKey;
use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;

/// Agents that have each adapter ready or pending, with a reference count.
///
/// The latest report of an agent holds one reference to each adapter that the
/// report lists, and each attempt in flight holds one to its adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterIndex {
    agents: HashMap<AdapterRef, HashMap<AgentKey, u32>>,
}

impl AdapterIndex {
    /// Adds a reference from `agent` to each of `adapters`.
    pub fn add<'a>(&mut self, agent: AgentKey, adapters: impl IntoIterator<Item = &'a AdapterRef>) {
        for adapter in adapters {
            let agents = self.agents.entry(adapter.clone()).or_default();
            *agents.entry(agent).or_default() += 1;
        }
    }

    /// Removes a reference from `agent` to each of `adapters`.
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
