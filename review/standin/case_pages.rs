//! Two changes of the operator fall between two pages of a listing by an entry that starts.

use crate::Verdict;
use crate::deployment::Asked;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::plain;
use crate::runner::MODEL;
use crate::runner::Runner;
use std::time::Duration;
use std::time::Instant;

const SERVICES: [&str; 3] = ["roast-brain", "order-desk", "order-desk-next"];
/// Adapters of which the operator has declared a version so far, of the 3,000 of the site.
const DECLARED: u32 = 700;

fn version_key(adapter: u32) -> String {
    format!("op/version/{MODEL}.a{adapter:04}")
}

fn version(adapter: u32, version: u32) -> String {
    format!("{{\"model\":\"{MODEL}\",\"adapter\":\"a{adapter:04}\",\"version\":{version}}}")
}

fn run_by(runner: &Runner, asked: &[Asked]) -> usize {
    let runs = runner.runs();
    let runs = runs.iter();
    runs.filter(|run| asked.iter().any(|asked| asked.id == run.id))
        .count()
}

pub fn run(deployment: &Deployment) -> Verdict {
    let routes = |service| [plain("/stock/", "idempotent", service, 2)];
    let before = configuration(3, &routes(SERVICES[1]), &SERVICES);
    let after = configuration(7, &routes(SERVICES[2]), &SERVICES);
    let store = &deployment.store;
    deployment.configure(&before);
    for adapter in 0..DECLARED {
        store.put(&version_key(adapter), &version(adapter, 1));
    }
    let _engine = deployment.runner(11, "i-engine", SERVICES[0]);
    let old = deployment.runner(21, "i-old", SERVICES[1]);
    let next = deployment.runner(22, "i-next", SERVICES[2]);
    let _agent = deployment.agent(11);
    let mut entry = deployment.entry(1);
    let not_ready = || Verdict::CouldNotRun("the entry does not get ready".to_owned());
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return not_ready();
    }
    let ask_all = |count: usize| -> Vec<Asked> {
        let asked = (0..count).map(|_| {
            pause(200);
            deployment.ask("GET", "/stock/2f", "", "", 1_000)
        });
        asked.collect()
    };
    let first = ask_all(10);
    // The entry is stopped and started as planned.
    entry.signal("TERM");
    if !entry.wait(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not stop".to_owned());
    }
    // The store takes 60 times as long for its answers, for 5 s.
    let slow_since = Instant::now();
    if deployment.trouble {
        deployment.record.note("the store turns slow");
        store.set_answer_time(Duration::from_millis(240));
    }
    let started = Instant::now();
    let _entry = deployment.entry(1);
    if !store.wait_for_first_page("op/", started, Duration::from_secs(5)) {
        return Verdict::CouldNotRun("the entry lists nothing".to_owned());
    }
    // The operator moves the route, and then declares a version of the last adapter.
    pause(80);
    let acknowledged = deployment.configure(&after);
    pause(80);
    store.put(&version_key(DECLARED - 1), &version(DECLARED - 1, 2));
    deployment.record.note("a version is acknowledged");
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return not_ready();
    }
    let left = Duration::from_secs(5).saturating_sub(slow_since.elapsed());
    std::thread::sleep(left);
    deployment.record.note("the store is as fast as before");
    store.set_answer_time(Duration::from_millis(4));
    let pages = store.page_count("op/", started);
    // contact_ms 3,000 after the end of the disruption the store is stable and the entry in touch;
    // max_stretch_ms 5,000 and config_apply_ms 2,000 have passed as well since the acknowledgement.
    pause(6_000);
    let second = ask_all(50);
    let (by_old, by_next) = (run_by(&old, &second), run_by(&next, &second));
    let text = format!(
        "{} of {} requests ran at {} before the change; {pages} calls for pages of op/ after the \
         restart; of {} requests sent more than {} s after the acknowledgement, {by_old} ran at {} \
         and {by_next} at {}",
        run_by(&old, &first),
        first.len(),
        SERVICES[1],
        second.len(),
        (second[0].sent_at - acknowledged).as_secs(),
        SERVICES[1],
        SERVICES[2],
    );
    if by_old + by_next == 0 {
        return Verdict::CouldNotRun(text);
    }
    match by_old {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
