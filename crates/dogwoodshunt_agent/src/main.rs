//! The process beside an upstream host's engines and services.

use clap::Parser;
use dogwoodshunt_agent::Agent;
use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_runtime::program;
use dogwoodshunt_runtime::program::Command;
use std::process::ExitCode;

/// The process beside an upstream host's engines and services.
///
/// It is the only way to its host's upstreams: it loads adapters into engines,
/// queues requests and passes answers back to the entries. SIGTERM makes it
/// take no new work, finish what is in flight and exit.
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
        |settings: AgentSettings, around| {
            smol::block_on(async {
                let agent = Agent::bind(settings, around.traffic, around.log).await?;
                agent.run(around.stop).await;
                Ok(())
            })
        },
    )
}
