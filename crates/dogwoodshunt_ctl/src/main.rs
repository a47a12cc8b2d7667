//! Entry point of `dogwoodshunt-ctl`.

use clap::Parser;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_ctl::cli::Cli;
use dogwoodshunt_ctl::commands;
use dogwoodshunt_ctl::exit::ExitStatus;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_runtime::traffic;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time to open a connection to the entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (traffic, _threads) = match traffic::start(1) {
        Ok(pair) => pair,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Unavailable.into();
        }
    };
    let client = Arc::new(Client::new(traffic, CONNECT_TIMEOUT));
    let operator = OperatorClient::new(client, cli.entry);
    let output = smol::block_on(commands::execute(&cli, &operator));
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    output.exit_status.into()
}
