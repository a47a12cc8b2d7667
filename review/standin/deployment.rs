//! A small deployment: a store, runners, processes of the system, and clients.

use crate::http;
use crate::http::Answer;
use crate::json::quote;
use crate::record::Record;
use crate::runner::MODEL;
use crate::runner::Runner;
use crate::runner::Spec;
use crate::store::Store;
use crate::system::Process;
use crate::system::Site;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Places for adapters of a runner, as on the site.
pub const ADAPTER_SLOTS: usize = 9;

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// Returns a streaming route.
pub fn streaming(prefix: &'static str, service: &'static str) -> Route {
    Route {
        prefix,
        kind: "streaming",
        service,
        timeout_ms: 15_000,
        objective_ms: 800,
        attempts: 1,
        resumable: false,
    }
}

/// Returns a route of requests without a model.
pub fn plain(
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    attempts: u32,
) -> Route {
    Route {
        prefix,
        kind,
        service,
        timeout_ms: 1_000,
        objective_ms: 150,
        attempts,
        resumable: false,
    }
}

/// Returns the text of a configuration. Services whose names begin with `roast` have models.
pub fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        let sticky = route.kind == "streaming";
        format!(
            "{{\"name\":{},\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\
             \"target_latency_ms\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\
             \"sticky\":{sticky},\"resumable\":{},\"target_gap_ms\":400}}",
            quote(&format!("r{}", route.prefix.replace('/', "-"))),
            route.prefix,
            route.kind,
            route.timeout_ms,
            route.objective_ms,
            route.service,
            route.attempts,
            route.resumable,
        )
    });
    let services = services.iter().map(|service| {
        let engine = match service.starts_with("roast") {
            true => format!(
                ",\"engine\":{{\"slots\":64,\"kv_capacity\":262134,\"kv_token_bytes\":163840,\
                 \"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":65100,\"load_s\":1.9,\
                 \"adapters\":3000,\"adapter_mb\":12.0,\"warm_s\":0.6,\"disk_load_s\":0.78}}],\
                 \"weights_mb\":66500.0,\"adapter_slots\":{ADAPTER_SLOTS},\"loads_per_s\":4.2}}"
            ),
            false => String::new(),
        };
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":360,\
             \"protocol\":\"h1\",\"tls\":false{engine}}}"
        )
    });
    let (routes, services): (Vec<String>, Vec<String>) = (routes.collect(), services.collect());
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub struct Deployment {
    pub site: Site,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
    next_id: AtomicU64,
}

/// A request of a client, with what became of it.
#[derive(Clone)]
pub struct Asked {
    pub id: String,
    pub sent_at: Instant,
    pub answer: Answer,
}

impl Asked {
    pub fn is_served(&self) -> bool {
        self.answer.status == 200 && self.answer.is_whole
    }
}

impl Deployment {
    pub fn start(
        root: PathBuf,
        folder: PathBuf,
        record: Arc<Record>,
        is_grown: bool,
        trouble: bool,
    ) -> Deployment {
        let site = Site::new(root, folder, record.clone(), is_grown);
        let store = Store::start(site.store_address());
        Deployment {
            site,
            store,
            record,
            trouble,
            next_id: AtomicU64::new(1),
        }
    }

    /// Starts a runner at a machine of its own; one with models beside its agent.
    pub fn runner(&self, machine: u8, id: &str, service: &str) -> Arc<Runner> {
        let has_models = service.starts_with("roast");
        let spec = Spec {
            id: id.to_owned(),
            service: service.to_owned(),
            address: self.site.app(machine),
            zone: "kicukiro".to_owned(),
            adapter_slots: has_models.then_some(ADAPTER_SLOTS),
            event_gap: Duration::from_millis(60),
        };
        Runner::start(spec, &self.store, &self.record)
    }

    pub fn agent(&self, machine: u8) -> Process {
        let name = format!("side-kicukiro-{machine}");
        self.site.start("agent", machine, &name)
    }

    pub fn entry(&self, machine: u8) -> Process {
        let name = format!("edge-kicukiro-{machine}");
        self.site.start("entry", machine, &name)
    }

    /// Writes a configuration as the operator does. Returns when the store has acknowledged it.
    pub fn configure(&self, text: &str) -> Instant {
        let revision = self.store.put("op/config", text);
        let now = Instant::now();
        self.record.note(&format!(
            "op/config is acknowledged at revision {revision}: {text}"
        ));
        now
    }

    /// Sends a request as a client does, on a connection of its own.
    pub fn ask(&self, method: &str, path: &str, extra: &str, body: &str, wait_ms: u64) -> Asked {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {wait_ms}\r\n{extra}"
        );
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("Connection: close\r\n\r\n");
        text.push_str(body);
        let sent_at = Instant::now();
        self.record.note(&format!(
            "client sends {id} {method} {path} {}",
            extra.trim()
        ));
        let front = self.site.front(1);
        let answer = http::call(front, text.as_bytes(), Duration::from_millis(wait_ms));
        self.record.note(&format!(
            "client gets {} for {id}{} after {} ms: {}",
            answer.status,
            if answer.is_whole { "" } else { ", not whole," },
            answer.took_ms,
            String::from_utf8_lossy(&answer.body)
                .replace('\n', " ")
                .chars()
                .take(120)
                .collect::<String>()
        ));
        Asked {
            id,
            sent_at,
            answer,
        }
    }

    /// Sends a model request for an adapter.
    pub fn ask_adapter(&self, path: &str, adapter: &str) -> Asked {
        let extra = format!(
            "Model: {MODEL}/{adapter}\r\nToken-Usage: 1460,16\r\n\
             Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
        );
        self.ask("POST", path, &extra, "prompt", 15_000)
    }

    /// Asks for an adapter until the request is served.
    pub fn ask_until_served(&self, path: &str, adapter: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.ask_adapter(path, adapter).is_served() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
