//! The operator moves a route from one service of model runners to another one.

use crate::Verdict;
use crate::deployment::Asked;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::streaming;
use crate::runner::Runner;
use std::sync::Arc;
use std::time::Duration;

const ADAPTERS: [&str; 4] = ["a1", "a2", "a3", "a4"];
const SERVICES: [&str; 2] = ["roast-brain", "roast-brain-next"];

/// Number of the requests that a service has run.
fn run_by(runners: &[Arc<Runner>], asked: &[Asked]) -> usize {
    let runs = runners.iter().flat_map(|runner| runner.runs());
    runs.filter(|run| asked.iter().any(|asked| asked.id == run.id))
        .count()
}

pub fn run(deployment: &Deployment) -> Verdict {
    let before = configuration(3, &[streaming("/draft/", SERVICES[0])], &SERVICES);
    let after = configuration(7, &[streaming("/draft/", SERVICES[1])], &SERVICES);
    deployment.configure(&before);
    let old = [
        deployment.runner(11, "i-old-1", SERVICES[0]),
        deployment.runner(12, "i-old-2", SERVICES[0]),
    ];
    let mut processes = vec![deployment.agent(11), deployment.agent(12)];
    processes.push(deployment.entry(1));
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not get ready".to_owned());
    }
    for adapter in ADAPTERS {
        if !deployment.ask_until_served("/draft/2f", adapter, Duration::from_secs(10)) {
            return Verdict::CouldNotRun("no request is served".to_owned());
        }
    }
    // The runners of the next service come up, with their agents.
    let next = [
        deployment.runner(13, "i-next-1", SERVICES[1]),
        deployment.runner(14, "i-next-2", SERVICES[1]),
    ];
    processes.extend([deployment.agent(13), deployment.agent(14)]);
    pause(4_000);
    let ask_all = |count: usize| -> Vec<Asked> {
        let asked = (0..count).map(|number| {
            pause(200);
            deployment.ask_adapter("/draft/2f", ADAPTERS[number % ADAPTERS.len()])
        });
        asked.collect()
    };
    let first = ask_all(20);
    if deployment.trouble {
        deployment.configure(&after);
    }
    // config_apply_ms is 2,000; no other bound stretches it here.
    pause(3_000);
    let second = ask_all(40);
    drop(processes);
    let wrong_before = run_by(&next, &first);
    let (by_old, by_next) = (run_by(&old, &second), run_by(&next, &second));
    let text = format!(
        "of {} requests before the change, {} ran at {}, {wrong_before} at {}; of {} requests sent \
         more than 3 s later, {by_old} ran at {} and {by_next} at {}",
        first.len(),
        run_by(&old, &first),
        SERVICES[0],
        SERVICES[1],
        second.len(),
        SERVICES[0],
        SERVICES[1],
    );
    let wrong_after = if deployment.trouble { by_old } else { by_next };
    match wrong_before + wrong_after {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
