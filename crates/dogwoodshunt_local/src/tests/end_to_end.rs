//! End-to-end tests of requests through entry, agent and engine.

use crate::FleetConfig;
use crate::LocalFleet;
use crate::samples;
use dogwoodshunt_border::http::body;
use dogwoodshunt_runtime::telemetry;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

async fn start_fleet_with_adapter() -> LocalFleet {
    let fleet = LocalFleet::start(&FleetConfig::default(), &telemetry::discard_logger())
        .await
        .unwrap();
    let operator = fleet.operator(0);
    operator.wait_until_ready().await;
    let added = samples::submit_adapters(&operator, "n1", &["roast"], "1")
        .await
        .unwrap();
    assert!(added.replication_status.accepted);
    fleet
}

async fn post(fleet: &LocalFleet, path: &str, body: &Value) -> (u16, HeaderMap, String) {
    let address: SocketAddr = fleet.caller_addresses[0];
    let req = Request::post(path)
        .header("host", "test")
        .body(Full::new(body.to_string().into()))
        .unwrap();
    let peer = address.to_string();
    let response = fleet.client.send("test", &peer, req).await.unwrap();
    let (head, incoming) = response.into_parts();
    let bytes = body::read(incoming, 1 << 20).await.unwrap();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    (head.status.as_u16(), head.headers, text)
}

#[test]
fn request_is_served_by_the_named_version_with_and_without_streaming() {
    smol::block_on(async {
        let fleet = start_fleet_with_adapter().await;
        let unary_request = json!({"model": "roast", "prompt": "p", "max_tokens": 3});
        let (status, headers, text) = post(&fleet, "/v1/completions", &unary_request).await;
        assert_eq!(status, 200, "{text}");
        assert_eq!(headers["x-dogwoodshunt-ran"], "roast@1");
        assert!(text.contains("p:0 1 2"), "{text}");
        let streaming_request = json!({"model": "roast@1", "messages": [{"role": "user", "content": "q"}],
            "max_tokens": 2, "stream": true});
        let (status, _, text) = post(&fleet, "/v1/chat/completions", &streaming_request).await;
        assert_eq!(status, 200);
        assert!(
            text.contains("q:0") && text.ends_with("data: [DONE]\n\n"),
            "{text}"
        );
    });
}

#[test]
fn invalid_request_gets_status_and_message_that_name_the_cause() {
    smol::block_on(async {
        let fleet = start_fleet_with_adapter().await;
        for (body, expected_status, expected_text) in [
            (json!({}), 400, "field model"),
            (json!({"model": 3}), 400, "field model"),
            (json!({"model": "roast", "stream": 1}), 400, "field stream"),
            (json!({"model": "lathe"}), 404, "not in the catalogue"),
            (json!({"model": "roast@2"}), 404, "not in the catalogue"),
        ] {
            let (status, headers, text) = post(&fleet, "/v1/completions", &body).await;
            assert_eq!(status, expected_status, "{text}");
            assert!(text.contains(expected_text), "{text}");
            assert_eq!(headers["x-dogwoodshunt-outcome"], "not-run");
        }
        let oversized_request = json!({"model": "roast", "prompt": "x".repeat(5 << 20)});
        let (status, _, _) = post(&fleet, "/v1/completions", &oversized_request).await;
        assert_eq!(status, 413);
    });
}
