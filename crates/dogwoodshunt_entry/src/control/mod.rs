//! Control state of an entry, owned by one thread.
//!
//! All input arrives as a [`ControlEvent`]. `agents` handles connections and
//! heartbeats, `routing` chooses the version and the agent for an attempt,
//! `version_switch` moves bare adapter names to new versions, `roles` determines
//! the tasks of this entry, such as log compaction, and `query` answers queries
//! from the HTTP interfaces.

mod agents;
mod query;
mod roles;
mod routing;
mod version_switch;

pub use crate::control::query::ControlQuery;
pub use crate::control::routing::AttemptRequest;
pub use crate::control::routing::RequestTarget;
pub use crate::control::routing::RoutedAttempt;
pub use crate::control::routing::RoutingError;

use crate::agent_connection::AgentConnection;
use crate::control::version_switch::LastVersionChange;
use crate::control::version_switch::PendingSwitch;
use crate::watchers::LogWatcherControl;
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
use dogwoodshunt_runtime::telemetry::ViolationMonitor;
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

/// Maximum time between checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Input of the control thread.
pub enum ControlEvent {
    /// An attempt failed; the sender waits for the retry decision.
    DecideRetry {
        /// Failure of the attempt.
        failure: AttemptFailure,
        /// Number of attempts made so far, and whether the request allows a further one.
        context: RetryContext,
        /// Channel for the decision.
        reply: Sender<RetryDecision>,
    },
    /// The connection to an agent closed.
    AgentDisconnected {
        /// Key of the agent.
        agent: AgentKey,
    },
    /// A connection to an agent opened.
    AgentConnected {
        /// Key of the agent.
        agent: AgentKey,
        /// Identity of the agent process.
        identity: Identity,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Agent that was chosen for the attempt.
        agent: AgentKey,
        /// Adapter version or service of the attempt.
        target: Target,
    },
    /// An agent sent a control frame.
    FrameReceived {
        /// Agent that sent the frame.
        agent: AgentKey,
        /// Received frame.
        frame: Frame,
    },
    /// The host list was read.
    HostListRead {
        /// Names of the hosts that are leaving.
        leaving_hosts: Vec<Box<str>>,
    },
    /// An HTTP handler queries the control state.
    Query(ControlQuery),
    /// The log was read.
    LogRead {
        /// Start time of the read.
        started_at: Instant,
        /// Revision of the newest log entry.
        head_revision: Revision,
        /// Log entries that the catalogue may lack.
        entries: Vec<LogEntry>,
    },
    /// An attempt needs an agent.
    RouteAttempt {
        /// Target and constraints of the attempt.
        attempt_request: AttemptRequest,
        /// Channel for the result.
        reply: Sender<Result<RoutedAttempt, RoutingError>>,
    },
    /// A snapshot of the catalogue was read.
    SnapshotRead {
        /// Catalogue at the revision of the snapshot.
        snapshot: Box<Catalogue>,
    },
    /// The process received a stop signal.
    StopRequested,
}

/// Handles through which the control thread reaches the rest of the process.
pub struct ControlContext {
    /// Connections to the agents.
    pub connections: HashMap<AgentKey, Arc<AgentConnection>>,
    /// Values that steer the log watcher.
    pub log_watcher_control: Arc<LogWatcherControl>,
    /// Channel to the task that appends witness changes to the log; holds at most one change.
    pub witness_changes: Sender<Change>,
    /// Logger of this process.
    pub log: Logger,
}

/// State of an agent process, from its handshake and its last heartbeat.
#[derive(Clone, Debug, Default)]
struct AgentProcess {
    identity: Option<Identity>,
    peer: Option<PeerKey>,
    fresh: bool,
    leaving: bool,
    /// Whether no request is queued or running at the agent.
    empty: bool,
    epoch: Epoch,
}

/// Control state of an entry.
pub struct Control {
    context: ControlContext,
    replica: Replica,
    router: Router,
    granter: Granter<AgentKey>,
    is_granter: bool,
    agents: HashMap<AgentKey, AgentProcess>,
    /// Hosts that the host list reports as leaving.
    leaving_hosts: BTreeSet<Box<str>>,
    pending_switches: HashMap<AdapterName, PendingSwitch>,
    last_version_change: Option<LastVersionChange>,
    /// Value of [`Replica::fresh_as_of`] at the last tick, which precedes the event that is
    /// being handled.
    fresh_as_of: Option<Instant>,
    /// Revision up to which version switches were started.
    processed_revision: Revision,
    heartbeat_interval: Duration,
    next_heartbeat_at: Instant,
    next_role_update_at: Instant,
    next_attempt_number: u64,
    stop_requested: bool,
    violation_monitor: ViolationMonitor,
}

impl Control {
    /// Creates the control state of an entry that has just started.
    pub fn new(
        replica: Replica,
        router: Router,
        context: ControlContext,
        heartbeat_interval: Duration,
        now: Instant,
    ) -> Self {
        let agents = context.connections.keys();
        let agents = agents.map(|key| (*key, AgentProcess::default())).collect();
        Self {
            context,
            replica,
            router,
            granter: Granter::new(dogwoodshunt_grants::GranterSettings::default()),
            is_granter: false,
            agents,
            leaving_hosts: BTreeSet::new(),
            pending_switches: HashMap::new(),
            last_version_change: None,
            fresh_as_of: None,
            processed_revision: 0,
            heartbeat_interval,
            next_heartbeat_at: now,
            next_role_update_at: now,
            next_attempt_number: 0,
            stop_requested: false,
            violation_monitor: ViolationMonitor::default(),
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, events: Receiver<ControlEvent>) {
        loop {
            let tick = async {
                Timer::after(TICK_INTERVAL).await;
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

    fn handle(&mut self, now: Instant, event: ControlEvent) {
        match event {
            ControlEvent::DecideRetry {
                failure,
                context,
                reply,
            } => {
                let _ = reply.try_send(self.router.decide_retry(failure, &context));
            }
            ControlEvent::AgentDisconnected { agent } => self.on_agent_disconnected(agent),
            ControlEvent::AgentConnected { agent, identity } => {
                self.on_agent_connected(now, agent, identity)
            }
            ControlEvent::AttemptEnded { agent, target } => {
                self.router.on_attempt_end(agent, &target)
            }
            ControlEvent::FrameReceived { agent, frame } => self.on_frame(now, agent, frame),
            ControlEvent::HostListRead { leaving_hosts } => {
                self.leaving_hosts = leaving_hosts.into_iter().collect();
                self.update_leaving_agents();
            }
            ControlEvent::Query(query) => self.handle_query(now, query),
            ControlEvent::LogRead {
                started_at,
                head_revision,
                entries,
            } => {
                let was_fresh = self.replica.is_fresh(now);
                let changed = self.replica.on_entries(None, &entries);
                self.replica.on_service_read(started_at, head_revision);
                if changed {
                    self.on_catalogue_changed(now);
                } else if !was_fresh {
                    self.send_heartbeats(now);
                }
            }
            ControlEvent::RouteAttempt {
                attempt_request,
                reply,
            } => {
                let _ = reply.try_send(self.route_attempt(now, &attempt_request));
            }
            ControlEvent::SnapshotRead { snapshot } => {
                if self.replica.replace_if_newer(*snapshot) {
                    self.on_catalogue_changed(now);
                }
            }
            ControlEvent::StopRequested => {
                self.stop_requested = true;
                self.send_heartbeats(now);
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.violation_monitor.log_new_violations(&self.context.log);
        self.fresh_as_of = self.replica.fresh_as_of(now);
        self.remove_finished_switches(now);
        self.record_version_change_acceptance(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + self.heartbeat_interval;
            self.send_heartbeats(now);
        }
        self.send_load_grants(now);
        if self.next_role_update_at <= now {
            self.next_role_update_at = now + roles::ROLE_UPDATE_INTERVAL;
            self.update_roles(now);
        }
    }

    /// Returns whether this entry rejects new requests, because of a stop signal or because a
    /// stop of its host is planned.
    fn is_leaving(&self) -> bool {
        let catalogue = self.replica.catalogue();
        self.stop_requested || catalogue.has_planned_stop(&self.replica.identity().node)
    }

    /// Starts version switches for the new log entries, and sends the entries to the agents
    /// that lack them.
    fn on_catalogue_changed(&mut self, now: Instant) {
        let revision = self.replica.catalogue().revision();
        info!(self.context.log, "catalogue updated"; "revision" => revision);
        self.context
            .log_watcher_control
            .local_revision
            .store(revision, Ordering::Release);
        self.start_switches(self.processed_revision);
        self.processed_revision = revision;
        for (peer, frame) in self.replica.updates_for_lagging_peers() {
            self.send_to_peer(peer, frame);
        }
        self.update_leaving_agents();
        self.send_heartbeats(now);
    }
}
