//! Control state of the agent, which one thread owns.
//!
//! All input arrives as an [`Event`]. Module `links` handles the connections of
//! entries, `runs` the runs that entries request, `engine` the reports of the
//! engine and the orders to the engine, `rate_limit` the limit that the engine names,
//! `crashes` the records of its crashes, `lost_requests` passes on which responses entries
//! have lost, `quotas` keeps the ledger of workspaces, and `streams` remembers which software versions began streams.

mod crashes;
mod engine;
mod late_loads;
mod links;
mod lost_requests;
mod quotas;
mod rate_limit;
mod runs;
mod streams;

use crate::control::crashes::CrashLog;
use crate::control::engine::EngineState;
use crate::control::links::LinkState;
use crate::control::lost_requests::RequestLog;
use crate::control::quotas::QuotaState;
use crate::control::runs::RunState;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderRequest;
use crate::metrics::Metrics;
use crate::settings::EngineAgentSettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::Target;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::telemetry::ViolationMonitor;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_streams::StreamMemory;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use slog::Logger;
use slog::info;
use slotmap::SlotMap;
use smol::Timer;
use smol::future::FutureExt;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

/// Maximum time between two checks of deadlines and timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of events taken from the channel without waiting before the
/// scheduler decides again.
const MAX_EVENTS_PER_DECISION: usize = 64;

/// Time between two log lines on the load of the engine.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the heartbeat that announces to entries that this agent is leaving
/// and the exit of the agent, so that the heartbeat is delivered.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(150);

slotmap::new_key_type! {
    /// Identifies the connection of an entry.
    pub struct LinkKey;
}

/// Input of the control state.
pub enum Event {
    /// A frame arrived from an entry.
    Frame {
        /// Connection that the frame arrived on.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// The connection of an entry has closed.
    EntryDisconnected(LinkKey),
    /// An entry has connected.
    EntryConnected(Link),
    /// The engine answered an order, or no answer arrived.
    OrderAnswered {
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
    /// This agent has gained, confirmed or lost the ownership of its engine.
    Ownership(Ownership),
    /// The worker polled the report of the engine; `None` if the engine did not
    /// answer.
    ReportPolled(Option<EngineReport>),
    /// The platform has asked the process to stop.
    Stop,
}

impl From<Ownership> for Event {
    fn from(ownership: Ownership) -> Self {
        Self::Ownership(ownership)
    }
}

/// Channels and shared state between the control thread and the rest of the
/// process.
pub struct ControlContext {
    /// Executor of the threads that serve connections.
    pub traffic: TrafficExecutor,
    /// Events to the control thread.
    pub events_tx: Sender<Event>,
    /// Orders to the engine worker.
    pub orders_tx: Sender<OrderRequest>,
    /// Requests to the engine worker to poll the report at once.
    pub poll_tx: Sender<()>,
    /// Requests to the ownership worker to verify the ownership of the engine.
    pub verify_ownership_tx: Sender<()>,
    /// Whether a load or unload is in progress; read by the engine worker.
    pub load_in_progress: Arc<AtomicBool>,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
}

/// Admits every target, since entries request only runs that are allowed.
struct AdmitAllTargets;

impl AdmissionCheck for AdmitAllTargets {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Control state of the agent.
pub struct Control {
    context: ControlContext,
    identity: Identity,
    scheduler: Scheduler,
    engine: EngineState,
    crash_log: CrashLog,
    request_log: RequestLog,
    stream_memory: StreamMemory,
    quotas: QuotaState,
    links: SlotMap<LinkKey, LinkState>,
    runs: HashMap<RequestId, RunState>,
    request_by_job: HashMap<JobKey, RequestId>,
    heartbeat_interval: Duration,
    stop_at: Option<Instant>,
    load_log_due: Instant,
    violation_monitor: ViolationMonitor,
}

impl Control {
    /// Creates the control state of an agent that has just started.
    pub fn new(
        settings: &EngineAgentSettings,
        identity: &Identity,
        context: ControlContext,
        now: Instant,
    ) -> Self {
        Self {
            context,
            identity: identity.clone(),
            scheduler: Scheduler::new(settings.scheduler_settings()),
            engine: EngineState::new(now),
            crash_log: CrashLog::default(),
            request_log: RequestLog::default(),
            stream_memory: StreamMemory::default(),
            quotas: QuotaState::new(now),
            links: SlotMap::with_key(),
            runs: HashMap::new(),
            request_by_job: HashMap::new(),
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            stop_at: None,
            load_log_due: now,
            violation_monitor: ViolationMonitor::default(),
        }
    }

    /// Handles events until the process is asked to stop, and for the shutdown
    /// delay of 150 ms after that.
    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let tick = async {
                Timer::after(TICK_INTERVAL).await;
                None
            };
            let event = async { events.recv().await.ok() };
            let first = event.or(tick).await;
            let now = Instant::now();
            let pending = std::iter::from_fn(|| events.try_recv().ok());
            for event in first
                .into_iter()
                .chain(pending.take(MAX_EVENTS_PER_DECISION))
            {
                self.handle_event(now, event);
            }
            self.decide(now);
            self.tick(now);
            if self.stop_at.is_some_and(|stop_at| stop_at <= now) {
                info!(self.context.log, "stopped"; "runs" => self.runs.len());
                return;
            }
        }
    }

    pub(crate) fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Frame { link, frame } => self.on_frame(now, link, frame),
            Event::EntryDisconnected(link) => self.on_entry_disconnected(now, link),
            Event::EntryConnected(link) => self.on_entry_connected(now, link),
            Event::OrderAnswered { order, answer } => self.on_order_answered(now, &order, &answer),
            Event::Ownership(ownership) => self.on_ownership(ownership),
            Event::ReportPolled(report) => self.on_report(now, report),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Lets the scheduler decide and carries out the resulting actions.
    pub(crate) fn decide(&mut self, now: Instant) {
        let actions = self.scheduler.plan(now, &AdmitAllTargets);
        self.carry_out_actions(now, actions);
        self.update_load_in_progress();
    }

    fn carry_out_actions(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                // The entry that sent the request has exited, or stops the run itself.
                Action::CancelRun { .. } => {}
                Action::Dispatch { job, .. } => self.grant(now, job),
                Action::Load { adapter, .. } => self.send_order(now, Order::LoadAdapter(adapter)),
                Action::LoadBaseModel { .. } => self.order_base_model_load(now),
                Action::NotRun { job, refusal } => self.decline(now, job, &refusal),
                // The engine worker polls reports, and more often during a load.
                Action::Probe { .. } => {}
                Action::Unload { adapter, .. } => {
                    self.send_order(now, Order::UnloadAdapter(adapter))
                }
            }
        }
    }

    /// Checks timeouts and sends heartbeats and load logs that are due.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.violation_monitor.log_new_violations(&self.context.log);
        self.end_disconnected_runs(now);
        self.tick_quotas(now);
        self.send_due_heartbeats(now);
        if self.load_log_due <= now {
            self.load_log_due = now + LOAD_LOG_INTERVAL;
            self.record_load(now);
        }
    }

    /// Returns the connection with the last key, which is the newest one as long as
    /// no slot of a closed connection is reused.
    #[cfg(test)]
    pub(crate) fn newest_link(&self) -> Option<LinkKey> {
        self.links.keys().last()
    }

    fn on_stop(&mut self, now: Instant) {
        info!(self.context.log, "stopping"; "runs" => self.runs.len());
        self.stop_at = Some(now + SHUTDOWN_DELAY);
        let actions = self.scheduler.set_leaving(true);
        self.carry_out_actions(now, actions);
        self.send_all_heartbeats(now);
    }
}
