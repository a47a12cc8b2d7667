//! Control state of an entry, on a thread of its own.
//!
//! Everything that happens arrives as an [`Event`]. `agents` deals with
//! connections and heartbeats, `placing` with requests, `switching` with new
//! versions, `duties` with what one entry does for the others, `inquiry` with
//! operators' questions.

mod agents;
mod duties;
mod inquiry;
mod placing;
mod switching;

pub use crate::control::inquiry::Inquiry;
pub use crate::control::placing::Declined;
pub use crate::control::placing::PlaceAsk;
pub use crate::control::placing::Placement;
pub use crate::control::placing::Wanted;

use crate::control::switching::LastSwitch;
use crate::control::switching::Switch;
use crate::platform::WatcherOrders;
use crate::port::Port;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_grants::Granter;
use dogwoodshunt_replica::PeerKey;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_routing::retry::AttemptFailure;
use dogwoodshunt_routing::retry::RetryContext;
use dogwoodshunt_routing::retry::RetryDecision;
use dogwoodshunt_runtime::telemetry::ViolationWatch;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::Revision;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use slog::Logger;
use slog::info;
use smol::Timer;
use smol::future::FutureExt;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Something that happened.
pub enum Event {
    /// A request failed; what follows?
    After {
        /// How it failed.
        failure: AttemptFailure,
        /// What was tried.
        tried: RetryContext,
        /// Where the verdict goes.
        reply: Sender<RetryDecision>,
    },
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
    },
    /// An attempt has ended.
    Ended {
        /// Agent that it was sent to.
        agent: AgentKey,
        /// What it asked for.
        target: Target,
    },
    /// A control frame came in.
    Frame {
        /// Agent that sent it.
        agent: AgentKey,
        /// The frame.
        frame: Frame,
    },
    /// The host list was read.
    HostsLeaving {
        /// Names of the hosts that are leaving.
        leaving: Vec<Box<str>>,
    },
    /// An operator asks.
    Inquiry(Inquiry),
    /// The log was read.
    LogRead {
        /// When the read was begun.
        begun: Instant,
        /// Revision of the newest entry.
        head: Revision,
        /// Entries that may be new.
        entries: Vec<LogEntry>,
    },
    /// A request needs an agent.
    Place {
        /// What it asks for.
        ask: PlaceAsk,
        /// Where the answer goes.
        reply: Sender<Result<Placement, Declined>>,
    },
    /// A snapshot was read.
    Snapshot {
        /// Catalogue of the snapshot.
        snapshot: Box<Catalogue>,
    },
    /// The process was asked to stop.
    Stop,
}

/// What the control thread needs to reach the rest of the process.
pub struct Surroundings {
    /// The ways to the agents.
    pub ports: HashMap<AgentKey, Arc<Port>>,
    /// What the watcher of the log is told.
    pub watcher: Arc<WatcherOrders>,
    /// Changes to append to the log on this entry's own behalf.
    pub duties: Sender<Change>,
    /// Where changes are logged.
    pub log: Logger,
}

/// What an entry knows of an agent's process.
#[derive(Clone, Debug, Default)]
struct AgentProcess {
    identity: Option<Identity>,
    peer: Option<PeerKey>,
    fresh: bool,
    leaving: bool,
    empty: bool,
    epoch: Epoch,
}

/// Control state of an entry.
pub struct Control {
    around: Surroundings,
    replica: Replica,
    router: Router,
    granter: Granter<AgentKey>,
    granting: bool,
    agents: HashMap<AgentKey, AgentProcess>,
    hosts_leaving: BTreeSet<Box<str>>,
    switching: HashMap<AdapterName, Switch>,
    last_switch: Option<LastSwitch>,
    as_of: Option<Instant>,
    seen: Revision,
    heartbeat: Duration,
    beat_due: Instant,
    duty_due: Instant,
    next_request: u64,
    stopping: bool,
    violations: ViolationWatch,
}

impl Control {
    /// Creates the control state of an entry that has just started.
    pub fn new(
        replica: Replica,
        router: Router,
        around: Surroundings,
        heartbeat: Duration,
        now: Instant,
    ) -> Self {
        let agents = around.ports.keys();
        let agents = agents.map(|key| (*key, AgentProcess::default())).collect();
        Self {
            around,
            replica,
            router,
            granter: Granter::new(dogwoodshunt_grants::Settings::default()),
            granting: false,
            agents,
            hosts_leaving: BTreeSet::new(),
            switching: HashMap::new(),
            last_switch: None,
            as_of: None,
            seen: 0,
            heartbeat,
            beat_due: now,
            duty_due: now,
            next_request: 0,
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

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::After {
                failure,
                tried,
                reply,
            } => {
                let _ = reply.try_send(self.router.decide_retry(failure, &tried));
            }
            Event::AgentDown { agent } => self.on_agent_down(agent),
            Event::AgentUp { agent, identity } => self.on_agent_up(now, agent, identity),
            Event::Ended { agent, target } => self.router.on_attempt_end(agent, &target),
            Event::Frame { agent, frame } => self.on_frame(now, agent, frame),
            Event::HostsLeaving { leaving } => {
                self.hosts_leaving = leaving.into_iter().collect();
                self.apply_leaving();
            }
            Event::Inquiry(inquiry) => self.answer(now, inquiry),
            Event::LogRead {
                begun,
                head,
                entries,
            } => {
                let was_fresh = self.replica.is_fresh(now);
                let moved = self.replica.on_entries(None, &entries);
                self.replica.on_service_read(begun, head);
                if moved {
                    self.on_catalogue_moved(now);
                } else if !was_fresh {
                    self.beat_all(now);
                }
            }
            Event::Place { ask, reply } => {
                let _ = reply.try_send(self.place(now, &ask));
            }
            Event::Snapshot { snapshot } => {
                if self.replica.replace_if_newer(*snapshot) {
                    self.on_catalogue_moved(now);
                }
            }
            Event::Stop => {
                self.stopping = true;
                self.beat_all(now);
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.violations.look(&self.around.log);
        self.as_of = self.replica.fresh_as_of(now);
        self.end_switches(now);
        self.note_switch_accepted(now);
        if self.beat_due <= now {
            self.beat_due = now + self.heartbeat;
            self.beat_all(now);
        }
        self.grant_loads(now);
        if self.duty_due <= now {
            self.duty_due = now + duties::DUTY_INTERVAL;
            self.do_duties(now);
        }
    }

    /// Returns whether this entry takes no new requests.
    fn is_leaving(&self) -> bool {
        let catalogue = self.replica.catalogue();
        self.stopping || catalogue.has_planned_stop(&self.replica.identity().node)
    }

    /// Passes a change of the catalogue on and acts on it.
    fn on_catalogue_moved(&mut self, now: Instant) {
        let revision = self.replica.catalogue().revision();
        info!(self.around.log, "catalogue"; "revision" => revision);
        self.around.watcher.held.store(revision, Ordering::Release);
        self.begin_switches(self.seen);
        self.seen = revision;
        for (peer, frame) in self.replica.updates_for_lagging_peers() {
            self.send_to_peer(peer, frame);
        }
        self.apply_leaving();
        self.beat_all(now);
    }
}
