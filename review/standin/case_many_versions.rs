//! The operator declares new versions of many adapters, one after the other.

use crate::Verdict;
use crate::deployment::Asked;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::plain;
use crate::deployment::streaming;
use crate::runner::MODEL;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const SERVICES: [&str; 2] = ["roast-brain", "order-desk"];
/// Adapters of the site, each with a declared version.
const ADAPTERS: u32 = 10_000;
/// Adapters of which new versions are declared.
const RENEWED: u32 = 100;
/// `side` machines of the site.
const SIDES: u8 = 50;
/// `timeout_ms` of the plain route, and half a second more.
const TIMEOUT_MS: u128 = 1_000;
const LATE_MS: u128 = 1_500;

fn declare(deployment: &Deployment, adapter: u32, version: u32) {
    let key = format!("op/version/{MODEL}.a{adapter}");
    let value =
        format!("{{\"model\":\"{MODEL}\",\"adapter\":\"a{adapter}\",\"version\":{version}}}");
    deployment.store.put(&key, &value);
}

pub fn run(deployment: &Deployment) -> Verdict {
    let routes = [
        streaming("/draft/", SERVICES[0]),
        plain("/dispatch/", "non_idempotent", SERVICES[1], 1),
    ];
    deployment.configure(&configuration(3, &routes, &SERVICES));
    for adapter in 1..=ADAPTERS {
        declare(deployment, adapter, 1);
    }
    let machines: Vec<u8> = (11..11 + SIDES).collect();
    let runner = |machine: &u8| deployment.runner(*machine, &format!("i-{machine}"), SERVICES[0]);
    let _runners: Vec<_> = machines.iter().map(runner).collect();
    let _desks: Vec<_> = (81..=84u8)
        .map(|machine| deployment.runner(machine, &format!("i-desk-{machine}"), SERVICES[1]))
        .collect();
    let _agents: Vec<_> = machines.iter().map(|m| deployment.agent(*m)).collect();
    let entry = deployment.entry(1);
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not get ready".to_owned());
    }
    if !deployment.ask_until_served("/draft/2f", "a1", Duration::from_secs(10)) {
        return Verdict::CouldNotRun("no model request is served".to_owned());
    }
    pause(4_000);
    let asked: Mutex<Vec<Asked>> = Mutex::default();
    let end = Instant::now() + Duration::from_secs(30);
    thread::scope(|scope| {
        // Ten clients, each with two requests a second at most.
        for client in 0..10 {
            let asked = &asked;
            scope.spawn(move || {
                pause(50 * client);
                while Instant::now() < end {
                    let body = format!("{{\"client\":{client}}}");
                    let request = deployment.ask("POST", "/dispatch/2f", "", &body, 10_000);
                    asked.lock().unwrap().push(request);
                    pause(500);
                }
            });
        }
        pause(3_000);
        if deployment.trouble {
            deployment.record.note("the operator declares new versions");
            for adapter in 1..=RENEWED {
                declare(deployment, adapter, 2);
                // 400 writes a second.
                thread::sleep(Duration::from_micros(2_500));
            }
            deployment.record.note("all are acknowledged");
        }
    });
    let asked = asked.into_inner().unwrap();
    let took = |limit: u128| {
        asked
            .iter()
            .filter(|asked| asked.answer.took_ms > limit)
            .count()
    };
    let (unanswered, late) = (took(TIMEOUT_MS), took(LATE_MS));
    let text = format!(
        "of {} requests, {unanswered} had no answer at the route's timeout of {TIMEOUT_MS} ms and \
         {late} of these none half a second later; {} were served; the longest took {} ms; the entry \
         held {} MB at most",
        asked.len(),
        asked.iter().filter(|asked| asked.is_served()).count(),
        asked
            .iter()
            .map(|asked| asked.answer.took_ms)
            .max()
            .unwrap_or(0),
        entry.peak_memory_mb(),
    );
    match unanswered > 0 && 2 * late > unanswered {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
