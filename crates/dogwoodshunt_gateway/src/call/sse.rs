//! Splits a stream of server-sent events at the boundaries between events.

use bytes::Bytes;
use bytes::BytesMut;

/// Separator after an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the line that holds the id of an event.
const ID_FIELD: &str = "id:";

/// Holds back the incomplete event at the end of the received bytes until the
/// rest of the event arrives.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter of a stream that starts after event `last_id`.
    pub(super) fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Appends `bytes` and returns all buffered bytes up to the end of the last
    /// whole event.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut ends = self.partial.windows(EVENT_END.len());
        let Some(end) = ends.rposition(|window| window == EVENT_END) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + EVENT_END.len()).freeze();
        self.last_id = last_id_in(&whole).or(self.last_id);
        whole
    }

    /// Returns the id of the last whole event that had one.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the bytes after the last whole event.
    pub(super) fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| id.trim().parse().ok()).next_back()
}
