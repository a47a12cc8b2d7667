//! Start-up of the agent: opens its ports and starts the control state, the workers
//! and the acceptance of connections.

use crate::control::Control;
use crate::control::ControlContext;
use crate::control::Event;
use crate::engine::EngineClient;
use crate::engine_worker::EngineWorker;
use crate::metrics::Metrics;
use crate::settings::EngineAgentSettings;

use async_channel::Sender;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Endpoint;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_limits::Listener;
use dogwoodshunt_runtime::limits;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::metrics::MetricsHandler;
use dogwoodshunt_runtime::nondeterminism::generate_boot_id;
use dogwoodshunt_runtime::ownership::OwnershipWorker;
use dogwoodshunt_runtime::program::ProgramContext;
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

/// Capacity of the event channel of the control thread, in events.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// An agent whose ports are open and that is ready to run.
pub struct EngineAgent {
    /// Address on which the agent accepts connections of entries.
    pub listen_address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    settings: EngineAgentSettings,
    identity: Identity,
    listener: TcpListener,
    metrics_listener: TcpListener,
    program_context: ProgramContext,
}

impl EngineAgent {
    /// Opens the ports of the agent; port 0 in the settings picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be listened on.
    pub async fn bind(
        settings: EngineAgentSettings,
        program_context: ProgramContext,
    ) -> Result<Self, ListenError> {
        let (listener, listen_address) = listen(settings.listen).await?;
        let (metrics_listener, metrics_address) = listen(settings.listen_metrics).await?;
        let identity = Identity {
            node: settings.node.name.clone(),
            boot: generate_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            listen_address,
            metrics_address,
            settings,
            identity,
            listener,
            metrics_listener,
            program_context,
        })
    }

    /// Runs the agent, with the control state on the calling thread, until shortly
    /// after the program is asked to stop.
    pub async fn run<E: EngineClient, K: Kv>(self, engine: Arc<E>, kv: Arc<K>) {
        let (traffic, log) = (
            self.program_context.traffic.clone(),
            self.program_context.log.clone(),
        );
        info!(log, "started"; "listen" => %self.listen_address, "engine" => %self.settings.engine,
            "boot" => format!("{:016x}", self.identity.boot));
        let mut registry = metrics::registry();
        let metrics = Metrics::new(&mut registry);
        let client_limits = limits::process_limits(&self.settings.limits, &mut registry, &log);
        let metrics_handler = Arc::new(MetricsHandler::new(registry, log.clone()));
        let (metrics_server_guard, metrics_server_stop) = async_channel::bounded::<()>(1);
        let metrics_server = server::serve(
            Endpoint::limited(self.metrics_listener, &client_limits, Listener::Metrics),
            traffic.clone(),
            metrics_server_stop,
            metrics_handler,
        );
        traffic.spawn(metrics_server).detach();
        let (events_tx, events_rx) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let (verify_ownership_tx, verify_ownership_rx) = async_channel::bounded(1);
        let ownership_worker = OwnershipWorker {
            kv,
            node: self.identity.node.clone(),
            boot: self.identity.boot,
            // A predecessor ran on this host as well and has exited, so there is no
            // need to wait for its end.
            predecessor_timeout: Duration::ZERO,
            events: events_tx.clone(),
            log: log.clone(),
        };
        traffic
            .spawn(ownership_worker.run(verify_ownership_rx))
            .detach();
        let (orders_tx, orders_rx) = async_channel::unbounded();
        let (poll_tx, poll_rx) = async_channel::bounded(1);
        let context = ControlContext {
            traffic: traffic.clone(),
            events_tx: events_tx.clone(),
            orders_tx,
            poll_tx,
            verify_ownership_tx,
            load_in_progress: Arc::default(),
            metrics,
            log: log.clone(),
        };
        let worker = EngineWorker {
            engine,
            load_in_progress: context.load_in_progress.clone(),
            poll_rx,
            events_tx: events_tx.clone(),
            log: log.clone(),
        };
        traffic.spawn(worker.run(orders_rx)).detach();
        let control = Control::new(&self.settings, &self.identity, context, Instant::now());
        let (stop, stop_events_tx) = (self.program_context.stop, events_tx.clone());
        let forward_stop = async move {
            let _ = stop.recv().await;
            let _ = stop_events_tx.send(Event::Stop).await;
        };
        traffic.spawn(forward_stop).detach();
        let credentials = Arc::new(Credentials {
            identity: self.identity,
            key: SharedKey::new(&self.settings.shared_key),
        });
        let endpoint = Endpoint::limited(self.listener, &client_limits, Listener::Links);
        let accept = accept_entries(endpoint, credentials, traffic.clone(), events_tx, log);
        let accept_task = traffic.spawn(accept);
        control.run(events_rx).await;
        accept_task.cancel().await;
        drop(metrics_server_guard);
    }
}

async fn accept_entries(
    endpoint: Endpoint,
    credentials: Arc<Credentials>,
    traffic: dogwoodshunt_runtime::traffic::TrafficExecutor,
    events_tx: Sender<Event>,
    log: Logger,
) {
    loop {
        let Some((stream, account)) = endpoint.accept().await else {
            continue;
        };
        let (credentials, events_tx) = (credentials.clone(), events_tx.clone());
        let (handshake_traffic, log) = (traffic.clone(), log.clone());
        let perform_handshake = async move {
            match link::accept(stream, account, &credentials, &handshake_traffic, &log).await {
                Ok(link) => {
                    let _ = events_tx.send(Event::EntryConnected(link)).await;
                }
                Err(error) => warn!(log, "entry connection rejected"; "error" => %error),
            }
        };
        traffic.spawn(perform_handshake).detach();
    }
}
