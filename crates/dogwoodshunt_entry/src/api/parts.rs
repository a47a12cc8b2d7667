//! Putting the parts of an answer together.

use crate::port::Answer;
use bytes::Bytes;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;

/// What an [`Answer`] adds to a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Part {
    /// The answer cannot be completed.
    Broken(Box<str>),
    /// The next bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// Nothing new.
    Nothing,
}

/// Puts the parts of one answer in order and finds gaps.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    next: u64,
}

impl Parts {
    /// Returns the number of the part that comes next.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Takes in what came next.
    pub(crate) fn take(&mut self, answer: Answer) -> Part {
        match answer {
            Answer::Chunk { number, .. } if number < self.next => Part::Nothing,
            Answer::Chunk { number, data } => {
                if !self.in_order(number) {
                    return Part::Broken("a part of the answer is missing".into());
                }
                self.next += 1;
                Part::Bytes(data)
            }
            Answer::End { chunks } => {
                if !self.in_order(chunks) {
                    return Part::Broken("the end of the answer is missing".into());
                }
                Part::End
            }
            Answer::Failed { message, .. } => Part::Broken(message),
            Answer::Head(_) => Part::Nothing,
            Answer::Lost => Part::Broken("the connection to the agent was lost".into()),
            Answer::NotRun(_) => Part::Broken("the agent lost track of the run".into()),
        }
    }

    fn in_order(&self, number: u64) -> bool {
        invariant::check(
            Invariant::WholeAnswerToItsCaller,
            number == self.next,
            &format_args!("part {number} follows part {}", self.next),
        )
    }
}
