//! The agent process, which runs beside the engines and services of one host.

use clap::Parser;
use dogwoodshunt_agent::Agent;
use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_runtime::program;
use dogwoodshunt_runtime::program::Command;
use std::process::ExitCode;

/// Runs the agent beside the engines and services of one host.
///
/// All requests to the upstreams of the host pass through the agent: it loads
/// adapters into engines, queues requests and relays responses to the entries.
/// On SIGTERM, the agent accepts no new requests, finishes those in flight and
/// exits.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    program::main(
        "dogwoodshunt-agent",
        command,
        |settings: AgentSettings, context| {
            smol::block_on(async {
                let agent = Agent::bind(settings, context.traffic, context.log).await?;
                agent.run(context.stop).await;
                Ok(())
            })
        },
    )
}
