//! ExitStatus codes.

use std::process::ExitCode;

/// Result of a command, as its status code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The entry or the key-value service did not respond; nothing was changed.
    Unavailable = 1,
    /// The arguments, a file or the release note are invalid.
    Invalid = 2,
    /// The entry refused the command, for example because of a conflict.
    Refused = 3,
    /// The change is, or may be, in the log, but is not confirmed yet.
    Unconfirmed = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
