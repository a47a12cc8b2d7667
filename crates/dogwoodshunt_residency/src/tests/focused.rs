//! One decision a test.

use crate::Action;
use crate::Gate;
use crate::JobKey;
use crate::Residency;
use crate::Settings;
use crate::Target;
use crate::UpstreamKey;
use crate::job::Job;
use crate::job::RunEnd;
use crate::orders::OrderEnd;
use crate::orders::ProbeAnswer;
use crate::upstream::Kind;
use crate::upstream::Room;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

struct Open;

impl Gate for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

struct Shut;

impl Gate for Shut {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Err(NotRun::new(NotRunReason::Stale, Duration::ZERO))
    }
}

struct Agent {
    residency: Residency,
    upstream: UpstreamKey,
    next: u64,
}

impl Agent {
    fn new(slots: usize, resident: &[&str], now: Instant) -> Self {
        let mut residency = Residency::new(Settings::builder().load_share(1_000.0).build());
        let base_model = "base".into();
        let upstream = residency.add_upstream("runner".into(), Kind::Engine { base_model });
        residency.set_owned(true);
        let answer = ProbeAnswer {
            boot: 1,
            room: Room::new(slots, 2),
            has_base: true,
            incoming: None,
            resident: resident.iter().map(|name| adapter(name)).collect(),
        };
        residency.on_probe(now, upstream, &answer);
        Self {
            residency,
            upstream,
            next: 0,
        }
    }

    fn submit(&mut self, now: Instant, name: &str) -> JobKey {
        self.submit_as(now, name, Priority::Normal, None)
    }

    fn submit_as(
        &mut self,
        now: Instant,
        name: &str,
        priority: Priority,
        deadline: Option<Instant>,
    ) -> JobKey {
        self.next += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next,
        };
        let target = Target::Adapter {
            adapter: adapter(name),
            base_model: "base".into(),
        };
        let job = Job::new(request, target, priority, now, deadline);
        self.residency.submit(now, job, &Open).unwrap()
    }

    fn plan(&mut self, now: Instant) -> Vec<Action> {
        self.residency.plan(now, &Open)
    }
}

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, "1")
}

fn dispatched(actions: &[Action]) -> Vec<JobKey> {
    let jobs = actions.iter().filter_map(|action| match action {
        Action::Dispatch { job, .. } => Some(*job),
        _ => None,
    });
    jobs.collect()
}

fn unloaded(actions: &[Action]) -> Vec<&AdapterRef> {
    let adapters = actions.iter().filter_map(|action| match action {
        Action::Unload { adapter, .. } => Some(adapter),
        _ => None,
    });
    adapters.collect()
}

fn loaded(actions: &[Action]) -> Vec<&AdapterRef> {
    let adapters = actions.iter().filter_map(|action| match action {
        Action::Load { adapter, .. } => Some(adapter),
        _ => None,
    });
    adapters.collect()
}

#[test]
fn waiters_of_one_adapter_share_one_load() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &[], now);
    let jobs = [agent.submit(now, "roast"), agent.submit(now, "roast")];
    let actions = agent.plan(now);
    assert_eq!(loaded(&actions), [&adapter("roast")]);
    assert!(loaded(&agent.plan(now)).is_empty());
    let upstream = agent.upstream;
    agent
        .residency
        .on_load_end(now, upstream, &adapter("roast"), OrderEnd::Done);
    assert_eq!(dispatched(&agent.plan(now)), jobs);
}

#[test]
fn pinned_adapter_is_never_evicted() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let running = agent.submit(now, "roast");
    assert_eq!(dispatched(&agent.plan(now)), [running]);
    agent.submit(now, "lathe");
    let late = now + Duration::from_secs(10);
    // The pinned adapter takes no new requests, but stays until it is unpinned.
    assert!(unloaded(&agent.plan(late)).is_empty());
    assert!(unloaded(&agent.plan(late)).is_empty());
    agent.residency.on_run_end(late, running, RunEnd::Over);
    assert_eq!(unloaded(&agent.plan(late)), [&adapter("roast")]);
}

#[test]
fn waiting_adapter_is_not_passed_over_for_ever() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["busy"], now);
    let first = agent.submit(now, "busy");
    agent.plan(now);
    agent.submit(now, "rare");
    let late = now + Duration::from_secs(1);
    agent.plan(late);
    // The busy adapter is on its way out, so a new request for it must wait.
    let second = agent.submit(late, "busy");
    assert!(!dispatched(&agent.plan(late)).contains(&second));
    agent.residency.on_run_end(late, first, RunEnd::Over);
    assert_eq!(unloaded(&agent.plan(late)), [&adapter("busy")]);
    let upstream = agent.upstream;
    agent
        .residency
        .on_unload_end(upstream, &adapter("busy"), OrderEnd::Done);
    assert_eq!(loaded(&agent.plan(late)), [&adapter("rare")]);
}

#[test]
fn adapter_on_its_way_out_is_not_loaded_over_its_pins() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &["busy", "other"], now);
    agent.submit(now, "busy");
    let other = agent.submit(now, "other");
    agent.plan(now);
    // Another adapter waits long enough for one to retire, then its request expires.
    let late = now + Duration::from_secs(1);
    agent.submit_as(now, "rare", Priority::Normal, Some(late));
    agent.plan(late - Duration::from_millis(1));
    agent.plan(late);
    // The retired adapter is pinned; a new request for it finds room beside it.
    agent.submit(late, "busy");
    agent.residency.on_run_end(late, other, RunEnd::Over);
    let upstream = agent.upstream;
    if let [Action::Unload { adapter, .. }] = &agent.plan(late)[..] {
        agent
            .residency
            .on_unload_end(upstream, adapter, OrderEnd::Done);
    }
    assert!(loaded(&agent.plan(late)).is_empty());
    let held = &agent.residency.upstream(upstream).unwrap().residents;
    assert_eq!(held[&adapter("busy")].pins, 1);
}

#[test]
fn least_popular_idle_adapter_is_evicted() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &["busy", "idle"], now);
    let job = agent.submit(now, "busy");
    agent.plan(now);
    agent.residency.on_run_end(now, job, RunEnd::Over);
    agent.submit(now, "new");
    assert_eq!(unloaded(&agent.plan(now)), [&adapter("idle")]);
}

#[test]
fn nothing_runs_while_the_gate_is_shut() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    agent.submit(now, "roast");
    let actions = agent.residency.plan(now, &Shut);
    assert!(dispatched(&actions).is_empty());
    assert!(matches!(&actions[..], [Action::NotRun { .. }]));
}

#[test]
fn high_priority_goes_first_when_room_is_short() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let low = agent.submit_as(now, "roast", Priority::Low, None);
    let normal = agent.submit_as(now, "roast", Priority::Normal, None);
    let high = agent.submit_as(now, "roast", Priority::High, None);
    assert_eq!(dispatched(&agent.plan(now)), [high, normal]);
    agent.residency.on_run_end(now, high, RunEnd::Over);
    assert_eq!(dispatched(&agent.plan(now)), [low]);
}

#[test]
fn request_past_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &[], now);
    agent.submit_as(now, "roast", Priority::Normal, Some(now));
    let actions = agent.plan(now);
    let refused = actions.iter().any(|action| match action {
        Action::NotRun { refused, .. } => refused.not_run.reason == NotRunReason::Deadline,
        _ => false,
    });
    assert!(refused, "{actions:?}");
}

#[test]
fn leaving_agent_refuses_what_waits_and_finishes_what_runs() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let running = agent.submit(now, "roast");
    agent.plan(now);
    agent.submit(now, "lathe");
    let actions = agent.residency.set_leaving(true);
    assert!(matches!(&actions[..], [Action::NotRun { .. }]));
    assert!(!agent.residency.is_empty());
    agent.residency.on_run_end(now, running, RunEnd::Over);
    assert!(agent.residency.is_empty());
}

#[test]
fn failing_load_backs_off_longer_each_time() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &[], now);
    agent.submit(now, "roast");
    assert_eq!(loaded(&agent.plan(now)).len(), 1);
    let upstream = agent.upstream;
    agent
        .residency
        .on_load_end(now, upstream, &adapter("roast"), OrderEnd::Failed);
    assert!(loaded(&agent.plan(now)).is_empty());
    let later = now + Duration::from_millis(600);
    assert_eq!(loaded(&agent.plan(later)).len(), 1);
    let refused = agent
        .residency
        .on_load_end(later, upstream, &adapter("roast"), OrderEnd::Failed);
    assert!(matches!(&refused[..], [Action::NotRun { .. }]));
}

#[test]
fn no_order_goes_to_an_upstream_that_is_not_owned() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["idle"], now);
    agent.residency.set_owned(false);
    agent.submit(now, "roast");
    let actions = agent.plan(now);
    assert!(loaded(&actions).is_empty() && unloaded(&actions).is_empty());
}

#[test]
fn pins_of_an_older_boot_do_not_count_in_the_new_one() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let old = agent.submit(now, "roast");
    agent.plan(now);
    let answer = ProbeAnswer {
        boot: 2,
        room: Room::new(1, 2),
        has_base: true,
        incoming: None,
        resident: vec![adapter("roast")],
    };
    let upstream = agent.upstream;
    agent.residency.on_probe(now, upstream, &answer);
    let new = agent.submit(now, "roast");
    assert_eq!(dispatched(&agent.plan(now)), [new]);
    // The end of the old run must not unpin the adapter of the new one.
    agent.residency.on_run_end(now, old, RunEnd::Over);
    agent.submit(now, "lathe");
    let late = now + Duration::from_secs(10);
    agent.plan(late);
    assert!(unloaded(&agent.plan(late)).is_empty());
}

#[rstest]
#[case(RunEnd::AdapterMissing)]
#[case(RunEnd::Unreached)]
fn declined_request_waits_again_until_it_is_declined_too_often(#[case] end: RunEnd) {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let job = agent.submit(now, "roast");
    let answer = ProbeAnswer {
        boot: 1,
        room: Room::new(1, 2),
        has_base: true,
        incoming: None,
        resident: vec![adapter("roast")],
    };
    let mut refused = false;
    for _ in 0..3 {
        let upstream = agent.upstream;
        agent.residency.on_probe(now, upstream, &answer);
        assert_eq!(dispatched(&agent.plan(now)), [job]);
        let actions = agent.residency.on_run_end(now, job, end);
        refused = actions
            .iter()
            .any(|action| matches!(action, Action::NotRun { .. }));
    }
    assert!(refused);
    assert!(agent.residency.is_empty());
}
