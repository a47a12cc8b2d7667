//! Each request that an entry has read ends with one line that has its outcome.

use dogwoodshunt_proof::Cluster;
use dogwoodshunt_proof::ClusterConfig;
use dogwoodshunt_proof::caller::CallerRequest;
use rstest::rstest;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// Time after which a caller leaves: long enough for the first tokens, and shorter than
/// [`LONG_RESPONSE`] takes.
const PATIENCE: Duration = Duration::from_secs(1);

/// Length of a response that its caller does not wait for, in tokens.
const LONG_RESPONSE: u32 = 1_000;

/// Time within which the last line of a request is written.
const LINE_LIMIT: Duration = Duration::from_secs(10);

async fn cluster_with_an_adapter() -> Cluster {
    let config = ClusterConfig {
        token_time: Duration::from_millis(100),
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(&config).await.expect("cluster");
    cluster.add_adapters("n1", &["roast"], "1").await;
    cluster
}

fn lines(cluster: &Cluster, event: &str) -> Vec<String> {
    let event = format!("event=\"{event}\" ");
    let logs = cluster.logs();
    let lines = logs.lines().filter(|line| line.contains(&event));
    lines.map(str::to_owned).collect()
}

/// Waits until there are `count` lines of `event`, checks that no other follows, and returns them.
///
/// A process writes its log in the background, so a line may follow the response that it is about.
async fn exact_lines(cluster: &Cluster, event: &str, count: usize) -> Vec<String> {
    let started_at = Instant::now();
    while lines(cluster, event).len() < count {
        assert!(started_at.elapsed() < LINE_LIMIT, "{}", cluster.logs());
        Timer::after(Duration::from_millis(20)).await;
    }
    // Another line would follow at once.
    Timer::after(Duration::from_millis(100)).await;
    let lines = lines(cluster, event);
    assert_eq!(lines.len(), count, "{lines:?}");
    lines
}

/// Waits for the line of `event`, checks that no other follows, and returns it.
async fn only_line(cluster: &Cluster, event: &str) -> String {
    exact_lines(cluster, event, 1).await.remove(0)
}

/// Sends a request whose caller leaves after [`PATIENCE`].
async fn send_and_leave(cluster: &Cluster, request: &CallerRequest) {
    let caller = cluster.caller(0);
    let sent = async {
        caller.send(request).await;
    };
    let left = async {
        Timer::after(PATIENCE).await;
    };
    sent.or(left).await;
}

#[rstest]
#[case::without_a_key(None)]
#[case::with_a_key(Some("k1"))]
fn request_whose_caller_leaves_before_the_response_has_a_last_line(#[case] key: Option<&str>) {
    smol::block_on(async {
        let cluster = cluster_with_an_adapter().await;
        let request = CallerRequest {
            idempotency_key: key.map(str::to_owned),
            max_tokens: LONG_RESPONSE,
            ..CallerRequest::for_adapter("left", "roast")
        };
        send_and_leave(&cluster, &request).await;
        let line = only_line(&cluster, "request").await;
        for field in ["outcome=caller-left", "waits_for=response", "attempts=1"] {
            assert!(line.contains(field), "{line}");
        }
    });
}

#[test]
fn stream_whose_caller_leaves_has_a_last_line() {
    smol::block_on(async {
        let cluster = cluster_with_an_adapter().await;
        let request = CallerRequest {
            stream: true,
            max_tokens: LONG_RESPONSE,
            ..CallerRequest::for_adapter("left", "roast")
        };
        send_and_leave(&cluster, &request).await;
        let line = only_line(&cluster, "request").await;
        assert!(line.contains("outcome=ran"), "{line}");
        let line = only_line(&cluster, "stream ended").await;
        assert!(line.contains("outcome=caller-left"), "{line}");
    });
}

#[test]
fn answered_and_refused_requests_have_a_last_line_each() {
    smol::block_on(async {
        let cluster = cluster_with_an_adapter().await;
        let request = CallerRequest {
            max_tokens: 1,
            ..CallerRequest::for_adapter("answered", "roast")
        };
        let outcome = cluster.caller(0).send(&request).await;
        assert!(outcome.is_answered(), "{outcome:?}");
        let line = only_line(&cluster, "request").await;
        assert!(line.contains("outcome=ran"), "{line}");

        let request = CallerRequest::for_adapter("refused", "unknown");
        let outcome = cluster.caller(1).send(&request).await;
        assert!(!outcome.is_answered(), "{outcome:?}");
        let lines = exact_lines(&cluster, "request", 2).await;
        assert!(lines[1].contains("outcome=not-run"), "{lines:?}");
    });
}
