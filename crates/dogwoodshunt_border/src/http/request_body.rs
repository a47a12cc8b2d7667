//! Bodies of requests, received within the limits of the process.

use crate::http::limits::ConnectionAccount;
use crate::http::limits::LeasedBuffer;
use crate::http::limits::LimitEvent;
use crate::http::limits::NoRoom;
use bytes::Buf;
use bytes::Bytes;
use dogwoodshunt_limits::BodyProgress;
use http_body_util::BodyExt;
use hyper::body::Body;
use smol::Timer;
use smol::future::FutureExt;
use snafu::Snafu;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time between two checks of the progress of a body.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Error from receiving the body of a request. The request has not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RequestBodyError {
    /// The connection failed before the body was complete.
    #[snafu(display("read body: {message}"))]
    ConnectionLost {
        /// Error of the HTTP library.
        message: Box<str>,
    },
    /// The process has no room for the body, or needed its room for others.
    #[snafu(display("there is no room for the request body now"))]
    NoRoom,
    /// The body stalled or did not arrive in time.
    #[snafu(display("request body did not arrive within {timeout:?}, or made no progress"))]
    TimedOut {
        /// Time for the whole body.
        timeout: Duration,
    },
    /// The body is larger than the limit.
    #[snafu(display("read body: body exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
}

/// Receives a request's body of at most `limit` bytes within `timeout`. With an account, its bytes
/// are leased before they are read, and the body must make progress.
///
/// # Errors
///
/// Fails if the body is too large, too slow, does not fit into the budget, or is cut off.
pub async fn receive<B>(
    body: B,
    account: Option<&Arc<ConnectionAccount>>,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, RequestBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let Some(account) = account else {
        return receive_into(LeasedBuffer::unlimited(), body, None, limit, timeout).await;
    };
    let evicted = async {
        account.evicted().await;
        Err(RequestBodyError::NoRoom)
    };
    account.on_receiving();
    let received = receive_into(account.buffer(), body, Some(account), limit, timeout);
    let received = received.or(evicted).await;
    account.on_running();
    let event = match &received {
        Err(RequestBodyError::TooLarge { .. }) => LimitEvent::BodyTooLarge,
        Err(RequestBodyError::TimedOut { .. }) => LimitEvent::BodyTooSlow,
        Ok(_) | Err(RequestBodyError::ConnectionLost { .. } | RequestBodyError::NoRoom) => {
            return received;
        }
    };
    account.limits().observe(event);
    received
}

async fn receive_into<B>(
    mut buffer: LeasedBuffer,
    body: B,
    account: Option<&Arc<ConnectionAccount>>,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, RequestBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let no_room = |_: NoRoom| RequestBodyError::NoRoom;
    let began_at = Instant::now();
    let limits = account.map(|account| account.limits().limits());
    let mut progress = BodyProgress::new(began_at);
    // An announced length is leased at once.
    if let Some(announced) = body.size_hint().exact() {
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > limit {
            return Err(RequestBodyError::TooLarge { limit });
        }
        buffer.reserve(announced).await.map_err(no_room)?;
    }
    let mut body = std::pin::pin!(body);
    let mut check = Timer::interval(PROGRESS_INTERVAL.min(timeout));
    loop {
        let frame = async { Ok(body.frame().await) };
        let checked = async { Err((&mut check).await) };
        let frame = match frame.or(checked).await {
            Ok(frame) => frame,
            Err(now) => {
                let stalls = limits
                    .as_ref()
                    .is_some_and(|limits| progress.is_stalled(now, limits));
                if stalls || now.saturating_duration_since(began_at) >= timeout {
                    return Err(RequestBodyError::TimedOut { timeout });
                }
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(buffer.freeze());
        };
        let frame = frame.map_err(|error| RequestBodyError::ConnectionLost {
            message: error.into().to_string().into(),
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if buffer.len() + chunk.remaining() > limit {
            return Err(RequestBodyError::TooLarge { limit });
        }
        progress.on_bytes(Instant::now(), chunk.len());
        buffer.append(&chunk, limit).await.map_err(no_room)?;
    }
}
