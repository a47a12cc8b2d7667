//! Entries and ledgers in virtual time, with connections between them that can be cut, delayed and
//! re-established, and processes that can be frozen and restarted.

use crate::MAX_WAIT;
use crate::entry::EntryQuotas;
use crate::entry::Refusal;
use crate::ledger::Ledger;
use crate::messages::QuotaGrant;
use crate::messages::QuotaLimits;
use crate::messages::QuotaRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Step of the simulation.
pub(super) const STEP_MS: u64 = 1;

/// Time of a message on its way.
const LATENCY_MS: u64 = 1;

/// Interval between two checks of an agent.
const AGENT_TICK_MS: u64 = 20;

/// Silence after which either side closes a connection.
const LINK_TIMEOUT_MS: u64 = 1_500;

/// Message on its way.
enum Message {
    Request(QuotaRequest),
    Grant(QuotaGrant),
}

/// Connection between an entry and an agent.
struct Link {
    /// Identifies the connection; each new one has another number.
    number: u64,
    is_open: bool,
    /// Whether messages stay on their way.
    is_cut: bool,
    to_agent: VecDeque<(u64, Message)>,
    to_entry: VecDeque<(u64, Message)>,
    /// When the connection was cut.
    cut_at: u64,
}

/// A request that has been paid and runs.
pub(super) struct Run {
    pub(super) at_ms: u64,
    pub(super) cost: u64,
}

/// A request that was refused.
pub(super) struct Refused {
    pub(super) at_ms: u64,
    pub(super) cost: u64,
    pub(super) is_over_quota: bool,
}

/// Entries and agents with one workspace.
pub(super) struct Fleet {
    pub(super) now_ms: u64,
    base: Instant,
    rng: ChaCha8Rng,
    limits: QuotaLimits,
    entries: Vec<EntryQuotas<usize, (u64, u64)>>,
    agents: Vec<Ledger<u64>>,
    /// By entry and agent.
    links: Vec<Vec<Link>>,
    frozen_entries: HashMap<usize, u64>,
    frozen_agents: HashMap<usize, u64>,
    last_link: u64,
    pub(super) runs: Vec<Run>,
    pub(super) refused: Vec<Refused>,
}

impl Fleet {
    pub(super) fn new(entries: usize, agents: usize, limits: QuotaLimits, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            base: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            limits,
            entries: Vec::new(),
            agents: (0..agents).map(|_| Ledger::default()).collect(),
            links: Vec::new(),
            frozen_entries: HashMap::new(),
            frozen_agents: HashMap::new(),
            last_link: 0,
            runs: Vec::new(),
            refused: Vec::new(),
        };
        for entry in 0..entries {
            fleet.entries.push(EntryQuotas::default());
            fleet.links.push(Vec::new());
            for _ in 0..agents {
                fleet.links[entry].push(Link {
                    number: 0,
                    is_open: false,
                    is_cut: false,
                    to_agent: VecDeque::new(),
                    to_entry: VecDeque::new(),
                    cut_at: 0,
                });
            }
            fleet.start_entry(entry);
        }
        for entry in 0..entries {
            for agent in 0..agents {
                fleet.open(entry, agent);
            }
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn start_entry(&mut self, entry: usize) {
        let now = self.now();
        let mut quotas = EntryQuotas::default();
        quotas.set_limits(now, [("w".into(), self.limits)]);
        for agent in 0..self.agents.len() {
            quotas.on_agent_listed(now, agent, &format!("agent-{agent}"));
        }
        self.entries[entry] = quotas;
    }

    /// Puts limits in force at an entry.
    pub(super) fn set_limits(&mut self, entry: usize, limits: QuotaLimits) {
        let now = self.now();
        self.limits = limits;
        self.entries[entry].set_limits(now, [("w".into(), limits)]);
    }

    fn open(&mut self, entry: usize, agent: usize) {
        let now = self.now();
        self.last_link += 1;
        let connected = 1
            + (0..self.entries.len())
                .filter(|other| *other != entry && self.links[*other][agent].is_open)
                .count();
        let link = &mut self.links[entry][agent];
        link.number = self.last_link;
        link.is_open = true;
        link.to_agent.clear();
        link.to_entry.clear();
        self.entries[entry].on_agent_connected(now, agent);
        for (other, quotas) in self.entries.iter_mut().enumerate() {
            if self.links[other][agent].is_open {
                quotas.on_entry_count(now, u32::try_from(connected).unwrap());
            }
        }
    }

    fn close(&mut self, entry: usize, agent: usize) {
        let now = self.now();
        let link = &mut self.links[entry][agent];
        if std::mem::replace(&mut link.is_open, false) {
            link.to_agent.clear();
            link.to_entry.clear();
            self.entries[entry].on_agent_disconnected(now, agent);
            self.agents[agent].on_disconnected(now, link.number);
        }
    }

    /// Cuts the connection between an entry and an agent, or lets its messages through again.
    pub(super) fn set_cut(&mut self, entry: usize, agent: usize, is_cut: bool) {
        let now_ms = self.now_ms;
        let link = &mut self.links[entry][agent];
        if link.is_cut != is_cut {
            link.is_cut = is_cut;
            link.cut_at = now_ms;
        }
    }

    /// Breaks a connection, with all messages on their way.
    pub(super) fn break_link(&mut self, entry: usize, agent: usize) {
        self.close(entry, agent);
    }

    pub(super) fn restart_entry(&mut self, entry: usize) {
        for agent in 0..self.agents.len() {
            self.close(entry, agent);
        }
        self.start_entry(entry);
    }

    pub(super) fn restart_agent(&mut self, agent: usize) {
        for entry in 0..self.entries.len() {
            self.close(entry, agent);
        }
        self.agents[agent] = Ledger::default();
    }

    pub(super) fn freeze_entry(&mut self, entry: usize, millis: u64) {
        self.frozen_entries.insert(entry, self.now_ms + millis);
    }

    pub(super) fn freeze_agent(&mut self, agent: usize, millis: u64) {
        self.frozen_agents.insert(agent, self.now_ms + millis);
    }

    /// Returns the agent that is the ledger of an entry.
    pub(super) fn ledger(&self, entry: usize) -> Option<usize> {
        self.entries[entry].ledger("w")
    }

    /// Sends a request to an entry.
    pub(super) fn request(&mut self, entry: usize, cost: u64) {
        let now = self.now();
        let ticket = (self.now_ms, cost);
        self.entries[entry]
            .take(now, "w", cost, MAX_WAIT, ticket)
            .unwrap();
    }

    /// Gives an entry the cost of a request back that has not run.
    pub(super) fn refund(&mut self, entry: usize, cost: u64) {
        let now = self.now();
        self.entries[entry].refund(now, "w", cost);
    }

    /// Returns a random number below `end`.
    pub(super) fn random(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    pub(super) fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        self.frozen_entries.retain(|_, until| *until > now_ms);
        self.frozen_agents.retain(|_, until| *until > now_ms);
        self.expire_links();
        self.deliver_to_agents();
        self.deliver_to_entries();
        self.poll_entries();
    }

    fn expire_links(&mut self) {
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let link = &self.links[entry][agent];
                let cut_for = self.now_ms.saturating_sub(link.cut_at);
                if link.is_open && link.is_cut && cut_for >= LINK_TIMEOUT_MS {
                    self.close(entry, agent);
                } else if !link.is_open && !link.is_cut && self.now_ms.is_multiple_of(50) {
                    let is_frozen = self.frozen_entries.contains_key(&entry)
                        || self.frozen_agents.contains_key(&agent);
                    if !is_frozen {
                        self.open(entry, agent);
                    }
                }
            }
        }
    }

    fn deliver_to_agents(&mut self) {
        let now = self.now();
        for agent in 0..self.agents.len() {
            if self.frozen_agents.contains_key(&agent) {
                continue;
            }
            for entry in 0..self.entries.len() {
                let link = &mut self.links[entry][agent];
                while let Some((due, _)) = link.to_agent.front()
                    && *due <= self.now_ms
                    && !link.is_cut
                {
                    let Some((_, Message::Request(request))) = link.to_agent.pop_front() else {
                        continue;
                    };
                    let registered = request.registered;
                    let number = link.number;
                    let ledger = &mut self.agents[agent];
                    let answers = ledger.on_request(now, number, request);
                    let again = ledger.has_lost_registrations(number, registered);
                    if again {
                        let grant = QuotaGrant {
                            register_again: true,
                            ..QuotaGrant::default()
                        };
                        let due = self.now_ms + LATENCY_MS;
                        link.to_entry.push_back((due, Message::Grant(grant)));
                    }
                    send_answers(&mut self.links, agent, self.now_ms, answers);
                    break;
                }
            }
            if self.now_ms.is_multiple_of(AGENT_TICK_MS) {
                let answers = self.agents[agent].tick(now);
                send_answers(&mut self.links, agent, self.now_ms, answers);
            }
        }
    }

    fn deliver_to_entries(&mut self) {
        let now = self.now();
        for entry in 0..self.entries.len() {
            if self.frozen_entries.contains_key(&entry) {
                continue;
            }
            for agent in 0..self.agents.len() {
                let link = &mut self.links[entry][agent];
                while let Some((due, _)) = link.to_entry.front()
                    && *due <= self.now_ms
                    && !link.is_cut
                {
                    if let Some((_, Message::Grant(grant))) = link.to_entry.pop_front() {
                        self.entries[entry].on_grant(now, agent, &grant);
                    }
                }
            }
        }
    }

    fn poll_entries(&mut self) {
        let now = self.now();
        for entry in 0..self.entries.len() {
            if self.frozen_entries.contains_key(&entry) {
                continue;
            }
            let actions = self.entries[entry].poll(now);
            for (agent, request) in actions.messages {
                let link = &mut self.links[entry][agent];
                if link.is_open {
                    let due = self.now_ms + LATENCY_MS;
                    link.to_agent.push_back((due, Message::Request(request)));
                }
            }
            for ((arrived_ms, cost), result) in actions.answers {
                match result {
                    Ok(()) => self.runs.push(Run {
                        at_ms: self.now_ms,
                        cost,
                    }),
                    Err(refusal) => self.refused.push(Refused {
                        at_ms: arrived_ms,
                        cost,
                        is_over_quota: matches!(refusal, Refusal::OverQuota { .. }),
                    }),
                }
            }
        }
    }
}

fn send_answers(
    links: &mut [Vec<Link>],
    agent: usize,
    now_ms: u64,
    answers: Vec<crate::ledger::Answer<u64>>,
) {
    for (number, grant) in answers {
        let mut links = links.iter_mut().map(|links| &mut links[agent]);
        if let Some(link) = links.find(|link| link.is_open && link.number == number) {
            let grant = QuotaGrant {
                workspaces: vec![grant],
                register_again: false,
            };
            link.to_entry
                .push_back((now_ms + LATENCY_MS, Message::Grant(grant)));
        }
    }
}

/// Returns the highest cost of the runs within any window of 8 s.
pub(super) fn highest_in_window(runs: &[Run]) -> u64 {
    let (mut first, mut sum, mut highest) = (0, 0, 0);
    for run in runs {
        sum += run.cost;
        while runs[first].at_ms + 8_000 <= run.at_ms {
            sum -= runs[first].cost;
            first += 1;
        }
        highest = highest.max(sum);
    }
    highest
}

/// Returns the bound on the cost of the runs within any window of 8 s.
pub(super) fn bound(limits: QuotaLimits) -> u64 {
    (limits.rate * 8 + limits.burst) * 11 / 10 + 110_000
}
