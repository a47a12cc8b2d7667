//! Records of the crashes of an engine.

use super::TestAgent;
use crate::control::Event;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::demand::PromptPart;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use dogwoodshunt_wire::frame::EngineCrash;
use rstest::rstest;
use std::time::Duration;

impl TestAgent {
    /// Grants a run of the base model with the given prompt.
    fn run_prompt(&mut self, parts: &[u64]) -> RequestId {
        self.last_request_number += 1;
        let request = RequestId {
            entry_boot: 7,
            number: self.last_request_number,
        };
        let parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 1 });
        self.receive_frame(Frame::Admit(Box::new(Admit {
            request,
            target: Target::BaseModel("base".into()),
            demand: Demand {
                parts: parts.collect(),
                ..Demand::default()
            },
            workspace: None,
            max_event_gap: None,
            paced: false,
            due_in: Duration::from_secs(1),
            time_left: Duration::from_secs(3),
            started: false,
        })));
        request
    }

    fn end_run(&mut self, request: RequestId, broken_off: bool) {
        self.receive_frame(Frame::Done {
            request,
            adapter_missing: false,
            broken_off,
        });
    }

    /// Returns the crashes in the heartbeats sent to the entry that connected last.
    fn take_crashes(&self) -> Vec<EngineCrash> {
        let heartbeats = self
            .take_sent_frames()
            .into_iter()
            .filter_map(|frame| match frame {
                Frame::Heartbeat(heartbeat) => Some(heartbeat.crashes),
                _ => None,
            });
        heartbeats.flatten().collect()
    }
}

#[test]
fn entries_learn_once_which_prompts_an_engine_had_not_answered_when_it_crashed() {
    let mut agent = TestAgent::owning_named_engine();
    let lost = agent.run_prompt(&[1, 0xdead, 10]);
    let answered = agent.run_prompt(&[1, 2, 11]);
    agent.run_prompt(&[1, 3, 12]);
    agent.receive_frame(Frame::FirstByte { request: answered });
    agent.end_run(lost, true);
    agent.end_run(answered, true);
    agent.now += Duration::from_millis(150);
    agent.handle_and_decide(Event::ReportPolled(None));
    let crashes = agent.take_crashes();
    assert_eq!(crashes.len(), 1, "{crashes:?}");
    agent.now += Duration::from_secs(1);
    agent.handle_and_decide(Event::ReportPolled(None));
    assert!(agent.take_crashes().is_empty());
    assert_eq!(crashes[0].started, 100);
    assert_eq!(crashes[0].age, Duration::from_millis(150));
    let mut suspects = crashes[0].suspects.clone();
    suspects.sort();
    // Part 1 was answered with the other run.
    assert_eq!(suspects, [vec![3], vec![0xdead]]);
    agent.handle_and_decide(Event::ReportPolled(None));
    agent.receive_report(|report| report.started = 200);
    assert!(agent.take_crashes().is_empty());
    agent.connect_entry("another", 8);
    assert_eq!(agent.take_crashes().len(), 1);
}

#[test]
fn run_that_was_answered_long_ago_is_no_suspect() {
    let mut agent = TestAgent::owning_named_engine();
    let request = agent.run_prompt(&[1, 10]);
    agent.receive_frame(Frame::FirstByte { request });
    for _ in 0..30 {
        agent.now += Duration::from_millis(500);
        agent.receive_frame(Frame::Heartbeat(Box::default()));
        agent.receive_report(|_| {});
    }
    agent.end_run(request, true);
    agent.handle_and_decide(Event::ReportPolled(None));
    assert!(agent.take_crashes().is_empty());
}

#[test]
fn report_is_polled_at_once_after_a_run_broke_off() {
    let mut agent = TestAgent::owning_named_engine();
    let request = agent.run_prompt(&[1, 10]);
    let another = agent.run_prompt(&[1, 11]);
    agent.end_run(request, false);
    assert!(agent.poll_rx.try_recv().is_err());
    agent.end_run(another, true);
    assert!(agent.poll_rx.try_recv().is_ok());
}

#[test]
fn crash_is_seen_at_the_restart_if_no_report_failed() {
    let mut agent = TestAgent::owning_named_engine();
    agent.run_prompt(&[0xdead, 10]);
    agent.receive_report(|report| report.started = 200);
    assert_eq!(agent.take_crashes().len(), 1);
}

#[rstest]
#[case::no_run_broke_off(false, false)]
#[case::engine_is_leaving(true, true)]
fn planned_end_or_lost_report_is_no_crash(#[case] broken_off: bool, #[case] leaving: bool) {
    let mut agent = TestAgent::owning_named_engine();
    let request = agent.run_prompt(&[1, 10]);
    agent.receive_report(|report| report.leaving = leaving);
    agent.end_run(request, broken_off);
    agent.run_prompt(&[2, 10]);
    agent.handle_and_decide(Event::ReportPolled(None));
    assert!(agent.take_crashes().is_empty());
}
