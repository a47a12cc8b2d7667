//! Splits a stream of server-sent events at the boundaries between events.

use bytes::Bytes;
use bytes::BytesMut;
use dogwoodshunt_border::http::sse::EventScanner;
use snafu::Snafu;

/// Largest event that is buffered, in bytes. Events hold a few tokens; an upstream that
/// sends an event without end must not fill the memory of the entry.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Prefix of the line that holds the id of an event.
const ID_FIELD: &str = "id:";

/// Error of an event that exceeds the size limit.
#[derive(Debug, Snafu)]
#[snafu(display("an event exceeds {MAX_EVENT_BYTES} bytes"))]
pub(crate) struct EventTooLarge;

/// Holds back the incomplete event at the end of the received bytes until the
/// rest of the event arrives.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    scanner: EventScanner,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter of a stream that starts after event `last_id`.
    pub(crate) fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends `bytes` and returns all buffered bytes up to the end of the last
    /// whole event.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds 256 KiB.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        let held = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.scanner.advance(bytes) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventTooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.partial.split_to(held + end).freeze();
        self.last_id = last_id_in(&whole).or(self.last_id);
        Ok(whole)
    }

    /// Returns the id of the last whole event that had one.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the bytes after the last whole event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.scanner = EventScanner::default();
        std::mem::take(&mut self.partial).freeze()
    }
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let lines = text.split(['\n', '\r']);
    let ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| id.trim().parse().ok()).next_back()
}
