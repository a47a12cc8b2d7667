//! Slopes that docs/CAPACITY.md rests on.
//!
//! [`linear_fit`] fits a line through measured points, [`memory`] measures memory,
//! [`message_size`] bytes on the network, [`cpu_time`] processor time and [`kv_calls`]
//! calls of the key-value service.

pub mod cpu_time;
pub mod fixtures;
pub mod kv_calls;
pub mod linear_fit;
pub mod memory;
pub mod message_size;

use crate::scaling::linear_fit::Slope;
use std::io;

/// Measures every slope.
///
/// # Errors
///
/// Fails if a process of the fleets for the key-value service does not start.
pub async fn measure(with_processes: bool) -> io::Result<Vec<Slope>> {
    let mut slopes = memory::measure();
    slopes.extend(message_size::measure());
    slopes.extend(cpu_time::measure());
    if with_processes {
        slopes.extend(kv_calls::measure().await?);
    }
    Ok(slopes)
}
