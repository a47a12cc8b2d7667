//! All processes of the system are killed at once and start again.

use crate::Verdict;
use crate::deployment::Asked;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::streaming;
use crate::link;
use crate::link::Link;
use crate::runner::MODEL;
use crate::system::Process;
use std::thread;
use std::time::Duration;

const SERVICE: &str = "roast-brain";
/// Adapters with a declared version, of the 10,000 of the site.
const DECLARED: u32 = 10_000;
/// `side` machines of the site.
const SIDES: u8 = 50;
/// Link of an `edge` machine; the site has 23 to 200.
const EDGE_LINK_MBPS: f64 = 23.0;
/// `down_s` of the fault, and `recover_s` of the site.
const DOWN_MS: u64 = 1_200;
const RECOVER_MS: u64 = 15_000;

pub fn run(deployment: &Deployment) -> Verdict {
    deployment.configure(&configuration(
        3,
        &[streaming("/draft/", SERVICE)],
        &[SERVICE],
    ));
    for adapter in 1..=DECLARED {
        let key = format!("op/version/{MODEL}.a{adapter}");
        let value = format!("{{\"model\":\"{MODEL}\",\"adapter\":\"a{adapter}\",\"version\":1}}");
        deployment.store.put(&key, &value);
    }
    let mut entry = deployment.entry(1);
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not get ready".to_owned());
    }
    // The `side` machines were added one after the other.
    let (up, down) = (Link::new(EDGE_LINK_MBPS), Link::new(EDGE_LINK_MBPS));
    let mut agents: Vec<Process> = Vec::new();
    let mut runners = Vec::new();
    for machine in 11..11 + SIDES {
        // What the entry and the agent of the machine say to each other passes the entry's link.
        let (near, far) = deployment.site.agent_addresses(machine);
        link::pass_on(near, far, &up, &down);
        agents.push(deployment.site.start_agent(machine));
        runners.push(deployment.runner(machine, &format!("i-{machine}"), SERVICE));
        pause(300);
    }
    let ask_all = |count: usize| -> Vec<Asked> {
        thread::scope(|scope| {
            let clients: Vec<_> = (0..count)
                .map(|number| {
                    pause(200);
                    let adapter = format!("a{}", 1 + number % 20);
                    scope.spawn(move || deployment.ask_adapter("/draft/2f", &adapter))
                })
                .collect();
            let asked = clients.into_iter().map(|client| client.join().unwrap());
            asked.collect()
        })
    };
    pause(3_000);
    let before = ask_all(40);
    if deployment.trouble {
        deployment
            .record
            .note("all processes of the system are killed");
        entry.signal("KILL");
        agents.iter().for_each(|agent| agent.signal("KILL"));
        entry.wait(Duration::from_secs(2));
        agents.iter_mut().for_each(|agent| {
            agent.wait(Duration::from_secs(2));
        });
        pause(DOWN_MS);
        agents = (11..11 + SIDES)
            .map(|machine| deployment.site.start_agent(machine))
            .collect();
        entry = deployment.entry(1);
    }
    pause(RECOVER_MS + 1_000);
    let after = ask_all(120);
    drop((entry, agents));
    let served = |asked: &[Asked]| asked.iter().filter(|asked| asked.is_served()).count();
    let text = format!(
        "{} of {} requests were served before; {} of {} that were sent more than {} s after the \
         machines were back",
        served(&before),
        before.len(),
        served(&after),
        after.len(),
        RECOVER_MS / 1_000,
    );
    let share = |asked: &[Asked]| served(asked) as f64 / asked.len() as f64;
    if share(&before) < 0.25 {
        return Verdict::CouldNotRun(text);
    }
    match share(&after) < 0.25 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
