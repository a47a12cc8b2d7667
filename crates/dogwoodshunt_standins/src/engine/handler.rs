//! HTTP endpoints of the engine stand-in.

use crate::engine::completion;
use crate::engine::completion::CompletionRequest;
use crate::engine::state::EngineConfig;
use crate::engine::state::EngineError;
use crate::engine::state::EngineStats;
use crate::engine::state::State;
use crate::faults::EngineFaults;
use crate::run_counts::RunCounter;
use crate::serve::read_json;
use bytes::Bytes;
use dogwoodshunt_border::engine::BOOT_HEADER;
use dogwoodshunt_border::engine::FENCING_HEADER;
use dogwoodshunt_border::generated::engine::LoadLoraAdapter;
use dogwoodshunt_border::generated::engine::UnloadLoraAdapter;
use dogwoodshunt_border::generated::openai::Model;
use dogwoodshunt_border::generated::openai::ModelList;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BodyError;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_runtime::nondeterminism::generate_boot_id;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use smol::Timer;
use smol::lock::Semaphore;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Timeout for fetching the weights of an adapter from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of events of a streamed response buffered for the client.
const STREAM_BUFFER_EVENTS: usize = 64;

/// Stand-in of a model engine.
pub struct EngineStandin {
    state: Mutex<State>,
    batch: Arc<Semaphore>,
    run_counter: RunCounter,
    client: Arc<Client>,
    weight_store_address: Option<Box<str>>,
    traffic: TrafficExecutor,
}

/// A request in the batch; dropping the guard frees its place in the batch.
struct RunGuard {
    engine: Arc<EngineStandin>,
    boot_id: u64,
    model: String,
    _batch_permit: smol::lock::SemaphoreGuardArc,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let (boot_id, model) = (self.boot_id, &self.model);
        let now = Instant::now();
        self.engine
            .with_state(|state| state.end_run(now, boot_id, model));
    }
}

impl EngineStandin {
    /// Creates an engine that fetches adapters from the weight store at
    /// `weight_store_address`; without an address, loads complete at once.
    pub fn new(
        config: EngineConfig,
        client: Arc<Client>,
        weight_store_address: Option<&str>,
        traffic: &TrafficExecutor,
    ) -> Arc<Self> {
        let batch = Arc::new(Semaphore::new(config.batch));
        Arc::new(Self {
            state: Mutex::new(State::new(config, generate_boot_id(), Instant::now())),
            batch,
            run_counter: RunCounter::default(),
            client,
            weight_store_address: weight_store_address.map(Into::into),
            traffic: traffic.clone(),
        })
    }

    /// Returns the counters of the engine up to now.
    pub fn stats(&self) -> EngineStats {
        self.with_state(|state| state.stats(Instant::now()))
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn models(&self) -> Response<ResponseBody> {
        let (base, adapter_names) = self.with_state(|state| {
            let base = state.config().base_model.to_string();
            (base, state.loaded_adapters().clone())
        });
        let model = |id: String, parent: Option<String>| Model {
            id,
            object: "model".into(),
            parent,
        };
        let adapters = adapter_names
            .into_iter()
            .map(|id| model(id, Some(base.clone())));
        let data = std::iter::once(model(base.clone(), None)).chain(adapters);
        server::json(
            200,
            &ModelList {
                object: "list".into(),
                data: data.collect(),
            },
        )
    }

    async fn load(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, RequestError> {
        let fencing_token = fencing_token_of(&req);
        let order: LoadLoraAdapter = read_json(req).await?;
        let (boot_id, already_loaded) = self.with_state(|state| {
            state.check_fencing_token(fencing_token)?;
            Ok::<_, EngineError>((state.boot_id(), state.begin_load(&order.lora_name)?))
        })?;
        if !already_loaded {
            let fetched = self.fetch_weights(&order.lora_name).await;
            self.with_state(|state| state.end_load(boot_id, &order.lora_name, fetched));
            if !fetched {
                return Err(EngineError::LoadFailed.into());
            }
        }
        Ok(server::text(200, format!("loaded {}", order.lora_name)))
    }

    async fn fetch_weights(&self, adapter: &str) -> bool {
        let Some(address) = &self.weight_store_address else {
            return true;
        };
        let req = Request::get(format!("/weights/{adapter}"))
            .header(hyper::header::HOST, address.as_ref())
            .body(Full::default());
        let Ok(req) = req else {
            return false;
        };
        let response =
            self.client
                .send_with_timeout(WEIGHTS_TIMEOUT, "fetch weights", address, req);
        response
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    async fn unload(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, RequestError> {
        let fencing_token = fencing_token_of(&req);
        let order: UnloadLoraAdapter = read_json(req).await?;
        self.with_state(|state| {
            state.check_fencing_token(fencing_token)?;
            state.unload(&order.lora_name)
        })?;
        Ok(server::text(200, format!("unloaded {}", order.lora_name)))
    }

    async fn complete(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let is_chat = req.uri().path().contains("chat");
        let request: CompletionRequest = read_json(req).await?;
        if !self.with_state(|state| state.can_serve(&request.model)) {
            return Err(EngineError::NotLoaded.into());
        }
        let batch_permit = self.batch.acquire_arc().await;
        // The adapter may have been unloaded while the request waited for a place
        // in the batch.
        let started = self.with_state(|state| {
            if !state.can_serve(&request.model) {
                return None;
            }
            state.begin_run(Instant::now(), &request.model);
            Some((state.boot_id(), state.reported_model(&request.model)))
        });
        let (boot_id, reported_model) = started.ok_or(EngineError::NotLoaded)?;
        self.run_counter.record(&request.model, request.prompt());
        let run_guard = RunGuard {
            engine: self.clone(),
            boot_id,
            model: request.model.clone(),
            _batch_permit: batch_permit,
        };
        if request.stream {
            return Ok(self.stream(run_guard, request, is_chat, reported_model));
        }
        let token_time = self.with_state(|state| state.config().token_time);
        Timer::after(token_time * request.token_count()).await;
        if self.with_state(|state| state.boot_id()) != boot_id {
            return Err(RequestError::EngineRestarted);
        }
        let text = completion::completion_text(request.prompt(), request.token_count());
        Ok(server::json(
            200,
            &completion::response_body(is_chat, &reported_model, &text),
        ))
    }

    fn stream(
        self: &Arc<Self>,
        run_guard: RunGuard,
        request: CompletionRequest,
        is_chat: bool,
        reported_model: String,
    ) -> Response<ResponseBody> {
        let (tx, rx) = async_channel::bounded(STREAM_BUFFER_EVENTS);
        let engine = self.clone();
        let token_time = self.with_state(|state| state.config().token_time);
        let truncate_after = self.with_state(|state| state.end_streams_after());
        let generate = async move {
            let start = Instant::now();
            for index in 0..request.token_count() {
                Timer::at(start + token_time * (index + 1)).await;
                if engine.with_state(|state| state.boot_id()) != run_guard.boot_id {
                    let reason = "engine restarted".into();
                    let _ = tx.send(Err(BodyError { reason })).await;
                    return;
                }
                if truncate_after.is_some_and(|tokens| index >= tokens) {
                    return;
                }
                let text = completion::token_text(request.prompt(), index);
                let event = completion::stream_event(is_chat, &reported_model, &text);
                if tx.send(Ok(Bytes::from(event))).await.is_err() {
                    return;
                }
            }
            let _ = tx
                .send(Ok(Bytes::from_static(completion::DONE_EVENT.as_bytes())))
                .await;
            drop(run_guard);
        };
        self.traffic.spawn(generate).detach();
        let mut response = Response::new(body::channel(rx));
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, content_type);
        response
    }

    async fn set_faults(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let faults: EngineFaults = read_json(req).await?;
        self.with_state(|state| state.set_faults(Instant::now(), &faults, generate_boot_id()));
        Ok(server::text(200, "ok"))
    }
}

/// HTTP handler of an engine, which the handler shares with its running requests.
pub struct EngineHandler(pub Arc<EngineStandin>);

impl Handler for EngineHandler {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let engine = &self.0;
        let result = match req.uri().path() {
            "/v1/models" => Ok(engine.models()),
            "/v1/load_lora_adapter" => engine.load(req).await,
            "/v1/unload_lora_adapter" => engine.unload(req).await,
            "/v1/completions" | "/v1/chat/completions" => engine.complete(req).await,
            "/standin/faults" => engine.set_faults(req).await,
            "/standin/ran" => Ok(server::json(200, &engine.run_counter.snapshot())),
            "/standin/stats" => Ok(server::json(200, &engine.stats())),
            path => Ok(server::text(404, format!("no such path: {path}"))),
        };
        let mut response = result.unwrap_or_else(RequestError::into_response);
        let boot_id = engine.with_state(|state| state.boot_id());
        response.headers_mut().insert(BOOT_HEADER, boot_id.into());
        response
    }
}

/// Reason for which a request to the engine fails.
enum RequestError {
    /// The engine restarted while the request ran.
    EngineRestarted,
    /// The request body is invalid; holds the response to send.
    InvalidBody(Response<ResponseBody>),
    /// The state of the engine does not allow the request.
    Rejected(EngineError),
}

impl From<Response<ResponseBody>> for RequestError {
    fn from(response: Response<ResponseBody>) -> Self {
        Self::InvalidBody(response)
    }
}

impl From<EngineError> for RequestError {
    fn from(error: EngineError) -> Self {
        Self::Rejected(error)
    }
}

impl RequestError {
    fn into_response(self) -> Response<ResponseBody> {
        match self {
            Self::EngineRestarted => {
                let (tx, rx) = async_channel::bounded(1);
                let reason = "engine restarted".into();
                let _ = tx.try_send(Err(BodyError { reason }));
                Response::new(body::channel(rx))
            }
            Self::InvalidBody(response) => response,
            Self::Rejected(EngineError::LoadFailed) => server::text(500, "adapter load failed"),
            Self::Rejected(EngineError::StaleToken) => server::text(412, "stale fencing token"),
            Self::Rejected(EngineError::NoFreeSlot) => server::text(400, "no free adapter slot"),
            Self::Rejected(EngineError::NotLoaded) => server::text(404, "model is not loaded"),
        }
    }
}

fn fencing_token_of(req: &Request<Incoming>) -> u64 {
    let value = req.headers().get(FENCING_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
