//! Control state of an entry, owned by one thread.
//!
//! All input arrives as an [`ControlEvent`]. `agents` manages the agents beside
//! engines, `quarantine` refuses prompts that crash engines, `lost_requests` requests that crash upstreams,
//! `store` applies the records of the
//! platform's store, `currency` observes whether the configuration is proven to be recent, `placement` places model requests on engines, `reachability` leaves out engines that are not reached, `announcements` and
//! `rate_limits` apply what upstreams announce in their responses, `entries` keeps the number of
//! entries, `quotas` charges requests to workspaces, `stream_origins` knows which software versions began streams, and `plain_service` selects upstreams of plain services, which have no engines.

mod agents;
mod announcements;
mod currency;
mod entries;
mod lost_requests;
mod placement;
mod plain_service;
mod quarantine;
mod quotas;
mod rate_limits;
mod reachability;
pub mod shared_state;
mod store;
mod stream_origins;
mod versions;

pub use crate::control::placement::Grant;
pub use crate::control::placement::PlacementRequest;
pub use crate::control::placement::RunEnd;
pub use crate::control::plain_service::SelectedUpstream;
pub use crate::control::stream_origins::KnownOrigin;
pub use crate::control::stream_origins::OriginSender;

use crate::connector::Connector;
use crate::control::agents::AgentState;
use crate::control::agents::DisconnectCause;
use crate::control::announcements::Pauses;
use crate::control::entries::Entries;
use crate::control::placement::GrantedRun;
use crate::control::placement::PendingPlacement;
use crate::control::plain_service::RetryBudgets;
use crate::control::quotas::QuotaState;
use crate::control::rate_limits::RateLimits;
use crate::control::shared_state::SharedState;
use crate::metrics::Metrics;
use crate::metrics::StoreOutcomeLabels;
use crate::platform::Announcement;
use crate::platform::RecordDecoder;
use crate::watch::Topic;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_quotas::QuotaAllowance;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::telemetry::ViolationMonitor;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_serving::PromptQuarantine;
use dogwoodshunt_serving::RequestQuarantine;
use dogwoodshunt_serving::UpstreamPool;
use dogwoodshunt_serving::UpstreamRegistry;
use dogwoodshunt_serving::fair_calls::FairCalls;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_streams::Lookups;
use dogwoodshunt_streams::StreamMemory;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::WorkspaceName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::StreamOrigin;
use slog::Logger;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Interval at which due work, such as heartbeats, is checked while no event
/// arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a check of due work after which the process counts as having stood still.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(500);

/// Time within which a process that stood still has read the frames that arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);

/// Identifies one placement of a model request within this process.
pub type PlacementId = u64;

/// Input of the control thread.
pub enum ControlEvent {
    /// The connection to an agent has ended.
    AgentDisconnected {
        /// Key of the agent.
        agent: AgentKey,
    },
    /// The connection to an agent has been established.
    AgentConnected {
        /// Key of the agent.
        agent: AgentKey,
        /// Identity that the agent presented in the handshake.
        identity: Identity,
        /// Sends frames to the agent.
        tx: Sender<Frame>,
    },
    /// A call of a plain service has ended.
    CallEnded {
        /// Name of the service.
        service: ServiceName,
        /// Upstream that was called.
        upstream: UpstreamName,
        /// Start time of the upstream process.
        started: UnixMillis,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Workspace of the caller, if any.
        workspace: Option<WorkspaceName>,
        /// How the call ended.
        end: CallEnd,
    },
    /// The store has answered a request for the operators' records; all changes in the answer were
    /// sent before this event.
    ConfigProven {
        /// When the request was sent.
        sent_at: BootTime,
        /// Era of the store when it answered.
        era: StoreEra,
    },
    /// Records of the platform's store have changed.
    StoreChanged {
        /// Watched part of the store.
        topic: Topic,
        /// Changes in the order of their revisions.
        changes: Vec<KeyChange>,
    },
    /// A granted run has ended, or the caller has abandoned a placement.
    PlacementEnded {
        /// Placement that has ended.
        placement_id: PlacementId,
        /// How the run has ended.
        end: RunEnd,
    },
    /// The engine has begun to answer a granted run: the first whole event of a stream, or the
    /// first byte of another response, has arrived.
    FirstByte {
        /// Placement by which the run was granted.
        placement_id: PlacementId,
    },
    /// A request of a workspace that has a quota pays its cost.
    TakeQuota {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Cost of the request.
        cost: u64,
        /// Longest time that the request can wait.
        wait: Duration,
        /// Receives the refusal, if the request is refused.
        reply_tx: Sender<Result<(), NotRun>>,
    },
    /// A request that has paid its cost has not run.
    RefundQuota {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Cost of the request.
        cost: u64,
    },
    /// A request takes a stream up, and the origin of the stream is needed.
    FindOrigin {
        /// The stream.
        stream: StreamId,
        /// Receives the origin.
        reply_tx: OriginSender,
    },
    /// The first event of a stream that may be resumed is being relayed.
    StreamBegun(StreamOrigin),
    /// A frame has arrived from an agent.
    Frame {
        /// Agent that sent the frame.
        agent: AgentKey,
        /// Received frame.
        frame: Frame,
    },
    /// A prefix of the platform's store has been listed.
    StoreListed {
        /// Watched part of the store.
        topic: Topic,
        /// All records under the prefix.
        listing: Listing,
    },
    /// A call of a plain service needs an upstream.
    SelectUpstream {
        /// Name of the service.
        service: ServiceName,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Workspace of the caller, if any.
        workspace: Option<WorkspaceName>,
        /// Upstreams to which the call has already been sent.
        excluded: Vec<UpstreamName>,
        /// Version of the software that must run the call; `None` if any may.
        software: Option<SoftwareVersion>,
        /// Receives the selected upstream, or the refusal if no other is available.
        reply_tx: Sender<Result<SelectedUpstream, NotRun>>,
    },
    /// A model request needs an engine.
    Place {
        /// Identifier of the new placement.
        placement_id: PlacementId,
        /// Request to be placed.
        req: Box<PlacementRequest>,
        /// Receives the grant or the refusal.
        reply_tx: Sender<Result<Grant, NotRun>>,
    },
    /// A failed request is to be sent again, if the retry budget of its service
    /// allows one more retry.
    TakeRetry {
        /// Service to which the request would be sent again.
        service: ServiceName,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Receives whether the retry is allowed.
        reply_tx: Sender<bool>,
    },
    /// The settings have changed.
    SettingsChanged {
        /// Retries that a service may receive per request.
        retry_ratio: f64,
        /// Number of retries that a service may receive in addition to the ratio,
        /// per window over which the platform counts retries and for all entries
        /// together.
        retry_slack: f64,
    },
    /// An upstream has announced something about itself in a response.
    UpstreamAnnounced {
        /// Service of the upstream.
        service: ServiceName,
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Start time of the upstream process that the request was sent to.
        started: UnixMillis,
        /// The announcement.
        announcement: Announcement,
        /// Whether the request was sent under a limit that the response does not name any more.
        ends_rate_limit: bool,
    },
    /// The process has been told to stop.
    Stop,
    /// A request to the platform's store has succeeded.
    StoreReachable(Topic),
    /// A request to the platform's store has failed.
    StoreUnreachable(Topic),
}

/// Handles by which the control thread reaches the rest of the process.
pub struct ControlContext {
    /// Executor of the traffic threads.
    pub traffic: TrafficExecutor,
    /// Sends events back to the control thread.
    pub events: Sender<ControlEvent>,
    /// State shared with the traffic threads.
    pub shared_state: Arc<SharedState>,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Credentials that this process presents to agents.
    pub credentials: Arc<Credentials>,
    /// Logger for control decisions.
    pub log: Logger,
}

/// Subset of the settings that the control state uses.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Failure domain of this entry.
    pub domain: FailureDomain,
    /// Port on which agents listen.
    pub agent_port: u16,
    /// Retries that a service may receive per request.
    pub retry_ratio: f64,
    /// Number of retries that a service may receive in addition to the ratio, per
    /// window over which the platform counts retries and for all entries together.
    pub retry_slack: f64,
    /// Interval between heartbeats to agents.
    pub heartbeat_interval: Duration,
    /// How the limits that ledgers are told differ from a quota.
    pub quota_allowance: QuotaAllowance,
}

/// Control state of an entry; `D` decodes the records of the platform's store.
pub struct Control<D> {
    context: ControlContext,
    settings: ControlSettings,
    decoder: Arc<D>,
    router: Router,
    agents: HashMap<AgentKey, AgentState>,
    agents_by_address: HashMap<SocketAddr, AgentKey>,
    registry: UpstreamRegistry,
    pools: HashMap<ServiceName, UpstreamPool>,
    /// Calls of workspaces in flight, by plain service.
    fair_calls: HashMap<ServiceName, FairCalls>,
    pauses: Pauses,
    rate_limits: RateLimits,
    /// Prompt parts that have crashed the engines of each service.
    quarantines: HashMap<ServiceName, PromptQuarantine>,
    /// Requests whose responses were lost.
    request_quarantine: RequestQuarantine,
    stream_memory: StreamMemory,
    stream_lookups: Lookups<AgentKey, OriginSender>,
    declared_versions: BTreeMap<AdapterName, AdapterRef>,
    /// Declared versions that agents have not been told of.
    new_versions: Vec<AdapterRef>,
    /// Highest era of the store that a listing has shown.
    store_era: StoreEra,
    /// Era of the store in which the configuration in force was read.
    config_era: StoreEra,
    entries: Entries,
    quotas: QuotaState,
    retry_budgets: RetryBudgets,
    pending: HashMap<PlacementId, PendingPlacement>,
    granted_runs: HashMap<PlacementId, GrantedRun>,
    next_heartbeat_at: Instant,
    last_tick_at: Instant,
    /// When the process last went on after it had stood still.
    resumed_at: Option<Instant>,
    shutting_down: bool,
    violations: ViolationMonitor,
}

impl<D: RecordDecoder> Control<D> {
    /// Creates the control state of an entry that has just started.
    pub fn new(
        context: ControlContext,
        settings: ControlSettings,
        decoder: Arc<D>,
        router: Router,
        now: Instant,
    ) -> Self {
        let quota_allowance = settings.quota_allowance;
        let entries = Entries::default();
        let retry_budgets =
            RetryBudgets::new(settings.retry_ratio, settings.retry_slack, entries.count());
        Self {
            context,
            settings,
            decoder,
            router,
            agents: HashMap::new(),
            agents_by_address: HashMap::new(),
            registry: UpstreamRegistry::default(),
            pools: HashMap::new(),
            fair_calls: HashMap::new(),
            pauses: Pauses::default(),
            rate_limits: RateLimits::default(),
            quarantines: HashMap::new(),
            request_quarantine: RequestQuarantine::default(),
            stream_memory: StreamMemory::default(),
            stream_lookups: Lookups::default(),
            declared_versions: BTreeMap::new(),
            new_versions: Vec::new(),
            store_era: 0,
            config_era: 0,
            entries,
            quotas: QuotaState::new(now, quota_allowance),
            retry_budgets,
            pending: HashMap::new(),
            granted_runs: HashMap::new(),
            next_heartbeat_at: now,
            last_tick_at: now,
            resumed_at: None,
            shutting_down: false,
            violations: ViolationMonitor::default(),
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

    pub(crate) fn handle(&mut self, now: Instant, event: ControlEvent) {
        self.note_pause(now);
        match event {
            ControlEvent::AgentDisconnected { agent } => {
                self.on_agent_disconnected(now, agent, DisconnectCause::ConnectionClosed)
            }
            ControlEvent::AgentConnected {
                agent,
                identity,
                tx,
            } => self.on_agent_connected(now, agent, identity, tx),
            ControlEvent::CallEnded {
                service,
                upstream,
                started,
                fingerprint,
                workspace,
                end,
            } => {
                self.on_call_ended(now, &service, &upstream, workspace.as_ref(), end);
                match end {
                    CallEnd::Answered => self.on_request_answered(now, fingerprint),
                    CallEnd::Lost => self.on_request_lost(now, fingerprint, &upstream, started),
                    CallEnd::Failed | CallEnd::Refused | CallEnd::Neutral => {}
                }
            }
            ControlEvent::ConfigProven { sent_at, era } => {
                self.context.shared_state.currency.on_answer(sent_at, era);
            }
            ControlEvent::StoreChanged { topic, changes } => {
                self.on_store_changed(now, topic, changes)
            }
            ControlEvent::PlacementEnded { placement_id, end } => {
                self.on_placement_ended(now, placement_id, end)
            }
            ControlEvent::FirstByte { placement_id } => self.on_first_byte(now, placement_id),
            ControlEvent::FindOrigin { stream, reply_tx } => {
                self.on_find_origin(now, stream, reply_tx)
            }
            ControlEvent::StreamBegun(origin) => self.on_stream_begun(now, origin),
            ControlEvent::Frame { agent, frame } => self.on_frame(now, agent, frame),
            ControlEvent::StoreListed { topic, listing } => {
                self.on_store_listed(now, topic, &listing)
            }
            ControlEvent::SelectUpstream {
                service,
                fingerprint,
                workspace,
                excluded,
                software,
                reply_tx,
            } => {
                let refusal = self.lost_request_refusal(now, fingerprint);
                let software = software.as_deref();
                let asking = workspace.as_ref();
                let select =
                    || self.select_within_share(now, service.clone(), asking, &excluded, software);
                let selected = refusal.map_or_else(select, Err);
                let upstream = selected.as_ref().ok().map(|s| s.upstream.clone());
                let is_received = reply_tx.try_send(selected).is_ok();
                if let Some(upstream) = upstream.filter(|_| !is_received) {
                    // The caller has disconnected.
                    self.on_call_ended(now, &service, &upstream, asking, CallEnd::Neutral);
                }
            }
            ControlEvent::Place {
                placement_id,
                req,
                reply_tx,
            } => self.on_place(now, placement_id, *req, reply_tx),
            ControlEvent::TakeQuota {
                workspace,
                cost,
                wait,
                reply_tx,
            } => self.on_take_quota(now, workspace, cost, wait, reply_tx),
            ControlEvent::RefundQuota { workspace, cost } => {
                self.quotas.refund(now, &workspace, cost);
            }
            ControlEvent::TakeRetry {
                service,
                fingerprint,
                reply_tx,
            } => {
                let may_retry = self.request_quarantine.may_repeat(fingerprint)
                    && self.retry_budgets.try_take(&service);
                let _ = reply_tx.try_send(may_retry);
            }
            ControlEvent::SettingsChanged {
                retry_ratio,
                retry_slack,
            } => self.retry_budgets.set_limits(retry_ratio, retry_slack),
            ControlEvent::UpstreamAnnounced {
                service,
                upstream,
                started,
                announcement,
                ends_rate_limit,
            } => {
                self.on_announcement(now, &service, &upstream, started, announcement);
                if announcement.rate_limit.is_some() || ends_rate_limit {
                    self.on_rate_limit(now, &service, &upstream, started, announcement.rate_limit);
                }
            }
            ControlEvent::Stop => self.shutting_down = true,
            ControlEvent::StoreReachable(topic) => {
                self.count_store_request(topic, "answered");
                if topic == Topic::Upstreams {
                    self.registry.on_store_available(now);
                }
            }
            ControlEvent::StoreUnreachable(topic) => {
                self.count_store_request(topic, "lost");
                if topic == Topic::Upstreams {
                    self.registry.on_store_unavailable();
                }
            }
        }
    }

    /// Notes that the process has stood still if no event was handled for [`MAX_TICK_PAUSE`].
    fn note_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick_at);
        if pause >= MAX_TICK_PAUSE {
            warn!(self.context.log, "process stood still"; "for_ms" => pause.as_millis() as u64);
            self.resumed_at = Some(now);
        }
        self.last_tick_at = now;
    }

    /// Returns whether frames may still arrive that were sent while this process stood still.
    pub(super) fn may_be_out_of_step(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < CATCH_UP_TIME;
        self.resumed_at.is_some_and(is_recent)
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.note_pause(now);
        self.violations.log_new_violations(&self.context.log);
        if self.registry.drop_expired(now) {
            self.sync_upstreams(now);
        }
        self.observe_proof();
        self.signal_silent_agents(now);
        self.expire_stream_lookups(now);
        self.tick_quotas(now);
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now);
            self.router.prune_popularity(now);
            self.expire_unattended(now);
            self.expire_quarantines(now);
            let connected = self.agents.values().filter(|agent| agent.is_connected());
            let connected = i64::try_from(connected.count()).unwrap_or(i64::MAX);
            self.context.metrics.connected_agents.set(connected);
        }
    }

    /// Returns the keys of all known agents, ordered by address.
    #[cfg(test)]
    pub(crate) fn agent_keys(&self) -> Vec<AgentKey> {
        let mut known: Vec<_> = self.agents_by_address.iter().collect();
        known.sort();
        known.into_iter().map(|(_, agent)| *agent).collect()
    }

    fn count_store_request(&self, topic: Topic, outcome: &'static str) {
        let topic = topic.as_str();
        let labels = StoreOutcomeLabels { topic, outcome };
        self.context
            .metrics
            .store_requests
            .get_or_create(&labels)
            .inc();
    }

    fn connect(&self, agent: AgentKey, address: SocketAddr) -> smol::Task<()> {
        let connector = Connector {
            agent,
            address,
            credentials: self.context.credentials.clone(),
            traffic: self.context.traffic.clone(),
            events: self.context.events.clone(),
            log: self.context.log.clone(),
        };
        self.context.traffic.spawn(connector.run())
    }
}
