//! What follows a failed attempt.

use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use rand::Rng;
use rand::RngExt;
use std::time::Duration;

/// First upper bound of the pause before a retry.
const PAUSE_FIRST: Duration = Duration::from_millis(10);

/// Last upper bound of the pause before a retry.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// Running it twice does no harm.
    Yes,
    /// It must run at most once.
    No,
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It did not run and never will.
    NotRun(NotRun),
    /// It may or may not have run.
    Unknown,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Answer the caller now.
    GiveUp,
    /// Try another agent after the pause.
    Retry {
        /// Pause before the next attempt.
        pause: Duration,
    },
}

/// Limits retries to a share of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `burst` retries that earns `ratio` a request.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Sets how many retries may be made at once after a quiet time.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes all retries that are left.
    pub fn drain(&mut self) {
        self.tokens = 0.0;
    }

    /// Records a request.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry, if any is left.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Circumstances of a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Tried {
    /// Attempts made so far.
    pub attempts: u32,
    /// Most attempts allowed.
    pub most: u32,
    /// Whether the request may run more than once.
    pub repeatable: Repeatable,
    /// Whether the caller has received a part of the answer.
    pub answered: bool,
}

/// Decides what follows a failed attempt.
pub fn after(
    failure: Failure,
    tried: &Tried,
    budget: &mut RetryBudget,
    rng: &mut dyn Rng,
) -> Verdict {
    let allowed = match failure {
        Failure::NotRun(not_run) => elsewhere_may_help(not_run.reason),
        Failure::Unknown => tried.repeatable == Repeatable::Yes && !tried.answered,
    };
    if !allowed || tried.attempts >= tried.most {
        return Verdict::GiveUp;
    }
    let free =
        matches!(failure, Failure::NotRun(not_run) if not_run.reason == NotRunReason::Leaving);
    if !free && !budget.take() {
        return Verdict::GiveUp;
    }
    Verdict::Retry {
        pause: jitter(tried.attempts, rng),
    }
}

/// Returns a pause drawn evenly below a bound that doubles with each attempt.
fn jitter(attempts: u32, rng: &mut dyn Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(8);
    let bound = PAUSE_MOST.min(PAUSE_FIRST * (1 << doublings));
    bound.mul_f64(rng.random::<f64>())
}

fn elsewhere_may_help(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::Leaving
        | NotRunReason::LoadFailed
        | NotRunReason::NoUpstream
        | NotRunReason::Overloaded
        | NotRunReason::Stale => true,
        NotRunReason::Cancelled
        | NotRunReason::Deadline
        | NotRunReason::ServiceOut
        | NotRunReason::Withdrawn => false,
    }
}
