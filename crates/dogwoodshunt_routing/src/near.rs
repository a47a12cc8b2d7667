//! Where adapters are ready or coming, by adapter.

use crate::agent::AgentKey;
use dogwoodshunt_types::AdapterRef;
use std::collections::HashMap;

/// Agents by adapter, with the number of reasons to look for it there.
///
/// A report and each attempt in flight are one reason each.
#[derive(Clone, Debug, Default)]
pub struct NearIndex {
    agents: HashMap<AdapterRef, HashMap<AgentKey, u32>>,
}

impl NearIndex {
    /// Adds a reason for each of `adapters` on an agent.
    pub fn remember<'a>(
        &mut self,
        agent: AgentKey,
        adapters: impl IntoIterator<Item = &'a AdapterRef>,
    ) {
        for adapter in adapters {
            let agents = self.agents.entry(adapter.clone()).or_default();
            *agents.entry(agent).or_default() += 1;
        }
    }

    /// Takes a reason for each of `adapters` on an agent away.
    pub fn forget<'a>(
        &mut self,
        agent: AgentKey,
        adapters: impl IntoIterator<Item = &'a AdapterRef>,
    ) {
        for adapter in adapters {
            let Some(agents) = self.agents.get_mut(adapter) else {
                continue;
            };
            if let Some(reasons) = agents.get_mut(&agent) {
                *reasons -= 1;
                if *reasons == 0 {
                    agents.remove(&agent);
                }
            }
            if agents.is_empty() {
                self.agents.remove(adapter);
            }
        }
    }

    /// Returns the agents where `adapter` is ready or coming, in a fixed order.
    pub fn of(&self, adapter: &AdapterRef) -> Vec<AgentKey> {
        let agents = self.agents.get(adapter).into_iter().flat_map(HashMap::keys);
        let mut agents: Vec<AgentKey> = agents.copied().collect();
        agents.sort_unstable();
        agents
    }
}
