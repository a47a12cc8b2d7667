//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use smol::Timer;
use smol::future::FutureExt;
use snafu::Snafu;
use std::error::Error;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

/// Why a body ended before it was complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off: {reason}"))]
pub struct BrokenOff {
    /// What happened.
    pub reason: Box<str>,
}

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection broke.
    #[snafu(display("the body could not be read: {message}"))]
    Lost {
        /// What the HTTP library found.
        message: Box<str>,
    },
    /// The body is over the limit.
    #[snafu(display("the body is over the limit of {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
}

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    let never = |never: std::convert::Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Returns a body that yields what `rx` receives; an error breaks it off.
pub fn channel(rx: async_channel::Receiver<Result<Bytes, BrokenOff>>) -> AnswerBody {
    ChannelBody { rx: Box::pin(rx) }.boxed_unsync()
}

/// Returns a body that yields what `chunks` yields; an error breaks it off.
pub fn stream<S>(chunks: S) -> AnswerBody
where
    S: smol::stream::Stream<Item = Result<Bytes, BrokenOff>> + Send + 'static,
{
    let frames = smol::stream::StreamExt::map(chunks, |chunk| chunk.map(hyper::body::Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

struct ChannelBody {
    rx: Pin<Box<async_channel::Receiver<Result<Bytes, BrokenOff>>>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, BrokenOff>>> {
        let next = smol::stream::Stream::poll_next(self.rx.as_mut(), cx);
        next.map(|item| item.map(|result| result.map(hyper::body::Frame::data)))
    }
}

/// Reads a whole body as [`read`] does; `None` if it takes longer than `timeout`.
///
/// # Errors
///
/// As [`read`].
pub async fn read_within<B>(
    body: B,
    limit: usize,
    timeout: Duration,
) -> Option<Result<Bytes, ReadError>>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let late = async {
        Timer::after(timeout).await;
        None
    };
    let whole = async { Some(read(body, limit).await) };
    whole.or(late).await
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is over the limit or the connection breaks.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge { limit }),
        Err(error) => Err(ReadError::Lost {
            message: error.to_string().into(),
        }),
    }
}
