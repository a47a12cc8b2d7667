//! Choice of the adapter version and the agent for each attempt of a request.

use crate::agent_connection::AgentConnection;
use crate::control::Control;
use dogwoodshunt_catalogue::ResolveError;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Attempt;
use dogwoodshunt_routing::RouteRequest;
use dogwoodshunt_routing::attempt::Unsent;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::Version;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time while the catalogue is stale, the entry is leaving or the chosen
/// agent has no connection.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Adapter or service that a request names, before its version is resolved.
///
/// The `Debug` text is part of the stored fingerprint of a request with an
/// idempotency key, so it must not change.
#[derive(Clone, Debug)]
pub enum RequestTarget {
    /// LoRA adapter.
    Adapter {
        /// Name of the adapter.
        name: AdapterName,
        /// Requested version, or `None` for the active version.
        version: Option<Version>,
    },
    /// Service that is not an adapter.
    Service(ServiceName),
}

/// Input for routing one attempt.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Adapter or service that the request names.
    pub target: RequestTarget,
    /// Time by which the first response byte is due; `None` if there is no such time.
    pub deadline: Option<Instant>,
    /// Agents on which earlier attempts of the request failed.
    pub excluded: Vec<AgentKey>,
}

/// An attempt with its agent and resolved target.
pub struct RoutedAttempt {
    /// Attempt, not yet sent.
    pub attempt: Attempt<Unsent>,
    /// Connection to the chosen agent.
    pub connection: Arc<AgentConnection>,
    /// Resolved adapter version or service.
    pub target: Target,
    /// Catalogue revision with which the version was resolved.
    pub revision: Revision,
}

/// Reason why an attempt is not routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingError {
    /// The adapter or version is unknown or withdrawn.
    Unresolved(ResolveError),
    /// The entry rejects requests, or no agent accepts the attempt.
    NotRun(NotRun),
}

impl Control {
    pub(super) fn route_attempt(
        &mut self,
        now: Instant,
        attempt_request: &AttemptRequest,
    ) -> Result<RoutedAttempt, RoutingError> {
        if !self.replica.is_fresh(now) {
            let not_run = NotRun::new(NotRunReason::Stale, UNAVAILABLE_RETRY_AFTER);
            return Err(RoutingError::NotRun(not_run));
        }
        if self.is_leaving() {
            let not_run = NotRun::new(NotRunReason::Leaving, UNAVAILABLE_RETRY_AFTER);
            return Err(RoutingError::NotRun(not_run));
        }
        let target = self
            .resolve(now, &attempt_request.target)
            .map_err(RoutingError::Unresolved)?;
        if attempt_request.excluded.is_empty() {
            self.router.on_request();
        }
        let routed = self.router.route(
            now,
            &RouteRequest {
                target: &target,
                deadline: attempt_request.deadline,
                excluded: &attempt_request.excluded,
                demand: &Demand::default(),
                service: None,
                software: None,
                max_event_gap: None,
            },
        );
        let agent = routed.map_err(RoutingError::NotRun)?;
        let Some(connection) = self.context.connections.get(&agent).cloned() else {
            let not_run = NotRun::new(NotRunReason::NoUpstream, UNAVAILABLE_RETRY_AFTER);
            return Err(RoutingError::NotRun(not_run));
        };
        self.next_attempt_number += 1;
        let request = RequestId {
            entry_boot: self.replica.identity().boot,
            number: self.next_attempt_number,
        };
        Ok(RoutedAttempt {
            attempt: Attempt::new(request, agent),
            connection,
            target,
            revision: self.replica.catalogue().revision(),
        })
    }

    fn resolve(&self, now: Instant, target: &RequestTarget) -> Result<Target, ResolveError> {
        match target {
            RequestTarget::Adapter { name, version } => {
                let catalogue = self.replica.catalogue();
                let previous = match version {
                    Some(_) => None,
                    None => self.version_before_switch(now, name),
                };
                let spec = match previous {
                    Some(spec) => spec,
                    None => catalogue.resolve(name, version.as_deref())?,
                };
                Ok(Target::Adapter {
                    adapter: spec.adapter_ref(),
                    base_model: spec.base_model.clone(),
                })
            }
            RequestTarget::Service(name) => Ok(Target::Service(name.clone())),
        }
    }
}
