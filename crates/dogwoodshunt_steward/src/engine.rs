//! What this process asks of its engine; an adapter to a protocol answers it.

use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use snafu::Snafu;
use std::fmt;
use std::future::Future;

/// What an engine says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// When it started, by its own clock; 0 if it does not tell.
    pub started: UnixMillis,
    /// Orders that it has accepted since it started.
    pub orders: u64,
    /// Whether an order that excludes others is in progress.
    pub busy: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Base models that it holds.
    pub base_models: Vec<Box<str>>,
    /// Adapters that it holds.
    pub adapters: Vec<AdapterRef>,
    /// Adapters on their way to it.
    pub incoming: Vec<AdapterRef>,
    /// Requests that it runs, for whomever.
    pub running: u32,
    /// Requests that wait in it, for whomever.
    pub waiting: u32,
    /// KV cache tokens that cannot yield.
    pub kv_used: u64,
}

/// What to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load the newest version of an adapter.
    LoadAdapter(AdapterRef),
    /// Load the newest version of a base model.
    LoadBase(Box<str>),
    /// Drop an adapter.
    UnloadAdapter(AdapterRef),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadAdapter(adapter) => write!(f, "load {adapter}"),
            Self::LoadBase(base_model) => write!(f, "load {base_model}"),
            Self::UnloadAdapter(adapter) => write!(f, "unload {adapter}"),
        }
    }
}

/// An order with what keeps it from being carried out at the wrong time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderCall {
    /// What to do.
    pub order: Order,
    /// Upstream that must carry it out; any other refuses it.
    pub upstream: UpstreamName,
    /// Orders that the engine must have accepted before this one.
    pub after: u64,
    /// Who orders.
    pub holder: NodeId,
    /// Fencing number of the holder.
    pub epoch: Epoch,
}

/// What an engine says to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It has been carried out, or the engine was already so.
    Done,
    /// Another order is in progress, or came before; nothing was done.
    Conflict,
    /// Another holder has a higher fencing number; nothing was done.
    Fenced,
    /// It was refused for another reason; nothing was done.
    Refused(Box<str>),
    /// No answer came; it may be carried out, even later.
    Lost(Box<str>),
}

impl OrderAnswer {
    /// Returns the name used in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused(_) => "refused",
            Self::Lost(_) => "lost",
        }
    }
}

/// Why an engine's report could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("read report of {peer}: {message}"))]
pub struct ReportError {
    /// Address of the engine.
    pub peer: Box<str>,
    /// What happened.
    pub message: Box<str>,
}

/// An engine on this host.
pub trait Engine: Send + Sync + 'static {
    /// Asks what the engine holds and does.
    fn report(&self) -> impl Future<Output = Result<EngineReport, ReportError>> + Send;

    /// Gives an order.
    fn order(&self, call: &OrderCall) -> impl Future<Output = OrderAnswer> + Send;
}
