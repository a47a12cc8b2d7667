//! Software versions that began streams, which the agent remembers for all entries.

use super::TestAgent;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::StreamOrigin;

fn origin(stream: StreamId, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: "models".into(),
        software: software.into(),
    }
}

/// Returns the known and unknown streams in the heartbeats to the entry that connected first.
fn take_answers(agent: &TestAgent) -> (Vec<StreamOrigin>, Vec<StreamId>) {
    let (sent_rx, _) = &agent.links[0];
    let (mut known, mut unknown) = (Vec::new(), Vec::new());
    while let Ok(frame) = sent_rx.try_recv() {
        if let Frame::Heartbeat(heartbeat) = frame {
            known.extend(heartbeat.stream_origins);
            unknown.extend(heartbeat.unknown_streams);
        }
    }
    (known, unknown)
}

#[test]
fn agent_answers_entries_with_what_others_have_told() {
    let mut agent = TestAgent::owning_named_engine();
    agent.receive_frame(Frame::Heartbeat(Box::new(Heartbeat {
        stream_origins: vec![origin(1, "v1"), origin(2, "v2")],
        ..Heartbeat::default()
    })));
    assert_eq!(take_answers(&agent), (vec![], vec![]));
    let asked = |streams: &[StreamId]| {
        Frame::Heartbeat(Box::new(Heartbeat {
            asked_streams: streams.to_vec(),
            ..Heartbeat::default()
        }))
    };
    agent.receive_frame(asked(&[2, 3]));
    assert_eq!(take_answers(&agent), (vec![origin(2, "v2")], vec![3]));
    agent.receive_frame(asked(&[1]));
    assert_eq!(take_answers(&agent), (vec![origin(1, "v1")], vec![]));
}
