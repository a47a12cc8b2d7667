//! Software versions that began streams: what this entry remembers, what it tells agents and what it
//! asks them for.

use crate::control::Control;
use crate::control::agents::Notices;
use crate::platform::RecordDecoder;
use async_channel::Sender;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_streams::holders;
use dogwoodshunt_streams::holders::Candidate;
use dogwoodshunt_streams::lookups::Begin;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::frame::StreamOrigin;
use std::time::Instant;

/// Origin of a stream, with the place where it was known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// Who knew it: `entry` or `agent`.
    pub source: &'static str,
}

/// Receives the origin of a stream, or `None` if nobody knows it.
pub type OriginSender = Sender<Option<KnownOrigin>>;

impl<D: RecordDecoder> Control<D> {
    /// Records the origin of a stream whose first event is being relayed, and tells agents in
    /// different failure domains.
    pub(super) fn on_stream_begun(&mut self, now: Instant, origin: StreamOrigin) {
        let stream = origin.stream;
        let told = holders::to_tell(stream, self.holder_candidates(true));
        self.stream_memory.record(origin.clone());
        for agent in told {
            let notices = Notices {
                stream_origins: vec![origin.clone()],
                ..Notices::default()
            };
            self.send_heartbeat(now, agent, notices);
        }
    }

    /// Sends the origin of a stream to `reply_tx`, at once if this entry remembers it, and after
    /// asking agents otherwise.
    pub(super) fn on_find_origin(
        &mut self,
        now: Instant,
        stream: StreamId,
        reply_tx: OriginSender,
    ) {
        if let Some(origin) = self.stream_memory.get(stream) {
            let origin = origin.clone();
            let source = "entry";
            // The receiver is dropped if the caller has disconnected.
            let _ = reply_tx.try_send(Some(KnownOrigin { origin, source }));
            return;
        }
        let asked = holders::to_ask(stream, self.holder_candidates(false));
        match self
            .stream_lookups
            .begin(now, stream, asked.clone(), reply_tx)
        {
            Begin::Ask => {
                for agent in asked {
                    self.ask_for_streams(now, agent, vec![stream]);
                }
            }
            Begin::Waits => {}
            Begin::Unknown(reply_tx) => answer(vec![reply_tx], None),
        }
    }

    /// Asks an agent that has connected for the streams that are being looked up.
    pub(super) fn ask_for_awaited_streams(&mut self, now: Instant, agent: AgentKey) {
        let streams = self.stream_lookups.awaited_of(agent);
        if !streams.is_empty() {
            self.ask_for_streams(now, agent, streams);
        }
    }

    fn ask_for_streams(&mut self, now: Instant, agent: AgentKey, streams: Vec<StreamId>) {
        let is_connected = |state: &super::AgentState| state.is_connected();
        if !self.agents.get(&agent).is_some_and(is_connected) {
            return;
        }
        let notices = Notices {
            asked_streams: streams,
            ..Notices::default()
        };
        self.send_heartbeat(now, agent, notices);
    }

    /// Applies what an agent has answered.
    pub(super) fn on_origins_answered(
        &mut self,
        agent: AgentKey,
        origins: Vec<StreamOrigin>,
        unknown: &[StreamId],
    ) {
        for origin in origins {
            let waiters = self.stream_lookups.on_known(origin.stream);
            self.stream_memory.record(origin.clone());
            let source = "agent";
            answer(waiters, Some(&KnownOrigin { origin, source }));
        }
        for stream in unknown {
            answer(self.stream_lookups.on_unknown(*stream, agent), None);
        }
    }

    /// Ends the lookups that have taken too long.
    pub(super) fn expire_stream_lookups(&mut self, now: Instant) {
        answer(self.stream_lookups.take_expired(now), None);
    }

    /// Returns the agents that can be told of a stream, or all that may have been told.
    fn holder_candidates(&self, to_tell: bool) -> impl Iterator<Item = Candidate<'_, AgentKey>> {
        let agents = self.agents.iter();
        let agents = agents.filter(move |(_, state)| match to_tell {
            true => state.is_connected() && state.is_staying(),
            false => state.is_connected() || state.is_listed(),
        });
        agents.map(|(agent, state)| Candidate {
            agent: *agent,
            name: state.address_text(),
            domain: state.domain(),
        })
    }
}

fn answer(waiters: Vec<OriginSender>, known: Option<&KnownOrigin>) {
    for reply_tx in waiters {
        // The receiver is dropped if the caller has disconnected.
        let _ = reply_tx.try_send(known.cloned());
    }
}
