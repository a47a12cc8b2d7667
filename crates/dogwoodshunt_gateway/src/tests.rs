//! Tests of the control state, without a network.

mod overview;

use crate::control::Control;
use crate::control::Event;
use crate::control::Grant;
use crate::control::Limits;
use crate::control::Pick;
use crate::control::PlaceAsk;
use crate::control::Surroundings;
use crate::control::status::Status;
use crate::metrics::Metrics;
use crate::ports::Decoder;
use crate::ports::Item;
use crate::watch::Topic;
use async_channel::Receiver;
use dogwoodshunt_border::kv::Change;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::EngineLoad;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Serves;
use dogwoodshunt_residency::report::UpstreamReport;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Router;
use dogwoodshunt_routing::Settings;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::config::CallerLimits;
use dogwoodshunt_serving::config::Service;
use dogwoodshunt_serving::registry::Listed;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use dogwoodshunt_wire::frame::Beat;
use dogwoodshunt_wire::frame::DeclaredVersion;
use dogwoodshunt_wire::frame::EngineTerms;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::handshake::SharedKey;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Reads records of the form `config REVISION`, `version ADAPTER@VERSION` and
/// `upstream SERVICE HOST STATE`.
struct TestDecoder;

impl Decoder for TestDecoder {
    const OPERATOR_PREFIX: &'static str = "op/";
    const UPSTREAM_PREFIX: &'static str = "up/";

    fn decode(&self, record: &Record) -> Item {
        let text = String::from_utf8_lossy(&record.value).into_owned();
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["config", revision] => Item::Config(Box::new(config(revision.parse().unwrap()))),
            ["version", adapter] => Item::Version(DeclaredVersion {
                adapter: AdapterRef::parse(adapter).unwrap(),
                revision: u64::try_from(record.mod_revision).unwrap(),
            }),
            ["upstream", service, host, state] => Item::Upstream(Listed {
                name: self.upstream_of(&record.key),
                service: service.into(),
                address: SocketAddr::from(([127, 0, 0, host.parse().unwrap()], 80)),
                domain: "a".into(),
                started: 1,
                leaving: state == "leaving",
            }),
            _ => Item::Unreadable("no such record".into()),
        }
    }

    fn upstream_of(&self, key: &str) -> UpstreamName {
        key.trim_start_matches("up/").into()
    }
}

fn config(revision: u64) -> Config {
    let engine = EngineTerms {
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
    }
}

/// An entry's control state, with the ends of its agents' channels.
struct Entry {
    control: Control<TestDecoder>,
    status: Arc<Status>,
    now: Instant,
    agents: Vec<(AgentKey, Receiver<Frame>)>,
    revision: i64,
    next: u64,
}

impl Entry {
    /// An entry with one plain upstream and two engines whose agents are connected.
    fn new() -> Self {
        let status = Arc::new(Status::default());
        let me = identity("entry");
        let around = Surroundings {
            traffic: Traffic::default(),
            events: async_channel::unbounded().0,
            status: status.clone(),
            metrics: Metrics::new(&mut metrics::registry()),
            credentials: Arc::new(Credentials {
                me,
                key: SharedKey::new("a key of a test, long enough"),
            }),
            log: telemetry::silent(),
        };
        let limits = Limits {
            domain: "a".into(),
            agent_port: 7,
            retry_ratio: 0.0,
            retry_slack: 10.0,
            heartbeat: Duration::from_millis(100),
        };
        let now = Instant::now();
        let router = Router::new(Settings::builder().batch_weight(0.0).build());
        let control = Control::new(around, limits, Arc::new(TestDecoder), router, now);
        let mut entry = Self {
            control,
            status,
            now,
            agents: Vec::new(),
            revision: 0,
            next: 0,
        };
        entry.put(Topic::Operator, "op/config", "config 1");
        let records = [
            ("up/engine-1", "upstream models 1 ready"),
            ("up/engine-2", "upstream models 2 ready"),
            ("up/plain-1", "upstream records 9 ready"),
        ];
        let records = records.map(|(key, value)| record(key, value, 1)).to_vec();
        entry.handle(Event::Listing {
            topic: Topic::Upstreams,
            listing: Listing {
                records,
                revision: 1,
            },
        });
        for agent in entry.control.agent_keys() {
            entry.connect(agent);
        }
        entry
    }

    fn handle(&mut self, event: Event) {
        self.control.handle(self.now, event);
        self.control.tick(self.now);
    }

    fn put(&mut self, topic: Topic, key: &str, value: &str) {
        self.revision += 1;
        let changes = vec![Change::Put(record(key, value, self.revision))];
        self.handle(Event::Changes { topic, changes });
    }

    fn connect(&mut self, agent: AgentKey) {
        let (tx, frames) = async_channel::unbounded();
        let identity = identity("agent");
        self.handle(Event::AgentUp {
            agent,
            identity,
            tx,
        });
        self.agents.push((agent, frames));
        self.beat(agent, |_| {});
    }

    fn beat(&mut self, agent: AgentKey, change: impl FnOnce(&mut Beat)) {
        let mut beat = Beat {
            report: Some(ReportUpdate::Full(report(&["a@1"]))),
            entries: 1,
            ..Beat::default()
        };
        change(&mut beat);
        let frame = Frame::Beat(Box::new(beat));
        self.handle(Event::Frame { agent, frame });
    }

    fn place(&mut self, adapter: &str) -> (u64, Receiver<Result<Grant, NotRun>>) {
        self.next += 1;
        let (reply, granted) = async_channel::bounded(1);
        let ask = PlaceAsk {
            id: format!("q{}", self.next).into(),
            service: "models".into(),
            base_model: "base".into(),
            adapter: Some(adapter.into()),
            demand: Demand::default(),
            due: self.now + Duration::from_secs(1),
            useful_until: self.now + Duration::from_secs(2),
        };
        let ticket = self.next;
        self.handle(Event::Place {
            ticket,
            ask: Box::new(ask),
            reply,
        });
        (ticket, granted)
    }

    /// Returns what agents were sent since the last call, without heartbeats.
    fn sent(&self) -> Vec<(AgentKey, Frame)> {
        let of_agent = |(agent, frames): &(AgentKey, Receiver<Frame>)| {
            let frames = std::iter::from_fn(|| frames.try_recv().ok());
            let frames = frames.filter(|f| !matches!(f, Frame::Beat(_) | Frame::Terms(_)));
            frames.map(|frame| (*agent, frame)).collect::<Vec<_>>()
        };
        self.agents.iter().flat_map(of_agent).collect()
    }

    fn admitted(&self) -> (AgentKey, Admit) {
        let mut sent = self.sent();
        assert_eq!(sent.len(), 1, "{sent:?}");
        match sent.remove(0) {
            (agent, Frame::Admit(admit)) => (agent, *admit),
            other => panic!("no wish: {other:?}"),
        }
    }

    fn grant(&mut self, agent: AgentKey, admit: &Admit) {
        let frame = Frame::Admitted {
            request: admit.request,
            upstream: "engine-x".into(),
            target: admit.target.clone(),
        };
        self.handle(Event::Frame { agent, frame });
    }

    fn decline(&mut self, agent: AgentKey, request: RequestId, reason: NotRunReason) {
        let not_run = NotRun::new(reason, Duration::from_millis(300));
        let frame = Frame::NotRun { request, not_run };
        self.handle(Event::Frame { agent, frame });
    }

    fn pick(&mut self) -> Option<Pick> {
        let (reply, picked) = async_channel::bounded(1);
        self.handle(Event::Pick {
            service: "records".into(),
            excluded: Vec::new(),
            reply,
        });
        picked.try_recv().unwrap()
    }

    fn may_retry(&mut self) -> bool {
        let (reply, answer) = async_channel::bounded(1);
        let service = "records".into();
        self.handle(Event::Retry { service, reply });
        answer.try_recv().unwrap()
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
    }
}

fn report(ready: &[&str]) -> Report {
    let ready = ready.iter().map(|text| AdapterRef::parse(text).unwrap());
    Report {
        upstreams: vec![UpstreamReport {
            name: "engine".into(),
            serves: Serves::BaseModel("base".into()),
            takes_work: true,
            running: 0,
            batch: 8,
            slots: 4,
            ready: ready.collect(),
            loading: Vec::new(),
            kv_tokens: 100_000,
            engine: Some(EngineLoad {
                tokens_per_second: 30_000,
                free_places: 4,
                ..EngineLoad::default()
            }),
        }],
        ..Report::default()
    }
}

#[test]
fn granted_request_gets_the_engines_name_and_address() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("a");
    let (agent, admit) = entry.admitted();
    assert!(granted.is_empty());
    entry.grant(agent, &admit);
    let grant = granted.try_recv().unwrap().unwrap();
    assert_eq!(&*grant.upstream, "engine-x");
    assert_eq!(grant.address.port(), 80);
}

#[test]
fn declined_wish_goes_to_another_agent_and_then_back_to_its_caller() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("a");
    let (first, admit) = entry.admitted();
    entry.decline(first, admit.request, NotRunReason::Overloaded);
    let (second, admit) = entry.admitted();
    assert_ne!(first, second);
    entry.decline(second, admit.request, NotRunReason::Overloaded);
    let refused = granted.try_recv().unwrap().unwrap_err();
    assert_eq!(refused.reason, NotRunReason::NoUpstream);
}

#[test]
fn wish_that_can_not_be_in_time_goes_nowhere_else() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("a");
    let (agent, admit) = entry.admitted();
    entry.decline(agent, admit.request, NotRunReason::Deadline);
    let refused = granted.try_recv().unwrap().unwrap_err();
    assert_eq!(refused.reason, NotRunReason::Deadline);
    assert!(entry.sent().is_empty());
}

#[test]
fn wish_at_an_agent_that_is_lost_goes_elsewhere() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("b");
    let (first, admit) = entry.admitted();
    entry.handle(Event::AgentDown { agent: first });
    let (second, again) = entry.admitted();
    assert_ne!(first, second);
    assert_ne!(admit.request, again.request);
    // What the lost agent still says of the earlier attempt counts no more.
    entry.grant(first, &admit);
    assert!(granted.is_empty());
    entry.grant(second, &again);
    assert!(granted.try_recv().unwrap().is_ok());
}

#[test]
fn silent_agent_counts_as_lost() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("b");
    let (first, _) = entry.admitted();
    let second = entry.agents.iter().find(|(agent, _)| *agent != first);
    let second = second.unwrap().0;
    for _ in 0..4 {
        entry.now += Duration::from_millis(100);
        entry.beat(second, |_| {});
    }
    let (agent, _) = entry.admitted();
    assert_eq!(agent, second);
    assert!(granted.is_empty());
}

#[test]
fn grant_whose_caller_has_left_is_given_back() {
    let mut entry = Entry::new();
    let (ticket, granted) = entry.place("a");
    let (agent, admit) = entry.admitted();
    drop(granted);
    entry.grant(agent, &admit);
    assert!(matches!(entry.sent()[..], [(_, Frame::Done { .. })]));
    entry.handle(Event::Done {
        ticket,
        adapter_missing: false,
    });
    assert!(entry.sent().is_empty());
}

#[test]
fn wish_whose_caller_has_left_is_cancelled() {
    let mut entry = Entry::new();
    let (ticket, _granted) = entry.place("a");
    let (_, admit) = entry.admitted();
    entry.handle(Event::Done {
        ticket,
        adapter_missing: false,
    });
    let sent = entry.sent();
    let [(_, Frame::Cancel { request })] = sent[..] else {
        panic!("{sent:?}");
    };
    assert_eq!(request, admit.request);
}

#[test]
fn agent_that_comes_back_hears_of_the_runs_that_go_on() {
    let mut entry = Entry::new();
    let (_, granted) = entry.place("a");
    let (agent, admit) = entry.admitted();
    entry.grant(agent, &admit);
    assert!(granted.try_recv().unwrap().is_ok());
    entry.handle(Event::AgentDown { agent });
    entry.agents.retain(|(held, _)| *held != agent);
    entry.connect(agent);
    let (_, again) = entry.admitted();
    assert_eq!(again.request, admit.request);
    assert!(again.started);
}

#[test]
fn engine_of_a_lost_agent_runs_what_it_held_and_nothing_else() {
    let mut entry = Entry::new();
    for (agent, _) in entry.agents.clone() {
        entry.handle(Event::AgentDown { agent });
    }
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_ok());
    let (_, granted) = entry.place("b");
    assert!(granted.try_recv().unwrap().is_err());
    // After a while nobody knows what it holds.
    entry.now += Duration::from_secs(16);
    entry.handle(Event::StoreAnswered(Topic::Operator));
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_err());
}

/// A host that is frozen takes connections and reads them when it wakes.
#[test]
fn engine_of_a_silent_agent_gets_nothing() {
    let mut entry = Entry::new();
    entry.now += Duration::from_secs(5);
    entry.handle(Event::StoreAnswered(Topic::Operator));
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_err());
    // The connections that were closed for it are told of as well.
    for (agent, _) in entry.agents.clone() {
        entry.handle(Event::AgentDown { agent });
    }
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_err());
}

#[test]
fn adapter_that_an_engine_says_it_lacks_is_not_sought_there_again() {
    let mut entry = Entry::new();
    for (agent, _) in entry.agents.clone() {
        entry.handle(Event::AgentDown { agent });
    }
    for _ in 0..2 {
        let (ticket, granted) = entry.place("a");
        assert!(granted.try_recv().unwrap().is_ok());
        entry.handle(Event::Done {
            ticket,
            adapter_missing: true,
        });
    }
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_err());
}

#[test]
fn declared_version_is_asked_for_from_then_on() {
    let mut entry = Entry::new();
    entry.put(Topic::Operator, "op/version/a", "version a@2");
    let (_, _granted) = entry.place("a");
    let (_, admit) = entry.admitted();
    let Target::Adapter { adapter, .. } = admit.target else {
        panic!("no adapter");
    };
    assert_eq!(adapter.to_string(), "a@2");
}

#[test]
fn older_configuration_never_comes_back() {
    let mut entry = Entry::new();
    let revision = |entry: &Entry| entry.status.routes().unwrap().config().revision;
    entry.put(Topic::Operator, "op/config", "config 5");
    entry.put(Topic::Operator, "op/config", "config 4");
    assert_eq!(revision(&entry), 5);
    entry.put(Topic::Operator, "op/config", "config 6");
    assert_eq!(revision(&entry), 6);
}

#[test]
fn leaving_upstream_gets_neither_calls_nor_runs() {
    let mut entry = Entry::new();
    assert!(entry.pick().is_some());
    entry.put(Topic::Upstreams, "up/plain-1", "upstream records 9 leaving");
    assert!(entry.pick().is_none());
    entry.put(Topic::Upstreams, "up/engine-1", "upstream models 1 leaving");
    entry.put(Topic::Upstreams, "up/engine-2", "upstream models 2 leaving");
    let (_, granted) = entry.place("a");
    assert!(granted.try_recv().unwrap().is_err());
}

#[test]
fn upstream_that_is_removed_gets_nothing_more() {
    let mut entry = Entry::new();
    let change = Change::Deleted {
        key: "up/plain-1".into(),
        revision: 9,
    };
    entry.handle(Event::Changes {
        topic: Topic::Upstreams,
        changes: vec![change],
    });
    assert!(entry.pick().is_none());
}

#[test]
fn entries_share_the_retries_that_a_service_may_get() {
    // Of a slack of 10, eight are used by all entries together.
    for (entries, most) in [(1, 8), (4, 2)] {
        let mut entry = Entry::new();
        let agent = entry.agents[0].0;
        entry.beat(agent, |beat| beat.entries = entries);
        entry.pick();
        let allowed = (0..20).filter(|_| entry.may_retry()).count();
        assert_eq!(allowed, most, "{entries} entries");
    }
}

#[test]
fn entry_is_ready_once_it_knows_routes_and_upstreams() {
    let entry = Entry::new();
    assert!(entry.status.is_ready());
    entry.status.set_leaving(entry.now);
    assert!(!entry.status.is_ready());
    assert!(!Status::default().is_ready());
}

#[test]
fn leaving_entry_takes_only_streams_that_can_end_before_it_does() {
    let (status, now) = (Status::default(), Instant::now());
    for _ in 0..50 {
        status.note_stream("short", Duration::from_millis(500));
        status.note_stream("long", Duration::from_secs(6));
    }
    assert!(status.has_time_for(now, "long"));
    status.set_leaving(now + Duration::from_secs(8));
    assert!(status.has_time_for(now, "short"));
    assert!(!status.has_time_for(now, "long"));
    assert!(status.has_time_for(now, "unknown"));
    assert!(!status.has_time_for(now + Duration::from_secs(8), "short"));
}
