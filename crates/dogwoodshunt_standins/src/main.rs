//! Stand-ins for engines, services and the platform, for development.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_runtime::shutdown::StopSignals;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_standins::engine::EngineStandin;
use dogwoodshunt_standins::engine::Shape;
use dogwoodshunt_standins::engine::handler::Serving;
use dogwoodshunt_standins::host_list::Hosts;
use dogwoodshunt_standins::kv::KvStandin;
use dogwoodshunt_standins::serve::Served;
use dogwoodshunt_standins::serve::serve;
use dogwoodshunt_standins::service::Service;
use dogwoodshunt_standins::weight_store::WeightStore;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Stand-ins for engines, services and the platform, for development.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// Serves model engines, one at each address.
    Engine(EngineArgs),
    /// Serves a host list; POST {"name": ..., "state": "leaving"} to /standin/host.
    Hosts(HostsArgs),
    /// Serves a key-value service (JSON gateway of etcd v3).
    Kv(KvArgs),
    /// Serves a plain service that counts what it ran at /standin/ran.
    Service(ServiceArgs),
    /// Serves a weight store: four loads a second, slower beyond eight in flight.
    Weights(WeightsArgs),
}

#[derive(Args, Debug)]
struct EngineArgs {
    /// Address to listen on; repeat it for more engines.
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    /// Address of the weight store; loads take no time without one.
    #[arg(long)]
    weights: Option<SocketAddr>,
    /// Base model that the engines hold.
    #[arg(long, default_value = "base")]
    base_model: Box<str>,
    /// Adapters that fit at once.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Requests that run at once.
    #[arg(long, default_value_t = 16)]
    batch: usize,
    /// Time per generated token, in microseconds.
    #[arg(long, default_value_t = 10_000)]
    token_us: u64,
    /// Carry out orders with an old fencing number.
    #[arg(long)]
    ignore_fencing: bool,
}

#[derive(Args, Debug)]
struct HostsArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Time until a change shows, in milliseconds.
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
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    run_ms: u64,
}

#[derive(Args, Debug)]
struct WeightsArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

/// Time that a connection to the weight store may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn main() -> io::Result<()> {
    let cli = Cli::parse();
    let (traffic, _threads) = traffic::start(2)?;
    smol::block_on(async {
        let served = start(cli.standin, &traffic).await?;
        for standin in &served {
            eprintln!("listening address={}", standin.address);
        }
        StopSignals::take()?.requested().await
    })
}

async fn start(standin: Standin, traffic: &Traffic) -> io::Result<Vec<Served>> {
    match standin {
        Standin::Engine(args) => engines(args, traffic).await,
        Standin::Hosts(args) => {
            let hosts = Hosts::new(Duration::from_millis(args.lag_ms));
            Ok(vec![serve(args.listen, traffic, Arc::new(hosts)).await?])
        }
        Standin::Kv(args) => {
            let kv = Arc::new(KvStandin::new());
            Ok(vec![serve(args.listen, traffic, kv).await?])
        }
        Standin::Service(args) => {
            let service = Service::new(&args.name, Duration::from_millis(args.run_ms));
            Ok(vec![serve(args.listen, traffic, Arc::new(service)).await?])
        }
        Standin::Weights(args) => {
            let store = Arc::new(WeightStore::new());
            Ok(vec![serve(args.listen, traffic, store).await?])
        }
    }
}

async fn engines(args: EngineArgs, traffic: &Traffic) -> io::Result<Vec<Served>> {
    let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
    let weights = args.weights.map(|address| address.to_string());
    let mut served = Vec::new();
    for address in args.listen {
        let shape = Shape {
            base_model: args.base_model.clone(),
            slots: args.slots,
            batch: args.batch,
            token_time: Duration::from_micros(args.token_us),
            check_fencing: !args.ignore_fencing,
        };
        let engine = EngineStandin::new(shape, client.clone(), weights.as_deref(), traffic);
        served.push(serve(address, traffic, Arc::new(Serving(engine))).await?);
    }
    Ok(served)
}
