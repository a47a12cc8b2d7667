//! Idempotency keys, and strangers at the door.

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::Shape;
use dogwoodshunt_proof::Tally;
use dogwoodshunt_proof::caller::Question;
use dogwoodshunt_proof::caller::Told;
use smol::Timer;
use std::time::Duration;

fn keyed(tag: &str, key: &str) -> Question {
    Question {
        key: Some(key.into()),
        ..Question::service(tag, "dispatch")
    }
}

#[test]
fn one_key_through_two_entries_runs_once_and_gets_one_answer() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        let tally = Tally::new();
        for n in 0..20 {
            let question = keyed(&format!("order-{n}"), &format!("key-{n}"));
            let (one, two) = (cluster.caller(0), cluster.caller(1));
            let both = smol::future::zip(one.ask(&question), two.ask(&question));
            let (first, second) = both.await;
            let told = [&first, &second];
            assert!(told.iter().any(|told| told.is_answered()), "{told:?}");
            let again = one.ask(&question).await;
            assert!(
                matches!(again, Told::Answered { replayed: true, .. }),
                "{again:?}"
            );
            tally.note(question.clone(), first);
            tally.note(question, second);
        }
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn key_of_a_dead_entry_is_never_run_again() {
    smol::block_on(async {
        let mut cluster = Cluster::start(&Shape::default()).await.unwrap();
        let tally = Tally::new();
        let mut asked = Vec::new();
        for n in 0..30 {
            let (caller, tally) = (cluster.caller(1), tally.clone());
            let question = keyed(&format!("order-{n}"), &format!("key-{n}"));
            asked.push(cluster.traffic.spawn(async move {
                let told = caller.ask(&question).await;
                tally.note(question, told);
            }));
        }
        Timer::after(Duration::from_millis(15)).await;
        cluster.entries[1].process.take().unwrap().kill().unwrap();
        for task in asked {
            task.await;
        }
        for n in 0..30 {
            let question = keyed(&format!("order-{n}"), &format!("key-{n}"));
            let told = cluster.caller(0).ask(&question).await;
            tally.note(question, told);
        }
        println!("dead entry: {}", tally.counts());
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn claim_whose_answer_is_lost_runs_once() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        cluster.set_kv_fault("answer_lost").await;
        let tally = Tally::new();
        let question = keyed("order", "key");
        for entry in [0, 1, 0] {
            let told = cluster.caller(entry).ask(&question).await;
            tally.note(question.clone(), told);
        }
        assert!(tally.notes()[0].1.is_answered(), "{:?}", tally.notes());
        let violations = tally.violations(&cluster).await;
        assert!(violations.is_empty(), "{violations:#?}");
    });
}

#[test]
fn key_used_for_another_request_is_refused() {
    smol::block_on(async {
        let cluster = Cluster::start(&Shape::default()).await.unwrap();
        let first = cluster.caller(0).ask(&keyed("order-1", "key")).await;
        assert!(first.is_answered(), "{first:?}");
        let other = cluster.caller(1).ask(&keyed("order-2", "key")).await;
        assert!(
            matches!(other, Told::NotRun { status: 422, .. }),
            "{other:?}"
        );
    });
}
