//! Shares of an agent's capacity by workspace.
//!
//! A workspace is entitled to its part of the usual demand, an average over two minutes. A burst
//! therefore takes from its own part first. Two corrections apply: a workspace is entitled to at
//! least 0.35 of its part of the present demand, so that one that bursts is still served at a third
//! of the common rate, and a tenth of the capacity is divided equally, so that a new or
//! rare workspace is served at once.
//!
//! The shares only order what waits. Capacity that no other workspace asks for goes to whoever
//! does.

use dogwoodshunt_types::WorkspaceName;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Workspace of a request; requests without one form a group of their own.
pub type Group = Option<WorkspaceName>;

/// Time constant of the work done and of the present demand. Bursts last 5 to 7 s.
const RECENT: Duration = Duration::from_secs(5);

/// Time constant of the usual demand.
const USUAL: Duration = Duration::from_secs(120);

/// Multiple of the usual demand up to which present demand counts as usual. During a burst of 20 s
/// at 7.5 times the usual, on an agent that had started 20 s before it, the other workspaces lost
/// 0.17 of their requests without the limit, 0.14 with 2 and 0.04 with 1.25.
const LEARNED_BURST: f64 = 1.25;

/// Part of its present demand, relative to that of all, to which a workspace is always entitled.
/// Each must be served at least a quarter as often as all; the rest is margin, since work is
/// measured over some seconds.
const LEAST_PART_OF_DEMAND: f64 = 0.35;

/// Part of the capacity that is divided equally among the workspaces.
const EQUAL_PART: f64 = 0.1;

/// Maximum number of groups that are remembered. Beyond it, the one of the lowest usual demand is
/// forgotten.
const MAX_GROUPS: usize = 256;

/// Work of one output token in tokens of prefill. A decode step of 5.5 ms yields a token for each of
/// up to 64 requests, and the prefill of a token takes 0.026 ms, so that the ratio is 3.3
/// in a full batch and higher in others.
const OUTPUT_TOKEN_WORK: f64 = 4.0;

/// Work of a request besides its tokens, so that requests of unknown demand count, too.
const REQUEST_WORK: f64 = 1.0;

/// Shortest time in which an engine yields a further token of a request.
const MIN_STEP: Duration = Duration::from_millis(5);

/// Returns the work of a request, in tokens of prefill.
pub fn work(uncached_tokens: u64, output_tokens: u32) -> f64 {
    REQUEST_WORK + uncached_tokens as f64 + OUTPUT_TOKEN_WORK * f64::from(output_tokens)
}

/// Returns by how much the work of a run was charged too high at its dispatch, if its
/// output ended after `run_time`, before the stated maximum.
pub fn excess_work(output_tokens: u32, run_time: Duration) -> f64 {
    let possible = run_time.as_secs_f64() / MIN_STEP.as_secs_f64();
    OUTPUT_TOKEN_WORK * (f64::from(output_tokens) - possible).max(0.0)
}

/// Sum whose parts decay exponentially with their age.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    value: f64,
    updated_at: Instant,
    time_constant: Duration,
}

impl DecayingSum {
    fn new(now: Instant, time_constant: Duration) -> Self {
        Self {
            value: 0.0,
            updated_at: now,
            time_constant,
        }
    }

    fn get(&self, now: Instant) -> f64 {
        self.value * decay(now, self.updated_at, self.time_constant)
    }

    fn add(&mut self, now: Instant, amount: f64) {
        self.value = (self.get(now) + amount).max(0.0);
        self.updated_at = now;
    }
}

fn decay(now: Instant, since: Instant, time_constant: Duration) -> f64 {
    let age = now.saturating_duration_since(since);
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Demand and work of one group.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Work that was asked for recently.
    demand: DecayingSum,
    /// Work that is asked for usually.
    usual: DecayingSum,
    /// Work that was dispatched recently.
    work: DecayingSum,
    first_seen_at: Instant,
}

impl Usage {
    fn on_submitted(&mut self, now: Instant, work: f64) {
        // Without this request, which alone would exceed the usual rate of a rare workspace.
        let present_rate = self.demand.get(now) / RECENT.as_secs_f64();
        self.demand.add(now, work);
        let age = now
            .saturating_duration_since(self.first_seen_at)
            .max(RECENT);
        let usual_rate = self.usual.get(now) / age.min(USUAL).as_secs_f64();
        let is_burst = age > RECENT && present_rate > LEARNED_BURST * usual_rate;
        let learned = if is_burst {
            LEARNED_BURST * usual_rate / present_rate
        } else {
            1.0
        };
        self.usual.add(now, work * learned);
    }
}

/// Demand, work and share of the capacity of each workspace.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    groups: BTreeMap<Group, Usage>,
}

impl FairShare {
    /// Records that a request of `group` that causes `work` has arrived.
    pub fn on_submitted(&mut self, now: Instant, group: &Group, work: f64) {
        self.usage_mut(now, group).on_submitted(now, work);
    }

    /// Charges `work` to `group` at the dispatch of a request.
    pub fn on_dispatched(&mut self, now: Instant, group: &Group, work: f64) {
        self.usage_mut(now, group).work.add(now, work);
    }

    /// Takes back `excess` of what was charged to `group` at `charged_at`, less its decay since.
    pub fn on_corrected(&mut self, now: Instant, group: &Group, charged_at: Instant, excess: f64) {
        if let Some(usage) = self.groups.get_mut(group) {
            let left = excess * decay(now, charged_at, RECENT);
            usage.work.add(now, -left);
        }
    }

    /// Returns the number of groups that are remembered.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns whether no group is remembered.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the share of the capacity to which `group` is entitled; the shares of all groups add
    /// up to 1 or more.
    pub fn share(&self, now: Instant, group: &Group) -> f64 {
        self.share_within(group, &self.totals(now), now)
    }

    /// Returns whether the recent work of `group` exceeds its share of that of all groups.
    pub fn is_beyond_share(&self, now: Instant, group: &Group) -> bool {
        let Some(usage) = self.groups.get(group) else {
            return false;
        };
        let all: f64 = self.groups.values().map(|usage| usage.work.get(now)).sum();
        usage.work.get(now) > all * self.share(now, group)
    }

    /// Returns `jobs`, which must be in order of arrival, in the order in which their groups are
    /// entitled to run: each next job is the first one of the group that has received the least work
    /// in relation to its share, where the jobs before it in the order count as received.
    ///
    /// Jobs of one group keep their order.
    pub fn order<K: Copy>(&self, now: Instant, jobs: &[(K, &Group, f64)]) -> Vec<K> {
        let mut waiting: BTreeMap<&Group, VecDeque<usize>> = BTreeMap::new();
        for (index, (_, group, _)) in jobs.iter().enumerate() {
            waiting.entry(group).or_default().push_back(index);
        }
        if waiting.len() < 2 {
            return jobs.iter().map(|(key, ..)| *key).collect();
        }
        let totals = self.totals(now);
        let mut groups: Vec<(f64, f64, VecDeque<usize>)> = waiting
            .into_iter()
            .map(|(group, indices)| {
                let share = self
                    .share_within(group, &totals, now)
                    .max(f64::MIN_POSITIVE);
                let work = self.groups.get(group).map_or(0.0, |u| u.work.get(now));
                (work / share, share, indices)
            })
            .collect();
        let mut ordered = Vec::with_capacity(jobs.len());
        while let Some(next) = groups
            .iter_mut()
            .filter(|(.., indices)| !indices.is_empty())
            .min_by(|(a, _, a_indices), (b, _, b_indices)| {
                a.total_cmp(b)
                    .then_with(|| a_indices.front().cmp(&b_indices.front()))
            })
        {
            let (received, share, indices) = next;
            if let Some(index) = indices.pop_front() {
                let (key, _, work) = jobs[index];
                *received += work / *share;
                ordered.push(key);
            }
        }
        ordered
    }

    fn totals(&self, now: Instant) -> (f64, f64) {
        let usages = self.groups.values();
        usages.fold((0.0, 0.0), |(demand, usual), usage| {
            (demand + usage.demand.get(now), usual + usage.usual.get(now))
        })
    }

    fn share_within(&self, group: &Group, (demand, usual): &(f64, f64), now: Instant) -> f64 {
        let part = |own: f64, all: f64| if all > 0.0 { own / all } else { 0.0 };
        let usage = self.groups.get(group);
        let usual_part = usage.map_or(0.0, |usage| part(usage.usual.get(now), *usual));
        let demand_part = usage.map_or(0.0, |usage| part(usage.demand.get(now), *demand));
        let equal_part = EQUAL_PART / self.groups.len().max(1) as f64;
        usual_part.max(LEAST_PART_OF_DEMAND * demand_part) + equal_part
    }

    fn usage_mut(&mut self, now: Instant, group: &Group) -> &mut Usage {
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(group) {
            let usual = |usage: &Usage| usage.usual.get(now);
            let rarest = self.groups.iter();
            let rarest = rarest.min_by(|(_, a), (_, b)| usual(a).total_cmp(&usual(b)));
            let rarest = rarest.map(|(group, _)| group.clone());
            rarest.and_then(|group| self.groups.remove(&group));
        }
        self.groups.entry(group.clone()).or_insert_with(|| Usage {
            demand: DecayingSum::new(now, RECENT),
            usual: DecayingSum::new(now, USUAL),
            work: DecayingSum::new(now, RECENT),
            first_seen_at: now,
        })
    }
}
