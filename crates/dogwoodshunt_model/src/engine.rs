//! One engine: a batch that advances in steps.
//!
//! In each step every request whose prompt has been read produces one token,
//! and up to a piece of prompts is read, in the order of rank and arrival. A
//! step takes a fixed time, a little for each request and each thousand tokens
//! of context, the piece at the engine's rate, and its attention, which grows
//! with the piece times the context before it.

use bon::Builder;
use dogwoodshunt_residency::PrefixIndex;
use dogwoodshunt_residency::demand::Demand;
use std::time::Duration;

/// What an engine can do.
#[derive(Builder, Clone, Debug)]
pub struct Spec {
    /// Fixed time of a step, in milliseconds.
    #[builder(default = 5.0)]
    pub step_ms: f64,
    /// Time of a step for each running request, in milliseconds.
    #[builder(default = 0.004)]
    pub request_ms: f64,
    /// Time of a step for each thousand tokens of context, in milliseconds.
    #[builder(default = 0.0085)]
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    #[builder(default = 38.0)]
    pub tokens_per_ms: f64,
    /// Time for a million pairs of a token read and one before it, in milliseconds.
    #[builder(default = 0.65)]
    pub pairs_ms: f64,
    /// Prompt tokens read in one step.
    #[builder(default = 2_048)]
    pub piece: u64,
    /// Tokens in one event of a stream.
    #[builder(default = 4)]
    pub event_tokens: u32,
    /// Requests that run at once.
    #[builder(default = 64)]
    pub batch: usize,
    /// Tokens that the KV cache holds.
    #[builder(default = 260_000)]
    pub kv_tokens: u64,
    /// Places for adapters.
    #[builder(default = 9)]
    pub slots: usize,
    /// Adapters of which the host keeps a copy after they were unloaded.
    #[builder(default = 54)]
    pub host_copies: usize,
}

/// Names a request in the model.
pub type RunId = u64;

#[derive(Clone, Debug)]
struct Run {
    id: RunId,
    rank: u8,
    unread: u64,
    context: u64,
    to_produce: u32,
    produced: u32,
}

/// What a step has brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// An event of the request's stream is complete.
    Event(RunId),
    /// The request is over.
    Over(RunId),
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    runs: Vec<Run>,
    waiting: Vec<Run>,
    reading: Vec<(RunId, u64)>,
    kept: PrefixIndex,
    /// Prompt tokens that were read.
    pub tokens_read: u64,
}

impl Engine {
    /// Creates an engine that runs nothing.
    pub fn new(spec: Spec) -> Self {
        let kept = PrefixIndex::new(spec.kv_tokens);
        Self {
            spec,
            runs: Vec::new(),
            waiting: Vec::new(),
            reading: Vec::new(),
            kept,
            tokens_read: 0,
        }
    }

    /// Returns what the engine can do.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.waiting.is_empty()
    }

    /// Takes in a request that produces `output` tokens.
    pub fn submit(&mut self, id: RunId, adapter: &str, demand: &Demand, output: u32) {
        let kept = self.kept.cached_tokens(adapter, &demand.parts);
        self.kept.record(adapter, &demand.parts);
        let prompt = u64::from(demand.prompt_tokens);
        self.waiting.push(Run {
            id,
            rank: demand.rank,
            unread: prompt.saturating_sub(kept).max(1),
            context: prompt,
            to_produce: output.max(1),
            produced: 0,
        });
        self.waiting.sort_by_key(|run| run.rank);
    }

    /// Drops a request whose caller has left.
    pub fn cancel(&mut self, id: RunId) {
        self.runs.retain(|run| run.id != id);
        self.waiting.retain(|run| run.id != id);
        self.reading.retain(|(reading, _)| *reading != id);
    }

    /// Begins a step and returns how long it takes; `None` if nothing runs.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        if self.runs.is_empty() {
            return None;
        }
        let mut left = self.spec.piece;
        let mut pairs = 0.0;
        self.reading.clear();
        let mut order: Vec<&Run> = self.runs.iter().filter(|run| run.unread > 0).collect();
        order.sort_by_key(|run| run.rank);
        for run in order {
            let piece = run.unread.min(left);
            if piece == 0 {
                break;
            }
            left -= piece;
            let before = run.context - run.unread;
            pairs += piece as f64 * (before + piece / 2) as f64 / 1e6;
            self.reading.push((run.id, piece));
        }
        let read = (self.spec.piece - left) as f64;
        let context: u64 = self.runs.iter().map(|run| run.context).sum();
        let millis = self.spec.step_ms
            + self.spec.request_ms * self.runs.len() as f64
            + self.spec.context_ms * context as f64 / 1e3
            + read / self.spec.tokens_per_ms
            + self.spec.pairs_ms * pairs;
        Some(Duration::from_secs_f64(millis / 1e3))
    }

    /// Ends the step that was begun and returns what it has brought.
    pub fn end_step(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let event_tokens = self.spec.event_tokens;
        for run in &mut self.runs {
            let piece = self.reading.iter().find(|(id, _)| *id == run.id);
            if let Some((_, piece)) = piece {
                run.unread -= piece;
                self.tokens_read += piece;
            }
            if run.unread > 0 {
                continue;
            }
            run.produced += 1;
            run.context += 1;
            let over = run.produced >= run.to_produce;
            if run.produced % event_tokens == 0 || over {
                progress.push(Progress::Event(run.id));
            }
            if over {
                progress.push(Progress::Over(run.id));
            }
        }
        self.reading.clear();
        self.runs.retain(|run| run.produced < run.to_produce);
        progress
    }

    /// Moves waiting requests into the batch while there is room.
    fn admit(&mut self) {
        while self.runs.len() < self.spec.batch && !self.waiting.is_empty() {
            let held: u64 = self.runs.iter().map(|run| run.context).sum();
            let next = &self.waiting[0];
            if held + next.context > self.spec.kv_tokens && !self.runs.is_empty() {
                return;
            }
            let next = self.waiting.remove(0);
            self.runs.push(next);
        }
    }
}
