//! Bodies of requests and responses.

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

/// Error that ends a response body before it is complete.
#[derive(Debug, Snafu)]
#[snafu(display("response body ended early: {reason}"))]
pub struct BodyError {
    /// Cause of the early end.
    pub reason: Box<str>,
}

/// Body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Error from reading a body.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection failed before the body was complete.
    #[snafu(display("read body: {message}"))]
    ConnectionLost {
        /// Error of the HTTP library.
        message: Box<str>,
    },
    /// The body is larger than the limit.
    #[snafu(display("read body: body exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
}

/// Returns a body of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    let infallible = |error: std::convert::Infallible| match error {};
    Full::new(bytes.into()).map_err(infallible).boxed_unsync()
}

/// Returns a body of the chunks received from `rx`; an error ends the body early.
pub fn channel(rx: async_channel::Receiver<Result<Bytes, BodyError>>) -> ResponseBody {
    ChannelBody { rx: Box::pin(rx) }.boxed_unsync()
}

/// Returns a body of the chunks of a stream; an error ends the body early.
pub fn stream<S>(chunks: S) -> ResponseBody
where
    S: smol::stream::Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    let frames = smol::stream::StreamExt::map(chunks, |chunk| chunk.map(hyper::body::Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

struct ChannelBody {
    rx: Pin<Box<async_channel::Receiver<Result<Bytes, BodyError>>>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, BodyError>>> {
        let next = smol::stream::Stream::poll_next(self.rx.as_mut(), cx);
        next.map(|item| item.map(|result| result.map(hyper::body::Frame::data)))
    }
}

/// Reads a complete body as [`read`] does; returns `None` if that takes longer than `timeout`.
///
/// # Errors
///
/// As [`read`].
pub async fn read_with_timeout<B>(
    body: B,
    limit: usize,
    timeout: Duration,
) -> Option<Result<Bytes, ReadError>>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    let complete = async { Some(read(body, limit).await) };
    complete.or(timed_out).await
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body exceeds the limit or the connection fails.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge { limit }),
        Err(error) => Err(ReadError::ConnectionLost {
            message: error.to_string().into(),
        }),
    }
}
