//! What callers got.

use crate::workload;
use std::time::Duration;

/// Longest pause between two events of an answer that is on time.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What callers of one class got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Answers whose first event and pauses were on time.
    pub on_time: u64,
    /// Whole answers whose first event was late.
    pub late_first: u64,
    /// Whole answers with too long a pause, and a first event on time.
    pub late_pause: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Answers that did not come to their end in time.
    pub failed: u64,
}

/// What callers got, by class.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Counts of each class.
    pub classes: Vec<Counts>,
    /// Adapters brought from the store.
    pub loads: u64,
    /// Prompt tokens that were read.
    pub tokens_read: u64,
}

impl Outcome {
    /// Returns the worth earned as a share of the worth owed.
    pub fn worth(&self) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for (counts, class) in self.classes.iter().zip(workload::classes()) {
            let (on_time, late) = class.worth;
            earned += counts.on_time as f64 * on_time;
            earned += (counts.late_first + counts.late_pause) as f64 * late;
            owed += counts.sent as f64 * on_time;
        }
        if owed > 0.0 { earned / owed } else { 0.0 }
    }

    /// Returns the share of requests that were served on time.
    pub fn on_time(&self) -> f64 {
        let sent: u64 = self.classes.iter().map(|counts| counts.sent).sum();
        let on_time: u64 = self.classes.iter().map(|counts| counts.on_time).sum();
        on_time as f64 / sent.max(1) as f64
    }
}
