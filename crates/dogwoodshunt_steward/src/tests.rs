//! Tests of the control state, without a network.

use crate::StewardSettings;
use crate::control::Control;
use crate::control::Event;
use crate::control::Surroundings;
use crate::engine::EngineReport;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderCall;
use crate::metrics::Metrics;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
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
use dogwoodshunt_wire::frame::DeclaredVersion;
use dogwoodshunt_wire::frame::EngineTerms;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::Terms;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

const SETTINGS: &str = r#"{
    "node": {"name": "agent", "failure_domain": "a"},
    "listen": "127.0.0.1:1", "listen_metrics": "127.0.0.1:2", "engine": "127.0.0.1:3",
    "key_value_service": "127.0.0.1:4", "shared_key": "a key of a test, long enough"
}"#;

/// An agent's control state, with the ends of its channels.
struct Agent {
    control: Control,
    orders: Receiver<OrderCall>,
    doubts: Receiver<()>,
    events: Receiver<Event>,
    now: Instant,
    links: Vec<(Receiver<Frame>, Sender<Frame>)>,
    next: u64,
}

impl Agent {
    fn new() -> Self {
        let settings: StewardSettings = settings::parse("test", SETTINGS).unwrap();
        let (orders_tx, orders) = async_channel::unbounded();
        let (doubts_tx, doubts) = async_channel::bounded(1);
        let (events_tx, events) = async_channel::unbounded();
        let around = Surroundings {
            traffic: traffic::Traffic::default(),
            events: events_tx,
            orders: orders_tx,
            doubts: doubts_tx,
            expecting: Default::default(),
            metrics: Metrics::new(&mut metrics::registry()),
            log: telemetry::silent(),
        };
        let now = Instant::now();
        let control = Control::new(&settings, &identity("agent", 1), around, now);
        Self {
            control,
            orders,
            doubts,
            events,
            now,
            links: Vec::new(),
            next: 0,
        }
    }

    /// An agent that owns a named engine and has one entry connected.
    fn ready() -> Self {
        let mut agent = Self::new();
        agent.connect("entry", 7);
        agent.handle(Event::Ownership(Ownership::Owned { epoch: 5 }));
        agent.terms(|_| {});
        agent.report(|_| {});
        agent
    }

    fn handle(&mut self, event: Event) {
        self.control.handle(self.now, event);
        self.control.act(self.now);
        self.control.tick(self.now);
    }

    fn connect(&mut self, node: &str, boot: u64) {
        let (tx, sent) = async_channel::unbounded();
        let (received, rx) = async_channel::unbounded();
        let peer = identity(node, boot);
        self.handle(Event::LinkUp(Link { peer, tx, rx }));
        self.links.push((sent, received));
    }

    fn frame(&mut self, frame: Frame) {
        // The keys of links are given out in order, the newest last.
        let link = self.control.newest_link().unwrap();
        self.handle(Event::Frame { link, frame });
    }

    fn terms(&mut self, change: impl FnOnce(&mut Terms)) {
        let mut terms = Terms {
            revision: 1,
            upstream: Some(UpstreamIdentity {
                name: "engine-1".into(),
                started: 100,
                leaving: false,
            }),
            engine: EngineTerms {
                base_model: "base".into(),
                batch: 8,
                kv_tokens: 100_000,
                slots: 2,
            },
            versions: Vec::new(),
        };
        change(&mut terms);
        self.frame(Frame::Terms(Box::new(terms)));
    }

    fn report(&mut self, change: impl FnOnce(&mut EngineReport)) {
        let mut report = EngineReport {
            started: 100,
            base_models: vec!["base".into()],
            ..EngineReport::default()
        };
        change(&mut report);
        self.handle(Event::Reported(Some(report)));
    }

    fn admit(&mut self, name: &str, boot: u64) -> RequestId {
        self.next += 1;
        let request = RequestId {
            entry_boot: boot,
            number: self.next,
        };
        self.frame(Frame::Admit(Box::new(Admit {
            request,
            target: Target::Adapter {
                adapter: AdapterRef::new(name, "1"),
                base_model: "base".into(),
            },
            demand: Demand::default(),
            due_in: Duration::from_secs(1),
            time_left: Duration::from_secs(3),
            started: false,
        })));
        request
    }

    fn sent(&self) -> Vec<Frame> {
        let (sent, _) = self.links.last().unwrap();
        std::iter::from_fn(|| sent.try_recv().ok()).collect()
    }

    fn ordered(&self) -> Vec<OrderCall> {
        std::iter::from_fn(|| self.orders.try_recv().ok()).collect()
    }
}

fn identity(node: &str, boot: u64) -> Identity {
    Identity {
        node: node.into(),
        boot,
        domain: "a".into(),
    }
}

fn admitted(frames: &[Frame]) -> Vec<(RequestId, String)> {
    let admitted = frames.iter().filter_map(|frame| match frame {
        Frame::Admitted {
            request, target, ..
        } => Some((*request, target.to_string())),
        _ => None,
    });
    admitted.collect()
}

fn declined(frames: &[Frame]) -> Vec<NotRunReason> {
    let declined = frames.iter().filter_map(|frame| match frame {
        Frame::NotRun { not_run, .. } => Some(not_run.reason),
        _ => None,
    });
    declined.collect()
}

#[test]
fn run_is_granted_once_its_adapter_is_there() {
    let mut agent = Agent::ready();
    let request = agent.admit("a", 7);
    let orders = agent.ordered();
    assert_eq!(orders.len(), 1);
    assert_eq!(
        orders[0].order,
        Order::LoadAdapter(AdapterRef::new("a", "1"))
    );
    assert!(admitted(&agent.sent()).is_empty());
    agent.report(|report| report.adapters = vec![AdapterRef::new("a", "1")]);
    assert_eq!(admitted(&agent.sent()), [(request, "a@1".to_owned())]);
}

#[test]
fn order_names_the_engine_its_turn_and_the_fence() {
    let mut agent = Agent::ready();
    // Long enough after the engine's start for two loads at once.
    agent.now += Duration::from_millis(1_100);
    agent.report(|report| report.orders = 12);
    agent.admit("a", 7);
    agent.admit("b", 7);
    let orders = agent.ordered();
    let turns: Vec<u64> = orders.iter().map(|call| call.after).collect();
    assert_eq!(turns, [12, 13]);
    assert!(orders.iter().all(|call| &*call.upstream == "engine-1"));
    assert!(orders.iter().all(|call| call.epoch == 5));
}

#[test]
fn order_whose_answer_was_lost_is_given_again_for_the_same_turn() {
    let mut agent = Agent::ready();
    agent.report(|report| report.orders = 3);
    agent.admit("a", 7);
    let order = agent.ordered().remove(0).order;
    let answer = OrderAnswer::Lost("no answer".into());
    agent.handle(Event::Ordered { order, answer });
    assert!(agent.ordered().is_empty());
    agent.report(|report| report.orders = 3);
    let orders = agent.ordered();
    // The engine accepts one of the two at most, whenever the first arrives.
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].after, 3);
}

#[test]
fn order_that_was_carried_out_unseen_is_not_given_again() {
    let mut agent = Agent::ready();
    let request = agent.admit("a", 7);
    let order = agent.ordered().remove(0).order;
    let answer = OrderAnswer::Lost("no answer".into());
    agent.handle(Event::Ordered { order, answer });
    agent.report(|report| {
        report.orders = 1;
        report.adapters = vec![AdapterRef::new("a", "1")];
    });
    assert!(agent.ordered().is_empty());
    assert_eq!(admitted(&agent.sent())[0].0, request);
}

#[test]
fn fenced_agent_orders_nothing_until_its_ownership_is_confirmed() {
    let mut agent = Agent::ready();
    agent.admit("a", 7);
    let order = agent.ordered().remove(0).order;
    let answer = OrderAnswer::Fenced;
    agent.handle(Event::Ordered { order, answer });
    assert!(agent.doubts.try_recv().is_ok());
    agent.report(|_| {});
    agent.admit("b", 7);
    assert!(agent.ordered().is_empty());
    agent.handle(Event::Ownership(Ownership::Owned { epoch: 9 }));
    let orders = agent.ordered();
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|call| call.epoch == 9));
}

#[rstest]
#[case::unknown(None)]
#[case::of_another_start(Some(99))]
fn engine_that_cannot_be_named_gets_no_work(#[case] started: Option<u64>) {
    let mut agent = Agent::new();
    agent.connect("entry", 7);
    agent.handle(Event::Ownership(Ownership::Owned { epoch: 5 }));
    agent.report(|_| {});
    agent.terms(|terms| match started {
        Some(started) => {
            if let Some(upstream) = &mut terms.upstream {
                upstream.started = started;
            }
        }
        None => terms.upstream = None,
    });
    agent.admit("a", 7);
    assert_eq!(declined(&agent.sent()), [NotRunReason::NoUpstream]);
    assert!(agent.ordered().is_empty());
}

#[test]
fn engine_that_restarts_is_nameless_until_the_list_knows_it() {
    let mut agent = Agent::ready();
    agent.report(|report| report.started = 200);
    agent.admit("a", 7);
    assert_eq!(declined(&agent.sent()), [NotRunReason::NoUpstream]);
    agent.terms(|terms| {
        terms.upstream = Some(UpstreamIdentity {
            name: "engine-2".into(),
            started: 200,
            leaving: false,
        });
    });
    agent.admit("a", 7);
    let orders = agent.ordered();
    assert_eq!(&*orders[0].upstream, "engine-2");
}

#[test]
fn leaving_engine_gets_no_work_though_another_entry_has_not_heard() {
    let mut agent = Agent::ready();
    agent.terms(|terms| {
        if let Some(upstream) = &mut terms.upstream {
            upstream.leaving = true;
        }
    });
    agent.terms(|_| {});
    agent.admit("a", 7);
    assert_eq!(declined(&agent.sent()), [NotRunReason::NoUpstream]);
}

#[test]
fn request_for_an_older_version_is_granted_on_the_declared_one() {
    let mut agent = Agent::ready();
    agent.terms(|terms| {
        terms.versions = vec![DeclaredVersion {
            adapter: AdapterRef::new("a", "2"),
            revision: 30,
        }];
    });
    agent.admit("a", 7);
    agent.report(|report| report.adapters = vec![AdapterRef::new("a", "2")]);
    assert_eq!(admitted(&agent.sent())[0].1, "a@2");
}

#[test]
fn declaration_of_an_older_revision_is_passed_over() {
    let mut agent = Agent::ready();
    for (version, revision) in [("3", 40), ("2", 30)] {
        agent.terms(|terms| {
            terms.versions = vec![DeclaredVersion {
                adapter: AdapterRef::new("a", version),
                revision,
            }];
        });
    }
    agent.admit("a", 7);
    let order = agent.ordered().remove(0).order;
    assert_eq!(order, Order::LoadAdapter(AdapterRef::new("a", "3")));
}

#[test]
fn run_of_an_entry_that_is_out_of_reach_keeps_its_adapter_for_a_while() {
    let mut agent = Agent::ready();
    agent.report(|report| {
        report.adapters = vec![AdapterRef::new("a", "1"), AdapterRef::new("b", "1")];
    });
    agent.admit("a", 7);
    agent.admit("b", 7);
    let link = agent.control.newest_link().unwrap();
    agent.handle(Event::LinkDown(link));
    agent.connect("other", 8);
    agent.admit("c", 8);
    assert!(agent.ordered().is_empty());
    agent.now += Duration::from_secs(4);
    agent.connect("third", 9);
    agent.admit("c", 9);
    assert!(matches!(agent.ordered()[0].order, Order::UnloadAdapter(_)));
}

#[test]
fn runs_of_an_entry_that_started_anew_are_over_at_once() {
    let mut agent = Agent::ready();
    agent.report(|report| {
        report.adapters = vec![AdapterRef::new("a", "1"), AdapterRef::new("b", "1")];
    });
    agent.admit("a", 7);
    agent.admit("b", 7);
    agent.connect("entry", 8);
    agent.admit("c", 8);
    assert!(matches!(agent.ordered()[0].order, Order::UnloadAdapter(_)));
}

#[test]
fn stopping_agent_declines_what_waits_and_says_so() {
    let mut agent = Agent::ready();
    agent.admit("a", 7);
    agent.handle(Event::Stop);
    let frames = agent.sent();
    assert_eq!(declined(&frames), [NotRunReason::Leaving]);
    let leaving = frames.iter().any(|frame| match frame {
        Frame::Beat(beat) => beat.leaving,
        _ => false,
    });
    assert!(leaving);
    assert!(agent.events.is_empty());
}
