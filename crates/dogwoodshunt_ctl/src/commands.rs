//! Execution of subcommands.

use crate::cli::Cli;
use crate::cli::Command;
use crate::cli::ExplainArgs;
use crate::cli::LogArgs;
use crate::cli::ReleaseCommand;
use crate::cli::StopArgs;
use crate::cli::StopCommand;
use crate::diff::diff;
use crate::exit::ExitStatus;
use crate::explain;
use crate::explain::LogLine;
use crate::render;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::release::NoteProblem;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_operator::client::ClientError;
use dogwoodshunt_operator::messages::ChangeResponse;
use dogwoodshunt_operator::messages::ReleaseRequest;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_runtime::nondeterminism;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::settings::SettingsError;
use dogwoodshunt_types::Revision;
use serde::Serialize;
use serde_json::json;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Maximum time that `--wait` waits for a revision to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP status of an error response after which nothing was changed and a retry can succeed.
const SERVICE_UNAVAILABLE: u16 = 503;

/// HTTP status of the response to a malformed request.
const BAD_REQUEST: u16 = 400;

/// Output and exit status of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit status of the process.
    pub exit_status: ExitStatus,
}

impl CommandOutput {
    fn new(stdout: String, exit_status: ExitStatus) -> Self {
        Self {
            stdout,
            stderr: String::new(),
            exit_status,
        }
    }

    fn failed(error: impl std::fmt::Display, exit_status: ExitStatus) -> Self {
        Self {
            stdout: String::new(),
            stderr: format!("error: {error}\n"),
            exit_status,
        }
    }
}

impl From<ClientError> for CommandOutput {
    fn from(error: ClientError) -> Self {
        let exit_status = match &error {
            ClientError::Api { response } if response.outcome_unknown => ExitStatus::Unconfirmed,
            ClientError::Api { response } if response.status == SERVICE_UNAVAILABLE => {
                ExitStatus::Unavailable
            }
            ClientError::Api { response } if response.status == BAD_REQUEST => ExitStatus::Invalid,
            ClientError::Api { .. } => ExitStatus::Refused,
            ClientError::Http { .. } => ExitStatus::Unavailable,
        };
        Self::failed(error, exit_status)
    }
}

/// Executes the subcommand of `cli` with the entry behind `operator`.
pub async fn execute(cli: &Cli, operator: &OperatorClient) -> CommandOutput {
    let executor = Executor {
        operator,
        json: cli.json,
    };
    let result = match &cli.command {
        Command::Audit(args) | Command::Release(ReleaseCommand::Log(args)) => {
            executor.audit(args).await
        }
        Command::Explain(args) => explain(args),
        Command::Release(release) => executor.release(release).await,
        Command::Status => executor.status().await,
        Command::Stop(stop) => executor.stop(stop).await,
    };
    result.unwrap_or_else(|failure| failure)
}

/// Collects the log lines of a request from log files, without contacting an entry.
fn explain(args: &ExplainArgs) -> CommandResult {
    let mut lines = Vec::new();
    for path in &args.logs {
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("read log {}: {error}", path.display());
            CommandOutput::failed(message, ExitStatus::Invalid)
        })?;
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    let line_count = lines.len();
    let related = explain::related_lines(lines, &args.id);
    if related.is_empty() {
        let message = format!(
            "none of the {line_count} log lines concerns request {}",
            args.id
        );
        return Err(CommandOutput::failed(message, ExitStatus::Refused));
    }
    let lines = related.iter().map(|line| format!("{}\n", line.text()));
    Ok(CommandOutput::new(lines.collect(), ExitStatus::Done))
}

/// Executes subcommands that call the operator API.
struct Executor<'a> {
    operator: &'a OperatorClient,
    json: bool,
}

/// Output of a command; `Err` holds the output of a command that failed before it had a result.
type CommandResult = Result<CommandOutput, CommandOutput>;

impl Executor<'_> {
    async fn release(&self, release: &ReleaseCommand) -> CommandResult {
        match release {
            ReleaseCommand::Check { file, offline } => self.check(file, *offline).await,
            ReleaseCommand::Diff { from, to } => self.diff(*from, *to).await,
            ReleaseCommand::Log(args) => self.audit(args).await,
            ReleaseCommand::Show { revision } => self.show(*revision).await,
            ReleaseCommand::Status { revision, wait } => {
                self.replication_status(*revision, *wait).await
            }
            ReleaseCommand::Submit { file, rebase, wait } => {
                self.submit(file, *rebase, *wait).await
            }
        }
    }

    async fn check(&self, file: &Path, offline: bool) -> CommandResult {
        let note = read_note(file)?;
        let problems = if offline {
            note.validate()
        } else {
            let rebase = Rebase::default();
            let request = ReleaseRequest { note, rebase };
            self.operator.check_release(&request).await?.problems
        };
        if problems.is_empty() {
            return Ok(self.output(&problems, format!("{}: good\n", file.display())));
        }
        let text = format_problems(file, &problems);
        let output = self.output(&problems, text);
        Err(CommandOutput {
            exit_status: ExitStatus::Invalid,
            ..output
        })
    }

    async fn submit(&self, file: &Path, rebase: bool, wait: bool) -> CommandResult {
        let note = read_note(file)?;
        let rebase = if rebase {
            Rebase::Allowed
        } else {
            Rebase::Forbidden
        };
        let request = ReleaseRequest { note, rebase };
        let change = self.operator.submit_release(&request).await?;
        self.change_output(change, wait).await
    }

    async fn change_output(&self, change: ChangeResponse, wait: bool) -> CommandResult {
        let ChangeResponse {
            entry,
            mut replication_status,
        } = change;
        if wait {
            replication_status = self
                .operator
                .wait_until_in_force(entry.revision, IN_FORCE_TIMEOUT)
                .await?;
        }
        let confirmed = replication_status.in_force || (replication_status.accepted && !wait);
        let exit_status = if confirmed {
            ExitStatus::Done
        } else {
            ExitStatus::Unconfirmed
        };
        let text = render::replication_status(&replication_status);
        let output = self.output(
            &json!({"entry": entry, "standing": replication_status}),
            text,
        );
        Ok(CommandOutput {
            exit_status,
            ..output
        })
    }

    async fn replication_status(&self, revision: Revision, wait: bool) -> CommandResult {
        let limit = if wait {
            IN_FORCE_TIMEOUT
        } else {
            Duration::ZERO
        };
        let status = self.operator.wait_until_in_force(revision, limit).await?;
        let exit_status = if status.in_force {
            ExitStatus::Done
        } else {
            ExitStatus::Unconfirmed
        };
        let output = self.output(&status, render::replication_status(&status));
        Ok(CommandOutput {
            exit_status,
            ..output
        })
    }

    async fn show(&self, revision: Revision) -> CommandResult {
        let page = self.operator.log_page(revision.saturating_sub(1)).await?;
        let mut entries = page.entries.into_iter();
        let entry = entries.find(|entry| entry.revision == revision);
        let Some(entry) = entry else {
            let message = format!(
                "log entry with revision {revision} does not exist or is no longer retained"
            );
            return Err(CommandOutput::failed(message, ExitStatus::Invalid));
        };
        // PANIC: The entry was deserialized from JSON, so it can be serialized.
        let text = serde_json::to_string_pretty(&entry)
            .expect("a log entry must serialize to JSON")
            + "\n";
        Ok(self.output(&entry, text))
    }

    async fn diff(&self, from: Revision, to: Revision) -> CommandResult {
        let entries = self.fetch_log_after(0).await?;
        let changes = diff(&entries, from, to);
        Ok(self.output(&changes, render::changes(&changes)))
    }

    async fn audit(&self, args: &LogArgs) -> CommandResult {
        let entries = self.fetch_log_after(0).await?;
        let listed = entries.iter().filter(|entry| entry.revision > args.after);
        let listed: Vec<LogEntry> = listed.cloned().collect();
        Ok(self.output(&listed, render::audit(&entries, args.after)))
    }

    async fn fetch_log_after(&self, after: Revision) -> Result<Vec<LogEntry>, CommandOutput> {
        let mut entries: Vec<LogEntry> = Vec::new();
        loop {
            let last_revision = entries.last().map_or(after, |entry| entry.revision);
            let page = self.operator.log_page(last_revision).await?;
            if page.entries.is_empty() {
                return Ok(entries);
            }
            entries.extend(page.entries);
        }
    }

    async fn status(&self) -> CommandResult {
        let fleet = self.operator.status().await?;
        Ok(self.output(&fleet, render::fleet_status(&fleet)))
    }

    async fn stop(&self, stop: &StopCommand) -> CommandResult {
        match stop {
            StopCommand::Cancel(args) => {
                let request = stop_request(args, false);
                let change = self.operator.cancel_stop(&request).await?;
                self.change_output(change, false).await
            }
            StopCommand::Plan(args) => {
                let request = stop_request(&args.stop, args.force);
                let change = self.operator.plan_stop(&request).await?;
                self.change_output(change, false).await
            }
            StopCommand::Status { target } => self.stop_status(target).await,
        }
    }

    async fn stop_status(&self, target: &str) -> CommandResult {
        let fleet = self.operator.status().await?;
        let mut agents = fleet.agents.iter();
        let agent = agents.find(|agent| {
            let upstreams = &agent.upstreams;
            *agent.node == *target || upstreams.iter().any(|upstream| **upstream == *target)
        });
        let is_planned = fleet.stops.iter().any(|stop| **stop == *target);
        let agent_status = agent.map_or_else(
            || format!("{target} is not connected to this entry"),
            render::agent_status,
        );
        let plan_state = if is_planned { "planned" } else { "not planned" };
        let text = format!("stop of {target}: {plan_state}\n{agent_status}\n");
        let is_empty = agent.is_some_and(|agent| agent.empty);
        let value = json!({"target": target, "planned": is_planned, "agent": agent});
        let output = self.output(&value, text);
        let exit_status = if is_planned && is_empty {
            ExitStatus::Done
        } else {
            ExitStatus::Unconfirmed
        };
        Ok(CommandOutput {
            exit_status,
            ..output
        })
    }

    fn output<T: Serialize>(&self, value: &T, text: String) -> CommandOutput {
        let stdout = if self.json {
            // PANIC: All values passed here have string keys and serialize without errors.
            serde_json::to_string(value).expect("a command result must serialize to JSON") + "\n"
        } else {
            text
        };
        CommandOutput::new(stdout, ExitStatus::Done)
    }
}

fn read_note(file: &Path) -> Result<ReleaseNote, CommandOutput> {
    let name = file.display().to_string();
    let failure = |error: &dyn std::fmt::Display| CommandOutput::failed(error, ExitStatus::Invalid);
    let text = fs::read_to_string(file);
    let text = text.map_err(|error| failure(&format!("read release note {name}: {error}")))?;
    let note: Result<ReleaseNote, SettingsError> = settings::parse_without_validation(&name, &text);
    note.map_err(|error| failure(&error))
}

fn format_problems(file: &Path, problems: &[NoteProblem]) -> String {
    let name = file.display();
    let lines = problems
        .iter()
        .map(|problem| format!("{name}: {problem}\n"));
    lines.collect()
}

fn stop_request(args: &StopArgs, force: bool) -> StopRequest {
    let id = args.id.clone();
    let id =
        id.unwrap_or_else(|| format!("stop-{:016x}", nondeterminism::generate_boot_id()).into());
    StopRequest {
        id,
        author: args.author.clone(),
        target: args.target.clone(),
        force,
    }
}
