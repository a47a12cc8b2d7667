//! Messages between entries and agents.

use bytes::Bytes;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::snapshot::Shard;
use dogwoodshunt_freshness::FreshnessSummary;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Version of the frames; both sides must speak the same.
pub const PROTOCOL: u32 = 3;

/// Bytes of answer that an agent may have unacknowledged per request.
pub const WINDOW_BYTES: usize = 256 * 1024;

/// Who a process is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Name from its settings.
    pub node: NodeId,
    /// Boot of the process.
    pub boot: BootId,
    /// Failure domain from its settings.
    pub domain: FailureDomain,
}

/// One message between an entry and an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Entry to agent: the caller has the answer up to `next`.
    Ack {
        /// Attempt that is answered.
        request: RequestId,
        /// Number of the first chunk that the entry does not hold.
        next: u64,
    },
    /// Entry to agent: asks for room for a run that the entry makes itself.
    Admit(Box<Admit>),
    /// Agent to entry: the run may start now.
    Admitted {
        /// Attempt that may start.
        request: RequestId,
        /// Upstream that has room for it.
        upstream: UpstreamName,
        /// What is ready there; its version may be newer than the one asked for.
        target: Target,
    },
    /// Both ways: heartbeat.
    Beat(Box<Beat>),
    /// Entry to agent: the caller has gone.
    Cancel {
        /// Attempt to stop.
        request: RequestId,
    },
    /// Agent to entry: a part of the answer's body.
    Chunk {
        /// Attempt that is answered.
        request: RequestId,
        /// Number of the chunk, from 0.
        number: u64,
        /// Bytes of the body.
        data: Bytes,
    },
    /// Agent to entry: first message on a connection.
    Challenge(Challenge),
    /// Entry to agent: an admitted run is over.
    Done {
        /// Attempt that ran.
        request: RequestId,
        /// Whether the upstream said that it holds no such adapter.
        adapter_missing: bool,
    },
    /// Agent to entry: the answer is complete.
    End {
        /// Attempt that is answered.
        request: RequestId,
        /// Number of chunks in the answer.
        chunks: u64,
    },
    /// Both ways: log entries that the other side lacks.
    Entries {
        /// Entries in order, without a gap.
        entries: Vec<LogEntry>,
    },
    /// Agent to entry: the attempt ended without a whole answer.
    Failed {
        /// Attempt that failed.
        request: RequestId,
        /// What is known of it; never [`Outcome::NotRun`].
        outcome: Outcome,
        /// What went wrong, for the caller.
        message: Box<str>,
    },
    /// Entry to agent: the first byte of an admitted run's answer has come.
    FirstByte {
        /// Attempt that runs.
        request: RequestId,
    },
    /// Entry to agent: permission to load.
    Grant {
        /// Adapter that may be loaded.
        adapter: AdapterRef,
        /// How long the permission lasts after receipt.
        valid_for: Duration,
    },
    /// Agent to entry: status and headers of the answer.
    Head {
        /// Attempt that is answered.
        request: RequestId,
        /// Status and headers.
        head: AnswerHead,
    },
    /// Entry to agent: second message on a connection.
    Hello(Hello),
    /// Agent to entry: the attempt did not run and never will.
    NotRun {
        /// Attempt that is refused.
        request: RequestId,
        /// Why, and when to try again.
        not_run: NotRun,
    },
    /// Both ways: asks for the log entries after a revision.
    Pull {
        /// Revision of the asking side.
        after: Revision,
    },
    /// Entry to agent: continue an answer after a lost connection.
    Resume {
        /// Attempt that is answered.
        request: RequestId,
        /// Number of the first chunk that the entry does not hold.
        next: u64,
        /// Whether the entry holds status and headers.
        has_head: bool,
    },
    /// Both ways: part of a snapshot, for a side too far behind for entries.
    Snapshot {
        /// The part.
        shard: Box<Shard>,
    },
    /// Entry to agent: run a request.
    Submit(Box<Submit>),
    /// Entry to agent: what is in force for the agent's upstream.
    Terms(Box<Terms>),
    /// Agent to entry: third message on a connection.
    Welcome {
        /// Proof that the agent holds the shared key.
        proof: Proof,
    },
}

/// Proof of holding the shared key.
pub type Proof = [u8; 32];

/// First message on a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Challenge {
    /// Version of the frames that the agent speaks.
    pub protocol: u32,
    /// Random number that the entry's proof must cover.
    pub nonce: [u8; 32],
    /// Who the agent is.
    pub agent: Identity,
}

/// Second message on a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Version of the frames that the entry speaks.
    pub protocol: u32,
    /// Random number that the agent's proof must cover.
    pub nonce: [u8; 32],
    /// Who the entry is.
    pub entry: Identity,
    /// Proof that the entry holds the shared key.
    pub proof: Proof,
}

/// A request to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submit {
    /// This attempt.
    pub request: RequestId,
    /// Revision of the entry's catalogue when it chose the version.
    pub revision: Revision,
    /// What to run.
    pub target: Target,
    /// Class of the request.
    pub priority: Priority,
    /// Time left until the first byte is of no more use.
    pub time_left: Option<Duration>,
    /// Method of the upstream's HTTP request.
    pub method: Box<str>,
    /// Path and query of the upstream's HTTP request.
    pub path: Box<str>,
    /// Media type of the body.
    pub content_type: Option<Box<str>>,
    /// Body of the upstream's HTTP request.
    pub body: Bytes,
}

/// A run that an entry wants to make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Admit {
    /// This attempt.
    #[serde(rename = "q")]
    pub request: RequestId,
    /// What to run.
    #[serde(rename = "t")]
    pub target: Target,
    /// What the run costs the engine.
    #[serde(rename = "d")]
    pub demand: Demand,
    /// Time left until the first byte is late.
    #[serde(rename = "u")]
    pub due_in: Duration,
    /// Time left until the first byte is of no more use.
    #[serde(rename = "l")]
    pub time_left: Duration,
    /// Whether the run has already started, under an earlier connection.
    #[serde(rename = "s")]
    pub started: bool,
}

/// What is in force for the upstream of an agent, as an entry knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The upstream, once the entry knows it.
    pub upstream: Option<UpstreamIdentity>,
    /// What an engine of the service holds.
    pub engine: EngineTerms,
    /// Versions that were declared.
    pub versions: Vec<DeclaredVersion>,
}

/// Which start of an upstream a name stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamIdentity {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// When it started, by its own clock; 0 if it does not tell.
    pub started: UnixMillis,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What an engine of a service holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTerms {
    /// Base model that the engine serves.
    pub base_model: Box<str>,
    /// Requests that run at once.
    pub batch: u32,
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Adapters that fit at once.
    pub slots: u32,
}

/// A version of an adapter that was declared to be in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclaredVersion {
    /// The adapter and its version.
    pub adapter: AdapterRef,
    /// Revision of the declaration.
    pub revision: Revision,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<Box<str>>,
    /// What ran: `NAME@VERSION` or `services/NAME`.
    pub ran: Box<str>,
}

/// Heartbeat.
///
/// Its fields have short names on the network, since it is sent all the time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// Number of this heartbeat on its connection, from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of the newest heartbeat received on the connection; 0 for none.
    #[serde(rename = "c")]
    pub echo: u64,
    /// What the sender has heard.
    #[serde(rename = "s")]
    pub summary: FreshnessSummary,
    /// Whether the sender trusts its catalogue.
    #[serde(rename = "f")]
    pub fresh: bool,
    /// Whether the sender is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Whether the sending entry decides which loads come next.
    #[serde(rename = "g")]
    pub granter: bool,
    /// Whether the sender runs no request.
    #[serde(rename = "m")]
    pub empty: bool,
    /// Fencing number of the sending agent; 0 from an entry.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Load of the sending agent, or what of it has changed.
    #[serde(rename = "r")]
    pub report: Option<ReportUpdate>,
    /// Entries that are connected to the sending agent; 0 from an entry.
    #[serde(default, rename = "x")]
    pub entries: u32,
    /// What the sending agent knows of entries; only now and then.
    #[serde(rename = "p")]
    pub peers: Vec<PeerState>,
}

/// What an agent knows of an entry that is connected to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerState {
    /// Who the entry is.
    pub entry: Identity,
    /// Newest revision that it is known to hold.
    pub revision: Revision,
}
