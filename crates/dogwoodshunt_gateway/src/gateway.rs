//! Startup and graceful shutdown of an entry.

use crate::call::CallHandler;
use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::control::ControlSettings;
use crate::control::shared_state::SharedState;
use crate::control::shared_state::Shutdown;
use crate::currency_gate::CurrencyGate;
use crate::metrics::Metrics;
use crate::platform::RecordDecoder;
use crate::platform::UpstreamClient;
use crate::proof_requests::ProofRequester;
use crate::proof_requests::WatchProofs;
use crate::settings::GatewaySettings;
use crate::watch::PrefixWatcher;
use crate::watch::Topic;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Endpoint;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_limits::Listener;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::boot_clock::BootClock;
use dogwoodshunt_runtime::limits;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::metrics::MetricsHandler;
use dogwoodshunt_runtime::nondeterminism::generate_boot_id;
use dogwoodshunt_runtime::program::ProgramContext;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use slog::info;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time in which the last responses leave the process before it exits.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);

/// Implementations that connect an entry to one platform.
pub struct PlatformIntegration<K, D, U> {
    /// Client of the platform's store.
    pub kv: Arc<K>,
    /// Decodes the records of the store.
    pub decoder: Arc<D>,
    /// Sends calls to upstreams.
    pub upstream_client: Arc<U>,
    /// Receives the complete settings whenever they change. The control state
    /// applies only the limits on retries.
    pub settings_changes: Receiver<GatewaySettings>,
}

/// Entry whose listeners are bound; [`Gateway::run`] starts it.
pub struct Gateway {
    /// Address to which callers connect.
    pub callers_address: SocketAddr,
    /// Address of the readiness probe.
    pub readiness_address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    settings: GatewaySettings,
    callers_listener: TcpListener,
    readiness_listener: TcpListener,
    metrics_listener: TcpListener,
    program: ProgramContext,
}

impl Gateway {
    /// Binds the addresses given in the settings; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses cannot be bound.
    pub async fn bind(
        settings: GatewaySettings,
        program: ProgramContext,
    ) -> Result<Self, ListenError> {
        let (callers_listener, callers_address) = listen(settings.listen_callers).await?;
        let (readiness_listener, readiness_address) = listen(settings.listen_ready).await?;
        let (metrics_listener, metrics_address) = listen(settings.listen_metrics).await?;
        Ok(Self {
            callers_address,
            readiness_address,
            metrics_address,
            settings,
            callers_listener,
            readiness_listener,
            metrics_listener,
            program,
        })
    }

    /// Runs the entry until the program is told to stop and all requests in
    /// flight have been answered, or until the grace period ends.
    ///
    /// `create_handler` creates the handler of callers' HTTP requests. The control
    /// state runs on the calling thread.
    pub async fn run<K, D, U, H>(
        self,
        platform: PlatformIntegration<K, D, U>,
        create_handler: impl FnOnce(CallHandler<U>) -> H,
    ) where
        K: WatchKv,
        D: RecordDecoder,
        U: UpstreamClient,
        H: Handler,
    {
        let ProgramContext {
            traffic, log, stop, ..
        } = self.program;
        let settings = self.settings;
        let identity = Identity {
            node: settings.node.name.clone(),
            boot: generate_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        info!(log, "started"; "callers" => %self.callers_address,
            "ready" => %self.readiness_address,
            "boot" => format!("{:016x}", identity.boot));
        let mut registry = metrics::registry();
        let entry_metrics = Metrics::new(&mut registry);
        let client_limits = limits::process_limits(&settings.limits, &mut registry, &log);
        let metrics_handler = Arc::new(MetricsHandler::new(registry, log.clone()));
        let (events, event_rx) = async_channel::unbounded();
        let currency = CurrencyGate::new(settings.revocation_limit(), Arc::new(|| BootClock.now()));
        let shared_state = Arc::new(SharedState::new(currency));
        let proofs = Arc::new(WatchProofs::new(shared_state.clone()));
        for (topic, prefix, watch_timeout, watch_delay, proofs) in [
            (
                Topic::Operator,
                D::OPERATOR_PREFIX,
                settings.operator_watch_timeout(),
                Duration::ZERO,
                Some(proofs.clone()),
            ),
            (
                Topic::Upstreams,
                D::UPSTREAM_PREFIX,
                settings.change_limits.watch_timeout(),
                settings.change_limits.list_watch_delay(),
                None,
            ),
        ] {
            let watcher = PrefixWatcher {
                kv: platform.kv.clone(),
                topic,
                prefix,
                watch_timeout,
                watch_delay,
                proofs,
                events: events.clone(),
                log: log.clone(),
            };
            traffic.spawn(watcher.run()).detach();
        }
        let requester = ProofRequester {
            kv: platform.kv.clone(),
            prefix: D::OPERATOR_PREFIX,
            proofs,
            events: events.clone(),
            traffic: traffic.clone(),
            metrics: entry_metrics.clone(),
        };
        traffic.spawn(requester.run()).detach();
        let (settings_changes, settings_events) = (platform.settings_changes, events.clone());
        let forward_settings = async move {
            while let Ok(settings) = settings_changes.recv().await {
                let event = ControlEvent::SettingsChanged {
                    retry_ratio: settings.retry_ratio(),
                    retry_slack: settings.retries.slack,
                };
                if settings_events.send(event).await.is_err() {
                    return;
                }
            }
        };
        traffic.spawn(forward_settings).detach();
        let call_handler = CallHandler {
            upstream_client: platform.upstream_client,
            events: events.clone(),
            shared_state: shared_state.clone(),
            traffic: traffic.clone(),
            placement_ids: Arc::default(),
            metrics: entry_metrics.clone(),
            useful_objectives: settings.placing.useful_objectives,
            client_limits: client_limits.clone(),
            log: log.clone(),
        };
        // Nothing is sent on the next two channels. Dropping `stop_listeners` makes
        // all servers stop; `connections_drained` closes with the last caller's
        // connection.
        let (stop_listeners, listeners_stopped) = async_channel::bounded::<()>(1);
        let readiness_handler = Arc::new(ReadinessHandler {
            shared_state: shared_state.clone(),
        });
        let serve_readiness = server::serve(
            Endpoint::limited(self.readiness_listener, &client_limits, Listener::Readiness),
            traffic.clone(),
            listeners_stopped.clone(),
            readiness_handler,
        );
        traffic.spawn(serve_readiness).detach();
        let serve_metrics = server::serve(
            Endpoint::limited(self.metrics_listener, &client_limits, Listener::Metrics),
            traffic.clone(),
            listeners_stopped.clone(),
            metrics_handler,
        );
        traffic.spawn(serve_metrics).detach();
        let (connections_open, connections_drained) = async_channel::bounded::<()>(1);
        let handler = Arc::new(create_handler(call_handler));
        let serve_callers = server::serve(
            Endpoint::limited(self.callers_listener, &client_limits, Listener::Callers),
            traffic.clone(),
            listeners_stopped.clone(),
            handler,
        );
        let serve_until_drained = async move {
            serve_callers.await;
            drop(connections_open);
        };
        traffic.spawn(serve_until_drained).detach();
        let control_settings = ControlSettings {
            domain: identity.domain.clone(),
            agent_port: settings.agent_port,
            retry_ratio: settings.retry_ratio(),
            retry_slack: settings.retries.slack,
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            quota_allowance: settings.quota_allowance(),
        };
        let router = Router::new(settings.router_settings(identity.boot));
        let context = ControlContext {
            traffic: traffic.clone(),
            events: events.clone(),
            shared_state: shared_state.clone(),
            metrics: entry_metrics,
            credentials: Arc::new(Credentials {
                identity,
                key: SharedKey::new(&settings.shared_key),
            }),
            log: log.clone(),
        };
        let control = Control::new(
            context,
            control_settings,
            platform.decoder,
            router,
            Instant::now(),
        );
        let drained = drain(
            &settings,
            &shared_state,
            stop,
            events,
            stop_listeners,
            connections_drained,
        );
        let control = async {
            control.run(event_rx).await;
            false
        };
        if drained.or(control).await {
            info!(log, "stopped");
        } else {
            warn!(log, "stopped at the end of the grace period");
        }
    }
}

/// Shuts the entry down gracefully once `stop` closes: reports not ready,
/// accepts connections until [`Shutdown::drains_until`], then waits for the requests
/// in flight. Returns whether all of them were answered before the grace period
/// ended; the others end with it.
async fn drain(
    settings: &GatewaySettings,
    shared_state: &SharedState,
    stop: Receiver<()>,
    events: Sender<ControlEvent>,
    stop_listeners: Sender<()>,
    connections_drained: Receiver<()>,
) -> bool {
    let _ = stop.recv().await;
    let shutdown = Shutdown::new(Instant::now(), settings.grace_period());
    shared_state.set_shutting_down(shutdown);
    let _ = events.send(ControlEvent::Stop).await;
    Timer::at(shutdown.drains_until).await;
    drop(stop_listeners);
    let drained_by = async |deadline| {
        let drained = async {
            let _ = connections_drained.recv().await;
            true
        };
        let passed = async {
            Timer::at(deadline).await;
            false
        };
        drained.or(passed).await
    };
    if drained_by(shutdown.exits_at).await {
        return true;
    }
    shared_state.end_requests();
    drained_by(shutdown.exits_at + LAST_RESPONSES_TIME).await;
    false
}

/// Answers every request on the readiness address with 200 or 503.
struct ReadinessHandler {
    shared_state: Arc<SharedState>,
}

impl Handler for ReadinessHandler {
    async fn handle(&self, _req: Request<Incoming>) -> Response<ResponseBody> {
        if self.shared_state.is_ready() {
            server::text(200, "ready")
        } else {
            server::text(503, "not ready")
        }
    }
}
