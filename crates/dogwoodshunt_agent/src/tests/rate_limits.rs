//! Rate limits that upstreams name in their responses.

use super::run_against;
use crate::control::ControlEvent;
use dogwoodshunt_types::RateLimit;
use rstest::rstest;

#[rstest]
#[case::named(
    "x-dogwoodshunt-rate-limit: 1.5\r\n",
    false,
    Some(RateLimit::per_second(1.5))
)]
#[case::named_again(
    "x-dogwoodshunt-rate-limit: 1.5\r\n",
    true,
    Some(RateLimit::per_second(1.5))
)]
#[case::never_named("", false, None)]
#[case::not_named_any_more("", true, Some(None))]
#[case::malformed("x-dogwoodshunt-rate-limit: many\r\n", false, None)]
fn limit_in_a_response_reaches_the_control_thread(
    #[case] header: &str,
    #[case] rate_limited: bool,
    #[case] expected: Option<Option<RateLimit>>,
) {
    let response = format!("HTTP/1.1 200 OK\r\n{header}content-length: 2\r\n\r\nok");
    let (_, events) = run_against(response, rate_limited);
    let limits = events.into_iter().filter_map(|event| match event {
        ControlEvent::RateLimitNamed { limit, .. } => Some(limit),
        _ => None,
    });
    let limits: Vec<Option<RateLimit>> = limits.collect();
    assert_eq!(limits, Vec::from_iter(expected));
}
