//! Records which requests an engine had not begun to answer when it crashed.
//!
//! The entries use the records to find prompts that crash engines. A record is made when the
//! engine stops answering after a run broke off, or has restarted.

use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_residency::demand::PromptPartId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_wire::frame::CRASH_MEMORY;
use dogwoodshunt_wire::frame::EngineCrash;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time before the detection of a crash in which runs that broke off belong to it: several
/// polls of the report.
const BROKEN_OFF_TIME: Duration = Duration::from_secs(2);

/// Time for which a part that this engine answered is left out of its records.
const ANSWERED_TIME: Duration = Duration::from_secs(10);

/// Maximum number of records that are kept. The oldest is dropped first.
const MAX_RECORDS: usize = 16;

/// Maximum number of requests in a record.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of parts of a request in a record.
const MAX_PARTS: usize = 16;

/// Ids of the shared parts of a prompt.
pub(super) type SharedParts = Vec<PromptPartId>;

/// Returns the ids of the shared parts of a prompt that are kept for records.
pub(super) fn shared_part_ids(parts: &[PromptPart]) -> SharedParts {
    let parts = parts.iter().take(MAX_PARTS);
    parts.map(|part| part.id).collect()
}

/// Run that broke off.
#[derive(Debug)]
struct BrokenRun {
    at: Instant,
    /// Shared parts of its prompt; `None` if the engine had begun to answer.
    suspect: Option<SharedParts>,
}

/// Record of a crash.
#[derive(Debug)]
struct CrashRecord {
    /// Number of the record, from 1.
    number: u64,
    started: UnixMillis,
    at: Instant,
    suspects: Vec<SharedParts>,
}

/// Records of the crashes of one engine.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    broken_runs: VecDeque<BrokenRun>,
    answered: HashMap<PromptPartId, Instant>,
    records: VecDeque<CrashRecord>,
    last_number: u64,
    /// Process of the last record; each process crashes once.
    last_crashed: Option<UnixMillis>,
}

impl CrashLog {
    /// Records that the engine has begun to answer a prompt.
    pub(super) fn on_answer(&mut self, now: Instant, parts: &[PromptPartId]) {
        self.answered
            .retain(|_, at| now.saturating_duration_since(*at) < ANSWERED_TIME);
        self.answered.extend(parts.iter().map(|part| (*part, now)));
    }

    /// Records that a run broke off; `suspect` has the shared parts of its prompt if the
    /// engine had not begun to answer.
    pub(super) fn on_broken_run(&mut self, now: Instant, suspect: Option<SharedParts>) {
        self.drop_old_broken_runs(now);
        self.broken_runs.push_back(BrokenRun { at: now, suspect });
    }

    /// Returns whether a run broke off so lately that a crash may be the cause.
    pub(super) fn has_broken_run(&mut self, now: Instant) -> bool {
        self.drop_old_broken_runs(now);
        !self.broken_runs.is_empty()
    }

    /// Records the crash of the process that started at `started`, where `unanswered` are the
    /// granted runs that it had not begun to answer and that have not broken off yet. Returns
    /// the suspects, or `None` if nothing is recorded.
    pub(super) fn on_crash(
        &mut self,
        now: Instant,
        started: UnixMillis,
        unanswered: Vec<SharedParts>,
    ) -> Option<&[SharedParts]> {
        if self.last_crashed == Some(started) {
            return None;
        }
        self.drop_old_broken_runs(now);
        let at = self.broken_runs.front().map_or(now, |run| run.at);
        let broken = std::mem::take(&mut self.broken_runs);
        let broken = broken.into_iter().filter_map(|run| run.suspect);
        let answered = &self.answered;
        let is_answered = |part: &PromptPartId| {
            let answered_at = answered.get(part);
            answered_at.is_some_and(|at| now.saturating_duration_since(*at) < ANSWERED_TIME)
        };
        let suspects = broken.chain(unanswered).map(|parts| {
            let parts = parts.into_iter().filter(|part| !is_answered(part));
            parts.collect::<SharedParts>()
        });
        let suspects: HashSet<SharedParts> = suspects.filter(|parts| !parts.is_empty()).collect();
        if suspects.is_empty() {
            return None;
        }
        self.last_crashed = Some(started);
        self.last_number += 1;
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(CrashRecord {
            number: self.last_number,
            started,
            at,
            suspects: suspects.into_iter().take(MAX_SUSPECTS).collect(),
        });
        self.records.back().map(|record| &*record.suspects)
    }

    /// Returns the records after number `after`, and the number of the last one.
    pub(super) fn records_after(&self, now: Instant, after: u64) -> (Vec<EngineCrash>, u64) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let records = self.records.iter();
        let records =
            records.filter(|record| record.number > after && age(record.at) < CRASH_MEMORY);
        let crashes = records.map(|record| EngineCrash {
            started: record.started,
            age: age(record.at),
            suspects: record.suspects.clone(),
        });
        (crashes.collect(), self.last_number)
    }

    fn drop_old_broken_runs(&mut self, now: Instant) {
        let is_old = |run: &BrokenRun| now.saturating_duration_since(run.at) >= BROKEN_OFF_TIME;
        while self.broken_runs.front().is_some_and(is_old) {
            self.broken_runs.pop_front();
        }
    }
}
