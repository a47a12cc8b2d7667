//! Outages of the key-value service.

use dogwoodshunt_local::samples;
use dogwoodshunt_operator::client::ClientError;
use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::caller::CallerOutcome;
use dogwoodshunt_proof::caller::CallerRequest;
use smol::Timer;
use std::time::Duration;

/// Duration of an outage, longer than the entries' default freshness limit.
const OUTAGE: Duration = Duration::from_secs(5);

#[test]
fn fleet_serves_models_and_refuses_releases_and_keys_while_the_kv_service_is_down() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.add_adapters("n1", &["roast"], "1").await;
        // Witnesses are appointed only shortly after the entries are ready.
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
        let revision = cluster.operator(0).status().await.unwrap().revision;
        cluster.wait_in_force(revision).await;
        cluster.set_kv_fault("down").await;
        Timer::after(OUTAGE).await;
        let outcome = cluster
            .caller(0)
            .send(&CallerRequest::for_adapter("t1", "roast"))
            .await;
        assert!(outcome.is_answered(), "{outcome:?}\n{}", cluster.logs());

        let refused = samples::submit_adapters(&cluster.operator(0), "n2", &["lathe"], "1").await;
        let Err(ClientError::Api { response }) = refused else {
            panic!("release during an outage: expected a fault, got {refused:?}");
        };
        assert!(
            !response.outcome_unknown && response.retry_after.is_some(),
            "{response:?}"
        );

        let keyed_request = CallerRequest {
            idempotency_key: Some("k1".into()),
            ..CallerRequest::for_service("t2", "dispatch")
        };
        let outcome = cluster.caller(0).send(&keyed_request).await;
        let CallerOutcome::NotRun {
            status,
            retry_after,
        } = outcome
        else {
            panic!("{outcome:?}");
        };
        assert_eq!(status, 503);
        assert!(retry_after.is_some());

        cluster.set_kv_fault("none").await;
        cluster.add_adapters("n3", &["lathe"], "1").await;
        let outcome = cluster
            .caller(1)
            .send(&CallerRequest::for_adapter("t3", "lathe"))
            .await;
        assert!(outcome.is_answered(), "{outcome:?}");
    });
}

#[test]
fn release_is_stored_once_when_the_response_to_its_write_is_lost() {
    smol::block_on(async {
        let cluster = Cluster::start(&ClusterConfig::default()).await.unwrap();
        cluster.set_kv_fault("answer_lost").await;
        let added = samples::submit_adapters(&cluster.operator(0), "n1", &["roast"], "1").await;
        let first = added.unwrap().entry;
        cluster.set_kv_fault("none").await;
        let repeated = samples::submit_adapters(&cluster.operator(1), "n1", &["roast"], "1").await;
        assert_eq!(repeated.unwrap().entry, first);
        let log = cluster.operator(0).log_page(0).await.unwrap().entries;
        assert_eq!(log.iter().filter(|entry| &*entry.id == "n1").count(), 1);
    });
}
