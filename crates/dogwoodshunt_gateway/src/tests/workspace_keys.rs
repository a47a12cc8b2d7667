//! Checks of the key of a request on each path that a send can take, without network connections.

use super::config;
use crate::call::Call;
use crate::call::CallHandler;
use crate::call::CallResponse;
use crate::call::ModelRequest;
use crate::control::ControlEvent;
use crate::control::Grant;
use crate::control::SelectedUpstream;
use crate::control::shared_state::SharedState;
use crate::currency_gate::CurrencyGate;
use crate::metrics::Metrics;
use crate::platform::Dispatch;
use crate::platform::UpstreamClient;
use crate::platform::UpstreamResponse;
use async_channel::Receiver;
use dogwoodshunt_border::http::connection_pool::NotSentCause;
use dogwoodshunt_border::http::connection_pool::SendError;
use dogwoodshunt_border::http::limits::ProcessLimits;
use dogwoodshunt_limits::Limits;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_serving::Route;
use dogwoodshunt_serving::config::RouteKind;
use dogwoodshunt_serving::config::RouteTable;
use dogwoodshunt_serving::config::WeightedService;
use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_workspaces::KeyDigest;
use dogwoodshunt_workspaces::RevocationLimit;
use dogwoodshunt_workspaces::Workspace;
use hyper::HeaderMap;
use hyper::Method;
use rstest::rstest;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

const REVOCATION: Duration = Duration::from_secs(5);

/// Upstreams that nothing reaches, or that lose the response to what they receive.
struct TestUpstreams {
    loses_responses: bool,
    /// Names of the workspaces of the sends.
    sent_for: Mutex<Vec<Option<Box<str>>>>,
}

impl UpstreamClient for TestUpstreams {
    async fn send(&self, _: &Call, dispatch: &Dispatch) -> Result<UpstreamResponse, SendError> {
        let workspace = dispatch.caller.workspace().map(|w| w.name.clone());
        self.sent_for.lock().unwrap().push(workspace);
        let (peer, message) = (dispatch.address, "test".into());
        Err(match self.loses_responses {
            true => SendError::Lost { peer, message },
            false => SendError::NotSent {
                peer,
                cause: NotSentCause::Refused,
                message,
            },
        })
    }

    async fn wait_for_sign_of_life(&self, _: SocketAddr) {}

    async fn process_started(&self, _: SocketAddr) -> Option<UnixMillis> {
        None
    }
}

/// Handler of requests whose clock, configuration and control thread the test plays.
struct TestHandler {
    handler: Arc<CallHandler<TestUpstreams>>,
    events: Receiver<ControlEvent>,
    millis: Arc<AtomicU64>,
}

/// Number by which the task that confirms unknown keys calls the disturbance.
const CONFIRMATION: u32 = u32::MAX;

/// Path of the public route; all other paths need a key.
const PUBLIC_PATH: &str = "/public";

fn workspaces(keys: &[(&str, &str)]) -> Vec<Workspace> {
    let workspaces = keys.iter().map(|(name, key)| Workspace {
        name: (*name).into(),
        keys: vec![KeyDigest::of(key)],
        rank: None,
        quota: None,
    });
    workspaces.collect()
}

/// Returns routes to the services of the test configuration.
fn route_table(revision: u64, keys: &[(&str, &str)]) -> RouteTable {
    let mut config = config(revision);
    let route = |path: &str, service: &str, kind| Route {
        name: path.into(),
        host: "h".into(),
        path_prefix: path.into(),
        kind,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_secs(1),
        rank: 1,
        max_attempts: 3,
        is_public: path == PUBLIC_PATH,
        weighted_services: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
    };
    let stream = RouteKind::Stream {
        resumable: true,
        max_event_gap: Duration::from_secs(1),
    };
    config.routes = vec![
        route("/plain", "records", RouteKind::Idempotent),
        route(PUBLIC_PATH, "records", RouteKind::Idempotent),
        route("/model", "models", stream),
    ];
    config.workspaces = Some(workspaces(keys));
    RouteTable::new(config)
}

impl TestHandler {
    /// Creates a handler with revision 1, in which the workspace `ash` has the key `k`, and with a
    /// proof as of now.
    fn new(loses_responses: bool) -> Self {
        let millis = Arc::new(AtomicU64::new(1_000));
        let clock = millis.clone();
        let time_source =
            move || BootTime::new(Duration::from_millis(clock.load(Ordering::Relaxed)));
        let gate = CurrencyGate::new(
            Some(RevocationLimit::new(REVOCATION)),
            Arc::new(time_source),
        );
        let shared_state = Arc::new(SharedState::new(gate));
        let (events_tx, events) = async_channel::unbounded();
        let handler = CallHandler {
            upstream_client: Arc::new(TestUpstreams {
                loses_responses,
                sent_for: Mutex::default(),
            }),
            events: events_tx,
            shared_state,
            traffic: TrafficExecutor::default(),
            placement_ids: Arc::default(),
            metrics: Metrics::new(&mut metrics::registry()),
            useful_objectives: 1.4,
            client_limits: ProcessLimits::new(Limits::of_host(64 << 20, 1_000), Box::new(|_| {})),
            log: telemetry::discard_logger(),
        };
        let test = Self {
            handler: Arc::new(handler),
            events,
            millis,
        };
        test.put_config(1, &[("ash", "k")]);
        test.prove();
        // A request that arrives now is later than the proof.
        test.pass(Duration::from_millis(1));
        test
    }

    fn put_config(&self, revision: u64, keys: &[(&str, &str)]) {
        let shared_state = &self.handler.shared_state;
        shared_state.set_routes(route_table(revision, keys));
        shared_state.currency.on_config_read(0, revision);
    }

    /// Notes that the store has answered a request that is sent now.
    fn prove(&self) {
        let currency = &self.handler.shared_state.currency;
        currency.on_answer(currency.now(), 0);
    }

    fn pass(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.millis.fetch_add(millis, Ordering::Relaxed);
    }

    /// Returns the response to a request, while the control thread selects an upstream each time
    /// and `disturb` acts before the selection with the given number, from 0.
    fn serve(&self, path: &str, key: Option<&str>, disturb: impl Fn(&Self, u32)) -> CallResponse {
        let call = Call {
            id: "q".into(),
            host: "h".into(),
            path: path.into(),
            method: Method::GET,
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            arrived: Instant::now(),
            caller_timeout: None,
            model: (path == "/model").then(|| ModelRequest {
                base_model: "base".into(),
                adapter: None,
                demand: Demand::default(),
            }),
            resume_after: None,
            resumes: None,
            key: key.map(KeyDigest::of),
            stated_tokens: None,
        };
        let control = async {
            let mut selections = 0;
            while let Ok(event) = self.events.recv().await {
                if matches!(
                    event,
                    ControlEvent::SelectUpstream { .. } | ControlEvent::Place { .. }
                ) {
                    disturb(self, selections);
                    selections += 1;
                }
                answer(event);
            }
            unreachable!("the handler keeps the channel open")
        };
        // Plays the task that confirms unknown keys.
        let confirm = async {
            loop {
                self.handler.shared_state.currency.extra_request().await;
                disturb(self, CONFIRMATION);
            }
        };
        smol::block_on(self.handler.serve(call).or(control).or(confirm))
    }

    fn sent_for(&self) -> Vec<Option<Box<str>>> {
        let upstreams = &self.handler.upstream_client;
        upstreams.sent_for.lock().unwrap().clone()
    }
}

/// Answers an event as a control thread that always finds an upstream.
fn answer(event: ControlEvent) {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    match event {
        ControlEvent::SelectUpstream { reply_tx, .. } => {
            let selected = SelectedUpstream {
                upstream: "plain-1".into(),
                address,
                started: 1,
                software: None,
                rate_limited: false,
            };
            let _ = reply_tx.try_send(Ok(selected));
        }
        ControlEvent::Place { reply_tx, .. } => {
            // The sender lives as long as the test, so the agent is never silent.
            let (silent, agent_silent) = async_channel::bounded(1);
            std::mem::forget(silent);
            let grant = Grant {
                request: RequestId {
                    entry_boot: 1,
                    number: 1,
                },
                upstream: "engine-1".into(),
                address,
                started: 1,
                software: None,
                target: Target::BaseModel("base".into()),
                rate_limited: false,
                is_process_seen: true,
                agent_silent,
            };
            let _ = reply_tx.try_send(Ok(grant));
        }
        ControlEvent::TakeRetry { reply_tx, .. } => {
            let _ = reply_tx.try_send(true);
        }
        _ => {}
    }
}

fn is_unconfirmed(response: &CallResponse) -> bool {
    matches!(response, CallResponse::NotRun(not_run)
        if not_run.reason == NotRunReason::KeyUnconfirmed && !not_run.retry_after.is_zero())
}

/// Guards against a request that is accepted without proof, and public routes that need one.
#[rstest]
fn accepted_request_needs_a_proof(#[values("/plain", "/model")] path: &str) {
    let test = TestHandler::new(true);
    test.pass(REVOCATION);
    assert!(is_unconfirmed(&test.serve(path, Some("k"), |_, _| {})));
    assert!(is_unconfirmed(&test.serve(path, Some("?"), |_, _| {})));
    assert_eq!(test.sent_for(), []);
    assert!(matches!(
        test.serve(PUBLIC_PATH, None, |_, _| {}),
        CallResponse::Lost(_)
    ));
    assert_eq!(test.sent_for()[0], None);
    assert!(matches!(
        test.serve(PUBLIC_PATH, Some("k"), |_, _| {}),
        CallResponse::Lost(_)
    ));
}

/// Guards against the first send of a request that waited for an upstream until the proof lapsed.
#[rstest]
fn proof_is_checked_before_the_first_send(#[values("/plain", "/model")] path: &str) {
    let test = TestHandler::new(true);
    let response = test.serve(path, Some("k"), |test, selection| {
        if selection == 0 {
            test.pass(REVOCATION);
        }
    });
    assert!(is_unconfirmed(&response));
    assert_eq!(test.sent_for(), []);
}

/// Guards against another send, after one that reached no upstream, without proof.
#[rstest]
fn proof_is_checked_before_a_send_to_another_upstream(#[values("/plain", "/model")] path: &str) {
    let test = TestHandler::new(false);
    let response = test.serve(path, Some("k"), |test, selection| {
        if selection == 1 {
            test.pass(REVOCATION);
        }
    });
    assert!(is_unconfirmed(&response));
    assert_eq!(test.sent_for(), [Some("ash".into())]);
}

/// Guards against a repetition without proof, and against the claim that the request has not run.
#[rstest]
fn request_that_may_have_run_is_not_repeated_without_proof(
    #[values("/plain", "/model")] path: &str,
) {
    let test = TestHandler::new(true);
    let response = test.serve(path, Some("k"), |test, selection| {
        if selection == 1 {
            test.pass(REVOCATION);
        }
    });
    assert!(matches!(response, CallResponse::Lost(_)));
    assert_eq!(test.sent_for(), [Some("ash".into())]);
}

/// Guards against a key that is taken away while its request waits.
#[rstest]
fn request_whose_key_is_taken_away_while_it_waits_is_refused(
    #[values("/plain", "/model")] path: &str,
) {
    let test = TestHandler::new(true);
    let response = test.serve(path, Some("k"), |test, selection| match selection {
        CONFIRMATION => test.prove(),
        _ => test.put_config(2, &[("ash", "other")]),
    });
    assert!(matches!(response, CallResponse::UnknownKey));
    assert_eq!(test.sent_for(), []);
}

/// Guards against a run under the workspace that the key no longer belongs to.
#[rstest]
fn request_whose_key_moves_to_another_workspace_does_not_run_under_the_old_one(
    #[values("/plain", "/model")] path: &str,
) {
    let test = TestHandler::new(true);
    let response = test.serve(path, Some("k"), |test, selection| {
        if selection == 0 {
            test.put_config(2, &[("oak", "k")]);
        }
    });
    assert!(is_unconfirmed(&response));
    assert_eq!(test.sent_for(), []);
}

/// Guards against a false 401: the key is in the configuration that the confirmation brings.
#[test]
fn key_that_the_confirmation_brings_is_served() {
    let test = TestHandler::new(true);
    let response = test.serve("/plain", Some("new"), |test, selection| {
        if selection == CONFIRMATION {
            test.put_config(2, &[("oak", "new")]);
            test.prove();
        }
    });
    assert!(matches!(response, CallResponse::Lost(_)));
    assert_eq!(test.sent_for()[0], Some("oak".into()));
}

/// Guards against a 401 without confirmation.
#[test]
fn unknown_key_that_is_not_confirmed_gets_no_401() {
    let test = TestHandler::new(true);
    let started_at = Instant::now();
    assert!(is_unconfirmed(&test.serve(
        "/plain",
        Some("new"),
        |_, _| {}
    )));
    assert!(started_at.elapsed() < Duration::from_secs(4));
}
