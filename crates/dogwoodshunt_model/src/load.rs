//! Requests that callers send.

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

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its part of all requests.
    pub share: f64,
    /// Mean length of what is shared of a prompt, in tokens, by level.
    pub shared: [f64; 2],
    /// Texts of each level.
    pub texts: [u64; 2],
    /// Mean length of what is a request's own, in tokens.
    pub own: f64,
    /// Mean number of tokens of an answer.
    pub output: f64,
    /// Spread of the length of an answer, as that of a log-normal law.
    pub output_spread: f64,
    /// Time within which the first event is on time.
    pub objective: Duration,
    /// Time after which the caller leaves without a first event.
    pub patience: Duration,
    /// Time within which the whole answer must come.
    pub deadline: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Worth of an answer on time, and of a late one.
    pub worth: (f64, f64),
}

/// Long prompts with short answers, and short prompts with long answers, in
/// the proportions of both users.
pub fn classes() -> [Class; 2] {
    [
        Class {
            name: "long-prompt",
            share: 0.47,
            shared: [2_520.0, 3_780.0],
            texts: [3, 36],
            own: 2_890.0,
            output: 52.0,
            output_spread: 1.0,
            objective: Duration::from_millis(1_000),
            patience: Duration::from_millis(4_000),
            deadline: Duration::from_millis(5_000),
            rank: 1,
            worth: (2.3, 0.69),
        },
        Class {
            name: "long-answer",
            share: 0.53,
            shared: [119.0, 79.0],
            texts: [3, 20],
            own: 628.0,
            output: 290.0,
            output_spread: 0.69,
            objective: Duration::from_millis(800),
            patience: Duration::from_millis(3_200),
            deadline: Duration::from_millis(15_000),
            rank: 0,
            worth: (0.86, 0.26),
        },
    ]
}

/// How many requests there are, and for what.
#[derive(Builder, Clone, Debug)]
pub struct Load {
    /// Requests a second.
    #[builder(default = 70.0)]
    pub rate: f64,
    /// How long they come.
    #[builder(default = Duration::from_secs(30))]
    pub length: Duration,
    /// Adapters in all.
    #[builder(default = 3_000)]
    pub adapters: usize,
    /// Exponent of their Zipf law.
    #[builder(default = 1.2)]
    pub exponent: f64,
    /// Time after which the popular adapters change places with others.
    #[builder(default = Duration::from_secs(10))]
    pub shift: Duration,
    /// Seed of all that is drawn.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it is sent, from the start.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Adapter that it names.
    pub adapter: usize,
    /// What it costs an engine.
    pub demand: Demand,
    /// Tokens that the answer has in the end.
    pub output: u32,
}

/// Most adapters that change places in one shift.
const SHIFTED: usize = 3;

impl Load {
    /// Draws all requests, in the order of their times.
    ///
    /// # Panics
    ///
    /// Panics if rate, exponent or number of adapters is not above zero.
    pub fn draw(&self) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let classes = classes();
        let gap = Exp::new(self.rate).expect("a rate above zero");
        let law = Zipf::new(self.adapters as f64, self.exponent).expect("a Zipf law");
        let mut names: Vec<usize> = (0..self.adapters).collect();
        names.shuffle(&mut rng);
        let (mut at, mut shifted) = (Duration::ZERO, Duration::ZERO);
        let mut requests = Vec::new();
        loop {
            at += Duration::from_secs_f64(gap.sample(&mut rng));
            if at >= self.length {
                return requests;
            }
            if at >= shifted + self.shift {
                shifted = at;
                names.rotate_left(SHIFTED);
            }
            let class = usize::from(rng.random::<f64>() >= classes[0].share);
            let rank = law.sample(&mut rng) as usize;
            let adapter = names[rank.saturating_sub(1).min(self.adapters - 1)];
            let number = requests.len() as u64;
            let (demand, output) = cost(&classes[class], class, number, &mut rng);
            requests.push(Request {
                at,
                class,
                adapter,
                demand,
                output,
            });
        }
    }
}

fn cost(class: &Class, index: usize, number: u64, rng: &mut impl Rng) -> (Demand, u32) {
    let mut parts = Vec::new();
    for level in 0..2 {
        let text = rng.random_range(0..class.texts[level]);
        let id = (index as u64) << 40 | (level as u64) << 32 | text;
        // A text has one length, whoever sends it.
        let mut lengths = ChaCha8Rng::seed_from_u64(id);
        let tokens = around(class.shared[level], 0.5, &mut lengths);
        parts.push(PromptPart { id, tokens });
    }
    let own = around(class.own, 0.8, rng);
    let id = 1 << 63 | number;
    parts.push(PromptPart { id, tokens: own });
    let output = around(class.output, class.output_spread, rng).min(1_000);
    let demand = Demand {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: output.saturating_mul(2),
        rank: class.rank,
    };
    (demand, output)
}

/// Draws from a log-normal law of mean `mean`, at most eight times that.
fn around(mean: f64, spread: f64, rng: &mut impl Rng) -> u32 {
    let centre = mean.ln() - spread * spread / 2.0;
    // PANIC: A spread that is a positive number makes a law.
    let law = LogNormal::new(centre, spread).expect("a spread above zero");
    law.sample(rng).clamp(1.0, mean * 8.0) as u32
}
