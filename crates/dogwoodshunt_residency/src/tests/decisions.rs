//! Tests of single scheduling decisions.

use crate::Action;
use crate::AdmissionCheck;
use crate::JobKey;
use crate::Scheduler;
use crate::SchedulerSettings;
use crate::Target;
use crate::UpstreamKey;
use crate::job::Job;
use crate::job::RunOutcome;
use crate::orders::OrderOutcome;
use crate::orders::ProbeResponse;
use crate::upstream::Limits;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use rstest::rstest;
use std::time::Duration;
use std::time::Instant;

struct AllowAll;

impl AdmissionCheck for AllowAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

struct DenyAll;

impl AdmissionCheck for DenyAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Err(NotRun::new(NotRunReason::Stale, Duration::ZERO))
    }
}

struct Agent {
    scheduler: Scheduler,
    upstream: UpstreamKey,
    next_request: u64,
}

impl Agent {
    fn new(slots: usize, resident: &[&str], now: Instant) -> Self {
        let mut scheduler = Scheduler::new(
            SchedulerSettings::builder()
                .fallback_loads_per_second(1_000.0)
                .build(),
        );
        let base_model = "base".into();
        let upstream = scheduler.add_upstream("runner".into(), UpstreamKind::Engine { base_model });
        scheduler.set_owned(true);
        let response = ProbeResponse {
            boot: 1,
            limits: Limits::new(slots, 2),
            has_base_model: true,
            loading: None,
            resident: resident.iter().map(|name| adapter(name)).collect(),
        };
        scheduler.on_probe(now, upstream, &response);
        Self {
            scheduler,
            upstream,
            next_request: 0,
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
        self.next_request += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next_request,
        };
        let target = Target::Adapter {
            adapter: adapter(name),
            base_model: "base".into(),
        };
        let job = Job::new(request, target, priority, now, deadline);
        self.scheduler.submit(now, job, &AllowAll).unwrap()
    }

    fn plan(&mut self, now: Instant) -> Vec<Action> {
        self.scheduler.plan(now, &AllowAll)
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

fn unload_orders(actions: &[Action]) -> Vec<&AdapterRef> {
    let adapters = actions.iter().filter_map(|action| match action {
        Action::Unload { adapter, .. } => Some(adapter),
        _ => None,
    });
    adapters.collect()
}

fn load_orders(actions: &[Action]) -> Vec<&AdapterRef> {
    let adapters = actions.iter().filter_map(|action| match action {
        Action::Load { adapter, .. } => Some(adapter),
        _ => None,
    });
    adapters.collect()
}

#[test]
fn queued_jobs_of_one_adapter_share_one_load() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &[], now);
    let jobs = [agent.submit(now, "roast"), agent.submit(now, "roast")];
    let actions = agent.plan(now);
    assert_eq!(load_orders(&actions), [&adapter("roast")]);
    assert!(load_orders(&agent.plan(now)).is_empty());
    let upstream = agent.upstream;
    agent
        .scheduler
        .on_load_end(now, upstream, &adapter("roast"), OrderOutcome::Done);
    assert_eq!(dispatched(&agent.plan(now)), jobs);
}

#[test]
fn pinned_adapter_is_never_evicted() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let running = agent.submit(now, "roast");
    assert_eq!(dispatched(&agent.plan(now)), [running]);
    agent.submit(now, "lathe");
    let later = now + Duration::from_secs(10);
    // The pinned adapter drains, and stays resident until its run ends.
    assert!(unload_orders(&agent.plan(later)).is_empty());
    assert!(unload_orders(&agent.plan(later)).is_empty());
    agent
        .scheduler
        .on_run_end(later, running, RunOutcome::Finished);
    assert_eq!(unload_orders(&agent.plan(later)), [&adapter("roast")]);
}

#[test]
fn busy_adapter_does_not_starve_one_that_waits_to_be_loaded() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["busy"], now);
    let first = agent.submit(now, "busy");
    agent.plan(now);
    agent.submit(now, "rare");
    let later = now + Duration::from_secs(1);
    agent.plan(later);
    // The adapter "busy" drains, so a new request for it must wait.
    let second = agent.submit(later, "busy");
    assert!(!dispatched(&agent.plan(later)).contains(&second));
    agent
        .scheduler
        .on_run_end(later, first, RunOutcome::Finished);
    assert_eq!(unload_orders(&agent.plan(later)), [&adapter("busy")]);
    let upstream = agent.upstream;
    agent
        .scheduler
        .on_unload_end(upstream, &adapter("busy"), OrderOutcome::Done);
    assert_eq!(load_orders(&agent.plan(later)), [&adapter("rare")]);
}

#[test]
fn draining_adapter_with_pins_is_not_loaded_again() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &["busy", "other"], now);
    agent.submit(now, "busy");
    let other = agent.submit(now, "other");
    agent.plan(now);
    // The request for a third adapter waits long enough that "busy" is drained, and
    // then expires.
    let later = now + Duration::from_secs(1);
    agent.submit_as(now, "rare", Priority::Normal, Some(later));
    agent.plan(later - Duration::from_millis(1));
    agent.plan(later);
    // "busy" is still pinned when a new request for it arrives and the slot of
    // "other" becomes free. A load of "busy" would reset the pin.
    agent.submit(later, "busy");
    agent
        .scheduler
        .on_run_end(later, other, RunOutcome::Finished);
    let upstream = agent.upstream;
    if let [Action::Unload { adapter, .. }] = &agent.plan(later)[..] {
        agent
            .scheduler
            .on_unload_end(upstream, adapter, OrderOutcome::Done);
    }
    assert!(load_orders(&agent.plan(later)).is_empty());
    let residents = &agent.scheduler.upstream(upstream).unwrap().residents;
    assert_eq!(residents[&adapter("busy")].pins, 1);
}

#[test]
fn least_popular_idle_adapter_is_evicted() {
    let now = Instant::now();
    let mut agent = Agent::new(2, &["busy", "idle"], now);
    let job = agent.submit(now, "busy");
    agent.plan(now);
    agent.scheduler.on_run_end(now, job, RunOutcome::Finished);
    agent.submit(now, "new");
    assert_eq!(unload_orders(&agent.plan(now)), [&adapter("idle")]);
}

#[test]
fn queued_job_is_refused_when_its_target_may_not_run() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    agent.submit(now, "roast");
    let actions = agent.scheduler.plan(now, &DenyAll);
    assert!(dispatched(&actions).is_empty());
    assert!(matches!(&actions[..], [Action::NotRun { .. }]));
}

#[test]
fn jobs_are_dispatched_by_priority_when_batch_is_small() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let low = agent.submit_as(now, "roast", Priority::Low, None);
    let normal = agent.submit_as(now, "roast", Priority::Normal, None);
    let high = agent.submit_as(now, "roast", Priority::High, None);
    assert_eq!(dispatched(&agent.plan(now)), [high, normal]);
    agent.scheduler.on_run_end(now, high, RunOutcome::Finished);
    assert_eq!(dispatched(&agent.plan(now)), [low]);
}

#[test]
fn job_past_its_deadline_is_refused_in_the_next_planning_step() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &[], now);
    agent.submit_as(now, "roast", Priority::Normal, Some(now));
    let actions = agent.plan(now);
    let refused = actions.iter().any(|action| match action {
        Action::NotRun { refusal, .. } => refusal.not_run.reason == NotRunReason::Deadline,
        _ => false,
    });
    assert!(refused, "{actions:?}");
}

#[test]
fn leaving_agent_refuses_queued_jobs_and_keeps_running_ones() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let running = agent.submit(now, "roast");
    agent.plan(now);
    agent.submit(now, "lathe");
    let actions = agent.scheduler.set_leaving(true);
    assert!(matches!(&actions[..], [Action::NotRun { .. }]));
    assert!(!agent.scheduler.is_empty());
    agent
        .scheduler
        .on_run_end(now, running, RunOutcome::Finished);
    assert!(agent.scheduler.is_empty());
}

#[test]
fn failed_load_is_retried_after_backoff_then_jobs_are_refused() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &[], now);
    agent.submit(now, "roast");
    assert_eq!(load_orders(&agent.plan(now)).len(), 1);
    let upstream = agent.upstream;
    agent
        .scheduler
        .on_load_end(now, upstream, &adapter("roast"), OrderOutcome::Failed);
    assert!(load_orders(&agent.plan(now)).is_empty());
    let later = now + Duration::from_millis(600);
    assert_eq!(load_orders(&agent.plan(later)).len(), 1);
    let refused =
        agent
            .scheduler
            .on_load_end(later, upstream, &adapter("roast"), OrderOutcome::Failed);
    assert!(matches!(&refused[..], [Action::NotRun { .. }]));
}

#[test]
fn upstream_that_is_not_owned_receives_no_orders() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["idle"], now);
    agent.scheduler.set_owned(false);
    agent.submit(now, "roast");
    let actions = agent.plan(now);
    assert!(load_orders(&actions).is_empty() && unload_orders(&actions).is_empty());
}

#[test]
fn end_of_run_on_previous_boot_does_not_unpin_adapter() {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let old = agent.submit(now, "roast");
    agent.plan(now);
    let response = ProbeResponse {
        boot: 2,
        limits: Limits::new(1, 2),
        has_base_model: true,
        loading: None,
        resident: vec![adapter("roast")],
    };
    let upstream = agent.upstream;
    agent.scheduler.on_probe(now, upstream, &response);
    let new = agent.submit(now, "roast");
    assert_eq!(dispatched(&agent.plan(now)), [new]);
    // The end of the run on the previous boot must not unpin the adapter, which a
    // run on the current boot uses.
    agent.scheduler.on_run_end(now, old, RunOutcome::Finished);
    agent.submit(now, "lathe");
    let later = now + Duration::from_secs(10);
    agent.plan(later);
    assert!(unload_orders(&agent.plan(later)).is_empty());
}

#[rstest]
#[case(RunOutcome::AdapterMissing)]
#[case(RunOutcome::Unreachable)]
fn job_that_did_not_run_is_requeued_until_attempts_are_exhausted(#[case] outcome: RunOutcome) {
    let now = Instant::now();
    let mut agent = Agent::new(1, &["roast"], now);
    let job = agent.submit(now, "roast");
    let response = ProbeResponse {
        boot: 1,
        limits: Limits::new(1, 2),
        has_base_model: true,
        loading: None,
        resident: vec![adapter("roast")],
    };
    let mut refused = false;
    for _ in 0..3 {
        let upstream = agent.upstream;
        agent.scheduler.on_probe(now, upstream, &response);
        assert_eq!(dispatched(&agent.plan(now)), [job]);
        let actions = agent.scheduler.on_run_end(now, job, outcome);
        refused = actions
            .iter()
            .any(|action| matches!(action, Action::NotRun { .. }));
    }
    assert!(refused);
    assert!(agent.scheduler.is_empty());
}
