//! The worker that sends orders to the engine one at a time and polls the engine's
//! report between them.

use crate::control::Event;
use crate::engine::EngineClient;
use crate::engine::OrderAnswer;
use crate::engine::OrderRequest;
use async_channel::Receiver;
use async_channel::Sender;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two polls of the report while no load or unload is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two polls of the report while a load or unload is in progress: a
/// tenth of the duration of a load.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Sends orders to the engine and polls the engine's report.
pub struct EngineWorker<E> {
    /// Client of the engine.
    pub engine: Arc<E>,
    /// Whether a load or unload is in progress, during which polls are more frequent.
    pub load_in_progress: Arc<AtomicBool>,
    /// Requests to poll the report before the next poll is due.
    pub poll_rx: Receiver<()>,
    /// Sends reports and answers to the control thread.
    pub events_tx: Sender<Event>,
    /// Logger.
    pub log: Logger,
}

impl<E: EngineClient> EngineWorker<E> {
    /// Runs until the channel of orders is closed.
    pub async fn run(self, orders: Receiver<OrderRequest>) {
        let mut was_reachable = None;
        loop {
            self.poll_report(&mut was_reachable).await;
            let interval = if self.load_in_progress.load(Ordering::Relaxed) {
                LOADING_POLL_INTERVAL
            } else {
                IDLE_POLL_INTERVAL
            };
            let poll_requested = async {
                if self.poll_rx.recv().await.is_err() {
                    smol::future::pending::<()>().await;
                }
                Ok(None)
            };
            let poll_due = async {
                Timer::after(interval).await;
                Ok(None)
            };
            let order = async { orders.recv().await.map(Some) };
            match order.or(poll_requested).or(poll_due).await {
                Ok(Some(order_request)) => self.send_order(order_request).await,
                Ok(None) => {}
                Err(_) => return,
            }
        }
    }

    async fn poll_report(&self, was_reachable: &mut Option<bool>) {
        let report = self.engine.fetch_report().await;
        if *was_reachable != Some(report.is_ok()) {
            *was_reachable = Some(report.is_ok());
            match &report {
                Ok(report) => info!(self.log, "engine reached"; "started" => report.started,
                    "orders" => report.accepted_orders),
                Err(error) => warn!(self.log, "engine lost"; "error" => %error),
            }
        }
        self.send_event(Event::ReportPolled(report.ok())).await;
    }

    async fn send_order(&self, order_request: OrderRequest) {
        let answer = self.engine.send_order(&order_request).await;
        let accepted = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if accepted {
            info!(self.log, "ordered"; "order" => %order_request.order,
                "after" => order_request.accepted_before, "epoch" => order_request.epoch,
                "answer" => ?answer);
        } else {
            warn!(self.log, "order not carried out"; "order" => %order_request.order,
                "after" => order_request.accepted_before, "epoch" => order_request.epoch,
                "answer" => ?answer);
        }
        let order = order_request.order;
        self.send_event(Event::OrderAnswered { order, answer })
            .await;
    }

    async fn send_event(&self, event: Event) {
        // The channel is closed only while the process shuts down.
        let _ = self.events_tx.send(event).await;
    }
}
