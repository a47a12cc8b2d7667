//! Starts an agent: its listener, its workers and its control thread.

use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::settings::AgentSettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_border::http::server::Endpoint;
use dogwoodshunt_border::kv::Etcd;
use dogwoodshunt_limits::Listener;
use dogwoodshunt_runtime::limits;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::nondeterminism::generate_boot_id;
use dogwoodshunt_runtime::ownership::OwnershipWorker;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_types::BootId;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of the event queue of the control thread, in events.
const EVENT_QUEUE_CAPACITY: usize = 16 * 1024;

/// An agent that listens but does not run yet.
pub struct Agent {
    /// Address that the agent listens on for entries.
    pub listen_address: SocketAddr,
    settings: AgentSettings,
    identity: Identity,
    listener: TcpListener,
    traffic: TrafficExecutor,
    log: Logger,
}

impl Agent {
    /// Binds the listen address of the settings. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns a [`ListenError`] if the listen address cannot be bound.
    pub async fn bind(
        settings: AgentSettings,
        traffic: TrafficExecutor,
        log: Logger,
    ) -> Result<Self, ListenError> {
        let (listener, listen_address) = listen(settings.listen).await?;
        let identity = Identity {
            node: settings.node.name.clone(),
            boot: generate_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            listen_address,
            settings,
            identity,
            listener,
            traffic,
            log,
        })
    }

    /// Runs the control state on the calling thread. Returns when `stop` has received
    /// a message or closed and no request is left.
    pub async fn run(self, stop: Receiver<()>) {
        info!(self.log, "started"; "listen" => %self.listen_address,
            "boot" => format!("{:016x}", self.identity.boot));
        let (events_tx, events_rx) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let (verify_ownership_tx, verify_ownership_rx) = async_channel::bounded(1);
        let client = Arc::new(Client::new(self.traffic.clone(), CONNECT_TIMEOUT));
        self.spawn_ownership_worker(&client, &events_tx, verify_ownership_rx);
        let context = ControlContext {
            traffic: self.traffic.clone(),
            client,
            events_tx: events_tx.clone(),
            verify_ownership_tx,
            log: self.log.clone(),
        };
        let control = Control::new(
            self.identity.clone(),
            &self.settings,
            context,
            Instant::now(),
        );
        self.spawn_stop_forwarder(events_tx.clone(), stop);
        let credentials = Arc::new(Credentials {
            identity: self.identity,
            key: SharedKey::new(&self.settings.shared_key),
        });
        let observer = limits::logged(&self.log, |_| {});
        let client_limits = ProcessLimits::new(self.settings.limits.limits(), observer);
        let accept = accept_all(
            Endpoint::limited(self.listener, &client_limits, Listener::Links),
            credentials,
            self.traffic.clone(),
            events_tx,
            self.log,
        );
        let accept_task = self.traffic.spawn(accept);
        control.run(events_rx).await;
        accept_task.cancel().await;
    }

    fn spawn_ownership_worker(
        &self,
        client: &Arc<Client>,
        events_tx: &Sender<ControlEvent>,
        verify_ownership_rx: Receiver<()>,
    ) {
        let kv_address = self.settings.key_value_service.to_string();
        let boot: BootId = self.identity.boot;
        let worker = OwnershipWorker {
            kv: Arc::new(Etcd::new(client.clone(), &kv_address, KV_TIMEOUT)),
            node: self.identity.node.clone(),
            boot,
            predecessor_timeout: Duration::from_millis(self.settings.freshness_limit_ms),
            events: events_tx.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(worker.run(verify_ownership_rx)).detach();
    }

    fn spawn_stop_forwarder(&self, events_tx: Sender<ControlEvent>, stop: Receiver<()>) {
        let forward_stop = async move {
            let _ = stop.recv().await;
            let _ = events_tx.send(ControlEvent::StopRequested).await;
        };
        self.traffic.spawn(forward_stop).detach();
    }
}

async fn accept_all(
    endpoint: Endpoint,
    credentials: Arc<Credentials>,
    traffic: TrafficExecutor,
    events_tx: Sender<ControlEvent>,
    log: Logger,
) {
    loop {
        let Some((stream, account)) = endpoint.accept().await else {
            continue;
        };
        let (credentials, events_tx) = (credentials.clone(), events_tx.clone());
        let (link_traffic, log) = (traffic.clone(), log.clone());
        let handshake = async move {
            match link::accept(stream, account, &credentials, &link_traffic, &log).await {
                Ok(link) => {
                    let _ = events_tx.send(ControlEvent::EntryConnected { link }).await;
                }
                Err(error) => warn!(log, "handshake failed"; "error" => %error),
            }
        };
        traffic.spawn(handshake).detach();
    }
}
