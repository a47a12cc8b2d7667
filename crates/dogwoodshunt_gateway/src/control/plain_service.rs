//! Selection of upstreams for plain services, and the retry budgets of all
//! services.

use crate::control::Control;
use crate::platform::RecordDecoder;
use dogwoodshunt_routing::retry::RetryBudget;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_serving::pool::PickError;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::WorkspaceName;
use slog::info;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Fraction of the allowed retry slack that all entries together use. The rest
/// covers the refill of a budget within the window in which its burst was spent.
const SLACK_FRACTION: f64 = 0.8;

/// Retry-after time sent to a caller while a service has no upstream.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Upstream selected for a call of a plain service.
#[derive(Clone, Debug)]
pub struct SelectedUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Start time of the upstream process.
    pub started: UnixMillis,
    /// Version of the software of the upstream; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    /// Whether the upstream is known to limit the requests of all entries together.
    pub rate_limited: bool,
}

/// This entry's share of the retries that each service may receive.
pub(super) struct RetryBudgets {
    ratio: f64,
    slack: f64,
    entry_count: u32,
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    pub(super) fn new(ratio: f64, slack: f64, entry_count: u32) -> Self {
        Self {
            ratio,
            slack,
            entry_count,
            by_service: HashMap::new(),
        }
    }

    /// Applies changed limits; all budgets restart empty.
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

    /// Applies the number of entries that share the slack.
    pub(super) fn set_entry_count(&mut self, entry_count: u32) {
        if entry_count == self.entry_count {
            return;
        }
        self.entry_count = entry_count;
        let burst = self.burst();
        for budget in self.by_service.values_mut() {
            budget.set_burst(burst);
        }
    }

    fn burst(&self) -> f64 {
        self.slack * SLACK_FRACTION / f64::from(self.entry_count)
    }

    fn budget_for(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (ratio, burst) = (self.ratio, self.burst());
        let budget = self.by_service.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(ratio, burst))
    }

    pub(super) fn on_request(&mut self, service: &ServiceName) {
        self.budget_for(service).on_request();
    }

    pub(super) fn try_take(&mut self, service: &ServiceName) -> bool {
        self.budget_for(service).try_take()
    }
}

impl<D: RecordDecoder> Control<D> {
    /// Selects an upstream for a call of `workspace`, which is counted as one of its calls in flight
    /// until [`Control::on_call_ended`].
    ///
    /// # Errors
    ///
    /// Fails like [`Control::select_upstream`], and while the upstreams are short of slots if other
    /// workspaces are entitled to those that are left.
    pub(super) fn select_within_share(
        &mut self,
        now: Instant,
        service: ServiceName,
        workspace: Option<&WorkspaceName>,
        excluded: &[UpstreamName],
        software: Option<&str>,
    ) -> Result<SelectedUpstream, NotRun> {
        let Some(workspace) = workspace else {
            return self.select_upstream(now, service, excluded, software);
        };
        let fair_calls = self.fair_calls.entry(service.clone()).or_default();
        if let Err(shortage) = fair_calls.begin(now, workspace) {
            info!(self.context.log, "call beyond share"; "service" => %service,
                "workspace" => %workspace, "in_flight" => fair_calls.in_flight(workspace),
                "retry_ms" => shortage.as_millis() as u64);
            return Err(NotRun::new(NotRunReason::Overloaded, shortage));
        }
        let selected = self.select_upstream(now, service.clone(), excluded, software);
        if let (Err(_), Some(fair_calls)) = (&selected, self.fair_calls.get_mut(&service)) {
            fair_calls.on_ended(now, workspace, false);
        }
        selected
    }

    /// Selects an upstream of a plain service that is not in `excluded` and runs the version
    /// `software`, if one is given. The first selection for a call counts the call in the retry budget.
    ///
    /// # Errors
    ///
    /// Fails if there is no such upstream that takes calls; the error tells when one
    /// may take them again.
    pub(super) fn select_upstream(
        &mut self,
        now: Instant,
        service: ServiceName,
        excluded: &[UpstreamName],
        software: Option<&str>,
    ) -> Result<SelectedUpstream, NotRun> {
        if excluded.is_empty() {
            self.retry_budgets.on_request(&service);
        }
        let none_available = NotRun::new(NotRunReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER);
        let pool = self.pools.get_mut(&service).ok_or(none_available)?;
        pool.set_place(self.entries.place());
        pool.set_learned_costs(self.router.uses_learned_costs());
        match pool.pick(now, &self.settings.domain, excluded, software) {
            Ok((upstream, member)) => Ok(SelectedUpstream {
                rate_limited: member.rate_limit.is_some(),
                upstream,
                address: member.address,
                started: member.started,
                software: member.software.clone(),
            }),
            Err(PickError::AllPaused { ends_in }) => {
                Err(NotRun::new(NotRunReason::Paused, ends_in))
            }
            Err(PickError::NoUpstream) => Err(none_available),
            Err(PickError::SoftwareGone) => Err(NotRun::new(
                NotRunReason::SoftwareGone,
                NO_UPSTREAM_RETRY_AFTER,
            )),
        }
    }

    pub(super) fn on_call_ended(
        &mut self,
        now: Instant,
        service: &str,
        upstream: &str,
        workspace: Option<&WorkspaceName>,
        end: CallEnd,
    ) {
        if let (Some(workspace), Some(calls)) = (workspace, self.fair_calls.get_mut(service)) {
            calls.on_ended(now, workspace, end == CallEnd::Refused);
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_call_ended(now, upstream, end);
        }
    }
}
