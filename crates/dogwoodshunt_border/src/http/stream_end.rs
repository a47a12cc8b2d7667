//! Check of whether a response that has ended is a whole stream of events.

use crate::http::connection_pool::BodyFraming;
use crate::http::sse::EventScanner;
use hyper::HeaderMap;
use hyper::header;
use snafu::Snafu;

/// Media type of streams of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Error of a stream of events that was cut although its framing has no error.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum StreamCut {
    /// The body ended with its connection before the first event.
    #[snafu(display("event stream ended with its connection before its first event"))]
    BeforeFirstEvent,
    /// The body ended inside an event.
    #[snafu(display("event stream ended inside an event"))]
    InsideEvent,
}

/// Reads the body of a response and tells at its end whether it was cut.
///
/// A peer that fails while it sends a body without a length or chunks ends the connection
/// as it does after a whole body. In a stream of events the events show the difference.
#[derive(Clone, Debug)]
pub struct StreamEndCheck {
    framing: BodyFraming,
    is_event_stream: bool,
    scanner: EventScanner,
}

impl StreamEndCheck {
    /// Creates the check for a response with the given headers. A response without a content
    /// type is a stream of events if `expects_events`.
    pub fn new(headers: &HeaderMap, expects_events: bool) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let is_event_stream = content_type.map_or(expects_events, |value| {
            let kind = value.as_bytes().get(..EVENT_STREAM.len());
            kind.is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()))
        });
        Self {
            framing: BodyFraming::from_headers(headers),
            is_event_stream,
            scanner: EventScanner::default(),
        }
    }

    /// Returns whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.is_event_stream
    }

    /// Reads the next bytes of the body.
    pub fn advance(&mut self, bytes: &[u8]) {
        if self.is_event_stream {
            self.scanner.advance(bytes);
        }
    }

    /// Returns whether the body has begun to answer: a whole event of a stream of events was
    /// read, or any byte of another body.
    pub fn has_answer(&self) -> bool {
        !self.is_event_stream || self.scanner.has_whole_event()
    }

    /// Checks a body whose bytes were all read and whose framing has no error.
    ///
    /// # Errors
    ///
    /// Fails if the body is a stream of events that was cut.
    pub fn check_end(&self) -> Result<(), StreamCut> {
        if self.scanner.is_inside_event() {
            return Err(StreamCut::InsideEvent);
        }
        let is_cut_before_events = self.is_event_stream
            && self.framing == BodyFraming::Connection
            && !self.scanner.has_whole_event();
        if is_cut_before_events {
            return Err(StreamCut::BeforeFirstEvent);
        }
        Ok(())
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns whether the body is a stream of events and the bytes read so far end inside one.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }
}
