//! Generated workload: the requests that callers send.

use bon::Builder;
use dogwoodshunt_residency::demand::Demand;
use dogwoodshunt_residency::demand::PromptPart;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use rand_distr::Zipf;
use std::time::Duration;

/// Parameters of one class of requests.
///
/// A prompt consists of a shared prefix of two levels, each drawn from a fixed
/// set of texts, and a part that is unique to the request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class in the output.
    pub name: &'static str,
    /// Share of all requests, between 0 and 1.
    pub share: f64,
    /// Mean length of the shared prefix, in tokens, per level.
    pub shared_prefix_tokens: [f64; 2],
    /// Number of distinct texts per level of the shared prefix.
    pub shared_prefix_texts: [u64; 2],
    /// Mean length of the unique part of a prompt, in tokens.
    pub unique_prompt_tokens: f64,
    /// Mean length of a response, in tokens.
    pub output_tokens: f64,
    /// Sigma of the log-normal distribution of the response length.
    pub output_sigma: f64,
    /// Time within which the first event is on time.
    pub latency_objective: Duration,
    /// Time after which the caller disconnects without a first event.
    pub first_event_timeout: Duration,
    /// Time after which the caller disconnects without a complete response.
    pub response_timeout: Duration,
    /// Priority rank; 0 is the most urgent.
    pub priority_rank: u8,
    /// Value of a response that is on time, and of one that is late.
    pub response_value: (f64, f64),
}

/// Returns the two request classes: long prompts with short responses, and
/// short prompts with long responses.
///
/// The shares are those of the traffic of both users together.
pub fn classes() -> [RequestClass; 2] {
    [
        RequestClass {
            name: "long-prompt",
            share: 0.47,
            shared_prefix_tokens: [2_520.0, 3_780.0],
            shared_prefix_texts: [3, 36],
            unique_prompt_tokens: 2_890.0,
            output_tokens: 52.0,
            output_sigma: 1.0,
            latency_objective: Duration::from_millis(1_000),
            first_event_timeout: Duration::from_millis(4_000),
            response_timeout: Duration::from_millis(5_000),
            priority_rank: 1,
            response_value: (2.3, 0.69),
        },
        RequestClass {
            name: "long-answer",
            share: 0.53,
            shared_prefix_tokens: [119.0, 79.0],
            shared_prefix_texts: [3, 20],
            unique_prompt_tokens: 628.0,
            output_tokens: 290.0,
            output_sigma: 0.69,
            latency_objective: Duration::from_millis(800),
            first_event_timeout: Duration::from_millis(3_200),
            response_timeout: Duration::from_millis(15_000),
            priority_rank: 0,
            response_value: (0.86, 0.26),
        },
    ]
}

/// Parameters of a workload.
///
/// Requests arrive as a Poisson process and select adapters by a Zipf
/// distribution whose most popular adapters change over time.
#[derive(Builder, Clone, Debug)]
pub struct Workload {
    /// Arrival rate, in requests per second.
    #[builder(default = 70.0)]
    pub rate: f64,
    /// Time during which requests arrive.
    #[builder(default = Duration::from_secs(30))]
    pub duration: Duration,
    /// Number of adapters.
    #[builder(default = 3_000)]
    pub adapters: usize,
    /// Exponent of the Zipf distribution of adapter popularity.
    #[builder(default = 1.2)]
    pub zipf_exponent: f64,
    /// Time between two changes of the most popular adapters.
    #[builder(default = Duration::from_secs(10))]
    pub popularity_shift_interval: Duration,
    /// Amplitude of a wave of the rate, as a share of its mean, with a period of [`WAVE_PERIOD`].
    #[builder(default = 0.0)]
    pub wave: f64,
    /// Seed of the random number generator.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A generated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival, from the start of the simulation.
    pub arrival: Duration,
    /// Index of the request's class in [`classes`].
    pub class: usize,
    /// Index of the requested adapter.
    pub adapter: usize,
    /// Estimated cost of the request on an engine.
    pub demand: Demand,
    /// Tokens that the response actually has.
    pub output_tokens: u32,
}

/// Number of popularity ranks by which adapters move up in one change; as many of
/// the most popular adapters move to the end.
const POPULARITY_SHIFT_RANKS: usize = 3;

/// Period of the wave of the arrival rate.
pub const WAVE_PERIOD: Duration = Duration::from_secs(15);

impl Workload {
    /// Generates all requests, in the order of arrival.
    ///
    /// # Panics
    ///
    /// Panics if the rate, the exponent or the number of adapters is not above zero.
    pub fn generate(&self) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let classes = classes();
        let interarrival_s = Exp::new(self.rate).expect("the arrival rate must be above zero");
        let popularity = Zipf::new(self.adapters as f64, self.zipf_exponent)
            .expect("the adapter count and the Zipf exponent must be above zero");
        let mut adapters_by_rank: Vec<usize> = (0..self.adapters).collect();
        adapters_by_rank.shuffle(&mut rng);
        let (mut arrival, mut last_shift) = (Duration::ZERO, Duration::ZERO);
        let mut requests = Vec::new();
        loop {
            let phase = arrival.as_secs_f64() / WAVE_PERIOD.as_secs_f64() * std::f64::consts::TAU;
            let relative_rate = 1.0 + self.wave * phase.sin();
            let interarrival = interarrival_s.sample(&mut rng) / relative_rate;
            arrival += Duration::from_secs_f64(interarrival);
            if arrival >= self.duration {
                return requests;
            }
            if arrival >= last_shift + self.popularity_shift_interval {
                last_shift = arrival;
                adapters_by_rank.rotate_left(POPULARITY_SHIFT_RANKS);
            }
            let class = usize::from(rng.random::<f64>() >= classes[0].share);
            let rank = popularity.sample(&mut rng) as usize;
            let adapter = adapters_by_rank[rank.saturating_sub(1).min(self.adapters - 1)];
            let number = requests.len() as u64;
            let (demand, output_tokens) = sample_demand(&classes[class], class, number, &mut rng);
            requests.push(Request {
                arrival,
                class,
                adapter,
                demand,
                output_tokens,
            });
        }
    }
}

/// Draws the prompt parts and the response length of a request.
///
/// The demand carries twice the drawn response length as its estimate.
fn sample_demand(
    class: &RequestClass,
    class_index: usize,
    request_number: u64,
    rng: &mut impl Rng,
) -> (Demand, u32) {
    let mut parts = Vec::new();
    for level in 0..2 {
        let text = rng.random_range(0..class.shared_prefix_texts[level]);
        let id = (class_index as u64) << 40 | (level as u64) << 32 | text;
        // The length is seeded by the text's id, so that all requests that
        // share a text agree on its length.
        let mut length_rng = ChaCha8Rng::seed_from_u64(id);
        let tokens = sample_log_normal(class.shared_prefix_tokens[level], 0.5, &mut length_rng);
        parts.push(PromptPart { id, tokens });
    }
    let unique_tokens = sample_log_normal(class.unique_prompt_tokens, 0.8, rng);
    let id = 1 << 63 | request_number;
    parts.push(PromptPart {
        id,
        tokens: unique_tokens,
    });
    let output_tokens = sample_log_normal(class.output_tokens, class.output_sigma, rng).min(1_000);
    let demand = Demand {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: output_tokens.saturating_mul(2),
        rank: class.priority_rank,
    };
    (demand, output_tokens)
}

/// Draws from a log-normal distribution with the given mean; the result is
/// between 1 and eight times the mean.
fn sample_log_normal(mean: f64, sigma: f64, rng: &mut impl Rng) -> u32 {
    let mu = mean.ln() - sigma * sigma / 2.0;
    // PANIC: All callers pass a finite sigma above zero, which `LogNormal` accepts.
    let distribution = LogNormal::new(mu, sigma).expect("sigma must be above zero");
    distribution.sample(rng).clamp(1.0, mean * 8.0) as u32
}
