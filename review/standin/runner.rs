//! Stand-in of a runner: a model runner with adapters, or one of a service without models.

use crate::http;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Model of the stand-ins.
pub const MODEL: &str = "daka510000";
/// Tokens of an event of a stream.
const TOKENS_PER_EVENT: u32 = 4;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Places for adapters; `None` for a runner without models.
    pub adapter_slots: Option<usize>,
    /// Time between two events of a stream.
    pub event_gap: Duration,
}

/// An order as it arrived.
#[derive(Clone)]
pub struct Order {
    body: Json,
    instance: Option<String>,
    pub at: Instant,
}

impl Order {
    pub fn is_load(&self) -> bool {
        self.body.get("op").text() == Some("load")
    }

    pub fn adapter(&self) -> Option<&str> {
        self.body.get("adapter").text()
    }
}

/// A request that has run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
}

#[derive(Default)]
struct State {
    server: Option<Server>,
    born: u64,
    seq: i64,
    fence: i64,
    has_model: bool,
    model_ready_at: Option<Instant>,
    /// Adapters, each with the time at which it is loaded.
    adapters: BTreeMap<String, Instant>,
    known_adapters: BTreeSet<String>,
    runs: Vec<Run>,
    draining: bool,
    /// Number of adapters that were held when an order went beyond the places.
    overfilled: Option<String>,
}

/// What becomes of an order before the runner looks at it.
#[derive(Clone, Copy, PartialEq)]
pub enum OrderFate {
    CarryOut,
    /// No answer; the order is kept by the stand-in's owner.
    LeaveUnanswered,
}

type OrderFilter = dyn Fn(&Order) -> OrderFate + Send + Sync;

pub struct Runner {
    pub spec: Spec,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    order_filter: Mutex<Option<Box<OrderFilter>>>,
    unanswered: Mutex<Vec<Order>>,
}

impl Runner {
    /// Starts a runner that holds its model, if it has one, and registers it.
    pub fn start(spec: Spec, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            state: Mutex::new(State {
                has_model: spec.adapter_slots.is_some(),
                ..State::default()
            }),
            spec,
            store: store.clone(),
            record: record.clone(),
            order_filter: Mutex::new(None),
            unanswered: Mutex::new(Vec::new()),
        });
        runner.begin();
        runner
    }

    fn begin(self: &Arc<Self>) {
        let handling = self.clone();
        let handler = move |req: &Request, stream: &mut TcpStream| handling.handle(req, stream);
        let server = Server::start(self.spec.address, Arc::new(handler)).expect("runner's address");
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let mut state = self.state.lock().unwrap();
        state.server = Some(server);
        state.born = now.map_or(1, |now| now.as_millis() as u64);
        drop(state);
        self.register();
    }

    fn register(&self) {
        let (born, draining) = {
            let state = self.state.lock().unwrap();
            (state.born, state.draining)
        };
        let phase = if draining { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{phase}\",\"cold_remaining_ms\":0,\"born\":{born},\"seq\":0}}",
            quote(&self.spec.service),
            self.spec.address,
            quote(&self.spec.zone),
        );
        self.store.put(&self.key(), &value);
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.spec.id)
    }

    /// Ends the process of the runner. Its entry in the list stays until it has started again.
    pub fn crash(&self) {
        let server = self.state.lock().unwrap().server.take();
        if let Some(server) = server {
            server.crash();
        }
    }

    /// Starts the runner again under its id. It holds and knows nothing of before.
    pub fn restart(self: &Arc<Self>) {
        {
            let mut state = self.state.lock().unwrap();
            let (runs, known) = (
                std::mem::take(&mut state.runs),
                std::mem::take(&mut state.known_adapters),
            );
            *state = State {
                runs,
                known_adapters: known,
                ..State::default()
            };
        }
        self.begin();
    }

    pub fn set_order_filter(&self, filter: Option<Box<OrderFilter>>) {
        *self.order_filter.lock().unwrap() = filter;
    }

    pub fn unanswered(&self) -> Vec<Order> {
        self.unanswered.lock().unwrap().clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn overfilled(&self) -> Option<String> {
        self.state.lock().unwrap().overfilled.clone()
    }

    /// Returns the number of orders accepted and of adapters held.
    pub fn holdings(&self) -> (i64, usize) {
        let state = self.state.lock().unwrap();
        (state.seq, state.adapters.len())
    }

    fn handle(self: &Arc<Self>, req: &Request, stream: &mut TcpStream) -> bool {
        match req.path.as_str() {
            "/health" => {
                let headers = [("Instance-Id", self.spec.id.as_str())];
                http::respond(stream, 200, &headers, b"").is_ok()
            }
            "/dogwoodshunt/report" => {
                let body = self.report();
                let headers = [("Content-Type", "application/json")];
                http::respond(stream, 200, &headers, body.as_bytes()).is_ok()
            }
            "/dogwoodshunt/order" => self.on_order(req, stream),
            _ => self.on_request(req, stream),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let (mut ready, mut incoming) = (Vec::new(), Vec::new());
        for (adapter, at) in &state.adapters {
            match *at <= now {
                true => ready.push(quote(&format!("{adapter}@1"))),
                false => incoming.push(quote(&format!("{MODEL}/{adapter}@1"))),
            }
        }
        let is_loaded = state.has_model && state.model_ready_at.is_none_or(|at| at <= now);
        let models = match is_loaded {
            true => format!(
                "{{\"name\":{},\"version\":1,\"adapters\":[{}]}}",
                quote(MODEL),
                ready.join(",")
            ),
            false => String::new(),
        };
        let busy = state.has_model && !is_loaded;
        let phase = if state.draining { "draining" } else { "ready" };
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":{busy},\"seq\":{},\"queue_depth\":0,\
             \"in_flight\":0,\"kv_used\":0,\"kv_total\":262134,\"handles\":0,\"born\":{},\
             \"state\":\"{phase}\",\"incoming\":[{}]}}",
            state.seq,
            state.born,
            incoming.join(",")
        )
    }

    fn on_order(&self, req: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let order = Order {
            body: Json::parse(&body).unwrap_or(Json::Null),
            instance: req.header("expect-instance").map(str::to_owned),
            at: Instant::now(),
        };
        let filter = self.order_filter.lock().unwrap();
        let fate = filter
            .as_ref()
            .map_or(OrderFate::CarryOut, |filter| filter(&order));
        drop(filter);
        if fate == OrderFate::LeaveUnanswered {
            self.record.note(&format!(
                "{}: order {body} is left unanswered",
                self.spec.id
            ));
            self.unanswered.lock().unwrap().push(order);
            while !http::is_closed(stream) {
                thread::sleep(Duration::from_millis(5));
            }
            return false;
        }
        let status = self.carry_out(&order);
        self.record
            .note(&format!("{}: order {body} -> {status}", self.spec.id));
        http::respond(stream, status, &[], b"{}").is_ok()
    }

    /// Carries out an order, checked at this moment as the pages say. Returns the status.
    pub fn carry_out(&self, order: &Order) -> u16 {
        if order
            .instance
            .as_ref()
            .is_some_and(|id| *id != self.spec.id)
        {
            return 421;
        }
        let mut state = self.state.lock().unwrap();
        if state.server.is_none() {
            return 0;
        }
        let now = Instant::now();
        let body = &order.body;
        let (Some(token), Some(_)) = (
            body.get("fencing_token").number(),
            body.get("holder").text(),
        ) else {
            return 400;
        };
        if token < state.fence {
            return 412;
        }
        let is_busy = state.has_model && state.model_ready_at.is_some_and(|at| at > now);
        let expected = body.get("expected").number();
        if is_busy || expected.is_some_and(|expected| expected != state.seq) {
            return 409;
        }
        let adapter = body.get("adapter").text().map(str::to_owned);
        match (body.get("op").text(), adapter) {
            (Some("load"), None) if state.has_model => 200,
            (Some("load"), None) => {
                state.fence = token;
                state.seq += 1;
                state.has_model = true;
                // A restart keeps the disk: `disk_load_s` of the site.
                state.model_ready_at = Some(now + Duration::from_millis(780));
                202
            }
            (Some("load"), Some(_)) if !state.has_model => 400,
            (Some("load"), Some(adapter)) if state.adapters.contains_key(&adapter) => 200,
            (Some("load"), Some(adapter)) => {
                let slots = self.spec.adapter_slots.unwrap_or(0);
                state.fence = token;
                state.seq += 1;
                let was_held = !state.known_adapters.insert(adapter.clone());
                let load_ms = if was_held { 25 } else { 250 };
                state
                    .adapters
                    .insert(adapter.clone(), now + Duration::from_millis(load_ms));
                if state.adapters.len() > slots {
                    let held: Vec<&String> = state.adapters.keys().collect();
                    state.overfilled = Some(format!("{adapter} beyond {slots}: {held:?}"));
                }
                202
            }
            (Some("unload"), Some(adapter)) => {
                state.fence = token;
                state.seq += 1;
                state.adapters.remove(&adapter);
                200
            }
            _ => 400,
        }
    }

    fn on_request(self: &Arc<Self>, req: &Request, stream: &mut TcpStream) -> bool {
        let id = req.header("request-id").unwrap_or_default().to_owned();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.spec.id) || !self.holds(req) {
            let headers = [
                ("Request-Id", id.as_str()),
                ("Instance-Id", self.spec.id.as_str()),
            ];
            return http::respond(stream, 421, &headers, b"").is_ok();
        }
        self.state.lock().unwrap().runs.push(Run { id: id.clone() });
        self.record.note(&format!(
            "{} ({}) runs {id} {} {}",
            self.spec.id, self.spec.service, req.method, req.path
        ));
        if req.header("model").is_some() {
            return self.stream(req, &id, stream);
        }
        thread::sleep(Duration::from_millis(20));
        let seal = format!("seal.{}", self.spec.id);
        let headers = [
            ("Request-Id", id.as_str()),
            ("Response-Seal", seal.as_str()),
        ];
        http::respond(stream, 200, &headers, self.spec.service.as_bytes()).is_ok()
    }

    /// Returns whether the runner holds what a request names.
    fn holds(&self, req: &Request) -> bool {
        let Some(model) = req.header("model") else {
            return true;
        };
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_loaded = state.has_model && state.model_ready_at.is_none_or(|at| at <= now);
        let is_newest = req
            .header("expect-version")
            .is_none_or(|version| version == "1");
        is_loaded
            && match model.split_once('/') {
                None => model == MODEL,
                Some((model, adapter)) => {
                    let ready = state.adapters.get(adapter).is_some_and(|at| *at <= now);
                    model == MODEL && ready && is_newest
                }
            }
    }

    fn stream(&self, req: &Request, id: &str, stream: &mut TcpStream) -> bool {
        let after = req.header("last-event-id").and_then(|v| v.parse().ok());
        let usage = req
            .header("token-usage")
            .and_then(|usage| usage.split_once(','));
        let output: Option<u32> = usage.and_then(|(_, output)| output.trim().parse().ok());
        let events = output.unwrap_or(4) / TOKENS_PER_EVENT;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nResponse-Seal: seal.{}\r\nWeight-Versions: 1\r\n\r\n",
            self.spec.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after.unwrap_or(0u32) + 1..=events {
            thread::sleep(self.spec.event_gap);
            let text = format!("id: {event}\ndata: {} {event}\n\n", self.spec.service);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if http::is_closed(stream) || stream.write_all(chunk.as_bytes()).is_err() {
                self.record
                    .note(&format!("{}: the caller of {id} is gone", self.spec.id));
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
