//! Control state of an agent, owned by one thread.
//!
//! All input arrives as a [`ControlEvent`]. `Control::handle` applies an event to the
//! state; `Control::plan_and_execute` asks the scheduler of
//! `dogwoodshunt_residency` for decisions and executes its actions. `links`
//! handles the connections of entries, `requests` the requests that entries
//! submit, `upstreams` the commands to upstreams.

mod links;
mod requests;
#[cfg(test)]
mod tests;
mod upstreams;

use crate::control::links::LinkState;
use crate::control::requests::RequestState;
use crate::run::RunResult;
use crate::settings::AgentSettings;
use crate::upstream_worker::UpstreamCommand;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_residency::orders::ProbeResponse;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::telemetry::ViolationMonitor;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::Submit;
use slog::Logger;
use slog::info;
use slog::warn;
use slotmap::SlotMap;
use smol::Timer;
use smol::future::FutureExt;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum interval between two ticks. A tick checks timeouts and sends due probes and
/// heartbeats.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queued events handled before the scheduler plans again.
const MAX_EVENTS_PER_PLAN: usize = 64;

slotmap::new_key_type! {
    /// Key of the connection of an entry.
    pub struct LinkKey;
}

/// Input of the control thread.
pub enum ControlEvent {
    /// An upstream refused an order because its fencing token is outdated.
    OrderFenced,
    /// A frame was received from an entry.
    Frame {
        /// Connection that the frame was received on.
        link: LinkKey,
        /// Received frame.
        frame: Frame,
    },
    /// The connection of an entry has ended.
    EntryDisconnected {
        /// Key of the ended connection.
        link: LinkKey,
    },
    /// An entry has connected.
    EntryConnected {
        /// Opened connection.
        link: Link,
    },
    /// A load order has ended.
    LoadEnded {
        /// Upstream that received the order.
        upstream: UpstreamKey,
        /// Adapter of the order.
        adapter: AdapterRef,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The ownership of the upstreams was confirmed or lost.
    Ownership(Ownership),
    /// An upstream answered a probe.
    Probed {
        /// Probed upstream.
        upstream: UpstreamKey,
        /// State that the upstream reported.
        response: ProbeResponse,
    },
    /// A response has named a rate limit, or none although the request was sent under one.
    RateLimitNamed {
        /// Upstream that responded.
        upstream: UpstreamKey,
        /// Named limit.
        limit: Option<RateLimit>,
    },
    /// A run has ended.
    RunEnded {
        /// Job that ran.
        job: JobKey,
        /// Upstream that ran it.
        upstream: UpstreamKey,
        /// Result of the run.
        result: RunResult,
    },
    /// The process was asked to stop.
    StopRequested,
    /// An unload order has ended.
    UnloadEnded {
        /// Upstream that received the order.
        upstream: UpstreamKey,
        /// Adapter of the order.
        adapter: AdapterRef,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// An upstream did not answer a probe.
    ProbeFailed {
        /// Probed upstream.
        upstream: UpstreamKey,
    },
}

impl From<Ownership> for ControlEvent {
    fn from(ownership: Ownership) -> Self {
        Self::Ownership(ownership)
    }
}

/// Handles through which the control thread reaches the rest of the process.
pub struct ControlContext {
    /// Executor of the traffic threads.
    pub traffic: TrafficExecutor,
    /// HTTP client for calls to upstreams.
    pub client: Arc<Client>,
    /// Sends events back to the control thread.
    pub events_tx: Sender<ControlEvent>,
    /// Triggers a verification of the ownership with the key-value service.
    pub verify_ownership_tx: Sender<()>,
    /// Logs changes of the state.
    pub log: Logger,
}

/// Address and command queue of an upstream.
struct UpstreamHandle {
    address: Box<str>,
    command_tx: Sender<UpstreamCommand>,
    next_probe_at: Instant,
}

/// Control state of an agent.
pub struct Control {
    context: ControlContext,
    replica: Replica,
    scheduler: Scheduler,
    upstream_handles: HashMap<UpstreamKey, UpstreamHandle>,
    links: SlotMap<LinkKey, LinkState>,
    requests: HashMap<RequestId, RequestState>,
    requests_by_job: HashMap<JobKey, RequestId>,
    /// Ids of ended requests and the times at which they ended.
    ended_requests: HashMap<RequestId, Instant>,
    /// Requests that wait for a newer catalogue revision, with their arrival times.
    deferred_submits: Vec<(Instant, LinkKey, Submit)>,
    heartbeat_interval: Duration,
    next_heartbeat_at: Instant,
    freshness_limit: Duration,
    last_tick_at: Instant,
    /// Fencing token of the last confirmed ownership; 0 before the first one.
    epoch: Epoch,
    is_stopping: bool,
    violations: ViolationMonitor,
    has_planned_stop: bool,
    /// Pending loads at the last call of `notify_granters`.
    announced_loads: HashSet<AdapterRef>,
    /// Whether peer states have changed since they were last sent to all entries.
    peer_states_changed: bool,
    next_peer_update_at: Instant,
}

impl Control {
    /// Creates the control state of an agent that has just started.
    pub fn new(
        identity: Identity,
        settings: &AgentSettings,
        context: ControlContext,
        now: Instant,
    ) -> Self {
        let freshness_limit = Duration::from_millis(settings.freshness_limit_ms);
        let mut control = Self {
            context,
            replica: Replica::new(identity, freshness_limit),
            scheduler: Scheduler::new(settings.scheduler_settings()),
            upstream_handles: HashMap::new(),
            links: SlotMap::with_key(),
            requests: HashMap::new(),
            requests_by_job: HashMap::new(),
            ended_requests: HashMap::new(),
            deferred_submits: Vec::new(),
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            next_heartbeat_at: now,
            freshness_limit,
            last_tick_at: now,
            epoch: 0,
            is_stopping: false,
            violations: ViolationMonitor::default(),
            has_planned_stop: false,
            announced_loads: HashSet::new(),
            peer_states_changed: false,
            next_peer_update_at: now,
        };
        for upstream in &settings.upstreams {
            control.add_upstream(now, upstream, settings.order_timeout_ms);
        }
        control
    }

    /// Handles events until the process was asked to stop and no request is left.
    pub async fn run(mut self, events_rx: Receiver<ControlEvent>) {
        loop {
            let tick = async {
                Timer::after(TICK_INTERVAL).await;
                None
            };
            let event = async { events_rx.recv().await.ok() };
            let first = event.or(tick).await;
            let now = Instant::now();
            let queued = std::iter::from_fn(|| events_rx.try_recv().ok());
            for event in first.into_iter().chain(queued.take(MAX_EVENTS_PER_PLAN)) {
                self.handle(now, event);
            }
            self.tick(now);
            self.plan_and_execute(now);
            if self.is_stopping && self.is_empty() {
                info!(self.context.log, "stopped");
                return;
            }
        }
    }

    fn handle(&mut self, now: Instant, event: ControlEvent) {
        match event {
            ControlEvent::OrderFenced => self.suspend_orders(),
            ControlEvent::Frame { link, frame } => self.on_frame(now, link, frame),
            ControlEvent::EntryDisconnected { link } => self.on_entry_disconnected(now, link),
            ControlEvent::EntryConnected { link } => self.on_entry_connected(now, link),
            ControlEvent::LoadEnded {
                upstream,
                adapter,
                outcome,
            } => {
                let actions = self.scheduler.on_load_end(now, upstream, &adapter, outcome);
                self.execute(now, actions);
            }
            ControlEvent::Ownership(Ownership::Owned { epoch, .. }) => {
                self.on_ownership_confirmed(epoch)
            }
            ControlEvent::Ownership(Ownership::Superseded) => self.scheduler.set_owned(false),
            ControlEvent::Probed { upstream, response } => {
                self.scheduler.on_probe(now, upstream, &response);
            }
            ControlEvent::RateLimitNamed { upstream, limit } => self.on_rate_limit(upstream, limit),
            ControlEvent::RunEnded {
                job,
                upstream,
                result,
            } => self.on_run_ended(now, job, upstream, result),
            ControlEvent::StopRequested => self.on_stop_requested(now),
            ControlEvent::UnloadEnded {
                upstream,
                adapter,
                outcome,
            } => {
                let actions = self.scheduler.on_unload_end(upstream, &adapter, outcome);
                self.execute(now, actions);
            }
            ControlEvent::ProbeFailed { upstream } => self.scheduler.on_upstream_down(upstream),
        }
    }

    /// Asks the scheduler for its decisions and executes them.
    fn plan_and_execute(&mut self, now: Instant) {
        let admission_check = requests::CatalogueCheck::new(&self.replica, now);
        let actions = self.scheduler.plan(now, &admission_check);
        self.execute(now, actions);
        self.notify_granters(now);
    }

    fn execute(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CancelRun { job } => self.cancel_run(job),
                Action::Dispatch { job, upstream } => self.start_run(job, upstream),
                Action::LoadBaseModel { .. } => {
                    warn!(self.context.log, "engine does not serve its base model");
                }
                Action::Load { upstream, adapter } => self.send_load_order(upstream, adapter),
                Action::NotRun { job, refusal } => self.on_job_refused(now, job, &refusal),
                Action::Probe { upstream } => self.send_command(upstream, UpstreamCommand::Probe),
                Action::Unload { upstream, adapter } => {
                    let epoch = self.epoch;
                    self.send_command(upstream, UpstreamCommand::Unload { adapter, epoch });
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.violations.log_new_violations(&self.context.log);
        self.suspend_orders_if_paused_or_stale(now);
        self.send_due_probes(now);
        self.admit_deferred(now);
        self.expire_requests(now);
        self.send_peer_states(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + self.heartbeat_interval;
            self.send_all_heartbeats(now);
        }
    }

    /// Suspends orders after a pause of this thread and while the catalogue is stale.
    ///
    /// Another process may have taken the ownership in the meantime. Orders resume
    /// once the key-value service confirms that this process is still the owner.
    fn suspend_orders_if_paused_or_stale(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick_at);
        self.last_tick_at = now;
        if elapsed > self.freshness_limit || !self.replica.is_fresh(now) {
            self.suspend_orders();
        }
    }

    fn on_stop_requested(&mut self, now: Instant) {
        info!(self.context.log, "stopping");
        self.is_stopping = true;
        self.apply_planned_stops(now);
        self.send_all_heartbeats(now);
    }

    /// Marks the agent and its upstreams as leaving according to the planned stops of
    /// the catalogue.
    fn apply_planned_stops(&mut self, now: Instant) {
        let catalogue = self.replica.catalogue();
        let node = &self.replica.identity().node;
        self.has_planned_stop = catalogue.has_planned_stop(node);
        let names: Vec<Box<str>> = self
            .scheduler
            .upstreams()
            .map(|(_, upstream)| upstream.name.clone())
            .collect();
        for name in names {
            let leaving = self.replica.catalogue().has_planned_stop(&name);
            self.scheduler.set_upstream_leaving(&name, leaving);
        }
        let leaving = self.has_planned_stop || self.is_stopping;
        if leaving != self.scheduler.is_leaving() {
            info!(self.context.log, "leaving"; "leaving" => leaving);
            let actions = self.scheduler.set_leaving(leaving);
            self.execute(now, actions);
        }
    }

    fn is_empty(&self) -> bool {
        self.scheduler.is_empty() && self.requests.is_empty()
    }
}
