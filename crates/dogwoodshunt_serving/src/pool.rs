//! Choice among the upstreams of a plain service.
//!
//! The load it answers: short calls, few slots an upstream, several entries
//! that do not see each other, and upstreams that fail part of their calls
//! while they look healthy.

use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::UpstreamName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Weight of the newest call in an upstream's means.
const SMOOTHING: f64 = 0.1;

/// Time after which half of what is held against an upstream is forgotten, so
/// that it is tried again.
const FORGETTING: Duration = Duration::from_secs(4);

/// Calls in flight that another failure domain is worth, for its longer way.
const DOMAIN_STEP: f64 = 1.0;

/// Calls in flight that a share of 1 of failed calls weighs as much as.
const FAILURE_WEIGHT: f64 = 12.0;

/// An upstream of a plain service.
#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    domain: FailureDomain,
    leaving: bool,
    in_flight: u32,
    failed: f64,
    noted: Option<Instant>,
}

impl Member {
    fn failed(&self, now: Instant) -> f64 {
        let age = self
            .noted
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failed * (-age.as_secs_f64() / FORGETTING.as_secs_f64()).exp2()
    }
}

/// How a call of an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It was answered.
    Answered,
    /// It failed, was lost or came too late.
    Failed,
    /// Its caller left, or it was not sent; that says nothing.
    Neutral,
}

/// The upstreams of a plain service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<UpstreamName, Member>,
}

impl Pool {
    /// Adds an upstream, or takes over what the list says of it now.
    pub fn set(&mut self, name: &str, address: SocketAddr, domain: &str, leaving: bool) {
        let member = self.members.entry(name.into()).or_insert_with(|| Member {
            address,
            domain: domain.into(),
            leaving,
            in_flight: 0,
            failed: 0.0,
            noted: None,
        });
        member.address = address;
        member.leaving = leaving;
    }

    /// Removes the upstreams that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.members.retain(|name, _| keep(name));
    }

    /// Returns how many upstreams take new calls.
    pub fn len(&self) -> usize {
        self.members.values().filter(|m| !m.leaving).count()
    }

    /// Returns whether no upstream takes new calls.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream for a call from `domain` and counts the call.
    ///
    /// The fewest calls in flight win, with failed calls and the way to other
    /// failure domains counted as calls in flight.
    pub fn pick(
        &mut self,
        now: Instant,
        domain: &str,
        excluded: &[UpstreamName],
    ) -> Option<(UpstreamName, SocketAddr)> {
        let score = |member: &Member| {
            let away = if *member.domain == *domain {
                0.0
            } else {
                DOMAIN_STEP
            };
            f64::from(member.in_flight) + away + FAILURE_WEIGHT * member.failed(now)
        };
        let able = self.members.iter_mut();
        let able = able.filter(|(name, member)| !member.leaving && !excluded.contains(name));
        let best = able.min_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)));
        let (name, member) = best?;
        member.in_flight += 1;
        Some((name.clone(), member.address))
    }

    /// Records how a call ended.
    pub fn on_end(&mut self, now: Instant, name: &str, end: CallEnd) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        let seen = match end {
            CallEnd::Answered => 0.0,
            CallEnd::Failed => 1.0,
            CallEnd::Neutral => return,
        };
        let before = member.failed(now);
        member.failed = before + SMOOTHING * (seen - before);
        member.noted = Some(now);
    }
}
