//! Idempotency keys across entries and failures.

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::ConsistencyChecker;
use dogwoodshunt_proof::caller::CallerOutcome;
use dogwoodshunt_proof::caller::CallerRequest;
use smol::Timer;
use std::time::Duration;

fn keyed_request(tag: &str, key: &str) -> CallerRequest {
    CallerRequest {
        idempotency_key: Some(key.into()),
        ..CallerRequest::for_service(tag, "dispatch")
    }
}

#[test]
fn requests_with_one_key_through_two_entries_run_once() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        let checker = ConsistencyChecker::new();
        for n in 0..20 {
            let request = keyed_request(&format!("order-{n}"), &format!("key-{n}"));
            let (one, two) = (cluster.caller(0), cluster.caller(1));
            let pair = smol::future::zip(one.send(&request), two.send(&request));
            let (first, second) = pair.await;
            let outcomes = [&first, &second];
            assert!(
                outcomes.iter().any(|outcome| outcome.is_answered()),
                "{outcomes:?}"
            );
            let repeated = one.send(&request).await;
            assert!(
                matches!(repeated, CallerOutcome::Answered { replayed: true, .. }),
                "{repeated:?}"
            );
            checker.record(request.clone(), first);
            checker.record(request, second);
        }
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn request_with_the_key_of_a_killed_entry_never_runs_again() {
    smol::block_on(async {
        let mut cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        let checker = ConsistencyChecker::new();
        let mut tasks = Vec::new();
        for n in 0..30 {
            let (caller, checker) = (cluster.caller(1), checker.clone());
            let request = keyed_request(&format!("order-{n}"), &format!("key-{n}"));
            tasks.push(cluster.traffic.spawn(async move {
                let outcome = caller.send(&request).await;
                checker.record(request, outcome);
            }));
        }
        Timer::after(Duration::from_millis(15)).await;
        cluster.entries[1].process.take().unwrap().kill().unwrap();
        for task in tasks {
            task.await;
        }
        for n in 0..30 {
            let request = keyed_request(&format!("order-{n}"), &format!("key-{n}"));
            let outcome = cluster.caller(0).send(&request).await;
            checker.record(request, outcome);
        }
        println!("killed entry: {}", checker.counts());
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn request_runs_once_when_responses_to_key_claims_are_lost() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.set_kv_fault("answer_lost").await;
        let checker = ConsistencyChecker::new();
        let request = keyed_request("order", "key");
        for entry in [0, 1, 0] {
            let outcome = cluster.caller(entry).send(&request).await;
            checker.record(request.clone(), outcome);
        }
        assert!(
            checker.records()[0].1.is_answered(),
            "{:?}",
            checker.records()
        );
        let violations = checker.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn key_reused_for_another_request_is_refused() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        let first = cluster
            .caller(0)
            .send(&keyed_request("order-1", "key"))
            .await;
        assert!(first.is_answered(), "{first:?}");
        let other = cluster
            .caller(1)
            .send(&keyed_request("order-2", "key"))
            .await;
        assert!(
            matches!(other, CallerOutcome::NotRun { status: 422, .. }),
            "{other:?}"
        );
    });
}
