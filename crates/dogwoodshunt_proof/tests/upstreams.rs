//! Upstreams that restart, fail loads, report wrong versions and ignore fencing
//! tokens.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::ConsistencyChecker;
use dogwoodshunt_proof::LoadGenerator;
use dogwoodshunt_proof::caller::CallerOutcome;
use dogwoodshunt_proof::caller::CallerRequest;
use dogwoodshunt_proof::load_generator::RequestMix;
use rstest::rstest;
use serde_json::json;
use smol::Timer;
use std::time::Duration;

fn request_mix(adapters: &[&str], max_tokens: u32) -> RequestMix {
    RequestMix {
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
        request_interval: Duration::from_millis(5),
        max_tokens,
        seed: 11,
    }
}

#[test]
fn engine_restart_during_a_stream_never_yields_a_spliced_response() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast", "lathe"], "1").await;
        let checker = ConsistencyChecker::new();
        let load_generator =
            LoadGenerator::start(&cluster, request_mix(&["roast", "lathe"], 60), &checker);
        for _ in 0..3 {
            Timer::after(Duration::from_millis(600)).await;
            for host in &cluster.agents {
                let restart = json!({"restart": true});
                let response =
                    cluster.post_standin(host.engine_address, "/standin/faults", &restart);
                response.await.unwrap();
            }
        }
        Timer::after(Duration::from_secs(1)).await;
        load_generator.stop().await;
        println!("restarts: {}", checker.counts());
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
        assert!(checker.counts().answered > 0);
    });
}

/// Starts a cluster of one entry and one agent whose engine has `faults`.
async fn cluster_with_engine_faults(faults: serde_json::Value) -> Cluster {
    let cluster_config = ClusterConfig {
        agents: 1,
        entries: 1,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(&cluster_config).await.unwrap();
    cluster.add_adapters("n1", &["roast"], "1").await;
    let engine = cluster.agents[0].engine_address;
    let response = cluster.post_standin(engine, "/standin/faults", &faults);
    response.await.unwrap();
    cluster
}

#[rstest]
#[case(false)]
#[case(true)]
fn response_of_another_version_never_reaches_the_caller(#[case] stream: bool) {
    smol::block_on(async {
        let cluster = cluster_with_engine_faults(json!({"answer_as_version": "0"})).await;
        let request = CallerRequest {
            stream,
            ..CallerRequest::for_adapter("t1", "roast@1")
        };
        let outcome = cluster.caller(0).send(&request).await;
        assert_eq!(outcome, CallerOutcome::Unknown);
    });
}

#[test]
fn stream_without_its_final_event_is_incomplete_for_the_caller() {
    smol::block_on(async {
        let cluster = cluster_with_engine_faults(json!({"end_streams_after": 2})).await;
        let request = CallerRequest {
            stream: true,
            ..CallerRequest::for_adapter("t1", "roast")
        };
        let outcome = cluster.caller(0).send(&request).await;
        assert_eq!(outcome, CallerOutcome::Incomplete);
    });
}

#[test]
fn request_is_refused_while_loads_fail_and_succeeds_after_the_retry_delay() {
    smol::block_on(async {
        let cluster = cluster_with_engine_faults(json!({"fail_loads": 2})).await;
        let outcome = cluster
            .caller(0)
            .send(&CallerRequest::for_adapter("t1", "roast"))
            .await;
        let CallerOutcome::NotRun { retry_after, .. } = outcome else {
            panic!("{outcome:?}");
        };
        Timer::after(Duration::from_secs(retry_after.unwrap())).await;
        let outcome = cluster
            .caller(0)
            .send(&CallerRequest::for_adapter("t2", "roast"))
            .await;
        assert!(outcome.is_answered(), "{outcome:?}\n{}", cluster.logs());
    });
}

#[test]
fn frozen_agent_that_resumes_beside_its_successor_unloads_nothing_in_use() {
    smol::block_on(async {
        let cluster_config = ClusterConfig {
            slots: 2,
            check_fencing: false,
            ..ClusterConfig::default()
        };
        let mut cluster = Cluster::start(&cluster_config).await.unwrap();
        let adapters = ["a1", "a2", "a3", "a4", "a5", "a6"];
        cluster.add_adapters("n1", &adapters, "1").await;
        let checker = ConsistencyChecker::new();
        let load_generator = LoadGenerator::start(&cluster, request_mix(&adapters, 30), &checker);
        Timer::after(Duration::from_secs(1)).await;
        let old_process = cluster.agents[0].process.take().unwrap();
        old_process.freeze().unwrap();
        cluster.start_agent(0).unwrap();
        Timer::after(Duration::from_secs(5)).await;
        old_process.resume().unwrap();
        Timer::after(Duration::from_secs(2)).await;
        load_generator.stop().await;
        drop(old_process);
        println!("resumed agent: {}", checker.counts());
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
    });
}
