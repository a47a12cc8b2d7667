//! Planned stops, SIGTERM and the host list under load.

#![expect(clippy::unwrap_used, reason = "a test helper may panic")]

use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::Load;
use dogwoodshunt_proof::Shape;
use dogwoodshunt_proof::Tally;
use dogwoodshunt_proof::load::Mix;
use rstest::rstest;
use serde_json::json;
use smol::Timer;
use std::time::Duration;

/// Time within which a leaving upstream gets no new work.
const LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Way {
    HostList,
    Operator,
    Signal,
}

fn stop(target: &str) -> StopRequest {
    StopRequest {
        id: "s1".into(),
        author: "nadia".into(),
        target: target.into(),
        force: false,
    }
}

async fn started(cluster: &Cluster, agent: usize) -> u64 {
    let address = cluster.agents[agent].engine;
    let stats = cluster
        .get_standin(address, "/standin/stats")
        .await
        .unwrap();
    stats["started"].as_u64().unwrap()
}

#[rstest]
#[case(Way::HostList)]
#[case(Way::Operator)]
#[case(Way::Signal)]
fn leaving_host_gets_no_new_work_and_cuts_nothing_off(#[case] way: Way) {
    smol::block_on(async {
        let mut cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast", "lathe"], "1").await;
        let tally = Tally::new();
        let mix = Mix {
            adapters: vec!["roast".into(), "lathe@1".into()],
            period: Duration::from_millis(5),
            tokens: 50,
            seed: 3,
        };
        let load = Load::start(&cluster, mix, &tally);
        // Both hosts take part before one of them leaves.
        while started(&cluster, 0).await == 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
        match way {
            Way::HostList => {
                let leaving = json!({"name": "host-0", "state": "leaving"});
                let told = cluster.post_standin(cluster.hosts, "/standin/host", &leaving);
                told.await.unwrap();
            }
            Way::Operator => {
                cluster
                    .operator(0)
                    .plan_stop(&stop("host-0"))
                    .await
                    .unwrap();
            }
            Way::Signal => cluster.agents[0]
                .process
                .as_ref()
                .unwrap()
                .terminate()
                .unwrap(),
        }
        Timer::after(LIMIT).await;
        let before = started(&cluster, 0).await;
        Timer::after(Duration::from_millis(500)).await;
        assert_eq!(started(&cluster, 0).await, before, "{}", cluster.logs());
        if matches!(way, Way::Signal) {
            let status = cluster.agents[0].process.as_mut().unwrap().wait().unwrap();
            assert!(status.success(), "{status}");
        }
        load.stop().await;
        let counts = tally.counts();
        println!("{way:?}: {counts}");
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}\n{}", cluster.logs());
        assert_eq!(
            counts.answered,
            tally.notes().len(),
            "{counts}\n{}",
            cluster.logs()
        );
    });
}

#[test]
fn entry_that_is_told_to_stop_answers_everything_in_flight() {
    smol::block_on(async {
        let mut cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast"], "1").await;
        let tally = Tally::new();
        let caller = cluster.caller(1);
        let mut asked = Vec::new();
        for n in 0..20 {
            let (caller, tally) = (caller.clone(), tally.clone());
            let mut question =
                dogwoodshunt_proof::caller::Question::adapter(format!("t{n}"), "roast");
            question.tokens = 300;
            question.stream = n % 2 == 0;
            asked.push(cluster.traffic.spawn(async move {
                let told = caller.ask(&question).await;
                tally.note(question, told);
            }));
        }
        // Every request has reached the engine before the entry is told to stop.
        while started(&cluster, 0).await + started(&cluster, 1).await < 16 {
            Timer::after(Duration::from_millis(10)).await;
        }
        let process = cluster.entries[1].process.as_mut().unwrap();
        process.terminate().unwrap();
        for task in asked {
            task.await;
        }
        assert!(process.wait().unwrap().success());
        assert_eq!(tally.counts().answered, 20, "{}", cluster.logs());
    });
}

#[test]
fn stop_that_leaves_no_capacity_is_refused() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        let operator = cluster.operator(0);
        let first = operator.plan_stop(&stop("host-0")).await.unwrap();
        cluster.wait_in_force(first.entry.revision).await;
        let second = StopRequest {
            id: "s2".into(),
            ..stop("host-1")
        };
        let refused = operator.plan_stop(&second).await.unwrap_err().to_string();
        assert!(
            refused.contains("nothing else serves base model base"),
            "{refused}"
        );
        let unknown = operator
            .plan_stop(&stop("host-9"))
            .await
            .unwrap_err()
            .to_string();
        assert!(unknown.contains("host-9"), "{unknown}");
    });
}
