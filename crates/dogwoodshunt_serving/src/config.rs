//! The configuration that operators write (routes, services and limits on callers),
//! and the lookup of the route of a request.

use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::rendezvous;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_workspaces::CallerIdentity;
use dogwoodshunt_workspaces::KeyDigest;
use dogwoodshunt_workspaces::Workspace;
use dogwoodshunt_workspaces::WorkspaceTable;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run, and whether its response is a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// The request runs at most once unless the stream is resumable, and the response
    /// is a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed on another upstream.
        resumable: bool,
        /// Maximum gap between two events of a response that counts as on time.
        #[serde(rename = "longest_pause")]
        max_event_gap: Duration,
    },
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// A service with its weight among the services of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service. The service gets this weight divided by the sum of the
    /// weights of the route as its share of the requests.
    pub weight: u64,
}

/// Handling of the requests for a host and a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Value of the `Host` header that the route matches, without a port.
    pub host: Box<str>,
    /// Prefix of the paths that the route matches.
    #[serde(rename = "prefix")]
    pub path_prefix: Box<str>,
    /// How often a request may run, and whether its response is a stream.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as on time.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// Urgency of the route's requests; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of upstreams that may receive one request of a caller, retries
    /// included. A send that reached no upstream does not count.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether callers need no key.
    #[serde(default, rename = "public")]
    pub is_public: bool,
    /// Services among which the requests are divided.
    #[serde(rename = "shares")]
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Returns the service for the request with the identifier `request_id`, or `None`
    /// if the weights add up to 0.
    ///
    /// The choice depends only on the weights and the identifier, so all entries
    /// choose the same service.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|weighted_service| weighted_service.weight)
            .sum();
        let mut remaining = rendezvous::hash(request_id.as_bytes(), 0).checked_rem(total)?;
        for weighted_service in &self.weighted_services {
            if remaining < weighted_service.weight {
                return Some(&weighted_service.service);
            }
            remaining -= weighted_service.weight;
        }
        None
    }

    /// Returns whether requests of the route may be sent to `service`.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut services = self.weighted_services.iter();
        services.any(|weighted| weighted.weight > 0 && *weighted.service == *service)
    }

    /// Returns the maximum gap between two events of a response that counts as on time; `None` if
    /// responses are not streams.
    pub fn max_event_gap(&self) -> Option<Duration> {
        match self.kind {
            RouteKind::Stream { max_event_gap, .. } => Some(max_event_gap),
            RouteKind::Idempotent | RouteKind::AtMostOnce => None,
        }
    }

    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Stream { resumable, .. } => resumable,
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
        }
    }
}

/// A service that routes refer to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts from all entries.
    pub max_connections: u32,
    /// Model and capacity of each engine of the service; `None` for a plain service.
    pub engine: Option<EngineConfig>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a request head must arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// The configuration that operators write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Revision of the configuration; a higher revision replaces a lower one, never
    /// the reverse.
    pub revision: Revision,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Workspaces, to one of which each caller of a route that is not public belongs; `None` if
    /// callers do not identify themselves to this system.
    #[serde(default)]
    pub workspaces: Option<Vec<Workspace>>,
}

impl Config {
    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}

/// A configuration with an index of its routes by host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Config,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<Arc<Route>>>,
    workspaces: WorkspaceTable,
}

impl RouteTable {
    /// Creates a table of the routes of `config`.
    pub fn new(config: Config) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            let host_routes = by_host.entry(host.into()).or_default();
            host_routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let workspaces = config.workspaces.as_deref().unwrap_or_default();
        Self {
            workspaces: WorkspaceTable::new(workspaces),
            config,
            by_host,
        }
    }

    /// Returns whom a request for `route` with the given key comes from; `None` if the route is
    /// not public and the key belongs to no workspace.
    pub fn identify(&self, route: &Route, key: Option<&KeyDigest>) -> Option<CallerIdentity> {
        if self.config.workspaces.is_none() {
            return Some(CallerIdentity::Unidentified);
        }
        let workspace = key.and_then(|key| self.workspaces.find(key)).cloned();
        match workspace {
            Some(workspace) => Some(CallerIdentity::Workspace(workspace)),
            None => route.is_public.then_some(CallerIdentity::Anonymous),
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// The case and the port of `host` and the query of `path` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.by_host.get(name.as_str())?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(route.path_prefix.as_ref()))
    }
}
