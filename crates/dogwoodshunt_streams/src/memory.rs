//! Memory of the software versions that began streams.

use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::frame::StreamOrigin;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Maximum number of streams that are remembered; several times the streams that begin at one entry,
/// or are told to one agent, while a caller may take one up again.
const MAX_STREAMS: usize = 16_384;

/// A remembered stream.
#[derive(Clone, Debug)]
struct Remembered {
    origin: StreamOrigin,
    /// Number of the latest record of the stream.
    number: u64,
}

/// Origins of the streams that were recorded last.
#[derive(Clone, Debug, Default)]
pub struct StreamMemory {
    streams: HashMap<StreamId, Remembered>,
    /// Records in their order, with the number of each; those of streams that were recorded again
    /// are out of date.
    records: VecDeque<(StreamId, u64)>,
    last_number: u64,
}

impl StreamMemory {
    /// Records the origin of a stream. The stream that was recorded longest ago is forgotten if
    /// there are too many.
    ///
    /// The origin of a stream never changes, so the first record of it stays.
    pub fn record(&mut self, origin: StreamOrigin) {
        self.last_number += 1;
        let (stream, number) = (origin.stream, self.last_number);
        let remembered = self.streams.entry(stream);
        remembered
            .and_modify(|remembered| remembered.number = number)
            .or_insert(Remembered { origin, number });
        self.records.push_back((stream, number));
        while self.streams.len() > MAX_STREAMS || self.records.len() > 2 * MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((stream, number)) = self.records.pop_front() else {
            return;
        };
        let known = self.streams.get(&stream);
        if known.is_some_and(|known| known.number == number) {
            self.streams.remove(&stream);
        }
    }

    /// Returns the origin of a stream, if it is remembered.
    pub fn get(&self, stream: StreamId) -> Option<&StreamOrigin> {
        self.streams
            .get(&stream)
            .map(|remembered| &remembered.origin)
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
