//! An order that got no answer is carried out late, after its runner has started again under the
//! id that it had.

use crate::Verdict;
use crate::deployment::ADAPTER_SLOTS;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::streaming;
use crate::runner::Order;
use crate::runner::OrderFate;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

const SERVICE: &str = "roast-brain";
/// When the order is carried out after it was sent; the bench says 2 to 12 s.
const LATE: Duration = Duration::from_secs(10);

pub fn run(deployment: &Deployment) -> Verdict {
    deployment.configure(&configuration(
        3,
        &[streaming("/draft/", SERVICE)],
        &[SERVICE],
    ));
    let runner = deployment.runner(11, "i-7f3a91c2", SERVICE);
    let _agent = deployment.agent(11);
    let _entry = deployment.entry(1);
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not get ready".to_owned());
    }
    let ask = |adapter: usize| {
        let adapter = format!("a{adapter}");
        deployment.ask_until_served("/draft/2f", &adapter, Duration::from_secs(10))
    };
    let not_served = |adapter| Verdict::CouldNotRun(format!("a{adapter} is not served"));
    for adapter in 1..ADAPTER_SLOTS {
        if !ask(adapter) {
            return not_served(adapter);
        }
    }
    // From here on, one in three orders gets no answer: the third.
    let seen = Arc::new(AtomicU32::new(0));
    if deployment.trouble {
        let seen = seen.clone();
        runner.set_order_filter(Some(Box::new(move |_: &Order| {
            match seen.fetch_add(1, Ordering::SeqCst) % 3 {
                2 => OrderFate::LeaveUnanswered,
                _ => OrderFate::CarryOut,
            }
        })));
    }
    if !ask(ADAPTER_SLOTS) {
        return not_served(ADAPTER_SLOTS);
    }
    // One more adapter than there are places: one is unloaded, and this one is loaded.
    let mut late = None;
    if deployment.trouble {
        let extra = format!("a{}", ADAPTER_SLOTS + 1);
        let deadline = Instant::now() + Duration::from_secs(5);
        std::thread::scope(|scope| {
            scope.spawn(|| deployment.ask_adapter("/draft/2f", &extra));
            while runner.unanswered().is_empty() && Instant::now() < deadline {
                pause(1);
            }
            // The runner crashes, and starts again under its id 2 s later.
            pause(50);
            deployment.record.note("the runner crashes");
            runner.crash();
        });
        late = runner.unanswered().into_iter().next();
        let Some(order) = &late else {
            return Verdict::CouldNotRun("no order was left unanswered".to_owned());
        };
        if !order.is_load() || order.adapter() != Some(extra.as_str()) {
            return Verdict::CouldNotRun("another order was left unanswered".to_owned());
        }
        runner.set_order_filter(None);
        pause(2_000);
        runner.restart();
        deployment
            .record
            .note("the runner has started again under its id");
    } else if !ask(ADAPTER_SLOTS + 1) {
        return not_served(ADAPTER_SLOTS + 1);
    }
    for adapter in 1..=ADAPTER_SLOTS {
        if !ask(adapter) {
            return not_served(adapter);
        }
    }
    let mut text = String::new();
    if let Some(order) = late {
        let left = LATE.saturating_sub(order.at.elapsed());
        if left.is_zero() {
            return Verdict::CouldNotRun("the runner is not back in time".to_owned());
        }
        std::thread::sleep(left);
        let (seq, held) = runner.holdings();
        let status = runner.carry_out(&order);
        text = format!(
            "the order is carried out {:.1} s after it was sent, with {seq} orders accepted and \
             {held} adapters held: {status}; ",
            order.at.elapsed().as_secs_f64()
        );
        deployment.record.note(&text);
    }
    pause(500);
    match runner.overfilled() {
        Some(overfilled) => {
            runner.crash();
            Verdict::Broken(format!("{text}the runner was ordered to load {overfilled}"))
        }
        None => {
            let (seq, held) = runner.holdings();
            Verdict::Held(format!("{text}{held} adapters are held after {seq} orders"))
        }
    }
}
