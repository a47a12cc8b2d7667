//! Pacing of prompts by the gaps that their prefill makes in the streams on an engine.
//!
//! An engine prefills a chunk of a prompt in each step, and a stream gets one token per step, so
//! the events of all streams are late by the prefill that falls between two of them. The first
//! event of a response holds as many tokens as any other. While a prompt has no first event, the
//! running streams may therefore not have had one since its prefill either, and its tokens count
//! together with those of the next prompt.

use crate::job::AnyJob;
use crate::job::Job;
use crate::job::Queued;
use crate::scheduler::Scheduler;
use crate::upstream::UpstreamKey;
use dogwoodshunt_costs::EngineSpeed;
use std::time::Duration;
use std::time::Instant;

/// Streams on an upstream that have begun and have a gap limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BegunStreams {
    /// Number of the streams.
    pub count: u32,
    /// Shortest of their gap limits; zero if there are none.
    pub tightest_gap: Duration,
}

/// What decides on the dispatch of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PacingInput<'a> {
    /// Uncached tokens of the prompt.
    pub uncached: u64,
    /// Tokens of the prompts on the engine that have no first event yet.
    pub pending_prefill: u64,
    /// Streams that run on the engine.
    pub streams: BegunStreams,
    /// Learned speed of the engine.
    pub speed: &'a EngineSpeed,
    /// Time at which the request must be dispatched to begin in time; `None` for no limit.
    pub latest_start: Option<Instant>,
}

/// Decision on the dispatch of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// No prompt is pending, so waiting would not make the gaps shorter.
    Idle,
    /// No running stream has a gap limit.
    NoStreams,
    /// The streams tolerate the prompt together with those that are pending.
    Tolerated,
    /// The request would miss its latency objective if it waited.
    Due,
    /// The prompt waits until the streams have had an event.
    Wait,
}

impl Pace {
    /// Returns the name of the decision in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::NoStreams => "no-streams",
            Self::Tolerated => "tolerated",
            Self::Due => "due",
            Self::Wait => "wait",
        }
    }
}

/// Decides whether a prompt may be dispatched now or waits until the running streams have had an
/// event.
pub fn decide(now: Instant, input: &PacingInput<'_>) -> Pace {
    if input.pending_prefill == 0 {
        return Pace::Idle;
    }
    if input.streams.count == 0 {
        return Pace::NoStreams;
    }
    let tokens = input.pending_prefill + input.uncached;
    let margin = input.speed.margin().max(input.speed.slowdown(now));
    if input.speed.event_time(tokens).mul_f64(margin) <= input.streams.tightest_gap {
        return Pace::Tolerated;
    }
    if input.latest_start.is_some_and(|at| at <= now) {
        return Pace::Due;
    }
    Pace::Wait
}

impl Scheduler {
    /// Returns the begun streams with a gap limit on an upstream.
    pub fn begun_streams(&self, key: UpstreamKey) -> BegunStreams {
        let gaps = self.jobs().filter_map(|job| match job {
            AnyJob::Running(job) if job.upstream() == key => job.begun_stream_gap(),
            AnyJob::Running(_) | AnyJob::Queued(_) => None,
        });
        gaps.fold(BegunStreams::default(), |streams, gap| BegunStreams {
            count: streams.count + 1,
            tightest_gap: if streams.count == 0 {
                gap
            } else {
                streams.tightest_gap.min(gap)
            },
        })
    }

    /// Returns whether an entry has asked to pace prompts.
    pub fn paces_prompts(&self) -> bool {
        self.paces_prompts
    }

    /// Returns the decision on the job that is next in the queue; `None` if none is paced.
    pub fn pace_of_next(&self, now: Instant, key: UpstreamKey) -> Option<Pace> {
        let queue = self.sorted_queue(now);
        let next = queue.first().and_then(|job| self.job(*job));
        match next {
            Some(AnyJob::Queued(job)) if job.pacing.is_some() => Some(self.pace(now, key, job)),
            Some(AnyJob::Queued(_) | AnyJob::Running(_)) | None => None,
        }
    }

    /// Returns whether `job` must wait until the streams on the upstream have had an event.
    ///
    /// A job whose entry does not pace prompts never waits.
    pub(crate) fn must_wait_for_streams(
        &self,
        now: Instant,
        key: UpstreamKey,
        job: &Job<Queued>,
    ) -> bool {
        job.pacing.is_some() && self.pace(now, key, job) == Pace::Wait
    }

    fn pace(&self, now: Instant, key: UpstreamKey, job: &Job<Queued>) -> Pace {
        let upstream = &self.upstreams[key];
        let tokens = &upstream.tokens;
        // The prompts on the engine are processed first.
        let ahead = tokens.speed.event_time(tokens.pending_prefill);
        let needed = upstream.first_byte_time(job) + ahead;
        let input = PacingInput {
            uncached: upstream.uncached_tokens(&job.target, &job.demand),
            pending_prefill: tokens.pending_prefill,
            streams: self.begun_streams(key),
            speed: &tokens.speed,
            latest_start: job
                .useful_until()
                .map(|at| at.checked_sub(needed).unwrap_or(now)),
        };
        decide(now, &input)
    }
}
