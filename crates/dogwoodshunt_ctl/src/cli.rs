//! Command line: subcommands and their arguments.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_types::Revision;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates a dogwoodshunt fleet: release notes, planned stops, status, audit.
///
/// Exit codes: 0 success; 1 the entry or the key-value service did not respond,
/// nothing was changed; 2 invalid arguments, or an invalid file or release note;
/// 3 refused, for example because of a conflict; 4 the change is or may be in
/// the log, but is not confirmed yet: query its status, or submit it again with
/// the same id.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Operator API address of any entry.
    #[arg(long, default_value = "127.0.0.1:8081", env = "DOGWOODSHUNT_ENTRY")]
    pub entry: SocketAddr,
    /// Print JSON instead of text.
    #[arg(long)]
    pub json: bool,
    /// Subcommand to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Lists who changed what and when, oldest first.
    Audit(LogArgs),
    /// Collects the log lines of one request from the logs of several processes.
    ///
    /// Prints each line that concerns the request, oldest first. Exits with 2
    /// if a log cannot be read, and with 3 if no line concerns the request.
    Explain(ExplainArgs),
    /// Checks, submits and tracks release notes.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Shows the state of the fleet as known to the entry.
    Status,
    /// Plans, tracks and cancels stops of hosts and upstreams.
    #[command(subcommand)]
    Stop(StopCommand),
}

/// Subcommands for release notes.
#[derive(Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Reports every problem of a note, each with its position in the file.
    Check {
        /// Release note, JSON with comments.
        file: PathBuf,
        /// Check only the file, without contacting an entry.
        #[arg(long)]
        offline: bool,
    },
    /// Shows the changes between two revisions.
    Diff {
        /// Earlier revision.
        from: Revision,
        /// Later revision.
        to: Revision,
    },
    /// Lists the log entries, oldest first.
    Log(LogArgs),
    /// Shows one log entry.
    Show {
        /// Revision of the log entry.
        revision: Revision,
    },
    /// Shows whether a revision is accepted and in force.
    Status {
        /// Revision of the note.
        revision: Revision,
        /// Wait until the revision is in force, for at most ten seconds.
        #[arg(long)]
        wait: bool,
    },
    /// Submits a note. Submitting a note again with the same id has no effect.
    Submit {
        /// Release note, JSON with comments.
        file: PathBuf,
        /// Rebase the note onto the newest revision if no later note changes its adapters.
        #[arg(long)]
        rebase: bool,
        /// Wait until the note is in force, for at most ten seconds.
        #[arg(long)]
        wait: bool,
    },
}

/// Subcommands for planned stops.
#[derive(Debug, Subcommand)]
pub enum StopCommand {
    /// Cancels the planned stop of a host or upstream, which then accepts new requests again.
    Cancel(StopArgs),
    /// Drains a host or upstream; running requests are completed.
    Plan(PlanStopArgs),
    /// Shows whether a host has no requests left and can be shut down.
    Status {
        /// Name of the host or upstream.
        target: Box<str>,
    },
}

/// Arguments of `explain`.
#[derive(Args, Debug)]
pub struct ExplainArgs {
    /// Request id set by the caller, or the id of an attempt.
    pub id: Box<str>,
    /// Log files of entries and agents, in any order.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of commands that list log entries.
#[derive(Args, Debug)]
pub struct LogArgs {
    /// List only log entries after this revision.
    #[arg(long, default_value_t = 0)]
    pub after: Revision,
}

/// Arguments of `stop cancel`, and common arguments of `stop plan`.
#[derive(Args, Debug)]
pub struct StopArgs {
    /// Name of the host or upstream.
    pub target: Box<str>,
    /// Author of the change.
    #[arg(long, env = "USER")]
    pub author: Box<str>,
    /// Id of the change, by which a repeated command has no effect. Random by default.
    #[arg(long)]
    pub id: Option<Box<str>>,
}

/// Arguments of `stop plan`.
#[derive(Args, Debug)]
pub struct PlanStopArgs {
    /// Target, author and id.
    #[command(flatten)]
    pub stop: StopArgs,
    /// Stop the target even if no other host or upstream serves the same base model or service.
    #[arg(long)]
    pub force: bool,
}
