//! Callers that keep asking while a test breaks things.

use crate::caller::Caller;
use crate::caller::Question;
use crate::cluster::Cluster;
use crate::cluster::SERVICE;
use crate::tally::Tally;
use dogwoodshunt_runtime::traffic::Traffic;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::Task;
use smol::Timer;
use std::time::Duration;
use std::time::Instant;

/// What callers ask for.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Adapters, as `NAME` or `NAME@VERSION`.
    pub adapters: Vec<String>,
    /// Time between two questions.
    pub period: Duration,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Callers that ask at an even pace, whether or not answers come.
pub struct Load {
    asking: Task<()>,
    stop: async_channel::Sender<()>,
}

impl Load {
    /// Starts asking all entries in turn.
    pub fn start(cluster: &Cluster, mix: Mix, tally: &Tally) -> Self {
        let callers: Vec<Caller> = (0..cluster.entries.len())
            .map(|n| cluster.caller(n))
            .collect();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (traffic, tally) = (cluster.traffic.clone(), tally.clone());
        let asking = cluster.traffic.spawn(async move {
            ask_until(&traffic, &callers, &mix, &tally, &stopped).await;
        });
        Self { asking, stop }
    }

    /// Stops asking and waits for the answers that are still to come.
    pub async fn stop(self) {
        self.stop.close();
        self.asking.await;
    }
}

async fn ask_until(
    traffic: &Traffic,
    callers: &[Caller],
    mix: &Mix,
    tally: &Tally,
    stopped: &async_channel::Receiver<()>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let mut asked = Vec::new();
    let begun = Instant::now();
    for number in 0_u32.. {
        if stopped.is_closed() {
            break;
        }
        let question = question(&mut rng, mix, number);
        let caller = callers[number as usize % callers.len()].clone();
        let tally = tally.clone();
        asked.push(traffic.spawn(async move {
            let told = caller.ask(&question).await;
            tally.note(question, told);
        }));
        Timer::at(begun + mix.period * (number + 1)).await;
    }
    for task in asked {
        task.await;
    }
}

fn question(rng: &mut ChaCha8Rng, mix: &Mix, number: u32) -> Question {
    let tag = format!("load-{}-{number}", mix.seed);
    let kind = rng.random_range(0..10);
    if kind < 2 {
        return Question::service(tag, SERVICE);
    }
    let adapter = &mix.adapters[rng.random_range(0..mix.adapters.len())];
    Question {
        tokens: mix.tokens,
        stream: kind < 6,
        repeatable: kind < 9,
        ..Question::adapter(tag, adapter)
    }
}
