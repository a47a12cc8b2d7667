//! Command line of the load generator and benchmark tool.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_load::experiment;
use dogwoodshunt_load::plot;
use dogwoodshunt_load::proxy_overhead;
use dogwoodshunt_load::release_latency;
use dogwoodshunt_load::release_latency::Disturbance;
use dogwoodshunt_load::report;
use dogwoodshunt_load::scaling;
use dogwoodshunt_load::workload::Workload;
use dogwoodshunt_runtime::settings;
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Measures dogwoodshunt on this machine, with simulated engines and services.
///
/// The programs `dogwoodshunt-entry` and `dogwoodshunt-agent` must be in the
/// directory of this program; `cargo build --release --workspace` puts them there.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares the cost-based routing policy with baselines on one workload.
    Experiment(ExperimentArgs),
    /// Measures how long release notes take to be accepted and to be in force.
    Notes(NotesArgs),
    /// Measures the overhead of calls through entry and agent.
    Path(PathArgs),
    /// Measures how resource usage scales; basis of docs/CAPACITY.md.
    Slopes(SlopesArgs),
}

#[derive(Args, Debug)]
struct ExperimentArgs {
    /// Workload file, JSON with comments; see examples/workloads.
    workload: PathBuf,
    /// Seeds of the generated traces.
    #[arg(long, value_delimiter = ',', default_value = "1,2")]
    seeds: Vec<u64>,
    /// Write the results as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a plot of the mean waits as SVG to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

#[derive(Args, Debug)]
struct NotesArgs {
    /// Number of notes in a healthy fleet, and with the key-value service down.
    #[arg(long, default_value_t = 200)]
    notes: usize,
    /// Number of notes with a suspended agent, and with a disconnected failure domain.
    #[arg(long, default_value_t = 20)]
    disturbed: usize,
}

#[derive(Args, Debug)]
struct PathArgs {
    /// Number of calls on each path.
    #[arg(long, default_value_t = 4_000)]
    calls: usize,
    /// Number of calls in flight at once.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
}

#[derive(Args, Debug)]
struct SlopesArgs {
    /// Skip the measurements of key-value calls, which start fleets of processes.
    #[arg(long)]
    no_processes: bool,
    /// Write JSON instead of text.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let result = smol::block_on(async {
        match Cli::parse().command {
            Command::Experiment(args) => run_experiment(&args).await,
            Command::Notes(args) => run_notes(&args).await,
            Command::Path(args) => run_path(&args).await,
            Command::Slopes(args) => run_slopes(&args).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_experiment(args: &ExperimentArgs) -> Result<(), Box<dyn Error>> {
    let workload: Workload = settings::read(&args.workload)?;
    let results = experiment::run(&workload, &experiment::POLICIES, &args.seeds).await?;
    println!(
        "workload {}, seeds {:?}, {}",
        workload.name,
        args.seeds,
        describe_machine_load()
    );
    print!("{}", report::markdown_table(&results));
    if let Some(path) = &args.json {
        fs::write(path, serde_json::to_string_pretty(&results)?)?;
    }
    if let Some(path) = &args.svg {
        plot::write_wait_plot(&results, &workload.name, path)?;
    }
    Ok(())
}

async fn run_notes(args: &NotesArgs) -> Result<(), Box<dyn Error>> {
    println!("four entries, 18 agents, {}", describe_machine_load());
    println!("| disturbance | notes | submit to accepted, ms | accepted to in force, ms |");
    println!("| --- | --- | --- | --- |");
    for (disturbance, count) in [
        (Disturbance::None, args.notes),
        (Disturbance::ServiceDown, args.notes),
        (Disturbance::AgentFrozen, args.disturbed),
        (Disturbance::DomainCut, args.disturbed),
    ] {
        println!("{}", release_latency::measure(disturbance, count).await?);
    }
    Ok(())
}

async fn run_path(args: &PathArgs) -> Result<(), Box<dyn Error>> {
    let overhead = proxy_overhead::measure(args.calls, args.parallel).await?;
    println!("{overhead} {}", describe_machine_load());
    Ok(())
}

async fn run_slopes(args: &SlopesArgs) -> Result<(), Box<dyn Error>> {
    let fits = scaling::measure(!args.no_processes).await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&fits)?);
        return Ok(());
    }
    for fit in fits {
        println!("{fit}");
    }
    Ok(())
}

/// Returns the number of cores and the one-minute load average of this machine.
fn describe_machine_load() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load_averages = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let one_minute_load = load_averages.split(' ').next().unwrap_or_default();
    format!("cores={cores} load={one_minute_load}")
}
