//! What traffic threads read of the control state.

use dogwoodshunt_serving::config::RouteTable;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// What traffic threads read of the control state.
#[derive(Debug, Default)]
pub struct Status {
    routes: Mutex<Option<Arc<RouteTable>>>,
    upstreams_known: AtomicBool,
    leaving: AtomicBool,
}

impl Status {
    /// Returns the routes in force, once any are known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.clone()
    }

    /// Puts routes in force.
    pub fn set_routes(&self, table: RouteTable) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        *routes = Some(Arc::new(table));
    }

    /// Records that the list of upstreams has been read.
    pub fn set_upstreams_known(&self) {
        self.upstreams_known.store(true, Ordering::Relaxed);
    }

    /// Records that the process takes no new connections.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process takes no new connections.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.upstreams_known.load(Ordering::Relaxed);
        known && !self.is_leaving() && self.routes().is_some()
    }
}
