//! Routes, services and limits that operators have put in force.

use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::rendezvous;
use dogwoodshunt_wire::frame::EngineTerms;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What may happen to a request of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// It runs at most once, and its answer is a stream of events.
    Stream {
        /// Whether a stream that broke off may go on at another upstream.
        resumable: bool,
        /// Longest pause between events of an answer that is on time.
        longest_pause: Duration,
    },
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the others of the route.
    pub weight: u64,
}

/// What becomes of requests for a host and a path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Start of the path.
    pub prefix: Box<str>,
    /// What may happen to a request.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub rank: u8,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Services that take its requests.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service that takes the request named `request`.
    ///
    /// The choice depends on the name alone, so all entries agree.
    pub fn service_for(&self, request: &str) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = rendezvous::hash(request.as_bytes(), 0).checked_rem(total)?;
        for share in &self.shares {
            if point < share.weight {
                return Some(&share.service);
            }
            point -= share.weight;
        }
        None
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Stream { resumable, .. } => resumable,
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
        }
    }
}

/// A service that routes lead to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one of its upstreams takes, from all callers together.
    pub max_connections: u32,
    /// What its engines hold; `None` for a plain service.
    pub engine: Option<EngineTerms>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time that a head may take to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Everything that operators have put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Revision; a higher one replaces a lower one, never the reverse.
    pub revision: Revision,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Config {
    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}

/// A configuration, indexed to find the route of a request.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Config,
    by_host: HashMap<Box<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn new(config: Config) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            let routes = by_host.entry(host.into()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { config, by_host }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    ///
    /// A port after the host's name does not count, nor does a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.by_host.get(name.as_str())?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(route.prefix.as_ref()))
    }
}
