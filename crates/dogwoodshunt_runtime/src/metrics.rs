//! Prometheus metrics and the HTTP handler that serves them.

use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use prometheus_client::encoding::text;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use slog::Logger;
use slog::error;

/// HTTP path of the metrics.
pub const PATH: &str = "/metrics";

/// Prefix of the names of all Prometheus metrics.
pub const PREFIX: &str = "dogwoodshunt";

/// Upper bounds of the buckets of latency histograms, in seconds. They range from a round trip
/// between hosts to the longest deadline of a route.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0,
];

/// Returns an empty histogram for latencies in seconds.
pub fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

/// Returns an empty registry that prefixes the names of its metrics with [`PREFIX`].
pub fn registry() -> Registry {
    Registry::with_prefix(PREFIX)
}

/// HTTP handler that serves a registry in the Prometheus text format.
pub struct MetricsHandler {
    registry: Registry,
    log: Logger,
}

impl MetricsHandler {
    /// Creates a handler that serves `registry`.
    pub fn new(registry: Registry, log: Logger) -> Self {
        Self { registry, log }
    }
}

impl Handler for MetricsHandler {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        if req.uri().path() != PATH {
            return server::text(404, "metrics are at /metrics");
        }
        let mut encoded = String::new();
        if let Err(error) = text::encode(&mut encoded, &self.registry) {
            error!(self.log, "metrics not encoded"; "error" => %error);
            return server::text(500, "encoding of metrics failed");
        }
        server::text(200, encoded)
    }
}
