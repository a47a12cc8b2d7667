//! Tracks when a node's catalogue was last confirmed to be up to date, and which
//! revisions the witnesses hold.

use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::Revision;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Id of a witness: one boot of one node, as `NODE#BOOT`.
///
/// A restarted process no longer holds the log entries that it reported before, so it
/// has a new id and does not count as the former witness.
pub type WitnessId = Box<str>;

/// Returns the witness id of boot `boot` of node `node`.
///
/// The boot is padded with zeros, so that the ids of one node sort by boot.
pub fn witness_id(node: &str, boot: BootId) -> WitnessId {
    format!("{node}#{boot:016x}").into()
}

/// Returns the node part of a witness id.
pub fn witness_node(witness: &str) -> NodeId {
    witness.split('#').next().unwrap_or(witness).into()
}

/// Freshness state that a node sends to its peers with every heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessSummary {
    /// Revision of the sender's catalogue.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Time since the sender's catalogue was last known to match the key-value service, in
    /// milliseconds; `None` if it never was.
    #[serde(rename = "s")]
    pub service_age_ms: Option<u32>,
    /// Revision of the log entry that set the witnesses known to the sender.
    #[serde(rename = "e")]
    pub witness_set_revision: Revision,
    /// State of each current witness, in the order of the log entry that set them, followed
    /// by the state of each outgoing witness.
    #[serde(rename = "w")]
    pub witnesses: Vec<WitnessState>,
}

/// State of one witness as known to the sender of a summary.
///
/// Serialized as a pair to keep heartbeats small: each carries one state per witness.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(Option<u32>, Revision)", into = "(Option<u32>, Revision)")]
pub struct WitnessState {
    /// Time since the witness last confirmed that the sender's catalogue is up to date, in
    /// milliseconds; `None` if it never did.
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

/// Result of merging a peer's summary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The peer's revision is newer than the local one; its log entries must be pulled
    /// before the summary can confirm freshness.
    PeerAhead,
    /// The summary was merged completely.
    Merged,
}

/// State of one witness as known to the local node.
#[derive(Clone, Debug)]
struct WitnessRecord {
    witness: WitnessId,
    /// Latest time at which the witness is known to have held no newer revision than the
    /// local node.
    confirmed_at: Option<Instant>,
    /// Newest revision that the witness is known to hold.
    revision: Revision,
}

/// Tracks the freshness of one node's catalogue and the acceptance of log entries.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    local_witness: WitnessId,
    limit: Duration,
    /// Latest time at which the local catalogue is known to have matched the service.
    service_confirmed_at: Option<Instant>,
    witness_set_revision: Revision,
    witnesses: Vec<WitnessRecord>,
    outgoing_witnesses: Vec<WitnessRecord>,
    /// Newest known boot of each node.
    newest_boots: HashMap<NodeId, BootId>,
}

impl FreshnessTracker {
    /// Creates the tracker of a node that has just started and is not fresh yet.
    ///
    /// `local_witness` is the node's own witness id, and `limit` the freshness limit.
    pub fn new(local_witness: WitnessId, limit: Duration) -> Self {
        Self {
            local_witness,
            limit,
            service_confirmed_at: None,
            witness_set_revision: 0,
            witnesses: Vec::new(),
            outgoing_witnesses: Vec::new(),
            newest_boots: HashMap::new(),
        }
    }

    /// Returns the freshness limit: the age from which on the catalogue is stale.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Sets the witnesses named by the log entry at revision `witness_set_revision`.
    ///
    /// `outgoing` are the former witnesses; it is empty once their replacement is complete.
    /// The records of witnesses that were in either set before are kept.
    pub fn set_witnesses(
        &mut self,
        witness_set_revision: Revision,
        witnesses: &[WitnessId],
        outgoing: &[WitnessId],
    ) {
        if witness_set_revision == self.witness_set_revision
            && outgoing.len() == self.outgoing_witnesses.len()
        {
            return;
        }
        let mut known_records = std::mem::take(&mut self.witnesses);
        known_records.append(&mut self.outgoing_witnesses);
        let carry_over = |witness: &WitnessId| {
            let known = known_records
                .iter()
                .find(|record| record.witness == *witness);
            known.cloned().unwrap_or_else(|| WitnessRecord {
                witness: witness.clone(),
                confirmed_at: None,
                revision: 0,
            })
        };
        self.witnesses = witnesses.iter().map(carry_over).collect();
        self.outgoing_witnesses = outgoing.iter().map(carry_over).collect();
        self.witness_set_revision = witness_set_revision;
    }

    /// Records that boot `boot` of `node` is running.
    ///
    /// A witness id with an older boot of the same node counts as ended.
    pub fn record_boot(&mut self, node: &str, boot: BootId) {
        let newest = self.newest_boots.entry(node.into()).or_insert(boot);
        *newest = boot.max(*newest);
    }

    /// Records that a read of the key-value service, started at `started_at`, returned
    /// `head_revision` as the newest revision of the log.
    ///
    /// The read confirms freshness only if the node holds that revision already.
    pub fn record_service_read(
        &mut self,
        started_at: Instant,
        head_revision: Revision,
        local_revision: Revision,
    ) {
        if head_revision <= local_revision {
            self.service_confirmed_at = self.service_confirmed_at.max(Some(started_at));
        }
    }

    /// Merges the summary that the peer with witness id `peer` sent.
    ///
    /// `sent_at` is when this node sent the message that the summary answers. The peer
    /// made the summary after that time, so ages in the summary count back from it; the
    /// clocks of both nodes need not agree.
    pub fn merge_summary(
        &mut self,
        sent_at: Instant,
        peer: &str,
        summary: &FreshnessSummary,
        local_revision: Revision,
    ) -> MergeOutcome {
        self.raise_witness_revision(peer, summary.revision);
        self.merge_witness_revisions(summary);
        if summary.revision > local_revision {
            return MergeOutcome::PeerAhead;
        }
        let service_age_ms = summary.service_age_ms;
        self.service_confirmed_at = self
            .service_confirmed_at
            .max(service_age_ms.and_then(|age_ms| subtract_age(sent_at, age_ms)));
        for record in self
            .witnesses
            .iter_mut()
            .chain(&mut self.outgoing_witnesses)
        {
            if *record.witness == *peer {
                record.confirmed_at = record.confirmed_at.max(Some(sent_at));
            }
        }
        if summary.witness_set_revision == self.witness_set_revision {
            let records = self
                .witnesses
                .iter_mut()
                .chain(&mut self.outgoing_witnesses);
            for (record, state) in records.zip(&summary.witnesses) {
                record.confirmed_at = record.confirmed_at.max(
                    state
                        .age_ms
                        .and_then(|age_ms| subtract_age(sent_at, age_ms)),
                );
            }
        }
        MergeOutcome::Merged
    }

    /// Returns the summary that the node sends to its peers at `now`.
    pub fn summary(&self, now: Instant, local_revision: Revision) -> FreshnessSummary {
        FreshnessSummary {
            revision: local_revision,
            service_age_ms: self.service_confirmed_at.map(|at| age_ms(now, at)),
            witness_set_revision: self.witness_set_revision,
            witnesses: self
                .witnesses
                .iter()
                .chain(&self.outgoing_witnesses)
                .map(|record| self.witness_state(now, record, local_revision))
                .collect(),
        }
    }

    /// Returns whether the catalogue is fresh at `now`, that is, younger than the
    /// freshness limit.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let as_of = self.fresh_as_of(now);
        as_of.is_some_and(|at| now.saturating_duration_since(at) < self.limit)
    }

    /// Returns the latest time as of which the catalogue is known to contain every accepted
    /// log entry.
    ///
    /// This is the later of two times: the last confirmation by the key-value service, and
    /// the time since which more than half of the witnesses have each confirmed. A node that
    /// is a witness itself counts as confirmed at `now`. Returns `None` if neither the service
    /// nor a majority has confirmed yet.
    pub fn fresh_as_of(&self, now: Instant) -> Option<Instant> {
        let confirmed_at = |record: &WitnessRecord| {
            if record.witness == self.local_witness {
                Some(now)
            } else {
                record.confirmed_at
            }
        };
        let mut newest_first: Vec<Option<Instant>> =
            self.witnesses.iter().map(confirmed_at).collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        let majority_confirmed_at = newest_first
            .get(self.witnesses.len() / 2)
            .copied()
            .flatten();
        majority_confirmed_at.max(self.service_confirmed_at)
    }

    /// Returns whether the log entry at `revision` is accepted.
    ///
    /// A log entry is accepted once the witnesses that may be alive without holding it are
    /// no majority: from then on no node can stay fresh by those witnesses alone. While
    /// witnesses are being replaced, the outgoing witnesses that may lack the entry that
    /// replaced them must be no majority either. Without witnesses, freshness comes from
    /// the service only, so every entry of the log is accepted.
    pub fn is_accepted(&self, revision: Revision, local_revision: Revision) -> bool {
        let replacement_revision = revision.min(self.witness_set_revision);
        self.no_majority_lacks(&self.witnesses, revision, local_revision)
            && self.no_majority_lacks(
                &self.outgoing_witnesses,
                replacement_revision,
                local_revision,
            )
    }

    /// Returns whether at most half of `witnesses` may be alive without holding `revision`.
    fn no_majority_lacks(
        &self,
        witnesses: &[WitnessRecord],
        revision: Revision,
        local_revision: Revision,
    ) -> bool {
        let lacking = witnesses
            .iter()
            .filter(|record| self.known_revision(record, local_revision) < revision)
            .filter(|record| !self.has_ended(&record.witness))
            .count();
        lacking * 2 <= witnesses.len()
    }

    /// Returns whether a newer boot of the witness's node has been seen.
    fn has_ended(&self, witness: &str) -> bool {
        let Some((node, boot)) = witness.split_once('#') else {
            return false;
        };
        let newest = self.newest_boots.get(node);
        newest.is_some_and(|newest| *boot < *format!("{newest:016x}"))
    }

    /// Returns the newest revision that the witness is known to hold.
    fn known_revision(&self, record: &WitnessRecord, local_revision: Revision) -> Revision {
        if record.witness == self.local_witness {
            local_revision
        } else {
            record.revision
        }
    }

    fn witness_state(
        &self,
        now: Instant,
        record: &WitnessRecord,
        local_revision: Revision,
    ) -> WitnessState {
        if record.witness == self.local_witness {
            return WitnessState {
                age_ms: Some(0),
                revision: local_revision,
            };
        }
        WitnessState {
            age_ms: record.confirmed_at.map(|at| age_ms(now, at)),
            revision: record.revision,
        }
    }

    fn raise_witness_revision(&mut self, witness: &str, revision: Revision) {
        for record in self
            .witnesses
            .iter_mut()
            .chain(&mut self.outgoing_witnesses)
        {
            if *record.witness == *witness {
                record.revision = record.revision.max(revision);
            }
        }
    }

    fn merge_witness_revisions(&mut self, summary: &FreshnessSummary) {
        if summary.witness_set_revision != self.witness_set_revision {
            return;
        }
        let records = self
            .witnesses
            .iter_mut()
            .chain(&mut self.outgoing_witnesses);
        for (record, state) in records.zip(&summary.witnesses) {
            record.revision = record.revision.max(state.revision);
        }
    }
}

fn subtract_age(at: Instant, age_ms: u32) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Returns the age of `at` in milliseconds, rounded up so that nothing seems fresher
/// than it is.
fn age_ms(now: Instant, at: Instant) -> u32 {
    let micros = now.saturating_duration_since(at).as_micros();
    u32::try_from(micros.div_ceil(1_000)).unwrap_or(u32::MAX)
}
