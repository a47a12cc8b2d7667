//! Stand-in of a plain (non-model) service that counts its executions.

use crate::run_counts::RunCounter;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use smol::Timer;
use std::time::Duration;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Stand-in of a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    name: Box<str>,
    run_time: Duration,
    run_counter: RunCounter,
}

impl ServiceStandin {
    /// Creates a service that responds to each call after `run_time`.
    pub fn new(name: &str, run_time: Duration) -> Self {
        Self {
            name: name.into(),
            run_time,
            run_counter: RunCounter::default(),
        }
    }

    async fn run(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let path = req.uri().path().to_owned();
        let Ok(bytes) = body::read(req.into_body(), MAX_BODY_BYTES).await else {
            return server::text(400, "request body is unreadable, or larger than 16 MiB");
        };
        let text = String::from_utf8_lossy(&bytes);
        self.run_counter.record(&self.name, &text);
        Timer::after(self.run_time).await;
        server::text(200, format!("{} {path} {text}", self.name))
    }
}

impl Handler for ServiceStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        match req.uri().path() {
            "/standin/ran" => server::json(200, &self.run_counter.snapshot()),
            "/health" => server::text(200, "ok"),
            _ => self.run(req).await,
        }
    }
}
