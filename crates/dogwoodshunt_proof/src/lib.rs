//! Fault-injection tests of entries and agents that run as processes.
//!
//! A test starts a [`Cluster`]: entries and agents run as separate processes,
//! and the stand-ins of engines, services, the key-value service and the host
//! list run in the test process. The test sends requests, injects faults and
//! then compares the outcome that each caller saw with the executions that the
//! stand-ins counted. The crate decides only whether these two contradict each
//! other; it implements no part of the product.
//!
//! Modules in reading order: [`cluster`] (starts processes and stand-ins),
//! [`process`] (freezes, stops and kills a process), [`relay`] (disconnects and
//! stalls TCP connections), [`caller`] (sends requests and classifies
//! responses), [`load_generator`] (background requests), [`consistency`] (compares
//! outcomes with executions), [`soak`] (random faults for a given time).

pub mod caller;
pub mod cluster;
pub mod consistency;
pub mod load_generator;
pub mod process;
pub mod relay;
pub mod soak;

pub use crate::caller::Caller;
pub use crate::cluster::Cluster;
pub use crate::cluster::ClusterConfig;
pub use crate::consistency::ConsistencyChecker;
pub use crate::load_generator::LoadGenerator;
