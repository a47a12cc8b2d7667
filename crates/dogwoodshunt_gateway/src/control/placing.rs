//! Placing of model requests: which agent is asked, and what follows its answer.

use crate::control::Control;
use crate::control::Ticket;
use crate::ports::Decoder;
use async_channel::Sender;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_routing::Ask;
use dogwoodshunt_types::AdapterName;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use slog::info;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Agents that one wish may be brought to before it is refused.
const MOST_AGENTS: u64 = 4;

/// Bits of an attempt's number that count the agents a wish was brought to.
const ATTEMPT_BITS: u32 = 8;

/// Pause that a caller is told when no agent can be asked.
const NO_AGENT_RETRY: Duration = Duration::from_millis(500);

/// Version of an adapter for which none was declared.
const FIRST_VERSION: &str = "1";

/// A model request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlaceAsk {
    /// Id that the caller gave it.
    pub id: Box<str>,
    /// Service whose engines run it.
    pub service: ServiceName,
    /// Base model that it names.
    pub base_model: Box<str>,
    /// Adapter that it names, if any.
    pub adapter: Option<AdapterName>,
    /// What it costs an engine.
    pub demand: Demand,
    /// When the first byte stops being on time.
    pub due: Instant,
    /// When the first byte stops being of use.
    pub useful_until: Instant,
}

/// Leave to run a model request.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Upstream that has room for it.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// What is ready there.
    pub target: Target,
    /// Attempt by which the agent knows the run.
    pub request: RequestId,
}

/// A wish to run a model request, on its way from agent to agent.
struct Wish {
    ask: PlaceAsk,
    target: Target,
    /// Agents that it was brought to before.
    excluded: Vec<AgentKey>,
    reply: Sender<Result<Grant, NotRun>>,
}

impl Wish {
    fn attempt(&self) -> u64 {
        self.excluded.len() as u64
    }

    fn refuse(self, not_run: NotRun) {
        // A caller that has left drops its receiver.
        let _ = self.reply.try_send(Err(not_run));
    }
}

/// A wish that waits for an agent's answer.
pub(super) struct Waiting {
    wish: Wish,
    agent: AgentKey,
    since: Instant,
}

/// A granted run.
pub(super) struct Running {
    agent: AgentKey,
    target: Target,
    request: RequestId,
    demand: Demand,
    due: Instant,
    useful_until: Instant,
}

impl<D: Decoder> Control<D> {
    pub(super) fn on_place(
        &mut self,
        now: Instant,
        ticket: Ticket,
        ask: PlaceAsk,
        reply: Sender<Result<Grant, NotRun>>,
    ) {
        self.budgets.on_request(&ask.service);
        let wish = Wish {
            target: self.target_of(&ask),
            ask,
            excluded: Vec::new(),
            reply,
        };
        self.ask_agent(now, ticket, wish);
    }

    /// Names the version that must run: the newest one declared.
    fn target_of(&self, ask: &PlaceAsk) -> Target {
        let Some(name) = &ask.adapter else {
            return Target::BaseModel(ask.base_model.clone());
        };
        let declared = self.versions.get(name).map(|held| held.adapter.clone());
        Target::Adapter {
            adapter: declared.unwrap_or_else(|| AdapterRef::new(name, FIRST_VERSION)),
            base_model: ask.base_model.clone(),
        }
    }

    fn ask_agent(&mut self, now: Instant, ticket: Ticket, wish: Wish) {
        if wish.attempt() >= MOST_AGENTS {
            wish.refuse(NotRun::new(NotRunReason::Overloaded, NO_AGENT_RETRY));
            return;
        }
        let routed = self.router.route(
            now,
            &Ask {
                target: &wish.target,
                deadline: Some(wish.ask.useful_until),
                excluded: &wish.excluded,
                demand: &wish.ask.demand,
            },
        );
        let agent = match routed {
            Ok(agent) => agent,
            Err(not_run) => {
                wish.refuse(not_run);
                return;
            }
        };
        let waiting = Waiting {
            wish,
            agent,
            since: now,
        };
        if self.router.agent(agent).is_some_and(|a| a.unattended) {
            self.grant_unattended(now, ticket, waiting);
            return;
        }
        let ask = &waiting.wish.ask;
        let admit = Admit {
            request: self.request_of(ticket, waiting.wish.attempt()),
            target: waiting.wish.target.clone(),
            demand: ask.demand.clone(),
            due_in: ask.due.saturating_duration_since(now),
            time_left: ask.useful_until.saturating_duration_since(now),
            started: false,
        };
        // An agent that is lost meanwhile is reported, and the wish goes on.
        self.send(agent, Frame::Admit(Box::new(admit)));
        self.waiting.insert(ticket, waiting);
    }

    fn request_of(&self, ticket: Ticket, attempt: u64) -> RequestId {
        RequestId {
            entry_boot: self.around.credentials.me.boot,
            number: ticket << ATTEMPT_BITS | attempt,
        }
    }

    /// Grants a run at an engine whose agent is out of reach.
    ///
    /// The engine itself refuses what it does not hold, in the version asked for.
    fn grant_unattended(&mut self, now: Instant, ticket: Ticket, waiting: Waiting) {
        let agent = waiting.agent;
        let Some((upstream, address)) = self.engine_of(agent) else {
            self.go_elsewhere(now, ticket, waiting);
            return;
        };
        let request = self.request_of(ticket, waiting.wish.attempt());
        let target = waiting.wish.target.clone();
        info!(self.around.log, "granted unattended"; "request" => %request,
            "upstream" => %upstream, "target" => %target);
        self.start(
            now,
            ticket,
            waiting,
            Grant {
                upstream,
                address,
                target,
                request,
            },
        );
    }

    fn start(&mut self, now: Instant, ticket: Ticket, waiting: Waiting, grant: Grant) {
        let wish = waiting.wish;
        let running = Running {
            agent: waiting.agent,
            target: wish.target,
            request: grant.request,
            demand: wish.ask.demand,
            due: wish.ask.due,
            useful_until: wish.ask.useful_until,
        };
        self.running.insert(ticket, running);
        if wish.reply.try_send(Ok(grant)).is_err() {
            // The caller has left.
            self.on_done(now, ticket, false);
        }
    }

    pub(super) fn on_admitted(
        &mut self,
        now: Instant,
        agent: AgentKey,
        request: RequestId,
        upstream: UpstreamName,
        target: Target,
    ) {
        let (ticket, attempt) = split(request);
        if !self.waits_at(ticket, agent, attempt) {
            // The caller has left, or the wish has gone elsewhere.
            self.send(agent, done(request, false));
            return;
        }
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let Some((_, address)) = self.engine_of(agent) else {
            self.send(agent, done(request, false));
            self.go_elsewhere(now, ticket, waiting);
            return;
        };
        self.start(
            now,
            ticket,
            waiting,
            Grant {
                upstream,
                address,
                target,
                request,
            },
        );
    }

    pub(super) fn on_declined(
        &mut self,
        now: Instant,
        agent: AgentKey,
        request: RequestId,
        not_run: NotRun,
    ) {
        let (ticket, attempt) = split(request);
        if !self.waits_at(ticket, agent, attempt) {
            return;
        }
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        self.log_wait(now, ticket, &waiting, &not_run.reason.to_string());
        if not_run.reason == NotRunReason::Deadline {
            self.router.on_end(agent, &waiting.wish.target);
            waiting.wish.refuse(not_run);
            return;
        }
        self.go_elsewhere(now, ticket, waiting);
    }

    /// Logs that an agent did not let a wish run, and under which id it knew it.
    fn log_wait(&self, now: Instant, ticket: Ticket, waiting: &Waiting, why: &str) {
        let Waiting { wish, agent, since } = waiting;
        let waited = now.saturating_duration_since(*since);
        info!(self.around.log, "not granted"; "id" => %wish.ask.id,
            "request" => %self.request_of(ticket, wish.attempt()), "why" => why,
            "agent" => self.address_of(*agent), "waited_ms" => waited.as_millis() as u64);
    }

    /// Returns whether a wish waits for the answer to this very attempt.
    fn waits_at(&self, ticket: Ticket, agent: AgentKey, attempt: u64) -> bool {
        let current = self.waiting.get(&ticket);
        current.is_some_and(|w| w.agent == agent && w.wish.attempt() == attempt)
    }

    fn go_elsewhere(&mut self, now: Instant, ticket: Ticket, waiting: Waiting) {
        let Waiting {
            mut wish, agent, ..
        } = waiting;
        self.router.on_end(agent, &wish.target);
        wish.excluded.push(agent);
        wish.target = self.target_of(&wish.ask);
        self.ask_agent(now, ticket, wish);
    }

    /// Brings what waits at a lost agent elsewhere.
    pub(super) fn replace_waiting(&mut self, now: Instant, agent: AgentKey) {
        let at_agent = self.waiting.iter().filter(|(_, w)| w.agent == agent);
        let tickets: Vec<Ticket> = at_agent.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                self.log_wait(now, ticket, &waiting, "the agent was lost");
                self.go_elsewhere(now, ticket, waiting);
            }
        }
    }

    /// Tells an agent that has come back which runs go on at its engine.
    pub(super) fn readmit(&mut self, now: Instant, agent: AgentKey) {
        let runs = self.running.values().filter(|run| run.agent == agent);
        let frames: Vec<Frame> = runs
            .map(|run| {
                Frame::Admit(Box::new(Admit {
                    request: run.request,
                    target: run.target.clone(),
                    demand: run.demand.clone(),
                    due_in: run.due.saturating_duration_since(now),
                    time_left: run.useful_until.saturating_duration_since(now),
                    started: true,
                }))
            })
            .collect();
        for frame in frames {
            self.send(agent, frame);
        }
    }

    pub(super) fn on_first_byte(&mut self, ticket: Ticket) {
        if let Some(run) = self.running.get(&ticket) {
            let request = run.request;
            self.send(run.agent, Frame::FirstByte { request });
        }
    }

    /// Ends a run, or a wish whose caller has left.
    pub(super) fn on_done(&mut self, now: Instant, ticket: Ticket, adapter_missing: bool) {
        if let Some(run) = self.running.remove(&ticket) {
            self.router.on_end(run.agent, &run.target);
            if let Some(adapter) = run.target.adapter().filter(|_| adapter_missing) {
                self.router.forget_adapter(run.agent, adapter);
            }
            // An agent that is out of reach learns of the runs that go on when
            // it is back; this one does not.
            self.send(run.agent, done(run.request, adapter_missing));
        }
        if let Some(waiting) = self.waiting.remove(&ticket) {
            self.log_wait(now, ticket, &waiting, "the caller left or it was too late");
            self.router.on_end(waiting.agent, &waiting.wish.target);
            let request = self.request_of(ticket, waiting.wish.attempt());
            self.send(waiting.agent, Frame::Cancel { request });
        }
    }
}

fn split(request: RequestId) -> (Ticket, u64) {
    let attempt = request.number & ((1 << ATTEMPT_BITS) - 1);
    (request.number >> ATTEMPT_BITS, attempt)
}

fn done(request: RequestId, adapter_missing: bool) -> Frame {
    Frame::Done {
        request,
        adapter_missing,
    }
}
