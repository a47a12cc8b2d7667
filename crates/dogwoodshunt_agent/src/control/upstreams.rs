//! Orders to upstreams, and the right to give them.

use crate::control::Control;
use crate::control::UpstreamPort;
use crate::orders::Order;
use crate::orders::OrderWorker;
use crate::settings::UpstreamSettings;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use slog::info;
use slog::o;
use std::time::Duration;
use std::time::Instant;

/// Time between probes of an upstream that nothing is asked of.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Orders that may wait for an upstream.
const ORDER_QUEUE: usize = 64;

impl Control {
    pub(super) fn add_upstream(
        &mut self,
        now: Instant,
        settings: &UpstreamSettings,
        order_timeout_ms: u64,
    ) {
        let kind = settings.kind();
        let key = self
            .scheduler
            .add_upstream(settings.name.clone(), kind.clone());
        let (orders, to_do) = async_channel::bounded(ORDER_QUEUE);
        let worker = OrderWorker {
            key,
            name: settings.name.clone(),
            peer: settings.address.to_string().into(),
            kind,
            limits: settings.limits(),
            timeout: Duration::from_millis(order_timeout_ms),
            client: self.around.client.clone(),
            events: self.around.events.clone(),
            log: self.around.log.new(o!()),
        };
        self.around.traffic.spawn(worker.work(to_do)).detach();
        let port = UpstreamPort {
            peer: settings.address.to_string().into(),
            orders,
            probe_due: now,
        };
        self.ports.insert(key, port);
    }

    pub(super) fn probe_due(&mut self, now: Instant) {
        for port in self.ports.values_mut() {
            if port.probe_due <= now && port.orders.is_empty() {
                port.probe_due = now + PROBE_INTERVAL;
                let _ = port.orders.try_send(Order::Probe);
            }
        }
    }

    pub(super) fn order(&self, upstream: UpstreamKey, order: Order) {
        let Some(port) = self.ports.get(&upstream) else {
            return;
        };
        // A probe follows every order anyway; it must not crowd orders out.
        let superfluous = matches!(order, Order::Probe) && !port.orders.is_empty();
        if !superfluous {
            let _ = port.orders.try_send(order);
        }
    }

    pub(super) fn order_load(&mut self, upstream: UpstreamKey, adapter: AdapterRef) {
        let catalogue = self.replica.catalogue();
        let spec = catalogue.resolve(&adapter.name, Some(&adapter.version));
        let Ok(source) = spec.map(|spec| spec.source.clone()) else {
            // Withdrawn since it was wanted: nothing was sent, so it has failed.
            let now = self.last_tick;
            let end = OrderOutcome::Failed;
            let actions = self.scheduler.on_load_end(now, upstream, &adapter, end);
            self.carry_out(now, actions);
            return;
        };
        let epoch = self.epoch;
        let order = Order::Load {
            adapter,
            source,
            epoch,
        };
        self.order(upstream, order);
    }

    pub(super) fn on_owned(&mut self, epoch: Epoch) {
        if self.epoch != epoch {
            info!(self.around.log, "owner"; "epoch" => epoch);
        }
        self.epoch = epoch;
        self.scheduler.set_owned(true);
    }

    /// Stops ordering until the key-value service confirms the ownership.
    pub(super) fn on_doubt(&mut self) {
        self.scheduler.set_owned(false);
        let _ = self.around.doubts.try_send(());
    }
}
