//! Planned stops by operator, `SIGTERM` and host list, under load.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::ConsistencyChecker;
use dogwoodshunt_proof::LoadGenerator;
use dogwoodshunt_proof::load_generator::RequestMix;
use rstest::rstest;
use serde_json::json;
use smol::Timer;
use std::time::Duration;

/// Maximum time from the start of a stop until entries send no new requests to the
/// leaving upstream.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum StopTrigger {
    HostList,
    Operator,
    Signal,
}

fn stop_request(target: &str) -> StopRequest {
    StopRequest {
        id: "s1".into(),
        author: "nadia".into(),
        target: target.into(),
        force: false,
    }
}

async fn started_runs(cluster: &Cluster, agent: usize) -> u64 {
    let address = cluster.agents[agent].engine_address;
    let stats = cluster
        .get_standin(address, "/standin/stats")
        .await
        .unwrap();
    stats["started"].as_u64().unwrap()
}

#[rstest]
#[case(StopTrigger::HostList)]
#[case(StopTrigger::Operator)]
#[case(StopTrigger::Signal)]
fn leaving_host_gets_no_new_requests_and_completes_those_in_flight(#[case] trigger: StopTrigger) {
    smol::block_on(async {
        let mut cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast", "lathe"], "1").await;
        let checker = ConsistencyChecker::new();
        let mix = RequestMix {
            adapters: vec!["roast".into(), "lathe@1".into()],
            request_interval: Duration::from_millis(5),
            max_tokens: 50,
            seed: 3,
        };
        let load_generator = LoadGenerator::start(&cluster, mix, &checker);
        // The host that will leave has served requests before.
        while started_runs(&cluster, 0).await == 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
        match trigger {
            StopTrigger::HostList => {
                let leaving = json!({"name": "host-0", "state": "leaving"});
                let response =
                    cluster.post_standin(cluster.host_list_address, "/standin/host", &leaving);
                response.await.unwrap();
            }
            StopTrigger::Operator => {
                cluster
                    .operator(0)
                    .plan_stop(&stop_request("host-0"))
                    .await
                    .unwrap();
            }
            StopTrigger::Signal => cluster.agents[0]
                .process
                .as_ref()
                .unwrap()
                .terminate()
                .unwrap(),
        }
        Timer::after(DRAIN_LIMIT).await;
        let before = started_runs(&cluster, 0).await;
        Timer::after(Duration::from_millis(500)).await;
        assert_eq!(
            started_runs(&cluster, 0).await,
            before,
            "{}",
            cluster.logs()
        );
        if matches!(trigger, StopTrigger::Signal) {
            let status = cluster.agents[0].process.as_mut().unwrap().wait().unwrap();
            assert!(status.success(), "{status}");
        }
        load_generator.stop().await;
        let counts = checker.counts();
        println!("{trigger:?}: {counts}");
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
        assert_eq!(
            counts.answered,
            checker.records().len(),
            "{counts}\n{}",
            cluster.logs()
        );
    });
}

#[test]
fn entry_completes_all_requests_in_flight_after_sigterm() {
    smol::block_on(async {
        let mut cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast"], "1").await;
        let checker = ConsistencyChecker::new();
        let caller = cluster.caller(1);
        let mut tasks = Vec::new();
        for n in 0..20 {
            let (caller, checker) = (caller.clone(), checker.clone());
            let mut request =
                dogwoodshunt_proof::caller::CallerRequest::for_adapter(format!("t{n}"), "roast");
            request.max_tokens = 300;
            request.stream = n % 2 == 0;
            tasks.push(cluster.traffic.spawn(async move {
                let outcome = caller.send(&request).await;
                checker.record(request, outcome);
            }));
        }
        // At least 16 of the 20 requests, a full batch of one engine, have started before
        // the entry receives SIGTERM.
        while started_runs(&cluster, 0).await + started_runs(&cluster, 1).await < 16 {
            Timer::after(Duration::from_millis(10)).await;
        }
        let process = cluster.entries[1].process.as_mut().unwrap();
        process.terminate().unwrap();
        for task in tasks {
            task.await;
        }
        assert!(process.wait().unwrap().success());
        assert_eq!(checker.counts().answered, 20, "{}", cluster.logs());
    });
}

#[test]
fn stop_of_the_last_host_of_a_base_model_or_of_an_unknown_host_is_refused() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        let operator = cluster.operator(0);
        let first = operator.plan_stop(&stop_request("host-0")).await.unwrap();
        cluster.wait_in_force(first.entry.revision).await;
        let second = StopRequest {
            id: "s2".into(),
            ..stop_request("host-1")
        };
        let refused = operator.plan_stop(&second).await.unwrap_err().to_string();
        assert!(
            refused.contains("nothing else serves base model base"),
            "{refused}"
        );
        let unknown = operator
            .plan_stop(&stop_request("host-9"))
            .await
            .unwrap_err()
            .to_string();
        assert!(unknown.contains("host-9"), "{unknown}");
    });
}
