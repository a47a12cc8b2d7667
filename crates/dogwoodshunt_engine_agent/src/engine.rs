//! The interface through which the agent reads the state of its engine and sends
//! orders. A client of the engine's protocol implements [`EngineClient`].

use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::RateLimit;
use dogwoodshunt_types::UnixMillis;
use dogwoodshunt_types::UpstreamName;
use snafu::Snafu;
use std::fmt;
use std::future::Future;

/// State of an engine as reported by the engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start time of the engine by its own clock, in milliseconds; 0 if the engine
    /// reports none.
    pub started: UnixMillis,
    /// Number of orders that the engine has accepted since it started.
    pub accepted_orders: u64,
    /// Whether the engine is carrying out an order during which it accepts no other.
    pub has_exclusive_order: bool,
    /// Whether the engine is leaving: it finishes its requests and accepts no new
    /// ones.
    pub leaving: bool,
    /// Limit that the engine names for the requests of all entries together.
    pub rate_limit: Option<RateLimit>,
    /// Loaded base models.
    pub base_models: Vec<Box<str>>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterRef>,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<AdapterRef>,
    /// Number of running requests, of whichever sender.
    pub running_requests: u32,
    /// Number of requests in the queue of the engine, of whichever sender.
    pub queued_requests: u32,
    /// Number of KV cache tokens in use that the engine cannot evict.
    pub kv_tokens_used: u64,
}

/// A command to the engine to load an adapter or a base model, or to unload an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load an adapter. The engine's protocol names no version: the engine loads the
    /// newest one, which may be newer than the given version.
    LoadAdapter(AdapterRef),
    /// Load a base model.
    LoadBaseModel(Box<str>),
    /// Unload an adapter.
    UnloadAdapter(AdapterRef),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadAdapter(adapter) => write!(f, "load {adapter}"),
            Self::LoadBaseModel(base_model) => write!(f, "load {base_model}"),
            Self::UnloadAdapter(adapter) => write!(f, "unload {adapter}"),
        }
    }
}

/// An order with the preconditions under which the engine carries it out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRequest {
    /// The order.
    pub order: Order,
    /// Upstream that the order is meant for; any other upstream refuses it.
    pub upstream: UpstreamName,
    /// Number of orders that the engine must have accepted before this one; the
    /// engine answers [`OrderAnswer::Conflict`] if the number differs.
    pub accepted_before: u64,
    /// Name of the agent that sends the order.
    pub holder: NodeId,
    /// Fencing token of `holder`.
    pub epoch: Epoch,
}

/// Result of sending an order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine has accepted the order and is carrying it out.
    Accepted,
    /// The engine has carried out the order, or was already in the wanted state.
    Done,
    /// Another order is in progress or was accepted first; the engine did
    /// nothing.
    Conflict,
    /// The engine has seen a higher fencing token of another holder; it did
    /// nothing.
    Fenced,
    /// The engine refused the order for the given reason and did nothing, or the
    /// agent could not send it.
    Refused(Box<str>),
    /// No answer arrived, for the given reason; the engine may have carried out
    /// the order or may still do so.
    Lost(Box<str>),
}

impl OrderAnswer {
    /// Returns the value of the `outcome` label in metrics.
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

/// Error from fetching the report of an engine.
#[derive(Debug, Snafu)]
#[snafu(display("read report of engine at {peer}: {message}"))]
pub struct ReportError {
    /// Address of the engine.
    pub peer: Box<str>,
    /// Reason of the failure.
    pub message: Box<str>,
}

/// Client of the engine on this host.
pub trait EngineClient: Send + Sync + 'static {
    /// Fetches the current state of the engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time or its report cannot be
    /// decoded.
    fn fetch_report(&self) -> impl Future<Output = Result<EngineReport, ReportError>> + Send;

    /// Sends an order to the engine and waits for the answer.
    fn send_order(&self, order_request: &OrderRequest) -> impl Future<Output = OrderAnswer> + Send;
}
