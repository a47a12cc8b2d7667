//! Passing on of a model's answer, event by event.

use crate::call::guard::RunGuard;
use bytes::Bytes;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BrokenOff;
use slog::Logger;
use slog::info;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// What is passed on, and what is logged of it.
pub(super) struct Passing {
    /// The upstream's answer.
    pub(super) exchange: Exchange,
    /// Ends the run.
    pub(super) guard: RunGuard,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// What is logged.
    pub(super) story: Story,
}

/// Account of one stream, logged at its end.
pub(super) struct Story {
    id: Box<str>,
    arrived: Instant,
    granted: Duration,
    first: Option<Duration>,
    last: Instant,
    longest_pause: Duration,
    outcome: &'static str,
    log: Logger,
}

impl Story {
    /// Begins the account of the request `id`, granted at `now`.
    pub(super) fn new(now: Instant, id: &str, arrived: Instant, log: Logger) -> Self {
        Self {
            id: id.into(),
            arrived,
            granted: now.saturating_duration_since(arrived),
            first: None,
            last: now,
            longest_pause: Duration::ZERO,
            outcome: "caller-left",
            log,
        }
    }

    fn on_chunk(&mut self, now: Instant) {
        if self.first.is_some() {
            let pause = now.saturating_duration_since(self.last);
            self.longest_pause = self.longest_pause.max(pause);
        } else {
            self.first = Some(now.saturating_duration_since(self.arrived));
        }
        self.last = now;
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let took = self.last.saturating_duration_since(self.arrived);
        info!(self.log, "stream ended"; "id" => %self.id, "outcome" => self.outcome,
            "granted_ms" => millis(self.granted),
            "first_ms" => self.first.map(millis).unwrap_or(0),
            "pause_ms" => millis(self.longest_pause), "took_ms" => millis(took));
    }
}

/// An answer that is being passed on; dropping it stops the upstream.
struct Stream {
    exchange: Exchange,
    guard: RunGuard,
    deadline: Timer,
    story: Story,
    over: bool,
}

impl Stream {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.over {
            return None;
        }
        let late = async {
            (&mut self.deadline).await;
            None
        };
        let chunk = async { Some(self.exchange.chunk().await) };
        let chunk = chunk.or(late).await;
        let now = Instant::now();
        let Some(chunk) = chunk else {
            self.over = true;
            self.story.outcome = "deadline";
            let reason = "the deadline has passed".into();
            return Some(Err(BrokenOff { reason }));
        };
        match &chunk {
            Some(Ok(_)) => {
                if self.story.first.is_none() {
                    self.guard.first_byte();
                }
                self.story.on_chunk(now);
            }
            Some(Err(_)) => {
                self.over = true;
                self.story.outcome = "broken-off";
            }
            None => {
                self.over = true;
                self.story.outcome = "complete";
            }
        }
        chunk
    }
}

/// Returns a body that passes an upstream's answer on until its deadline.
pub(super) fn pass_on(passing: Passing) -> AnswerBody {
    let stream = Stream {
        exchange: passing.exchange,
        guard: passing.guard,
        deadline: Timer::at(passing.deadline),
        story: passing.story,
        over: false,
    };
    let chunks = futures_util::stream::unfold(stream, |mut stream| async move {
        let chunk = stream.next().await?;
        Some((chunk, stream))
    });
    body::stream(chunks)
}
