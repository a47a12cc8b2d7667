//! Start and stop of an entry.

use crate::call::Calls;
use crate::control::Control;
use crate::control::Event;
use crate::control::Limits;
use crate::control::Surroundings;
use crate::control::status::Status;
use crate::metrics::Metrics;
use crate::ports::Decoder;
use crate::ports::Upstreams;
use crate::settings::GatewaySettings;
use crate::watch::Follower;
use crate::watch::Topic;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_routing::Router;
use dogwoodshunt_runtime::boot::draw_boot_id;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::listen::ListenError;
use dogwoodshunt_runtime::listen::listen;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::metrics::Exposition;
use dogwoodshunt_runtime::program::Surroundings as Program;
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

/// How long one watch of what operators write waits: a connection that has
/// gone silent must not hide a change for long.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_800);

/// Pause between two watches of the list of upstreams: it changes many times
/// a second, and a leaving upstream must be known within two.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(700);

/// Time after SIGTERM in which new connections are still taken: the platform
/// asks once a second and takes an entry out after two answers that it is not
/// ready.
const READY_LAG: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace at which the process ends whatever runs:
/// its threads may have to wait for the processor.
const GRACE_SLACK: Duration = Duration::from_millis(250);

/// The adapters to the platform that an entry runs with.
pub struct Adapters<K, D, U> {
    /// The platform's store.
    pub kv: Arc<K>,
    /// Reads its records.
    pub decoder: Arc<D>,
    /// Sends calls to upstreams.
    pub upstreams: Arc<U>,
    /// Settings as they change.
    pub changes: Receiver<GatewaySettings>,
}

/// An entry that is ready to run.
pub struct Gateway {
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the platform asks whether this entry is ready.
    pub ready: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    settings: GatewaySettings,
    callers_listener: TcpListener,
    ready_listener: TcpListener,
    metrics_listener: TcpListener,
    program: Program,
}

impl Gateway {
    /// Listens on the addresses of the settings; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn bind(settings: GatewaySettings, program: Program) -> Result<Self, ListenError> {
        let (callers_listener, callers) = listen(settings.listen_callers).await?;
        let (ready_listener, ready) = listen(settings.listen_ready).await?;
        let (metrics_listener, metrics) = listen(settings.listen_metrics).await?;
        Ok(Self {
            callers,
            ready,
            metrics,
            settings,
            callers_listener,
            ready_listener,
            metrics_listener,
            program,
        })
    }

    /// Runs until it is asked to stop and has answered what is in flight.
    ///
    /// `serve` makes the handler of callers' requests; the control state runs
    /// on the calling thread.
    pub async fn run<K, D, U, H>(
        self,
        adapters: Adapters<K, D, U>,
        serve: impl FnOnce(Calls<U>) -> H,
    ) where
        K: WatchKv,
        D: Decoder,
        U: Upstreams,
        H: Handler,
    {
        let Program {
            traffic, log, stop, ..
        } = self.program;
        let settings = self.settings;
        let me = Identity {
            node: settings.node.name.clone(),
            boot: draw_boot_id(),
            domain: settings.node.failure_domain.clone(),
        };
        info!(log, "started"; "callers" => %self.callers, "ready" => %self.ready,
            "boot" => format!("{:016x}", me.boot));
        let mut registry = metrics::registry();
        let counted = Metrics::new(&mut registry);
        let exposition = Arc::new(Exposition::new(registry, log.clone()));
        let (events, received) = async_channel::unbounded();
        let status = Arc::new(Status::default());
        for (topic, prefix, wait, pause) in [
            (
                Topic::Operator,
                D::OPERATOR_PREFIX,
                OPERATOR_WAIT,
                Duration::ZERO,
            ),
            (
                Topic::Upstreams,
                D::UPSTREAM_PREFIX,
                OPERATOR_WAIT,
                UPSTREAMS_PAUSE,
            ),
        ] {
            let follower = Follower {
                kv: adapters.kv.clone(),
                topic,
                prefix,
                wait,
                pause,
                events: events.clone(),
                log: log.clone(),
            };
            traffic.spawn(follower.work()).detach();
        }
        let (changes, changed) = (adapters.changes, events.clone());
        let follow = async move {
            while let Ok(settings) = changes.recv().await {
                let event = Event::Settings {
                    retry_ratio: settings.retry_ratio(),
                    retry_slack: settings.retries.slack,
                };
                if changed.send(event).await.is_err() {
                    return;
                }
            }
        };
        traffic.spawn(follow).detach();
        let calls = Calls {
            upstreams: adapters.upstreams,
            events: events.clone(),
            status: status.clone(),
            traffic: traffic.clone(),
            tickets: Arc::default(),
            metrics: counted.clone(),
            useful_objectives: settings.placing.useful_objectives,
            log: log.clone(),
        };
        let (refuse_new, no_more) = async_channel::bounded::<()>(1);
        let ready = Arc::new(Ready {
            status: status.clone(),
        });
        let serve_ready =
            server::serve(self.ready_listener, traffic.clone(), no_more.clone(), ready);
        traffic.spawn(serve_ready).detach();
        let serve_metrics = server::serve(
            self.metrics_listener,
            traffic.clone(),
            no_more.clone(),
            exposition,
        );
        traffic.spawn(serve_metrics).detach();
        let (answered, all_answered) = async_channel::bounded::<()>(1);
        let handler = Arc::new(serve(calls));
        let serve_callers = server::serve(
            self.callers_listener,
            traffic.clone(),
            no_more.clone(),
            handler,
        );
        let work = async move {
            serve_callers.await;
            drop(answered);
        };
        traffic.spawn(work).detach();
        let limits = Limits {
            domain: me.domain.clone(),
            agent_port: settings.agent_port,
            retry_ratio: settings.retry_ratio(),
            retry_slack: settings.retries.slack,
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
        };
        let router = Router::new(settings.routing(me.boot));
        let around = Surroundings {
            traffic: traffic.clone(),
            events: events.clone(),
            status: status.clone(),
            metrics: counted,
            credentials: Arc::new(Credentials {
                me,
                key: SharedKey::new(&settings.shared_key),
            }),
            log: log.clone(),
        };
        let control = Control::new(around, limits, adapters.decoder, router, Instant::now());
        let ended = wind_down(&settings, &status, stop, events, refuse_new, all_answered);
        let control = async {
            control.run(received).await;
            false
        };
        if ended.or(control).await {
            info!(log, "stopped");
        } else {
            warn!(log, "stopped by the end of the grace");
        }
    }
}

/// Leaves in order once `stop` closes; returns whether everything was answered.
async fn wind_down(
    settings: &GatewaySettings,
    status: &Status,
    stop: Receiver<()>,
    events: Sender<Event>,
    refuse_new: Sender<()>,
    all_answered: Receiver<()>,
) -> bool {
    let _ = stop.recv().await;
    let begun = Instant::now();
    let ends_at = begun + settings.grace().saturating_sub(GRACE_SLACK);
    status.set_leaving(ends_at);
    let _ = events.send(Event::Stop).await;
    Timer::at(begun + READY_LAG).await;
    drop(refuse_new);
    let answered = async {
        let _ = all_answered.recv().await;
        true
    };
    let over = async {
        Timer::at(ends_at).await;
        false
    };
    answered.or(over).await
}

/// Answers whether callers may be sent here, whatever is asked.
struct Ready {
    status: Arc<Status>,
}

impl Handler for Ready {
    async fn handle(&self, _req: Request<Incoming>) -> Response<AnswerBody> {
        if self.status.is_ready() {
            server::text(200, "ready")
        } else {
            server::text(503, "not ready")
        }
    }
}
