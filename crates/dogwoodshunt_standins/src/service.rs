//! Plain service that counts what it ran.

use crate::ledger::Ledger;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use smol::Timer;
use std::time::Duration;

/// Largest body that the service takes, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Plain service.
#[derive(Debug)]
pub struct Service {
    name: Box<str>,
    run_time: Duration,
    ledger: Ledger,
}

impl Service {
    /// Creates a service whose calls take `run_time`.
    pub fn new(name: &str, run_time: Duration) -> Self {
        Self {
            name: name.into(),
            run_time,
            ledger: Ledger::default(),
        }
    }

    async fn run(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let path = req.uri().path().to_owned();
        let Ok(bytes) = body::read(req.into_body(), MAX_BODY_BYTES).await else {
            return server::text(400, "the body could not be read");
        };
        let text = String::from_utf8_lossy(&bytes);
        self.ledger.record(&self.name, &text);
        Timer::after(self.run_time).await;
        server::text(200, format!("{} {path} {text}", self.name))
    }
}

impl Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        match req.uri().path() {
            "/standin/ran" => server::json(200, &self.ledger.runs()),
            "/health" => server::text(200, "ok"),
            _ => self.run(req).await,
        }
    }
}
