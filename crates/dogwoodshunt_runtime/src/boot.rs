//! Random numbers and the wall clock, for the edges of the programs.

use dogwoodshunt_types::BootId;
use dogwoodshunt_types::UnixMillis;
use rand::RngExt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Random bits in a boot id.
const BOOT_RANDOM_BITS: u32 = 20;

/// Draws the boot id of this process.
///
/// It starts with the time, so that a restarted process has a higher one.
pub fn draw_boot_id() -> BootId {
    let random: u64 = rand::rng().random_range(0..1 << BOOT_RANDOM_BITS);
    unix_millis() << BOOT_RANDOM_BITS | random
}

/// Draws a random number for a handshake.
pub fn draw_nonce() -> [u8; 32] {
    rand::rng().random()
}

/// Returns the present time of the wall clock.
pub fn unix_millis() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
