//! Event loop of the simulation.
//!
//! Each entry has its own router and each host its own residency; messages
//! between them take `LINK_LATENCY`. Routers and residencies are the
//! production code and receive simulated time. This module handles arrival,
//! routing, admission, loads and reports; `execution` handles requests from the
//! grant to their end.

use crate::engine::SimRequestId;
use crate::host::AllowAll;
use crate::host::BASE_MODEL;
use crate::host::FleetConfig;
use crate::host::Host;
use crate::outcome::ClassCounts;
use crate::outcome::Outcome;
use crate::simulation::event::Event;
use crate::weight_store::HOST_CACHE_LOAD_TIME;
use crate::weight_store::WeightStore;
use crate::workload;
use crate::workload::Request;
use crate::workload::RequestClass;
use crate::workload::Workload;
use dogwoodshunt_residency::Action;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::job::Pacing;
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
mod execution;

/// Network latency of one message between an entry and an agent.
const LINK_LATENCY: Duration = Duration::from_micros(600);

/// Interval between two reports of an agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which an agent with a rate limit, or one that paces prompts, looks whether a
/// dispatch is due.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time by which each tick advances the weight store.
const WEIGHT_STORE_TICK: Duration = Duration::from_millis(5);

/// Maximum number of agents that a request is sent to before it is refused.
const MAX_ATTEMPTS: usize = 4;

/// Request that has not finished yet, with what its caller has observed.
struct InFlightRequest {
    request: Request,
    /// Index of the entry that the caller sent the request to.
    entry: usize,
    /// Agents that have declined the request.
    excluded: Vec<AgentKey>,
    /// Index of the host whose agent has the request.
    host_index: Option<usize>,
    /// Job of the agent for the request.
    job: Option<JobKey>,
    time_to_first_event: Option<Duration>,
    /// Time of the latest event of the response, from the start of the simulation.
    last_event_at: Duration,
    max_event_gap: Duration,
}

/// Discrete-event simulation of a fleet.
pub struct Simulation {
    /// Real time at which the simulated time starts.
    start: Instant,
    /// Simulated time since `start`.
    elapsed: Duration,
    config: FleetConfig,
    classes: [RequestClass; 2],
    /// Router of each entry, with its keys of the agents in the order of `hosts`.
    routers: Vec<(Router, Vec<AgentKey>)>,
    hosts: Vec<Host>,
    weight_store: WeightStore<(usize, AdapterRef)>,
    /// Times of pending events with their numbers, which order simultaneous events.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Pending events by number.
    events: HashMap<u64, Event>,
    next_event_number: u64,
    in_flight: HashMap<SimRequestId, InFlightRequest>,
    outcome: Outcome,
}

impl Simulation {
    /// Creates an idle fleet whose engines hold no adapter.
    pub fn new(config: FleetConfig) -> Self {
        let start = Instant::now();
        let weight_store = WeightStore::new(config.store_full_speed_loads);
        let hosts = (0..config.engines)
            .map(|index| Host::new(start, &config, index))
            .collect();
        let routers = (0..config.entries).map(|_| {
            let mut router = Router::new(config.routing.clone());
            let keys = (0..config.engines).map(|index| {
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
            elapsed: Duration::ZERO,
            config,
            classes: workload::classes(),
            routers,
            hosts,
            weight_store,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_number: 0,
            in_flight: HashMap::new(),
            outcome: Outcome {
                classes: vec![ClassCounts::default(); 2],
                warm_up: vec![ClassCounts::default(); 2],
                ..Outcome::default()
            },
        }
    }

    /// Simulates `workload` until its last request has finished, and returns the results.
    pub fn run(mut self, workload: &Workload) -> Outcome {
        for (id, request) in workload.generate().into_iter().enumerate() {
            let (id, arrival) = (id as SimRequestId, request.arrival);
            let in_flight = InFlightRequest {
                entry: id as usize % self.config.entries,
                request,
                excluded: Vec::new(),
                host_index: None,
                job: None,
                time_to_first_event: None,
                last_event_at: Duration::ZERO,
                max_event_gap: Duration::ZERO,
            };
            self.in_flight.insert(id, in_flight);
            self.schedule_at(arrival, Event::Arrival { id });
        }
        // Entries send nothing to an agent that has not reported.
        let joins_late = self.config.engines - self.config.late_engines.min(self.config.engines);
        for host_index in 0..self.hosts.len() {
            let joins_at = if host_index < joins_late {
                Duration::ZERO
            } else {
                self.config.late_engines_join_at
            };
            self.schedule_at(joins_at, Event::ReportDue { host_index });
        }
        for host_index in 0..self.config.rate_limits.len() {
            let named_at = self.config.rate_limits_from;
            self.schedule_at(named_at, Event::LimitNamed { host_index });
        }
        if self.config.routing.learned_costs {
            for host_index in 0..self.hosts.len() {
                self.schedule_at(DISPATCH_INTERVAL, Event::DispatchDue { host_index });
            }
        }
        self.schedule_at(WEIGHT_STORE_TICK, Event::WeightStoreTick);
        while !self.in_flight.is_empty() {
            let Some(Reverse((event_time, number))) = self.queue.pop() else {
                break;
            };
            self.elapsed = event_time;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.store_loads = self.weight_store.started_loads;
        self.outcome.prefilled_tokens = self
            .hosts
            .iter()
            .map(|host| host.engine.prefilled_tokens)
            .sum();
        self.outcome
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.next_event_number += 1;
        self.queue.push(Reverse((at, self.next_event_number)));
        self.events.insert(self.next_event_number, event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.elapsed + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { id, host_index } => self.on_submit(id, host_index),
            Event::Arrival { id } => self.on_arrival(id),
            Event::Declined {
                id,
                host_index,
                not_run,
            } => self.on_declined(id, host_index, not_run),
            Event::DispatchDue { host_index } => self.on_dispatch_due(host_index),
            Event::LimitNamed { host_index } => {
                let limit = self.config.rate_limits.get(host_index).copied();
                let host = &mut self.hosts[host_index];
                host.scheduler.set_rate_limit(host.upstream, limit);
                self.on_dispatch_due(host_index);
            }
            Event::FirstByte { id } => self.on_first_byte(id),
            Event::CallerTimeout { id } => self.on_caller_timeout(id),
            Event::Granted { id, host_index } => self.on_granted(id, host_index),
            Event::Loaded {
                host_index,
                adapter,
            } => self.on_loaded(host_index, &adapter),
            Event::ReportDue { host_index } => self.on_report_due(host_index),
            Event::ReportReceived {
                entry,
                host_index,
                report,
            } => self.on_report_received(entry, host_index, *report),
            Event::RequestFinished { id } => self.on_request_finished(id),
            Event::StepFinished { host_index } => self.on_step_finished(host_index),
            Event::WeightStoreTick => self.on_weight_store_tick(),
        }
    }

    fn on_arrival(&mut self, id: SimRequestId) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let class = &self.classes[in_flight.request.class];
        let expires_at = in_flight.request.arrival + class.first_event_timeout;
        let (class, arrival) = (in_flight.request.class, in_flight.request.arrival);
        self.counts(class, arrival).sent += 1;
        self.schedule_at(expires_at, Event::CallerTimeout { id });
        self.route(id);
    }

    /// Returns the results to which a request of `class` that arrived at `arrival` belongs.
    fn counts(&mut self, class: usize, arrival: Duration) -> &mut ClassCounts {
        if arrival < self.config.count_from {
            &mut self.outcome.warm_up[class]
        } else {
            &mut self.outcome.classes[class]
        }
    }

    fn route(&mut self, id: SimRequestId) {
        let now = self.now();
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let target = target_of(&in_flight.request);
        let class = &self.classes[in_flight.request.class];
        let deadline = in_flight.request.arrival + first_byte_limit(class, &self.config);
        let (router, keys) = &mut self.routers[in_flight.entry];
        let routed = router.route(
            now,
            &RouteRequest {
                target: &target,
                deadline: Some(self.start + deadline),
                excluded: &in_flight.excluded,
                demand: &in_flight.request.demand,
                service: None,
                software: None,
                max_event_gap: Some(self.config.max_event_gap),
            },
        );
        let selected = routed
            .ok()
            .filter(|_| in_flight.excluded.len() < MAX_ATTEMPTS);
        let host_index =
            selected.and_then(|key| keys.iter().position(|agent_key| *agent_key == key));
        match host_index {
            Some(host_index) => self.schedule_after(LINK_LATENCY, Event::Submit { id, host_index }),
            None => self.refuse(id),
        }
    }

    fn on_submit(&mut self, id: SimRequestId, host_index: usize) {
        let now = self.now();
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let class = &self.classes[in_flight.request.class];
        let request = RequestId {
            entry_boot: 1,
            number: id,
        };
        let due = self.start + in_flight.request.arrival + class.latency_objective;
        let deadline =
            self.start + in_flight.request.arrival + first_byte_limit(class, &self.config);
        let target = target_of(&in_flight.request);
        let job = Job::new(request, target, Priority::Normal, now, Some(deadline))
            .with_demand(in_flight.request.demand.clone(), Some(due))
            .with_pacing(self.config.routing.learned_costs.then_some(Pacing {
                max_event_gap: Some(self.config.max_event_gap),
            }));
        let host = &mut self.hosts[host_index];
        match host.scheduler.submit(now, job, &AllowAll) {
            Ok(job) => {
                in_flight.host_index = Some(host_index);
                in_flight.job = Some(job);
                host.requests_by_job.insert(job, id);
                self.plan(host_index);
            }
            Err(not_run) => {
                let declined = Event::Declined {
                    id,
                    host_index,
                    not_run,
                };
                self.schedule_after(LINK_LATENCY, declined);
            }
        }
    }

    fn on_declined(&mut self, id: SimRequestId, host_index: usize, not_run: NotRun) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let target = target_of(&in_flight.request);
        let (router, keys) = &mut self.routers[in_flight.entry];
        router.on_attempt_end(keys[host_index], &target);
        in_flight.excluded.push(keys[host_index]);
        in_flight.host_index = None;
        in_flight.job = None;
        if not_run.reason == NotRunReason::Deadline {
            self.refuse(id);
        } else {
            self.route(id);
        }
    }

    fn plan(&mut self, host_index: usize) {
        let now = self.now();
        let actions = self.hosts[host_index].scheduler.plan(now, &AllowAll);
        for action in actions {
            self.execute(host_index, action);
        }
    }

    fn execute(&mut self, host_index: usize, action: Action) {
        let now = self.now();
        let host = &mut self.hosts[host_index];
        match action {
            Action::Dispatch { job, .. } => {
                if let Some(id) = host.requests_by_job.get(&job).copied() {
                    self.schedule_after(LINK_LATENCY * 2, Event::Granted { id, host_index });
                }
            }
            Action::Load { adapter, .. } => {
                if host.take_from_cache(&adapter) {
                    self.schedule_after(
                        HOST_CACHE_LOAD_TIME,
                        Event::Loaded {
                            host_index,
                            adapter,
                        },
                    );
                } else {
                    self.weight_store.start_load((host_index, adapter));
                }
            }
            Action::NotRun { job, refusal } => {
                if let Some(id) = host.requests_by_job.remove(&job) {
                    let declined = Event::Declined {
                        id,
                        host_index,
                        not_run: refusal.not_run,
                    };
                    self.schedule_after(LINK_LATENCY, declined);
                }
            }
            Action::Unload { upstream, adapter } => {
                host.insert_into_cache(adapter.clone());
                let end = OrderOutcome::Done;
                host.scheduler.on_unload_end(upstream, &adapter, end);
                let actions = host.scheduler.plan(now, &AllowAll);
                for action in actions {
                    self.execute(host_index, action);
                }
            }
            // Simulated engines never fail, restart or need a second probe, so there is
            // nothing to do.
            Action::CancelRun { .. } | Action::LoadBaseModel { .. } | Action::Probe { .. } => {}
        }
    }

    fn on_loaded(&mut self, host_index: usize, adapter: &AdapterRef) {
        let now = self.now();
        let host = &mut self.hosts[host_index];
        let (upstream, end) = (host.upstream, OrderOutcome::Done);
        host.scheduler.on_load_end(now, upstream, adapter, end);
        self.plan(host_index);
    }

    fn on_report_due(&mut self, host_index: usize) {
        let report = self.hosts[host_index].scheduler.report(self.now());
        for entry in 0..self.routers.len() {
            let received = Event::ReportReceived {
                entry,
                host_index,
                report: Box::new(report.clone()),
            };
            self.schedule_after(LINK_LATENCY, received);
        }
        self.plan(host_index);
        self.schedule_after(REPORT_INTERVAL, Event::ReportDue { host_index });
    }

    fn on_report_received(&mut self, entry: usize, host_index: usize, report: Report) {
        let now = self.now();
        let (router, keys) = &mut self.routers[entry];
        router.on_report(now, keys[host_index], report.update_since(None));
    }

    fn on_dispatch_due(&mut self, host_index: usize) {
        self.plan(host_index);
        self.schedule_after(DISPATCH_INTERVAL, Event::DispatchDue { host_index });
    }

    fn on_weight_store_tick(&mut self) {
        for (host_index, adapter) in self.weight_store.advance(WEIGHT_STORE_TICK) {
            self.on_loaded(host_index, &adapter);
        }
        self.schedule_after(WEIGHT_STORE_TICK, Event::WeightStoreTick);
    }
}

/// Returns the time after arrival within which the first byte must be expected.
fn first_byte_limit(class: &RequestClass, config: &FleetConfig) -> Duration {
    let limit = class.latency_objective.mul_f64(config.useful_objectives);
    limit.min(class.first_event_timeout)
}

fn target_of(request: &Request) -> Target {
    Target::Adapter {
        adapter: AdapterRef::new(&format!("a{}", request.adapter), "1"),
        base_model: BASE_MODEL.into(),
    }
}
