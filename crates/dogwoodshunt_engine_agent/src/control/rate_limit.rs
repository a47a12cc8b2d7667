//! Limit that the engine names for the requests of all entries together.
//!
//! The engine names it in its responses: entries report what the responses to requests have
//! shown, and the agent sees its own reports. The newest observation holds. The scheduler keeps
//! to the limit, since every request needs a grant of this agent.

use crate::control::Control;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_wire::frame::ObservedRateLimit;
use slog::info;
use std::time::Instant;

/// What is known of the rate limit of one engine process.
#[derive(Debug, Default)]
pub(super) struct RateLimitState {
    /// Newest observation and the time of the response that showed it.
    newest: Option<(Instant, Option<RateLimit>)>,
    /// Whether the last report named a limit. An engine may name its limit in the responses to
    /// requests only, so reports without one end a limit only after one that named it.
    named_in_report: bool,
    /// Newest observation of an engine process whose report has not arrived yet, and the time of
    /// the response that showed it.
    early: Option<(Instant, ObservedRateLimit)>,
}

impl RateLimitState {
    pub(super) fn limit(&self) -> Option<RateLimit> {
        self.newest.and_then(|(_, limit)| limit)
    }

    /// Records what a response that arrived at `at` has shown. Returns whether the limit has
    /// changed.
    fn observe(&mut self, at: Instant, limit: Option<RateLimit>) -> bool {
        if self.newest.is_some_and(|(newest_at, _)| newest_at > at) {
            return false;
        }
        let previous = self.limit();
        self.newest = Some((at, limit));
        previous != limit
    }
}

impl Control {
    /// Applies what an entry has seen in a response of the engine.
    pub(super) fn on_observed_limit(&mut self, now: Instant, seen: ObservedRateLimit) {
        let at = now.checked_sub(seen.age).unwrap_or(now);
        if seen.started == self.engine.started_at() {
            self.observe_limit(at, seen.limit);
        } else if seen.started > self.engine.started_at() {
            let early = &mut self.engine.rate_limit.early;
            let is_newest = early
                .is_none_or(|(known_at, known)| (known.started, known_at) <= (seen.started, at));
            if is_newest {
                *early = Some((at, seen));
            }
        }
    }

    /// Forgets the limit of the engine process that has ended.
    pub(super) fn reset_limit(&mut self) {
        let early = self.engine.rate_limit.early;
        self.engine.rate_limit = RateLimitState {
            early,
            ..RateLimitState::default()
        };
    }

    /// Applies an observation that arrived before the first report of the engine process.
    pub(super) fn apply_early_limit(&mut self) {
        let started = self.engine.started_at();
        let early = &mut self.engine.rate_limit.early;
        if let Some((at, seen)) = early.take_if(|(_, seen)| seen.started <= started)
            && seen.started == started
        {
            self.observe_limit(at, seen.limit);
        }
    }

    /// Applies the limit that a report of the engine names, if any.
    pub(super) fn on_report_limit(&mut self, now: Instant, limit: Option<RateLimit>) {
        let ends_limit =
            std::mem::replace(&mut self.engine.rate_limit.named_in_report, limit.is_some());
        if limit.is_some() || ends_limit {
            self.observe_limit(now, limit);
        }
    }

    fn observe_limit(&mut self, at: Instant, limit: Option<RateLimit>) {
        if !self.engine.rate_limit.observe(at, limit) {
            return;
        }
        let text = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        info!(self.context.log, "engine limits requests"; "limit" => text);
        if let Some(key) = self.engine.key {
            self.scheduler.set_rate_limit(key, limit);
        }
    }
}
