//! Placing of requests: which version runs, and on which agent.

use crate::control::Control;
use crate::port::Port;
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

/// Pause that a caller is told while the catalogue is not trusted.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// An adapter.
    Adapter {
        /// Name of the adapter.
        name: AdapterName,
        /// Version, or `None` for the one in force.
        version: Option<Version>,
    },
    /// A plain service.
    Service(ServiceName),
}

/// A request that needs an agent.
#[derive(Clone, Debug)]
pub struct PlaceAsk {
    /// What the caller asks for.
    pub wanted: Wanted,
    /// When the first byte is of no more use.
    pub deadline: Option<Instant>,
    /// Agents that have declined the request.
    pub excluded: Vec<AgentKey>,
}

/// Where a request goes.
pub struct Placement {
    /// The attempt.
    pub attempt: Attempt<Unsent>,
    /// The way to the agent.
    pub port: Arc<Port>,
    /// What exactly runs.
    pub target: Target,
    /// Revision of the catalogue that named the version.
    pub revision: Revision,
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Declined {
    /// The catalogue does not hold the adapter or version.
    Missing(ResolveError),
    /// No agent can take it.
    NotRun(NotRun),
}

impl Control {
    pub(super) fn place(&mut self, now: Instant, ask: &PlaceAsk) -> Result<Placement, Declined> {
        if !self.replica.is_fresh(now) {
            let not_run = NotRun::new(NotRunReason::Stale, STALE_RETRY);
            return Err(Declined::NotRun(not_run));
        }
        if self.is_leaving() {
            let not_run = NotRun::new(NotRunReason::Leaving, STALE_RETRY);
            return Err(Declined::NotRun(not_run));
        }
        let target = self.resolve(now, &ask.wanted).map_err(Declined::Missing)?;
        if ask.excluded.is_empty() {
            self.router.on_request();
        }
        let routed = self.router.route(
            now,
            &RouteRequest {
                target: &target,
                deadline: ask.deadline,
                excluded: &ask.excluded,
                demand: &Demand::default(),
            },
        );
        let agent = routed.map_err(Declined::NotRun)?;
        let Some(port) = self.around.ports.get(&agent).cloned() else {
            let not_run = NotRun::new(NotRunReason::NoUpstream, STALE_RETRY);
            return Err(Declined::NotRun(not_run));
        };
        self.next_request += 1;
        let request = RequestId {
            entry_boot: self.replica.identity().boot,
            number: self.next_request,
        };
        Ok(Placement {
            attempt: Attempt::new(request, agent),
            port,
            target,
            revision: self.replica.catalogue().revision(),
        })
    }

    fn resolve(&self, now: Instant, wanted: &Wanted) -> Result<Target, ResolveError> {
        match wanted {
            Wanted::Adapter { name, version } => {
                let catalogue = self.replica.catalogue();
                let before = match version {
                    Some(_) => None,
                    None => self.version_before(now, name),
                };
                let spec = match before {
                    Some(spec) => spec,
                    None => catalogue.resolve(name, version.as_deref())?,
                };
                Ok(Target::Adapter {
                    adapter: spec.adapter_ref(),
                    base_model: spec.base_model.clone(),
                })
            }
            Wanted::Service(name) => Ok(Target::Service(name.clone())),
        }
    }
}
