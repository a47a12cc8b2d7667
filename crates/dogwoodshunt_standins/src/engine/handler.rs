//! HTTP side of the engine.

use crate::engine::answer;
use crate::engine::answer::Query;
use crate::engine::state::Refusal;
use crate::engine::state::Shape;
use crate::engine::state::State;
use crate::engine::state::Stats;
use crate::faults::EngineFaults;
use crate::ledger::Ledger;
use crate::serve::read_json;
use bytes::Bytes;
use dogwoodshunt_border::engine::BOOT_HEADER;
use dogwoodshunt_border::engine::FENCING_HEADER;
use dogwoodshunt_border::generated::engine::LoadLoraAdapter;
use dogwoodshunt_border::generated::engine::UnloadLoraAdapter;
use dogwoodshunt_border::generated::openai::Model;
use dogwoodshunt_border::generated::openai::ModelList;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BrokenOff;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_runtime::boot::draw_boot_id;
use dogwoodshunt_runtime::traffic::Traffic;
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

/// How long an engine waits for its weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);

/// Events of a streamed answer that may wait for the reader.
const STREAM_QUEUE: usize = 64;

/// Model engine.
pub struct EngineStandin {
    state: Mutex<State>,
    batch: Arc<Semaphore>,
    ledger: Ledger,
    client: Arc<Client>,
    weights: Option<Box<str>>,
    traffic: Traffic,
}

/// A run in the batch; its slot is free once this is dropped.
struct Run {
    engine: Arc<EngineStandin>,
    boot: u64,
    model: String,
    _room: smol::lock::SemaphoreGuardArc,
}

impl Drop for Run {
    fn drop(&mut self) {
        let (boot, model) = (self.boot, &self.model);
        let now = Instant::now();
        self.engine.with_state(|state| state.end(now, boot, model));
    }
}

impl EngineStandin {
    /// Creates an engine that loads from the weight store at `weights`.
    pub fn new(
        shape: Shape,
        client: Arc<Client>,
        weights: Option<&str>,
        traffic: &Traffic,
    ) -> Arc<Self> {
        let batch = Arc::new(Semaphore::new(shape.batch));
        Arc::new(Self {
            state: Mutex::new(State::new(shape, draw_boot_id(), Instant::now())),
            batch,
            ledger: Ledger::default(),
            client,
            weights: weights.map(Into::into),
            traffic: traffic.clone(),
        })
    }

    /// Returns what the engine has done so far.
    pub fn stats(&self) -> Stats {
        self.with_state(|state| state.stats(Instant::now()))
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn models(&self) -> Response<AnswerBody> {
        let (base, loaded) = self.with_state(|state| {
            let base = state.shape().base_model.to_string();
            (base, state.loaded().clone())
        });
        let model = |id: String, parent: Option<String>| Model {
            id,
            object: "model".into(),
            parent,
        };
        let adapters = loaded.into_iter().map(|id| model(id, Some(base.clone())));
        let data = std::iter::once(model(base.clone(), None)).chain(adapters);
        server::json(
            200,
            &ModelList {
                object: "list".into(),
                data: data.collect(),
            },
        )
    }

    async fn load(&self, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refused> {
        let epoch = epoch_of(&req);
        let order: LoadLoraAdapter = read_json(req).await?;
        let (boot, loaded) = self.with_state(|state| {
            state.check_epoch(epoch)?;
            Ok::<_, Refusal>((state.boot(), state.begin_load(&order.lora_name)?))
        })?;
        if !loaded {
            let fetched = self.fetch(&order.lora_name).await;
            self.with_state(|state| state.end_load(boot, &order.lora_name, fetched));
            if !fetched {
                return Err(Refusal::Failed.into());
            }
        }
        Ok(server::text(200, format!("loaded {}", order.lora_name)))
    }

    async fn fetch(&self, adapter: &str) -> bool {
        let Some(weights) = &self.weights else {
            return true;
        };
        let req = Request::get(format!("/weights/{adapter}"))
            .header(hyper::header::HOST, weights.as_ref())
            .body(Full::default());
        let Ok(req) = req else {
            return false;
        };
        let sent = self
            .client
            .send_within(WEIGHTS_TIMEOUT, "fetch weights", weights, req);
        sent.await
            .is_ok_and(|response| response.status().is_success())
    }

    async fn unload(&self, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refused> {
        let epoch = epoch_of(&req);
        let order: UnloadLoraAdapter = read_json(req).await?;
        self.with_state(|state| {
            state.check_epoch(epoch)?;
            state.unload(&order.lora_name)
        })?;
        Ok(server::text(200, format!("unloaded {}", order.lora_name)))
    }

    async fn complete(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refused> {
        let is_chat = req.uri().path().contains("chat");
        let query: Query = read_json(req).await?;
        if !self.with_state(|state| state.holds(&query.model)) {
            return Err(Refusal::Missing.into());
        }
        let room = self.batch.acquire_arc().await;
        // The adapter may have gone while the request waited for the batch.
        let started = self.with_state(|state| {
            if !state.holds(&query.model) {
                return None;
            }
            state.start(Instant::now(), &query.model);
            Some((state.boot(), state.answers_as(&query.model)))
        });
        let (boot, named) = started.ok_or(Refusal::Missing)?;
        self.ledger.record(&query.model, query.prompt());
        let run = Run {
            engine: self.clone(),
            boot,
            model: query.model.clone(),
            _room: room,
        };
        if query.stream {
            return Ok(self.stream(run, query, is_chat, named));
        }
        let token_time = self.with_state(|state| state.shape().token_time);
        Timer::after(token_time * query.tokens()).await;
        if self.with_state(|state| state.boot()) != boot {
            return Err(Refused::BrokenOff);
        }
        let text = answer::text(query.prompt(), query.tokens());
        Ok(server::json(200, &answer::whole(is_chat, &named, &text)))
    }

    fn stream(
        self: &Arc<Self>,
        run: Run,
        query: Query,
        is_chat: bool,
        named: String,
    ) -> Response<AnswerBody> {
        let (tx, rx) = async_channel::bounded(STREAM_QUEUE);
        let engine = self.clone();
        let token_time = self.with_state(|state| state.shape().token_time);
        let cut_after = self.with_state(|state| state.end_streams_after());
        let generate = async move {
            let start = Instant::now();
            for index in 0..query.tokens() {
                Timer::at(start + token_time * (index + 1)).await;
                if engine.with_state(|state| state.boot()) != run.boot {
                    let reason = "engine restarted".into();
                    let _ = tx.send(Err(BrokenOff { reason })).await;
                    return;
                }
                if cut_after.is_some_and(|tokens| index >= tokens) {
                    return;
                }
                let text = answer::token(query.prompt(), index);
                let event = answer::event(is_chat, &named, &text);
                if tx.send(Ok(Bytes::from(event))).await.is_err() {
                    return;
                }
            }
            let _ = tx
                .send(Ok(Bytes::from_static(answer::DONE.as_bytes())))
                .await;
            drop(run);
        };
        self.traffic.spawn(generate).detach();
        let mut response = Response::new(body::channel(rx));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, kind);
        response
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refused> {
        let faults: EngineFaults = read_json(req).await?;
        self.with_state(|state| state.set_faults(Instant::now(), &faults, draw_boot_id()));
        Ok(server::text(200, "ok"))
    }
}

/// Serves an engine; the handler needs to share it with its runs.
pub struct Serving(pub Arc<EngineStandin>);

impl Handler for Serving {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let engine = &self.0;
        let answer = match req.uri().path() {
            "/v1/models" => Ok(engine.models()),
            "/v1/load_lora_adapter" => engine.load(req).await,
            "/v1/unload_lora_adapter" => engine.unload(req).await,
            "/v1/completions" | "/v1/chat/completions" => engine.complete(req).await,
            "/standin/faults" => engine.set_faults(req).await,
            "/standin/ran" => Ok(server::json(200, &engine.ledger.runs())),
            "/standin/stats" => Ok(server::json(200, &engine.stats())),
            path => Ok(server::text(404, format!("no such path: {path}"))),
        };
        let mut response = answer.unwrap_or_else(Refused::into_answer);
        let boot = engine.with_state(|state| state.boot());
        response.headers_mut().insert(BOOT_HEADER, boot.into());
        response
    }
}

/// Why a request gets no answer.
enum Refused {
    /// The engine restarted while the request ran.
    BrokenOff,
    /// The body is malformed.
    Malformed(Response<AnswerBody>),
    /// The state does not allow it.
    State(Refusal),
}

impl From<Response<AnswerBody>> for Refused {
    fn from(answer: Response<AnswerBody>) -> Self {
        Self::Malformed(answer)
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self::State(refusal)
    }
}

impl Refused {
    fn into_answer(self) -> Response<AnswerBody> {
        match self {
            Self::BrokenOff => {
                let (tx, rx) = async_channel::bounded(1);
                let reason = "engine restarted".into();
                let _ = tx.try_send(Err(BrokenOff { reason }));
                Response::new(body::channel(rx))
            }
            Self::Malformed(answer) => answer,
            Self::State(Refusal::Failed) => server::text(500, "load failed"),
            Self::State(Refusal::Fenced) => server::text(412, "old fencing number"),
            Self::State(Refusal::Full) => server::text(400, "no free slot"),
            Self::State(Refusal::Missing) => server::text(404, "no such model"),
        }
    }
}

fn epoch_of(req: &Request<Incoming>) -> u64 {
    let value = req.headers().get(FENCING_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
