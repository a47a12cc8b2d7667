//! Simulated engine: a continuous batch that advances in discrete steps.
//!
//! In each step every request with a completed prefill generates one token, and
//! the engine prefills at most one chunk of prompt tokens, in the order of
//! priority rank and arrival. The duration of a step is the sum of a fixed
//! time, a time per request, a time per thousand tokens of context, the prefill
//! time of the chunk, and its attention time, which grows with the length of
//! the chunk times the context before it.

use bon::Builder;
use dogwoodshunt_residency::PrefixIndex;
use dogwoodshunt_residency::demand::Demand;
use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Builder, Clone, Debug)]
pub struct EngineSpec {
    /// Fixed part of a step's duration, in milliseconds.
    #[builder(default = 5.0)]
    pub step_base_ms: f64,
    /// Part of a step's duration per request in the batch, in milliseconds.
    #[builder(default = 0.004)]
    pub step_ms_per_request: f64,
    /// Part of a step's duration per thousand tokens of context, in milliseconds.
    #[builder(default = 0.0085)]
    pub step_ms_per_1k_context_tokens: f64,
    /// Prefill rate, in prompt tokens per millisecond.
    #[builder(default = 38.0)]
    pub prefill_tokens_per_ms: f64,
    /// Attention time per million pairs of a prefilled token and a token before
    /// it, in milliseconds.
    #[builder(default = 0.65)]
    pub attention_ms_per_million_pairs: f64,
    /// Maximum prompt tokens prefilled in one step.
    #[builder(default = 2_048)]
    pub prefill_chunk_tokens: u64,
    /// Tokens in one event of a response stream.
    #[builder(default = 4)]
    pub tokens_per_event: u32,
    /// Maximum number of requests in the batch.
    #[builder(default = 64)]
    pub max_batch_size: usize,
    /// Capacity of the KV cache, in tokens.
    #[builder(default = 260_000)]
    pub kv_capacity_tokens: u64,
    /// Number of adapters that the engine can hold at once.
    #[builder(default = 9)]
    pub adapter_slots: usize,
    /// Number of unloaded adapters that the host keeps in its cache.
    #[builder(default = 54)]
    pub host_cache_capacity: usize,
}

/// Identifies a request within one simulation.
pub type SimRequestId = u64;

#[derive(Clone, Debug)]
struct EngineRequest {
    id: SimRequestId,
    priority_rank: u8,
    remaining_prefill_tokens: u64,
    context_tokens: u64,
    output_tokens: u32,
    generated_tokens: u32,
}

/// Progress of one request at the end of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The engine emits an event of the request's response stream.
    StreamEvent(SimRequestId),
    /// The request has generated its last token.
    Finished(SimRequestId),
}

/// Simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    batch: Vec<EngineRequest>,
    queue: Vec<EngineRequest>,
    /// Prompt tokens that the current step prefills, by request.
    prefill_chunks: Vec<(SimRequestId, u64)>,
    prefix_cache: PrefixIndex,
    /// Prompt tokens prefilled since the start of the simulation.
    pub prefilled_tokens: u64,
}

impl Engine {
    /// Creates an idle engine with an empty prefix cache.
    pub fn new(spec: EngineSpec) -> Self {
        let prefix_cache = PrefixIndex::new(spec.kv_capacity_tokens);
        Self {
            spec,
            batch: Vec::new(),
            queue: Vec::new(),
            prefill_chunks: Vec::new(),
            prefix_cache,
            prefilled_tokens: 0,
        }
    }

    /// Returns the capacity and speed of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns whether both the batch and the queue are empty.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.queue.is_empty()
    }

    /// Queues a request that generates `output_tokens` tokens.
    ///
    /// Prompt parts in the prefix cache of `adapter` need no prefill.
    pub fn submit(&mut self, id: SimRequestId, adapter: &str, demand: &Demand, output_tokens: u32) {
        let cached_tokens = self.prefix_cache.cached_tokens(adapter, &demand.parts);
        self.prefix_cache.record(adapter, &demand.parts);
        let prompt_tokens = u64::from(demand.prompt_tokens);
        self.queue.push(EngineRequest {
            id,
            priority_rank: demand.rank,
            remaining_prefill_tokens: prompt_tokens.saturating_sub(cached_tokens).max(1),
            context_tokens: prompt_tokens,
            output_tokens: output_tokens.max(1),
            generated_tokens: 0,
        });
        self.queue.sort_by_key(|request| request.priority_rank);
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: SimRequestId) {
        self.batch.retain(|request| request.id != id);
        self.queue.retain(|request| request.id != id);
        self.prefill_chunks.retain(|(chunk_id, _)| *chunk_id != id);
    }

    /// Begins a step and returns its duration, or `None` if the batch is empty.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let mut chunk_budget = self.spec.prefill_chunk_tokens;
        let mut million_pairs = 0.0;
        self.prefill_chunks.clear();
        let mut prefilling: Vec<&EngineRequest> = self
            .batch
            .iter()
            .filter(|request| request.remaining_prefill_tokens > 0)
            .collect();
        prefilling.sort_by_key(|request| request.priority_rank);
        for request in prefilling {
            let tokens = request.remaining_prefill_tokens.min(chunk_budget);
            if tokens == 0 {
                break;
            }
            chunk_budget -= tokens;
            let preceding_tokens = request.context_tokens - request.remaining_prefill_tokens;
            million_pairs += tokens as f64 * (preceding_tokens + tokens / 2) as f64 / 1e6;
            self.prefill_chunks.push((request.id, tokens));
        }
        let prefill_tokens = (self.spec.prefill_chunk_tokens - chunk_budget) as f64;
        let context_tokens: u64 = self
            .batch
            .iter()
            .map(|request| request.context_tokens)
            .sum();
        let step_ms = self.spec.step_base_ms
            + self.spec.step_ms_per_request * self.batch.len() as f64
            + self.spec.step_ms_per_1k_context_tokens * context_tokens as f64 / 1e3
            + prefill_tokens / self.spec.prefill_tokens_per_ms
            + self.spec.attention_ms_per_million_pairs * million_pairs;
        Some(Duration::from_secs_f64(step_ms / 1e3))
    }

    /// Ends the current step and returns the progress of its requests.
    pub fn end_step(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let tokens_per_event = self.spec.tokens_per_event;
        for request in &mut self.batch {
            let chunk = self.prefill_chunks.iter().find(|(id, _)| *id == request.id);
            if let Some((_, tokens)) = chunk {
                request.remaining_prefill_tokens -= tokens;
                self.prefilled_tokens += tokens;
            }
            if request.remaining_prefill_tokens > 0 {
                continue;
            }
            request.generated_tokens += 1;
            request.context_tokens += 1;
            let finished = request.generated_tokens >= request.output_tokens;
            if request.generated_tokens % tokens_per_event == 0 || finished {
                progress.push(Progress::StreamEvent(request.id));
            }
            if finished {
                progress.push(Progress::Finished(request.id));
            }
        }
        self.prefill_chunks.clear();
        self.batch
            .retain(|request| request.generated_tokens < request.output_tokens);
        progress
    }

    /// Moves queued requests into the batch while the batch and the KV cache
    /// have room. A request that alone exceeds the KV cache runs by itself.
    fn fill_batch(&mut self) {
        while self.batch.len() < self.spec.max_batch_size && !self.queue.is_empty() {
            let used_tokens: u64 = self
                .batch
                .iter()
                .map(|request| request.context_tokens)
                .sum();
            let next = &self.queue[0];
            if used_tokens + next.context_tokens > self.spec.kv_capacity_tokens
                && !self.batch.is_empty()
            {
                return;
            }
            let next = self.queue.remove(0);
            self.batch.push(next);
        }
    }
}
