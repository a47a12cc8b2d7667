//! Command line of the routing and admission experiments.

use clap::Parser;
use clap::ValueEnum;
use dogwoodshunt_model::FleetConfig;
use dogwoodshunt_model::Outcome;
use dogwoodshunt_model::Simulation;
use dogwoodshunt_model::Workload;
use dogwoodshunt_model::engine::EngineSpec;
use dogwoodshunt_model::workload;
use dogwoodshunt_residency::SchedulerSettings;
use dogwoodshunt_routing::Policy;
use dogwoodshunt_routing::RouterSettings;
use std::thread;
use std::time::Duration;

/// Policy by which entries select an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Choice {
    /// Lowest estimated cost, with the given weights.
    Cost,
    /// Engine with the fewest requests (baseline).
    LeastLoaded,
    /// Random engine (baseline).
    Random,
    /// First engine by rendezvous hashing (baseline).
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

/// Simulates workloads against the routing and admission decisions of entries and agents.
///
/// Prints one block per routing policy. Each figure is the median over all
/// seeds: the share of requests served on time, the value of all complete
/// responses as a share of the maximum (worth), the adapter loads from the
/// weight store, and the results of each request class.
#[derive(Clone, Debug, Parser)]
#[command(version)]
struct Cli {
    /// Arrival rate, in requests per second.
    #[arg(long, default_value_t = 110.0)]
    rate: f64,
    /// Duration of the workload, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Number of seeds to simulate, starting from 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of engines.
    #[arg(long, default_value_t = 18)]
    engines: usize,
    /// Number of adapters.
    #[arg(long, default_value_t = 3_000)]
    adapters: usize,
    /// Number of concurrent loads that the weight store serves at full speed.
    #[arg(long, default_value_t = 8.0)]
    store_full_speed_loads: f64,
    /// Adapter slots per engine.
    #[arg(long, default_value_t = 9)]
    slots: usize,
    /// Tokens in one event of a response stream.
    #[arg(long, default_value_t = 4)]
    event_tokens: u32,
    /// Routing policies to compare; all of them if none is given.
    #[arg(long = "choice", value_enum)]
    choices: Vec<Choice>,
    /// Maximum number of engines that an adapter is routed to (its homes).
    #[arg(long, default_value_t = 6)]
    homes: usize,
    /// Number of random engines of which the least loaded one is considered as well.
    #[arg(long, default_value_t = 2)]
    random_candidates: usize,
    /// Cost of each additional home, in milliseconds.
    #[arg(long, default_value_t = 30)]
    home_step_ms: u64,
    /// Cost of an adapter load in addition to its wait, per second of loading.
    #[arg(long, default_value_t = 0.5)]
    load_weight: f64,
    /// Cost of delaying one running request, per second.
    #[arg(long, default_value_t = 0.0)]
    interference_weight: f64,
    /// Cost of the time from the first byte to the last, per second.
    #[arg(long, default_value_t = 0.0)]
    output_weight: f64,
    /// Maximum prefill work queued at an engine, in milliseconds.
    #[arg(long, default_value_t = 300)]
    read_ahead_ms: u64,
    /// Maximum number of adapters that a newly started engine loads concurrently.
    #[arg(long, default_value_t = SchedulerSettings::default().initial_load_limit)]
    loads_at_first: usize,
    /// Multiple of the usual load time from which a load indicates an overloaded weight store.
    #[arg(long, default_value_t = SchedulerSettings::default().slow_load_ratio)]
    slow_load: f64,
    /// Deadline for the first byte, as a multiple of the latency objective.
    #[arg(long, default_value_t = 3.2)]
    useful_objectives: f64,
}

impl Cli {
    fn fleet_config(&self, choice: Choice) -> FleetConfig {
        let routing = RouterSettings::builder()
            .policy(choice.policy())
            .homes(self.homes)
            .random_candidates(self.random_candidates)
            .home_step(Duration::from_millis(self.home_step_ms))
            .load_weight(self.load_weight)
            .interference_weight(self.interference_weight)
            .output_weight(self.output_weight)
            .loads_per_second(32.0)
            .host_cache_capacity(40)
            .batch_weight(0.0)
            .build();
        let scheduler = SchedulerSettings::builder()
            .initial_load_limit(self.loads_at_first)
            .slow_load_ratio(self.slow_load)
            .fallback_loads_per_second(1_000.0)
            .fallback_load_burst(4.0)
            .granter_timeout(Duration::ZERO)
            .popularity_half_life(Duration::from_secs(10))
            .max_prefill_backlog(Duration::from_millis(self.read_ahead_ms))
            .build();
        let engine = EngineSpec::builder()
            .adapter_slots(self.slots)
            .tokens_per_event(self.event_tokens)
            .build();
        FleetConfig::builder()
            .entries(self.entries)
            .engines(self.engines)
            .engine(engine)
            .routing(routing)
            .scheduler(scheduler)
            .useful_objectives(self.useful_objectives)
            .store_full_speed_loads(self.store_full_speed_loads)
            .build()
    }

    fn simulate(&self, choice: Choice) -> Vec<Outcome> {
        let threads = (1..=self.seeds).map(|seed| {
            let config = self.fleet_config(choice);
            let workload = Workload::builder()
                .rate(self.rate)
                .duration(Duration::from_secs(self.seconds))
                .adapters(self.adapters)
                .seed(seed)
                .build();
            thread::spawn(move || Simulation::new(config).run(&workload))
        });
        let threads: Vec<_> = threads.collect();
        // A panic has already been reported on standard error; the other seeds still count.
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    }
}

fn main() {
    let cli = Cli::parse();
    let all_choices = Choice::value_variants();
    let choices = if cli.choices.is_empty() {
        all_choices
    } else {
        &cli.choices
    };
    println!(
        "choice        on-time  worth  loads  class        sent  on-time late-first late-pause refused failed"
    );
    for choice in choices {
        let outcomes = cli.simulate(*choice);
        let median_of = |value: &dyn Fn(&Outcome) -> f64| median(outcomes.iter().map(value));
        let name = format!("{choice:?}");
        print!(
            "{name:<13} {:>7.3} {:>6.3} {:>6.0}",
            median_of(&Outcome::on_time_share),
            median_of(&Outcome::value_share),
            median_of(&|outcome| outcome.store_loads as f64),
        );
        for (index, class) in workload::classes().iter().enumerate() {
            if index > 0 {
                print!("{:>35}", "");
            }
            let median_count = |count: &dyn Fn(&Outcome) -> u64| median_of(&|o| count(o) as f64);
            println!(
                "  {:<11} {:>5.0} {:>8.0} {:>10.0} {:>10.0} {:>7.0} {:>6.0}",
                class.name,
                median_count(&|o| o.classes[index].sent),
                median_count(&|o| o.classes[index].on_time),
                median_count(&|o| o.classes[index].first_event_late),
                median_count(&|o| o.classes[index].event_gap_late),
                median_count(&|o| o.classes[index].refused),
                median_count(&|o| o.classes[index].failed),
            );
        }
    }
}

/// Returns the median, the upper one of an even number of values, or 0 if there are none.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
