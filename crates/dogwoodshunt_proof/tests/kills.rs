//! Entries and agents that are killed, frozen and disconnected under load.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::ConsistencyChecker;
use dogwoodshunt_proof::LoadGenerator;
use dogwoodshunt_proof::caller::CallerRequest;
use dogwoodshunt_proof::load_generator::RequestMix;
use dogwoodshunt_proof::relay::Mode;
use rstest::rstest;
use smol::Timer;
use std::time::Duration;

const ADAPTERS: [&str; 3] = ["roast", "lathe", "cut"];

/// Time for which requests are sent before and after a failure.
const LOAD_TIME: Duration = Duration::from_millis(800);

#[derive(Clone, Copy, Debug)]
enum Failure {
    AgentDisconnected,
    AgentFrozen,
    AgentKilled,
    AgentResponsesStalled,
    AgentRequestsStalled,
    EntryKilled,
}

async fn inject(cluster: &mut Cluster, failure: Failure) {
    let relay = cluster.agents[0].relay.clone();
    match failure {
        Failure::AgentDisconnected => {
            for _ in 0..5 {
                relay.set_mode(Mode::Disconnected);
                Timer::after(Duration::from_millis(100)).await;
                relay.set_mode(Mode::Forwarding);
                Timer::after(Duration::from_millis(300)).await;
            }
        }
        Failure::AgentFrozen => {
            let process = cluster.agents[0].process.as_ref().unwrap();
            process.freeze().unwrap();
            Timer::after(Duration::from_secs(4)).await;
            process.resume().unwrap();
        }
        Failure::AgentKilled => {
            cluster.agents[0].process.take().unwrap().kill().unwrap();
            Timer::after(Duration::from_millis(500)).await;
            cluster.start_agent(0).unwrap();
        }
        Failure::AgentResponsesStalled | Failure::AgentRequestsStalled => {
            let mode = match failure {
                Failure::AgentResponsesStalled => Mode::StallResponses,
                _ => Mode::StallRequests,
            };
            relay.set_mode(mode);
            Timer::after(Duration::from_secs(4)).await;
            relay.set_mode(Mode::Forwarding);
        }
        Failure::EntryKilled => {
            cluster.entries[1].process.take().unwrap().kill().unwrap();
            Timer::after(Duration::from_millis(500)).await;
            cluster.start_entry(1).unwrap();
        }
    }
}

/// Returns the number of runs that the engine of an agent has started.
async fn started_runs(cluster: &Cluster, agent: usize) -> u64 {
    let engine = cluster.agents[agent].engine_address;
    let stats = cluster.get_standin(engine, "/standin/stats").await.unwrap();
    stats["started"].as_u64().unwrap()
}

/// Waits until the engines together have started `runs` runs.
async fn wait_for_started_runs(cluster: &Cluster, runs: u64) {
    loop {
        let mut started = 0;
        for host in &cluster.agents {
            let stats = cluster
                .get_standin(host.engine_address, "/standin/stats")
                .await
                .unwrap();
            started += stats["started"].as_u64().unwrap();
        }
        if started >= runs {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
}

#[test]
fn non_repeatable_request_is_never_sent_again_after_its_agent_is_killed() {
    smol::block_on(async {
        let mut cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast"], "1").await;
        let checker = ConsistencyChecker::new();
        let mut tasks = Vec::new();
        for n in 0..10 {
            let (caller, checker) = (cluster.caller(n % 2), checker.clone());
            let request = CallerRequest {
                repeatable: false,
                max_tokens: 500,
                ..CallerRequest::for_adapter(format!("order-{n}"), "roast")
            };
            tasks.push(cluster.traffic.spawn(async move {
                let outcome = caller.send(&request).await;
                checker.record(request, outcome);
            }));
        }
        wait_for_started_runs(&cluster, 10).await;
        // The other agent keeps running, so that a wrong second attempt would succeed.
        let killed = if started_runs(&cluster, 0).await > 0 {
            0
        } else {
            1
        };
        let lost_runs = started_runs(&cluster, killed).await;
        cluster.agents[killed]
            .process
            .take()
            .unwrap()
            .kill()
            .unwrap();
        cluster.start_agent(killed).unwrap();
        for task in tasks {
            task.await;
        }
        let unknown = checker.counts().unknown as u64;
        assert_eq!(unknown, lost_runs, "{}", cluster.logs());
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[rstest]
#[case(Failure::AgentDisconnected)]
#[case(Failure::AgentFrozen)]
#[case(Failure::AgentKilled)]
#[case(Failure::AgentResponsesStalled)]
#[case(Failure::AgentRequestsStalled)]
#[case(Failure::EntryKilled)]
fn caller_outcomes_agree_with_executions(#[case] failure: Failure) {
    smol::block_on(async {
        let mut cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &ADAPTERS, "1").await;
        let checker = ConsistencyChecker::new();
        let mix = RequestMix {
            adapters: ADAPTERS.map(str::to_owned).to_vec(),
            request_interval: Duration::from_millis(5),
            max_tokens: 20,
            seed: 7,
        };
        let load_generator = LoadGenerator::start(&cluster, mix, &checker);
        Timer::after(LOAD_TIME).await;
        inject(&mut cluster, failure).await;
        Timer::after(LOAD_TIME).await;
        load_generator.stop().await;
        println!("{failure:?}: {}", checker.counts());
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
        assert!(checker.counts().answered > 0, "{}", cluster.logs());
    });
}
