//! Retry decisions, retry delays and the retry budget.

use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use rand::Rng;
use rand::RngExt;
use std::time::Duration;

/// Upper bound of the delay before the first retry.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Upper bound of the delay before any retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// Running the request more than once does no harm.
    Yes,
    /// The request must run at most once.
    No,
}

/// What is known about an attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The attempt did not run and will not run later.
    NotRun(NotRun),
    /// The attempt may or may not have run.
    Unknown,
}

/// Action to take after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Report the failure to the caller.
    GiveUp,
    /// Try another agent after a delay.
    Retry {
        /// Delay before the next attempt.
        delay: Duration,
    },
}

/// Token bucket that limits retries to a fixed ratio of the requests, besides a burst.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget with a capacity of `burst` retries, to which each
    /// request adds `ratio` retries.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Sets the capacity of the budget, in retries, and discards retries above it.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Discards all remaining retries, so that only further requests earn new ones.
    pub fn drain(&mut self) {
        self.tokens = 0.0;
    }

    /// Adds the retries that one request earns.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Properties of a request on which a retry decision depends, besides the failure.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: Repeatable,
    /// Whether the caller has received a part of the response. A request with an
    /// unknown outcome is then not retried.
    pub response_started: bool,
}

/// Decides whether to retry a failed attempt.
///
/// A retry after [`NotRunReason::Leaving`] takes nothing from `budget`, so that a
/// planned stop does not use up the retries that failures need.
pub fn decide(
    failure: AttemptFailure,
    ctx: &RetryContext,
    budget: &mut RetryBudget,
    rng: &mut dyn Rng,
) -> RetryDecision {
    let is_retryable = match failure {
        AttemptFailure::NotRun(not_run) => may_run_elsewhere(not_run.reason),
        AttemptFailure::Unknown => ctx.repeatable == Repeatable::Yes && !ctx.response_started,
    };
    if !is_retryable || ctx.attempts >= ctx.max_attempts {
        return RetryDecision::GiveUp;
    }
    let is_exempt_from_budget = matches!(failure, AttemptFailure::NotRun(not_run) if not_run.reason == NotRunReason::Leaving);
    if !is_exempt_from_budget && !budget.try_take() {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Retry {
        delay: jittered_delay(ctx.attempts, rng),
    }
}

/// Returns a random delay, uniformly distributed below a bound that starts at
/// [`MAX_FIRST_RETRY_DELAY`] and doubles with each attempt up to [`MAX_RETRY_DELAY`].
fn jittered_delay(attempts: u32, rng: &mut dyn Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(8);
    let bound = MAX_RETRY_DELAY.min(MAX_FIRST_RETRY_DELAY * (1 << doublings));
    bound.mul_f64(rng.random::<f64>())
}

/// Returns whether another agent may be able to run a request that one agent
/// refused for `reason`.
fn may_run_elsewhere(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::Leaving
        | NotRunReason::LoadFailed
        | NotRunReason::NoUpstream
        | NotRunReason::Overloaded
        | NotRunReason::Paused
        | NotRunReason::Stale
        | NotRunReason::Unreachable => true,
        NotRunReason::Cancelled
        | NotRunReason::CrashesEngines
        | NotRunReason::Deadline
        | NotRunReason::KeyUnconfirmed
        | NotRunReason::KeyValueServiceUnreachable
        | NotRunReason::OverQuota
        | NotRunReason::QuotaUnknown
        | NotRunReason::SoftwareGone
        | NotRunReason::SoftwareUnknown
        | NotRunReason::Withdrawn => false,
    }
}
