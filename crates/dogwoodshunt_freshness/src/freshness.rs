//! Ages of what a node has heard from the service and from the witnesses.

use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// A witness: one boot of one node, as `NODE#BOOT`.
///
/// A restarted process has forgotten which revision it confirmed, so it is
/// another witness.
pub type WitnessId = Box<str>;

/// Returns the witness id of `boot` of `node`.
pub fn witness_id(node: &str, boot: BootId) -> WitnessId {
    format!("{node}#{boot:016x}").into()
}

/// Returns the node of a witness.
pub fn witness_node(witness: &str) -> NodeId {
    witness.split('#').next().unwrap_or(witness).into()
}

/// What a node tells its peers about what it has heard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Revision of the sender's catalogue.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Age of what the sender knows of the service, in milliseconds.
    #[serde(rename = "s")]
    pub service_age_ms: Option<u32>,
    /// Revision of the log entry that named the witnesses.
    #[serde(rename = "e")]
    pub electorate: Revision,
    /// What the sender knows of each witness, in the order of the log entry,
    /// then of each outgoing one.
    #[serde(rename = "w")]
    pub witnesses: Vec<WitnessState>,
}

/// What a node knows of one witness.
///
/// It travels as a pair, since every heartbeat carries one for each witness.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(Option<u32>, Revision)", into = "(Option<u32>, Revision)")]
pub struct WitnessState {
    /// Age of the witness's last word, in milliseconds.
    pub age_ms: Option<u32>,
    /// Newest revision that the witness is known to hold.
    pub revision: Revision,
}

impl From<(Option<u32>, Revision)> for WitnessState {
    fn from((age_ms, revision): (Option<u32>, Revision)) -> Self {
        Self { age_ms, revision }
    }
}

impl From<WitnessState> for (Option<u32>, Revision) {
    fn from(state: WitnessState) -> Self {
        (state.age_ms, state.revision)
    }
}

/// What became of a peer's summary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The peer is ahead; its newer entries must be pulled first.
    Behind,
    /// The summary was taken in.
    Merged,
}

#[derive(Clone, Debug)]
struct Heard {
    witness: WitnessId,
    at: Option<Instant>,
    revision: Revision,
}

/// What one node has heard, and when.
#[derive(Clone, Debug)]
pub struct Freshness {
    me: WitnessId,
    limit: Duration,
    service: Option<Instant>,
    electorate: Revision,
    witnesses: Vec<Heard>,
    outgoing: Vec<Heard>,
    newest_boots: HashMap<NodeId, BootId>,
}

impl Freshness {
    /// Creates a node that has heard nothing yet.
    pub fn new(me: WitnessId, limit: Duration) -> Self {
        Self {
            me,
            limit,
            service: None,
            electorate: 0,
            witnesses: Vec::new(),
            outgoing: Vec::new(),
            newest_boots: HashMap::new(),
        }
    }

    /// Returns the age at which a node stops trusting its catalogue.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Takes over the witnesses that log entry `electorate` names.
    ///
    /// `outgoing` are those that it replaces, until the change is settled.
    pub fn set_witnesses(
        &mut self,
        electorate: Revision,
        witnesses: &[WitnessId],
        outgoing: &[WitnessId],
    ) {
        if electorate == self.electorate && outgoing.len() == self.outgoing.len() {
            return;
        }
        let mut before = std::mem::take(&mut self.witnesses);
        before.append(&mut self.outgoing);
        let carry_over = |witness: &WitnessId| {
            let held = before.iter().find(|heard| heard.witness == *witness);
            held.cloned().unwrap_or_else(|| Heard {
                witness: witness.clone(),
                at: None,
                revision: 0,
            })
        };
        self.witnesses = witnesses.iter().map(carry_over).collect();
        self.outgoing = outgoing.iter().map(carry_over).collect();
        self.electorate = electorate;
    }

    /// Records that `boot` of `node` runs; witnesses of older boots are dead.
    pub fn on_boot(&mut self, node: &str, boot: BootId) {
        let newest = self.newest_boots.entry(node.into()).or_insert(boot);
        *newest = boot.max(*newest);
    }

    /// Records that a read of the service, begun at `begun`, found `head`.
    ///
    /// The read proves nothing to a node that does not hold `head` yet.
    pub fn on_service(&mut self, begun: Instant, head: Revision, held: Revision) {
        if head <= held {
            self.service = self.service.max(Some(begun));
        }
    }

    /// Takes in a peer's summary.
    ///
    /// `asked` is when this node sent the message that the summary answers:
    /// the peer made its statement after that moment, so ages count from it.
    pub fn on_peer(
        &mut self,
        asked: Instant,
        peer: &str,
        summary: &Summary,
        held: Revision,
    ) -> Merge {
        self.note_revision(peer, summary.revision);
        self.merge_revisions(summary);
        if summary.revision > held {
            return Merge::Behind;
        }
        let told = summary.service_age_ms;
        self.service = self.service.max(told.and_then(|age| before(asked, age)));
        for heard in self.witnesses.iter_mut().chain(&mut self.outgoing) {
            if *heard.witness == *peer {
                heard.at = heard.at.max(Some(asked));
            }
        }
        if summary.electorate == self.electorate {
            let known = self.witnesses.iter_mut().chain(&mut self.outgoing);
            for (heard, state) in known.zip(&summary.witnesses) {
                heard.at = heard
                    .at
                    .max(state.age_ms.and_then(|age| before(asked, age)));
            }
        }
        Merge::Merged
    }

    /// Returns what to tell peers.
    pub fn summary(&self, now: Instant, held: Revision) -> Summary {
        Summary {
            revision: held,
            service_age_ms: self.service.map(|at| age_ms(now, at)),
            electorate: self.electorate,
            witnesses: self
                .witnesses
                .iter()
                .chain(&self.outgoing)
                .map(|heard| self.witness_state(now, heard, held))
                .collect(),
        }
    }

    /// Returns whether the catalogue may be trusted at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let as_of = self.fresh_as_of(now);
        as_of.is_some_and(|at| now.saturating_duration_since(at) < self.limit)
    }

    /// Returns the moment up to which this node has heard of everything accepted.
    pub fn fresh_as_of(&self, now: Instant) -> Option<Instant> {
        let heard = |heard: &Heard| {
            if heard.witness == self.me {
                Some(now)
            } else {
                heard.at
            }
        };
        let mut heard: Vec<Option<Instant>> = self.witnesses.iter().map(heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let majority = heard.get(self.witnesses.len() / 2).copied().flatten();
        majority.max(self.service)
    }

    /// Returns whether `revision` is accepted.
    ///
    /// It is once the witnesses that may be alive without holding it are no
    /// majority: then no node can be fresh by them alone. While witnesses are
    /// being replaced, the outgoing ones must have heard of their replacement.
    /// Without witnesses every node relies on the service, so an entry that
    /// stands in the log is accepted.
    pub fn is_confirmed(&self, revision: Revision, held: Revision) -> bool {
        let replaced = revision.min(self.electorate);
        self.cannot_outvote(&self.witnesses, revision, held)
            && self.cannot_outvote(&self.outgoing, replaced, held)
    }

    fn cannot_outvote(&self, witnesses: &[Heard], revision: Revision, held: Revision) -> bool {
        let ignorant = witnesses
            .iter()
            .filter(|heard| self.confirmed_by(heard, held) < revision)
            .filter(|heard| !self.is_dead(&heard.witness))
            .count();
        ignorant * 2 <= witnesses.len()
    }

    fn is_dead(&self, witness: &str) -> bool {
        let Some((node, boot)) = witness.split_once('#') else {
            return false;
        };
        let newest = self.newest_boots.get(node);
        newest.is_some_and(|newest| *boot < *format!("{newest:016x}"))
    }

    fn confirmed_by(&self, heard: &Heard, held: Revision) -> Revision {
        if heard.witness == self.me {
            held
        } else {
            heard.revision
        }
    }

    fn witness_state(&self, now: Instant, heard: &Heard, held: Revision) -> WitnessState {
        if heard.witness == self.me {
            return WitnessState {
                age_ms: Some(0),
                revision: held,
            };
        }
        WitnessState {
            age_ms: heard.at.map(|at| age_ms(now, at)),
            revision: heard.revision,
        }
    }

    fn note_revision(&mut self, witness: &str, revision: Revision) {
        for heard in self.witnesses.iter_mut().chain(&mut self.outgoing) {
            if *heard.witness == *witness {
                heard.revision = heard.revision.max(revision);
            }
        }
    }

    fn merge_revisions(&mut self, summary: &Summary) {
        if summary.electorate != self.electorate {
            return;
        }
        let known = self.witnesses.iter_mut().chain(&mut self.outgoing);
        for (heard, state) in known.zip(&summary.witnesses) {
            heard.revision = heard.revision.max(state.revision);
        }
    }
}

fn before(asked: Instant, age_ms: u32) -> Option<Instant> {
    asked.checked_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Returns the age of `at`, rounded up to whole milliseconds.
fn age_ms(now: Instant, at: Instant) -> u32 {
    let micros = now.saturating_duration_since(at).as_micros();
    u32::try_from(micros.div_ceil(1_000)).unwrap_or(u32::MAX)
}
