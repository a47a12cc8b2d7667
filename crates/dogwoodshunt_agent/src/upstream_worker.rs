//! Sends orders and probes to one upstream, one at a time.

use crate::control::ControlEvent;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::engine::Engine;
use dogwoodshunt_border::engine::Fencing;
use dogwoodshunt_border::engine::OrderResult;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::HttpError;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_residency::orders::ProbeResponse;
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

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Command to an [`UpstreamWorker`]. Loads and unloads are orders, which an
/// upstream accepts only from the current owner; probes are not.
#[derive(Clone, Debug)]
pub enum UpstreamCommand {
    /// Load an adapter.
    Load {
        /// Adapter to load.
        adapter: AdapterRef,
        /// Location of the weights.
        source: Box<str>,
        /// Fencing token of the order.
        epoch: Epoch,
    },
    /// Read the state of the upstream.
    Probe,
    /// Unload an adapter.
    Unload {
        /// Adapter to unload.
        adapter: AdapterRef,
        /// Fencing token of the order.
        epoch: Epoch,
    },
}

/// Executes the commands of one upstream.
pub struct UpstreamWorker {
    /// Key of the upstream in the scheduler.
    pub key: UpstreamKey,
    /// Name of the upstream.
    pub name: Box<str>,
    /// Address of the upstream.
    pub peer: Box<str>,
    /// Engine or service that the upstream is.
    pub kind: UpstreamKind,
    /// Capacity of the upstream.
    pub limits: Limits,
    /// Timeout of an order.
    pub timeout: Duration,
    /// HTTP client of the calls to the upstream.
    pub client: Arc<Client>,
    /// Sends the results to the control thread.
    pub events: Sender<ControlEvent>,
    /// Logs orders and changes of the reachability of the upstream.
    pub log: Logger,
}

impl UpstreamWorker {
    /// Executes commands until the channel closes.
    pub async fn run(self, commands: Receiver<UpstreamCommand>) {
        let mut last_boot = None;
        let mut fencing_probed_boot = None;
        while let Ok(command) = commands.recv().await {
            let is_order = !matches!(command, UpstreamCommand::Probe);
            match command {
                UpstreamCommand::Probe => {}
                UpstreamCommand::Load {
                    adapter,
                    source,
                    epoch,
                } => self.load(adapter, &source, epoch).await,
                UpstreamCommand::Unload { adapter, epoch } => self.unload(adapter, epoch).await,
            }
            // Probes after every order, so that the scheduler learns its effect at once.
            self.probe(&mut last_boot).await;
            // An engine can reject an old fencing token only after it has received a newer one.
            if is_order && fencing_probed_boot != last_boot {
                fencing_probed_boot = last_boot;
                self.log_fencing_support().await;
            }
        }
    }

    async fn load(&self, adapter: AdapterRef, source: &str, epoch: Epoch) {
        let answer = self
            .engine(self.timeout)
            .load(&adapter, source, epoch)
            .await;
        info!(self.log, "load"; "upstream" => %self.name, "adapter" => %adapter,
            "epoch" => epoch, "answer" => order_answer_label(&answer));
        let outcome = order_outcome(&answer);
        let upstream = self.key;
        self.report_if_fenced(&answer).await;
        self.send_event(ControlEvent::LoadEnded {
            upstream,
            adapter,
            outcome,
        })
        .await;
    }

    async fn unload(&self, adapter: AdapterRef, epoch: Epoch) {
        let answer = self.engine(self.timeout).unload(&adapter, epoch).await;
        info!(self.log, "unload"; "upstream" => %self.name, "adapter" => %adapter,
            "epoch" => epoch, "answer" => order_answer_label(&answer));
        let outcome = order_outcome(&answer);
        let upstream = self.key;
        self.report_if_fenced(&answer).await;
        self.send_event(ControlEvent::UnloadEnded {
            upstream,
            adapter,
            outcome,
        })
        .await;
    }

    async fn report_if_fenced(&self, answer: &Result<OrderResult, HttpError>) {
        if matches!(answer, Ok(OrderResult::Fenced)) {
            self.send_event(ControlEvent::OrderFenced).await;
        }
    }

    async fn probe(&self, last_boot: &mut Option<BootId>) {
        let probe_result = match &self.kind {
            UpstreamKind::Engine { .. } => self.probe_engine().await,
            UpstreamKind::Service(_) => self.probe_service().await,
        };
        let upstream = self.key;
        match probe_result {
            Ok(answer) => {
                if last_boot.replace(answer.boot) != Some(answer.boot) {
                    info!(self.log, "upstream reachable"; "upstream" => %self.name,
                        "boot" => format!("{:016x}", answer.boot));
                }
                self.send_event(ControlEvent::Probed { upstream, answer })
                    .await;
            }
            Err(error) => {
                if last_boot.take().is_some() {
                    warn!(self.log, "upstream unreachable"; "upstream" => %self.name, "error" => %error);
                }
                self.send_event(ControlEvent::ProbeFailed { upstream })
                    .await;
            }
        }
    }

    async fn probe_engine(&self) -> Result<ProbeResponse, HttpError> {
        let loaded = self.engine(PROBE_TIMEOUT).list_adapters().await?;
        Ok(ProbeResponse {
            boot: loaded.boot,
            limits: self.limits,
            has_base_model: true,
            loading: None,
            resident: loaded.adapters,
        })
    }

    async fn probe_service(&self) -> Result<ProbeResponse, HttpError> {
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
        Ok(ProbeResponse {
            boot: 0,
            limits: self.limits,
            has_base_model: true,
            loading: None,
            resident: Vec::new(),
        })
    }

    /// Tests whether the engine checks fencing tokens and logs the result. Called once
    /// per boot of the engine, since a restart may change its version.
    async fn log_fencing_support(&self) {
        let fencing = match self.engine(PROBE_TIMEOUT).probe_fencing().await {
            Ok(Fencing::Checked) => "checked",
            Ok(Fencing::Ignored) => "ignored",
            Err(_) => "unknown",
        };
        info!(self.log, "capability"; "upstream" => %self.name, "fencing" => fencing);
    }

    async fn send_event(&self, event: ControlEvent) {
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

fn order_outcome(answer: &Result<OrderResult, HttpError>) -> OrderOutcome {
    match answer {
        Ok(OrderResult::Done) => OrderOutcome::Done,
        Ok(OrderResult::Failed | OrderResult::Fenced) => OrderOutcome::Failed,
        Err(HttpError::NotSent { .. }) => OrderOutcome::Failed,
        Err(HttpError::Lost { .. }) => OrderOutcome::Unknown,
    }
}

fn order_answer_label(answer: &Result<OrderResult, HttpError>) -> &'static str {
    match answer {
        Ok(OrderResult::Done) => "done",
        Ok(OrderResult::Failed) => "failed",
        Ok(OrderResult::Fenced) => "fenced",
        Err(HttpError::Lost { .. }) => "lost",
        Err(HttpError::NotSent { .. }) => "unreached",
    }
}
