//! The life cycle of one attempt of a request.

use crate::agent::AgentKey;
use crate::retry::Failure;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestId;

/// State of an attempt that no agent has received.
#[derive(Debug)]
pub struct Unsent;

/// State of an attempt that may have reached an agent.
#[derive(Debug)]
pub struct Sent {
    agent_boot: BootId,
}

/// One attempt in state `S`.
///
/// An attempt is not `Clone`, and [`Attempt::send`] consumes it, so the same
/// attempt cannot be handed out twice.
#[derive(Debug)]
pub struct Attempt<S> {
    /// Identifies the attempt.
    pub request: RequestId,
    /// Agent that was chosen.
    pub agent: AgentKey,
    state: S,
}

impl Attempt<Unsent> {
    /// Creates an attempt.
    pub fn new(request: RequestId, agent: AgentKey) -> Self {
        Self {
            request,
            agent,
            state: Unsent,
        }
    }

    /// Hands the attempt to the connection with boot `agent_boot` of the agent.
    pub fn send(self, agent_boot: BootId) -> Attempt<Sent> {
        Attempt {
            request: self.request,
            agent: self.agent,
            state: Sent { agent_boot },
        }
    }

    /// Gives the attempt up; it has not run, since it was never sent.
    pub fn abandon(self, not_run: NotRun) -> Failure {
        Failure::NotRun(not_run)
    }
}

impl Attempt<Sent> {
    /// Returns whether the boot `agent_boot` of the agent may hold the attempt.
    pub fn may_resume(&self, agent_boot: BootId) -> bool {
        self.state.agent_boot == agent_boot
    }

    /// Ends the attempt on the agent's word that it did not run.
    pub fn refused(self, not_run: NotRun) -> Failure {
        Failure::NotRun(not_run)
    }

    /// Ends the attempt without a word from the agent.
    pub fn lost(self) -> Failure {
        Failure::Unknown
    }
}
