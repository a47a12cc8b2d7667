//! Tests of the control state: its channels are read and written directly, without
//! a network.

mod crashes;
mod late_orders;
mod lost_requests;
mod quotas;
mod rate_limit;
mod services;
mod streams;
mod workspaces;

use crate::EngineAgentSettings;
use crate::control::Control;
use crate::control::ControlContext;
use crate::control::Event;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderRequest;
use crate::metrics::Metrics;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_runtime::metrics;
use dogwoodshunt_runtime::ownership::Ownership;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::telemetry;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::UpstreamConfig;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const SETTINGS: &str = r#"{
    "node": {"name": "agent", "failure_domain": "a"},
    "listen": "127.0.0.1:1", "listen_metrics": "127.0.0.1:2", "engine": "127.0.0.1:3",
    "key_value_service": "127.0.0.1:4", "shared_key": "a key of a test, long enough"
}"#;

/// Control state of an agent, with the other ends of its channels.
struct TestAgent {
    control: Control,
    orders_rx: Receiver<OrderRequest>,
    verify_ownership_rx: Receiver<()>,
    poll_rx: Receiver<()>,
    events_rx: Receiver<Event>,
    now: Instant,
    /// Per connected entry, the frames sent to it and the sender of frames from it.
    links: Vec<(Receiver<Frame>, Sender<Frame>)>,
    last_request_number: u64,
}

impl TestAgent {
    fn new() -> Self {
        let settings: EngineAgentSettings = settings::parse("test", SETTINGS).unwrap();
        let (orders_tx, orders_rx) = async_channel::unbounded();
        let (verify_ownership_tx, verify_ownership_rx) = async_channel::bounded(1);
        let (poll_tx, poll_rx) = async_channel::bounded(1);
        let (events_tx, events_rx) = async_channel::unbounded();
        let context = ControlContext {
            traffic: traffic::TrafficExecutor::default(),
            events_tx,
            orders_tx,
            poll_tx,
            verify_ownership_tx,
            load_in_progress: Default::default(),
            metrics: Metrics::new(&mut metrics::registry()),
            log: telemetry::discard_logger(),
        };
        let now = Instant::now();
        let control = Control::new(&settings, &node_identity("agent", 1), context, now);
        Self {
            control,
            orders_rx,
            verify_ownership_rx,
            poll_rx,
            events_rx,
            now,
            links: Vec::new(),
            last_request_number: 0,
        }
    }

    /// Creates an agent that owns its engine, knows the name and the capacity of
    /// the engine and has one entry connected.
    fn owning_named_engine() -> Self {
        let mut agent = Self::new();
        agent.connect_entry("entry", 7);
        agent.handle_and_decide(Event::Ownership(Ownership::Owned { epoch: 5, era: 0 }));
        agent.receive_upstream_config(|_| {});
        agent.receive_report(|_| {});
        agent
    }

    fn handle_and_decide(&mut self, event: Event) {
        self.control.handle_event(self.now, event);
        self.control.decide(self.now);
        self.control.tick(self.now);
    }

    fn connect_entry(&mut self, node: &str, boot: u64) {
        let (tx, sent_rx) = async_channel::unbounded();
        let (received_tx, rx) = async_channel::unbounded();
        let peer = node_identity(node, boot);
        self.handle_and_decide(Event::EntryConnected(Link { peer, tx, rx }));
        self.links.push((sent_rx, received_tx));
    }

    /// Receives a frame from the entry that connected last.
    fn receive_frame(&mut self, frame: Frame) {
        let link = self.control.newest_link().unwrap();
        self.handle_and_decide(Event::Frame { link, frame });
    }

    /// Receives a default upstream configuration changed by `modify`.
    fn receive_upstream_config(&mut self, modify: impl FnOnce(&mut UpstreamConfig)) {
        let mut upstream_config = UpstreamConfig {
            revision: 1,
            upstream: Some(UpstreamIdentity {
                name: "engine-1".into(),
                started: 100,
                leaving: false,
                service: Some("models".into()),
            }),
            engine: EngineConfig {
                base_model: "base".into(),
                batch: 8,
                kv_tokens: 100_000,
                slots: 2,
            },
            versions: Vec::new(),
            store_era: 0,
        };
        modify(&mut upstream_config);
        self.receive_frame(Frame::UpstreamConfig(Box::new(upstream_config)));
    }

    /// Handles a default engine report changed by `modify`.
    fn receive_report(&mut self, modify: impl FnOnce(&mut EngineReport)) {
        let mut report = EngineReport {
            started: 100,
            base_models: vec!["base".into()],
            ..EngineReport::default()
        };
        modify(&mut report);
        self.handle_and_decide(Event::ReportPolled(Some(report)));
    }

    /// Requests a run of version 1 of an adapter for the entry process `boot`.
    fn request_run(&mut self, name: &str, boot: u64) -> RequestId {
        self.last_request_number += 1;
        let request = RequestId {
            entry_boot: boot,
            number: self.last_request_number,
        };
        self.receive_frame(Frame::Admit(Box::new(Admit {
            request,
            target: Target::Adapter {
                adapter: AdapterRef::new(name, "1"),
                base_model: "base".into(),
            },
            demand: Demand::default(),
            workspace: None,
            max_event_gap: None,
            paced: false,
            due_in: Duration::from_secs(1),
            time_left: Duration::from_secs(3),
            started: false,
        })));
        request
    }

    /// Takes the frames sent to the entry that connected last.
    fn take_sent_frames(&self) -> Vec<Frame> {
        let (sent_rx, _) = self.links.last().unwrap();
        std::iter::from_fn(|| sent_rx.try_recv().ok()).collect()
    }

    /// Takes the orders sent to the engine worker.
    fn take_sent_orders(&self) -> Vec<OrderRequest> {
        std::iter::from_fn(|| self.orders_rx.try_recv().ok()).collect()
    }
}

fn node_identity(node: &str, boot: u64) -> Identity {
    Identity {
        node: node.into(),
        boot,
        domain: "a".into(),
    }
}

fn granted_runs(frames: &[Frame]) -> Vec<(RequestId, String)> {
    let granted = frames.iter().filter_map(|frame| match frame {
        Frame::Admitted {
            request, target, ..
        } => Some((*request, target.to_string())),
        _ => None,
    });
    granted.collect()
}

fn refusal_reasons(frames: &[Frame]) -> Vec<NotRunReason> {
    let reasons = frames.iter().filter_map(|frame| match frame {
        Frame::NotRun { not_run, .. } => Some(not_run.reason),
        _ => None,
    });
    reasons.collect()
}

#[test]
fn run_is_granted_only_after_its_adapter_is_loaded() {
    let mut agent = TestAgent::owning_named_engine();
    let request = agent.request_run("a", 7);
    let orders = agent.take_sent_orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(
        orders[0].order,
        Order::LoadAdapter(AdapterRef::new("a", "1"))
    );
    assert!(granted_runs(&agent.take_sent_frames()).is_empty());
    agent.receive_report(|report| report.adapters = vec![AdapterRef::new("a", "1")]);
    assert_eq!(
        granted_runs(&agent.take_sent_frames()),
        [(request, "a@1".to_owned())]
    );
}

#[test]
fn order_carries_upstream_name_expected_order_count_and_epoch() {
    let mut agent = TestAgent::owning_named_engine();
    // Two concurrent loads are allowed only some time after the engine has started.
    agent.now += Duration::from_millis(1_100);
    agent.receive_report(|report| report.accepted_orders = 12);
    agent.request_run("a", 7);
    agent.request_run("b", 7);
    let orders = agent.take_sent_orders();
    let accepted_before: Vec<u64> = orders
        .iter()
        .map(|order_request| order_request.accepted_before)
        .collect();
    assert_eq!(accepted_before, [12, 13]);
    assert!(
        orders
            .iter()
            .all(|order_request| &*order_request.upstream == "engine-1")
    );
    assert!(orders.iter().all(|order_request| order_request.epoch == 5));
}

#[test]
fn order_without_answer_is_sent_again_with_the_same_expected_order_count() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| report.accepted_orders = 3);
    agent.request_run("a", 7);
    let order = agent.take_sent_orders().remove(0).order;
    let answer = OrderAnswer::Lost("no answer".into());
    agent.handle_and_decide(Event::OrderAnswered { order, answer });
    assert!(agent.take_sent_orders().is_empty());
    agent.receive_report(|report| report.accepted_orders = 3);
    let orders = agent.take_sent_orders();
    // Both orders expect the same count, so the engine accepts at most one of them,
    // however late the first one arrives.
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].accepted_before, 3);
}

#[test]
fn order_without_answer_is_not_sent_again_if_a_report_shows_its_effect() {
    let mut agent = TestAgent::owning_named_engine();
    let request = agent.request_run("a", 7);
    let order = agent.take_sent_orders().remove(0).order;
    let answer = OrderAnswer::Lost("no answer".into());
    agent.handle_and_decide(Event::OrderAnswered { order, answer });
    agent.receive_report(|report| {
        report.accepted_orders = 1;
        report.adapters = vec![AdapterRef::new("a", "1")];
    });
    assert!(agent.take_sent_orders().is_empty());
    assert_eq!(granted_runs(&agent.take_sent_frames())[0].0, request);
}

#[test]
fn fenced_agent_sends_no_order_until_its_ownership_is_confirmed() {
    let mut agent = TestAgent::owning_named_engine();
    agent.request_run("a", 7);
    let order = agent.take_sent_orders().remove(0).order;
    let answer = OrderAnswer::Fenced;
    agent.handle_and_decide(Event::OrderAnswered { order, answer });
    assert!(agent.verify_ownership_rx.try_recv().is_ok());
    agent.receive_report(|_| {});
    agent.request_run("b", 7);
    assert!(agent.take_sent_orders().is_empty());
    agent.handle_and_decide(Event::Ownership(Ownership::Owned { epoch: 9, era: 0 }));
    let orders = agent.take_sent_orders();
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order_request| order_request.epoch == 9));
}

#[rstest]
#[case::name_unknown(None)]
#[case::name_of_another_engine_process(Some(99))]
fn engine_without_a_matching_upstream_name_gets_no_work(#[case] started: Option<u64>) {
    let mut agent = TestAgent::new();
    agent.connect_entry("entry", 7);
    agent.handle_and_decide(Event::Ownership(Ownership::Owned { epoch: 5, era: 0 }));
    agent.receive_report(|_| {});
    agent.receive_upstream_config(|upstream_config| match started {
        Some(started) => {
            if let Some(upstream) = &mut upstream_config.upstream {
                upstream.started = started;
            }
        }
        None => upstream_config.upstream = None,
    });
    agent.request_run("a", 7);
    assert_eq!(
        refusal_reasons(&agent.take_sent_frames()),
        [NotRunReason::NoUpstream]
    );
    assert!(agent.take_sent_orders().is_empty());
}

#[test]
fn restarted_engine_gets_no_work_until_an_entry_sends_its_new_name() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| report.started = 200);
    agent.request_run("a", 7);
    assert_eq!(
        refusal_reasons(&agent.take_sent_frames()),
        [NotRunReason::NoUpstream]
    );
    agent.receive_upstream_config(|upstream_config| {
        upstream_config.upstream = Some(UpstreamIdentity {
            name: "engine-2".into(),
            started: 200,
            leaving: false,
            service: Some("models".into()),
        });
    });
    agent.request_run("a", 7);
    let orders = agent.take_sent_orders();
    assert_eq!(&*orders[0].upstream, "engine-2");
}

#[test]
fn name_of_a_restarted_engine_that_arrives_before_its_first_report_is_used() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_upstream_config(|upstream_config| {
        upstream_config.upstream = Some(UpstreamIdentity {
            name: "engine-2".into(),
            started: 200,
            leaving: false,
            service: Some("models".into()),
        });
    });
    agent.request_run("a", 7);
    let orders = agent.take_sent_orders();
    assert_eq!(&*orders[0].upstream, "engine-1");
    agent.receive_report(|report| report.started = 200);
    agent.request_run("b", 7);
    let orders = agent.take_sent_orders();
    assert_eq!(&*orders[0].upstream, "engine-2");
}

#[test]
fn leaving_engine_gets_no_work_even_if_a_later_config_says_it_is_not_leaving() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_upstream_config(|upstream_config| {
        if let Some(upstream) = &mut upstream_config.upstream {
            upstream.leaving = true;
        }
    });
    agent.receive_upstream_config(|_| {});
    agent.request_run("a", 7);
    assert_eq!(
        refusal_reasons(&agent.take_sent_frames()),
        [NotRunReason::NoUpstream]
    );
}

#[test]
fn request_for_an_older_version_is_granted_on_the_declared_version() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_upstream_config(|upstream_config| {
        upstream_config.versions = vec![AdapterRef::new("a", "2")];
    });
    agent.request_run("a", 7);
    agent.receive_report(|report| report.adapters = vec![AdapterRef::new("a", "2")]);
    assert_eq!(granted_runs(&agent.take_sent_frames())[0].1, "a@2");
}

/// An entry that has just read a restored store declares the version of the copy.
#[test]
fn older_declared_version_is_ignored() {
    let mut agent = TestAgent::owning_named_engine();
    for version in ["3", "2"] {
        agent.receive_upstream_config(|upstream_config| {
            upstream_config.versions = vec![AdapterRef::new("a", version)];
        });
    }
    agent.request_run("a", 7);
    let order = agent.take_sent_orders().remove(0).order;
    assert_eq!(order, Order::LoadAdapter(AdapterRef::new("a", "3")));
}

#[test]
fn runs_of_a_disconnected_entry_keep_their_adapters_until_the_reconnect_timeout() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| {
        report.adapters = vec![AdapterRef::new("a", "1"), AdapterRef::new("b", "1")];
    });
    agent.request_run("a", 7);
    agent.request_run("b", 7);
    let link = agent.control.newest_link().unwrap();
    agent.handle_and_decide(Event::EntryDisconnected(link));
    agent.connect_entry("other", 8);
    agent.request_run("c", 8);
    assert!(agent.take_sent_orders().is_empty());
    agent.now += Duration::from_secs(4);
    agent.connect_entry("third", 9);
    agent.request_run("c", 9);
    assert!(matches!(
        agent.take_sent_orders()[0].order,
        Order::UnloadAdapter(_)
    ));
}

#[test]
fn runs_of_a_restarted_entry_end_when_the_new_process_connects() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| {
        report.adapters = vec![AdapterRef::new("a", "1"), AdapterRef::new("b", "1")];
    });
    agent.request_run("a", 7);
    agent.request_run("b", 7);
    agent.connect_entry("entry", 8);
    agent.request_run("c", 8);
    assert!(matches!(
        agent.take_sent_orders()[0].order,
        Order::UnloadAdapter(_)
    ));
}

#[test]
fn stopping_agent_refuses_queued_runs_and_announces_that_it_is_leaving() {
    let mut agent = TestAgent::owning_named_engine();
    agent.request_run("a", 7);
    agent.handle_and_decide(Event::Stop);
    let frames = agent.take_sent_frames();
    assert_eq!(refusal_reasons(&frames), [NotRunReason::Leaving]);
    let announced = frames.iter().any(|frame| match frame {
        Frame::Heartbeat(heartbeat) => heartbeat.leaving,
        _ => false,
    });
    assert!(announced);
    assert!(agent.events_rx.is_empty());
}

#[test]
fn ownership_is_verified_once_for_each_restore_that_entries_announce() {
    let mut agent = TestAgent::owning_named_engine();
    for era in [3, 3, 2] {
        agent.receive_upstream_config(|upstream_config| upstream_config.store_era = era);
    }
    assert_eq!(agent.verify_ownership_rx.try_recv(), Ok(()));
    assert!(agent.verify_ownership_rx.is_empty());
    agent.receive_upstream_config(|upstream_config| upstream_config.store_era = 4);
    assert_eq!(agent.verify_ownership_rx.try_recv(), Ok(()));
    // Orders carry the token of the takeover that was repeated after the restore.
    agent.handle_and_decide(Event::Ownership(Ownership::Owned { epoch: 12, era: 0 }));
    agent.request_run("a", 7);
    assert_eq!(agent.take_sent_orders()[0].epoch, 12);
}

#[test]
fn engine_that_reports_its_departure_gets_no_work_though_entries_list_it_as_ready() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| report.leaving = true);
    agent.receive_upstream_config(|_| {});
    agent.request_run("a", 7);
    assert_eq!(
        refusal_reasons(&agent.take_sent_frames()),
        [NotRunReason::NoUpstream]
    );
}

/// Frames with a report that were sent to the entry that connected first.
fn report_frames(agent: &TestAgent) -> Vec<Frame> {
    let frames = std::iter::from_fn(|| agent.links[0].0.try_recv().ok());
    let has_report = |frame: &Frame| match frame {
        Frame::Heartbeat(heartbeat) => heartbeat.report.is_some(),
        Frame::Load(_) => true,
        _ => false,
    };
    frames.filter(has_report).collect()
}

#[test]
fn changes_between_heartbeats_are_sent_without_the_full_report() {
    let mut agent = TestAgent::owning_named_engine();
    agent.now += Duration::from_millis(600);
    agent.receive_report(|report| report.adapters = vec![AdapterRef::new("a", "1")]);
    report_frames(&agent);
    for adapter in ["a", "b"] {
        agent.now += Duration::from_millis(150);
        agent.request_run(adapter, 7);
    }
    let frames = report_frames(&agent);
    let changes: Vec<_> = frames
        .iter()
        .map(|frame| match frame {
            Frame::Load(load) => load.adapter_changes.len(),
            other => panic!("expected a Load frame, got {other:?}"),
        })
        .collect();
    // The second request starts the load of its adapter.
    assert_eq!(changes, [0, 1]);
}

#[test]
fn entry_that_found_an_adapter_missing_gets_a_full_report() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_report(|report| report.adapters = vec![AdapterRef::new("a", "1")]);
    agent.request_run("a", 7);
    let request = granted_runs(&agent.take_sent_frames())[0].0;
    agent.now += Duration::from_millis(150);
    agent.receive_frame(Frame::Done {
        request,
        adapter_missing: true,
        broken_off: false,
    });
    agent.receive_report(|report| report.adapters = vec![AdapterRef::new("a", "1")]);
    let is_full = |frame: &Frame| {
        matches!(frame, Frame::Heartbeat(heartbeat)
            if matches!(heartbeat.report, Some(ReportUpdate::Full(_))))
    };
    assert!(report_frames(&agent).iter().any(is_full));
}

#[test]
fn ownership_is_verified_only_if_the_restore_came_after_its_confirmation() {
    let mut agent = TestAgent::new();
    agent.connect_entry("entry", 7);
    let owned = |era| Event::Ownership(Ownership::Owned { epoch: 5, era });
    // An entry announces the restore before the takeover, which was answered earlier, is known.
    agent.receive_upstream_config(|upstream_config| upstream_config.store_era = 4);
    agent.handle_and_decide(owned(3));
    assert_eq!(agent.verify_ownership_rx.try_recv(), Ok(()));
    // One verification for a restore suffices, whatever it shows.
    for era in [3, 4] {
        agent.handle_and_decide(owned(era));
        agent.receive_upstream_config(|upstream_config| upstream_config.store_era = 4);
    }
    assert!(agent.verify_ownership_rx.is_empty());
}
