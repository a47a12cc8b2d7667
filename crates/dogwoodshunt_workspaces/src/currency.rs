//! Decides whether the configuration that an entry holds is known to be recent enough: to run a
//! request with a key, and to refuse a key that it does not contain.
//!
//! A request to the store that was answered proves that the configuration was the newest one when
//! the request was *sent*: the answer may have been under way for any time. The proof counts once
//! everything that the answer contains has been applied.
//!
//! A store that was restored from an older copy starts a new era. An answer of that era proves
//! something only after the entry has read there a configuration whose revision is at least that of
//! the one it holds. Until then the store lacks what operators wrote before the restore, possibly
//! also a configuration that the entry never received.

use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::StoreEra;
use std::time::Duration;

/// Shortest margin. Between the last check of a request and its first byte at an upstream a
/// connection may have to be opened, which takes up to 400 ms.
const MIN_MARGIN: Duration = Duration::from_millis(500);

/// Share of the revocation time that is kept as margin.
const MARGIN_SHARE: f64 = 0.1;

/// Share of the revocation time for which one watch of the configuration stays open. A proof is up
/// to two waits old in ordinary operation.
const WATCH_SHARE: f64 = 0.25;

/// Share of the revocation time after which an extra request renews the proof. It exceeds the age
/// of a proof in ordinary operation and leaves 1.5 s of 5 s for the answer of a slow store.
const RENEWAL_SHARE: f64 = 0.6;

/// Share of the greatest age after which an extra request renews the proof at the latest.
const MAX_RENEWAL_SHARE: f64 = 0.7;

/// Time between two extra requests that renew an old proof, and after which a request that confirms
/// an unknown key is repeated. Several may be outstanding, so a slow store does not delay the next.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two extra requests, so that unknown keys cause at most five a second.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which an unknown key causes requests and a request waits for its confirmation.
pub const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(2);

/// Longest retry delay named to callers while there is no proof.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time within which a key that is taken away must have no effect any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RevocationLimit {
    revocation: Duration,
}

impl RevocationLimit {
    /// Creates the limit for requests that are sent `revocation` after the store has acknowledged a
    /// configuration.
    pub fn new(revocation: Duration) -> Self {
        Self { revocation }
    }

    /// Returns the greatest age of a proof by which requests with keys run.
    pub fn max_proof_age(&self) -> Duration {
        let margin = self.revocation.mul_f64(MARGIN_SHARE).max(MIN_MARGIN);
        self.revocation.saturating_sub(margin)
    }

    /// Returns the longest time for which a watch of the configuration may stay open.
    pub fn max_watch_wait(&self) -> Duration {
        self.revocation.mul_f64(WATCH_SHARE)
    }

    /// Returns the age of a proof at which an extra request renews it.
    fn renewal_age(&self) -> Duration {
        let latest = self.max_proof_age().mul_f64(MAX_RENEWAL_SHARE);
        self.revocation.mul_f64(RENEWAL_SHARE).min(latest)
    }
}

/// Waiting requests with unknown keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Confirmation {
    /// Time of which the last of them needs a proof.
    as_of: BootTime,
    /// Time until which one of them may wait.
    wanted_until: BootTime,
}

/// What an entry knows about how recent its configuration is.
#[derive(Clone, Debug)]
pub struct Currency {
    limit: Option<RevocationLimit>,
    started_at: BootTime,
    /// Highest revision of a configuration that was read.
    held: Option<Revision>,
    /// Era in which a configuration of at least the held revision was read.
    confirmed_era: Option<StoreEra>,
    /// Latest time of which the held configuration is known to have been the newest.
    proven_at: Option<BootTime>,
    confirmation: Option<Confirmation>,
    last_extra_request_at: Option<BootTime>,
}

impl Currency {
    /// Creates the knowledge of an entry that has just started. Without `limit`, proofs are needed
    /// only to refuse unknown keys.
    pub fn new(limit: Option<RevocationLimit>, now: BootTime) -> Self {
        Self {
            limit,
            started_at: now,
            held: None,
            confirmed_era: None,
            proven_at: None,
            confirmation: None,
            last_extra_request_at: None,
        }
    }

    /// Returns the time within which a revocation takes effect; `None` if there is none.
    pub fn limit(&self) -> Option<RevocationLimit> {
        self.limit
    }

    /// Notes that a configuration was read from the store and, if it is newer than the held one,
    /// applied.
    pub fn on_config_read(&mut self, era: StoreEra, revision: Revision) {
        if self.held.is_none_or(|held| revision >= held) {
            self.held = Some(revision);
            self.confirmed_era = Some(era);
        }
    }

    /// Notes that the store has answered a request that was sent at `sent_at`, and that all changes
    /// in the answer have been applied.
    pub fn on_answer(&mut self, sent_at: BootTime, era: StoreEra) {
        if self.confirmed_era == Some(era) {
            self.proven_at = self.proven_at.max(Some(sent_at));
        }
        if self.confirmation.is_some_and(|c| self.proves(c.as_of)) {
            self.confirmation = None;
        }
    }

    /// Returns the age of the newest proof; `None` if there is none.
    pub fn proof_age(&self, now: BootTime) -> Option<Duration> {
        let proven_at = self.proven_at?;
        Some(now.saturating_duration_since(proven_at))
    }

    /// Checks whether a request with a key that the configuration contains may run.
    ///
    /// # Errors
    ///
    /// Returns the time after which a new attempt may succeed if there is no proof that is recent
    /// enough.
    pub fn check_run(&self, now: BootTime) -> Result<(), Duration> {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let max_age = limit.max_proof_age();
        if self.proof_age(now).is_some_and(|age| age <= max_age) {
            return Ok(());
        }
        // An outage is taken to last as long again as it has lasted. No proof can be expected
        // before the next request to the store is answered.
        let lost_at = self.proven_at.map_or(self.started_at, |at| at + max_age);
        let outage = now.saturating_duration_since(lost_at);
        Err(outage.clamp(REPEAT_INTERVAL, MAX_RETRY_AFTER))
    }

    /// Returns whether the configuration is known to have been the newest one at `as_of` or later.
    /// A key that is not in it may then be refused to a caller whose request arrived by `as_of`.
    pub fn proves(&self, as_of: BootTime) -> bool {
        self.proven_at.is_some_and(|proven_at| proven_at >= as_of)
    }

    /// Notes that a request with an unknown key has arrived and waits for a proof as of `now`.
    pub fn want_confirmation(&mut self, now: BootTime) {
        self.confirmation = Some(Confirmation {
            as_of: now,
            wanted_until: now + MAX_CONFIRMATION_WAIT,
        });
    }

    /// Returns after which time an extra request to the store is due, zero if it is now, and `None`
    /// if none is needed unless an unknown key arrives.
    pub fn extra_request_due_in(&self, now: BootTime) -> Option<Duration> {
        let due = [self.renewal_due(), self.confirmation_due(now)];
        let due = due.into_iter().flatten().min()?;
        Some(due.saturating_duration_since(now))
    }

    /// Notes that an extra request is sent.
    pub fn on_extra_request(&mut self, now: BootTime) {
        self.last_extra_request_at = Some(now);
    }

    fn renewal_due(&self) -> Option<BootTime> {
        let proven_at = self.proven_at.unwrap_or(self.started_at);
        let due = proven_at + self.limit?.renewal_age();
        let repeat = self.last_extra_request_at.map(|at| at + REPEAT_INTERVAL);
        Some(due.max(repeat.unwrap_or(due)))
    }

    fn confirmation_due(&self, now: BootTime) -> Option<BootTime> {
        let Confirmation {
            as_of,
            wanted_until,
        } = self.confirmation.filter(|c| now < c.wanted_until)?;
        debug_assert!(as_of <= wanted_until, "confirmation ends before it begins");
        Some(match self.last_extra_request_at {
            // A request that was sent after the arrival serves all that arrived before it.
            Some(last) if last >= as_of => last + REPEAT_INTERVAL,
            Some(last) => as_of.max(last + MIN_INTERVAL),
            None => as_of,
        })
    }
}
