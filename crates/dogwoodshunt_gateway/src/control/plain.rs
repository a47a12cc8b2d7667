//! Calls of plain services, and the retry budgets of all services.

use crate::control::Control;
use crate::ports::Decoder;
use dogwoodshunt_routing::retry::RetryBudget;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Part of the allowed slack that all entries together use: a budget refills
/// within the window that its burst was spent in.
const SLACK_USED: f64 = 0.8;

/// Entries assumed while none is known, so that a share is rather too small.
const ENTRIES_ASSUMED: u32 = 16;

/// Time for which the highest number of entries counts: one that is cut off
/// goes on by its own share.
const ENTRIES_REMEMBERED: Duration = Duration::from_secs(30);

/// An upstream for a call of a plain service.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
}

/// This entry's share of the retries that each service may get.
pub(super) struct Budgets {
    ratio: f64,
    slack: f64,
    entries: u32,
    entries_seen: Option<Instant>,
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl Budgets {
    pub(super) fn new(ratio: f64, slack: f64) -> Self {
        Self {
            ratio,
            slack,
            entries: ENTRIES_ASSUMED,
            entries_seen: None,
            by_service: HashMap::new(),
        }
    }

    /// Takes over limits that have changed; budgets start anew, and empty.
    pub(super) fn set_limits(&mut self, ratio: f64, slack: f64) {
        if (ratio, slack) == (self.ratio, self.slack) {
            return;
        }
        (self.ratio, self.slack) = (ratio, slack);
        let burst = self.burst();
        for budget in self.by_service.values_mut() {
            *budget = RetryBudget::new(ratio, burst);
            budget.drain();
        }
    }

    /// Takes over how many entries an agent sees.
    pub(super) fn on_entries(&mut self, now: Instant, entries: u32) {
        let age = self
            .entries_seen
            .map(|seen| now.saturating_duration_since(seen));
        if age.is_none_or(|age| age >= ENTRIES_REMEMBERED) || entries >= self.entries {
            self.entries = entries.max(1);
            self.entries_seen = Some(now);
            let burst = self.burst();
            for budget in self.by_service.values_mut() {
                budget.set_burst(burst);
            }
        }
    }

    fn burst(&self) -> f64 {
        self.slack * SLACK_USED / f64::from(self.entries)
    }

    fn of(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (ratio, burst) = (self.ratio, self.burst());
        let budget = self.by_service.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(ratio, burst))
    }

    pub(super) fn on_request(&mut self, service: &ServiceName) {
        self.of(service).on_request();
    }

    pub(super) fn take(&mut self, service: &ServiceName) -> bool {
        self.of(service).take()
    }
}

impl<D: Decoder> Control<D> {
    pub(super) fn pick(
        &mut self,
        now: Instant,
        service: ServiceName,
        excluded: &[UpstreamName],
    ) -> Option<Pick> {
        if excluded.is_empty() {
            self.budgets.on_request(&service);
        }
        let pool = self.pools.get_mut(&service)?;
        let (upstream, address) = pool.pick(now, &self.limits.domain, excluded)?;
        Some(Pick { upstream, address })
    }

    pub(super) fn on_call_ended(
        &mut self,
        now: Instant,
        service: &str,
        upstream: &str,
        end: CallEnd,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_end(now, upstream, end);
        }
    }
}
