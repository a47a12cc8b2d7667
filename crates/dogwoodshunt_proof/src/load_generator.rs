//! Background requests during a test.

use crate::caller::Caller;
use crate::caller::CallerRequest;
use crate::cluster::Cluster;
use crate::cluster::SERVICE;
use crate::consistency::ConsistencyChecker;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::Task;
use smol::Timer;
use std::time::Duration;
use std::time::Instant;

/// Mix of generated requests.
#[derive(Clone, Debug)]
pub struct RequestMix {
    /// Requested adapters, as `NAME` or `NAME@VERSION`.
    pub adapters: Vec<String>,
    /// Time between the starts of two requests.
    pub request_interval: Duration,
    /// Number of tokens per response.
    pub max_tokens: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Open-loop load generator: starts requests at a fixed rate, whether or not
/// earlier ones have completed.
pub struct LoadGenerator {
    generator: Task<()>,
    stop_sender: async_channel::Sender<()>,
}

impl LoadGenerator {
    /// Starts to send requests to all entries in turn, and records their outcomes
    /// in `checker`.
    pub fn start(cluster: &Cluster, mix: RequestMix, checker: &ConsistencyChecker) -> Self {
        let callers: Vec<Caller> = (0..cluster.entries.len())
            .map(|n| cluster.caller(n))
            .collect();
        let (stop_sender, stop_receiver) = async_channel::bounded::<()>(1);
        let (traffic, checker) = (cluster.traffic.clone(), checker.clone());
        let generator = cluster.traffic.spawn(async move {
            send_until_stopped(&traffic, &callers, &mix, &checker, &stop_receiver).await;
        });
        Self {
            generator,
            stop_sender,
        }
    }

    /// Stops sending and waits for the outcomes of the requests in flight.
    pub async fn stop(self) {
        self.stop_sender.close();
        self.generator.await;
    }
}

async fn send_until_stopped(
    traffic: &TrafficExecutor,
    callers: &[Caller],
    mix: &RequestMix,
    checker: &ConsistencyChecker,
    stop_receiver: &async_channel::Receiver<()>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let mut tasks = Vec::new();
    let started_at = Instant::now();
    for number in 0_u32.. {
        if stop_receiver.is_closed() {
            break;
        }
        let request = draw_request(&mut rng, mix, number);
        let caller = callers[number as usize % callers.len()].clone();
        let checker = checker.clone();
        tasks.push(traffic.spawn(async move {
            let outcome = caller.send(&request).await;
            checker.record(request, outcome);
        }));
        Timer::at(started_at + mix.request_interval * (number + 1)).await;
    }
    for task in tasks {
        task.await;
    }
}

fn draw_request(rng: &mut ChaCha8Rng, mix: &RequestMix, number: u32) -> CallerRequest {
    let tag = format!("load-{}-{number}", mix.seed);
    let choice = rng.random_range(0..10);
    if choice < 2 {
        return CallerRequest::for_service(tag, SERVICE);
    }
    let adapter = &mix.adapters[rng.random_range(0..mix.adapters.len())];
    CallerRequest {
        max_tokens: mix.max_tokens,
        stream: choice < 6,
        repeatable: choice < 9,
        ..CallerRequest::for_adapter(tag, adapter)
    }
}
