//! Splitting of a stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field that holds the number of an event.
const ID_FIELD: &str = "id:";

/// Holds back the part of a stream that is not yet a whole event.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl Events {
    /// Creates a splitter of a stream that begins after event `last_id`.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Takes in bytes and returns those up to the end of the last whole event.
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

    /// Returns the number of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns what follows the last whole event, and forgets it.
    pub(super) fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| id.trim().parse().ok()).next_back()
}
