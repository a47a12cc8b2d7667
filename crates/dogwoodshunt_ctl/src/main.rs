//! The operator's command.

use clap::Parser;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_ctl::cli::Cli;
use dogwoodshunt_ctl::commands;
use dogwoodshunt_ctl::exit::Exit;
use dogwoodshunt_operator::Operator;
use dogwoodshunt_runtime::traffic;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Time that a connection to the entry may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (traffic, _threads) = match traffic::start(1) {
        Ok(started) => started,
        Err(error) => {
            eprintln!("error: {error}");
            return Exit::Unanswered.into();
        }
    };
    let client = Arc::new(Client::new(traffic, CONNECT_TIMEOUT));
    let operator = Operator::new(client, cli.entry);
    let report = smol::block_on(commands::run(&cli, &operator));
    print!("{}", report.output);
    eprint!("{}", report.error);
    report.exit.into()
}
