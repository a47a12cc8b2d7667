//! Passing on of a model's answer, event by event.

use crate::call::guard::RunGuard;
use bytes::Bytes;
use dogwoodshunt_border::http::AnswerBody;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::body;
use dogwoodshunt_border::http::body::BrokenOff;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Instant;

/// An answer that is being passed on; dropping it stops the upstream.
struct Passing {
    exchange: Exchange,
    guard: RunGuard,
    deadline: Timer,
    begun: bool,
    over: bool,
}

impl Passing {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.over {
            return None;
        }
        let late = async {
            (&mut self.deadline).await;
            let reason = "the deadline has passed".into();
            Some(Err(BrokenOff { reason }))
        };
        let chunk = self.exchange.chunk().or(late).await;
        if !self.begun {
            self.begun = true;
            self.guard.first_byte();
        }
        self.over = !matches!(chunk, Some(Ok(_)));
        chunk
    }
}

/// Returns a body that passes an upstream's answer on until `deadline`.
pub(super) fn pass_on(exchange: Exchange, guard: RunGuard, deadline: Instant) -> AnswerBody {
    let passing = Passing {
        exchange,
        guard,
        deadline: Timer::at(deadline),
        begun: false,
        over: false,
    };
    let chunks = futures_util::stream::unfold(passing, |mut passing| async move {
        let chunk = passing.next().await?;
        Some((chunk, passing))
    });
    body::stream(chunks)
}
