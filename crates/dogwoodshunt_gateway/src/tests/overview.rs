//! Tests of the operators' overview.

use crate::overview::Gauges;
use crate::overview::Overview;
use crate::overview::ProcessMetrics;
use crate::platform::DecodedRecord;
use crate::tests::config;
use dogwoodshunt_serving::registry::ListedUpstream;
use rstest::rstest;

fn listed(name: &str, service: &str) -> DecodedRecord {
    DecodedRecord::Upstream(ListedUpstream {
        name: name.into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".into(),
        started: 0,
        software: None,
        leaving: name.starts_with("leaving"),
    })
}

fn overview(metrics: &str) -> Overview {
    let mut overview = Overview::default();
    overview.add_record("config", DecodedRecord::Config(Box::new(config(7))));
    overview.add_record("e1", listed("e1", "models"));
    overview.add_record("leaving", listed("leaving", "models"));
    overview.add_record("p1", listed("p1", "records"));
    overview.add_process(ProcessMetrics {
        address: "10.0.0.1:9464".into(),
        gauges: Ok(Gauges::parse(metrics)),
    });
    overview
}

const CURRENT: &str = "# TYPE dogwoodshunt_config_revision gauge\n\
    dogwoodshunt_config_revision 7\ndogwoodshunt_agents_connected 2\n\
    dogwoodshunt_retries_total{service=\"a b\"} 3\n";

#[test]
fn consistent_platform_has_no_problems() {
    let overview = overview(CURRENT);
    assert!(overview.problems().is_empty(), "{:?}", overview.problems());
    let text = overview.to_string();
    for part in [
        "configuration 7:",
        "service models: 2 upstreams, 1 leaving",
        "service records: 1 upstreams, 0 leaving",
        "process 10.0.0.1:9464: agents_connected=2 config_revision=7",
    ] {
        assert!(text.contains(part), "{text}");
    }
}

#[rstest]
#[case::outdated_configuration(
    "dogwoodshunt_config_revision 6\n",
    "has configuration 6 in force, the store holds 7"
)]
#[case::agent_missing("dogwoodshunt_agents_connected 1\n", "connected to 1 of 2 agents")]
#[case::no_known_gauges("<html>\n", "serves none of the known gauges")]
#[case::value_not_a_number("dogwoodshunt_config_revision x\n", "serves none of the known gauges")]
fn process_problem_names_the_process(#[case] metrics: &str, #[case] problem: &str) {
    let problems = overview(metrics).problems();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].contains(problem), "{problems:?}");
    assert!(problems[0].contains("10.0.0.1:9464"), "{problems:?}");
}

#[test]
fn unreadable_records_and_unreachable_processes_are_problems() {
    let mut overview = overview(CURRENT);
    overview.add_record("odd", DecodedRecord::Unreadable("no service".into()));
    overview.add_process(ProcessMetrics {
        address: "10.0.0.2:9464".into(),
        gauges: Err("connection refused".into()),
    });
    let problems = overview.problems();
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems[0].contains("odd") && problems[0].contains("no service"));
    assert!(problems[1].contains("10.0.0.2:9464") && problems[1].contains("refused"));
    assert_eq!(Overview::default().problems().len(), 1);
}
