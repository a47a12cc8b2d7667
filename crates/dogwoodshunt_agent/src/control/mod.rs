//! Control state of an agent, on a thread of its own.
//!
//! Everything that happens arrives as an [`Event`]. `Control::handle`
//! changes the state, `Control::act` lets `dogwoodshunt_residency` decide
//! and carries its actions out. `links` deals with entries, `requests`
//! with what they submit, `upstreams` with orders.

mod links;
mod requests;
#[cfg(test)]
mod tests;
mod upstreams;

use crate::control::links::LinkState;
use crate::control::requests::RequestState;
use crate::orders::Order;
use crate::run::Ended;
use crate::settings::AgentSettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_residency::orders::ProbeAnswer;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::telemetry::ViolationMonitor;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
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

/// Time between two looks at deadlines and timeouts.
const TICK: Duration = Duration::from_millis(20);

/// Events handled before the next decision.
const EVENTS_PER_DECISION: usize = 64;

slotmap::new_key_type! {
    /// Names an entry's connection.
    pub struct LinkKey;
}

/// Something that happened.
pub enum Event {
    /// An upstream refused an order for its old fencing number.
    Fenced,
    /// A frame came in.
    Frame {
        /// Connection it came on.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// An entry's connection has ended.
    LinkDown {
        /// The connection.
        link: LinkKey,
    },
    /// An entry has connected.
    LinkUp {
        /// The connection.
        link: Link,
    },
    /// A load order has ended.
    LoadEnded {
        /// Upstream that was ordered.
        upstream: UpstreamKey,
        /// Adapter of the order.
        adapter: AdapterRef,
        /// How it ended.
        end: OrderOutcome,
    },
    /// Whether this process owns the upstreams.
    Ownership(Ownership),
    /// An upstream answered a probe.
    Probed {
        /// The upstream.
        upstream: UpstreamKey,
        /// Its answer.
        answer: ProbeAnswer,
    },
    /// A run has ended.
    RunEnded {
        /// Job that ran.
        job: JobKey,
        /// Upstream that ran it.
        upstream: UpstreamKey,
        /// How it ended.
        ended: Ended,
    },
    /// The operator or the platform asks the process to stop.
    Stop,
    /// An unload order has ended.
    UnloadEnded {
        /// Upstream that was ordered.
        upstream: UpstreamKey,
        /// Adapter of the order.
        adapter: AdapterRef,
        /// How it ended.
        end: OrderOutcome,
    },
    /// An upstream does not answer.
    UpstreamDown {
        /// The upstream.
        upstream: UpstreamKey,
    },
}

impl From<Ownership> for Event {
    fn from(ownership: Ownership) -> Self {
        Self::Ownership(ownership)
    }
}

/// What the control thread needs to reach the rest of the process.
pub struct Surroundings {
    /// Traffic threads.
    pub traffic: TrafficExecutor,
    /// Client towards upstreams.
    pub client: Arc<Client>,
    /// Sends events back to the control thread.
    pub events: Sender<Event>,
    /// Asks for the ownership to be verified.
    pub doubts: Sender<()>,
    /// Where changes are logged.
    pub log: Logger,
}

/// Addresses and order channels of an upstream.
struct UpstreamPort {
    peer: Box<str>,
    orders: Sender<Order>,
    probe_due: Instant,
}

/// Control state of an agent.
pub struct Control {
    around: Surroundings,
    replica: Replica,
    scheduler: Scheduler,
    ports: HashMap<UpstreamKey, UpstreamPort>,
    links: SlotMap<LinkKey, LinkState>,
    requests: HashMap<RequestId, RequestState>,
    by_job: HashMap<JobKey, RequestId>,
    ended: HashMap<RequestId, Instant>,
    parked: Vec<(Instant, LinkKey, Submit)>,
    heartbeat: Duration,
    beat_due: Instant,
    freshness_limit: Duration,
    last_tick: Instant,
    epoch: Epoch,
    stopping: bool,
    violations: ViolationMonitor,
    planned_stop: bool,
    told_wants: HashSet<AdapterRef>,
    peers_moved: bool,
    peers_told_until: Instant,
}

impl Control {
    /// Creates the control state of an agent that has just started.
    pub fn new(me: Identity, settings: &AgentSettings, around: Surroundings, now: Instant) -> Self {
        let freshness_limit = Duration::from_millis(settings.freshness_limit_ms);
        let mut control = Self {
            around,
            replica: Replica::new(me, freshness_limit),
            scheduler: Scheduler::new(settings.scheduler()),
            ports: HashMap::new(),
            links: SlotMap::with_key(),
            requests: HashMap::new(),
            by_job: HashMap::new(),
            ended: HashMap::new(),
            parked: Vec::new(),
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            beat_due: now,
            freshness_limit,
            last_tick: now,
            epoch: 0,
            stopping: false,
            violations: ViolationMonitor::default(),
            planned_stop: false,
            told_wants: HashSet::new(),
            peers_moved: false,
            peers_told_until: now,
        };
        for upstream in &settings.upstreams {
            control.add_upstream(now, upstream, settings.order_timeout_ms);
        }
        control
    }

    /// Handles events until the process has been asked to stop and is empty.
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
            self.tick(now);
            self.act(now);
            if self.stopping && self.is_empty() {
                info!(self.around.log, "stopped");
                return;
            }
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Fenced => self.on_doubt(),
            Event::Frame { link, frame } => self.on_frame(now, link, frame),
            Event::LinkDown { link } => self.on_link_down(now, link),
            Event::LinkUp { link } => self.on_link_up(now, link),
            Event::LoadEnded {
                upstream,
                adapter,
                end,
            } => {
                let actions = self.scheduler.on_load_end(now, upstream, &adapter, end);
                self.carry_out(now, actions);
            }
            Event::Ownership(Ownership::Owned { epoch }) => self.on_owned(epoch),
            Event::Ownership(Ownership::Superseded) => self.scheduler.set_owned(false),
            Event::Probed { upstream, answer } => {
                self.scheduler.on_probe(now, upstream, &answer);
            }
            Event::RunEnded {
                job,
                upstream,
                ended,
            } => self.on_run_ended(now, job, upstream, ended),
            Event::Stop => self.on_stop(now),
            Event::UnloadEnded {
                upstream,
                adapter,
                end,
            } => {
                let actions = self.scheduler.on_unload_end(upstream, &adapter, end);
                self.carry_out(now, actions);
            }
            Event::UpstreamDown { upstream } => self.scheduler.on_upstream_down(upstream),
        }
    }

    /// Lets the scheduler decide and carries out what it wants.
    fn act(&mut self, now: Instant) {
        let gate = requests::CatalogueGate::new(&self.replica, now);
        let actions = self.scheduler.plan(now, &gate);
        self.carry_out(now, actions);
        self.tell_granter(now);
    }

    fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CancelRun { job } => self.cancel_run(job),
                Action::Dispatch { job, upstream } => self.start_run(job, upstream),
                Action::LoadBaseModel { .. } => {
                    warn!(self.around.log, "engine without its base model");
                }
                Action::Load { upstream, adapter } => self.order_load(upstream, adapter),
                Action::NotRun { job, refusal } => self.on_refused(now, job, &refusal),
                Action::Probe { upstream } => self.order(upstream, Order::Probe),
                Action::Unload { upstream, adapter } => {
                    let epoch = self.epoch;
                    self.order(upstream, Order::Unload { adapter, epoch });
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.violations.log_new_violations(&self.around.log);
        self.doubt_after_pause(now);
        self.probe_due(now);
        self.retry_parked(now);
        self.expire_requests(now);
        self.tell_peers(now);
        if self.beat_due <= now {
            self.beat_due = now + self.heartbeat;
            self.beat_all(now);
        }
    }

    /// Gives up the right to order upstreams after a pause or while stale.
    ///
    /// A successor may have taken over meanwhile; the key-value service tells.
    fn doubt_after_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if paused > self.freshness_limit || !self.replica.is_fresh(now) {
            self.on_doubt();
        }
    }

    fn on_stop(&mut self, now: Instant) {
        info!(self.around.log, "stopping");
        self.stopping = true;
        self.apply_stops(now);
        self.beat_all(now);
    }

    /// Takes over which upstreams are leaving from the catalogue.
    fn apply_stops(&mut self, now: Instant) {
        let catalogue = self.replica.catalogue();
        let me = &self.replica.identity().node;
        self.planned_stop = catalogue.has_planned_stop(me);
        let names: Vec<Box<str>> = self
            .scheduler
            .upstreams()
            .map(|(_, upstream)| upstream.name.clone())
            .collect();
        for name in names {
            let leaving = self.replica.catalogue().has_planned_stop(&name);
            self.scheduler.set_upstream_leaving(&name, leaving);
        }
        let leaving = self.planned_stop || self.stopping;
        if leaving != self.scheduler.is_leaving() {
            info!(self.around.log, "leaving"; "leaving" => leaving);
            let actions = self.scheduler.set_leaving(leaving);
            self.carry_out(now, actions);
        }
    }

    fn is_empty(&self) -> bool {
        self.scheduler.is_empty() && self.requests.is_empty()
    }
}
