//! State machine test: random events on simulated engines that carry out orders,
//! fail, restart and lose responses.

use crate::Action;
use crate::AdmissionCheck;
use crate::JobKey;
use crate::Scheduler;
use crate::SchedulerSettings;
use crate::Target;
use crate::UpstreamKey;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::RunOutcome;
use crate::orders::OrderOutcome;
use crate::orders::ProbeResponse;
use crate::upstream::Limits;
use crate::upstream::UpstreamKind;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

const ENGINES: usize = 2;
const ADAPTERS: usize = 6;
const SLOTS: usize = 2;
const BATCH: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Reply {
    Done,
    Failed,
    LostAfterEffect,
    LostBeforeEffect,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Cancel(usize),
    EndRun(usize),
    FinishOrder(Reply),
    SetLeaving(bool),
    SetOwned(bool),
    Probe(usize),
    Restart(usize),
    Submit(usize),
}

#[derive(Clone, Debug)]
enum Order {
    Load(AdapterRef),
    Unload(AdapterRef),
}

#[derive(Debug, Default)]
struct Engine {
    boot: u64,
    loaded: BTreeSet<AdapterRef>,
    running: BTreeMap<JobKey, AdapterRef>,
}

struct Simulation {
    now: Instant,
    scheduler: Scheduler,
    keys: Vec<UpstreamKey>,
    engines: Vec<Engine>,
    /// Orders in flight, each with the index of its engine.
    orders: Vec<(usize, Order)>,
    /// Runs that were cancelled or aborted by a restart, whose end the scheduler has
    /// not been told yet.
    interrupted_runs: Vec<JobKey>,
    requests: BTreeMap<JobKey, RequestId>,
    /// Number of runs of each request.
    runs: HashMap<RequestId, u32>,
    refused: BTreeSet<RequestId>,
    next_request: u64,
}

struct AllowAll;

impl AdmissionCheck for AllowAll {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

struct StepModel;

impl ReferenceStateMachine for StepModel {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let reply = prop_oneof![
            6 => Just(Reply::Done),
            1 => Just(Reply::Failed),
            1 => Just(Reply::LostAfterEffect),
            1 => Just(Reply::LostBeforeEffect),
        ];
        prop_oneof![
            4 => (0..ADAPTERS).prop_map(Step::Submit),
            4 => reply.prop_map(Step::FinishOrder),
            3 => (0..8_usize).prop_map(Step::EndRun),
            2 => (1..1_500_u64).prop_map(Step::Advance),
            2 => (0..ENGINES).prop_map(Step::Probe),
            1 => (0..ENGINES).prop_map(Step::Restart),
            1 => (0..8_usize).prop_map(Step::Cancel),
            1 => any::<bool>().prop_map(Step::SetLeaving),
            1 => any::<bool>().prop_map(Step::SetOwned),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl Simulation {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(
            SchedulerSettings::builder()
                .fallback_loads_per_second(50.0)
                .build(),
        );
        let kind = UpstreamKind::Engine {
            base_model: "base".into(),
        };
        let names = (0..ENGINES).map(|n| format!("runner-{n}"));
        let keys: Vec<UpstreamKey> = names
            .map(|name| scheduler.add_upstream(name.into(), kind.clone()))
            .collect();
        scheduler.set_owned(true);
        let mut simulation = Self {
            now: Instant::now(),
            scheduler,
            keys,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            orders: Vec::new(),
            interrupted_runs: Vec::new(),
            requests: BTreeMap::new(),
            runs: HashMap::new(),
            refused: BTreeSet::new(),
            next_request: 0,
        };
        (0..ENGINES).for_each(|engine| simulation.probe(engine));
        simulation
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(*ms),
            Step::Cancel(n) => {
                let job = self.requests.keys().nth(*n).copied();
                let actions = job.map(|job| self.scheduler.cancel(job));
                self.execute(actions.unwrap_or_default());
            }
            Step::EndRun(n) => self.end_run(*n),
            Step::FinishOrder(reply) => self.finish_order(*reply),
            Step::SetLeaving(leaving) => {
                let actions = self.scheduler.set_leaving(*leaving);
                self.execute(actions);
            }
            Step::SetOwned(owned) => self.scheduler.set_owned(*owned),
            Step::Probe(engine) => self.probe(*engine),
            Step::Restart(engine) => self.restart(*engine),
            Step::Submit(number) => self.submit(*number),
        }
        let actions = self.scheduler.plan(self.now, &AllowAll);
        self.execute(actions);
    }

    fn submit(&mut self, number: usize) {
        self.next_request += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next_request,
        };
        let target = Target::Adapter {
            adapter: AdapterRef::new(&format!("a{number}"), "1"),
            base_model: "base".into(),
        };
        let deadline = Some(self.now + Duration::from_secs(5));
        let job = Job::new(request, target, Priority::Normal, self.now, deadline);
        if let Ok(key) = self.scheduler.submit(self.now, job, &AllowAll) {
            self.requests.insert(key, request);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CancelRun { job } => self.interrupted_runs.push(job),
                Action::Dispatch { job, upstream } => self.dispatch(job, upstream),
                Action::LoadBaseModel { .. } => panic!("simulated engines keep their base model"),
                Action::Load { upstream, adapter } => self.send(upstream, Order::Load(adapter)),
                Action::NotRun { job, refusal } => {
                    self.requests.remove(&job);
                    let ran = self.runs.get(&refusal.request).copied().unwrap_or(0);
                    assert_eq!(
                        ran, 0,
                        "not_run_means_not_run: request {} was refused but ran",
                        refusal.request
                    );
                    self.refused.insert(refusal.request);
                }
                Action::Probe { upstream } => {
                    let engine = self.engine_index(upstream);
                    self.probe(engine);
                }
                Action::Unload { upstream, adapter } => {
                    self.send(upstream, Order::Unload(adapter));
                }
            }
        }
    }

    fn dispatch(&mut self, job: JobKey, upstream: UpstreamKey) {
        assert!(
            !self.scheduler.is_leaving(),
            "leaving_takes_no_work: job dispatched while leaving"
        );
        let request = self.requests[&job];
        assert!(
            !self.refused.contains(&request),
            "request {request} was dispatched after its refusal"
        );
        let Some(AnyJob::Running(running)) = self.scheduler.job(job) else {
            panic!("dispatched job of request {request} is not in state running");
        };
        let adapter = running.target.adapter().unwrap().clone();
        let engine = self.engine_index(upstream);
        if !self.engines[engine].loaded.contains(&adapter) {
            let outcome = RunOutcome::AdapterMissing;
            let actions = self.scheduler.on_run_end(self.now, job, outcome);
            self.execute(actions);
            return;
        }
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "at_most_once: request {request} ran twice");
        self.engines[engine].running.insert(job, adapter);
    }

    fn end_run(&mut self, n: usize) {
        let interrupted = self.interrupted_runs.pop();
        let running = self.engines.iter().flat_map(|engine| engine.running.keys());
        let Some(job) = interrupted.or(running.copied().nth(n)) else {
            return;
        };
        for engine in &mut self.engines {
            engine.running.remove(&job);
        }
        self.requests.remove(&job);
        let actions = self
            .scheduler
            .on_run_end(self.now, job, RunOutcome::Finished);
        self.execute(actions);
    }

    fn send(&mut self, upstream: UpstreamKey, order: Order) {
        let engine = self.engine_index(upstream);
        self.orders.push((engine, order));
    }

    fn finish_order(&mut self, reply: Reply) {
        if self.orders.is_empty() {
            return;
        }
        let (engine, order) = self.orders.remove(0);
        let has_effect = matches!(reply, Reply::Done | Reply::LostAfterEffect);
        let done = has_effect && self.apply_order(engine, &order);
        let outcome = match reply {
            Reply::Done if done => OrderOutcome::Done,
            Reply::Done | Reply::Failed => OrderOutcome::Failed,
            Reply::LostAfterEffect | Reply::LostBeforeEffect => OrderOutcome::Unknown,
        };
        let upstream = self.keys[engine];
        let actions = match &order {
            Order::Load(adapter) => self
                .scheduler
                .on_load_end(self.now, upstream, adapter, outcome),
            Order::Unload(adapter) => self.scheduler.on_unload_end(upstream, adapter, outcome),
        };
        self.execute(actions);
        // The agent probes an engine after every order.
        self.probe(engine);
    }

    fn apply_order(&mut self, engine: usize, order: &Order) -> bool {
        let engine = &mut self.engines[engine];
        match order {
            Order::Load(adapter) => {
                let has_free_slot = engine.loaded.len() < SLOTS;
                has_free_slot && engine.loaded.insert(adapter.clone())
            }
            Order::Unload(adapter) => {
                let in_use = engine.running.values().any(|used| used == adapter);
                assert!(
                    !in_use,
                    "pinned_never_evicted: adapter {adapter} unloaded while in use"
                );
                engine.loaded.remove(adapter)
            }
        }
    }

    fn probe(&mut self, engine: usize) {
        let state = &self.engines[engine];
        let response = ProbeResponse {
            boot: state.boot,
            limits: Limits::new(SLOTS, BATCH),
            has_base_model: true,
            loading: None,
            resident: state.loaded.iter().cloned().collect(),
        };
        // The agent never probes an upstream while an order is in flight.
        if self.orders.iter().all(|(target, _)| *target != engine) {
            self.scheduler
                .on_probe(self.now, self.keys[engine], &response);
        }
    }

    fn restart(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.boot += 1;
        state.loaded.clear();
        // The restart aborts the runs; the scheduler learns of each end in a later
        // `Step::EndRun`.
        let aborted = std::mem::take(&mut state.running);
        self.interrupted_runs.extend(aborted.into_keys());
    }

    fn engine_index(&self, upstream: UpstreamKey) -> usize {
        self.keys.iter().position(|key| *key == upstream).unwrap()
    }
}

struct SchedulerTest;

impl StateMachineTest for SchedulerTest {
    type SystemUnderTest = Simulation;
    type Reference = StepModel;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(simulation: Simulation, (): &(), step: Step) -> Simulation {
        let mut simulation = simulation;
        simulation.step(&step);
        simulation
    }

    fn check_invariants(simulation: &Simulation, (): &()) {
        assert!(simulation.scheduler.check_invariants());
    }

    fn teardown(simulation: Simulation, (): ()) {
        // After any sequence of events, every request must end within 400 steps of
        // 100 ms.
        let mut simulation = simulation;
        simulation.scheduler.set_owned(true);
        let actions = simulation.scheduler.set_leaving(false);
        simulation.execute(actions);
        for _ in 0..400 {
            simulation.now += Duration::from_millis(100);
            (0..ENGINES).for_each(|engine| simulation.probe(engine));
            simulation.step(&Step::FinishOrder(Reply::Done));
            simulation.step(&Step::EndRun(0));
        }
        assert!(
            simulation.scheduler.is_empty(),
            "requests remain queued or running after 40 s of simulated time"
        );
    }
}

/// Returns the configuration of the test. For long runs, `DOGWOODSHUNT_CASES` sets
/// the number of cases and `DOGWOODSHUNT_SEED` the seed.
fn config() -> ProptestConfig {
    let read_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: read_number("DOGWOODSHUNT_CASES").map_or(300, |cases: u64| cases as u32),
        rng_seed: RngSeed::Fixed(read_number("DOGWOODSHUNT_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_for_random_events(sequential 1..120 => SchedulerTest);
}
