//! Command line of the entry process.

use clap::Parser;
use dogwoodshunt_entry::Entry;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_runtime::program;
use dogwoodshunt_runtime::program::Command;
use std::process::ExitCode;

/// Accepts callers' requests and forwards them to agents.
///
/// The entry chooses an agent for each request, returns the agent's response to
/// the caller and serves the HTTP interface for operators. On SIGTERM, it
/// rejects new requests, finishes those in flight and exits.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    program::main(
        "dogwoodshunt-entry",
        command,
        |settings: EntrySettings, context| {
            smol::block_on(async {
                let entry = Entry::bind(settings, context.traffic, context.log).await?;
                entry.run(context.stop).await?;
                Ok(())
            })
        },
    )
}
