//! Quarantine of single requests that crash upstreams.
//!
//! Answers a request that its caller sends again and again and that crashes each upstream that
//! begins to run it. A crash shows as a response that is lost with its connection. Entries tell
//! each other of lost responses, so a request whose response was lost at several processes and
//! that none has answered since is refused by all entries.

use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_wire::frame::CRASH_MEMORY;
use dogwoodshunt_wire::frame::RequestObservation;
use dogwoodshunt_wire::frame::UpstreamProcess;
use std::collections::HashMap;
use std::time::Instant;

/// Number of processes that have lost the response after which a request is refused. Chance
/// seldom takes three of a few sends of one request.
const MIN_LOSSES: usize = 3;

/// Number of such processes after which entries do not send a request again by themselves.
const MAX_LOSSES_TO_REPEAT: usize = 1;

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of losses of a request that are remembered.
const MAX_LOSSES: usize = 8;

/// Maximum number of observations that [`RequestQuarantine::observations`] returns.
const MAX_OBSERVATIONS: usize = 256;

/// Lost responses to one request since it was last answered.
#[derive(Clone, Debug, Default)]
struct Losses {
    /// Processes that lost a response, with the time of the loss.
    lost_at: Vec<(UpstreamProcess, Instant)>,
    answered_at: Option<Instant>,
}

impl Losses {
    fn last_at(&self) -> Option<Instant> {
        let last_loss = self.lost_at.iter().map(|(_, at)| *at).max();
        last_loss.max(self.answered_at)
    }
}

/// Requests whose responses were lost.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    requests: HashMap<RequestFingerprint, Losses>,
}

impl RequestQuarantine {
    /// Applies what this entry or another one has seen. Returns whether it is new and other
    /// entries need to know it: an answer tells nothing about a request without losses.
    pub fn observe(&mut self, now: Instant, seen: &RequestObservation) -> bool {
        let at = now.checked_sub(seen.age).unwrap_or(now);
        let Some(process) = &seen.lost_at else {
            return self.on_answered(seen.fingerprint, at);
        };
        self.make_room(now, seen.fingerprint);
        let losses = self.requests.entry(seen.fingerprint).or_default();
        let is_known = losses.lost_at.iter().any(|(known, _)| known == process);
        if is_known
            || losses.lost_at.len() >= MAX_LOSSES
            || losses.answered_at.is_some_and(|answered| answered >= at)
        {
            return false;
        }
        losses.lost_at.push((process.clone(), at));
        true
    }

    fn on_answered(&mut self, fingerprint: RequestFingerprint, at: Instant) -> bool {
        let Some(losses) = self.requests.get_mut(&fingerprint) else {
            return false;
        };
        losses.lost_at.retain(|(_, lost_at)| *lost_at > at);
        let is_new = losses.answered_at.is_none_or(|known| known < at);
        losses.answered_at = losses.answered_at.max(Some(at));
        is_new
    }

    /// Returns when the quarantine of a request ends; `None` if it is not quarantined.
    pub fn until(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<Instant> {
        let losses = self.requests.get(&fingerprint)?;
        if losses.lost_at.len() < MIN_LOSSES {
            return None;
        }
        losses
            .last_at()
            .map(|at| at + CRASH_MEMORY)
            .filter(|end| *end > now)
    }

    /// Returns whether an entry may send a request again after a response was lost.
    pub fn may_repeat(&self, fingerprint: RequestFingerprint) -> bool {
        let losses = self.requests.get(&fingerprint);
        losses.is_none_or(|losses| losses.lost_at.len() <= MAX_LOSSES_TO_REPEAT)
    }

    /// Returns the number of quarantined requests.
    pub fn len(&self) -> usize {
        let requests = self.requests.values();
        requests
            .filter(|losses| losses.lost_at.len() >= MIN_LOSSES)
            .count()
    }

    /// Returns whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the losses that are remembered, those of requests with the most losses first.
    pub fn observations(&self, now: Instant) -> Vec<RequestObservation> {
        let mut requests: Vec<_> = self.requests.iter().collect();
        requests
            .sort_by_key(|(_, losses)| std::cmp::Reverse((losses.lost_at.len(), losses.last_at())));
        let losses = requests.into_iter().flat_map(|(fingerprint, losses)| {
            losses
                .lost_at
                .iter()
                .map(|(process, at)| RequestObservation {
                    fingerprint: *fingerprint,
                    lost_at: Some(process.clone()),
                    age: now.saturating_duration_since(*at),
                })
        });
        losses.take(MAX_OBSERVATIONS).collect()
    }

    /// Drops what is no longer remembered.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.requests
            .retain(|_, losses| losses.last_at().is_some_and(|at| age(at) < CRASH_MEMORY));
    }

    /// Drops the request with the fewest losses and, among these, the oldest one if a further
    /// request does not fit.
    fn make_room(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let dropped = self.requests.iter();
        let dropped = dropped.min_by_key(|(_, losses)| (losses.lost_at.len(), losses.last_at()));
        let dropped = dropped.map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = dropped.filter(|_| self.requests.len() >= MAX_REQUESTS) {
            self.requests.remove(&fingerprint);
        }
    }
}
