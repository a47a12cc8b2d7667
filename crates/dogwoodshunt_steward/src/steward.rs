//! Start of the process beside an engine.

use crate::control::Control;
use crate::control::Event;
use crate::control::Surroundings;
use crate::engine::Engine;
use crate::metrics::Metrics;
use crate::settings::StewardSettings;
use crate::worker::EngineWorker;

use async_channel::Sender;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_runtime::boot::draw_boot_id;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::metrics::Exposition;
use dogwoodshunt_runtime::ownership::OwnershipWorker;
use dogwoodshunt_runtime::program::Surroundings as Program;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Pause after a connection could not be accepted; out of files, it passes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Events that may wait for the control state.
const EVENT_QUEUE: usize = 4096;

/// A process beside an engine that is ready to run.
pub struct Steward {
    /// Address on which entries connect.
    pub address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    settings: StewardSettings,
    me: Identity,
    listener: TcpListener,
    metrics_listener: TcpListener,
    program: Program,
}

impl Steward {
    /// Listens on the address of the settings; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(settings: StewardSettings, program: Program) -> Result<Self, ListenError> {
        let (listener, address) = listen(settings.listen).await?;
        let (metrics_listener, metrics) = listen(settings.listen_metrics).await?;
        let me = Identity {
            node: settings.node.name.clone(),
            boot: draw_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        Ok(Self {
            address,
            metrics,
            settings,
            me,
            listener,
            metrics_listener,
            program,
        })
    }

    /// Runs the control state on the calling thread until it is asked to stop.
    pub async fn run<E: Engine, K: Kv>(self, engine: Arc<E>, kv: Arc<K>) {
        let (traffic, log) = (self.program.traffic.clone(), self.program.log.clone());
        info!(log, "started"; "listen" => %self.address, "engine" => %self.settings.engine,
            "boot" => format!("{:016x}", self.me.boot));
        let mut registry = metrics::registry();
        let counted = Metrics::new(&mut registry);
        let exposition = Arc::new(Exposition::new(registry, log.clone()));
        let (serving, no_more) = async_channel::bounded::<()>(1);
        let serve = server::serve(self.metrics_listener, traffic.clone(), no_more, exposition);
        traffic.spawn(serve).detach();
        let (events, received) = async_channel::bounded(EVENT_QUEUE);
        let (doubts, doubted) = async_channel::bounded(1);
        let owner = OwnershipWorker {
            kv,
            node: self.me.node.clone(),
            boot: self.me.boot,
            // A predecessor ran on this host too, and is gone.
            predecessor_pause: Duration::ZERO,
            events: events.clone(),
            log: log.clone(),
        };
        traffic.spawn(owner.work(doubted)).detach();
        let (orders, ordered) = async_channel::unbounded();
        let around = Surroundings {
            traffic: traffic.clone(),
            events: events.clone(),
            orders,
            doubts,
            expecting: Arc::default(),
            metrics: counted,
            log: log.clone(),
        };
        let worker = EngineWorker {
            engine,
            expecting: around.expecting.clone(),
            events: events.clone(),
            log: log.clone(),
        };
        traffic.spawn(worker.work(ordered)).detach();
        let control = Control::new(&self.settings, &self.me, around, Instant::now());
        let (stop, stopping) = (self.program.stop, events.clone());
        let wait = async move {
            let _ = stop.recv().await;
            let _ = stopping.send(Event::Stop).await;
        };
        traffic.spawn(wait).detach();
        let credentials = Arc::new(Credentials {
            me: self.me,
            key: SharedKey::new(&self.settings.shared_key),
        });
        let accept = accept_all(self.listener, credentials, traffic.clone(), events, log);
        let accepting = traffic.spawn(accept);
        control.run(received).await;
        accepting.cancel().await;
        drop(serving);
    }
}

async fn accept_all(
    listener: TcpListener,
    credentials: Arc<Credentials>,
    traffic: dogwoodshunt_runtime::traffic::Traffic,
    events: Sender<Event>,
    log: Logger,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (credentials, events) = (credentials.clone(), events.clone());
        let (threads, log) = (traffic.clone(), log.clone());
        let open = async move {
            match link::accept(stream, &credentials, &threads, &log).await {
                Ok(link) => {
                    let _ = events.send(Event::LinkUp(link)).await;
                }
                Err(error) => warn!(log, "connection refused"; "error" => %error),
            }
        };
        traffic.spawn(open).detach();
    }
}
