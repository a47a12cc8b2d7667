//! Splitting of server-sent events at their ends.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Start of an event's data.
const DATA: &[u8] = b"data:";

/// Data of the last event of a streamed answer.
const DONE: &[u8] = b"[DONE]";

/// Collects bytes and yields whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Takes the next whole event, its end included.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        let mut windows = self.buf.windows(EVENT_END.len());
        let end = windows.position(|window| window == EVENT_END)? + EVENT_END.len();
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns how many bytes wait for the end of their event.
    pub(crate) fn pending(&self) -> usize {
        self.buf.len()
    }
}

/// Returns the data of an event of one line.
pub(crate) fn data(event: &[u8]) -> Option<&[u8]> {
    Some(event.strip_prefix(DATA)?.trim_ascii())
}

/// Returns whether this is the data of the last event.
pub(crate) fn is_done(data: &[u8]) -> bool {
    data == DONE
}
