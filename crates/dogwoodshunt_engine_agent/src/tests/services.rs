//! Engines of two services that use one address after each other.

use super::TestAgent;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_residency::report::Served;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::EngineConfig;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use rstest::rstest;

/// Start time of the engine of the second service.
const NEXT_STARTED: u64 = 200;

impl TestAgent {
    /// Returns the base model, batch size and adapter slots in the report to an entry that
    /// connects now.
    fn reported_capacity(&mut self) -> (Served, u32, u32) {
        self.connect_entry("observer", 8);
        let frames = self.take_sent_frames();
        let report = frames.into_iter().find_map(|frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.report,
            _ => None,
        });
        let Some(ReportUpdate::Full(report)) = report else {
            panic!("expected a full report");
        };
        let engine = report.upstreams.first().expect("engine");
        (engine.serves.clone(), engine.batch, engine.slots)
    }

    /// Receives the name of the next engine, with the configuration of its service at the same
    /// revision as that of the engine before.
    fn receive_next_name(&mut self) {
        self.receive_upstream_config(|config| {
            config.upstream = Some(UpstreamIdentity {
                name: "engine-2".into(),
                started: NEXT_STARTED,
                leaving: false,
                service: Some("models-next".into()),
            });
            config.engine = EngineConfig {
                base_model: "next".into(),
                batch: 3,
                kv_tokens: 50_000,
                slots: 1,
            };
        });
    }

    fn receive_next_report(&mut self) {
        self.receive_report(|report| {
            report.started = NEXT_STARTED;
            report.base_models = vec!["next".into()];
        });
    }
}

/// Guards against orders and runs beyond what an engine holds, where an engine of another service
/// used its address before.
#[rstest]
fn capacity_is_that_of_the_service_of_the_running_engine(#[values(true, false)] name_first: bool) {
    let mut agent = TestAgent::owning_named_engine();
    let before = (Served::BaseModel("base".into()), 8, 2);
    assert_eq!(agent.reported_capacity(), before);
    if name_first {
        agent.receive_next_name();
        assert_eq!(agent.reported_capacity(), before);
        agent.receive_next_report();
    } else {
        agent.receive_next_report();
        agent.receive_next_name();
    }
    let next = (Served::BaseModel("next".into()), 3, 1);
    assert_eq!(agent.reported_capacity(), next);
    // An entry with an old list names the engine before once more, with a newer revision.
    agent.receive_upstream_config(|config| config.revision = 2);
    assert_eq!(agent.reported_capacity(), next);
}
