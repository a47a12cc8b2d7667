//! Order check for the chunks of a response body.

use crate::agent_connection::AttemptEvent;
use bytes::Bytes;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;

/// Effect of an [`AttemptEvent`] on the response body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyEvent {
    /// The body cannot be completed; holds the reason.
    Failed(Box<str>),
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The event adds nothing to the body, such as a duplicate chunk.
    Ignored,
}

/// Drops duplicate chunks of one response and detects missing ones.
#[derive(Debug, Default)]
pub(crate) struct ChunkSequencer {
    next_number: u64,
}

impl ChunkSequencer {
    /// Returns the number of the next expected chunk.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the effect of `event` on the body.
    pub(crate) fn on_event(&mut self, event: AttemptEvent) -> BodyEvent {
        match event {
            AttemptEvent::Chunk { number, .. } if number < self.next_number => BodyEvent::Ignored,
            AttemptEvent::Chunk { number, data } => {
                if !self.check_order(number) {
                    return BodyEvent::Failed("a part of the answer is missing".into());
                }
                self.next_number += 1;
                BodyEvent::Bytes(data)
            }
            AttemptEvent::End { chunks } => {
                if !self.check_order(chunks) {
                    return BodyEvent::Failed("the end of the answer is missing".into());
                }
                BodyEvent::End
            }
            AttemptEvent::Failed { message, .. } => BodyEvent::Failed(message),
            AttemptEvent::Head(_) => BodyEvent::Ignored,
            AttemptEvent::Lost => BodyEvent::Failed("the connection to the agent was lost".into()),
            AttemptEvent::NotRun(_) => BodyEvent::Failed("the agent lost track of the run".into()),
        }
    }

    /// Returns whether `number` is the next expected chunk number; any other number violates
    /// an invariant.
    fn check_order(&self, number: u64) -> bool {
        invariant::check(
            Invariant::WholeAnswerToItsCaller,
            number == self.next_number,
            &format_args!(
                "received chunk {number}, expected chunk {}",
                self.next_number
            ),
        )
    }
}
