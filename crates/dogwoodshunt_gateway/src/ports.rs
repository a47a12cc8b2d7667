//! What the entry asks of the platform; adapters to its protocol answer it.

use crate::call::Call;
use dogwoodshunt_border::http::Exchange;
use dogwoodshunt_border::http::exchange::SendError;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::registry::Listed;
use dogwoodshunt_types::UpstreamName;
use dogwoodshunt_types::Version;
use dogwoodshunt_wire::frame::DeclaredVersion;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// What a record of the platform's store says.
#[derive(Clone, Debug)]
pub enum Item {
    /// What operators have put in force.
    Config(Box<Config>),
    /// An upstream.
    Upstream(Listed),
    /// A declared version of an adapter.
    Version(DeclaredVersion),
    /// Something that this release does not read, and why.
    Unreadable(Box<str>),
}

/// Reads the records of the platform's store.
pub trait Decoder: Send + Sync + 'static {
    /// Prefix of what operators write.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the list of upstreams.
    const UPSTREAM_PREFIX: &'static str;

    /// Reads one record.
    fn decode(&self, record: &Record) -> Item;

    /// Returns the upstream that a key under the list's prefix names.
    fn upstream_of(&self, key: &str) -> UpstreamName;
}

/// Where and how a call goes.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Upstream that must run it; any other refuses.
    pub upstream: UpstreamName,
    /// Version of the adapter that must run, where one was declared.
    pub version: Option<Version>,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// Rank among requests; 0 is the most urgent.
    pub rank: u8,
    /// Last event that the caller holds, for a stream that goes on.
    pub resume_after: Option<u64>,
}

/// What an upstream says of a call by its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Said {
    /// It runs, or has run, the request.
    Runs,
    /// It has not run the request and will not: it is full.
    NotRunFull,
    /// It has not run the request and will not: it is another upstream, or
    /// lacks the adapter or version.
    NotRunHere,
    /// The answer belongs to another request.
    Foreign,
}

impl Said {
    /// Returns the name used in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Runs => "runs",
            Self::NotRunFull => "not-run-full",
            Self::NotRunHere => "not-run-here",
            Self::Foreign => "foreign",
        }
    }
}

/// The head of an upstream's answer.
pub struct Reply {
    /// What the upstream says of the call.
    pub said: Said,
    /// The answer, to be read on.
    pub exchange: Exchange,
}

/// Sends calls to upstreams.
pub trait Upstreams: Send + Sync + 'static {
    /// Sends a call and waits for the head of the answer.
    fn send(
        &self,
        call: &Call,
        how: &Dispatch,
    ) -> impl Future<Output = Result<Reply, SendError>> + Send;
}
