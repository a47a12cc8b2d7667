//! Payment of a request of a workspace that has a quota.
//!
//! A request pays once, before it is placed, however often it is sent. It is refunded if it is
//! refused without having run.

use crate::call::CallHandler;
use crate::call::CallResponse;
use crate::call::RoutedCall;
use crate::call::SHUTDOWN_RETRY_AFTER;
use crate::control::ControlEvent;
use crate::platform::UpstreamClient;
use async_channel::Sender;
use dogwoodshunt_quotas::MAX_WAIT;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_workspaces::workspace::QuotaUnit;
use std::time::Instant;

/// Part of the time left until the deadline that a request may wait for tokens.
const WAIT_DIVISOR: u32 = 4;

/// Cost that a request has paid.
pub(super) struct Payment {
    workspace: WorkspaceName,
    cost: u64,
    events: Sender<ControlEvent>,
}

impl Payment {
    /// Refunds the cost if the response shows that the request has not run.
    pub(super) fn settle(self, response: &CallResponse) {
        let has_not_run = match response {
            CallResponse::NotRun(_)
            | CallResponse::NoRoute
            | CallResponse::UnknownKey
            | CallResponse::Malformed(_) => true,
            CallResponse::Upstream { .. } | CallResponse::TimedOut | CallResponse::Lost(_) => false,
        };
        if has_not_run {
            let refund = ControlEvent::RefundQuota {
                workspace: self.workspace,
                cost: self.cost,
            };
            // The channel is unbounded and closes only while the process exits.
            let _ = self.events.try_send(refund);
        }
    }
}

impl RoutedCall {
    /// Returns the workspace that pays the request, and its cost; `None` if the request costs
    /// nothing.
    fn cost(&self) -> Option<(&WorkspaceName, u64)> {
        let workspace = self.caller.workspace()?;
        let cost = match workspace.quota?.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => self.call.stated_tokens.unwrap_or(default_cost),
        };
        (cost > 0).then_some((&workspace.name, cost))
    }
}

impl<U: UpstreamClient> CallHandler<U> {
    /// Pays the cost of a request, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is over the quota of its workspace.
    pub(super) async fn pay(&self, routed: &RoutedCall) -> Result<Option<Payment>, NotRun> {
        let Some((workspace, cost)) = routed.cost() else {
            return Ok(None);
        };
        // The control thread ends only with the process.
        let stopping = NotRun::new(NotRunReason::Leaving, SHUTDOWN_RETRY_AFTER);
        let time_left = routed.deadline.saturating_duration_since(Instant::now());
        let (reply_tx, paid_rx) = async_channel::bounded(1);
        let take = ControlEvent::TakeQuota {
            workspace: workspace.clone(),
            cost,
            wait: MAX_WAIT.min(time_left / WAIT_DIVISOR),
            reply_tx,
        };
        self.events.send(take).await.map_err(|_| stopping)?;
        paid_rx.recv().await.unwrap_or(Err(stopping))?;
        Ok(Some(Payment {
            workspace: workspace.clone(),
            cost,
            events: self.events.clone(),
        }))
    }
}
