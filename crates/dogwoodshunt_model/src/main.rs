//! Experiments with placing and admission, on a model of engines.

use clap::Parser;
use clap::ValueEnum;
use dogwoodshunt_model::Fleet;
use dogwoodshunt_model::Load;
use dogwoodshunt_model::Outcome;
use dogwoodshunt_model::World;
use dogwoodshunt_model::engine::Spec;
use dogwoodshunt_model::load;
use dogwoodshunt_residency::Settings as Holding;
use dogwoodshunt_routing::Policy;
use dogwoodshunt_routing::Settings as Placing;
use std::thread;
use std::time::Duration;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Choice {
    /// By estimated cost, with the weights given.
    Cost,
    /// The engine with the fewest requests; a baseline.
    LeastLoaded,
    /// Any engine; a baseline.
    Random,
    /// The first engine by rendezvous hashing; a baseline.
    Rendezvous,
}

impl Choice {
    fn policy(self) -> Policy {
        match self {
            Self::Cost => Policy::Cost,
            Self::LeastLoaded => Policy::LeastLoaded,
            Self::Random => Policy::Random,
            Self::Rendezvous => Policy::Rendezvous,
        }
    }
}

/// Plays loads against the decisions of entries and agents, on a model of engines.
///
/// For each choice of an engine it prints the median over all seeds of the
/// share of requests on time, of the worth earned, of the adapters brought from
/// the store and of what the requests of each class came to.
#[derive(Clone, Debug, Parser)]
#[command(version)]
struct Cli {
    /// Requests a second.
    #[arg(long, default_value_t = 110.0)]
    rate: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seeds to play, from 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Engines.
    #[arg(long, default_value_t = 18)]
    engines: usize,
    /// Places for adapters of an engine.
    #[arg(long, default_value_t = 9)]
    slots: usize,
    /// Tokens in one event of a stream.
    #[arg(long, default_value_t = 4)]
    event_tokens: u32,
    /// Ways of choosing an engine; all of them where none is given.
    #[arg(long = "choice", value_enum)]
    choices: Vec<Choice>,
    /// Engines that an adapter may be brought to.
    #[arg(long, default_value_t = 6)]
    homes: usize,
    /// Cost of each further home, in milliseconds.
    #[arg(long, default_value_t = 30)]
    home_step_ms: u64,
    /// Cost of a load besides its wait, a second of load.
    #[arg(long, default_value_t = 0.5)]
    load_weight: f64,
    /// Cost of holding up one running request for a second.
    #[arg(long, default_value_t = 0.0)]
    interference_weight: f64,
    /// Cost of a second from the first byte to the last.
    #[arg(long, default_value_t = 0.0)]
    output_weight: f64,
    /// Prompts that an engine may have before it, in milliseconds of reading.
    #[arg(long, default_value_t = 300)]
    read_ahead_ms: u64,
    /// Adapters that an engine that has just started loads at once.
    #[arg(long, default_value_t = Holding::default().initial_load_limit)]
    loads_at_first: usize,
    /// Times the usual time from which a load shows that the store is crowded.
    #[arg(long, default_value_t = Holding::default().slow_load_ratio)]
    slow_load: f64,
    /// Times the objective within which the first byte must be expected.
    #[arg(long, default_value_t = 3.2)]
    useful_objectives: f64,
}

impl Cli {
    fn fleet(&self, choice: Choice) -> Fleet {
        let placing = Placing::builder()
            .policy(choice.policy())
            .homes(self.homes)
            .home_step(Duration::from_millis(self.home_step_ms))
            .load_weight(self.load_weight)
            .interference_weight(self.interference_weight)
            .output_weight(self.output_weight)
            .loads_per_second(32.0)
            .host_cache_capacity(40)
            .batch_weight(0.0)
            .build();
        let holding = Holding::builder()
            .initial_load_limit(self.loads_at_first)
            .slow_load_ratio(self.slow_load)
            .fallback_loads_per_second(1_000.0)
            .fallback_load_burst(4.0)
            .granter_timeout(Duration::ZERO)
            .popularity_half_life(Duration::from_secs(10))
            .max_prefill_backlog(Duration::from_millis(self.read_ahead_ms))
            .build();
        let engine = Spec::builder()
            .slots(self.slots)
            .event_tokens(self.event_tokens)
            .build();
        Fleet::builder()
            .entries(self.entries)
            .engines(self.engines)
            .engine(engine)
            .placing(placing)
            .holding(holding)
            .useful_objectives(self.useful_objectives)
            .build()
    }

    fn play(&self, choice: Choice) -> Vec<Outcome> {
        let plays = (1..=self.seeds).map(|seed| {
            let fleet = self.fleet(choice);
            let load = Load::builder()
                .rate(self.rate)
                .length(Duration::from_secs(self.seconds))
                .seed(seed)
                .build();
            thread::spawn(move || World::new(fleet).play(&load))
        });
        let plays: Vec<_> = plays.collect();
        // A play that panics has printed why; the others still count.
        plays
            .into_iter()
            .filter_map(|play| play.join().ok())
            .collect()
    }
}

fn main() {
    let cli = Cli::parse();
    let all = Choice::value_variants();
    let choices = if cli.choices.is_empty() {
        all
    } else {
        &cli.choices
    };
    println!(
        "choice        on-time  worth  loads  class        sent  on-time late-first late-pause refused failed"
    );
    for choice in choices {
        let outcomes = cli.play(*choice);
        let median_of = |value: &dyn Fn(&Outcome) -> f64| median(outcomes.iter().map(value));
        let name = format!("{choice:?}");
        print!(
            "{name:<13} {:>7.3} {:>6.3} {:>6.0}",
            median_of(&Outcome::on_time),
            median_of(&Outcome::worth),
            median_of(&|outcome| outcome.loads as f64),
        );
        for (index, class) in load::classes().iter().enumerate() {
            if index > 0 {
                print!("{:>35}", "");
            }
            let share = |count: &dyn Fn(&Outcome) -> u64| median_of(&|o| count(o) as f64);
            println!(
                "  {:<11} {:>5.0} {:>8.0} {:>10.0} {:>10.0} {:>7.0} {:>6.0}",
                class.name,
                share(&|o| o.classes[index].sent),
                share(&|o| o.classes[index].on_time),
                share(&|o| o.classes[index].late_first),
                share(&|o| o.classes[index].late_pause),
                share(&|o| o.classes[index].refused),
                share(&|o| o.classes[index].failed),
            );
        }
    }
}

/// Returns the middle value; 0 of none.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
