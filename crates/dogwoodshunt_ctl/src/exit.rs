//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The entry or the key-value service did not answer; nothing was changed.
    Unanswered = 1,
    /// Bad arguments, or a note with problems.
    Problems = 2,
    /// Refused.
    Refused = 3,
    /// The change stands or may stand, but is not confirmed yet.
    Pending = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
