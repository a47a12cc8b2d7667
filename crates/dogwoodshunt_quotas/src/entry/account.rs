//! Tokens of one workspace at an entry, and the requests that wait for them.

use crate::MAX_WAIT;
use crate::QUOTA_WINDOW;
use crate::bucket;
use crate::bucket::Bucket;
use crate::bucket::refill_time;
use crate::bucket::required_level;
use crate::entry::Answer;
use crate::entry::Refusal;
use crate::entry::usage::Usage;
use crate::messages::Ask;
use crate::messages::QuotaLimits;
use crate::messages::WorkspaceGrant;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Recent use that an advance covers: many times the round trip to a ledger, so that few requests
/// wait, and little compared with the window.
const ADVANCE_TIME: Duration = Duration::from_millis(250);

/// Time without use after which tokens are given back.
const UNUSED_TIME: Duration = Duration::from_secs(1);

/// Time after an ask that brought too little until the next one, so that an entry whose workspace
/// is over its quota does not ask for each request.
const ASK_PAUSE: Duration = Duration::from_millis(10);

/// Time for which a refusal of the ledger also holds for requests that arrive after it.
const REFUSAL_VALIDITY: Duration = Duration::from_millis(50);

/// Time beyond the wait of an ask after which a ledger that has not answered counts as silent: a
/// hundred round trips. Shorter times mistake a delay of the agent's process for a failure, and
/// the next ledger begins with an empty bucket.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time before the end of the wait of a request at which the ledger gives up, so that its answer
/// arrives in time: an interval between two checks of the agent and the way.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Cost beyond the burst above which a request is never granted, since it would alone exceed the
/// bound on the workspace.
const MAX_COST_OVER_BURST: u64 = 50_000;

/// Time after which a request may be repeated whose ledger has not answered.
const SILENT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request that waits for tokens.
#[derive(Debug)]
struct Waiting<T> {
    ticket: T,
    cost: u64,
    until: Instant,
}

/// An ask that the ledger has not answered.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    number: u64,
    least: u64,
    overdue_at: Instant,
}

/// The last refusal of the ledger.
#[derive(Clone, Copy, Debug)]
struct LedgerRefusal {
    at: Instant,
    /// When the refused amount fits.
    fits_at: Instant,
    least: u64,
    /// Tokens that the ledger gains per second.
    rate: u64,
    /// Time that the requests refused since then need, so that they are not all told the same time.
    promised: Duration,
}

/// Bucket that is used while no agent is reached.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    bucket: Bucket,
    at: Instant,
}

/// Tokens of one workspace.
#[derive(Debug)]
pub(crate) struct Account<T> {
    pub(crate) limits: QuotaLimits,
    /// Whether the ledger knows the limits, which registers this entry with it.
    pub(crate) is_registered: bool,
    /// Tokens in hand that the ledger was last told of.
    reported: u64,
    hand: u64,
    /// When tokens were last used, granted or refunded.
    used_at: Instant,
    usage: Usage,
    outstanding: Option<Outstanding>,
    waiting: VecDeque<Waiting<T>>,
    refusal: Option<LedgerRefusal>,
    /// When the ledger has last answered, and the tokens that it then gained per second.
    answered: Option<(Instant, u64)>,
    /// Time from which the next ask for waiting requests may be sent.
    ask_from: Instant,
    /// Time from which the next ask for an advance may be sent.
    advance_from: Instant,
    local: Option<LocalBucket>,
}

/// What an entry reports to the ledger besides its limits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    pub(crate) held: u64,
    pub(crate) returned: u64,
    pub(crate) ask: Option<Ask>,
}

impl<T> Account<T> {
    pub(crate) fn new(now: Instant, limits: QuotaLimits) -> Self {
        Self {
            limits,
            is_registered: false,
            reported: 0,
            hand: 0,
            used_at: now,
            usage: Usage::new(now),
            outstanding: None,
            waiting: VecDeque::new(),
            refusal: None,
            answered: None,
            ask_from: now,
            advance_from: now,
            local: None,
        }
    }

    /// Returns the tokens in hand.
    pub(crate) fn hand(&self) -> u64 {
        self.hand
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets the ledger, whose grants are ignored from now on.
    pub(crate) fn leave_ledger(&mut self, now: Instant) {
        self.is_registered = false;
        self.reported = 0;
        self.outstanding = None;
        self.refusal = None;
        self.answered = None;
        self.ask_from = now;
        self.advance_from = now;
    }

    /// Begins or ends the use of the local bucket, which starts empty.
    pub(crate) fn set_local(&mut self, now: Instant, is_local: bool) {
        if !is_local {
            self.local = None;
        } else if self.local.is_none() {
            self.local = Some(LocalBucket {
                bucket: Bucket::default(),
                at: now,
            });
        }
    }

    /// Adds a request, which waits for at most `wait`. [`Self::settle`] answers it.
    pub(crate) fn add(&mut self, now: Instant, ticket: T, cost: u64, wait: Duration) {
        self.waiting.push_back(Waiting {
            ticket,
            cost,
            until: now + wait,
        });
    }

    /// Takes back the cost of a request that has not run.
    pub(crate) fn refund(&mut self, now: Instant, cost: u64) {
        self.hand = self.hand.saturating_add(cost);
        self.used_at = now;
    }

    /// Answers the requests that can be paid, in order of arrival, and those that cannot wait any
    /// longer.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        entries: Option<u32>,
        answers: &mut Vec<Answer<T>>,
    ) {
        self.refill_local(now, entries);
        let max_cost = self.max_cost();
        while let Some(first) = self.waiting.front() {
            let (cost, until) = (first.cost, first.until);
            let result = if cost > max_cost {
                Err(Refusal::OverQuota {
                    retry_after: QUOTA_WINDOW,
                })
            } else if self.pay(now, cost, entries) {
                Ok(())
            } else if self.local.is_some() {
                match self.local_refusal(now, entries) {
                    Some(refusal) => Err(refusal),
                    None => return,
                }
            } else if let Some(fits_in) = self.refused_for(now, cost) {
                let retry_after = fits_in + self.promise(cost);
                Err(Refusal::OverQuota { retry_after })
            } else if until <= now {
                Err(self.timeout_refusal(now, cost))
            } else {
                return;
            };
            if let Some(first) = self.waiting.pop_front() {
                answers.push((first.ticket, result));
            }
        }
    }

    fn max_cost(&self) -> u64 {
        self.limits.burst.saturating_add(MAX_COST_OVER_BURST)
    }

    /// Pays a request from the tokens in hand and the local bucket, if they suffice.
    fn pay(&mut self, now: Instant, cost: u64, entries: Option<u32>) -> bool {
        let from_hand = self.hand.min(cost);
        let rest = (cost - from_hand) as f64;
        if rest > 0.0 {
            let capacity = self.local_capacity(entries);
            let Some(local) = &mut self.local else {
                return false;
            };
            if entries.is_none() || local.bucket.tokens() < required_level(rest, capacity) {
                return false;
            }
            local.bucket.take(rest);
        }
        self.hand -= from_hand;
        self.used_at = now;
        self.usage.record(now, cost);
        true
    }

    fn local_capacity(&self, entries: Option<u32>) -> f64 {
        let share = 1.0 / f64::from(entries.unwrap_or(1).max(1));
        bucket::capacity(&self.limits, share)
    }

    fn local_rate(&self, entries: Option<u32>) -> f64 {
        self.limits.rate as f64 / f64::from(entries.unwrap_or(1).max(1))
    }

    fn refill_local(&mut self, now: Instant, entries: Option<u32>) {
        let (rate, capacity) = (self.local_rate(entries), self.local_capacity(entries));
        if let Some(local) = &mut self.local {
            let time = now.saturating_duration_since(local.at);
            local.at = now;
            local.bucket.add(rate * time.as_secs_f64());
            local.bucket.clip(capacity);
        }
    }

    /// Returns the refusal of the first request by the local bucket; `None` if the request waits.
    fn local_refusal(&self, now: Instant, entries: Option<u32>) -> Option<Refusal> {
        let (Some(first), Some(local)) = (self.waiting.front(), &self.local) else {
            return None;
        };
        if entries.is_none() {
            let retry_after = SILENT_RETRY_AFTER;
            return Some(Refusal::Unknown { retry_after });
        }
        let rest = first.cost.saturating_sub(self.hand) as f64;
        let needed = required_level(rest, self.local_capacity(entries));
        let missing = needed - local.bucket.tokens();
        let retry_after = refill_time(missing, self.local_rate(entries));
        let is_refused = now + retry_after > first.until;
        is_refused.then_some(Refusal::OverQuota { retry_after })
    }

    /// Returns the time after which a request will fit, if the ledger has just said that it does
    /// not fit within the wait of the request.
    fn refused_for(&self, now: Instant, cost: u64) -> Option<Duration> {
        let refusal = self.refusal?;
        let first = self.waiting.front()?;
        if now.saturating_duration_since(refusal.at) >= REFUSAL_VALIDITY {
            return None;
        }
        let fits_in = self.fits_in(now, refusal, cost);
        (now + fits_in > first.until).then_some(fits_in)
    }

    /// Returns the time after which a request will fit, as follows from what the ledger has said
    /// about another amount.
    fn fits_in(&self, now: Instant, refusal: LedgerRefusal, cost: u64) -> Duration {
        let known = refusal.fits_at.saturating_duration_since(now);
        let cost = cost.saturating_sub(self.hand);
        let rate = refusal.rate.max(1) as f64;
        match cost.checked_sub(refusal.least) {
            Some(more) => known + refill_time(more as f64, rate),
            None => known.saturating_sub(refill_time((refusal.least - cost) as f64, rate)),
        }
    }

    /// Returns the time that the requests refused before this one need.
    fn promise(&mut self, cost: u64) -> Duration {
        let Some(refusal) = &mut self.refusal else {
            return Duration::ZERO;
        };
        let before = refusal.promised;
        refusal.promised += refill_time(cost as f64, refusal.rate.max(1) as f64);
        before.min(QUOTA_WINDOW)
    }

    /// Returns the refusal of a request that has waited in vain.
    fn timeout_refusal(&self, now: Instant, cost: u64) -> Refusal {
        let is_recent = |at| now.saturating_duration_since(at) < MAX_WAIT + ANSWER_TIMEOUT;
        let answered = self.answered.filter(|(at, _)| is_recent(*at));
        match (self.refusal, answered) {
            (Some(refusal), _) => Refusal::OverQuota {
                retry_after: self.fits_in(now, refusal, cost).max(ASK_PAUSE),
            },
            // The ledger has granted less than those before this request have used.
            (None, Some((_, rate))) => Refusal::OverQuota {
                retry_after: refill_time(cost as f64, rate.max(1) as f64),
            },
            (None, None) => Refusal::Unknown {
                retry_after: SILENT_RETRY_AFTER,
            },
        }
    }

    /// Returns whether the ledger has left an ask unanswered for too long.
    pub(crate) fn is_ledger_silent(&self, now: Instant) -> bool {
        self.outstanding.is_some_and(|ask| ask.overdue_at <= now)
    }

    /// Applies the answer to an ask. Answers to any other ask than the outstanding one are ignored:
    /// their tokens are not in hand, and the ledger has deducted them.
    pub(crate) fn on_grant(&mut self, now: Instant, grant: &WorkspaceGrant) -> bool {
        let Some(ask) = self.outstanding.take_if(|ask| ask.number == grant.number) else {
            return false;
        };
        if grant.amount > 0 {
            self.hand = self.hand.saturating_add(grant.amount);
            self.used_at = now;
        }
        self.reported = self.reported.saturating_add(grant.amount);
        if grant.rate > 0 {
            self.answered = Some((now, grant.rate));
        }
        if grant.rate == 0 {
            self.is_registered = false;
        } else if grant.amount == 0 && ask.least > 0 {
            self.refusal = Some(LedgerRefusal {
                at: now,
                fits_at: now + Duration::from_millis(grant.fits_in_ms),
                least: ask.least,
                rate: grant.rate,
                promised: Duration::ZERO,
            });
            self.ask_from = now + ASK_PAUSE;
        } else if grant.amount == 0 {
            self.advance_from = now + REFUSAL_VALIDITY;
        } else {
            self.refusal = None;
        }
        true
    }

    /// Returns the advance that covers recent use.
    fn advance(&self, now: Instant) -> u64 {
        let per_second = self.usage.per_second(now).min(self.limits.rate as f64);
        (per_second * ADVANCE_TIME.as_secs_f64()) as u64
    }

    /// Gives back tokens that have not been used for [`UNUSED_TIME`], and those beyond twice the
    /// advance. Returns their number.
    fn give_back(&mut self, now: Instant) -> u64 {
        let is_unused = now.saturating_duration_since(self.used_at) >= UNUSED_TIME;
        let kept = match is_unused {
            true => 0,
            false => self.advance(now).saturating_mul(2),
        };
        let returned = self.hand.saturating_sub(kept);
        self.hand -= returned;
        returned
    }

    /// Drops the tokens that this process holds since before it stood still: they were taken before
    /// the present window.
    pub(crate) fn drop_stale(&mut self, now: Instant) {
        if now.saturating_duration_since(self.used_at) >= 2 * UNUSED_TIME {
            self.hand = 0;
        }
    }

    /// Returns the next ask, if one is due.
    fn next_ask(&mut self, now: Instant, next_number: &mut u64) -> Option<Ask> {
        let first = self.waiting.front();
        let advance = self.advance(now);
        let is_due = match first {
            Some(_) => self.ask_from <= now,
            None => self.advance_from <= now && self.hand < advance.div_ceil(2),
        };
        if !is_due {
            return None;
        }
        let least = first.map_or(0, |first| first.cost.saturating_sub(self.hand));
        let wait = first.map_or(Duration::ZERO, |first| {
            first.until.saturating_duration_since(now)
        });
        let waiting = self.waiting.iter().map(|waiting| waiting.cost);
        let waiting = waiting.fold(0_u64, u64::saturating_add);
        *next_number += 1;
        let ask = Ask {
            number: *next_number,
            least,
            wanted: waiting.saturating_add(advance).saturating_sub(self.hand),
            wait_ms: u64::try_from(wait.saturating_sub(ANSWER_MARGIN).as_millis())
                .unwrap_or(u64::MAX),
        };
        self.outstanding = Some(Outstanding {
            number: ask.number,
            least,
            overdue_at: now + wait + ANSWER_TIMEOUT,
        });
        Some(ask)
    }

    /// Returns what the ledger has to be told now. With `is_renewal`, that includes what can wait
    /// for the next renewal of the registration.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        is_renewal: bool,
        next_number: &mut u64,
    ) -> Option<Report> {
        if self.outstanding.is_some() {
            // The answer may be on its way, so the tokens in hand are not known.
            return None;
        }
        let returned = match is_renewal {
            true => self.give_back(now),
            false => 0,
        };
        let held = self.hand;
        let ask = self.next_ask(now, next_number);
        let is_due = !self.is_registered || (is_renewal && held != self.reported);
        if ask.is_none() && returned == 0 && !is_due {
            return None;
        }
        self.reported = held;
        Some(Report {
            held,
            returned,
            ask,
        })
    }

    /// Returns when [`Self::settle`] or [`Self::report`] has something to do next, if it is before
    /// the next renewal.
    pub(crate) fn next_due(&self, now: Instant) -> Option<Instant> {
        let first = self.waiting.front()?;
        let ask_from = (self.outstanding.is_none()).then_some(self.ask_from.max(now));
        let overdue = self.outstanding.map(|ask| ask.overdue_at);
        let due = [Some(first.until), ask_from, overdue];
        due.into_iter().flatten().min()
    }
}
