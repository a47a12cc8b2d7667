//! The ledger: token buckets of the workspaces for which entries have chosen this agent.

use crate::MAX_WAIT;
use crate::REGISTRATION_TTL;
use crate::bucket;
use crate::bucket::Bucket;
use crate::bucket::refill_time;
use crate::bucket::required_level;
use crate::messages::Ask;
use crate::messages::QuotaLimits;
use crate::messages::QuotaRequest;
use crate::messages::WorkspaceGrant;
use crate::messages::WorkspaceRequest;
use dogwoodshunt_types::WorkspaceName;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

/// Time after the last message of an entry up to which its share is credited ahead: a renewal
/// interval and its delay. The share of an entry that has silently left is then credited for 0.6 s
/// at most, and not until its registration ends; in a partition it is credited elsewhere, too.
const CREDIT_AHEAD: Duration = Duration::from_millis(600);

/// Part of the tokens beyond its waiting requests that an entry gets at once. The rest stays for
/// the other entries.
const ADVANCE_SHARE: f64 = 0.5;

/// Part of the capacity that the tokens held by entries can take up. The rest remains for a large
/// request at another entry.
const MAX_HELD_SHARE: f64 = 0.5;

/// Time after the moment at which a refused large request will fit for which the tokens are kept
/// for it.
const CLAIM_GRACE: Duration = Duration::from_millis(500);

/// Answer of a ledger and the entry that gets it.
pub type Answer<E> = (E, WorkspaceGrant);

/// Connection of an entry.
#[derive(Debug)]
struct Peer {
    heard_at: Instant,
    /// Number of entries that the entry names.
    entries: u32,
}

/// Registration of an entry for a workspace.
#[derive(Debug)]
struct Member {
    /// Time up to which the share of the entry has been credited.
    credited_until: Instant,
    /// Tokens that the entry holds at most, as it has reported and been granted since.
    held: u64,
}

/// An ask that waits for tokens.
#[derive(Debug)]
struct Pending<E> {
    entry: E,
    ask: Ask,
    until: Instant,
}

/// Tokens that are kept for a large request that was refused.
///
/// Without it, a request that needs more than refills within the wait would never be served while
/// smaller requests take every token.
#[derive(Clone, Copy, Debug)]
struct Claim {
    amount: u64,
    until: Instant,
    /// Time from which another claim may be made, so that claims never take all of the refill.
    next_from: Instant,
}

/// Bucket of one workspace.
#[derive(Debug)]
struct Account<E> {
    limits: QuotaLimits,
    bucket: Bucket,
    members: HashMap<E, Member>,
    queue: VecDeque<Pending<E>>,
    claim: Option<Claim>,
}

/// State of an account that follows from its members.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// Tokens per second.
    rate: f64,
    /// Tokens that the bucket can hold beside those that the entries hold.
    capacity: f64,
}

/// Ledger of an agent; `E` identifies the connection of an entry.
#[derive(Debug)]
pub struct Ledger<E> {
    peers: HashMap<E, Peer>,
    accounts: HashMap<WorkspaceName, Account<E>>,
}

impl<E> Default for Ledger<E> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            accounts: HashMap::new(),
        }
    }
}

impl<E: Copy + Eq + Hash> Ledger<E> {
    /// Handles a message of an entry and returns the answers that are due.
    pub fn on_request(&mut self, now: Instant, entry: E, request: QuotaRequest) -> Vec<Answer<E>> {
        self.expire(now);
        let peer = self.peers.entry(entry).or_insert(Peer {
            heard_at: now,
            entries: 0,
        });
        peer.heard_at = now;
        if peer.entries != request.entries {
            // The time so far is credited with the former share.
            for account in self.accounts.values_mut() {
                account.refill(now, &self.peers);
            }
            if let Some(peer) = self.peers.get_mut(&entry) {
                peer.entries = request.entries;
            }
        }
        let mut answers = Vec::new();
        for item in request.workspaces {
            self.on_workspace(now, entry, item, &mut answers);
        }
        answers
    }

    /// Ends all registrations on a connection.
    pub fn on_disconnected(&mut self, now: Instant, entry: E) {
        if self.peers.contains_key(&entry) {
            self.accounts.retain(|_, account| {
                account.refill(now, &self.peers);
                account.remove(entry, &self.peers)
            });
            self.peers.remove(&entry);
        }
    }

    /// Returns the answers that have become due.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer<E>> {
        self.expire(now);
        let mut answers = Vec::new();
        for (workspace, account) in &mut self.accounts {
            if !account.queue.is_empty() {
                account.refill(now, &self.peers);
                account.serve_queue(now, workspace, &self.peers, &mut answers);
            }
        }
        answers
    }

    /// Returns whether an entry has lost registrations, so that it has to register again:
    /// it counts `registered` of them.
    pub fn has_lost_registrations(&self, entry: E, registered: u32) -> bool {
        let accounts = self.accounts.values();
        let known = accounts.filter(|account| account.members.contains_key(&entry));
        known.count() < registered as usize
    }

    /// Returns the number of workspaces for which entries are registered.
    pub fn workspace_count(&self) -> usize {
        self.accounts.len()
    }

    /// Ends the registrations of entries that have been silent for [`REGISTRATION_TTL`].
    fn expire(&mut self, now: Instant) {
        let is_silent =
            |peer: &Peer| now.saturating_duration_since(peer.heard_at) >= REGISTRATION_TTL;
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<E> = silent.map(|(entry, _)| *entry).collect();
        for entry in silent {
            self.on_disconnected(now, entry);
        }
    }

    fn on_workspace(
        &mut self,
        now: Instant,
        entry: E,
        item: WorkspaceRequest,
        answers: &mut Vec<Answer<E>>,
    ) {
        if item.leaves {
            if let Some(account) = self.accounts.get_mut(&item.workspace) {
                account.refill(now, &self.peers);
                if !account.remove(entry, &self.peers) {
                    self.accounts.remove(&item.workspace);
                }
            }
            return;
        }
        let is_member = |account: &Account<E>| account.members.contains_key(&entry);
        let is_registered = self.accounts.get(&item.workspace).is_some_and(is_member);
        let account = match (self.accounts.get_mut(&item.workspace), item.limits) {
            (Some(account), _) if is_registered || item.limits.is_some() => account,
            (None, Some(limits)) => self
                .accounts
                .entry(item.workspace.clone())
                .or_insert_with(|| Account::new(limits)),
            // The registration has ended in the silence of the entry, so its limits are unknown.
            (Some(_), _) | (None, None) => {
                if let Some(ask) = item.ask {
                    answers.push((entry, unregistered(item.workspace, ask.number)));
                }
                return;
            }
        };
        account.refill(now, &self.peers);
        if let Some(limits) = item.limits
            && limits.revision >= account.limits.revision
        {
            account.limits = limits;
        }
        let member = account.members.entry(entry).or_insert(Member {
            credited_until: now,
            held: 0,
        });
        member.held = item.held;
        account.bucket.add(item.returned as f64);
        account.clip(&self.peers);
        account.queue.retain(|pending| pending.entry != entry);
        if let Some(ask) = item.ask {
            let until = now + Duration::from_millis(ask.wait_ms).min(MAX_WAIT);
            account.queue.push_back(Pending { entry, ask, until });
        }
        account.serve_queue(now, &item.workspace, &self.peers, answers);
        account.refuse_hopeless(now, &item.workspace, &self.peers, answers);
    }
}

impl<E: Copy + Eq + Hash> Account<E> {
    /// Creates an empty bucket, so that a takeover never grants more than rate x time.
    fn new(limits: QuotaLimits) -> Self {
        Self {
            limits,
            bucket: Bucket::default(),
            members: HashMap::new(),
            queue: VecDeque::new(),
            claim: None,
        }
    }

    /// Returns the highest number of entries that any registered entry names, which is at least
    /// that of the registered ones.
    fn entries(&self, peers: &HashMap<E, Peer>) -> f64 {
        let named = |entry| peers.get(entry).map_or(0, |peer: &Peer| peer.entries);
        let highest = self.members.keys().map(named).max().unwrap_or(0);
        f64::from(highest).max(self.members.len() as f64).max(1.0)
    }

    fn terms(&self, peers: &HashMap<E, Peer>) -> Terms {
        let share = self.members.len() as f64 / self.entries(peers);
        let capacity = bucket::capacity(&self.limits, share);
        let held: u64 = self.members.values().map(|member| member.held).sum();
        Terms {
            rate: self.limits.rate as f64 * share,
            capacity: capacity - (held as f64).min(capacity * MAX_HELD_SHARE),
        }
    }

    /// Credits the share of each registered entry up to `now`.
    fn refill(&mut self, now: Instant, peers: &HashMap<E, Peer>) {
        let share = self.limits.rate as f64 / self.entries(peers);
        for (entry, member) in &mut self.members {
            let Some(peer) = peers.get(entry) else {
                continue;
            };
            let until = now.min(peer.heard_at + CREDIT_AHEAD);
            let time = until.saturating_duration_since(member.credited_until);
            member.credited_until = until.max(member.credited_until);
            self.bucket.add(share * time.as_secs_f64());
        }
        self.clip(peers);
    }

    fn clip(&mut self, peers: &HashMap<E, Peer>) {
        let capacity = self.terms(peers).capacity;
        self.bucket.clip(capacity);
    }

    /// Ends a registration. Returns whether others remain; an account without any is to be
    /// forgotten with its tokens, since the entries spend those of other ledgers by then.
    fn remove(&mut self, entry: E, peers: &HashMap<E, Peer>) -> bool {
        self.members.remove(&entry);
        self.queue.retain(|pending| pending.entry != entry);
        self.clip(peers);
        !self.members.is_empty()
    }

    /// Returns the tokens that an ask with the given least amount can use.
    fn available(&mut self, now: Instant, least: u64, capacity: f64) -> f64 {
        let claim = self.claim.filter(|claim| now < claim.until);
        let kept = match claim {
            Some(claim) if least < claim.amount => required_level(claim.amount as f64, capacity),
            _ => 0.0,
        };
        self.bucket.tokens() - kept
    }

    /// Grants the asks at the head of the queue, in order of arrival, as far as the tokens suffice.
    fn serve_queue(
        &mut self,
        now: Instant,
        workspace: &WorkspaceName,
        peers: &HashMap<E, Peer>,
        answers: &mut Vec<Answer<E>>,
    ) {
        while let Some(pending) = self.queue.front() {
            let (entry, ask, until) = (pending.entry, pending.ask, pending.until);
            let Terms { rate, capacity } = self.terms(peers);
            let available = self.available(now, ask.least, capacity);
            let least = ask.least as f64;
            let missing = required_level(least, capacity) - available;
            if missing > 0.0 && now < until {
                return;
            }
            self.queue.pop_front();
            let (amount, fits_in) = if missing > 0.0 {
                (0, refill_time(missing, rate))
            } else {
                let extra = ((available - least) * ADVANCE_SHARE).max(0.0) as u64;
                let wanted = ask.wanted.max(ask.least);
                (wanted.min(ask.least + extra), Duration::ZERO)
            };
            self.bucket.take(amount as f64);
            if amount > 0 {
                if let Some(member) = self.members.get_mut(&entry) {
                    member.held += amount;
                }
                if self.claim.is_some_and(|claim| ask.least >= claim.amount) {
                    self.end_claim(now);
                }
            }
            let grant = grant(workspace, ask.number, amount, fits_in, rate);
            answers.push((entry, grant));
        }
    }

    /// Refuses the newest ask if it cannot be granted before its wait ends, in the order of
    /// arrival.
    fn refuse_hopeless(
        &mut self,
        now: Instant,
        workspace: &WorkspaceName,
        peers: &HashMap<E, Peer>,
        answers: &mut Vec<Answer<E>>,
    ) {
        let Some(newest) = self.queue.back() else {
            return;
        };
        let (ask, until) = (newest.ask, newest.until);
        let Terms { rate, capacity } = self.terms(peers);
        let ahead = self.queue.len() - 1;
        let ahead: u64 = self.queue.iter().take(ahead).map(|p| p.ask.least).sum();
        let available = self.available(now, ask.least, capacity) - ahead as f64;
        let needed = required_level(ask.least as f64, capacity);
        let fits_in = refill_time(needed - available, rate);
        if now + fits_in <= until {
            return;
        }
        let full_after = refill_time(needed, rate);
        if full_after > MAX_WAIT && self.claim.is_none_or(|claim| claim.next_from <= now) {
            let until = now + fits_in + CLAIM_GRACE;
            self.claim = Some(Claim {
                amount: ask.least,
                until,
                next_from: until + fits_in,
            });
        }
        if let Some(refused) = self.queue.pop_back() {
            let grant = grant(workspace, ask.number, 0, fits_in, rate);
            answers.push((refused.entry, grant));
        }
    }

    /// Ends a claim that has been used; the next one has to wait as long as this one has lasted.
    fn end_claim(&mut self, now: Instant) {
        if let Some(claim) = &mut self.claim {
            claim.until = now;
        }
    }
}

fn grant(
    workspace: &WorkspaceName,
    number: u64,
    amount: u64,
    fits_in: Duration,
    rate: f64,
) -> WorkspaceGrant {
    WorkspaceGrant {
        workspace: workspace.clone(),
        number,
        amount,
        fits_in_ms: u64::try_from(fits_in.as_millis()).unwrap_or(u64::MAX),
        rate: rate.max(1.0) as u64,
    }
}

/// Returns the answer to an ask of an entry that is not registered, which makes it register again:
/// a rate of 0.
fn unregistered(workspace: WorkspaceName, number: u64) -> WorkspaceGrant {
    WorkspaceGrant {
        workspace,
        number,
        amount: 0,
        fits_in_ms: 0,
        rate: 0,
    }
}
