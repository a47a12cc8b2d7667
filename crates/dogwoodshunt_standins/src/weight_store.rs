//! Weight store: four loads a second, slower with more than eight in flight.

use dogwoodshunt_border::http::AnswerBody;
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

/// Time between the starts of two loads.
const START_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a load takes while the store is not crowded.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Loads in flight beyond which every load takes proportionally longer.
const UNCROWDED: u32 = 8;

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    next_start: Option<Instant>,
    loads: u64,
}

/// Weight store.
#[derive(Debug, Default)]
pub struct WeightStore {
    state: Mutex<State>,
}

impl WeightStore {
    /// Creates a store that holds every adapter.
    pub fn new() -> Self {
        Self::default()
    }

    async fn load(&self) {
        let start = self.enter(Instant::now());
        Timer::at(start).await;
        Timer::after(self.load_time()).await;
        self.with_state(|state| {
            state.in_flight -= 1;
            state.loads += 1;
        });
    }

    fn enter(&self, now: Instant) -> Instant {
        self.with_state(|state| {
            state.in_flight += 1;
            let start = state.next_start.map_or(now, |next| next.max(now));
            state.next_start = Some(start + START_INTERVAL);
            start
        })
    }

    fn load_time(&self) -> Duration {
        let in_flight = self.with_state(|state| state.in_flight);
        LOAD_TIME * in_flight.max(UNCROWDED) / UNCROWDED
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Handler for WeightStore {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        match req.uri().path() {
            "/standin/loads" => {
                let loads = self.with_state(|state| state.loads);
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
