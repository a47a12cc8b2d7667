//! Failure tests of the whole system as processes.
//!
//! Entries and agents run as processes of their own; the stand-ins run in the
//! test's process, which counts what really ran. [`cluster`] starts them,
//! [`process`] kills and freezes them, [`relay`] cuts their connections,
//! [`load`] keeps callers asking and [`tally`] compares what callers were told with what ran. [`soak`] does all of it at
//! random for as long as it is told to.

pub mod caller;
pub mod cluster;
pub mod load;
pub mod process;
pub mod relay;
pub mod soak;
pub mod tally;

pub use crate::caller::Caller;
pub use crate::cluster::Cluster;
pub use crate::cluster::Shape;
pub use crate::load::Load;
pub use crate::tally::Tally;
