//! Command line that runs stand-ins as processes, for development.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_runtime::shutdown::StopSignals;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_standins::engine::EngineConfig;
use dogwoodshunt_standins::engine::EngineStandin;
use dogwoodshunt_standins::engine::handler::EngineHandler;
use dogwoodshunt_standins::host_list::HostListStandin;
use dogwoodshunt_standins::kv::KvStandin;
use dogwoodshunt_standins::serve::RunningStandin;
use dogwoodshunt_standins::serve::serve;
use dogwoodshunt_standins::service::ServiceStandin;
use dogwoodshunt_standins::weight_store::WeightStoreStandin;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Runs fakes of engines, services and platform components, for development.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// Serves model engines, one on each address.
    Engine(EngineArgs),
    /// Serves a host list; POST {"name": ..., "state": "leaving"} to /standin/host changes it.
    Hosts(HostsArgs),
    /// Serves an in-memory key-value service (JSON gateway of etcd v3).
    Kv(KvArgs),
    /// Serves a plain service; GET /standin/ran returns the counts of its executions.
    Service(ServiceArgs),
    /// Serves a weight store: four loads a second, slower beyond eight loads in flight.
    Weights(WeightsArgs),
}

#[derive(Args, Debug)]
struct EngineArgs {
    /// Address to listen on; repeat the flag for each further engine.
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    /// Address of the weight store; without one, loads complete at once.
    #[arg(long)]
    weights: Option<SocketAddr>,
    /// Base model that the engines serve.
    #[arg(long, default_value = "base")]
    base_model: Box<str>,
    /// Maximum number of adapters loaded at once.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Maximum number of requests that run at once.
    #[arg(long, default_value_t = 16)]
    batch: usize,
    /// Time per generated token, in microseconds.
    #[arg(long, default_value_t = 10_000)]
    token_us: u64,
    /// Execute load and unload orders that carry an outdated fencing token.
    #[arg(long)]
    ignore_fencing: bool,
}

#[derive(Args, Debug)]
struct HostsArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Delay until the list shows a change, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    lag_ms: u64,
}

#[derive(Args, Debug)]
struct KvArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

#[derive(Args, Debug)]
struct ServiceArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the service.
    #[arg(long, default_value = "dispatch")]
    name: Box<str>,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 20)]
    run_ms: u64,
}

#[derive(Args, Debug)]
struct WeightsArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

/// Timeout for opening a connection to the weight store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn main() -> io::Result<()> {
    let cli = Cli::parse();
    let (traffic, _threads) = traffic::start(2)?;
    smol::block_on(async {
        let standins = serve_standin(cli.standin, &traffic).await?;
        for standin in &standins {
            eprintln!("listening address={}", standin.address);
        }
        StopSignals::register()?.recv().await
    })
}

async fn serve_standin(
    standin: Standin,
    traffic: &TrafficExecutor,
) -> io::Result<Vec<RunningStandin>> {
    match standin {
        Standin::Engine(args) => serve_engines(args, traffic).await,
        Standin::Hosts(args) => {
            let hosts = HostListStandin::new(Duration::from_millis(args.lag_ms));
            Ok(vec![serve(args.listen, traffic, Arc::new(hosts)).await?])
        }
        Standin::Kv(args) => {
            let kv = Arc::new(KvStandin::new());
            Ok(vec![serve(args.listen, traffic, kv).await?])
        }
        Standin::Service(args) => {
            let service = ServiceStandin::new(&args.name, Duration::from_millis(args.run_ms));
            Ok(vec![serve(args.listen, traffic, Arc::new(service)).await?])
        }
        Standin::Weights(args) => {
            let store = Arc::new(WeightStoreStandin::new());
            Ok(vec![serve(args.listen, traffic, store).await?])
        }
    }
}

async fn serve_engines(
    args: EngineArgs,
    traffic: &TrafficExecutor,
) -> io::Result<Vec<RunningStandin>> {
    let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
    let weight_store_address = args.weights.map(|address| address.to_string());
    let mut standins = Vec::new();
    for address in args.listen {
        let config = EngineConfig {
            base_model: args.base_model.clone(),
            slots: args.slots,
            batch: args.batch,
            token_time: Duration::from_micros(args.token_us),
            check_fencing: !args.ignore_fencing,
        };
        let engine = EngineStandin::new(
            config,
            client.clone(),
            weight_store_address.as_deref(),
            traffic,
        );
        standins.push(serve(address, traffic, Arc::new(EngineHandler(engine))).await?);
    }
    Ok(standins)
}
