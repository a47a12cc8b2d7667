//! Splits a byte stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field name before the data of an event.
const DATA_FIELD: &[u8] = b"data:";

/// Data of the last event of a streamed response.
const DONE_MARKER: &[u8] = b"[DONE]";

/// Collects the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes, which may start and end within an event.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Removes and returns the next complete event, including its blank line.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let mut windows = self.buf.windows(EVENT_END.len());
        let end = windows.position(|window| window == EVENT_END)? + EVENT_END.len();
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns the number of bytes received of an event that is not complete.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.buf.len()
    }
}

/// Returns the data of an event that consists of one data line.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    Some(event.strip_prefix(DATA_FIELD)?.trim_ascii())
}

/// Returns whether `data` marks the end of a streamed response.
pub(crate) fn is_done(data: &[u8]) -> bool {
    data == DONE_MARKER
}
