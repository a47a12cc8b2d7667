//! Start of an entry.

use crate::api::CallerApi;
use crate::api::Limits;
use crate::api::attempts::Runner;
use crate::api::claims::Claims;
use crate::control::Control;
use crate::control::Event;
use crate::control::Surroundings;
use crate::operators::OperatorApi;
use crate::platform::HostWatcher;
use crate::platform::LogWatcher;
use crate::platform::WatcherOrders;
use crate::port::Connector;
use crate::port::Port;
use crate::settings::EntrySettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::kv::Etcd;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::boot::draw_boot_id;
use dogwoodshunt_runtime::boot::unix_millis;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::Traffic;
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

/// Time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the body of a request may take to arrive, as long as its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a call of the key-value service may take.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an entry cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(transparent)]
    Listen {
        /// Which one, and why.
        source: ListenError,
    },
    /// Metrics cannot be sent.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// What the metrics library found.
        source: cadence::MetricError,
    },
}

/// An entry that is ready to run.
pub struct Entry {
    /// Address on which callers connect.
    pub callers_address: SocketAddr,
    /// Address on which operators connect.
    pub operators_address: SocketAddr,
    settings: EntrySettings,
    me: Identity,
    callers_listener: TcpListener,
    operators_listener: TcpListener,
    traffic: Traffic,
    log: Logger,
}

impl Entry {
    /// Listens on the addresses of the settings; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn bind(
        settings: EntrySettings,
        traffic: Traffic,
        log: Logger,
    ) -> Result<Self, StartError> {
        let (callers_listener, callers_address) = listen(settings.listen_callers).await?;
        let (operators_listener, operators_address) = listen(settings.listen_operators).await?;
        let me = Identity {
            node: settings.node.name.clone(),
            boot: draw_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            callers_address,
            operators_address,
            settings,
            me,
            callers_listener,
            operators_listener,
            traffic,
            log,
        })
    }

    /// Runs until `stop` closes and every request in flight has been answered.
    ///
    /// The control state runs on the calling thread.
    ///
    /// # Errors
    ///
    /// Fails if metrics cannot be sent.
    pub async fn run(self, stop: Receiver<()>) -> Result<(), StartError> {
        info!(self.log, "started"; "callers" => %self.callers_address, "operators" => %self.operators_address,
            "boot" => format!("{:016x}", self.me.boot));
        let (events, received) = async_channel::unbounded();
        let client = Arc::new(Client::new(self.traffic.clone(), CONNECT_TIMEOUT));
        let kv_peer = self.settings.key_value_service.to_string();
        let kv = Arc::new(Etcd::new(client.clone(), &kv_peer, KV_TIMEOUT));
        let store = LogStore::new(kv.clone());
        let (router, ports) = self.router();
        let watcher = Arc::new(WatcherOrders::default());
        let duties = self.spawn_duties(&store, &events);
        let around = Surroundings {
            ports: ports.clone(),
            watcher: watcher.clone(),
            duties,
            log: self.log.clone(),
        };
        self.spawn_watchers(&store, &client, &watcher, &events);
        self.spawn_connectors(&ports, &events);
        let replica = Replica::new(self.me.clone(), millis(self.settings.freshness_limit_ms));
        let heartbeat = millis(self.settings.heartbeat_ms);
        let control = Control::new(replica, router, around, heartbeat, Instant::now());
        let served = self.spawn_servers(kv, store, events.clone(), stop)?;
        let control = control.run(received);
        smol::future::or(control, async {
            // Closed once both servers have answered everything in flight.
            let _ = served.recv().await;
        })
        .await;
        info!(self.log, "stopped");
        Ok(())
    }

    fn router(&self) -> (Router, HashMap<AgentKey, Arc<Port>>) {
        let mut router = Router::new(self.settings.routing.routing(self.me.boot));
        let mut ports = HashMap::new();
        for address in &self.settings.agents {
            let address = address.to_string();
            let key = router.add_agent(address.as_str().into());
            ports.insert(key, Arc::new(Port::new(&address)));
        }
        (router, ports)
    }

    fn spawn_connectors(&self, ports: &HashMap<AgentKey, Arc<Port>>, events: &Sender<Event>) {
        let credentials = Arc::new(Credentials {
            me: self.me.clone(),
            key: SharedKey::new(&self.settings.shared_key),
        });
        for (agent, port) in ports {
            let connector = Connector {
                agent: *agent,
                port: port.clone(),
                credentials: credentials.clone(),
                traffic: self.traffic.clone(),
                events: events.clone(),
                log: self.log.clone(),
            };
            self.traffic.spawn(connector.work()).detach();
        }
    }

    fn spawn_watchers(
        &self,
        store: &LogStore<Etcd>,
        client: &Arc<Client>,
        orders: &Arc<WatcherOrders>,
        events: &Sender<Event>,
    ) {
        let log_watcher = LogWatcher {
            store: store.clone(),
            orders: orders.clone(),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(log_watcher.work()).detach();
        let Some(host_list) = self.settings.host_list else {
            return;
        };
        let host_watcher = HostWatcher {
            client: client.clone(),
            peer: host_list.to_string().into(),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(host_watcher.work()).detach();
    }

    /// Appends this entry's own changes to the log, one at a time.
    fn spawn_duties(&self, store: &LogStore<Etcd>, events: &Sender<Event>) -> Sender<Change> {
        let (duties, changes) = async_channel::bounded::<Change>(1);
        let (store, events, log) = (store.clone(), events.clone(), self.log.clone());
        let me = self.me.clone();
        let work = async move {
            let mut catalogue = Catalogue::new();
            while let Ok(change) = changes.recv().await {
                let begun = Instant::now();
                let caught_up = store.catch_up(&mut catalogue).await;
                let id = format!("{}-{:016x}-{}", me.node, me.boot, catalogue.revision() + 1);
                let proposal = Proposal {
                    id: id.into(),
                    author: me.node.clone(),
                    change,
                    rebase: Rebase::Allowed,
                };
                let appended = match caught_up {
                    Ok(_) => store.append(&mut catalogue, &proposal, unix_millis()).await,
                    Err(error) => Err(error),
                };
                match appended {
                    Ok(entry) => {
                        info!(log, "witnesses"; "revision" => entry.revision,
                            "change" => ?entry.change);
                        let event = Event::LogRead {
                            begun,
                            head: entry.revision,
                            entries: vec![entry],
                        };
                        let _ = events.send(event).await;
                    }
                    Err(error) => warn!(log, "witnesses unchanged"; "error" => %error),
                }
            }
        };
        self.traffic.spawn(work).detach();
        duties
    }

    /// Serves callers and operators; the receiver closes once both are done.
    fn spawn_servers(
        &self,
        kv: Arc<Etcd>,
        store: LogStore<Etcd>,
        events: Sender<Event>,
        stop: Receiver<()>,
    ) -> Result<Receiver<()>, StartError> {
        let metrics = telemetry::metrics(&self.settings.telemetry).context(MetricsSnafu)?;
        let limits = Limits {
            max_body_bytes: usize::try_from(self.settings.max_body_bytes).unwrap_or(usize::MAX),
            body_timeout: BODY_TIMEOUT,
            default_deadline: millis(self.settings.default_deadline_ms),
        };
        let callers = Arc::new(CallerApi {
            runner: Runner {
                events: events.clone(),
                traffic: self.traffic.clone(),
                most_attempts: u32::try_from(self.settings.routing.attempts).unwrap_or(u32::MAX),
            },
            claims: Claims::new(kv, self.me.boot, self.log.clone()),
            events: events.clone(),
            limits,
            metrics: Arc::new(metrics),
            log: self.log.clone(),
        });
        let operators = Arc::new(OperatorApi {
            store,
            events: events.clone(),
            log: self.log.clone(),
        });
        let (open, served) = async_channel::bounded::<()>(1);
        let callers_done = open.clone();
        let serve_callers = server::serve(
            self.callers_listener.clone(),
            self.traffic.clone(),
            stop.clone(),
            callers_address,
        );
        let serve_operators = server::serve(
            self.operators_listener.clone(),
            self.traffic.clone(),
            stop.clone(),
            operators_address,
        );
        let work = async move {
            serve_callers.await;
            drop(callers_done);
        };
        self.traffic.spawn(work).detach();
        let work = async move {
            serve_operators.await;
            drop(open);
        };
        self.traffic.spawn(work).detach();
        let tell = async move {
            let _ = stop.recv().await;
            let _ = events.send(Event::Stop).await;
        };
        self.traffic.spawn(tell).detach();
        Ok(served)
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
