//! HTTP/1.1 client and server, built on `hyper` and `smol`.
//!
//! [`client`] sends short calls to other services, [`connection_pool`] sends requests
//! to upstreams over pooled connections and streams their responses, [`server`]
//! serves callers, and [`body`] defines the bodies of requests and responses for all of
//! them. [`limits`] holds the budget of the process that servers share, and [`request_body`]
//! receives bodies of requests within it.

pub mod body;
pub mod client;
mod connection_io;
pub mod connection_pool;
pub mod limits;
pub mod request_body;
pub mod server;
pub mod sse;
pub mod stream_end;

pub use crate::http::body::ResponseBody;
pub use crate::http::client::Client;
pub use crate::http::client::HttpError;
pub use crate::http::connection_pool::ConnectionPool;
pub use crate::http::connection_pool::Exchange;
pub use crate::http::stream_end::StreamEndCheck;
