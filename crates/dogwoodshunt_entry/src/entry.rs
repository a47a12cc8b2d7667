//! Start-up of an entry: listeners, background tasks and the control thread.

use crate::agent_connection::AgentConnection;
use crate::agent_connection::AgentConnector;
use crate::api::CallerApi;
use crate::api::RequestLimits;
use crate::api::executor::RequestExecutor;
use crate::api::idempotency::IdempotentExecutor;
use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::operators::OperatorApi;
use crate::settings::EntrySettings;
use crate::watchers::HostListWatcher;
use crate::watchers::LogWatcher;
use crate::watchers::LogWatcherControl;
use async_channel::Receiver;
use async_channel::Sender;
use cadence::CountedExt;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Endpoint;
use dogwoodshunt_border::kv::Etcd;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_limits::Listener;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::limits;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::nondeterminism::generate_boot_id;
use dogwoodshunt_runtime::nondeterminism::unix_millis;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_store::LogStore;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::net::TcpListener;
use snafu::ResultExt;
use snafu::Snafu;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for receiving a request body, equal to that for the request head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// Error that prevents an entry from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Listening on an address failed.
    #[snafu(transparent)]
    Listen {
        /// Cause of the failure, with the address.
        source: ListenError,
    },
    /// The metrics client could not be created.
    #[snafu(display("create metrics client: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: cadence::MetricError,
    },
}

/// An entry whose listeners are bound.
pub struct Entry {
    /// Address on which the entry accepts callers' connections.
    pub callers_address: SocketAddr,
    /// Address on which the entry accepts operators' connections.
    pub operators_address: SocketAddr,
    settings: EntrySettings,
    identity: Identity,
    callers_listener: TcpListener,
    operators_listener: TcpListener,
    traffic: TrafficExecutor,
    log: Logger,
}

impl Entry {
    /// Binds the listeners of the settings; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] if listening on an address fails.
    pub async fn bind(
        settings: EntrySettings,
        traffic: TrafficExecutor,
        log: Logger,
    ) -> Result<Self, StartError> {
        let (callers_listener, callers_address) = listen(settings.listen_callers).await?;
        let (operators_listener, operators_address) = listen(settings.listen_operators).await?;
        let identity = Identity {
            node: settings.node.name.clone(),
            boot: generate_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            callers_address,
            operators_address,
            settings,
            identity,
            callers_listener,
            operators_listener,
            traffic,
            log,
        })
    }

    /// Runs until `stop` closes and every request in flight has a response.
    ///
    /// The calling thread runs the control state.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Metrics`] if the metrics client cannot be created.
    pub async fn run(self, stop: Receiver<()>) -> Result<(), StartError> {
        info!(self.log, "started"; "callers" => %self.callers_address, "operators" => %self.operators_address,
            "boot" => format!("{:016x}", self.identity.boot));
        let (events, event_rx) = async_channel::unbounded();
        let client = Arc::new(Client::new(self.traffic.clone(), CONNECT_TIMEOUT));
        let kv_address = self.settings.key_value_service.to_string();
        let kv = Arc::new(Etcd::new(client.clone(), &kv_address, KV_TIMEOUT));
        let store = LogStore::new(kv.clone());
        let (router, connections) = self.build_router();
        let log_watcher_control = Arc::new(LogWatcherControl::default());
        let witness_changes = self.spawn_witness_updater(&store, &events);
        let context = ControlContext {
            connections: connections.clone(),
            log_watcher_control: log_watcher_control.clone(),
            witness_changes,
            log: self.log.clone(),
        };
        self.spawn_watchers(&store, &client, &log_watcher_control, &events);
        self.spawn_connectors(&connections, &events);
        let replica = Replica::new(
            self.identity.clone(),
            millis(self.settings.freshness_limit_ms),
        );
        let heartbeat_interval = millis(self.settings.heartbeat_ms);
        let control = Control::new(replica, router, context, heartbeat_interval, Instant::now());
        let servers_done = self.spawn_servers(kv, store, events.clone(), stop)?;
        let control = control.run(event_rx);
        smol::future::or(control, async {
            // The channel closes once both servers have finished all requests in flight.
            let _ = servers_done.recv().await;
        })
        .await;
        info!(self.log, "stopped");
        Ok(())
    }

    fn build_router(&self) -> (Router, HashMap<AgentKey, Arc<AgentConnection>>) {
        let mut router = Router::new(self.settings.routing.router_settings(self.identity.boot));
        let mut connections = HashMap::new();
        for address in &self.settings.agents {
            let address = address.to_string();
            let key = router.add_agent(address.as_str().into());
            connections.insert(key, Arc::new(AgentConnection::new(&address)));
        }
        (router, connections)
    }

    fn spawn_connectors(
        &self,
        connections: &HashMap<AgentKey, Arc<AgentConnection>>,
        events: &Sender<ControlEvent>,
    ) {
        let credentials = Arc::new(Credentials {
            identity: self.identity.clone(),
            key: SharedKey::new(&self.settings.shared_key),
        });
        for (agent, connection) in connections {
            let connector = AgentConnector {
                agent: *agent,
                connection: connection.clone(),
                credentials: credentials.clone(),
                traffic: self.traffic.clone(),
                events: events.clone(),
                log: self.log.clone(),
            };
            self.traffic.spawn(connector.run()).detach();
        }
    }

    fn spawn_watchers(
        &self,
        store: &LogStore<Etcd>,
        client: &Arc<Client>,
        log_watcher_control: &Arc<LogWatcherControl>,
        events: &Sender<ControlEvent>,
    ) {
        let log_watcher = LogWatcher {
            store: store.clone(),
            control: log_watcher_control.clone(),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(log_watcher.run()).detach();
        let Some(host_list) = self.settings.host_list else {
            return;
        };
        let host_watcher = HostListWatcher {
            client: client.clone(),
            address: host_list.to_string().into(),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(host_watcher.run()).detach();
    }

    /// Spawns the task that appends witness changes to the log, one at a time, and returns
    /// the channel to the task.
    fn spawn_witness_updater(
        &self,
        store: &LogStore<Etcd>,
        events: &Sender<ControlEvent>,
    ) -> Sender<Change> {
        let (witness_changes, change_rx) = async_channel::bounded::<Change>(1);
        let (store, events, log) = (store.clone(), events.clone(), self.log.clone());
        let identity = self.identity.clone();
        let task = async move {
            let mut catalogue = Catalogue::new();
            while let Ok(change) = change_rx.recv().await {
                let started_at = Instant::now();
                let update_result = store.update_to_head(&mut catalogue).await;
                let id = format!(
                    "{}-{:016x}-{}",
                    identity.node,
                    identity.boot,
                    catalogue.revision() + 1
                );
                let proposal = Proposal {
                    id: id.into(),
                    author: identity.node.clone(),
                    change,
                    rebase: Rebase::Allowed,
                };
                let result = match update_result {
                    Ok(_) => store.append(&mut catalogue, &proposal, unix_millis()).await,
                    Err(error) => Err(error),
                };
                match result {
                    Ok(entry) => {
                        info!(log, "witness change appended"; "revision" => entry.revision,
                            "change" => ?entry.change);
                        let event = ControlEvent::LogRead {
                            started_at,
                            head_revision: entry.revision,
                            entries: vec![entry],
                        };
                        let _ = events.send(event).await;
                    }
                    Err(error) => warn!(log, "append of witness change failed"; "error" => %error),
                }
            }
        };
        self.traffic.spawn(task).detach();
        witness_changes
    }

    /// Spawns the servers for callers and operators.
    ///
    /// The returned receiver closes once both servers have finished.
    fn spawn_servers(
        &self,
        kv: Arc<Etcd>,
        store: LogStore<Etcd>,
        events: Sender<ControlEvent>,
        stop: Receiver<()>,
    ) -> Result<Receiver<()>, StartError> {
        let metrics = telemetry::statsd_client(&self.settings.telemetry).context(MetricsSnafu)?;
        let metrics = Arc::new(metrics);
        let counters = metrics.clone();
        let observer = limits::logged(&self.log, move |event| {
            let _ = counters.incr(&format!("client_limits.{}", event.as_str()));
        });
        let client_limits = ProcessLimits::new(self.settings.limits.limits(), observer);
        let limits = RequestLimits {
            max_body_bytes: usize::try_from(self.settings.max_body_bytes).unwrap_or(usize::MAX),
            body_timeout: BODY_TIMEOUT,
            default_deadline: millis(self.settings.default_deadline_ms),
        };
        let caller_api = Arc::new(CallerApi {
            executor: RequestExecutor {
                events: events.clone(),
                traffic: self.traffic.clone(),
                client_limits: client_limits.clone(),
                max_attempts: u32::try_from(self.settings.routing.max_attempts).unwrap_or(u32::MAX),
                log: self.log.clone(),
            },
            idempotent_executor: IdempotentExecutor::new(kv, self.identity.boot, self.log.clone()),
            events: events.clone(),
            limits,
            metrics,
            log: self.log.clone(),
        });
        let operator_api = Arc::new(OperatorApi {
            store,
            events: events.clone(),
            log: self.log.clone(),
        });
        let (operators_done, servers_done) = async_channel::bounded::<()>(1);
        let callers_done = operators_done.clone();
        let serve_callers = server::serve(
            Endpoint::limited(
                self.callers_listener.clone(),
                &client_limits,
                Listener::Callers,
            ),
            self.traffic.clone(),
            stop.clone(),
            caller_api,
        );
        let serve_operators = server::serve(
            Endpoint::limited(
                self.operators_listener.clone(),
                &client_limits,
                Listener::Operators,
            ),
            self.traffic.clone(),
            stop.clone(),
            operator_api,
        );
        let task = async move {
            serve_callers.await;
            drop(callers_done);
        };
        self.traffic.spawn(task).detach();
        let task = async move {
            serve_operators.await;
            drop(operators_done);
        };
        self.traffic.spawn(task).detach();
        let stop_notifier = async move {
            let _ = stop.recv().await;
            let _ = events.send(ControlEvent::StopRequested).await;
        };
        self.traffic.spawn(stop_notifier).detach();
        Ok(servers_done)
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
