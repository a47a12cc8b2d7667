//! Choice of an agent for each attempt, based on the state of all agents.

use crate::adapter_index::AdapterIndex;
use crate::agent::Agent;
use crate::agent::AgentKey;
use crate::agent::Presence;
use crate::cost;
use crate::partition::Partition;
use crate::reachability::Reachability;
use crate::reachability::UnreachedCause;
use crate::retry;
use crate::retry::AttemptFailure;
use crate::retry::RetryBudget;
use crate::retry::RetryContext;
use crate::retry::RetryDecision;
use crate::settings::Policy;
use crate::settings::RouterSettings;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::popularity::Popularity;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_types::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::time::Duration;
use std::time::Instant;

/// Retry delay reported to a caller when no agent can run its request.
const NO_AGENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of agents per home of an adapter from which random candidates are considered. In
/// smaller fleets the homes are a good part of all agents, and a random one only adds loads.
const MIN_AGENTS_PER_HOME: usize = 4;

/// A request for which the router chooses an agent.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Adapter, base model or service that runs the request.
    pub target: &'a Target,
    /// Time by which the first byte of the response must arrive, or `None` for no limit.
    pub deadline: Option<Instant>,
    /// Agents that must not be chosen, since they have failed or refused the request.
    pub excluded: &'a [AgentKey],
    /// Prompt and output size of the request.
    pub demand: &'a Demand,
    /// Service whose engines run the request; `None` if those of any service may.
    pub service: Option<&'a str>,
    /// Version of the software that must run the request; `None` if any may.
    pub software: Option<&'a str>,
    /// Longest gap between two events of the response that counts as on time; `None` if the
    /// response is not a stream.
    pub max_event_gap: Option<Duration>,
}

/// State of all agents, and the decisions that an entry bases on it.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    agents: SlotMap<AgentKey, Agent>,
    adapter_index: AdapterIndex,
    /// Number of pending adapter loads of all agents.
    pending_load_count: usize,
    retry_budget: RetryBudget,
    popularity: Popularity,
    /// Applies only with learned costs.
    partition: Partition,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without agents.
    pub fn new(settings: RouterSettings) -> Self {
        let retry_budget = RetryBudget::new(settings.retry_ratio, settings.retry_burst);
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let popularity = Popularity::new(settings.popularity_half_life);
        Self {
            settings,
            agents: SlotMap::with_key(),
            adapter_index: AdapterIndex::default(),
            pending_load_count: 0,
            retry_budget,
            popularity,
            partition: Partition::default(),
            rng,
        }
    }

    /// Adds an agent and returns the key by which the router identifies the agent.
    pub fn add_agent(&mut self, node: NodeId) -> AgentKey {
        self.agents.insert(Agent::new(node))
    }

    /// Drops the popularity records of adapters that are no longer requested.
    pub fn prune_popularity(&mut self, now: Instant) {
        self.popularity.prune(now);
    }

    /// Removes an agent, if the router has it.
    pub fn remove_agent(&mut self, key: AgentKey) {
        if let Some(agent) = self.agents.remove(key) {
            self.adapter_index.remove(key, agent.reported_adapters());
            self.pending_load_count -= agent.pending_load_count();
        }
    }

    /// Returns all agents.
    pub fn agents(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.agents.iter()
    }

    /// Returns the agent with the given key, if the router has it.
    pub fn agent(&self, key: AgentKey) -> Option<&Agent> {
        self.agents.get(key)
    }

    /// Sets the name under which the agent has introduced itself.
    pub fn set_node(&mut self, key: AgentKey, node: NodeId) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.node = node;
        }
    }

    /// Sets the failure domain of the agent.
    pub fn set_domain(&mut self, key: AgentKey, domain: FailureDomain) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.domain = domain;
        }
    }

    /// Sets whether the agent is connected and its copy of the catalogue is fresh.
    pub fn set_usable(&mut self, key: AgentKey, usable: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.usable = usable;
        }
    }

    /// Sets whether the agent accepts no new requests.
    pub fn set_leaving(&mut self, key: AgentKey, leaving: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.leaving = leaving;
        }
    }

    /// Sets the service that the engine of the agent belongs to.
    pub fn set_service(&mut self, key: AgentKey, service: ServiceName) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.service = Some(service);
        }
    }

    /// Sets the version of the software of the engine of the agent; `None` if it is not known.
    pub fn set_software(&mut self, key: AgentKey, software: Option<SoftwareVersion>) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.software = software;
        }
    }

    /// Sets until when the engine of the agent wants no requests from this entry; `None` ends a
    /// pause, such as after a restart of the engine.
    pub fn set_paused_until(&mut self, key: AgentKey, until: Option<Instant>) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.paused_until = until;
        }
    }

    /// Sets whether a response has named a limit on the requests of all entries to the engine
    /// of the agent.
    pub fn set_rate_limited(&mut self, key: AgentKey, rate_limited: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.rate_limited = rate_limited;
        }
    }

    /// Sets whether the engine of the agent is reachable although the agent is not.
    pub fn set_unattended(&mut self, key: AgentKey, unattended: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.unattended = unattended;
        }
    }

    /// Records that a request of this entry has not reached the engine of the agent. Returns whether
    /// the engine is left out from now on and was not before.
    pub fn on_unreached(&mut self, now: Instant, key: AgentKey, cause: UnreachedCause) -> bool {
        let agent = self.agents.get_mut(key);
        agent.is_some_and(|agent| agent.reachability.on_unreached(now, cause))
    }

    /// Records a response of the engine of the agent. Returns whether the engine was left out.
    pub fn on_reached(&mut self, key: AgentKey) -> bool {
        let agent = self.agents.get_mut(key);
        agent.is_some_and(|agent| agent.reachability.on_reached())
    }

    /// Forgets what is known of the reachability of the engine of the agent, since another process
    /// has taken its place.
    pub fn forget_unreached(&mut self, key: AgentKey) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.reachability = Reachability::default();
        }
    }

    /// Marks `adapter` as missing on the engine of the agent, although the latest
    /// report lists the adapter as ready.
    pub fn mark_adapter_missing(&mut self, key: AgentKey, adapter: &AdapterRef) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        self.adapter_index.remove(key, agent.reported_adapters());
        agent.mark_adapter_missing(adapter);
        self.adapter_index.add(key, agent.reported_adapters());
    }

    /// Applies a full load report or a load update from the agent.
    pub fn on_report(&mut self, now: Instant, key: AgentKey, update: ReportUpdate) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        self.pending_load_count -= agent.pending_load_count();
        if !update.changes_adapters() {
            agent.on_report(now, update, self.settings.host_cache_capacity);
        } else {
            self.adapter_index.remove(key, agent.reported_adapters());
            agent.on_report(now, update, self.settings.host_cache_capacity);
            self.adapter_index.add(key, agent.reported_adapters());
        }
        self.pending_load_count += agent.pending_load_count();
    }

    /// Adds to the retry budget what a new request earns.
    pub fn on_request(&mut self) {
        self.retry_budget.on_request();
    }

    /// Chooses an agent for `req` and counts an attempt as in flight on that agent
    /// until [`Router::on_attempt_end`] is called.
    ///
    /// # Errors
    ///
    /// Fails if no eligible agent exists, or if the chosen agent is not expected to
    /// send the first byte before the deadline. The error contains the delay after
    /// which the caller may try again.
    pub fn route(&mut self, now: Instant, req: &RouteRequest<'_>) -> Result<AgentKey, NotRun> {
        let chosen = self.choose(now, req);
        let key = chosen.ok_or_else(|| self.no_agent_refusal(now, req))?;
        self.check_deadline(now, req, key)?;
        let agent = &mut self.agents[key];
        let accepts_requests = invariant::check(
            Invariant::LeavingTakesNoWork,
            agent.accepts_requests(),
            &format_args!(
                "request routed to agent {}, which accepts no requests",
                agent.node
            ),
        );
        if !accepts_requests {
            return Err(NotRun::new(NotRunReason::Leaving, NO_AGENT_RETRY_AFTER));
        }
        agent.reachability.on_send(now);
        agent.begin_attempt(req.target);
        if self.settings.learned_costs {
            let uncached = agent.uncached_tokens(req.target, req.demand);
            let class = self
                .partition
                .classify(req.demand, uncached, req.max_event_gap);
            self.partition.record(now, class, req.demand, uncached);
        }
        agent.record_prompt(now, req.target, req.demand);
        if let Some(adapter) = req.target.adapter() {
            self.adapter_index.add(key, [adapter]);
            self.popularity.record(now, adapter);
        }
        Ok(key)
    }

    /// Records the end of an attempt that [`Router::route`] has counted on an agent.
    pub fn on_attempt_end(&mut self, key: AgentKey, target: &Target) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.end_attempt(target);
            if let Some(adapter) = target.adapter() {
                self.adapter_index.remove(key, [adapter]);
            }
        }
    }

    /// Decides whether to retry a failed attempt, within the retry budget.
    pub fn decide_retry(&mut self, failure: AttemptFailure, ctx: &RetryContext) -> RetryDecision {
        retry::decide(failure, ctx, &mut self.retry_budget, &mut self.rng)
    }

    /// Returns whether requests are placed by learned costs.
    pub fn uses_learned_costs(&self) -> bool {
        self.settings.learned_costs
    }

    /// Returns the maximum number of attempts per request.
    pub fn max_attempts(&self) -> u32 {
        self.settings.max_attempts
    }

    fn choose(&mut self, now: Instant, req: &RouteRequest<'_>) -> Option<AgentKey> {
        match self.settings.policy {
            Policy::Cost => self.cheapest(now, req),
            Policy::LeastLoaded => self.least_loaded(now, req),
            Policy::Random => {
                let eligible: Vec<AgentKey> = self.eligible(now, req).collect();
                let index = self.rng.random_range(0..eligible.len().max(1));
                eligible.get(index).copied()
            }
            Policy::Rendezvous => self.homes(now, req, 1).first().copied(),
        }
    }

    /// Returns the refusal of a request for which there is no eligible agent. If engines that
    /// could run it have asked for a pause or could not be reached, the caller may return when the
    /// first of them is tried again.
    fn no_agent_refusal(&self, now: Instant, req: &RouteRequest<'_>) -> NotRun {
        let runs_software = |agent: &Agent| {
            let is_of_service = agent.is_of_service(req.service);
            is_of_service && agent.runs_software(req.software) && !agent.leaving
        };
        if req.software.is_some() && !self.agents.values().any(runs_software) {
            return NotRun::new(NotRunReason::SoftwareGone, NO_AGENT_RETRY_AFTER);
        }
        let able = self.agents.iter();
        let able = able.filter(|(_, agent)| Self::is_able(agent, req));
        let trials = able.filter_map(|(key, agent)| {
            let paused_until = agent.paused_until.filter(|_| !req.excluded.contains(&key));
            let pause = paused_until.map(|end| (end, NotRunReason::Paused));
            let left_out = agent.reachability.next_trial_at();
            let left_out = left_out.map(|end| (end, NotRunReason::Unreachable));
            let ends = pause.into_iter().chain(left_out);
            ends.max_by_key(|(end, _)| *end)
        });
        let first = trials
            .filter(|(end, _)| *end > now)
            .min_by_key(|(end, _)| *end);
        match first {
            Some((end, reason)) => NotRun::new(reason, end.saturating_duration_since(now)),
            None => NotRun::new(NotRunReason::NoUpstream, NO_AGENT_RETRY_AFTER),
        }
    }

    /// Returns whether the agent can run `req`, apart from a pause, and is not excluded.
    fn can_run(&self, key: AgentKey, agent: &Agent, req: &RouteRequest<'_>) -> bool {
        Self::is_able(agent, req) && !req.excluded.contains(&key)
    }

    /// Returns whether the agent can run `req`, apart from a pause.
    fn is_able(agent: &Agent, req: &RouteRequest<'_>) -> bool {
        let is_admissible = !agent.unattended || agent.accepts_unattended(req.target);
        is_admissible
            && agent.accepts_requests()
            && agent.serves(req.target)
            && agent.is_of_service(req.service)
            && agent.runs_software(req.software)
    }

    /// Returns whether the agent can run `req` now and is not excluded.
    fn is_eligible(&self, now: Instant, key: AgentKey, req: &RouteRequest<'_>) -> bool {
        let agent = self.agents.get(key);
        agent.is_some_and(|agent| {
            let takes_requests = !agent.is_paused(now) && !agent.reachability.is_left_out(now);
            takes_requests && self.can_run(key, agent, req)
        })
    }

    fn eligible<'a>(
        &'a self,
        now: Instant,
        req: &'a RouteRequest<'_>,
    ) -> impl Iterator<Item = AgentKey> + 'a {
        let keys = self.agents.keys();
        keys.filter(move |key| self.is_eligible(now, *key, req))
    }

    /// Returns the agent with the lowest estimated cost among the home agents, the
    /// agents that have the adapter ready or pending, and the least loaded one of a few
    /// random agents. Agents that are expected to answer before the deadline of `req` come
    /// first.
    ///
    /// The random agents are designed for fleets much larger than the number of homes, where
    /// all homes of an adapter may have a queue while other engines, such as new ones, have
    /// none.
    ///
    /// Falls back to the first home agent if the load of every candidate is
    /// unknown.
    fn cheapest(&mut self, now: Instant, req: &RouteRequest<'_>) -> Option<AgentKey> {
        let sampled = self.sample(now, req);
        let mut candidates = self.preferred_homes(now, req);
        let first_home = candidates.first().copied();
        let agents_with_adapter = req
            .target
            .adapter()
            .map(|adapter| self.adapter_index.agents_with(adapter));
        for key in agents_with_adapter.into_iter().flatten() {
            if !candidates.contains(&key) && self.is_eligible(now, key, req) {
                candidates.push(key);
            }
        }
        if let Some(key) = sampled.filter(|key| !candidates.contains(key)) {
            candidates.push(key);
        }
        let pending_load_count = self.pending_load_count as f64;
        let adapter = req.target.adapter();
        let popularity = adapter.map_or(0.0, |adapter| self.popularity.get(now, adapter));
        let settings = &self.settings;
        let estimates = candidates.iter().enumerate().filter_map(|(rank, key)| {
            let agent = &self.agents[*key];
            let cost = cost::estimate(
                now,
                agent,
                req.target,
                req.demand,
                pending_load_count,
                popularity,
                settings,
            )?;
            // The rank makes entries that do not know of each other's requests
            // agree on the first home agent and so load the adapter once, unless
            // another agent saves more time than a further load costs.
            let rank_cost =
                rank.min(self.settings.homes) as f64 * self.cost_per_home_rank_s(agent, req.target);
            let is_late = self.check_deadline(now, req, *key).is_err();
            let partition_cost = self.partition_cost_s(*key, req);
            Some((is_late, cost + rank_cost + partition_cost, rank, *key))
        });
        let best = estimates.min_by(|a, b| {
            let by_cost = a.1.total_cmp(&b.1).then(a.2.cmp(&b.2));
            a.0.cmp(&b.0).then(by_cost)
        });
        best.map(|(_, _, _, key)| key).or(first_home)
    }

    /// Returns the home agents of a request. With learned costs, the homes among the engines that
    /// are preferred for the class of the request come first, if there is a preference.
    fn preferred_homes(&mut self, now: Instant, req: &RouteRequest<'_>) -> Vec<AgentKey> {
        let homes = self.homes(now, req, self.settings.homes);
        if !self.settings.learned_costs {
            return homes;
        }
        self.partition.update_order(now, self.agents.iter());
        let prompt_tokens = u64::from(req.demand.prompt_tokens);
        let class = self
            .partition
            .classify(req.demand, prompt_tokens, req.max_event_gap);
        let is_preferred = |key: AgentKey| self.partition.is_preferred(class, key) == Some(true);
        let mut preferred = self.homes_among(now, req, self.settings.homes, is_preferred);
        let others = homes.into_iter().filter(|key| !preferred.contains(key));
        let others: Vec<AgentKey> = others.collect();
        preferred.extend(others);
        preferred
    }

    /// Returns the cost of an engine that is preferred for requests of another class, in seconds of
    /// wait.
    fn partition_cost_s(&self, key: AgentKey, req: &RouteRequest<'_>) -> f64 {
        if !self.settings.learned_costs {
            return 0.0;
        }
        let uncached = self.agents[key].uncached_tokens(req.target, req.demand);
        let class = self
            .partition
            .classify(req.demand, uncached, req.max_event_gap);
        self.partition.cost_s(class, key)
    }

    /// Returns the least loaded one of the random candidates that are eligible.
    fn sample(&mut self, now: Instant, req: &RouteRequest<'_>) -> Option<AgentKey> {
        let of_service = || {
            let agents = self.agents.iter();
            let agents = agents.filter(|(_, agent)| agent.is_of_service(req.service));
            agents.map(|(key, _)| key)
        };
        let count = of_service().count();
        if count < self.settings.homes * MIN_AGENTS_PER_HOME {
            return None;
        }
        let rng = &mut self.rng;
        let draws = (0..self.settings.random_candidates).map(|_| rng.random_range(0..count));
        let drawn: Vec<usize> = draws.collect();
        let drawn = drawn.into_iter();
        let drawn = drawn.filter_map(|index| of_service().nth(index));
        let eligible = drawn.filter(|key| self.is_eligible(now, *key, req));
        eligible.min_by(|a, b| {
            let load = |key| self.requests_per_place(now, key, req);
            load(*a).total_cmp(&load(*b))
        })
    }

    /// Returns the number of requests on an agent as a share of its batch; the highest number
    /// if its load is unknown.
    fn requests_per_place(&self, now: Instant, key: AgentKey, req: &RouteRequest<'_>) -> f64 {
        let load = cost::AgentLoad::estimate(now, &self.agents[key], req.target, &self.settings);
        load.map_or(f64::MAX, |load| load.requests / load.batch_size)
    }

    /// Returns the cost that each rank among the candidates adds for `agent`, in
    /// seconds: zero unless the adapter is absent there.
    fn cost_per_home_rank_s(&self, agent: &Agent, target: &Target) -> f64 {
        let is_absent = target
            .adapter()
            .is_some_and(|adapter| agent.presence(adapter) == Presence::Absent);
        if is_absent {
            self.settings.stall_weight * self.settings.home_step.as_secs_f64()
        } else {
            0.0
        }
    }

    fn least_loaded(&self, now: Instant, req: &RouteRequest<'_>) -> Option<AgentKey> {
        self.eligible(now, req).min_by(|a, b| {
            let load = |key| self.requests_per_place(now, key, req);
            load(*a).total_cmp(&load(*b))
        })
    }

    /// Returns the first `count` eligible agents by rendezvous hashing, in
    /// descending order of weight.
    fn homes(&self, now: Instant, req: &RouteRequest<'_>, count: usize) -> Vec<AgentKey> {
        self.homes_among(now, req, count, |_| true)
    }

    /// Returns the first `count` of the eligible agents that `accepts` returns true for, as
    /// [`Self::homes`] does.
    fn homes_among(
        &self,
        now: Instant,
        req: &RouteRequest<'_>,
        count: usize,
        accepts: impl Fn(AgentKey) -> bool,
    ) -> Vec<AgentKey> {
        let hash_key = req.target.to_string();
        let mut homes: Vec<(u64, AgentKey)> = Vec::with_capacity(count + 1);
        for key in self.eligible(now, req).filter(|key| accepts(*key)) {
            let weight = rendezvous::weight(&hash_key, &self.agents[key].node);
            let rank = homes.partition_point(|(higher, _)| *higher >= weight);
            if rank < count {
                homes.insert(rank, (weight, key));
                homes.truncate(count);
            }
        }
        homes.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the expected time to the first byte of the response on an agent.
    ///
    /// If the load of the engine in tokens is unknown, the result is the expected
    /// wait for a free place in the batch, without the prefill of the request itself.
    /// Without a current report, or for an unknown agent, the result is zero.
    pub fn expected_wait(&self, now: Instant, req: &RouteRequest<'_>, key: AgentKey) -> Duration {
        let Some(agent) = self.agents.get(key) else {
            return Duration::ZERO;
        };
        let (pending_load_count, settings) = (self.pending_load_count as f64, &self.settings);
        let first_byte_s = cost::time_to_first_byte_s(
            now,
            agent,
            req.target,
            req.demand,
            pending_load_count,
            settings,
        );
        let wait_s = first_byte_s.unwrap_or_else(|| {
            let load = cost::AgentLoad::estimate(now, agent, req.target, settings);
            load.map_or(0.0, |load| load.batch_wait_s())
        });
        Duration::from_secs_f64(wait_s)
    }

    /// Checks that the first byte is expected before the deadline of `req`.
    fn check_deadline(
        &self,
        now: Instant,
        req: &RouteRequest<'_>,
        key: AgentKey,
    ) -> Result<(), NotRun> {
        let Some(deadline) = req.deadline else {
            return Ok(());
        };
        let wait = self.expected_wait(now, req, key);
        if now + wait < deadline {
            return Ok(());
        }
        Err(NotRun::new(
            NotRunReason::Deadline,
            wait.max(NO_AGENT_RETRY_AFTER),
        ))
    }
}
