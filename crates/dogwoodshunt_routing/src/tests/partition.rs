//! Tests of the soft partition of engines between long prompts and long streams.

use crate::agent::Agent;
use crate::agent::AgentKey;
use crate::partition::Partition;
use crate::partition::RequestClass;
use dogwoodshunt_residency::Demand;
use rstest::rstest;
use slotmap::SlotMap;
use std::time::Duration;
use std::time::Instant;

const GAP: Duration = Duration::from_millis(500);

fn demand(prompt_tokens: u32, output_tokens: u32) -> Demand {
    Demand {
        prompt_tokens,
        output_tokens,
        ..Demand::default()
    }
}

fn agents(services: &[(&str, usize)]) -> SlotMap<AgentKey, Agent> {
    let mut agents = SlotMap::with_key();
    for (service, count) in services {
        for number in 0..*count {
            let mut agent = Agent::new(format!("{service}-{number}").into());
            agent.service = Some((*service).into());
            agents.insert(agent);
        }
    }
    agents
}

/// Returns a partition that has seen `prompts` long prompts and `streams` long streams.
fn partition(now: Instant, prompts: usize, streams: usize) -> Partition {
    let mut partition = Partition::default();
    for _ in 0..prompts {
        partition.record(now, RequestClass::LongPrompt, &demand(9_190, 50), 6_500);
    }
    for _ in 0..streams {
        partition.record(now, RequestClass::LongStream, &demand(826, 290), 826);
    }
    partition
}

/// Guards against short prompts, cached prompts or short responses that are tied to a part of the
/// engines.
#[rstest]
#[case::long_prompt(demand(9_190, 50), 9_190, Some(GAP), RequestClass::LongPrompt)]
#[case::cached_prompt(demand(9_190, 50), 2_890, Some(GAP), RequestClass::Neutral)]
#[case::long_prompt_and_stream(demand(9_190, 290), 9_190, Some(GAP), RequestClass::LongPrompt)]
#[case::long_stream(demand(826, 290), 826, Some(GAP), RequestClass::LongStream)]
#[case::short_stream(demand(826, 50), 826, Some(GAP), RequestClass::Neutral)]
#[case::no_stream(demand(9_190, 290), 9_190, None, RequestClass::Neutral)]
#[case::long_limit(demand(9_190, 50), 9_190, Some(GAP * 4), RequestClass::Neutral)]
fn class_follows_the_gap_that_the_prompt_can_make(
    #[case] demand: Demand,
    #[case] uncached: u64,
    #[case] max_event_gap: Option<Duration>,
    #[case] expected: RequestClass,
) {
    let mut partition = Partition::default();
    partition.set_slowdowns(vec![1.25, 2.5, 2.5]);
    let class = partition.classify(&demand, uncached, max_event_gap);
    assert_eq!(class, expected);
}

/// Guards against a partition of engines that have no transient slowdowns, or have not learned of
/// any.
#[rstest]
#[case::not_learned(Vec::new())]
#[case::steady(vec![1.4; 10])]
#[case::single_outlier(vec![1.3, 1.3, 1.3, 1.3, 1.3, 1.3, 1.3, 2.5])]
fn requests_have_no_class_without_learned_slowdowns(#[case] learned: Vec<f64>) {
    let mut partition = Partition::default();
    partition.set_slowdowns(learned);
    let class = partition.classify(&demand(30_000, 290), 30_000, Some(GAP));
    assert_eq!(class, RequestClass::Neutral);
}

/// Guards against engines that no kind of request prefers, and against a part that does not follow
/// the work.
#[test]
fn engines_are_divided_in_proportion_to_the_work() {
    let now = Instant::now();
    let agents = agents(&[("models", 40)]);
    let stream_engines = |prompts, streams| {
        let mut partition = partition(now, prompts, streams);
        partition.update_order(now, agents.iter());
        let prefers = |class, key| partition.is_preferred(class, key) == Some(true);
        for key in agents.keys() {
            assert_ne!(
                prefers(RequestClass::LongPrompt, key),
                prefers(RequestClass::LongStream, key)
            );
        }
        let keys = agents.keys();
        keys.filter(|key| prefers(RequestClass::LongStream, *key))
            .count()
    };
    let (few, even, many) = (
        stream_engines(80, 20),
        stream_engines(80, 83),
        stream_engines(20, 80),
    );
    assert!(4 <= few && few < even && even < many && many <= 36);
}

/// Guards against a deployment with one kind of request that would use a part of its engines only,
/// and against small services.
#[rstest]
#[case::prompts_only(40, 100, 0)]
#[case::streams_only(40, 0, 100)]
#[case::few_engines(7, 80, 83)]
fn engines_are_not_divided_without_need(
    #[case] engines: usize,
    #[case] prompts: usize,
    #[case] streams: usize,
) {
    let now = Instant::now();
    let agents = agents(&[("models", engines)]);
    let mut partition = partition(now, prompts, streams);
    partition.update_order(now, agents.iter());
    for key in agents.keys() {
        for class in [RequestClass::LongPrompt, RequestClass::LongStream] {
            assert_eq!(partition.is_preferred(class, key), None);
            assert!(partition.cost_s(class, key) == 0.0);
        }
    }
}

/// Guards against two entries that divide the engines in different ways.
#[test]
fn entries_with_the_same_work_prefer_the_same_engines() {
    let now = Instant::now();
    let (first, second) = (
        agents(&[("models", 20), ("others", 20)]),
        agents(&[("others", 20), ("models", 20)]),
    );
    let preferred = |agents: &SlotMap<AgentKey, Agent>| {
        let mut partition = partition(now, 80, 83);
        partition.update_order(now, agents.iter());
        let is_preferred =
            |key: &AgentKey| partition.is_preferred(RequestClass::LongStream, *key) == Some(true);
        let mut names: Vec<String> = agents
            .iter()
            .filter(|(key, _)| is_preferred(key))
            .map(|(_, agent)| agent.node.to_string())
            .collect();
        names.sort();
        names
    };
    assert_eq!(preferred(&first), preferred(&second));
}

fn partition_of(now: Instant, prompts: usize, streams: usize) -> f64 {
    let partition = partition(now, prompts, streams);
    partition.stream_part().expect("both kinds")
}

/// Guards against a proportion that stays after the load has changed.
#[test]
fn proportion_follows_a_change_of_the_load() {
    let now = Instant::now();
    let mut partition = partition(now, 80, 20);
    let before = partition.stream_part().expect("both kinds");
    let later = now + Duration::from_secs(20);
    for _ in 0..80 {
        partition.record(later, RequestClass::LongStream, &demand(826, 290), 826);
    }
    let after = partition.stream_part().expect("both kinds");
    let without_decay = partition_of(now, 80, 100);
    assert!(
        after > without_decay + 0.1,
        "{before} {after} {without_decay}"
    );
}
