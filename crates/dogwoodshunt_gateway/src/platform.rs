//! Traits that connect the entry to a platform's store and upstream protocol.

use crate::call::Call;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::connection_pool::SendError;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::Version;
use dogwoodshunt_workspaces::CallerIdentity;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Decoded record of the platform's store.
#[derive(Clone, Debug)]
pub enum DecodedRecord {
    /// Configuration written by operators.
    Config(Box<Config>),
    /// Upstream in the list of upstreams.
    Upstream(ListedUpstream),
    /// Version that operators have declared for an adapter.
    Version(AdapterRef),
    /// Record that this release of the entry cannot decode, with the reason.
    Unreadable(Box<str>),
}

/// Decodes the records of the platform's store.
pub trait RecordDecoder: Send + Sync + 'static {
    /// Key prefix of the records that operators write.
    const OPERATOR_PREFIX: &'static str;
    /// Key prefix of the list of upstreams.
    const UPSTREAM_PREFIX: &'static str;

    /// Decodes one record.
    fn decode(&self, record: &Record) -> DecodedRecord;

    /// Returns the name of the upstream whose record is stored under `key`, a
    /// key with the prefix [`Self::UPSTREAM_PREFIX`].
    fn upstream_name(&self, key: &str) -> UpstreamName;
}

/// Destination and parameters of one send of a call.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream that must run the call; an upstream with another
    /// name refuses the call.
    pub upstream: UpstreamName,
    /// Start time of the upstream process, as listed.
    pub started: UnixMillis,
    /// Adapter version that must run the call; `None` for base models and plain
    /// services.
    pub version: Option<Version>,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Priority rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last event that the caller has received, for a stream to be
    /// resumed after that event.
    pub resume_after: Option<u64>,
    /// Whether the upstream is known to limit the requests of all entries together.
    pub rate_limited: bool,
    /// Whether the upstream has refused the call before. A late copy of that refusal would bear the
    /// id of the call, so the call is sent on a connection of its own.
    pub refused_before: bool,
    /// Whom the call comes from. Unless callers are unidentified, the upstream learns only the name
    /// of the workspace and never the key of the caller.
    pub caller: CallerIdentity,
}

/// Whether an upstream executes a call, according to the head of its response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// The upstream is executing the request or has executed it.
    Executed,
    /// The upstream has not executed the request and will not, because it is
    /// full.
    RefusedFull,
    /// The upstream has not executed the request and will not, because it is
    /// not the upstream named in the request or lacks the adapter or version.
    Misdirected,
    /// The response is not verified to be the response of the upstream to this request.
    /// Whether the request has run is unknown.
    UnverifiedResponse,
}

impl ExecutionStatus {
    /// Returns the value of the `outcome` label in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Executed => "runs",
            Self::RefusedFull => "not-run-full",
            Self::Misdirected => "not-run-here",
            Self::UnverifiedResponse => "foreign",
        }
    }
}

/// What an upstream announces about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// Whether the upstream is leaving and wants no new requests.
    pub leaving: bool,
    /// Time for which the upstream wants no further requests from this entry.
    pub pause: Option<Duration>,
    /// Limit that the upstream names for the requests of all entries together.
    pub rate_limit: Option<RateLimit>,
}

/// Response of an upstream whose head has been read and whose body has not.
pub struct UpstreamResponse {
    /// Whether the upstream executes the call.
    pub execution_status: ExecutionStatus,
    /// What the upstream announces about itself.
    pub announcement: Announcement,
    /// Exchange from which the body of the response is read.
    pub exchange: Exchange,
}

/// Sends calls to upstreams over the platform's protocol.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Sends `call` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if nothing was sent, and with
    /// [`SendError::Lost`] if the upstream may have executed the call.
    fn send(
        &self,
        call: &Call,
        dispatch: &Dispatch,
    ) -> impl Future<Output = Result<UpstreamResponse, SendError>> + Send;

    /// Asks the engine at `address` for a sign of life, and waits until it answers or its
    /// connection fails. An engine that has no free place for requests answers, too.
    fn wait_for_sign_of_life(&self, address: SocketAddr) -> impl Future<Output = ()> + Send;

    /// Asks the engine at `address` when its process started; `None` if it does not say.
    fn process_started(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Option<UnixMillis>> + Send;
}
