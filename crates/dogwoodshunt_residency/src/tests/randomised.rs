//! Random events against fake engines that obey, fail, restart and lose answers.

use crate::Action;
use crate::Gate;
use crate::JobKey;
use crate::Residency;
use crate::Settings;
use crate::Target;
use crate::UpstreamKey;
use crate::job::AnyJob;
use crate::job::Job;
use crate::job::RunEnd;
use crate::orders::OrderEnd;
use crate::orders::ProbeAnswer;
use crate::upstream::Kind;
use crate::upstream::Room;
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
enum Fate {
    Done,
    Failed,
    LostAfter,
    LostBefore,
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Cancel(usize),
    EndRun(usize),
    FinishOrder(Fate),
    Leave(bool),
    Own(bool),
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

struct World {
    now: Instant,
    residency: Residency,
    keys: Vec<UpstreamKey>,
    engines: Vec<Engine>,
    orders: Vec<(usize, Order)>,
    lost_runs: Vec<JobKey>,
    requests: BTreeMap<JobKey, RequestId>,
    runs: HashMap<RequestId, u32>,
    refused: BTreeSet<RequestId>,
    next: u64,
}

struct Open;

impl Gate for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            6 => Just(Fate::Done),
            1 => Just(Fate::Failed),
            1 => Just(Fate::LostAfter),
            1 => Just(Fate::LostBefore),
        ];
        prop_oneof![
            4 => (0..ADAPTERS).prop_map(Step::Submit),
            4 => fate.prop_map(Step::FinishOrder),
            3 => (0..8_usize).prop_map(Step::EndRun),
            2 => (1..1_500_u64).prop_map(Step::Advance),
            2 => (0..ENGINES).prop_map(Step::Probe),
            1 => (0..ENGINES).prop_map(Step::Restart),
            1 => (0..8_usize).prop_map(Step::Cancel),
            1 => any::<bool>().prop_map(Step::Leave),
            1 => any::<bool>().prop_map(Step::Own),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl World {
    fn new() -> Self {
        let mut residency = Residency::new(Settings::builder().load_share(50.0).build());
        let kind = Kind::Engine {
            base_model: "base".into(),
        };
        let names = (0..ENGINES).map(|n| format!("runner-{n}"));
        let keys: Vec<UpstreamKey> = names
            .map(|name| residency.add_upstream(name.into(), kind.clone()))
            .collect();
        residency.set_owned(true);
        let mut world = Self {
            now: Instant::now(),
            residency,
            keys,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            orders: Vec::new(),
            lost_runs: Vec::new(),
            requests: BTreeMap::new(),
            runs: HashMap::new(),
            refused: BTreeSet::new(),
            next: 0,
        };
        (0..ENGINES).for_each(|engine| world.probe(engine));
        world
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(*ms),
            Step::Cancel(n) => {
                let running = self.requests.keys().nth(*n).copied();
                let actions = running.map(|job| self.residency.cancel(job));
                self.carry_out(actions.unwrap_or_default());
            }
            Step::EndRun(n) => self.end_run(*n),
            Step::FinishOrder(fate) => self.finish_order(*fate),
            Step::Leave(leaving) => {
                let actions = self.residency.set_leaving(*leaving);
                self.carry_out(actions);
            }
            Step::Own(owned) => self.residency.set_owned(*owned),
            Step::Probe(engine) => self.probe(*engine),
            Step::Restart(engine) => self.restart(*engine),
            Step::Submit(number) => self.submit(*number),
        }
        let actions = self.residency.plan(self.now, &Open);
        self.carry_out(actions);
    }

    fn submit(&mut self, number: usize) {
        self.next += 1;
        let request = RequestId {
            entry_boot: 1,
            number: self.next,
        };
        let target = Target::Adapter {
            adapter: AdapterRef::new(&format!("a{number}"), "1"),
            base_model: "base".into(),
        };
        let deadline = Some(self.now + Duration::from_secs(5));
        let job = Job::new(request, target, Priority::Normal, self.now, deadline);
        if let Ok(key) = self.residency.submit(self.now, job, &Open) {
            self.requests.insert(key, request);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::CancelRun { job } => self.lost_runs.push(job),
                Action::Dispatch { job, upstream } => self.dispatch(job, upstream),
                Action::LoadBase { .. } => panic!("engines here never lose their base model"),
                Action::Load { upstream, adapter } => self.order(upstream, Order::Load(adapter)),
                Action::NotRun { job, refused } => {
                    self.requests.remove(&job);
                    let ran = self.runs.get(&refused.request).copied().unwrap_or(0);
                    assert_eq!(ran, 0, "not_run_means_not_run: {}", refused.request);
                    self.refused.insert(refused.request);
                }
                Action::Probe { upstream } => {
                    let engine = self.index(upstream);
                    self.probe(engine);
                }
                Action::Unload { upstream, adapter } => {
                    self.order(upstream, Order::Unload(adapter));
                }
            }
        }
    }

    fn dispatch(&mut self, job: JobKey, upstream: UpstreamKey) {
        assert!(!self.residency.is_leaving(), "leaving_takes_no_work");
        let request = self.requests[&job];
        assert!(!self.refused.contains(&request), "ran after it was refused");
        let Some(AnyJob::Running(running)) = self.residency.job(job) else {
            panic!("dispatched a job that is not running");
        };
        let adapter = running.target.adapter().unwrap().clone();
        let engine = self.index(upstream);
        if !self.engines[engine].loaded.contains(&adapter) {
            let end = RunEnd::AdapterMissing;
            let actions = self.residency.on_run_end(self.now, job, end);
            self.carry_out(actions);
            return;
        }
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "at_most_once: {request}");
        self.engines[engine].running.insert(job, adapter);
    }

    fn end_run(&mut self, n: usize) {
        let lost = self.lost_runs.pop();
        let running = self.engines.iter().flat_map(|engine| engine.running.keys());
        let Some(job) = lost.or(running.copied().nth(n)) else {
            return;
        };
        for engine in &mut self.engines {
            engine.running.remove(&job);
        }
        self.requests.remove(&job);
        let actions = self.residency.on_run_end(self.now, job, RunEnd::Over);
        self.carry_out(actions);
    }

    fn order(&mut self, upstream: UpstreamKey, order: Order) {
        let engine = self.index(upstream);
        self.orders.push((engine, order));
    }

    fn finish_order(&mut self, fate: Fate) {
        if self.orders.is_empty() {
            return;
        }
        let (engine, order) = self.orders.remove(0);
        let takes_effect = matches!(fate, Fate::Done | Fate::LostAfter);
        let done = takes_effect && self.obey(engine, &order);
        let end = match fate {
            Fate::Done if done => OrderEnd::Done,
            Fate::Done | Fate::Failed => OrderEnd::Failed,
            Fate::LostAfter | Fate::LostBefore => OrderEnd::Unsure,
        };
        let upstream = self.keys[engine];
        let actions = match &order {
            Order::Load(adapter) => self.residency.on_load_end(self.now, upstream, adapter, end),
            Order::Unload(adapter) => self.residency.on_unload_end(upstream, adapter, end),
        };
        self.carry_out(actions);
        // Every order is followed by a look at the engine.
        self.probe(engine);
    }

    fn obey(&mut self, engine: usize, order: &Order) -> bool {
        let engine = &mut self.engines[engine];
        match order {
            Order::Load(adapter) => {
                let room = engine.loaded.len() < SLOTS;
                room && engine.loaded.insert(adapter.clone())
            }
            Order::Unload(adapter) => {
                let in_use = engine.running.values().any(|used| used == adapter);
                assert!(!in_use, "pinned_never_evicted: {adapter}");
                engine.loaded.remove(adapter)
            }
        }
    }

    fn probe(&mut self, engine: usize) {
        let held = &self.engines[engine];
        let answer = ProbeAnswer {
            boot: held.boot,
            room: Room::new(SLOTS, BATCH),
            has_base: true,
            incoming: None,
            resident: held.loaded.iter().cloned().collect(),
        };
        // Orders and probes of one upstream never overlap.
        if self.orders.iter().all(|(ordered, _)| *ordered != engine) {
            self.residency
                .on_probe(self.now, self.keys[engine], &answer);
        }
    }

    fn restart(&mut self, engine: usize) {
        let held = &mut self.engines[engine];
        held.boot += 1;
        held.loaded.clear();
        // The runs broke off; the agent hears of each one by and by.
        let broken = std::mem::take(&mut held.running);
        self.lost_runs.extend(broken.into_keys());
    }

    fn index(&self, upstream: UpstreamKey) -> usize {
        self.keys.iter().position(|key| *key == upstream).unwrap()
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(world: World, (): &(), step: Step) -> World {
        let mut world = world;
        world.step(&step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        assert!(world.residency.check_invariants());
    }

    fn teardown(world: World, (): ()) {
        // Whatever happened, the agent comes to rest: every request ends.
        let mut world = world;
        world.residency.set_owned(true);
        let actions = world.residency.set_leaving(false);
        world.carry_out(actions);
        for _ in 0..400 {
            world.now += Duration::from_millis(100);
            (0..ENGINES).for_each(|engine| world.probe(engine));
            world.step(&Step::FinishOrder(Fate::Done));
            world.step(&Step::EndRun(0));
        }
        assert!(world.residency.is_empty(), "a request never ends");
    }
}

/// Cases and seed may be set from outside for long runs.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: number("DOGWOODSHUNT_CASES").map_or(300, |cases: u64| cases as u32),
        rng_seed: RngSeed::Fixed(number("DOGWOODSHUNT_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_whatever_engines_do(sequential 1..120 => Machine);
}
