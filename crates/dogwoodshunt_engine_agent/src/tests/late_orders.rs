//! Orders without an answer that the engine may carry out after it has started again.

use super::TestAgent;
use crate::control::Event;
use crate::engine::Order;
use crate::engine::OrderAnswer;
use crate::engine::OrderRequest;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::UpstreamIdentity;
use std::time::Duration;

/// Adapter slots of the engine of these tests.
const SLOTS: usize = 2;

impl TestAgent {
    /// Requests runs of adapters and carries their orders out at once, at an engine that holds
    /// `held`. Returns the largest number of adapters that it holds at once.
    fn fill(&mut self, held: &mut Vec<AdapterRef>, names: &[&str], started: u64) -> usize {
        let (mut largest, mut accepted) = (held.len(), 0);
        for name in names {
            let request = self.request_run(name, 7);
            // Loads and unloads follow each other, with reports in between.
            for _ in 0..10 {
                let orders = self.take_sent_orders();
                for OrderRequest { order, .. } in orders {
                    accepted += 1;
                    match &order {
                        Order::LoadAdapter(adapter) => held.push(adapter.clone()),
                        Order::UnloadAdapter(adapter) => held.retain(|known| known != adapter),
                        Order::LoadBaseModel(_) => {}
                    }
                    let answer = OrderAnswer::Done;
                    self.handle_and_decide(Event::OrderAnswered { order, answer });
                }
                largest = largest.max(held.len());
                self.now += Duration::from_millis(200);
                self.receive_frame(Frame::Heartbeat(Box::default()));
                let adapters = held.clone();
                self.receive_report(|report| {
                    report.started = started;
                    report.accepted_orders = accepted;
                    report.adapters = adapters;
                });
            }
            self.receive_frame(Frame::Done {
                request,
                adapter_missing: false,
                broken_off: false,
            });
        }
        largest
    }

    /// Lets an order to load `name` go without an answer, and the engine start again under its
    /// name.
    fn lose_an_order_and_restart(&mut self, name: &str) {
        self.request_run(name, 7);
        let order = self.take_sent_orders().remove(0).order;
        assert_eq!(order, Order::LoadAdapter(AdapterRef::new(name, "1")));
        let answer = OrderAnswer::Lost("no answer".into());
        self.handle_and_decide(Event::OrderAnswered { order, answer });
        self.receive_report(|report| report.started = 200);
        self.take_sent_orders();
        self.receive_upstream_config(|config| {
            config.upstream = Some(UpstreamIdentity {
                name: "engine-1".into(),
                started: 200,
                leaving: false,
                service: Some("models".into()),
            });
        });
        self.take_sent_orders();
    }
}

/// Guards against a late order that loads one adapter more than the engine has slots for: instance,
/// fencing token and number of orders may all match after a restart.
#[test]
fn slot_is_kept_free_for_a_load_of_the_process_before() {
    let mut agent = TestAgent::owning_named_engine();
    agent.lose_an_order_and_restart("late");
    let mut held = Vec::new();
    assert_eq!(agent.fill(&mut held, &["a", "b", "c"], 200), SLOTS - 1);
    // The order is not carried out any more.
    agent.now += Duration::from_secs(30);
    agent.connect_entry("entry", 7);
    agent.receive_report(|report| {
        report.started = 200;
        report.adapters = held.clone();
    });
    agent.take_sent_orders();
    assert_eq!(agent.fill(&mut held, &["d", "e"], 200), SLOTS);
}

/// Within one process, the number of orders that the next one expects excludes the late one.
#[test]
fn no_slot_is_kept_free_without_a_restart() {
    let mut agent = TestAgent::owning_named_engine();
    agent.request_run("late", 7);
    let order = agent.take_sent_orders().remove(0).order;
    let answer = OrderAnswer::Lost("no answer".into());
    agent.handle_and_decide(Event::OrderAnswered { order, answer });
    assert_eq!(agent.fill(&mut Vec::new(), &["a", "b", "c"], 100), SLOTS);
}
