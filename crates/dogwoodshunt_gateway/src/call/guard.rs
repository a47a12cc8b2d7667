//! Tells the control thread how a run or call ends, whatever happens to it.

use crate::control::Event;
use crate::control::Ticket;
use async_channel::Sender;
use dogwoodshunt_serving::pool::CallEnd;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::UpstreamName;

/// Ends a wish to run a model request when it is dropped.
pub(super) struct RunGuard {
    pub(super) ticket: Ticket,
    pub(super) adapter_missing: bool,
    events: Sender<Event>,
}

impl RunGuard {
    pub(super) fn new(ticket: Ticket, events: Sender<Event>) -> Self {
        Self {
            ticket,
            adapter_missing: false,
            events,
        }
    }

    pub(super) fn first_byte(&self) {
        let ticket = self.ticket;
        // The channel is unbounded, and closes only while the process ends.
        let _ = self.events.try_send(Event::FirstByte { ticket });
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let done = Event::Done {
            ticket: self.ticket,
            adapter_missing: self.adapter_missing,
        };
        let _ = self.events.try_send(done);
    }
}

/// Ends a call of a plain service when it is dropped.
pub(super) struct CallGuard {
    pub(super) service: ServiceName,
    pub(super) upstream: UpstreamName,
    pub(super) end: CallEnd,
    pub(super) events: Sender<Event>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let ended = Event::CallEnded {
            service: self.service.clone(),
            upstream: self.upstream.clone(),
            end: self.end,
        };
        let _ = self.events.try_send(ended);
    }
}
