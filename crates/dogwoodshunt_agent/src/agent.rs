//! Starts an agent: its listener, its workers and its control thread.

use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::settings::AgentSettings;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::kv::Etcd;
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

/// Capacity of the event queue of the control thread.
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
    /// Fails if the listen address cannot be bound.
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
        let (events, event_rx) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let (verify_requests, verify_rx) = async_channel::bounded(1);
        let client = Arc::new(Client::new(self.traffic.clone(), CONNECT_TIMEOUT));
        self.spawn_ownership_worker(&client, &events, verify_rx);
        let context = ControlContext {
            traffic: self.traffic.clone(),
            client,
            events: events.clone(),
            verify_requests,
            log: self.log.clone(),
        };
        let control = Control::new(
            self.identity.clone(),
            &self.settings,
            context,
            Instant::now(),
        );
        self.spawn_stop_forwarder(events.clone(), stop);
        let credentials = Arc::new(Credentials {
            identity: self.identity,
            key: SharedKey::new(&self.settings.shared_key),
        });
        let accept = accept_all(
            self.listener,
            credentials,
            self.traffic.clone(),
            events,
            self.log,
        );
        let accept_task = self.traffic.spawn(accept);
        control.run(event_rx).await;
        accept_task.cancel().await;
    }

    fn spawn_ownership_worker(
        &self,
        client: &Arc<Client>,
        events: &Sender<ControlEvent>,
        verify_rx: Receiver<()>,
    ) {
        let peer = self.settings.key_value_service.to_string();
        let boot: BootId = self.identity.boot;
        let worker = OwnershipWorker {
            kv: Arc::new(Etcd::new(client.clone(), &peer, KV_TIMEOUT)),
            node: self.identity.node.clone(),
            boot,
            predecessor_timeout: Duration::from_millis(self.settings.freshness_limit_ms),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(worker.run(verify_rx)).detach();
    }

    fn spawn_stop_forwarder(&self, events: Sender<ControlEvent>, stop: Receiver<()>) {
        let forward_stop = async move {
            let _ = stop.recv().await;
            let _ = events.send(ControlEvent::StopRequested).await;
        };
        self.traffic.spawn(forward_stop).detach();
    }
}

async fn accept_all(
    listener: TcpListener,
    credentials: Arc<Credentials>,
    traffic: TrafficExecutor,
    events: Sender<ControlEvent>,
    log: Logger,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely out of file descriptors; retries, since closing connections free some.
            smol::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let (credentials, events) = (credentials.clone(), events.clone());
        let (link_traffic, log) = (traffic.clone(), log.clone());
        let handshake = async move {
            match link::accept(stream, &credentials, &link_traffic, &log).await {
                Ok(link) => {
                    let _ = events.send(ControlEvent::EntryConnected { link }).await;
                }
                Err(error) => warn!(log, "connection refused"; "error" => %error),
            }
        };
        traffic.spawn(handshake).detach();
    }
}
