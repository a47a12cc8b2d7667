//! Quarantine of prompt parts that crash engines.
//!
//! Answers requests of which no two are alike but which share one part of their prompt that
//! crashes whichever engine begins to answer it. Agents report which requests an engine had
//! not begun to answer when it crashed. A part that stands in such requests at several
//! crashes and is never answered is quarantined: requests with it are refused, so that they
//! end no further engines and the requests that run there.

use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_residency::demand::PromptPartId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_wire::frame::CRASH_MEMORY;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Number of separate crashes after which a part is quarantined. Chance seldom puts one
/// unanswered part into three of them.
const MIN_CRASHES: usize = 3;

/// Crashes that follow each other within this time count as one: a rack that fails takes
/// several engines at once, whatever they run.
const MIN_CRASH_DISTANCE: Duration = Duration::from_millis(100);

/// Time for which an answered part is not quarantined. Parts that many requests share are
/// answered more often than that.
const ANSWERED_TIME: Duration = Duration::from_secs(10);

/// Time for which answers are remembered.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);

/// Maximum number of crashes that are remembered. The oldest is dropped first.
const MAX_CRASHES: usize = 256;

/// Engine process that crashed: address of its agent and start time.
pub type EngineProcess = (Box<str>, UnixMillis);

/// Crash of an engine process.
#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    /// Shared parts of each request that the process had not begun to answer.
    suspects: Vec<Vec<PromptPartId>>,
}

/// Suspicion against one part.
#[derive(Clone, Copy, Debug, Default)]
struct Suspicion {
    /// Separate crashes since the last answer.
    crashes: usize,
    last_crash_at: Option<Instant>,
    /// Last position of the part in a prompt.
    position: usize,
}

/// Prompt parts of the requests for one service that have crashed engines.
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    crashes: HashMap<EngineProcess, Crash>,
    answered: HashMap<PromptPartId, Instant>,
    /// End of the quarantine of each quarantined part.
    quarantined: HashMap<PromptPartId, Instant>,
}

impl PromptQuarantine {
    /// Records that an engine has begun to answer a prompt with the shared parts `parts`.
    pub fn on_answer(&mut self, now: Instant, parts: &[PromptPart]) {
        for part in parts {
            self.answered.insert(part.id, now);
        }
    }

    /// Records a crash that happened at `at` and returns the parts that are quarantined from
    /// now on. Repeated reports of a crash have no effect.
    pub fn on_crash(
        &mut self,
        now: Instant,
        process: EngineProcess,
        at: Instant,
        suspects: &[Vec<PromptPartId>],
    ) -> Vec<PromptPartId> {
        if self.crashes.contains_key(&process) {
            return Vec::new();
        }
        self.expire(now);
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.and_then(|process| self.crashes.remove(&process));
        }
        let suspects = suspects.to_vec();
        self.crashes.insert(process, Crash { at, suspects });
        let mut added = Vec::new();
        while let Some(part) = self.most_suspected(now) {
            self.quarantined.insert(part, now + CRASH_MEMORY);
            added.push(part);
        }
        added
    }

    /// Returns when the quarantine of a prompt with the shared parts `parts` ends; `None` if no
    /// part is quarantined.
    pub fn until(&self, now: Instant, parts: &[PromptPart]) -> Option<Instant> {
        let ends = parts
            .iter()
            .filter_map(|part| self.quarantined.get(&part.id));
        ends.copied().filter(|end| *end > now).max()
    }

    /// Returns the number of quarantined parts.
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Drops what is no longer remembered.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.answered.retain(|_, at| age(*at) < ANSWER_MEMORY);
        self.crashes.retain(|_, crash| age(crash.at) < CRASH_MEMORY);
        self.quarantined.retain(|_, end| *end > now);
    }

    /// Returns the part that is to be quarantined next: of the parts with enough crashes that
    /// no quarantined part explains, the one that was answered least recently or never.
    ///
    /// Sound requests share parts with those that crash engines. If none of these parts has
    /// been answered lately, the last one in the prompt is selected, since fewer requests
    /// share it.
    fn most_suspected(&self, now: Instant) -> Option<PromptPartId> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut suspicions: HashMap<PromptPartId, Suspicion> = HashMap::new();
        for crash in crashes {
            let suspects = crash.suspects.iter().flatten();
            if suspects.clone().any(|id| self.quarantined.contains_key(id)) {
                continue;
            }
            let ids: HashSet<PromptPartId> = suspects.copied().collect();
            for id in ids {
                if self.answered.get(&id).is_none_or(|at| *at < crash.at) {
                    let position = position_of(id, &crash.suspects);
                    suspicions.entry(id).or_default().add(crash.at, position);
                }
            }
        }
        let is_answered_lately = |id: &PromptPartId| {
            let answered = self.answered.get(id);
            answered.is_some_and(|at| now.saturating_duration_since(*at) < ANSWERED_TIME)
        };
        let candidates = suspicions
            .into_iter()
            .filter(|(id, suspicion)| suspicion.crashes >= MIN_CRASHES && !is_answered_lately(id));
        let selected = candidates.max_by_key(|(id, suspicion)| {
            let answered = self.answered.get(id);
            (
                Reverse(answered.copied()),
                suspicion.crashes,
                suspicion.position,
                *id,
            )
        });
        selected.map(|(id, _)| id)
    }
}

impl Suspicion {
    fn add(&mut self, crash_at: Instant, position: usize) {
        let since_last = self
            .last_crash_at
            .map(|last| crash_at.saturating_duration_since(last));
        if since_last.is_none_or(|since| since >= MIN_CRASH_DISTANCE) {
            self.crashes += 1;
            self.last_crash_at = Some(crash_at);
        }
        self.position = self.position.max(position);
    }
}

/// Returns the last position of a part in any of the given prompts.
fn position_of(id: PromptPartId, prompts: &[Vec<PromptPartId>]) -> usize {
    let positions = prompts
        .iter()
        .filter_map(|parts| parts.iter().rposition(|part| *part == id));
    positions.max().unwrap_or(0)
}
