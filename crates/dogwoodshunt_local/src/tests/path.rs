//! Requests through entry, agent and engine.

use crate::Fleet;
use crate::Plan;
use crate::samples;
use dogwoodshunt_border::http::body;
use dogwoodshunt_runtime::telemetry;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

async fn start() -> Fleet {
    let fleet = Fleet::start(&Plan::default(), &telemetry::silent())
        .await
        .unwrap();
    let operator = fleet.operator(0);
    operator.wait_ready().await;
    let added = samples::add(&operator, "n1", &["roast"], "1")
        .await
        .unwrap();
    assert!(added.standing.accepted);
    fleet
}

async fn post(fleet: &Fleet, path: &str, body: &Value) -> (u16, HeaderMap, String) {
    let callers: SocketAddr = fleet.callers[0];
    let req = Request::post(path)
        .header("host", "test")
        .body(Full::new(body.to_string().into()))
        .unwrap();
    let peer = callers.to_string();
    let response = fleet.client.send("test", &peer, req).await.unwrap();
    let (head, incoming) = response.into_parts();
    let bytes = body::read(incoming, 1 << 20).await.unwrap();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    (head.status.as_u16(), head.headers, text)
}

#[test]
fn request_is_answered_plain_and_streamed_by_the_version_it_named() {
    smol::block_on(async {
        let fleet = start().await;
        let plain = json!({"model": "roast", "prompt": "p", "max_tokens": 3});
        let (status, headers, text) = post(&fleet, "/v1/completions", &plain).await;
        assert_eq!(status, 200, "{text}");
        assert_eq!(headers["x-dogwoodshunt-ran"], "roast@1");
        assert!(text.contains("p:0 1 2"), "{text}");
        let streamed = json!({"model": "roast@1", "messages": [{"role": "user", "content": "q"}],
            "max_tokens": 2, "stream": true});
        let (status, _, text) = post(&fleet, "/v1/chat/completions", &streamed).await;
        assert_eq!(status, 200);
        assert!(
            text.contains("q:0") && text.ends_with("data: [DONE]\n\n"),
            "{text}"
        );
    });
}

#[test]
fn bad_requests_get_clear_answers() {
    smol::block_on(async {
        let fleet = start().await;
        for (body, expected, part) in [
            (json!({}), 400, "field model"),
            (json!({"model": 3}), 400, "field model"),
            (json!({"model": "roast", "stream": 1}), 400, "field stream"),
            (json!({"model": "lathe"}), 404, "not in the catalogue"),
            (json!({"model": "roast@2"}), 404, "not in the catalogue"),
        ] {
            let (status, headers, text) = post(&fleet, "/v1/completions", &body).await;
            assert_eq!(status, expected, "{text}");
            assert!(text.contains(part), "{text}");
            assert_eq!(headers["x-dogwoodshunt-outcome"], "not-run");
        }
        let large = json!({"model": "roast", "prompt": "x".repeat(5 << 20)});
        let (status, _, _) = post(&fleet, "/v1/completions", &large).await;
        assert_eq!(status, 413);
    });
}
