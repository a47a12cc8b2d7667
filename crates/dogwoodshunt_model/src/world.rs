//! Entries, agents and engines under a load, played event by event.
//!
//! Each entry has a router of its own, each engine a scheduler and an agent's
//! place; messages between them take the time of the way. What decides is the
//! product's own code, at the model's time. `runs` plays what engines run.

use crate::engine::RunId;
use crate::host::Agent;
use crate::host::BASE_MODEL;
use crate::host::Fleet;
use crate::host::Open;
use crate::load;
use crate::load::Class;
use crate::load::Load;
use crate::load::Request;
use crate::outcome::Counts;
use crate::outcome::Outcome;
use crate::weights::RELOAD_TIME;
use crate::weights::Weights;
use crate::world::event::Event;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::orders::OrderOutcome;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::RouteRequest;
use dogwoodshunt_routing::Router;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

mod event;
mod runs;

/// One way between an entry and an agent.
const WAY: Duration = Duration::from_micros(600);

/// Time between two reports of an agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at the weight store.
const WEIGHTS_STEP: Duration = Duration::from_millis(5);

/// Agents that one request may be brought to.
const MOST_AGENTS: usize = 4;

struct Live {
    request: Request,
    entry: usize,
    excluded: Vec<AgentKey>,
    agent: Option<usize>,
    job: Option<JobKey>,
    first: Option<Duration>,
    last: Duration,
    longest_pause: Duration,
}

/// Entries, agents and engines.
pub struct World {
    start: Instant,
    at: Duration,
    fleet: Fleet,
    classes: [Class; 2],
    routers: Vec<(Router, Vec<AgentKey>)>,
    agents: Vec<Agent>,
    weights: Weights<(usize, AdapterRef)>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    live: HashMap<RunId, Live>,
    outcome: Outcome,
}

impl World {
    /// Creates a fleet that runs nothing.
    pub fn new(fleet: Fleet) -> Self {
        let start = Instant::now();
        let agents = (0..fleet.engines)
            .map(|_| Agent::new(start, &fleet))
            .collect();
        let routers = (0..fleet.entries).map(|_| {
            let mut router = Router::new(fleet.placing.clone());
            let keys = (0..fleet.engines).map(|index| {
                let key = router.add_agent(format!("agent-{index}").into());
                router.set_usable(key, true);
                key
            });
            let keys = keys.collect();
            (router, keys)
        });
        let routers = routers.collect();
        Self {
            start,
            at: Duration::ZERO,
            fleet,
            classes: load::classes(),
            routers,
            agents,
            weights: Weights::default(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            live: HashMap::new(),
            outcome: Outcome {
                classes: vec![Counts::default(); 2],
                ..Outcome::default()
            },
        }
    }

    /// Plays a load to its end and returns what callers got.
    pub fn play(mut self, load: &Load) -> Outcome {
        for (run, request) in load.draw().into_iter().enumerate() {
            let (run, at) = (run as RunId, request.at);
            let live = Live {
                entry: run as usize % self.fleet.entries,
                request,
                excluded: Vec::new(),
                agent: None,
                job: None,
                first: None,
                last: Duration::ZERO,
                longest_pause: Duration::ZERO,
            };
            self.live.insert(run, live);
            self.schedule_at(at, Event::Arrive { run });
        }
        for agent in 0..self.agents.len() {
            self.schedule_at(Duration::ZERO, Event::Report { agent });
        }
        self.schedule_at(WEIGHTS_STEP, Event::Weights);
        while !self.live.is_empty() {
            let Some(Reverse((at, number))) = self.queue.pop() else {
                break;
            };
            self.at = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.loads = self.weights.begun;
        self.outcome.tokens_read = self.agents.iter().map(|a| a.engine.tokens_read).sum();
        self.outcome
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.at + after, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Admit { run, agent } => self.on_admit(run, agent),
            Event::Arrive { run } => self.on_arrive(run),
            Event::Declined {
                run,
                agent,
                not_run,
            } => self.on_declined(run, agent, not_run),
            Event::FirstByte { run } => self.on_first_byte(run),
            Event::Gone { run } => self.on_gone(run),
            Event::Granted { run, agent } => self.on_granted(run, agent),
            Event::Loaded { agent, adapter } => self.on_loaded(agent, &adapter),
            Event::Report { agent } => self.on_report_due(agent),
            Event::Reported {
                entry,
                agent,
                report,
            } => self.on_reported(entry, agent, *report),
            Event::RunOver { run } => self.on_run_over(run),
            Event::StepOver { agent } => self.on_step_over(agent),
            Event::Weights => self.on_weights(),
        }
    }

    fn on_arrive(&mut self, run: RunId) {
        let Some(live) = self.live.get(&run) else {
            return;
        };
        let class = &self.classes[live.request.class];
        let leaves = live.request.at + class.patience;
        self.outcome.classes[live.request.class].sent += 1;
        self.schedule_at(leaves, Event::Gone { run });
        self.route(run);
    }

    fn route(&mut self, run: RunId) {
        let now = self.now();
        let Some(live) = self.live.get(&run) else {
            return;
        };
        let target = target_of(&live.request);
        let class = &self.classes[live.request.class];
        let useful = live.request.at + useful_wait(class, &self.fleet);
        let (router, keys) = &mut self.routers[live.entry];
        let routed = router.route(
            now,
            &RouteRequest {
                target: &target,
                deadline: Some(self.start + useful),
                excluded: &live.excluded,
                demand: &live.request.demand,
            },
        );
        let chosen = routed.ok().filter(|_| live.excluded.len() < MOST_AGENTS);
        let agent = chosen.and_then(|key| keys.iter().position(|held| *held == key));
        match agent {
            Some(agent) => self.schedule(WAY, Event::Admit { run, agent }),
            None => self.end(run, |counts| counts.refused += 1),
        }
    }

    fn on_admit(&mut self, run: RunId, agent: usize) {
        let now = self.now();
        let Some(live) = self.live.get_mut(&run) else {
            return;
        };
        let class = &self.classes[live.request.class];
        let request = RequestId {
            entry_boot: 1,
            number: run,
        };
        let due = self.start + live.request.at + class.objective;
        let deadline = self.start + live.request.at + useful_wait(class, &self.fleet);
        let target = target_of(&live.request);
        let job = Job::new(request, target, Priority::Normal, now, Some(deadline))
            .with_demand(live.request.demand.clone(), Some(due));
        let held = &mut self.agents[agent];
        match held.scheduler.submit(now, job, &Open) {
            Ok(job) => {
                live.agent = Some(agent);
                live.job = Some(job);
                held.jobs.insert(job, run);
                self.plan(agent);
            }
            Err(not_run) => {
                let declined = Event::Declined {
                    run,
                    agent,
                    not_run,
                };
                self.schedule(WAY, declined);
            }
        }
    }

    fn on_declined(&mut self, run: RunId, agent: usize, not_run: NotRun) {
        let Some(live) = self.live.get_mut(&run) else {
            return;
        };
        let target = target_of(&live.request);
        let (router, keys) = &mut self.routers[live.entry];
        router.on_attempt_end(keys[agent], &target);
        live.excluded.push(keys[agent]);
        live.agent = None;
        live.job = None;
        if not_run.reason == NotRunReason::Deadline {
            self.end(run, |counts| counts.refused += 1);
        } else {
            self.route(run);
        }
    }

    fn plan(&mut self, agent: usize) {
        let now = self.now();
        let actions = self.agents[agent].scheduler.plan(now, &Open);
        for action in actions {
            self.carry_out(agent, action);
        }
    }

    fn carry_out(&mut self, agent: usize, action: Action) {
        let now = self.now();
        let held = &mut self.agents[agent];
        match action {
            Action::Dispatch { job, .. } => {
                if let Some(run) = held.jobs.get(&job).copied() {
                    self.schedule(WAY * 2, Event::Granted { run, agent });
                }
            }
            Action::Load { adapter, .. } => {
                if held.take_copy(&adapter) {
                    self.schedule(RELOAD_TIME, Event::Loaded { agent, adapter });
                } else {
                    self.weights.begin((agent, adapter));
                }
            }
            Action::NotRun { job, refusal } => {
                if let Some(run) = held.jobs.remove(&job) {
                    let declined = Event::Declined {
                        run,
                        agent,
                        not_run: refusal.not_run,
                    };
                    self.schedule(WAY, declined);
                }
            }
            Action::Unload { upstream, adapter } => {
                held.keep_copy(adapter.clone());
                let end = OrderOutcome::Done;
                held.scheduler.on_unload_end(upstream, &adapter, end);
                let actions = held.scheduler.plan(now, &Open);
                for action in actions {
                    self.carry_out(agent, action);
                }
            }
            // Nothing in the model fails, restarts or is asked again.
            Action::CancelRun { .. } | Action::LoadBaseModel { .. } | Action::Probe { .. } => {}
        }
    }

    fn on_loaded(&mut self, agent: usize, adapter: &AdapterRef) {
        let now = self.now();
        let held = &mut self.agents[agent];
        let (key, end) = (held.upstream, OrderOutcome::Done);
        held.scheduler.on_load_end(now, key, adapter, end);
        self.plan(agent);
    }

    fn on_report_due(&mut self, agent: usize) {
        let report = self.agents[agent].scheduler.report(self.now());
        for entry in 0..self.routers.len() {
            let reported = Event::Reported {
                entry,
                agent,
                report: Box::new(report.clone()),
            };
            self.schedule(WAY, reported);
        }
        self.plan(agent);
        self.schedule(REPORT_INTERVAL, Event::Report { agent });
    }

    fn on_reported(&mut self, entry: usize, agent: usize, report: Report) {
        let now = self.now();
        let (router, keys) = &mut self.routers[entry];
        router.on_report(now, keys[agent], report.update_since(None));
    }

    fn on_weights(&mut self) {
        for (agent, adapter) in self.weights.advance(WEIGHTS_STEP) {
            self.on_loaded(agent, &adapter);
        }
        self.schedule(WEIGHTS_STEP, Event::Weights);
    }
}

/// Returns the time within which the first byte is of use.
fn useful_wait(class: &Class, fleet: &Fleet) -> Duration {
    let useful = class.objective.mul_f64(fleet.useful_objectives);
    useful.min(class.patience)
}

fn target_of(request: &Request) -> Target {
    Target::Adapter {
        adapter: AdapterRef::new(&format!("a{}", request.adapter), "1"),
        base_model: BASE_MODEL.into(),
    }
}
