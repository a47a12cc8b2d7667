//! Scaling of resource usage with the size of the fleet, the catalogue and the queues.
//!
//! Each resource is measured at several sizes and fitted by a line; the slopes are the
//! basis of docs/CAPACITY.md. [`linear_fit`] fits the lines, [`fixtures`] builds values
//! of realistic size, [`memory`] measures resident memory, [`message_size`] encoded sizes
//! of frames and records, [`cpu_time`] processor time and [`kv_calls`] calls of the
//! key-value service.

pub mod cpu_time;
pub mod fixtures;
pub mod kv_calls;
pub mod linear_fit;
pub mod memory;
pub mod message_size;

use crate::scaling::linear_fit::LinearFit;
use std::io;

/// Measures all resources; `with_processes` includes the key-value calls of whole fleets.
///
/// # Errors
///
/// Fails if a process of a fleet does not start.
pub async fn measure(with_processes: bool) -> io::Result<Vec<LinearFit>> {
    let mut fits = memory::measure();
    fits.extend(message_size::measure());
    fits.extend(cpu_time::measure());
    if with_processes {
        fits.extend(kv_calls::measure().await?);
    }
    Ok(fits)
}
