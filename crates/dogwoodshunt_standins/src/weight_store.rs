//! Stand-in of the weight store: starts four loads a second, and slows down
//! with more than eight loads in flight.

use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use smol::Timer;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Minimum time between the starts of two loads.
const START_INTERVAL: Duration = Duration::from_millis(250);

/// Duration of a load while at most [`UNCONTENDED_LOADS`] loads are in flight.
const UNCONTENDED_LOAD_TIME: Duration = Duration::from_millis(250);

/// Number of loads in flight beyond which the duration of a load grows in
/// proportion to that number.
const UNCONTENDED_LOADS: u32 = 8;

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    next_start: Option<Instant>,
    completed_loads: u64,
}

/// Stand-in of the weight store.
#[derive(Debug, Default)]
pub struct WeightStoreStandin {
    state: Mutex<State>,
}

impl WeightStoreStandin {
    /// Creates a store that serves the weights of any adapter name.
    pub fn new() -> Self {
        Self::default()
    }

    async fn load(&self) {
        let start_time = self.reserve_start(Instant::now());
        Timer::at(start_time).await;
        Timer::after(self.load_time()).await;
        self.with_state(|state| {
            state.in_flight -= 1;
            state.completed_loads += 1;
        });
    }

    fn reserve_start(&self, now: Instant) -> Instant {
        self.with_state(|state| {
            state.in_flight += 1;
            let start_time = state.next_start.map_or(now, |next| next.max(now));
            state.next_start = Some(start_time + START_INTERVAL);
            start_time
        })
    }

    fn load_time(&self) -> Duration {
        let in_flight = self.with_state(|state| state.in_flight);
        UNCONTENDED_LOAD_TIME * in_flight.max(UNCONTENDED_LOADS) / UNCONTENDED_LOADS
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Handler for WeightStoreStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        match req.uri().path() {
            "/standin/loads" => {
                let loads = self.with_state(|state| state.completed_loads);
                server::text(200, loads.to_string())
            }
            path if path.starts_with("/weights/") => {
                self.load().await;
                server::text(200, "weights")
            }
            path => server::text(404, format!("no such path: {path}")),
        }
    }
}
