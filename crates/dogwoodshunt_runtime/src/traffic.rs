//! Threads that run the tasks of connections and requests, separate from the thread that owns the
//! control state.

use smol::Executor;
use std::sync::Arc;
use std::thread;

/// Executor whose tasks run on the traffic threads.
pub type TrafficExecutor = Arc<Executor<'static>>;

/// Guard of the threads of a [`TrafficExecutor`]; dropping the guard stops the threads.
pub struct TrafficThreads {
    _stop: async_channel::Sender<()>,
}

/// Starts `threads` traffic threads and returns their executor.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread.
pub fn start(threads: usize) -> std::io::Result<(TrafficExecutor, TrafficThreads)> {
    let executor: TrafficExecutor = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    for index in 0..threads {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        thread::Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                let _ = smol::block_on(executor.run(stopped.recv()));
            })?;
    }
    Ok((executor, TrafficThreads { _stop: stop }))
}
