//! Outages of the key-value service.

use dogwoodshunt_local::samples;
use dogwoodshunt_operator::client::CallError;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::Shape;
use dogwoodshunt_proof::caller::Question;
use dogwoodshunt_proof::caller::Told;
use smol::Timer;
use std::time::Duration;

/// Longer than the freshness limit.
const LONG: Duration = Duration::from_secs(5);

#[test]
fn fleet_serves_on_while_the_service_is_down_and_refuses_notes_and_keys_at_once() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast"], "1").await;
        // Witnesses are named a moment after the fleet has formed.
        while cluster
            .operator(0)
            .catalogue()
            .await
            .unwrap()
            .witnesses()
            .len()
            < 4
        {
            Timer::after(Duration::from_millis(50)).await;
        }
        let settled = cluster.operator(0).status().await.unwrap().revision;
        cluster.wait_in_force(settled).await;
        cluster.set_kv_fault("down").await;
        Timer::after(LONG).await;
        let told = cluster
            .caller(0)
            .ask(&Question::adapter("t1", "roast"))
            .await;
        assert!(told.is_answered(), "{told:?}\n{}", cluster.logs());

        let refused = samples::add(&cluster.operator(0), "n2", &["lathe"], "1").await;
        let Err(CallError::Fault { fault }) = refused else {
            panic!("accepted during an outage: {refused:?}");
        };
        assert!(!fault.unsure && fault.retry_after.is_some(), "{fault:?}");

        let keyed = Question {
            key: Some("k1".into()),
            ..Question::service("t2", "dispatch")
        };
        let told = cluster.caller(0).ask(&keyed).await;
        let Told::NotRun {
            status,
            retry_after,
        } = told
        else {
            panic!("{told:?}");
        };
        assert_eq!(status, 503);
        assert!(retry_after.is_some());

        cluster.set_kv_fault("none").await;
        cluster.add_adapters("n3", &["lathe"], "1").await;
        let told = cluster
            .caller(1)
            .ask(&Question::adapter("t3", "lathe"))
            .await;
        assert!(told.is_answered(), "{told:?}");
    });
}

#[test]
fn note_whose_answer_is_lost_stands_once() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.set_kv_fault("answer_lost").await;
        let added = samples::add(&cluster.operator(0), "n1", &["roast"], "1").await;
        let first = added.unwrap().entry;
        cluster.set_kv_fault("none").await;
        let again = samples::add(&cluster.operator(1), "n1", &["roast"], "1").await;
        assert_eq!(again.unwrap().entry, first);
        let log = cluster.operator(0).log(0).await.unwrap().entries;
        assert_eq!(log.iter().filter(|entry| &*entry.id == "n1").count(), 1);
    });
}
