//! Slopes that docs/CAPACITY.md rests on.
//!
//! [`fit`] fits a line through measured points, [`state`] measures memory,
//! [`frames`] bytes on the network, [`work`] processor time and [`service`]
//! calls of the key-value service.

pub mod fit;
pub mod frames;
pub mod sample;
pub mod service;
pub mod state;
pub mod work;

use crate::slopes::fit::Slope;
use std::io;

/// Measures every slope.
///
/// # Errors
///
/// Fails if a process of the fleets for the key-value service does not start.
pub async fn measure(with_processes: bool) -> io::Result<Vec<Slope>> {
    let mut slopes = state::measure();
    slopes.extend(frames::measure());
    slopes.extend(work::measure());
    if with_processes {
        slopes.extend(service::measure().await?);
    }
    Ok(slopes)
}
