use crate::holders;
use crate::holders::Candidate;
use crate::lookups::Begin;
use crate::lookups::LOOKUP_TIMEOUT;
use crate::lookups::Lookups;
use crate::memory::StreamMemory;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_wire::frame::StreamOrigin;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Instant;

fn origin(stream: StreamId, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: "models".into(),
        software: software.into(),
    }
}

#[test]
fn first_origin_of_a_stream_stays() {
    let mut memory = StreamMemory::default();
    memory.record(origin(1, "v1"));
    memory.record(origin(1, "v2"));
    assert_eq!(memory.get(1), Some(&origin(1, "v1")));
    assert_eq!(memory.get(2), None);
}

#[test]
fn flood_of_streams_forgets_those_that_were_recorded_longest_ago() {
    let mut memory = StreamMemory::default();
    for stream in 0..100_000 {
        memory.record(origin(stream, "v1"));
        // Stream 7 is taken up now and then.
        if stream > 7 && stream % 1_000 == 0 {
            memory.record(origin(7, "v1"));
        }
    }
    assert_eq!(memory.len(), 16_384);
    assert!(memory.get(99_999).is_some());
    assert!(memory.get(7).is_some());
    assert!(memory.get(1).is_none());
}

#[test]
fn memory_is_bounded_when_one_stream_is_recorded_again_and_again() {
    let mut memory = StreamMemory::default();
    memory.record(origin(1, "v1"));
    for _ in 0..100_000 {
        memory.record(origin(2, "v2"));
    }
    assert!(memory.len() <= 2);
    assert_eq!(memory.get(2), Some(&origin(2, "v2")));
}

fn agents(count: usize, domains: usize) -> Vec<(usize, String, String)> {
    let agents = 0..count;
    let agent = |n| (n, format!("10.0.0.{n}:70"), format!("d{}", n % domains));
    agents.map(agent).collect()
}

fn candidates(agents: &[(usize, String, String)]) -> Vec<Candidate<'_, usize>> {
    let candidates = agents.iter().map(|(agent, name, domain)| Candidate {
        agent: *agent,
        name,
        domain,
    });
    candidates.collect()
}

#[rstest]
#[case::one_domain(8, 1, 3)]
#[case::two_domains(8, 2, 3)]
#[case::four_domains(18, 4, 3)]
#[case::two_agents(2, 2, 2)]
#[case::none(0, 1, 0)]
fn holders_stand_in_different_domains(
    #[case] count: usize,
    #[case] domains: usize,
    #[case] holders: usize,
) {
    let agents = agents(count, domains);
    for stream in 0..200 {
        let told = holders::to_tell(stream, candidates(&agents));
        assert_eq!(told.len(), holders);
        let mut told_domains: Vec<usize> = told.iter().map(|agent| agent % domains).collect();
        told_domains.sort_unstable();
        told_domains.dedup();
        assert_eq!(told_domains.len(), holders.min(domains));
    }
}

/// Entries that see different agents, any domain lost: the origin is found.
#[rstest]
#[case::small(18, 4)]
#[case::large(78, 6)]
#[case::fleet(600, 13)]
fn origin_is_found_at_other_entries_after_the_loss_of_a_domain(
    #[case] count: usize,
    #[case] domains: usize,
) {
    let agents = agents(count, domains);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for stream in 0..500 {
        // The entry that tells is connected to nine of ten agents.
        let reached: Vec<_> = candidates(&agents)
            .into_iter()
            .filter(|_| rng.random_range(0..10) > 0)
            .collect();
        let told = holders::to_tell(stream, reached);
        let lost_domain = rng.random_range(0..domains);
        let left = candidates(&agents)
            .into_iter()
            .filter(|candidate| candidate.agent % domains != lost_domain);
        let asked = holders::to_ask(stream, left);
        assert!(asked.len() <= 16);
        assert!(
            told.iter().any(|agent| asked.contains(agent)),
            "stream {stream}: told {told:?}, asked {asked:?}"
        );
    }
}

#[test]
fn lookup_ends_when_the_origin_is_known() {
    let now = Instant::now();
    let mut lookups = Lookups::default();
    assert_eq!(lookups.begin(now, 1, vec!['a', 'b'], "s2"), Begin::Ask);
    assert_eq!(lookups.begin(now, 1, vec!['a', 'b'], "s3"), Begin::Waits);
    assert_eq!(lookups.on_unknown(1, 'a'), [""; 0]);
    assert_eq!(lookups.on_known(1), ["s2", "s3"]);
    assert_eq!(lookups.on_known(1), [""; 0]);
}

#[test]
fn lookup_ends_when_no_agent_is_left_that_may_know() {
    let now = Instant::now();
    let mut lookups = Lookups::default();
    lookups.begin(now, 1, vec!['a', 'b'], "s2");
    assert_eq!(lookups.on_unknown(1, 'c'), [""; 0]);
    assert_eq!(lookups.on_unknown(1, 'a'), [""; 0]);
    assert_eq!(lookups.on_unknown(1, 'a'), [""; 0]);
    assert_eq!(lookups.awaited_of('a'), [0; 0]);
    assert_eq!(lookups.awaited_of('b'), [1]);
    assert_eq!(lookups.on_unknown(1, 'b'), ["s2"]);
}

#[test]
fn lookup_waits_for_silent_agents_no_longer_than_its_timeout() {
    let now = Instant::now();
    let mut lookups = Lookups::default();
    lookups.begin(now, 1, vec!['a'], "s2");
    let almost = now + LOOKUP_TIMEOUT / 2;
    assert_eq!(lookups.take_expired(almost), [""; 0]);
    assert_eq!(lookups.take_expired(now + LOOKUP_TIMEOUT), ["s2"]);
    assert_eq!(lookups.on_known(1), [""; 0]);
}

#[test]
fn stream_is_unknown_if_nobody_can_be_asked() {
    let mut lookups: Lookups<char, &str> = Lookups::default();
    let begun = lookups.begin(Instant::now(), 1, Vec::new(), "s2");
    assert_eq!(begun, Begin::Unknown("s2"));
}

#[test]
fn flood_of_lookups_is_bounded() {
    let now = Instant::now();
    let mut lookups = Lookups::default();
    let begun = (0..10_000).map(|stream| lookups.begin(now, stream, vec!['a'], stream));
    let asked = begun.filter(|begun| *begun == Begin::Ask);
    assert_eq!(asked.count(), 1_024);
    let waits = (0..100).map(|waiter| lookups.begin(now, 0, vec!['a'], waiter));
    assert_eq!(waits.filter(|begun| *begun == Begin::Waits).count(), 15);
}
