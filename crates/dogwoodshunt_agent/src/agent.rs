//! Start of an agent.

use crate::control::Control;
use crate::control::Event;
use crate::control::Surroundings;
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

/// Time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a call of the key-value service may take.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// Events that may wait for the control thread.
const EVENT_QUEUE: usize = 16 * 1024;

/// An agent that is ready to run.
pub struct Agent {
    /// Address on which entries connect.
    pub address: SocketAddr,
    settings: AgentSettings,
    me: Identity,
    listener: TcpListener,
    traffic: TrafficExecutor,
    log: Logger,
}

impl Agent {
    /// Listens on the address of the settings; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(
        settings: AgentSettings,
        traffic: TrafficExecutor,
        log: Logger,
    ) -> Result<Self, ListenError> {
        let (listener, address) = listen(settings.listen).await?;
        let me = Identity {
            node: settings.node.name.clone(),
            boot: generate_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            address,
            settings,
            me,
            listener,
            traffic,
            log,
        })
    }

    /// Runs the control state on the calling thread until `stop` closes and
    /// everything in flight has ended.
    pub async fn run(self, stop: Receiver<()>) {
        info!(self.log, "started"; "listen" => %self.address,
            "boot" => format!("{:016x}", self.me.boot));
        let (events, received) = async_channel::bounded(EVENT_QUEUE);
        let (doubts, doubted) = async_channel::bounded(1);
        let client = Arc::new(Client::new(self.traffic.clone(), CONNECT_TIMEOUT));
        self.spawn_ownership(&client, &events, doubted);
        let around = Surroundings {
            traffic: self.traffic.clone(),
            client,
            events: events.clone(),
            doubts,
            log: self.log.clone(),
        };
        let control = Control::new(self.me.clone(), &self.settings, around, Instant::now());
        self.spawn_stop(events.clone(), stop);
        let credentials = Arc::new(Credentials {
            identity: self.me,
            key: SharedKey::new(&self.settings.shared_key),
        });
        let accept = accept_all(
            self.listener,
            credentials,
            self.traffic.clone(),
            events,
            self.log,
        );
        let accepting = self.traffic.spawn(accept);
        control.run(received).await;
        accepting.cancel().await;
    }

    fn spawn_ownership(&self, client: &Arc<Client>, events: &Sender<Event>, doubted: Receiver<()>) {
        let peer = self.settings.key_value_service.to_string();
        let boot: BootId = self.me.boot;
        let worker = OwnershipWorker {
            kv: Arc::new(Etcd::new(client.clone(), &peer, KV_TIMEOUT)),
            node: self.me.node.clone(),
            boot,
            predecessor_timeout: Duration::from_millis(self.settings.freshness_limit_ms),
            events: events.clone(),
            log: self.log.clone(),
        };
        self.traffic.spawn(worker.run(doubted)).detach();
    }

    fn spawn_stop(&self, events: Sender<Event>, stop: Receiver<()>) {
        let wait = async move {
            let _ = stop.recv().await;
            let _ = events.send(Event::Stop).await;
        };
        self.traffic.spawn(wait).detach();
    }
}

async fn accept_all(
    listener: TcpListener,
    credentials: Arc<Credentials>,
    traffic: TrafficExecutor,
    events: Sender<Event>,
    log: Logger,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of files; it passes.
            smol::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let (credentials, events) = (credentials.clone(), events.clone());
        let (threads, log) = (traffic.clone(), log.clone());
        let open = async move {
            match link::accept(stream, &credentials, &threads, &log).await {
                Ok(link) => {
                    let _ = events.send(Event::LinkUp { link }).await;
                }
                Err(error) => warn!(log, "connection refused"; "error" => %error),
            }
        };
        traffic.spawn(open).detach();
    }
}
