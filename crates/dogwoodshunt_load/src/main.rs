//! Load and experiment tool.

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

/// Measures dogwoodshunt on this machine, with stand-ins.
///
/// The programs `dogwoodshunt-entry` and `dogwoodshunt-agent` must stand
/// beside this one, built with `cargo build --release --workspace`.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one workload against the chosen design and the baselines, side by side.
    Experiment(ExperimentArgs),
    /// Measures the time from a note's acceptance until it is in force.
    Notes(NotesArgs),
    /// Measures what the way through entry and agent adds to a call.
    Path(PathArgs),
    /// Measures the slopes that docs/CAPACITY.md rests on.
    Slopes(SlopesArgs),
}

#[derive(Args, Debug)]
struct ExperimentArgs {
    /// Workload, JSON with comments; see examples/workloads.
    workload: PathBuf,
    /// Seeds of the traces.
    #[arg(long, value_delimiter = ',', default_value = "1,2")]
    seeds: Vec<u64>,
    /// Write the results as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a plot of the waits as SVG to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

#[derive(Args, Debug)]
struct NotesArgs {
    /// Notes of a healthy fleet, and of one whose service goes down.
    #[arg(long, default_value_t = 200)]
    notes: usize,
    /// Notes while an agent is frozen, and while a failure domain is cut off.
    #[arg(long, default_value_t = 20)]
    disturbed: usize,
}

#[derive(Args, Debug)]
struct PathArgs {
    /// Calls on each way.
    #[arg(long, default_value_t = 4_000)]
    calls: usize,
    /// Calls in flight at once.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
}

#[derive(Args, Debug)]
struct SlopesArgs {
    /// Leave out the fleets of processes that call the key-value service.
    #[arg(long)]
    no_processes: bool,
    /// Write JSON instead of text.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let done = smol::block_on(async {
        match Cli::parse().command {
            Command::Experiment(args) => run_experiment(&args).await,
            Command::Notes(args) => run_notes(&args).await,
            Command::Path(args) => run_path(&args).await,
            Command::Slopes(args) => run_slopes(&args).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_experiment(args: &ExperimentArgs) -> Result<(), Box<dyn Error>> {
    let workload: Workload = settings::read(&args.workload)?;
    let outcomes = experiment::run(&workload, &experiment::POLICIES, &args.seeds).await?;
    println!(
        "workload {}, seeds {:?}, {}",
        workload.name,
        args.seeds,
        load_average()
    );
    print!("{}", report::table(&outcomes));
    if let Some(path) = &args.json {
        fs::write(path, serde_json::to_string_pretty(&outcomes)?)?;
    }
    if let Some(path) = &args.svg {
        plot::waits(&outcomes, &workload.name, path)?;
    }
    Ok(())
}

async fn run_notes(args: &NotesArgs) -> Result<(), Box<dyn Error>> {
    println!("four entries, 18 agents, {}", load_average());
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
    let cost = proxy_overhead::measure(args.calls, args.parallel).await?;
    println!("{cost} {}", load_average());
    Ok(())
}

async fn run_slopes(args: &SlopesArgs) -> Result<(), Box<dyn Error>> {
    let slopes = scaling::measure(!args.no_processes).await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&slopes)?);
        return Ok(());
    }
    for slope in slopes {
        println!("{slope}");
    }
    Ok(())
}

/// Returns the cores of this machine and its load.
fn load_average() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    format!("cores={cores} load={load}")
}
