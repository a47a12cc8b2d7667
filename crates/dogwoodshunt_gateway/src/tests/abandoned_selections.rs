//! Selections of upstreams of plain services that no call receives.

use super::TestEntry;
use crate::call::guard::PendingSelection;
use crate::control::ControlEvent;
use crate::control::SelectedUpstream;
use crate::watch::Topic;
use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_types::NotRun;
use rstest::rstest;

type Selection = Result<SelectedUpstream, NotRun>;

impl TestEntry {
    fn ask_for_upstream(&mut self, reply_tx: Sender<Selection>) {
        self.handle(ControlEvent::SelectUpstream {
            service: "records".into(),
            fingerprint: 0,
            workspace: None,
            excluded: Vec::new(),
            software: None,
            reply_tx,
        });
    }
}

fn pending(selection_rx: Receiver<Selection>, events: &Sender<ControlEvent>) -> PendingSelection {
    PendingSelection {
        selection_rx,
        service: "records".into(),
        fingerprint: 0,
        workspace: None,
        events: events.clone(),
    }
}

/// When a caller leaves in relation to the selection for its call.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    BeforeTheSelection,
    BeforeItIsReceived,
    AfterItIsReceived,
}

/// Guards against calls that are counted as in flight for ever, since their callers left or their
/// deadlines passed before they were sent: their upstream would get fewer calls from then on.
#[rstest]
fn upstream_selected_for_a_call_that_is_not_sent_has_no_call_in_flight(
    #[values(
        Leaves::BeforeTheSelection,
        Leaves::BeforeItIsReceived,
        Leaves::AfterItIsReceived
    )]
    leaves: Leaves,
) {
    let mut entry = TestEntry::new();
    entry.put_record(Topic::Upstreams, "up/plain-2", "upstream records 8 ready");
    let (events_tx, events) = async_channel::unbounded();
    let mut selected = Vec::new();
    for _ in 0..3 {
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        let mut pending = pending(selection_rx, &events_tx);
        match leaves {
            Leaves::BeforeTheSelection => {
                drop(pending);
                entry.ask_for_upstream(reply_tx);
            }
            Leaves::BeforeItIsReceived => {
                entry.ask_for_upstream(reply_tx);
                drop(pending);
            }
            Leaves::AfterItIsReceived => {
                entry.ask_for_upstream(reply_tx);
                let received = smol::block_on(pending.receive());
                drop(received.expect("a selection"));
            }
        }
        while let Ok(event) = events.try_recv() {
            entry.handle(event);
        }
        // Both upstreams are idle, so the same one is selected again and again.
        let (reply_tx, selection_rx) = async_channel::bounded(1);
        entry.ask_for_upstream(reply_tx);
        let selection = selection_rx.try_recv().expect("an answer");
        let selection = selection.expect("an upstream");
        entry.handle(ControlEvent::CallEnded {
            service: "records".into(),
            upstream: selection.upstream.clone(),
            started: selection.started,
            fingerprint: 0,
            workspace: None,
            end: dogwoodshunt_serving::pool::CallEnd::Neutral,
        });
        selected.push(selection.upstream);
    }
    assert!(
        selected.windows(2).all(|pair| pair[0] == pair[1]),
        "{selected:?}"
    );
}
