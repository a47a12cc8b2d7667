//! Tests of the control state, without network connections.

mod abandoned_selections;
mod announcements;
mod fair_shares;
mod lost_requests;
mod overview;
mod quarantine;
mod quotas;
mod rate_limits;
mod reachability;
mod records;
mod restore;
mod services;
mod shutdown;
mod sse;
mod stream_origins;
mod versions;
mod watch;
mod watch_only;
mod watch_proofs;
mod workspace_keys;

use crate::control::Control;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::control::ControlSettings;
use crate::control::Grant;
use crate::control::PlacementRequest;
use crate::control::RunEnd;
use crate::control::SelectedUpstream;
use crate::control::shared_state::SharedState;
use crate::control::shared_state::Shutdown;
use crate::metrics::Metrics;
use crate::platform::DecodedRecord;
use crate::platform::RecordDecoder;
use crate::settings::ChangeLimits;
use crate::watch::Topic;
use async_channel::Receiver;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_quotas::QuotaAllowance;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_routing::RouterSettings;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::config::CallerLimits;
use dogwoodshunt_serving::config::Service;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use dogwoodshunt_workspaces::Quota;
use dogwoodshunt_workspaces::Workspace;
use dogwoodshunt_workspaces::workspace::QuotaUnit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Decodes records of the form `config NUMBER [other|quota]`, `version ADAPTER@VERSION` and
/// `upstream SERVICE HOST STATE [STARTED SOFTWARE]`.
struct TestDecoder;

impl RecordDecoder for TestDecoder {
    const OPERATOR_PREFIX: &'static str = "op/";
    const UPSTREAM_PREFIX: &'static str = "up/";

    fn decode(&self, record: &Record) -> DecodedRecord {
        let text = String::from_utf8_lossy(&record.value).into_owned();
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["config", number] => DecodedRecord::Config(Box::new(config(number.parse().unwrap()))),
            ["config", number, "other"] => {
                let mut config = config(number.parse().unwrap());
                config.services[0].max_connections += 1;
                DecodedRecord::Config(Box::new(config))
            }
            ["config", number, "quota"] => {
                let mut config = config(number.parse().unwrap());
                config.workspaces = Some(vec![workspace_with_quota()]);
                DecodedRecord::Config(Box::new(config))
            }
            ["version", adapter] => DecodedRecord::Version(AdapterRef::parse(adapter).unwrap()),
            ["upstream", service, host, state, ref software @ ..] => {
                let started = software
                    .first()
                    .map_or(1, |started| started.parse().unwrap());
                DecodedRecord::Upstream(ListedUpstream {
                    name: self.upstream_name(&record.key),
                    service: service.into(),
                    address: SocketAddr::from(([127, 0, 0, host.parse().unwrap()], 80)),
                    domain: "a".into(),
                    started,
                    software: software.get(1).map(|version| (*version).into()),
                    leaving: state == "leaving",
                })
            }
            _ => DecodedRecord::Unreadable("unknown record type".into()),
        }
    }

    fn upstream_name(&self, key: &str) -> UpstreamName {
        key.trim_start_matches("up/").into()
    }
}

fn workspace_with_quota() -> Workspace {
    Workspace {
        name: "w".into(),
        keys: Vec::new(),
        rank: None,
        quota: Some(Quota {
            rate_per_second: 1_000,
            burst: 1_000,
            unit: QuotaUnit::Requests,
        }),
    }
}

fn config(revision: u64) -> Config {
    let engine = EngineConfig {
        base_model: "base".into(),
        batch: 8,
        kv_tokens: 100_000,
        slots: 4,
    };
    Config {
        revision,
        routes: Vec::new(),
        services: vec![
            Service {
                name: "models".into(),
                max_connections: 10,
                engine: Some(engine.clone()),
            },
            Service {
                name: "models-next".into(),
                max_connections: 10,
                engine: Some(engine),
            },
            Service {
                name: "records".into(),
                max_connections: 10,
                engine: None,
            },
        ],
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        workspaces: None,
    }
}

/// Control state of an entry and the receiving ends of its agents' channels.
struct TestEntry {
    control: Control<TestDecoder>,
    shared_state: Arc<SharedState>,
    now: Instant,
    agents: Vec<(AgentKey, Receiver<Frame>)>,
    revision: i64,
    last_placement_id: u64,
    /// Start time of the engine's process in the next admissions.
    admitted_started: u64,
}

impl TestEntry {
    /// Creates an entry with one plain upstream and two engines whose agents
    /// are connected.
    fn new() -> Self {
        let shared_state = Arc::new(SharedState::default());
        let identity = identity("entry");
        let context = ControlContext {
            traffic: TrafficExecutor::default(),
            events: async_channel::unbounded().0,
            shared_state: shared_state.clone(),
            metrics: Metrics::new(&mut metrics::registry()),
            credentials: Arc::new(Credentials {
                identity,
                key: SharedKey::new("a key of a test, long enough"),
            }),
            log: telemetry::discard_logger(),
        };
        let control_settings = ControlSettings {
            domain: "a".into(),
            agent_port: 7,
            retry_ratio: 0.0,
            retry_slack: 10.0,
            heartbeat_interval: Duration::from_millis(100),
            quota_allowance: QuotaAllowance {
                slack: 50,
                window_s: 0,
            },
        };
        let now = Instant::now();
        let router = Router::new(RouterSettings::builder().batch_weight(0.0).build());
        let control = Control::new(
            context,
            control_settings,
            Arc::new(TestDecoder),
            router,
            now,
        );
        let mut entry = Self {
            control,
            shared_state,
            now,
            agents: Vec::new(),
            revision: 0,
            last_placement_id: 0,
            admitted_started: 0,
        };
        entry.put_record(Topic::Operator, "op/config", "config 1");
        let records = [
            ("up/engine-1", "upstream models 1 ready"),
            ("up/engine-2", "upstream models 2 ready"),
            ("up/plain-1", "upstream records 9 ready"),
        ];
        let records = records.map(|(key, value)| record(key, value, 1)).to_vec();
        entry.handle(ControlEvent::StoreListed {
            topic: Topic::Upstreams,
            listing: Listing {
                records,
                position: StorePosition {
                    era: 0,
                    revision: 1,
                },
            },
        });
        for agent in entry.control.agent_keys() {
            entry.connect_agent(agent);
        }
        entry
    }

    fn handle(&mut self, event: ControlEvent) {
        self.control.handle(self.now, event);
        self.control.tick(self.now);
    }

    fn put_record(&mut self, topic: Topic, key: &str, value: &str) {
        self.revision += 1;
        let changes = vec![KeyChange::Put(record(key, value, self.revision))];
        self.handle(ControlEvent::StoreChanged { topic, changes });
    }

    fn connect_agent(&mut self, agent: AgentKey) {
        let (tx, frame_rx) = async_channel::unbounded();
        let identity = identity("agent");
        self.handle(ControlEvent::AgentConnected {
            agent,
            identity,
            tx,
        });
        self.agents.push((agent, frame_rx));
        self.receive_heartbeat(agent, |_| {});
    }

    fn receive_heartbeat(&mut self, agent: AgentKey, modify: impl FnOnce(&mut Heartbeat)) {
        let mut heartbeat = Heartbeat {
            report: Some(ReportUpdate::Full(report(&["a@1"]))),
            connected_entries: 1,
            ..Heartbeat::default()
        };
        modify(&mut heartbeat);
        let frame = Frame::Heartbeat(Box::new(heartbeat));
        self.handle(ControlEvent::Frame { agent, frame });
    }

    fn place(&mut self, adapter: &str) -> (u64, Receiver<Result<Grant, NotRun>>) {
        self.place_beside(adapter, &[])
    }

    /// Places a request that has not reached the engines `excluded`.
    fn place_beside(
        &mut self,
        adapter: &str,
        excluded: &[&str],
    ) -> (u64, Receiver<Result<Grant, NotRun>>) {
        self.place_with(adapter, |req| {
            req.excluded = excluded.iter().map(|name| (*name).into()).collect();
        })
    }

    /// Places a default request changed by `modify`.
    fn place_with(
        &mut self,
        adapter: &str,
        modify: impl FnOnce(&mut PlacementRequest),
    ) -> (u64, Receiver<Result<Grant, NotRun>>) {
        self.last_placement_id += 1;
        let (reply_tx, grant_rx) = async_channel::bounded(1);
        let mut req = PlacementRequest {
            id: format!("q{}", self.last_placement_id).into(),
            fingerprint: self.last_placement_id,
            service: "models".into(),
            base_model: "base".into(),
            adapter: Some(adapter.into()),
            workspace: None,
            max_event_gap: None,
            demand: Demand::default(),
            software: None,
            excluded: Vec::new(),
            is_repeat: false,
            slo_deadline: self.now + Duration::from_secs(1),
            useful_until: self.now + Duration::from_secs(2),
        };
        modify(&mut req);
        let placement_id = self.last_placement_id;
        self.handle(ControlEvent::Place {
            placement_id,
            req: Box::new(req),
            reply_tx,
        });
        (placement_id, grant_rx)
    }

    /// Returns the frames sent to agents since the last call, except heartbeats
    /// and upstream configurations.
    fn take_sent_frames(&self) -> Vec<(AgentKey, Frame)> {
        let drain_frames = |(agent, frame_rx): &(AgentKey, Receiver<Frame>)| {
            let frames = std::iter::from_fn(|| frame_rx.try_recv().ok());
            let frames =
                frames.filter(|f| !matches!(f, Frame::Heartbeat(_) | Frame::UpstreamConfig(_)));
            frames.map(|frame| (*agent, frame)).collect::<Vec<_>>()
        };
        self.agents.iter().flat_map(drain_frames).collect()
    }

    fn expect_admit(&self) -> (AgentKey, Admit) {
        let mut sent = self.take_sent_frames();
        assert_eq!(sent.len(), 1, "{sent:?}");
        match sent.remove(0) {
            (agent, Frame::Admit(admit)) => (agent, *admit),
            other => panic!("expected an Admit frame, got {other:?}"),
        }
    }

    /// Returns the name of the listed engine of an agent.
    fn engine_of(&self, agent: AgentKey) -> UpstreamName {
        let agents = self.control.agent_keys();
        let index = agents.iter().position(|key| *key == agent).unwrap();
        format!("engine-{}", index + 1).into()
    }

    fn receive_admitted(&mut self, agent: AgentKey, admit: &Admit) {
        let frame = Frame::Admitted {
            request: admit.request,
            upstream: self.engine_of(agent),
            started: self.admitted_started,
            service: Some("models".into()),
            target: admit.target.clone(),
        };
        self.handle(ControlEvent::Frame { agent, frame });
    }

    fn receive_declined(&mut self, agent: AgentKey, request: RequestId, reason: NotRunReason) {
        let not_run = NotRun::new(reason, Duration::from_millis(300));
        let frame = Frame::NotRun { request, not_run };
        self.handle(ControlEvent::Frame { agent, frame });
    }

    fn select_upstream(&mut self) -> Result<SelectedUpstream, NotRun> {
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        self.handle(ControlEvent::SelectUpstream {
            service: "records".into(),
            fingerprint: 0,
            workspace: None,
            excluded: Vec::new(),
            software: None,
            reply_tx,
        });
        selection_rx.try_recv().unwrap()
    }

    fn may_retry(&mut self) -> bool {
        let (reply_tx, decision_rx) = async_channel::bounded(1);
        let service = "records".into();
        self.handle(ControlEvent::TakeRetry {
            service,
            fingerprint: 0,
            reply_tx,
        });
        decision_rx.try_recv().unwrap()
    }
}

fn identity(node: &str) -> Identity {
    Identity {
        node: node.into(),
        boot: 3,
        domain: "a".into(),
    }
}

fn record(key: &str, value: &str, mod_revision: i64) -> Record {
    Record {
        key: key.into(),
        value: value.into(),
        mod_revision,
        era: 0,
    }
}

fn report(ready: &[&str]) -> Report {
    let ready = ready.iter().map(|text| AdapterRef::parse(text).unwrap());
    Report {
        upstreams: vec![UpstreamReport {
            name: "engine".into(),
            serves: Served::BaseModel("base".into()),
            takes_work: true,
            running: 0,
            batch: 8,
            slots: 4,
            ready: ready.collect(),
            loading: Vec::new(),
            kv_tokens: 100_000,
            rate_limit: None,
            waits_for_rate: false,
            engine: Some(EngineLoad {
                prefill_tokens_per_second: 30_000,
                free_slots: 4,
                ..EngineLoad::default()
            }),
        }],
        ..Report::default()
    }
}

#[test]
fn grant_names_upstream_and_address_of_engine() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    assert!(grant_rx.is_empty());
    // The agent names the process that it sees, which need not be listed yet.
    entry.admit_at(agent, &admit, "engine-x", Some("models"));
    let grant = grant_rx.try_recv().unwrap().unwrap();
    assert_eq!(&*grant.upstream, "engine-x");
    assert_eq!(grant.address.port(), 80);
}

#[test]
fn declined_placement_is_refused_after_all_agents_were_asked() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("a");
    let (first_agent, admit) = entry.expect_admit();
    entry.receive_declined(first_agent, admit.request, NotRunReason::Overloaded);
    let (second_agent, admit) = entry.expect_admit();
    assert_ne!(first_agent, second_agent);
    entry.receive_declined(second_agent, admit.request, NotRunReason::Overloaded);
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    let expected = NotRun::new(NotRunReason::Overloaded, Duration::from_millis(300));
    assert_eq!(refusal, expected);
}

#[test]
fn callers_whom_all_agents_decline_learn_the_shortest_wait() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("a");
    for wait_ms in [400, 700] {
        let (agent, admit) = entry.expect_admit();
        let not_run = NotRun::new(NotRunReason::Overloaded, Duration::from_millis(wait_ms));
        let request = admit.request;
        let frame = Frame::NotRun { request, not_run };
        entry.handle(ControlEvent::Frame { agent, frame });
    }
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(400));
}

#[test]
fn placement_declined_for_its_deadline_is_not_retried() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    entry.receive_declined(agent, admit.request, NotRunReason::Deadline);
    let refusal = grant_rx.try_recv().unwrap().unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::Deadline);
    assert!(entry.take_sent_frames().is_empty());
}

#[test]
fn pending_placement_moves_to_another_agent_on_disconnect() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("b");
    let (first_agent, admit) = entry.expect_admit();
    entry.handle(ControlEvent::AgentDisconnected { agent: first_agent });
    let (second_agent, second_admit) = entry.expect_admit();
    assert_ne!(first_agent, second_agent);
    assert_ne!(admit.request, second_admit.request);
    // A late response of the disconnected agent to the earlier attempt is
    // ignored.
    entry.receive_admitted(first_agent, &admit);
    assert!(grant_rx.is_empty());
    entry.receive_admitted(second_agent, &second_admit);
    assert!(grant_rx.try_recv().unwrap().is_ok());
}

#[test]
fn agent_without_heartbeats_is_treated_as_disconnected() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("b");
    let (first_agent, _) = entry.expect_admit();
    let second_agent = entry.agents.iter().find(|(agent, _)| *agent != first_agent);
    let second_agent = second_agent.unwrap().0;
    for _ in 0..4 {
        entry.now += Duration::from_millis(100);
        entry.receive_heartbeat(second_agent, |_| {});
    }
    let (agent, _) = entry.expect_admit();
    assert_eq!(agent, second_agent);
    assert!(grant_rx.is_empty());
}

#[test]
fn grant_for_disconnected_caller_is_released() {
    let mut entry = TestEntry::new();
    let (placement_id, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    drop(grant_rx);
    entry.receive_admitted(agent, &admit);
    assert!(matches!(
        entry.take_sent_frames()[..],
        [(_, Frame::Done { .. })]
    ));
    entry.handle(ControlEvent::PlacementEnded {
        placement_id,
        end: RunEnd::Finished,
    });
    assert!(entry.take_sent_frames().is_empty());
}

#[test]
fn pending_placement_of_disconnected_caller_is_cancelled() {
    let mut entry = TestEntry::new();
    let (placement_id, _grant_rx) = entry.place("a");
    let (_, admit) = entry.expect_admit();
    entry.handle(ControlEvent::PlacementEnded {
        placement_id,
        end: RunEnd::Finished,
    });
    let sent = entry.take_sent_frames();
    let [(_, Frame::Cancel { request })] = sent[..] else {
        panic!("expected one Cancel frame, got {sent:?}");
    };
    assert_eq!(request, admit.request);
}

#[test]
fn reconnected_agent_receives_granted_runs() {
    let mut entry = TestEntry::new();
    let (_, grant_rx) = entry.place("a");
    let (agent, admit) = entry.expect_admit();
    entry.receive_admitted(agent, &admit);
    assert!(grant_rx.try_recv().unwrap().is_ok());
    entry.handle(ControlEvent::AgentDisconnected { agent });
    entry.agents.retain(|(known, _)| *known != agent);
    entry.connect_agent(agent);
    let (_, second_admit) = entry.expect_admit();
    assert_eq!(second_admit.request, admit.request);
    assert!(second_admit.started);
}

#[test]
fn unattended_engine_runs_only_reported_adapters_until_timeout() {
    let mut entry = TestEntry::new();
    for (agent, _) in entry.agents.clone() {
        entry.handle(ControlEvent::AgentDisconnected { agent });
    }
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_ok());
    let (_, grant_rx) = entry.place("b");
    assert!(grant_rx.try_recv().unwrap().is_err());
    // After the time limit it is unknown which adapters the engine has loaded.
    entry.now += Duration::from_secs(16);
    entry.handle(ControlEvent::StoreReachable(Topic::Operator));
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
}

/// A frozen host still accepts connections and reads the requests when it
/// resumes, so the requests would run after their callers have disconnected.
#[test]
fn engine_of_unresponsive_agent_receives_no_requests() {
    let mut entry = TestEntry::new();
    entry.now += Duration::from_secs(5);
    entry.handle(ControlEvent::StoreReachable(Topic::Operator));
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
    // The connector reports `AgentDisconnected` also for connections that the
    // control state has closed.
    for (agent, _) in entry.agents.clone() {
        entry.handle(ControlEvent::AgentDisconnected { agent });
    }
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
}

#[test]
fn adapter_reported_missing_is_not_requested_from_that_engine_again() {
    let mut entry = TestEntry::new();
    for (agent, _) in entry.agents.clone() {
        entry.handle(ControlEvent::AgentDisconnected { agent });
    }
    for _ in 0..2 {
        let (placement_id, grant_rx) = entry.place("a");
        assert!(grant_rx.try_recv().unwrap().is_ok());
        entry.handle(ControlEvent::PlacementEnded {
            placement_id,
            end: RunEnd::AdapterMissing,
        });
    }
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
}

#[test]
fn placement_targets_newest_declared_version() {
    let mut entry = TestEntry::new();
    entry.put_record(Topic::Operator, "op/version/a", "version a@2");
    let (_, _grant_rx) = entry.place("a");
    let (_, admit) = entry.expect_admit();
    let Target::Adapter { adapter, .. } = admit.target else {
        panic!("the target of the Admit frame is a base model");
    };
    assert_eq!(adapter.to_string(), "a@2");
}

#[test]
fn older_configuration_is_ignored() {
    let mut entry = TestEntry::new();
    let revision = |entry: &TestEntry| entry.shared_state.routes().unwrap().config().revision;
    entry.put_record(Topic::Operator, "op/config", "config 5");
    entry.put_record(Topic::Operator, "op/config", "config 4");
    assert_eq!(revision(&entry), 5);
    entry.put_record(Topic::Operator, "op/config", "config 6");
    assert_eq!(revision(&entry), 6);
}

#[test]
fn leaving_upstreams_receive_no_calls_or_runs() {
    let mut entry = TestEntry::new();
    assert!(entry.select_upstream().is_ok());
    entry.put_record(Topic::Upstreams, "up/plain-1", "upstream records 9 leaving");
    assert!(entry.select_upstream().is_err());
    entry.put_record(Topic::Upstreams, "up/engine-1", "upstream models 1 leaving");
    entry.put_record(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    let (_, grant_rx) = entry.place("a");
    assert!(grant_rx.try_recv().unwrap().is_err());
}

#[test]
fn removed_upstream_receives_no_calls() {
    let mut entry = TestEntry::new();
    let change = KeyChange::Deleted {
        key: "up/plain-1".into(),
        revision: 9,
    };
    entry.handle(ControlEvent::StoreChanged {
        topic: Topic::Upstreams,
        changes: vec![change],
    });
    assert!(entry.select_upstream().is_err());
}

#[test]
fn retry_slack_is_divided_among_entries() {
    // All entries together use 8 of the allowed slack of 10 retries.
    for (entries, expected_retries) in [(1, 8), (4, 2)] {
        let mut entry = TestEntry::new();
        let agent = entry.agents[0].0;
        entry.receive_heartbeat(agent, |heartbeat| heartbeat.connected_entries = entries);
        entry.select_upstream().unwrap();
        let allowed = (0..20).filter(|_| entry.may_retry()).count();
        assert_eq!(allowed, expected_retries, "{entries} entries");
    }
}

#[test]
fn entry_is_ready_when_routes_and_upstreams_are_known() {
    let entry = TestEntry::new();
    assert!(entry.shared_state.is_ready());
    let shutdown = Shutdown::new(entry.now, Duration::ZERO);
    entry.shared_state.set_shutting_down(shutdown);
    assert!(!entry.shared_state.is_ready());
    assert!(!SharedState::default().is_ready());
}

/// All entries together share the rate of calls that the store allows.
#[test]
fn store_is_asked_as_seldom_as_its_time_limits_allow() {
    let asked_every = |config_ms, departure_ms| {
        let limits = ChangeLimits {
            config_ms,
            departure_ms,
        };
        (limits.watch_timeout(), limits.list_watch_delay())
    };
    let millis = Duration::from_millis;
    assert_eq!(asked_every(2_000, 2_000), (millis(1_800), millis(700)));
    assert_eq!(asked_every(4_000, 4_000), (millis(3_600), millis(1_400)));
}

/// Guards against repeats that earn further repeats.
#[test]
fn only_the_first_placement_of_a_request_earns_a_retry() {
    let mut entry = TestEntry::new();
    let may_retry = |entry: &mut TestEntry| {
        let (reply_tx, decision_rx) = async_channel::bounded(1);
        entry.handle(ControlEvent::TakeRetry {
            service: "models".into(),
            fingerprint: 0,
            reply_tx,
        });
        decision_rx.try_recv().unwrap()
    };
    let (_, _grant_rx) = entry.place("a");
    // The budget begins empty with the new limits.
    entry.handle(ControlEvent::SettingsChanged {
        retry_ratio: 1.0,
        retry_slack: 10.0,
    });
    let (_, _grant_rx) = entry.place("a");
    for _ in 0..3 {
        let (_, _grant_rx) = entry.place_with("a", |req| req.is_repeat = true);
    }
    assert!(may_retry(&mut entry));
    assert!(!may_retry(&mut entry));
}
