//! Results of a simulation, counted as callers observe them.

#[cfg(doc)]
use crate::FleetConfig;
use crate::workload;
use std::time::Duration;

/// Maximum gap between two events of a response that counts as on time.
pub const MAX_EVENT_GAP: Duration = Duration::from_millis(400);

/// Results of the requests of one class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassCounts {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses whose first event and event gaps were on time.
    pub on_time: u64,
    /// Complete responses whose first event was late.
    pub first_event_late: u64,
    /// Complete responses whose first event was on time, but with an event gap
    /// above [`MAX_EVENT_GAP`].
    pub event_gap_late: u64,
    /// Requests rejected without having run.
    pub refused: u64,
    /// Longest time from the arrival of a request to its refusal.
    pub slowest_refusal: Duration,
    /// Requests that the caller abandoned at one of its timeouts.
    pub failed: u64,
}

/// End of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// Index of the class in [`workload::classes`].
    pub class: usize,
    /// Index of the requested adapter.
    pub adapter: usize,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Whether the caller got a complete response.
    pub is_served: bool,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Results per request class, in the order of [`workload::classes`].
    pub classes: Vec<ClassCounts>,
    /// Results of the requests that arrived before [`FleetConfig::count_from`].
    pub warm_up: Vec<ClassCounts>,
    /// Number of adapter loads from the weight store.
    pub store_loads: u64,
    /// Prompt tokens prefilled by all engines.
    pub prefilled_tokens: u64,
    /// All requests, in the order of their ends.
    pub ends: Vec<RequestEnd>,
    /// Start of each run, from the start of the simulation, with the index of its engine.
    pub runs: Vec<(Duration, usize)>,
}

impl Outcome {
    /// Returns the total value of the complete responses, as a share of the
    /// value if all requests had been served on time.
    pub fn value_share(&self) -> f64 {
        let (mut earned, mut possible) = (0.0, 0.0);
        for (counts, class) in self.classes.iter().zip(workload::classes()) {
            let (on_time, late) = class.response_value;
            earned += counts.on_time as f64 * on_time;
            earned += (counts.first_event_late + counts.event_gap_late) as f64 * late;
            possible += counts.sent as f64 * on_time;
        }
        if possible > 0.0 {
            earned / possible
        } else {
            0.0
        }
    }

    /// Returns the share of requests that were served on time.
    pub fn on_time_share(&self) -> f64 {
        let sent: u64 = self.classes.iter().map(|counts| counts.sent).sum();
        let on_time: u64 = self.classes.iter().map(|counts| counts.on_time).sum();
        on_time as f64 / sent.max(1) as f64
    }
}
