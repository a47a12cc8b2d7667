//! Tests of the runtime.

use crate::limits::LimitSettings;
use crate::traffic;
use rstest::rstest;
use std::time::Duration;

/// One request that fails unexpectedly must not stop the others of its process.
#[test]
fn task_that_panics_ends_alone_and_drops_what_it_owns() {
    let (executor, _threads) = traffic::start(1).unwrap();
    let (held, dropped) = async_channel::bounded::<()>(1);
    let (progress_tx, progress_rx) = async_channel::unbounded();
    let before = progress_tx.clone();
    let other = async move {
        for step in 0..3 {
            before.send(step).await.unwrap();
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    };
    executor.spawn(other).detach();
    for _ in 0..3 {
        let held = held.clone();
        let panics = async move {
            let _held = held;
            smol::Timer::after(Duration::from_millis(5)).await;
            panic!("a task of the test panics");
        };
        executor.spawn(panics).detach();
    }
    drop((held, progress_tx));
    smol::block_on(async {
        let mut steps = 0;
        while progress_rx.recv().await.is_ok() {
            steps += 1;
        }
        assert_eq!(steps, 3);
        assert!(dropped.recv().await.is_err());
        let later = executor.spawn(async { 7 });
        assert_eq!(later.await, 7);
    });
}

/// Guards against limits on clients that are out of range, or that contradict each other.
#[rstest]
#[case::none("{}", None)]
#[case::smallest_host(r#"{"memory_mb": 112, "descriptors": 2870}"#, None)]
#[case::fraction(r#"{"memory_mb": 112.5}"#, None)]
#[case::no_memory(r#"{"memory_mb": 1}"#, Some("limits.memory_mb"))]
#[case::too_few_descriptors(r#"{"descriptors": 100}"#, Some("limits.descriptors"))]
#[case::too_many_connections(
    r#"{"memory_mb": 112, "connections": 5000}"#,
    Some("limits.connections")
)]
#[case::hasty(r#"{"body_stall_ms": 10}"#, Some("limits.body_stall_ms"))]
fn limits_on_clients_are_checked(#[case] text: &str, #[case] invalid: Option<&str>) {
    let settings: LimitSettings = serde_json::from_str(text).expect("settings");
    let field = settings.validate().err().map(|invalid| invalid.field);
    assert_eq!(field.as_deref(), invalid);
}
