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

/// Error of a stream that must not be relayed any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum EventError {
    /// A run that was to go on after an event begins with another one than the next.
    #[snafu(display("the run begins with {first:?} after event {after}"))]
    DoesNotFollow {
        /// Id of the last event before the run.
        after: u64,
        /// Id of the first event of the run; `None` if the event has none.
        first: Option<u64>,
    },
    /// An event exceeds the size limit.
    #[snafu(display("an event exceeds {MAX_EVENT_BYTES} bytes"))]
    TooLarge,
}

/// How the ids of the events of a stream rise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Numbering {
    /// By one.
    Consecutive,
    /// In any other way.
    Other,
    /// Not seen yet.
    #[default]
    Unknown,
}

/// Holds back the incomplete event at the end of the received bytes until the
/// rest of the event arrives.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    scanner: EventScanner,
    last_id: Option<u64>,
    numbering: Numbering,
    /// Whether the next event is the first one of a run that goes on after event `last_id`.
    begins_run: bool,
    /// Whether the last event had no id, so that no run can go on after it.
    is_position_lost: bool,
}

impl EventSplitter {
    /// Creates a splitter of a stream that starts after event `last_id`.
    pub(crate) fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            begins_run: last_id.is_some(),
            ..Self::default()
        }
    }

    /// Appends `bytes` and returns all buffered bytes up to the end of the last
    /// whole event.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds 256 KiB, or if the first event of a run does not follow the one
    /// after which the run was to go on.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        let held = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.scanner.advance(bytes) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventError::TooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.partial.split_to(held + end).freeze();
        for id in event_ids(&whole) {
            self.on_event(id)?;
        }
        Ok(whole)
    }

    /// Records the id of a whole event, if it has one.
    fn on_event(&mut self, id: Option<u64>) -> Result<(), EventError> {
        let is_next = |after: u64| id == after.checked_add(1);
        if let Some(after) = self.last_id.filter(|_| self.begins_run) {
            let follows = match self.numbering {
                Numbering::Consecutive => is_next(after),
                Numbering::Other | Numbering::Unknown => id.is_some_and(|id| id > after),
            };
            if !follows {
                return Err(EventError::DoesNotFollow { after, first: id });
            }
        }
        self.begins_run = false;
        self.is_position_lost = id.is_none();
        self.numbering = match (self.numbering, self.last_id) {
            (Numbering::Other, _) => Numbering::Other,
            (_, Some(last_id)) if is_next(last_id) => Numbering::Consecutive,
            (_, Some(_)) => Numbering::Other,
            (_, None) if is_next(0) => Numbering::Consecutive,
            (_, None) => Numbering::Unknown,
        };
        self.last_id = id.or(self.last_id);
        Ok(())
    }

    /// Returns the id of the last whole event that had one.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether another run can go on after the last whole event: it had an id, or there was
    /// none.
    pub(crate) fn can_go_on(&self) -> bool {
        !self.is_position_lost
    }

    /// Drops the incomplete event, which the run that goes on after event
    /// [`EventSplitter::last_id`] sends again.
    pub(crate) fn begin_run(&mut self) {
        self.take_partial();
        self.begins_run = true;
    }

    /// Removes and returns the bytes after the last whole event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.scanner = EventScanner::default();
        std::mem::take(&mut self.partial).freeze()
    }
}

/// Returns the ids of whole events; `None` for an event without one. Lines may end as
/// [`EventScanner`] says.
fn event_ids(whole: &[u8]) -> Vec<Option<u64>> {
    let text = String::from_utf8_lossy(whole);
    let lines = text.split('\n').flat_map(|line| {
        // An empty line ends an event, so the CR before LF must not make one.
        line.strip_suffix('\r').unwrap_or(line).split('\r')
    });
    let mut ids = Vec::new();
    let mut open: Option<Option<u64>> = None;
    for line in lines {
        if line.is_empty() {
            ids.extend(open.take());
        } else if !line.starts_with(':') {
            let id = open.get_or_insert(None);
            if let Some(value) = line.strip_prefix(ID_FIELD) {
                *id = value.trim().parse().ok();
            }
        }
    }
    ids
}
