//! Upstreams that restart, fail, lie and ignore fencing numbers.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::Load;
use dogwoodshunt_proof::Shape;
use dogwoodshunt_proof::Tally;
use dogwoodshunt_proof::caller::Question;
use dogwoodshunt_proof::caller::Told;
use dogwoodshunt_proof::load::Mix;
use rstest::rstest;
use serde_json::json;
use smol::Timer;
use std::time::Duration;

fn mix(adapters: &[&str], tokens: u32) -> Mix {
    Mix {
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
        period: Duration::from_millis(5),
        tokens,
        seed: 11,
    }
}

#[test]
fn engine_that_restarts_empty_mid_stream_yields_no_spliced_answer() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast", "lathe"], "1").await;
        let tally = Tally::new();
        let load = Load::start(&cluster, mix(&["roast", "lathe"], 60), &tally);
        for _ in 0..3 {
            Timer::after(Duration::from_millis(600)).await;
            for host in &cluster.agents {
                let restart = json!({"restart": true});
                let told = cluster.post_standin(host.engine, "/standin/faults", &restart);
                told.await.unwrap();
            }
        }
        Timer::after(Duration::from_secs(1)).await;
        load.stop().await;
        println!("restarts: {}", tally.counts());
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
        assert!(tally.counts().answered > 0);
    });
}

/// Starts a cluster of one agent whose engine has `faults`.
async fn one_engine_with(faults: serde_json::Value) -> Cluster {
    let shape = Shape {
        agents: 1,
        entries: 1,
        ..Shape::default()
    };
    let cluster = Cluster::start(&shape).await.unwrap();
    cluster.add_adapters("n1", &["roast"], "1").await;
    let engine = cluster.agents[0].engine;
    let set = cluster.post_standin(engine, "/standin/faults", &faults);
    set.await.unwrap();
    cluster
}

#[rstest]
#[case(false)]
#[case(true)]
fn answer_of_another_version_never_reaches_the_caller(#[case] stream: bool) {
    smol::block_on(async {
        let cluster = one_engine_with(json!({"answer_as_version": "0"})).await;
        let question = Question {
            stream,
            ..Question::adapter("t1", "roast@1")
        };
        let told = cluster.caller(0).ask(&question).await;
        assert_eq!(told, Told::Unknown);
    });
}

#[test]
fn stream_that_ends_before_its_last_event_is_broken_off() {
    smol::block_on(async {
        let cluster = one_engine_with(json!({"end_streams_after": 2})).await;
        let question = Question {
            stream: true,
            ..Question::adapter("t1", "roast")
        };
        let told = cluster.caller(0).ask(&question).await;
        assert_eq!(told, Told::BrokenOff);
    });
}

#[test]
fn failing_load_is_refused_and_not_hammered() {
    smol::block_on(async {
        let cluster = one_engine_with(json!({"fail_loads": 2})).await;
        let told = cluster
            .caller(0)
            .ask(&Question::adapter("t1", "roast"))
            .await;
        let Told::NotRun { retry_after, .. } = told else {
            panic!("{told:?}");
        };
        Timer::after(Duration::from_secs(retry_after.unwrap())).await;
        let told = cluster
            .caller(0)
            .ask(&Question::adapter("t2", "roast"))
            .await;
        assert!(told.is_answered(), "{told:?}\n{}", cluster.logs());
    });
}

#[test]
fn old_agent_that_wakes_beside_its_successor_evicts_nothing_in_use() {
    smol::block_on(async {
        let shape = Shape {
            slots: 2,
            check_fencing: false,
            ..Shape::default()
        };
        let mut cluster = Cluster::start(&shape).await.unwrap();
        let adapters = ["a1", "a2", "a3", "a4", "a5", "a6"];
        cluster.add_adapters("n1", &adapters, "1").await;
        let tally = Tally::new();
        let load = Load::start(&cluster, mix(&adapters, 30), &tally);
        Timer::after(Duration::from_secs(1)).await;
        let old = cluster.agents[0].process.take().unwrap();
        old.freeze().unwrap();
        cluster.start_agent(0).unwrap();
        Timer::after(Duration::from_secs(5)).await;
        old.wake().unwrap();
        Timer::after(Duration::from_secs(2)).await;
        load.stop().await;
        drop(old);
        println!("old agent: {}", tally.counts());
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
    });
}
