//! Commands to upstreams, and the ownership that orders require.

use crate::control::Control;
use crate::control::UpstreamHandle;
use crate::settings::UpstreamSettings;
use crate::upstream_worker::UpstreamCommand;
use crate::upstream_worker::UpstreamWorker;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::RateLimit;
use slog::info;
use slog::o;
use std::time::Duration;
use std::time::Instant;

/// Interval between probes of an upstream that receives no orders.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the command queue of an upstream, in commands.
const COMMAND_QUEUE_CAPACITY: usize = 64;

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
        let (command_tx, command_rx) = async_channel::bounded(COMMAND_QUEUE_CAPACITY);
        let worker = UpstreamWorker {
            key,
            name: settings.name.clone(),
            address: settings.address.to_string().into(),
            kind,
            limits: settings.limits(),
            order_timeout: Duration::from_millis(order_timeout_ms),
            client: self.context.client.clone(),
            events_tx: self.context.events_tx.clone(),
            log: self.context.log.new(o!()),
        };
        self.context.traffic.spawn(worker.run(command_rx)).detach();
        let handle = UpstreamHandle {
            address: settings.address.to_string().into(),
            command_tx,
            next_probe_at: now,
        };
        self.upstream_handles.insert(key, handle);
    }

    pub(super) fn send_due_probes(&mut self, now: Instant) {
        for handle in self.upstream_handles.values_mut() {
            if handle.next_probe_at <= now && handle.command_tx.is_empty() {
                handle.next_probe_at = now + PROBE_INTERVAL;
                let _ = handle.command_tx.try_send(UpstreamCommand::Probe);
            }
        }
    }

    pub(super) fn send_command(&self, upstream: UpstreamKey, command: UpstreamCommand) {
        let Some(handle) = self.upstream_handles.get(&upstream) else {
            return;
        };
        // The worker probes after every order anyway; another probe would only take a
        // place in the queue from an order.
        let is_redundant =
            matches!(command, UpstreamCommand::Probe) && !handle.command_tx.is_empty();
        if !is_redundant {
            let _ = handle.command_tx.try_send(command);
        }
    }

    pub(super) fn send_load_order(&mut self, upstream: UpstreamKey, adapter: AdapterRef) {
        let catalogue = self.replica.catalogue();
        let spec = catalogue.resolve(&adapter.name, Some(&adapter.version));
        let Ok(source) = spec.map(|spec| spec.source.clone()) else {
            // The version was withdrawn after the scheduler planned the load. No order was
            // sent, so the load has failed.
            let now = self.last_tick_at;
            let outcome = OrderOutcome::Failed;
            let actions = self.scheduler.on_load_end(now, upstream, &adapter, outcome);
            self.execute(now, actions);
            return;
        };
        let epoch = self.epoch;
        let order = UpstreamCommand::Load {
            adapter,
            source,
            epoch,
        };
        self.send_command(upstream, order);
    }

    pub(super) fn on_rate_limit(&mut self, upstream: UpstreamKey, limit: Option<RateLimit>) {
        let Some(known) = self.scheduler.upstream(upstream) else {
            return;
        };
        if known.rate_limit != limit {
            let text = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            info!(self.context.log, "upstream limits requests"; "upstream" => %known.name,
                "limit" => text);
            self.scheduler.set_rate_limit(upstream, limit);
        }
    }

    pub(super) fn on_ownership_confirmed(&mut self, epoch: Epoch) {
        if self.epoch != epoch {
            info!(self.context.log, "owner"; "epoch" => epoch);
        }
        self.epoch = epoch;
        self.scheduler.set_owned(true);
    }

    /// Suspends orders until the key-value service confirms the ownership.
    pub(super) fn suspend_orders(&mut self) {
        self.scheduler.set_owned(false);
        let _ = self.context.verify_ownership_tx.try_send(());
    }
}
