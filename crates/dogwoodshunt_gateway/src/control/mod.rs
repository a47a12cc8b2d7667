//! Control state of an entry, on a thread of its own.
//!
//! Everything that happens arrives as an [`Event`]. `agents` deals with the
//! agents beside engines, `catalogue` with what the platform's store says,
//! `placing` with model requests and `plain` with calls of plain services.

mod agents;
mod catalogue;
mod placing;
mod plain;
pub mod status;

pub use crate::control::placing::Grant;
pub use crate::control::placing::PlaceAsk;
pub use crate::control::plain::Pick;

use crate::connector::Connector;
use crate::control::agents::AgentState;
use crate::control::agents::Loss;
use crate::control::placing::Running;
use crate::control::placing::Waiting;
use crate::control::plain::Budgets;
use crate::control::status::Status;
use crate::metrics::Metrics;
use crate::metrics::StoreOutcome;
use crate::ports::Decoder;
use crate::watch::Topic;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::kv::Change;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::telemetry::ViolationWatch;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_serving::Pool;
use dogwoodshunt_serving::Registry;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::DeclaredVersion;
use dogwoodshunt_wire::frame::Identity;
use slog::Logger;
use smol::Timer;
use smol::future::FutureExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Names one wish to run a model request, for the life of this process.
pub type Ticket = u64;

/// Something that happened.
pub enum Event {
    /// An agent's connection has ended.
    AgentDown {
        /// The agent.
        agent: AgentKey,
    },
    /// An agent's connection has opened.
    AgentUp {
        /// The agent.
        agent: AgentKey,
        /// Who it is.
        identity: Identity,
        /// Sends frames to it.
        tx: Sender<Frame>,
    },
    /// A call of a plain service has ended.
    CallEnded {
        /// The service.
        service: ServiceName,
        /// Upstream that was called.
        upstream: UpstreamName,
        /// How it ended.
        end: CallEnd,
    },
    /// Keys of the platform's store have changed.
    Changes {
        /// What is followed.
        topic: Topic,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// A granted run is over, or its caller no longer wants it.
    Done {
        /// The wish.
        ticket: Ticket,
        /// Whether the upstream said that it lacks the adapter.
        adapter_missing: bool,
    },
    /// The first byte of a granted run's answer has come.
    FirstByte {
        /// The wish.
        ticket: Ticket,
    },
    /// A frame came in.
    Frame {
        /// Agent that sent it.
        agent: AgentKey,
        /// The frame.
        frame: Frame,
    },
    /// Everything under a prefix of the platform's store.
    Listing {
        /// What is followed.
        topic: Topic,
        /// The records.
        listing: Listing,
    },
    /// A call of a plain service needs an upstream.
    Pick {
        /// The service.
        service: ServiceName,
        /// Upstreams that the call was sent to before.
        excluded: Vec<UpstreamName>,
        /// Where the answer goes.
        reply: Sender<Option<Pick>>,
    },
    /// A model request needs an engine.
    Place {
        /// The wish.
        ticket: Ticket,
        /// What it asks for.
        ask: Box<PlaceAsk>,
        /// Where the answer goes.
        reply: Sender<Result<Grant, NotRun>>,
    },
    /// A request is to be sent a second time; may it?
    Retry {
        /// Service that it goes to.
        service: ServiceName,
        /// Where the answer goes.
        reply: Sender<bool>,
    },
    /// The settings have changed.
    Settings {
        /// Retries that a service may get for each request.
        retry_ratio: f64,
        /// Retries that a service may get besides, for all entries together.
        retry_slack: f64,
    },
    /// The process was asked to stop.
    Stop,
    /// The platform's store has answered.
    StoreAnswered(Topic),
    /// The platform's store does not answer.
    StoreLost(Topic),
}

/// What the control thread needs to reach the rest of the process.
pub struct Surroundings {
    /// Traffic threads.
    pub traffic: Traffic,
    /// Sends events back to the control thread.
    pub events: Sender<Event>,
    /// What traffic threads read of this state.
    pub status: Arc<Status>,
    /// What is counted.
    pub metrics: Metrics,
    /// What this process shows agents.
    pub credentials: Arc<Credentials>,
    /// Where changes are logged.
    pub log: Logger,
}

/// What of the settings the control state needs.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Failure domain of this entry.
    pub domain: FailureDomain,
    /// Port on which agents listen.
    pub agent_port: u16,
    /// Retries that a service may get for each request.
    pub retry_ratio: f64,
    /// Retries that a service may get besides, for all entries together.
    pub retry_slack: f64,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
}

/// Control state of an entry.
pub struct Control<D> {
    around: Surroundings,
    limits: Limits,
    decoder: Arc<D>,
    router: Router,
    agents: HashMap<AgentKey, AgentState>,
    by_address: HashMap<SocketAddr, AgentKey>,
    registry: Registry,
    pools: HashMap<ServiceName, Pool>,
    versions: HashMap<AdapterName, DeclaredVersion>,
    budgets: Budgets,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    beat_due: Instant,
    stopping: bool,
    violations: ViolationWatch,
}

impl<D: Decoder> Control<D> {
    /// Creates the control state of an entry that has just started.
    pub fn new(
        around: Surroundings,
        limits: Limits,
        decoder: Arc<D>,
        router: Router,
        now: Instant,
    ) -> Self {
        let budgets = Budgets::new(limits.retry_ratio, limits.retry_slack);
        Self {
            around,
            limits,
            decoder,
            router,
            agents: HashMap::new(),
            by_address: HashMap::new(),
            registry: Registry::default(),
            pools: HashMap::new(),
            versions: HashMap::new(),
            budgets,
            waiting: HashMap::new(),
            running: HashMap::new(),
            beat_due: now,
            stopping: false,
            violations: ViolationWatch::default(),
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let tick = async {
                Timer::after(TICK).await;
                Ok(None)
            };
            let event = async { events.recv().await.map(Some) };
            let Ok(event) = event.or(tick).await else {
                return;
            };
            let now = Instant::now();
            if let Some(event) = event {
                self.handle(now, event);
            }
            self.tick(now);
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::AgentDown { agent } => self.on_agent_down(now, agent, Loss::Closed),
            Event::AgentUp {
                agent,
                identity,
                tx,
            } => self.on_agent_up(now, agent, identity, tx),
            Event::CallEnded {
                service,
                upstream,
                end,
            } => self.on_call_ended(now, &service, &upstream, end),
            Event::Changes { topic, changes } => self.on_changes(now, topic, changes),
            Event::Done {
                ticket,
                adapter_missing,
            } => self.on_done(now, ticket, adapter_missing),
            Event::FirstByte { ticket } => self.on_first_byte(ticket),
            Event::Frame { agent, frame } => self.on_frame(now, agent, frame),
            Event::Listing { topic, listing } => self.on_listing(now, topic, &listing),
            Event::Pick {
                service,
                excluded,
                reply,
            } => {
                // A caller that has left drops its receiver.
                let _ = reply.try_send(self.pick(now, service, &excluded));
            }
            Event::Place { ticket, ask, reply } => self.on_place(now, ticket, *ask, reply),
            Event::Retry { service, reply } => {
                let _ = reply.try_send(self.budgets.take(&service));
            }
            Event::Settings {
                retry_ratio,
                retry_slack,
            } => self.budgets.set_limits(retry_ratio, retry_slack),
            Event::Stop => self.stopping = true,
            Event::StoreAnswered(topic) => {
                self.count_store_call(topic, "answered");
                if topic == Topic::Upstreams {
                    self.registry.on_store_answer(now);
                }
            }
            Event::StoreLost(topic) => {
                self.count_store_call(topic, "lost");
                if topic == Topic::Upstreams {
                    self.registry.on_store_lost();
                }
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.violations.look(&self.around.log);
        if self.registry.drop_missing(now) {
            self.apply_registry(now);
        }
        if self.beat_due <= now {
            self.beat_due = now + self.limits.heartbeat;
            self.beat_all(now);
            self.router.prune(now);
            self.give_up_unattended(now);
            let connected = self.agents.values().filter(|agent| agent.is_connected());
            let connected = i64::try_from(connected.count()).unwrap_or(i64::MAX);
            self.around.metrics.agents.set(connected);
        }
    }

    /// Returns the agents that are known, in the order of their addresses.
    #[cfg(test)]
    pub(crate) fn agent_keys(&self) -> Vec<AgentKey> {
        let mut known: Vec<_> = self.by_address.iter().collect();
        known.sort();
        known.into_iter().map(|(_, agent)| *agent).collect()
    }

    fn count_store_call(&self, topic: Topic, outcome: &'static str) {
        let topic = topic.as_str();
        let labels = StoreOutcome { topic, outcome };
        self.around.metrics.store_calls.get_or_create(&labels).inc();
    }

    fn connect(&self, agent: AgentKey, address: SocketAddr) -> smol::Task<()> {
        let connector = Connector {
            agent,
            address,
            credentials: self.around.credentials.clone(),
            traffic: self.around.traffic.clone(),
            events: self.around.events.clone(),
            log: self.around.log.clone(),
        };
        self.around.traffic.spawn(connector.work())
    }
}
