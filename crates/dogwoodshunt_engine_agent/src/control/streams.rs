//! Software versions that began streams, which entries have the agent remember for all entries.

use crate::control::Control;
use crate::control::LinkKey;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::frame::StreamOrigin;
use std::sync::Arc;
use std::time::Instant;

/// Answer to an entry that has asked for the origins of streams.
#[derive(Debug, Default)]
pub(super) struct StreamAnswer {
    pub(super) known: Vec<StreamOrigin>,
    pub(super) unknown: Vec<StreamId>,
}

impl Control {
    /// Remembers the origins that an entry tells, and answers what it asks.
    pub(super) fn on_streams(
        &mut self,
        now: Instant,
        key: LinkKey,
        told: Vec<StreamOrigin>,
        asked: &[StreamId],
    ) {
        for origin in told {
            self.stream_memory.record(origin);
        }
        if asked.is_empty() {
            return;
        }
        let mut answer = StreamAnswer::default();
        for stream in asked {
            match self.stream_memory.get(*stream) {
                Some(origin) => answer.known.push(origin.clone()),
                None => answer.unknown.push(*stream),
            }
        }
        let report = Arc::new(self.scheduler.report(now));
        self.send_heartbeat(now, key, &report, answer);
    }
}
