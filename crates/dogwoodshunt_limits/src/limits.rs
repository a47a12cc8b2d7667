//! Limits of one process.

use bon::Builder;
use std::time::Duration;

/// Memory that a process uses besides the budget, in bytes: about 15 MB idle and up to 60 MB under
/// load.
const OTHER_MEMORY: usize = 60 << 20;

/// Share of a host's memory that is left to everything besides the budget on large hosts: threads,
/// the allocator's fragments and buffers of connections to upstreams grow with the load.
const OTHER_SHARE: usize = 4;

/// Smallest budget, in bytes: a body of 4 MiB beside 100 connections.
pub const MIN_BUDGET: usize = 16 << 20;

/// Descriptors that stay free for files, as the platform reserves them.
const FILE_DESCRIPTORS: usize = 200;

/// Maximum number of connections of a listener for probes, metrics or operators, of which a process
/// has two at most.
const OTHER_CONNECTIONS: usize = 64;

/// Smallest number of connections that a program serves with.
const MIN_CONNECTIONS: usize = 16;

/// Memory of one connection without a body, in bytes: 8 KiB each for the HTTP library's buffers of
/// reads and writes, and its tasks, timers and parsed headers.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// Limits of one process.
#[derive(Builder, Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes that may be buffered for clients, including [`CONNECTION_BYTES`] for each connection.
    pub budget: usize,
    /// Part of `budget` that large bodies must leave free, in bytes.
    pub small_reserve: usize,
    /// Size up to which a body is small, in bytes.
    #[builder(default = 64 << 10)]
    pub small_body: usize,
    /// Maximum number of connections of callers, or of links.
    pub connections: usize,
    /// Maximum number of connections of each other listener.
    #[builder(default = OTHER_CONNECTIONS)]
    pub other_connections: usize,
    /// Time after which a body without progress is given up.
    #[builder(default = Duration::from_secs(5))]
    pub body_stall: Duration,
    /// Average rate below which a body is given up once it has taken `body_stall`, in bytes/s.
    #[builder(default = 1 << 10)]
    pub body_rate: usize,
    /// Time after which a connection is closed to whose peer nothing could be written.
    #[builder(default = Duration::from_secs(15))]
    pub write_stall: Duration,
}

impl Limits {
    /// Returns the limits for a host with `memory` bytes and `descriptors` file descriptors.
    pub fn of_host(memory: usize, descriptors: usize) -> Self {
        let other = OTHER_MEMORY.max(memory / OTHER_SHARE);
        let budget = memory.saturating_sub(other).max(MIN_BUDGET);
        // A caller's request needs a second connection, to the upstream.
        let others = FILE_DESCRIPTORS + 2 * OTHER_CONNECTIONS;
        let by_descriptors = descriptors.saturating_sub(others) / 2;
        let by_memory = budget / 2 / CONNECTION_BYTES;
        Self::builder()
            .budget(budget)
            .small_reserve(budget / 4)
            .connections(by_descriptors.clamp(MIN_CONNECTIONS, by_memory))
            .build()
    }
}
