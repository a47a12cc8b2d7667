//! Orders and probes of one upstream, one at a time.

use crate::control::Event;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::engine::Engine;
use dogwoodshunt_border::engine::Fencing;
use dogwoodshunt_border::engine::OrderResult;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_residency::orders::ProbeAnswer;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use http_body_util::Full;
use hyper::Request;
use slog::Logger;
use slog::info;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// What to ask of an upstream.
#[derive(Clone, Debug)]
pub enum Order {
    /// Load an adapter.
    Load {
        /// Adapter to load.
        adapter: AdapterRef,
        /// Where its weights are.
        source: Box<str>,
        /// Fencing number.
        epoch: Epoch,
    },
    /// Say what it holds.
    Probe,
    /// Unload an adapter.
    Unload {
        /// Adapter to unload.
        adapter: AdapterRef,
        /// Fencing number.
        epoch: Epoch,
    },
}

/// Carries out the orders of one upstream.
pub struct OrderWorker {
    /// The upstream.
    pub key: UpstreamKey,
    /// Its name.
    pub name: Box<str>,
    /// Its address.
    pub peer: Box<str>,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Its room.
    pub limits: Limits,
    /// How long an answer to an order may take.
    pub timeout: Duration,
    /// Client that carries the calls.
    pub client: Arc<Client>,
    /// Where the results go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl OrderWorker {
    /// Carries out orders until the channel closes.
    pub async fn work(self, orders: Receiver<Order>) {
        let mut known_boot = None;
        let mut probed_fencing = None;
        while let Ok(order) = orders.recv().await {
            let ordered = !matches!(order, Order::Probe);
            match order {
                Order::Probe => {}
                Order::Load {
                    adapter,
                    source,
                    epoch,
                } => self.load(adapter, &source, epoch).await,
                Order::Unload { adapter, epoch } => self.unload(adapter, epoch).await,
            }
            // Every order is followed by a look at what the upstream holds now.
            self.probe(&mut known_boot).await;
            // An engine can refuse an old number only once it has seen a newer one.
            if ordered && probed_fencing != known_boot {
                probed_fencing = known_boot;
                self.note_fencing().await;
            }
        }
    }

    async fn load(&self, adapter: AdapterRef, source: &str, epoch: Epoch) {
        let answer = self
            .engine(self.timeout)
            .load(&adapter, source, epoch)
            .await;
        info!(self.log, "load"; "upstream" => %self.name, "adapter" => %adapter,
            "epoch" => epoch, "answer" => describe(&answer));
        let end = order_end(&answer);
        let upstream = self.key;
        self.report_fencing(&answer).await;
        self.tell(Event::LoadEnded {
            upstream,
            adapter,
            end,
        })
        .await;
    }

    async fn unload(&self, adapter: AdapterRef, epoch: Epoch) {
        let answer = self.engine(self.timeout).unload(&adapter, epoch).await;
        info!(self.log, "unload"; "upstream" => %self.name, "adapter" => %adapter,
            "epoch" => epoch, "answer" => describe(&answer));
        let end = order_end(&answer);
        let upstream = self.key;
        self.report_fencing(&answer).await;
        self.tell(Event::UnloadEnded {
            upstream,
            adapter,
            end,
        })
        .await;
    }

    async fn report_fencing(&self, answer: &Result<OrderResult, HttpError>) {
        if matches!(answer, Ok(OrderResult::Fenced)) {
            self.tell(Event::Fenced).await;
        }
    }

    async fn probe(&self, known_boot: &mut Option<BootId>) {
        let holdings = match &self.kind {
            UpstreamKind::Engine { .. } => self.probe_engine().await,
            UpstreamKind::Service(_) => self.probe_service().await,
        };
        let upstream = self.key;
        match holdings {
            Ok(answer) => {
                if known_boot.replace(answer.boot) != Some(answer.boot) {
                    info!(self.log, "upstream up"; "upstream" => %self.name,
                        "boot" => format!("{:016x}", answer.boot));
                }
                self.tell(Event::Probed { upstream, answer }).await;
            }
            Err(error) => {
                if known_boot.take().is_some() {
                    warn!(self.log, "upstream down"; "upstream" => %self.name, "error" => %error);
                }
                self.tell(Event::UpstreamDown { upstream }).await;
            }
        }
    }

    async fn probe_engine(&self) -> Result<ProbeAnswer, HttpError> {
        let loaded = self.engine(PROBE_TIMEOUT).list_adapters().await?;
        Ok(ProbeAnswer {
            boot: loaded.boot,
            limits: self.limits,
            has_base_model: true,
            incoming: None,
            resident: loaded.adapters,
        })
    }

    async fn probe_service(&self) -> Result<ProbeAnswer, HttpError> {
        const STEP: &str = "probe service";
        let req = Request::get("/health")
            .header(hyper::header::HOST, self.peer.as_ref())
            .body(Full::default());
        let req = req.map_err(|error| HttpError::Lost {
            step: STEP,
            peer: self.peer.clone(),
            message: error.to_string().into(),
        })?;
        let sent = self
            .client
            .send_with_timeout(PROBE_TIMEOUT, STEP, &self.peer, req);
        sent.await?;
        Ok(ProbeAnswer {
            boot: 0,
            limits: self.limits,
            has_base_model: true,
            incoming: None,
            resident: Vec::new(),
        })
    }

    /// Finds out anew, in each boot of an engine, whether it checks fencing numbers.
    async fn note_fencing(&self) {
        let fencing = match self.engine(PROBE_TIMEOUT).probe_fencing().await {
            Ok(Fencing::Checked) => "checked",
            Ok(Fencing::Ignored) => "ignored",
            Err(_) => "unknown",
        };
        info!(self.log, "capability"; "upstream" => %self.name, "fencing" => fencing);
    }

    async fn tell(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    fn engine(&self, timeout: Duration) -> Engine<'_> {
        Engine {
            client: &self.client,
            peer: &self.peer,
            timeout,
        }
    }
}

fn order_end(answer: &Result<OrderResult, HttpError>) -> OrderOutcome {
    match answer {
        Ok(OrderResult::Done) => OrderOutcome::Done,
        Ok(OrderResult::Failed | OrderResult::Fenced) => OrderOutcome::Failed,
        Err(HttpError::NotSent { .. }) => OrderOutcome::Failed,
        Err(HttpError::Lost { .. }) => OrderOutcome::Unknown,
    }
}

fn describe(answer: &Result<OrderResult, HttpError>) -> &'static str {
    match answer {
        Ok(OrderResult::Done) => "done",
        Ok(OrderResult::Failed) => "failed",
        Ok(OrderResult::Fenced) => "fenced",
        Err(HttpError::Lost { .. }) => "lost",
        Err(HttpError::NotSent { .. }) => "unreached",
    }
}
