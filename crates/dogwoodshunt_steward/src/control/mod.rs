//! Control state of the process beside an engine, on a thread of its own.
//!
//! Everything that happens arrives as an [`Event`]. `links` deals with
//! entries, `runs` with what they ask room for, `engine` with the engine's
//! reports and orders.

mod engine;
mod links;
mod runs;

use crate::control::engine::EngineState;
use crate::control::links::LinkState;
use crate::control::runs::RunState;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderCall;
use crate::metrics::Metrics;
use crate::settings::StewardSettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::Gate;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Residency;
use dogwoodshunt_residency::Target;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::telemetry::ViolationWatch;
use dogwoodshunt_runtime::traffic::Traffic;
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

/// Time between two looks at deadlines and timeouts.
const TICK: Duration = Duration::from_millis(20);

/// Events handled before the next decision.
const EVENTS_PER_DECISION: usize = 64;

/// Time between two log lines on the engine's load.
const ACCOUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which entries hear that this process is leaving, before it ends.
const FAREWELL: Duration = Duration::from_millis(150);

slotmap::new_key_type! {
    /// Names an entry's connection.
    pub struct LinkKey;
}

/// Something that happened.
pub enum Event {
    /// A frame came in.
    Frame {
        /// Connection it came on.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// An entry's connection has ended.
    LinkDown(LinkKey),
    /// An entry has connected.
    LinkUp(Link),
    /// An order was answered, or its answer was lost.
    Ordered {
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Whether this process may order the engine.
    Ownership(Ownership),
    /// The engine's report, or `None` if it did not answer.
    Reported(Option<EngineReport>),
    /// The platform asks the process to stop.
    Stop,
}

impl From<Ownership> for Event {
    fn from(ownership: Ownership) -> Self {
        Self::Ownership(ownership)
    }
}

/// What the control thread needs to reach the rest of the process.
pub struct Surroundings {
    /// Traffic threads.
    pub traffic: Traffic,
    /// Sends events back to the control thread.
    pub events: Sender<Event>,
    /// Orders to the engine.
    pub orders: Sender<OrderCall>,
    /// Asks for the ownership to be verified.
    pub doubts: Sender<()>,
    /// Whether something is expected of the engine soon.
    pub expecting: Arc<AtomicBool>,
    /// What is counted.
    pub metrics: Metrics,
    /// Where changes are logged.
    pub log: Logger,
}

/// Lets everything run: what may not is never submitted.
struct Open;

impl Gate for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// Control state of the process beside an engine.
pub struct Control {
    around: Surroundings,
    me: Identity,
    residency: Residency,
    engine: EngineState,
    links: SlotMap<LinkKey, LinkState>,
    runs: HashMap<RequestId, RunState>,
    by_job: HashMap<JobKey, RequestId>,
    heartbeat: Duration,
    stopping: Option<Instant>,
    account_due: Instant,
    violations: ViolationWatch,
}

impl Control {
    /// Creates the control state of a process that has just started.
    pub fn new(
        settings: &StewardSettings,
        me: &Identity,
        around: Surroundings,
        now: Instant,
    ) -> Self {
        Self {
            around,
            me: me.clone(),
            residency: Residency::new(settings.residency()),
            engine: EngineState::new(now),
            links: SlotMap::with_key(),
            runs: HashMap::new(),
            by_job: HashMap::new(),
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            stopping: None,
            account_due: now,
            violations: ViolationWatch::default(),
        }
    }

    /// Handles events until the process was asked to stop and has said so.
    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let tick = async {
                Timer::after(TICK).await;
                None
            };
            let event = async { events.recv().await.ok() };
            let first = event.or(tick).await;
            let now = Instant::now();
            let more = std::iter::from_fn(|| events.try_recv().ok());
            for event in first.into_iter().chain(more.take(EVENTS_PER_DECISION)) {
                self.handle(now, event);
            }
            self.act(now);
            self.tick(now);
            if self.stopping.is_some_and(|until| until <= now) {
                info!(self.around.log, "stopped"; "runs" => self.runs.len());
                return;
            }
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Frame { link, frame } => self.on_frame(now, link, frame),
            Event::LinkDown(link) => self.on_link_down(now, link),
            Event::LinkUp(link) => self.on_link_up(now, link),
            Event::Ordered { order, answer } => self.on_ordered(now, &order, &answer),
            Event::Ownership(ownership) => self.on_ownership(ownership),
            Event::Reported(report) => self.on_report(now, report),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Lets the residency decide and carries out what it wants.
    pub(crate) fn act(&mut self, now: Instant) {
        let actions = self.residency.plan(now, &Open);
        self.carry_out(now, actions);
        self.note_expecting();
    }

    fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                // The entry that runs it has gone, or stops it by itself.
                Action::CancelRun { .. } => {}
                Action::Dispatch { job, .. } => self.grant(now, job),
                Action::Load { adapter, .. } => self.order(now, Order::LoadAdapter(adapter)),
                Action::LoadBase { .. } => self.order_base(now),
                Action::NotRun { job, refused } => self.decline(job, &refused),
                // Reports come by themselves, at once while something is expected.
                Action::Probe { .. } => {}
                Action::Unload { adapter, .. } => self.order(now, Order::UnloadAdapter(adapter)),
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.violations.look(&self.around.log);
        self.release_abandoned(now);
        self.beat_due(now);
        if self.account_due <= now {
            self.account_due = now + ACCOUNT_INTERVAL;
            self.log_load();
        }
    }

    /// Returns the connection that was opened last.
    #[cfg(test)]
    pub(crate) fn newest_link(&self) -> Option<LinkKey> {
        self.links.keys().last()
    }

    fn on_stop(&mut self, now: Instant) {
        info!(self.around.log, "stopping"; "runs" => self.runs.len());
        self.stopping = Some(now + FAREWELL);
        let actions = self.residency.set_leaving(true);
        self.carry_out(now, actions);
        self.beat_all(now);
    }
}
