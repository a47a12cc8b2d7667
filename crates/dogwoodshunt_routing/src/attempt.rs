//! One attempt of a request, as a typestate.

use crate::agent::AgentKey;
use crate::retry::AttemptFailure;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestId;

/// State of an [`Attempt`] that has not been sent to its agent.
#[derive(Debug)]
pub struct Unsent;

/// State of an [`Attempt`] that has been sent and may have reached its agent.
#[derive(Debug)]
pub struct Sent {
    agent_boot: BootId,
}

/// One attempt of a request, in the state `S`: [`Unsent`] or [`Sent`].
///
/// `Attempt` is not `Clone` and [`Attempt::send`] consumes the attempt, so the
/// same attempt cannot be sent twice.
#[derive(Debug)]
pub struct Attempt<S> {
    /// ID under which the attempt is sent.
    pub request: RequestId,
    /// Agent that the router chose for the attempt.
    pub agent: AgentKey,
    state: S,
}

impl Attempt<Unsent> {
    /// Creates an attempt that has not been sent.
    pub fn new(request: RequestId, agent: AgentKey) -> Self {
        Self {
            request,
            agent,
            state: Unsent,
        }
    }

    /// Marks the attempt as sent to the agent process that `agent_boot` identifies.
    pub fn send(self, agent_boot: BootId) -> Attempt<Sent> {
        Attempt {
            request: self.request,
            agent: self.agent,
            state: Sent { agent_boot },
        }
    }

    /// Ends the attempt as not run, which is certain since it was never sent.
    pub fn abandon(self, not_run: NotRun) -> AttemptFailure {
        AttemptFailure::NotRun(not_run)
    }
}

impl Attempt<Sent> {
    /// Returns whether the agent process `agent_boot` may still have the attempt.
    ///
    /// Attempts do not survive a restart of the agent, so only the process that the
    /// attempt was sent to can have it.
    pub fn may_resume(&self, agent_boot: BootId) -> bool {
        self.state.agent_boot == agent_boot
    }

    /// Ends the attempt as not run, as reported by the agent.
    pub fn refused(self, not_run: NotRun) -> AttemptFailure {
        AttemptFailure::NotRun(not_run)
    }

    /// Ends the attempt without knowing whether it ran, since the agent reported no outcome.
    pub fn lost(self) -> AttemptFailure {
        AttemptFailure::Unknown
    }
}
