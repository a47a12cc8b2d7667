//! Orders to the engine one at a time, and reports between them.

use crate::control::Event;
use crate::engine::Engine;
use crate::engine::OrderAnswer;
use crate::engine::OrderCall;
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

/// Time between two reports while nothing is expected of the engine.
const CALM_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reports while a load is on its way: a tenth of a load.
const EXPECTING_INTERVAL: Duration = Duration::from_millis(25);

/// Speaks with the engine.
pub struct EngineWorker<E> {
    /// The engine.
    pub engine: Arc<E>,
    /// Whether something is expected of the engine soon.
    pub expecting: Arc<AtomicBool>,
    /// Where answers go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl<E: Engine> EngineWorker<E> {
    /// Works until the channel of orders closes.
    pub async fn work(self, orders: Receiver<OrderCall>) {
        let mut reachable = None;
        loop {
            self.report(&mut reachable).await;
            let pause = if self.expecting.load(Ordering::Relaxed) {
                EXPECTING_INTERVAL
            } else {
                CALM_INTERVAL
            };
            let due = async {
                Timer::after(pause).await;
                Ok(None)
            };
            let order = async { orders.recv().await.map(Some) };
            match order.or(due).await {
                Ok(Some(call)) => self.order(call).await,
                Ok(None) => {}
                Err(_) => return,
            }
        }
    }

    async fn report(&self, reachable: &mut Option<bool>) {
        let report = self.engine.report().await;
        if *reachable != Some(report.is_ok()) {
            *reachable = Some(report.is_ok());
            match &report {
                Ok(report) => info!(self.log, "engine reached"; "started" => report.started,
                    "orders" => report.orders),
                Err(error) => warn!(self.log, "engine lost"; "error" => %error),
            }
        }
        self.tell(Event::Reported(report.ok())).await;
    }

    async fn order(&self, call: OrderCall) {
        let answer = self.engine.order(&call).await;
        let level_down = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if level_down {
            info!(self.log, "ordered"; "order" => %call.order, "after" => call.after,
                "epoch" => call.epoch, "answer" => ?answer);
        } else {
            warn!(self.log, "order not carried out"; "order" => %call.order,
                "after" => call.after, "epoch" => call.epoch, "answer" => ?answer);
        }
        let order = call.order;
        self.tell(Event::Ordered { order, answer }).await;
    }

    async fn tell(&self, event: Event) {
        // The control state is gone only while the process ends.
        let _ = self.events.send(event).await;
    }
}
