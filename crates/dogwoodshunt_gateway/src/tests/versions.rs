//! Declared versions that agents are told of.

use super::TestEntry;
use super::record;
use crate::control::ControlEvent;
use crate::watch::Topic;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_wire::Frame;
use std::collections::BTreeSet;

/// Most versions that one frame may hold.
const MAX_PER_FRAME: usize = 500;

impl TestEntry {
    /// Lists versions of the adapters with the numbers below `count`.
    fn list_versions(&mut self, count: u32) {
        let record_of = |number: u32| {
            let key = format!("op/version/a{number:05}");
            record(&key, &format!("version a{number:05}@2"), 5)
        };
        self.handle(ControlEvent::StoreListed {
            topic: Topic::Operator,
            listing: Listing {
                records: (0..count).map(record_of).collect(),
                position: StorePosition {
                    era: 0,
                    revision: 5,
                },
            },
        });
    }

    /// Returns the versions in each configuration that was sent to the agent at `index` since the
    /// last call, and the number of the last heartbeat if there was one.
    fn take_versions(&self, index: usize) -> (Vec<Vec<String>>, Option<u64>) {
        let (mut configs, mut heartbeat) = (Vec::new(), None);
        for frame in std::iter::from_fn(|| self.agents[index].1.try_recv().ok()) {
            match frame {
                Frame::UpstreamConfig(config) => {
                    let versions = config.versions.iter();
                    configs.push(versions.map(ToString::to_string).collect());
                }
                Frame::Heartbeat(sent) => heartbeat = Some(sent.number),
                _ => {}
            }
        }
        (configs, heartbeat)
    }

    /// Connects the first agent anew and returns its index among the connections.
    fn reconnect(&mut self) -> usize {
        let agent = self.agents[0].0;
        self.handle(ControlEvent::AgentDisconnected { agent });
        self.connect_agent(agent);
        self.agents.len() - 1
    }

    /// Returns all versions that a new connection brings, each frame of them echoed.
    fn versions_on_connection(&mut self) -> BTreeSet<String> {
        let index = self.reconnect();
        let agent = self.agents[index].0;
        let mut known = BTreeSet::new();
        loop {
            let (configs, heartbeat) = self.take_versions(index);
            let frames = configs.iter().filter(|versions| !versions.is_empty());
            assert!(frames.count() <= 1, "more than one frame at a time");
            assert!(
                configs
                    .iter()
                    .all(|versions| versions.len() <= MAX_PER_FRAME)
            );
            let before = known.len();
            known.extend(configs.into_iter().flatten());
            if known.len() == before {
                return known;
            }
            let heartbeat = heartbeat.expect("a heartbeat after the versions");
            // A heartbeat that was sent before brings nothing.
            self.receive_heartbeat(agent, |sent| sent.echo = heartbeat - 1);
            assert!(self.take_versions(index).0.is_empty());
            self.receive_heartbeat(agent, |sent| sent.echo = heartbeat);
        }
    }
}

/// Guards against a list of versions in one frame, behind which heartbeats wait until the agent
/// gives the entry up.
#[test]
fn agent_that_connects_gets_all_versions_in_frames_of_a_bounded_size() {
    for count in [0, 1, 499, 500, 501, 1_000, 2_345] {
        let mut entry = TestEntry::new();
        entry.list_versions(count);
        let known = entry.versions_on_connection();
        assert_eq!(known.len(), count as usize);
        // A connection that ends early loses nothing.
        let index = entry.reconnect();
        entry.take_versions(index);
        assert_eq!(entry.versions_on_connection(), known);
    }
}

/// Guards against the whole list for each version that is declared.
#[test]
fn agents_get_only_the_versions_that_are_declared() {
    let mut entry = TestEntry::new();
    entry.list_versions(2_000);
    entry.versions_on_connection();
    let last = entry.agents.len() - 1;
    for index in [1, last] {
        entry.take_versions(index);
    }
    entry.put_record(Topic::Operator, "op/version/a00007", "version a00007@3");
    for index in [1, last] {
        assert_eq!(entry.take_versions(index).0, [["a00007@3"]]);
    }
    // One frame for all that one answer of the store brings.
    let put = |key: &str, value: &str| KeyChange::Put(record(key, value, 9));
    entry.handle(ControlEvent::StoreChanged {
        topic: Topic::Operator,
        changes: vec![
            put("op/version/a00008", "version a00008@3"),
            put("op/version/b", "version b@1"),
        ],
    });
    assert_eq!(entry.take_versions(last).0, [["a00008@3", "b@1"]]);
    // Neither an older version nor a new configuration repeats any.
    entry.put_record(Topic::Operator, "op/version/a00007", "version a00007@2");
    entry.put_record(Topic::Operator, "op/config", "config 2");
    assert_eq!(entry.take_versions(last).0, [Vec::<String>::new()]);
}

/// A version that is declared while the list is being sent does not wait for its turn.
#[test]
fn version_declared_meanwhile_is_sent_at_once() {
    let mut entry = TestEntry::new();
    entry.list_versions(2_000);
    let index = entry.reconnect();
    entry.take_versions(index);
    entry.put_record(Topic::Operator, "op/version/a01999", "version a01999@3");
    assert_eq!(entry.take_versions(index).0, [["a01999@3"]]);
}

/// More versions than one frame may hold, at an agent that is connected.
#[test]
fn many_versions_declared_at_once_are_sent_in_bounded_frames_too() {
    let mut entry = TestEntry::new();
    entry.take_versions(0);
    entry.list_versions(1_200);
    let (configs, _) = entry.take_versions(0);
    let lens: Vec<usize> = configs.iter().map(Vec::len).collect();
    assert_eq!(lens, [MAX_PER_FRAME]);
}
