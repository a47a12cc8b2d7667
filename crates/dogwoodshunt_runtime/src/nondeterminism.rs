//! Non-deterministic inputs of the programs: random numbers and the wall clock.
//!
//! The other crates take these values as arguments, so that tests control them.

use dogwoodshunt_types::BootId;
use dogwoodshunt_types::UnixMillis;
use rand::RngExt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Number of random low-order bits in a boot id; they distinguish processes that start in the same
/// millisecond.
const BOOT_RANDOM_BITS: u32 = 20;

/// Generates the boot id of this process.
///
/// The high-order bits are the wall-clock time in milliseconds, so that a restarted process gets a
/// higher boot id.
pub fn generate_boot_id() -> BootId {
    let random: u64 = rand::rng().random_range(0..1 << BOOT_RANDOM_BITS);
    unix_millis() << BOOT_RANDOM_BITS | random
}

/// Generates the nonce of a handshake.
pub fn generate_nonce() -> [u8; 32] {
    rand::rng().random()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 for earlier times.
pub fn unix_millis() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
