//! Selection among the upstreams of a plain service.
//!
//! The selection is designed for short calls, upstreams with few slots, several
//! entries that do not know of each other's calls, and upstreams that appear
//! healthy but fail some of their calls.

use crate::rate_share::EntryPlace;
use crate::registry::ListedUpstream;
use dogwoodshunt_costs::CallTime;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Weight of the newest call in the failure rate of an upstream, which is an
/// exponential moving average.
const FAILURE_RATE_SMOOTHING: f64 = 0.1;

/// Half-life of the failure rate of an upstream without new outcomes: the rate
/// decays so that the upstream is tried again.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Cost of an upstream in another failure domain, in calls in flight, for the
/// longer network path.
const REMOTE_DOMAIN_COST: f64 = 1.0;

/// Cost of a failure rate of 1, in calls in flight.
const FAILURE_RATE_COST: f64 = 12.0;

/// One upstream of a pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// Address of the upstream.
    pub address: SocketAddr,
    domain: FailureDomain,
    leaving: bool,
    /// Start time of the upstream process, which distinguishes restarts.
    pub started: UnixMillis,
    /// Version of the software of the upstream; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    /// Time until which the upstream wants no calls from this entry.
    paused_until: Option<Instant>,
    /// Limit that the upstream names for the calls of all entries together.
    pub rate_limit: Option<RateLimit>,
    /// When this entry last chose the upstream.
    last_chosen_at: Option<Instant>,
    in_flight: u32,
    /// Learned time of this entry's calls.
    call_time: CallTime,
    /// Failure rate at `last_outcome_at`, from 0 to 1.
    failure_rate: f64,
    /// When the last call ended whose [`CallEnd`] was not [`CallEnd::Neutral`].
    last_outcome_at: Option<Instant>,
}

impl PoolMember {
    /// Returns when the upstream takes the next call from this entry; `None` if it has asked
    /// neither for a pause nor for a limit.
    fn wanted_from(&self, now: Instant, name: &str, place: &EntryPlace) -> Option<Instant> {
        let limited = self.rate_limit.zip(self.last_chosen_at);
        let within_rate =
            limited.map(|(limit, last)| place.next_request_at(now, name, limit, last));
        within_rate.max(self.paused_until)
    }

    /// Returns the failure rate, decayed by the time since the last outcome.
    fn decayed_failure_rate(&self, now: Instant) -> f64 {
        let age = self
            .last_outcome_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failure_rate * (-age.as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Reason why no upstream can be chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickError {
    /// All upstreams that could be chosen have asked for a pause, or this entry has used its
    /// share of their rate limits.
    AllPaused {
        /// Time until the first of them takes a call.
        ends_in: Duration,
    },
    /// Every upstream is leaving or excluded, or there is none.
    NoUpstream,
    /// No upstream that is not leaving runs the version of the software that must run the call.
    SoftwareGone,
}

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The upstream answered the call.
    Answered,
    /// The call failed, or its response was too late.
    Failed,
    /// The response was lost with its connection.
    Lost,
    /// The upstream refused the call without running it.
    Refused,
    /// The caller disconnected or the call was not sent, which says nothing about
    /// the upstream.
    Neutral,
}

/// The upstreams of a plain service, with the calls in flight and the failure rates
/// of this entry's own calls.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    members: BTreeMap<UpstreamName, PoolMember>,
    place: EntryPlace,
    learned_costs: bool,
}

impl Default for UpstreamPool {
    /// Creates an empty pool of the only entry.
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            place: EntryPlace {
                entries: 1,
                rank: None,
            },
            learned_costs: false,
        }
    }
}

impl UpstreamPool {
    /// Adds an upstream, or updates the address and state of a known one. It gets no calls
    /// until `paused_until`, if it has asked for a pause.
    pub fn upsert(&mut self, listed: &ListedUpstream, paused_until: Option<Instant>) {
        let member = self
            .members
            .entry(listed.name.clone())
            .or_insert_with(|| PoolMember {
                address: listed.address,
                domain: listed.domain.clone(),
                leaving: listed.leaving,
                started: listed.started,
                software: None,
                paused_until,
                rate_limit: None,
                last_chosen_at: None,
                in_flight: 0,
                call_time: CallTime::default(),
                failure_rate: 0.0,
                last_outcome_at: None,
            });
        member.address = listed.address;
        member.leaving = listed.leaving;
        if member.started != listed.started {
            // Another process has not named the limit of the one before.
            member.rate_limit = None;
            member.call_time.forget();
        }
        member.started = listed.started;
        member.software = listed.software_identity();
        member.paused_until = paused_until;
    }

    /// Gives the upstream no calls until `until`, as the process that started at `started` has
    /// asked.
    pub fn pause(&mut self, name: &str, started: UnixMillis, until: Instant) {
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|member| member.started == started) {
            member.paused_until = Some(until);
        }
    }

    /// Sets the limit that the upstream process that started at `started` names for the calls
    /// of all entries together.
    pub fn set_rate_limit(&mut self, name: &str, started: UnixMillis, limit: Option<RateLimit>) {
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|member| member.started == started) {
            member.rate_limit = limit;
        }
    }

    /// Sets the place of this entry among the entries that share rate limits.
    pub fn set_place(&mut self, place: EntryPlace) {
        self.place = place;
    }

    /// Sets whether upstreams are chosen by their learned call times.
    pub fn set_learned_costs(&mut self, learned_costs: bool) {
        self.learned_costs = learned_costs;
    }

    /// Returns the mean call time of all upstreams, in seconds; 0 without observations.
    fn mean_call_s(&self, now: Instant) -> f64 {
        let totals = self.members.values().map(|m| m.call_time.totals(now));
        let (busy_s, ends) = totals.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        if ends > 0.0 { busy_s / ends } else { 0.0 }
    }

    /// Removes the upstreams for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.members.retain(|name, _| is_listed(name));
    }

    /// Returns the number of upstreams that are not leaving.
    pub fn available_count(&self) -> usize {
        self.members.values().filter(|m| !m.leaving).count()
    }

    /// Returns whether there is no upstream that is not leaving.
    pub fn has_none_available(&self) -> bool {
        self.available_count() == 0
    }

    /// Chooses an upstream for a call from failure domain `domain`, and counts the
    /// call as in flight.
    ///
    /// The upstream with the fewest calls in flight is chosen, where a failure rate
    /// and a different failure domain count as additional calls. With learned costs, the calls in
    /// flight and the new one count as many times as the learned call time exceeds that of the pool. Upstreams that are leaving,
    /// have asked for a pause or are in `excluded` are never chosen, nor are those of another version
    /// than `software` if it is given, and those that name a rate limit no more often than the share
    /// of this entry allows.
    ///
    /// # Errors
    ///
    /// Fails if there is no such upstream. If all others take calls later, the error holds the
    /// time until the first of them does.
    pub fn pick(
        &mut self,
        now: Instant,
        domain: &str,
        excluded: &[UpstreamName],
        software: Option<&str>,
    ) -> Result<(UpstreamName, &PoolMember), PickError> {
        let mean_call_s = self.learned_costs.then(|| self.mean_call_s(now));
        let cost = |member: &PoolMember| {
            let domain_cost = if *member.domain == *domain {
                0.0
            } else {
                REMOTE_DOMAIN_COST
            };
            let calls = f64::from(member.in_flight);
            let calls = mean_call_s.map_or(calls, |mean_s| {
                (calls + 1.0) * member.call_time.relative(now, mean_s)
            });
            calls + domain_cost + FAILURE_RATE_COST * member.decayed_failure_rate(now)
        };
        let runs_software = |member: &PoolMember| {
            software.is_none_or(|software| member.software.as_deref() == Some(software))
        };
        let mut staying = self.members.values().filter(|member| !member.leaving);
        if software.is_some() && !staying.any(runs_software) {
            return Err(PickError::SoftwareGone);
        }
        let place = self.place;
        let is_later = |at: Option<Instant>| at.is_some_and(|at| at > now);
        let candidates = self.members.iter_mut();
        let candidates =
            candidates.filter(|(name, member)| !member.leaving && !excluded.contains(name));
        let candidates = candidates.filter(|(_, member)| runs_software(member));
        let (paused, ready): (Vec<_>, Vec<_>) =
            candidates.partition(|(name, member)| is_later(member.wanted_from(now, name, &place)));
        let cheapest = ready
            .into_iter()
            .min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        let Some((name, member)) = cheapest else {
            let first_end = paused.iter();
            let first_end =
                first_end.filter_map(|(name, member)| member.wanted_from(now, name, &place));
            return Err(match first_end.min() {
                Some(until) => PickError::AllPaused {
                    ends_in: until.saturating_duration_since(now),
                },
                None => PickError::NoUpstream,
            });
        };
        member.in_flight += 1;
        member.call_time.on_start(now);
        member.last_chosen_at = Some(now);
        Ok((name.clone(), member))
    }

    /// Records the end of a call that [`UpstreamPool::pick`] has counted.
    pub fn on_call_ended(&mut self, now: Instant, name: &str, end: CallEnd) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        member.call_time.on_end(now, end != CallEnd::Neutral);
        let observed_rate = match end {
            CallEnd::Answered => 0.0,
            CallEnd::Failed | CallEnd::Lost | CallEnd::Refused => 1.0,
            CallEnd::Neutral => return,
        };
        let previous_rate = member.decayed_failure_rate(now);
        member.failure_rate =
            previous_rate + FAILURE_RATE_SMOOTHING * (observed_rate - previous_rate);
        member.last_outcome_at = Some(now);
    }
}
