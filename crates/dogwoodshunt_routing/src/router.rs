//! Choice of an agent for each attempt.

use crate::agent::Agent;
use crate::agent::AgentKey;
use crate::agent::Nearness;
use crate::cost;
use crate::near::NearIndex;
use crate::retry;
use crate::retry::Failure;
use crate::retry::RetryBudget;
use crate::retry::Tried;
use crate::retry::Verdict;
use crate::settings::Policy;
use crate::settings::Settings;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::popularity::Popularity;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_types::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::time::Duration;
use std::time::Instant;

/// Pause that a caller is told when no agent can take its request.
const NO_AGENT_RETRY: Duration = Duration::from_secs(1);

/// A request that needs an agent.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// What to run.
    pub target: &'a Target,
    /// When the first byte is of no more use.
    pub deadline: Option<Instant>,
    /// Agents that have declined the request.
    pub excluded: &'a [AgentKey],
    /// What the request costs an engine.
    pub demand: &'a Demand,
}

/// What an entry knows of the agents.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    agents: SlotMap<AgentKey, Agent>,
    near: NearIndex,
    wanted: usize,
    budget: RetryBudget,
    popularity: Popularity,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router that knows no agent.
    pub fn new(settings: Settings) -> Self {
        let budget = RetryBudget::new(settings.retry_ratio, settings.retry_burst);
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let popularity = Popularity::new(settings.popularity_half_life);
        Self {
            settings,
            agents: SlotMap::with_key(),
            near: NearIndex::default(),
            wanted: 0,
            budget,
            popularity,
            rng,
        }
    }

    /// Adds an agent.
    pub fn add_agent(&mut self, node: NodeId) -> AgentKey {
        self.agents.insert(Agent::new(node))
    }

    /// Forgets adapters that have fallen idle.
    pub fn prune(&mut self, now: Instant) {
        self.popularity.prune(now);
    }

    /// Removes an agent.
    pub fn remove_agent(&mut self, key: AgentKey) {
        if let Some(agent) = self.agents.remove(key) {
            self.near.forget(key, agent.reported());
            self.wanted -= agent.wanted();
        }
    }

    /// Returns all agents.
    pub fn agents(&self) -> impl Iterator<Item = (AgentKey, &Agent)> {
        self.agents.iter()
    }

    /// Returns one agent.
    pub fn agent(&self, key: AgentKey) -> Option<&Agent> {
        self.agents.get(key)
    }

    /// Records the name that an agent has given itself.
    pub fn set_node(&mut self, key: AgentKey, node: NodeId) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.node = node;
        }
    }

    /// Records the failure domain that an agent stands in.
    pub fn set_domain(&mut self, key: AgentKey, domain: FailureDomain) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.domain = domain;
        }
    }

    /// Records whether the agent is connected and trusts its catalogue.
    pub fn set_usable(&mut self, key: AgentKey, usable: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.usable = usable;
        }
    }

    /// Records whether the agent takes no new work.
    pub fn set_leaving(&mut self, key: AgentKey, leaving: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.leaving = leaving;
        }
    }

    /// Records whether an agent is out of reach while its engine is not.
    pub fn set_unattended(&mut self, key: AgentKey, unattended: bool) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.unattended = unattended;
        }
    }

    /// Takes over that an agent's engine lacks an adapter, though its last
    /// report has it.
    pub fn forget_adapter(&mut self, key: AgentKey, adapter: &AdapterRef) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        self.near.forget(key, agent.reported());
        agent.forget_adapter(adapter);
        self.near.remember(key, agent.reported());
    }

    /// Takes in an agent's load report, or what of it has changed.
    pub fn on_report(&mut self, now: Instant, key: AgentKey, update: ReportUpdate) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        self.wanted -= agent.wanted();
        if matches!(update, ReportUpdate::Load(_)) {
            agent.on_report(now, update, self.settings.host_copies);
        } else {
            self.near.forget(key, agent.reported());
            agent.on_report(now, update, self.settings.host_copies);
            self.near.remember(key, agent.reported());
        }
        self.wanted += agent.wanted();
    }

    /// Records a new request, which earns a part of a retry.
    pub fn on_request(&mut self) {
        self.budget.on_request();
    }

    /// Chooses an agent and reserves room on it.
    ///
    /// # Errors
    ///
    /// Returns why no agent can take the request, and when to try again.
    pub fn route(&mut self, now: Instant, ask: &Ask<'_>) -> Result<AgentKey, NotRun> {
        let chosen = self.choose(now, ask);
        let key = chosen.ok_or(NotRun::new(NotRunReason::NoUpstream, NO_AGENT_RETRY))?;
        self.check_deadline(now, ask, key)?;
        let agent = &mut self.agents[key];
        let takes_work = invariant::check(
            Invariant::LeavingTakesNoWork,
            agent.takes_work(),
            &format_args!("route to {}", agent.node),
        );
        if !takes_work {
            return Err(NotRun::new(NotRunReason::Leaving, NO_AGENT_RETRY));
        }
        agent.reserve(ask.target);
        agent.reserve_tokens(now, ask.target, ask.demand);
        if let Some(adapter) = ask.target.adapter() {
            self.near.remember(key, [adapter]);
            self.popularity.record(now, adapter);
        }
        Ok(key)
    }

    /// Records that an attempt on an agent has ended.
    pub fn on_end(&mut self, key: AgentKey, target: &Target) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.release(target);
            if let Some(adapter) = target.adapter() {
                self.near.forget(key, [adapter]);
            }
        }
    }

    /// Decides what follows a failed attempt.
    pub fn after(&mut self, failure: Failure, tried: &Tried) -> Verdict {
        retry::after(failure, tried, &mut self.budget, &mut self.rng)
    }

    /// Returns the most attempts that one request may take.
    pub fn most_attempts(&self) -> u32 {
        self.settings.attempts
    }

    fn choose(&mut self, now: Instant, ask: &Ask<'_>) -> Option<AgentKey> {
        match self.settings.policy {
            Policy::Cost => self.cheapest(now, ask),
            Policy::LeastLoaded => self.least_loaded(now, ask),
            Policy::Random => {
                let able: Vec<AgentKey> = self.able(ask).collect();
                let index = self.rng.random_range(0..able.len().max(1));
                able.get(index).copied()
            }
            Policy::Rendezvous => self.homes(ask, 1).first().copied(),
        }
    }

    fn is_able(&self, key: AgentKey, ask: &Ask<'_>) -> bool {
        let agent = self.agents.get(key);
        let usable = agent.is_some_and(|agent| {
            let attended = !agent.unattended || agent.runs_unattended(ask.target);
            attended && agent.takes_work() && agent.serves(ask.target)
        });
        usable && !ask.excluded.contains(&key)
    }

    fn able<'a>(&'a self, ask: &'a Ask<'_>) -> impl Iterator<Item = AgentKey> + 'a {
        self.agents.keys().filter(|key| self.is_able(*key, ask))
    }

    /// Returns the cheapest of the agents where the adapter is near, and of
    /// its homes; agents of unknown load come last.
    fn cheapest(&self, now: Instant, ask: &Ask<'_>) -> Option<AgentKey> {
        let mut candidates = self.homes(ask, self.settings.homes);
        let first_home = candidates.first().copied();
        let near = ask.target.adapter().map(|adapter| self.near.of(adapter));
        for key in near.into_iter().flatten() {
            if !candidates.contains(&key) && self.is_able(key, ask) {
                candidates.push(key);
            }
        }
        let wanted = self.wanted as f64;
        let adapter = ask.target.adapter();
        let popularity = adapter.map_or(0.0, |adapter| self.popularity.get(now, adapter));
        let settings = &self.settings;
        let known = candidates.iter().enumerate().filter_map(|(rank, key)| {
            let agent = &self.agents[*key];
            let cost = cost::estimate(
                now, agent, ask.target, ask.demand, wanted, popularity, settings,
            )?;
            // Entries that do not know of each other's requests meet at the
            // first home, unless another one saves more than a load.
            let apart = rank.min(self.settings.homes) as f64 * self.home_step(agent, ask.target);
            Some((cost + apart, rank, *key))
        });
        let best = known.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, _, key)| key).or(first_home)
    }

    /// Returns what each further home costs where the adapter is absent.
    fn home_step(&self, agent: &Agent, target: &Target) -> f64 {
        let absent = target
            .adapter()
            .is_some_and(|adapter| agent.nearness(adapter) == Nearness::Absent);
        if absent {
            self.settings.stall_weight * self.settings.home_step.as_secs_f64()
        } else {
            0.0
        }
    }

    fn least_loaded(&self, now: Instant, ask: &Ask<'_>) -> Option<AgentKey> {
        let busy = |key: &AgentKey| {
            let load = cost::Load::of(now, &self.agents[*key], ask.target, &self.settings);
            load.map_or(f64::MAX, |load| load.busy / load.batch)
        };
        self.able(ask).min_by(|a, b| busy(a).total_cmp(&busy(b)))
    }

    /// Returns the first `count` able agents by rendezvous hashing.
    fn homes(&self, ask: &Ask<'_>, count: usize) -> Vec<AgentKey> {
        let text = ask.target.to_string();
        let mut homes: Vec<(u64, AgentKey)> = Vec::with_capacity(count + 1);
        for key in self.able(ask) {
            let weight = rendezvous::weight(&text, &self.agents[key].node);
            let rank = homes.partition_point(|(held, _)| *held >= weight);
            if rank < count {
                homes.insert(rank, (weight, key));
                homes.truncate(count);
            }
        }
        homes.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the expected time to the first byte, without that of the run
    /// itself where the engine does not tell its load in tokens.
    pub fn expected_wait(&self, now: Instant, ask: &Ask<'_>, key: AgentKey) -> Duration {
        let Some(agent) = self.agents.get(key) else {
            return Duration::ZERO;
        };
        let (wanted, settings) = (self.wanted as f64, &self.settings);
        let first_byte = cost::first_byte(now, agent, ask.target, ask.demand, wanted, settings);
        let wait = first_byte.unwrap_or_else(|| {
            let load = cost::Load::of(now, agent, ask.target, settings);
            load.map_or(0.0, |load| load.wait())
        });
        Duration::from_secs_f64(wait)
    }

    fn check_deadline(&self, now: Instant, ask: &Ask<'_>, key: AgentKey) -> Result<(), NotRun> {
        let Some(deadline) = ask.deadline else {
            return Ok(());
        };
        let wait = self.expected_wait(now, ask, key);
        if now + wait < deadline {
            return Ok(());
        }
        Err(NotRun::new(
            NotRunReason::Deadline,
            wait.max(NO_AGENT_RETRY),
        ))
    }
}
