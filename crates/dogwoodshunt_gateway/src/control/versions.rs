//! Declared versions that this entry tells agents.
//!
//! An agent that connects gets all of them in frames of a bounded size, the next one when the agent
//! has received the one before: heartbeats and requests do not wait behind the whole list, however
//! slow the link. From then on, an agent gets what is declared.

use crate::control::Control;
use crate::control::agents::Notices;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use std::ops::Bound;
use std::time::Instant;

/// Maximum number of declared versions in one frame: 25 KB.
const MAX_VERSIONS_PER_FRAME: usize = 500;

/// Which declared versions were sent on a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum VersionsSent {
    /// All.
    All,
    /// None.
    None,
    /// Those up to one adapter, in the order of names.
    UpTo {
        /// The last adapter.
        adapter: AdapterName,
        /// Number of the heartbeat that followed. The agent has received the versions when it
        /// echoes that heartbeat.
        heartbeat: u64,
    },
}

impl<D: RecordDecoder> Control<D> {
    /// Returns the versions to be sent first on a new connection; none if some were sent.
    pub(super) fn first_versions(&mut self, agent: AgentKey) -> Vec<AdapterRef> {
        let state = self.agents.get(&agent);
        let is_new = |state: &&super::AgentState| {
            state.is_connected() && state.versions_sent == VersionsSent::None
        };
        match state.filter(is_new) {
            Some(state) if self.engine_config(state).is_some() => self.take_versions(agent, None),
            Some(_) | None => Vec::new(),
        }
    }

    /// Sends further versions if the agent has received those that were sent before.
    pub(super) fn send_next_versions(&mut self, now: Instant, agent: AgentKey, echo: u64) {
        let state = self.agents.get(&agent);
        let after = match state.map(|state| &state.versions_sent) {
            Some(VersionsSent::UpTo { adapter, heartbeat }) if *heartbeat <= echo => {
                adapter.clone()
            }
            Some(VersionsSent::All | VersionsSent::None | VersionsSent::UpTo { .. }) | None => {
                return;
            }
        };
        let versions = self.take_versions(agent, Some(after));
        self.send_versions(agent, versions);
        // The next heartbeat of the agent echoes this one.
        self.send_heartbeat(now, agent, Notices::default());
    }

    /// Returns the versions of the adapters that follow `after`, as many as one frame may hold, and
    /// records them as sent to the agent.
    fn take_versions(&mut self, agent: AgentKey, after: Option<AdapterName>) -> Vec<AdapterRef> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .declared_versions
            .range::<AdapterName, _>((start, Bound::Unbounded));
        let versions: Vec<AdapterRef> = rest
            .by_ref()
            .take(MAX_VERSIONS_PER_FRAME)
            .map(|(_, version)| version.clone())
            .collect();
        let last = versions.last().filter(|_| rest.next().is_some());
        let last = last.map(|version| version.name.clone());
        if let Some(state) = self.agents.get_mut(&agent) {
            state.versions_sent = last.map_or(VersionsSent::All, |adapter| VersionsSent::UpTo {
                adapter,
                heartbeat: state.next_heartbeat(),
            });
        }
        versions
    }

    /// Tells all agents of the versions that were declared since the last call.
    pub(super) fn send_new_versions(&mut self) {
        let declared = std::mem::take(&mut self.new_versions);
        if declared.is_empty() {
            return;
        }
        // Others get the whole list once they are connected and their configuration is known.
        let is_told = |state: &super::AgentState| {
            state.is_connected() && state.versions_sent != VersionsSent::None
        };
        let agents = self.agents.iter().filter(|(_, state)| is_told(state));
        let agents: Vec<AgentKey> = agents.map(|(agent, _)| *agent).collect();
        for agent in agents {
            if declared.len() <= MAX_VERSIONS_PER_FRAME {
                self.send_versions(agent, declared.clone());
            } else {
                let versions = self.take_versions(agent, None);
                self.send_versions(agent, versions);
            }
        }
    }
}
