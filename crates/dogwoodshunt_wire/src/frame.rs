//! Messages between entries and agents.

use bytes::Bytes;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::snapshot::SnapshotShard;
use dogwoodshunt_freshness::FreshnessSummary;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaRequest;
use dogwoodshunt_residency::Demand;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::demand::PromptPartId;
use dogwoodshunt_residency::report::ReportLoad;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::FailureDomain;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::WorkspaceName;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Version of the protocol; both sides of a connection must speak the same one.
pub const PROTOCOL_VERSION: u32 = 5;

/// Maximum number of response bytes per attempt that an agent sends before the entry acknowledges
/// them.
pub const MAX_UNACKNOWLEDGED_BYTES: usize = 256 * 1024;

/// Identity of an entry or agent process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Node name from the settings of the process.
    pub node: NodeId,
    /// Boot id of the process, which distinguishes its restarts.
    pub boot: BootId,
    /// Failure domain from the settings of the process.
    pub domain: FailureDomain,
}

/// One message between an entry and an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Entry to agent: the entry holds all chunks of the response before `next`.
    Ack {
        /// Attempt that the response belongs to.
        request: RequestId,
        /// Number of the first chunk that the entry does not yet hold.
        next: u64,
    },
    /// Entry to agent: requests admission of a run whose request the entry sends to the engine
    /// itself.
    Admit(Box<Admit>),
    /// Agent to entry: the run is admitted and may start.
    Admitted {
        /// Attempt that may start.
        request: RequestId,
        /// Upstream that has capacity for the run.
        upstream: UpstreamName,
        /// Start time of the process of the upstream, as known to the agent; 0 if it is not.
        #[serde(default, skip_serializing_if = "is_default")]
        started: UnixMillis,
        /// Service of the upstream; `None` if the agent does not know it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<ServiceName>,
        /// Target that is loaded on the upstream; its version may be newer than the requested one.
        target: Target,
    },
    /// Both directions: heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Entry to agent: the caller has disconnected.
    Cancel {
        /// Attempt to stop.
        request: RequestId,
    },
    /// Agent to entry: part of the response body.
    Chunk {
        /// Attempt that the response belongs to.
        request: RequestId,
        /// Number of the chunk, from 0.
        number: u64,
        /// Bytes of the response body.
        data: Bytes,
    },
    /// Agent to entry: first message of the handshake.
    Challenge(Challenge),
    /// Entry to agent: an admitted run has ended.
    Done {
        /// Attempt whose run has ended.
        request: RequestId,
        /// Whether the upstream reported that the adapter is not loaded.
        adapter_missing: bool,
        /// Whether the connection to the upstream was lost before the response was complete.
        #[serde(default, skip_serializing_if = "is_default")]
        broken_off: bool,
    },
    /// Agent to entry: the response is complete.
    End {
        /// Attempt that the response belongs to.
        request: RequestId,
        /// Number of chunks in the response.
        chunks: u64,
    },
    /// Both directions: log entries that the receiver lacks.
    Entries {
        /// Log entries with consecutive revisions, in ascending order.
        entries: Vec<LogEntry>,
    },
    /// Agent to entry: the attempt ended without a complete response.
    Failed {
        /// Attempt that failed.
        request: RequestId,
        /// Whether the request ran, as far as the agent knows; never [`RequestOutcome::NotRun`].
        outcome: RequestOutcome,
        /// Error message for the caller.
        message: Box<str>,
    },
    /// Entry to agent: the first byte of the response to an admitted run has arrived.
    FirstByte {
        /// Attempt whose response has started.
        request: RequestId,
    },
    /// Entry to agent: permission to load an adapter.
    Grant {
        /// Adapter that may be loaded.
        adapter: AdapterRef,
        /// Validity of the permission, counted from its receipt.
        valid_for: Duration,
    },
    /// Agent to entry: status and headers of the response.
    Head {
        /// Attempt that the response belongs to.
        request: RequestId,
        /// Status and headers of the response.
        head: ResponseHead,
    },
    /// Entry to agent: second message of the handshake.
    Hello(Hello),
    /// Agent to entry: changes of the load report since the previous frame that carried it.
    #[serde(rename = "L")]
    Load(Box<ReportLoad>),
    /// Agent to entry: the agent refuses the attempt, which has not run and will not run.
    NotRun {
        /// Refused attempt.
        request: RequestId,
        /// Reason for the refusal and delay before a retry.
        not_run: NotRun,
    },
    /// Both directions: requests the log entries after a revision.
    Pull {
        /// Revision of the sender's catalogue.
        after: Revision,
    },
    /// Agent to entry: answers of the ledger of the agent.
    #[serde(rename = "QG")]
    QuotaGrant(Box<QuotaGrant>),
    /// Entry to agent: registers with the ledger of the agent and asks for tokens.
    #[serde(rename = "Q")]
    QuotaRequest(Box<QuotaRequest>),
    /// Entry to agent: continue sending a response after a reconnect.
    Resume {
        /// Attempt that the response belongs to.
        request: RequestId,
        /// Number of the first chunk that the entry does not yet hold.
        next: u64,
        /// Whether the entry holds the status and headers of the response.
        has_head: bool,
    },
    /// Both directions: shard of a catalogue snapshot, for a receiver that is too far behind to
    /// catch up by log entries.
    Snapshot {
        /// Shard of the snapshot.
        shard: Box<SnapshotShard>,
    },
    /// Entry to agent: the agent sends a request to its upstream.
    Submit(Box<Submit>),
    /// Entry to agent: current configuration of the agent's upstream.
    #[serde(rename = "Terms")]
    UpstreamConfig(Box<UpstreamConfig>),
    /// Agent to entry: third message of the handshake.
    Welcome {
        /// Proof that the agent holds the shared key.
        proof: Proof,
    },
}

/// HMAC-SHA-256 that proves that a side holds the shared key.
pub type Proof = [u8; 32];

/// First message of the handshake, from the agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Challenge {
    /// Protocol version that the agent speaks.
    pub protocol: u32,
    /// Nonce that the entry's proof must cover.
    pub nonce: [u8; 32],
    /// Identity of the agent.
    pub agent: Identity,
}

/// Second message of the handshake, from the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Protocol version that the entry speaks.
    pub protocol: u32,
    /// Nonce that the agent's proof must cover.
    pub nonce: [u8; 32],
    /// Identity of the entry.
    pub entry: Identity,
    /// Proof that the entry holds the shared key.
    pub proof: Proof,
}

/// Request that an agent sends to its upstream on behalf of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submit {
    /// Id of the attempt.
    pub request: RequestId,
    /// Revision of the entry's catalogue at the time the version was chosen.
    pub revision: Revision,
    /// Adapter or service to run.
    pub target: Target,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time left until the deadline of the first byte, after which the response is of no use; `None`
    /// for no deadline.
    pub time_left: Option<Duration>,
    /// Method of the HTTP request to the upstream.
    pub method: Box<str>,
    /// Path and query of the HTTP request to the upstream.
    pub path: Box<str>,
    /// Media type of the request body.
    pub content_type: Option<Box<str>>,
    /// Body of the HTTP request to the upstream.
    pub body: Bytes,
}

/// Request for admission of a run whose HTTP request the entry sends itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Admit {
    /// Id of the attempt.
    #[serde(rename = "q")]
    pub request: RequestId,
    /// Adapter or service to run.
    #[serde(rename = "t")]
    pub target: Target,
    /// Resources of the engine that the run needs.
    #[serde(rename = "d")]
    pub demand: Demand,
    /// Workspace of the caller, if any.
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Longest gap between two events of the response that counts as on time; `None` if the
    /// response is not a stream.
    #[serde(default, rename = "g", skip_serializing_if = "Option::is_none")]
    pub max_event_gap: Option<Duration>,
    /// Whether the entry uses learned costs, so that the agent spaces prompts by the gaps that they
    /// make in streams.
    #[serde(default, rename = "k", skip_serializing_if = "is_default")]
    pub paced: bool,
    /// Time left until the latency target of the first byte.
    #[serde(rename = "u")]
    pub due_in: Duration,
    /// Time left until the deadline of the first byte, after which the response is of no use.
    #[serde(rename = "l")]
    pub time_left: Duration,
    /// Whether the run was already admitted and started over an earlier connection.
    #[serde(rename = "s")]
    pub started: bool,
}

/// Current configuration of an agent's upstream, as known to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamConfig {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Identity of the upstream; `None` until the entry knows it.
    pub upstream: Option<UpstreamIdentity>,
    /// Base model and capacity of the engines of the service.
    pub engine: EngineConfig,
    /// Adapter versions that are declared to be in force.
    pub versions: Vec<AdapterRef>,
    /// Number of times that the key-value service was restored from an older copy, as known to
    /// the entry.
    pub store_era: StoreEra,
}

/// Name of an upstream with the start time of its process, which distinguishes restarts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamIdentity {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Start time by the upstream's clock, in milliseconds; 0 if the upstream reports none.
    pub started: UnixMillis,
    /// Whether the upstream is leaving and accepts no new work.
    pub leaving: bool,
    /// Service that the upstream belongs to; `None` from an older entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
}

/// Base model and capacity of the engines of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineConfig {
    /// Base model that the engine serves.
    pub base_model: Box<str>,
    /// Maximum number of requests that run concurrently.
    pub batch: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Number of adapter slots.
    pub slots: u32,
}

/// Status and headers of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Media type of the response body.
    pub content_type: Option<Box<str>>,
    /// Adapter or service that ran: `NAME@VERSION` or `services/NAME`.
    pub ran: Box<str>,
}

/// Heartbeat with the state of its sender.
///
/// The fields have one-letter names on the wire because heartbeats are the most frequent frames.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat on its connection, from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Sequence number of the newest heartbeat received on the connection; 0 for none.
    #[serde(rename = "c")]
    pub echo: u64,
    /// Summary of the sender's knowledge of the freshness of the catalogue.
    #[serde(default, rename = "s", skip_serializing_if = "is_default")]
    pub summary: FreshnessSummary,
    /// Whether the sender's catalogue is confirmed to be in force.
    #[serde(rename = "f")]
    pub fresh: bool,
    /// Whether the sender is shutting down and accepts no new work.
    #[serde(default, rename = "l", skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// Whether the sending entry is the granter, which permits adapter loads.
    #[serde(default, rename = "g", skip_serializing_if = "is_default")]
    pub granter: bool,
    /// Whether the sender has no request in flight.
    #[serde(default, rename = "m", skip_serializing_if = "is_default")]
    pub idle: bool,
    /// Fencing token of the sending agent; 0 from an entry.
    #[serde(default, rename = "e", skip_serializing_if = "is_default")]
    pub epoch: Epoch,
    /// Load report of the sending agent, in full or as a difference from the previous one.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportUpdate>,
    /// Crashes of the engine of the sending agent; each is sent once on a connection.
    #[serde(default, rename = "k", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<EngineCrash>,
    /// Requests whose responses the sender, or an entry connected to it, has seen lost or
    /// answered; each is sent once on a connection.
    #[serde(default, rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<RequestObservation>,
    /// What the responses of the engine of the receiving agent have last shown the sending entry
    /// about its rate limit.
    #[serde(default, rename = "t", skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<ObservedRateLimit>,
    /// From an entry: origins of streams that the agent is to remember. From an agent: origins that
    /// it was asked for.
    #[serde(default, rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub stream_origins: Vec<StreamOrigin>,
    /// From an entry: streams whose origins the agent is asked for.
    #[serde(default, rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub asked_streams: Vec<StreamId>,
    /// From an agent: streams that it was asked for and does not know.
    #[serde(default, rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub unknown_streams: Vec<StreamId>,
    /// Number of entries connected to the sending agent; 0 from an entry.
    #[serde(default, rename = "x", skip_serializing_if = "is_default")]
    pub connected_entries: u32,
    /// Position of the receiving entry among the entries connected to the sending agent, in the
    /// order of their names and from 0; `None` from an entry.
    #[serde(default, rename = "y", skip_serializing_if = "Option::is_none")]
    pub entry_rank: Option<u32>,
    /// Entries connected to the sending agent; empty in most heartbeats.
    #[serde(default, rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<PeerState>,
}

/// Time for which agents and entries remember the crash of an engine.
pub const CRASH_MEMORY: Duration = Duration::from_secs(600);

/// Crash of an engine process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCrash {
    /// Start time of the process that crashed.
    #[serde(rename = "b")]
    pub started: UnixMillis,
    /// Time from the crash to the heartbeat.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Shared parts of the prompt of each request that the process had not begun to answer.
    #[serde(rename = "s")]
    pub suspects: Vec<Vec<PromptPartId>>,
}

/// Rate limit of an engine process, as a response of the process has shown it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedRateLimit {
    /// Start time of the engine process.
    #[serde(rename = "b")]
    pub started: UnixMillis,
    /// Limit on the requests of all entries; `None` if the response has ended it.
    #[serde(rename = "l")]
    pub limit: Option<RateLimit>,
    /// Time from the response to the heartbeat.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// Process of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub name: UpstreamName,
    /// Start time of the process.
    #[serde(rename = "b")]
    pub started: UnixMillis,
}

/// End of one send of a request, as an entry has seen it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestObservation {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// Process at which the response was lost with its connection; `None` if the request was
    /// answered with success.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub lost_at: Option<UpstreamProcess>,
    /// Time from the end of the send to the heartbeat.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// Software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The stream.
    #[serde(rename = "i")]
    pub stream: StreamId,
    /// Service of the upstream that brought the first event.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Version of the software of that upstream.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// State of an entry that is connected to an agent, as known to the agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerState {
    /// Identity of the entry.
    pub entry: Identity,
    /// Newest catalogue revision that the entry is known to hold.
    pub revision: Revision,
}

/// Returns whether a field has its default value, which is not encoded.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
