//! Commands and their arguments.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dogwoodshunt_types::Revision;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Drives a dogwoodshunt fleet: release notes, planned stops, status, audit.
///
/// Exit codes: 0 done; 1 the entry or the key-value service did not answer,
/// nothing was changed; 2 bad arguments, or a note with problems; 3 refused,
/// as by a conflict; 4 the change stands or may stand but is not confirmed
/// yet: ask for its status, or submit it again with the same id.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Operators' address of any entry.
    #[arg(long, default_value = "127.0.0.1:8081", env = "DOGWOODSHUNT_ENTRY")]
    pub entry: SocketAddr,
    /// Write JSON instead of text.
    #[arg(long)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows who changed what and when, oldest first.
    Audit(AuditArgs),
    /// Gathers the story of one request from the logs of several processes.
    ///
    /// Prints each line that tells of the request, oldest first. Exits with 2
    /// if a log cannot be read, and with 3 if no line tells of it.
    Explain(ExplainArgs),
    /// Checks, submits and follows release notes.
    #[command(subcommand)]
    Release(Release),
    /// Shows the fleet as the entry sees it.
    Status,
    /// Plans, follows and cancels stops of hosts and upstreams.
    #[command(subcommand)]
    Stop(Stop),
}

/// Commands about release notes.
#[derive(Debug, Subcommand)]
pub enum Release {
    /// Reports every problem of a note, each with its place in the file.
    Check {
        /// Release note, JSON with comments.
        file: PathBuf,
        /// Check the file alone, without asking an entry.
        #[arg(long)]
        offline: bool,
    },
    /// Shows what changed between two revisions.
    Diff {
        /// Earlier revision.
        from: Revision,
        /// Later revision.
        to: Revision,
    },
    /// Lists the log, oldest first.
    Log(AuditArgs),
    /// Shows one entry of the log.
    Show {
        /// Revision of the entry.
        revision: Revision,
    },
    /// Shows how far a revision has come.
    Status {
        /// Revision of the note.
        revision: Revision,
        /// Wait until it is in force, for at most ten seconds.
        #[arg(long)]
        wait: bool,
    },
    /// Submits a note; submitting it again with the same id changes nothing.
    Submit {
        /// Release note, JSON with comments.
        file: PathBuf,
        /// Move the note onto the newest revision if no later note touches its adapters.
        #[arg(long)]
        rebase: bool,
        /// Wait until it is in force, for at most ten seconds.
        #[arg(long)]
        wait: bool,
    },
}

/// Commands about planned stops.
#[derive(Debug, Subcommand)]
pub enum Stop {
    /// Lets a host or upstream take work again.
    Cancel(StopArgs),
    /// Takes a host or upstream out of service without cutting anything off.
    Plan(StopPlanArgs),
    /// Shows whether a host is empty and may be switched off.
    Status {
        /// Host or upstream.
        target: Box<str>,
    },
}

/// Arguments of the story of a request.
#[derive(Args, Debug)]
pub struct ExplainArgs {
    /// Id that the caller gave the request, or that of an attempt.
    pub id: Box<str>,
    /// Logs of entries and agents, in any order.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of commands that list the log.
#[derive(Args, Debug)]
pub struct AuditArgs {
    /// List entries after this revision.
    #[arg(long, default_value_t = 0)]
    pub after: Revision,
}

/// Arguments of a change of stops.
#[derive(Args, Debug)]
pub struct StopArgs {
    /// Host or upstream.
    pub target: Box<str>,
    /// Who asks.
    #[arg(long, env = "USER")]
    pub author: Box<str>,
    /// Id of the change; the same id makes one change. Drawn where left out.
    #[arg(long)]
    pub id: Option<Box<str>>,
}

/// Arguments of a planned stop.
#[derive(Args, Debug)]
pub struct StopPlanArgs {
    /// What to stop, and who asks.
    #[command(flatten)]
    pub stop: StopArgs,
    /// Stop it even if nothing else serves what it serves.
    #[arg(long)]
    pub force: bool,
}
