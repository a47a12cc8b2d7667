//! Checks by the key of a request whether it may run: when it is accepted, and again right before
//! each send to an upstream, since it may have waited in a queue while keys were taken away.

use crate::call::Call;
use crate::call::CallHandler;
use crate::call::CallResponse;
use crate::call::RoutedCall;
use crate::call::SendHistory;
use crate::call::refusal_response;
use crate::platform::UpstreamClient;
use dogwoodshunt_serving::Route;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_workspaces::CallerIdentity;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time sent to a caller whose key was moved to another workspace while its request
/// waited. The next request runs under that workspace.
const MOVED_KEY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request may not run now.
enum Denial {
    /// Its key is not in the configuration in force.
    UnknownKey,
    /// It is not known whether the configuration in force is recent enough.
    Unproven(NotRun),
}

impl<U: UpstreamClient> CallHandler<U> {
    /// Returns whom a request comes from, if it may run now.
    ///
    /// # Errors
    ///
    /// Returns the refusal: [`CallResponse::UnknownKey`] only once the store has confirmed that the
    /// configuration is the newest one.
    pub(super) async fn authorize(
        &self,
        call: &Call,
        route: &Route,
        deadline: Instant,
    ) -> Result<CallerIdentity, CallResponse> {
        let refuse = |not_run| refusal_response(not_run, Duration::ZERO);
        match self.identify_now(call, route) {
            Ok(caller) => return Ok(caller),
            Err(Denial::Unproven(not_run)) => {
                self.metrics.refusals_without_proof.inc();
                return Err(refuse(not_run));
            }
            Err(Denial::UnknownKey) => {}
        }
        let currency = &self.shared_state.currency;
        let confirmed = currency.confirm(currency.now(), deadline).await;
        self.metrics.count_confirmation(confirmed.is_ok());
        confirmed.map_err(refuse)?;
        // The configuration may have changed meanwhile.
        self.identify_now(call, route)
            .map_err(|denial| match denial {
                Denial::UnknownKey => CallResponse::UnknownKey,
                Denial::Unproven(not_run) => {
                    self.metrics.refusals_without_proof.inc();
                    refuse(not_run)
                }
            })
    }

    /// Returns whom a request comes from, right before it is sent to an upstream.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if the request may not be sent: its key was taken away or
    /// moved to another workspace, or this is not known.
    pub(super) async fn authorize_send(
        &self,
        routed: &RoutedCall,
        history: &SendHistory,
    ) -> Result<CallerIdentity, CallResponse> {
        let authorized = self
            .authorize(&routed.call, &routed.route, routed.deadline)
            .await;
        let authorized = authorized.and_then(|caller| {
            if is_moved(&routed.caller, &caller) {
                let not_run = NotRun::new(NotRunReason::KeyUnconfirmed, MOVED_KEY_RETRY_AFTER);
                return Err(refusal_response(not_run, Duration::ZERO));
            }
            Ok(caller)
        });
        authorized.map_err(|refusal| match &history.lost_response_reason {
            Some(reason) => CallResponse::Lost(reason.clone()),
            None => refusal,
        })
    }

    /// Returns whom a request comes from according to the configuration in force.
    fn identify_now(&self, call: &Call, route: &Route) -> Result<CallerIdentity, Denial> {
        let currency = &self.shared_state.currency;
        // The configuration is read after the check of the proof, which speaks of the
        // configuration in force at that moment.
        let proven = currency.check_run(currency.now());
        let Some(route_table) = self.shared_state.routes() else {
            return Err(Denial::UnknownKey);
        };
        let current_route = route_table.find(&call.host, &call.path);
        let route = current_route.map_or(route, |route| &**route);
        let caller = route_table.identify(route, call.key.as_ref());
        match (caller, proven) {
            (Some(CallerIdentity::Workspace(_)) | None, Err(not_run)) if !route.is_public => {
                Err(Denial::Unproven(not_run))
            }
            (Some(caller), _) => Ok(caller),
            (None, _) => Err(Denial::UnknownKey),
        }
    }
}

/// Returns whether the key of a request has been moved from one workspace to another.
fn is_moved(accepted: &CallerIdentity, present: &CallerIdentity) -> bool {
    match (accepted.workspace(), present.workspace()) {
        (Some(accepted), Some(present)) => accepted.name != present.name,
        _ => false,
    }
}
