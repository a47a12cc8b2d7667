//! The process that takes callers' requests.

use clap::Parser;
use dogwoodshunt_entry::Entry;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_runtime::program;
use dogwoodshunt_runtime::program::Command;
use std::process::ExitCode;

/// The process that takes callers' requests.
///
/// It chooses an agent for each request, passes the answer on and serves the
/// operators' interface. SIGTERM makes it take no new requests, answer those
/// in flight and exit.
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
        |settings: EntrySettings, around| {
            smol::block_on(async {
                let entry = Entry::bind(settings, around.traffic, around.log).await?;
                entry.run(around.stop).await?;
                Ok(())
            })
        },
    )
}
