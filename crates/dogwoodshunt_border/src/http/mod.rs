//! HTTP/1.1 by `hyper` over `smol`.

pub mod body;
pub mod client;
pub mod exchange;
pub mod server;

pub use crate::http::body::AnswerBody;
pub use crate::http::client::Client;
pub use crate::http::client::HttpError;
pub use crate::http::exchange::Exchange;
pub use crate::http::exchange::Exchanges;
