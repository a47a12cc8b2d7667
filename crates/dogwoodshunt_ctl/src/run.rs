//! Carrying out of commands.

use crate::cli::AuditArgs;
use crate::cli::Cli;
use crate::cli::Command;
use crate::cli::ExplainArgs;
use crate::cli::Release;
use crate::cli::Stop;
use crate::cli::StopArgs;
use crate::diff::diff;
use crate::exit::Exit;
use crate::explain;
use crate::explain::Line;
use crate::render;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::release::Problem;
use dogwoodshunt_operator::Operator;
use dogwoodshunt_operator::client::CallError;
use dogwoodshunt_operator::messages::Appended;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_operator::messages::SubmitRelease;
use dogwoodshunt_runtime::boot;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::settings::SettingsError;
use dogwoodshunt_types::Revision;
use serde::Serialize;
use serde_json::json;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// How long `--wait` waits.
const WAIT: Duration = Duration::from_secs(10);

/// Status by which an entry says that nothing was changed and to try again.
const TRY_AGAIN: u16 = 503;

/// Status by which an entry refuses what is malformed.
const MALFORMED: u16 = 400;

/// What a command printed, and how it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub error: String,
    /// How the command ended.
    pub exit: Exit,
}

impl Report {
    fn new(output: String, exit: Exit) -> Self {
        Self {
            output,
            error: String::new(),
            exit,
        }
    }

    fn failed(error: impl std::fmt::Display, exit: Exit) -> Self {
        Self {
            output: String::new(),
            error: format!("error: {error}\n"),
            exit,
        }
    }
}

impl From<CallError> for Report {
    fn from(error: CallError) -> Self {
        let exit = match &error {
            CallError::Fault { fault } if fault.unsure => Exit::Pending,
            CallError::Fault { fault } if fault.status == TRY_AGAIN => Exit::Unanswered,
            CallError::Fault { fault } if fault.status == MALFORMED => Exit::Problems,
            CallError::Fault { .. } => Exit::Refused,
            CallError::Http { .. } => Exit::Unanswered,
        };
        Self::failed(error, exit)
    }
}

/// Carries out the command of `cli` through `operator`.
pub async fn run(cli: &Cli, operator: &Operator) -> Report {
    let command = Runner {
        operator,
        json: cli.json,
    };
    let done = match &cli.command {
        Command::Audit(args) | Command::Release(Release::Log(args)) => command.audit(args).await,
        Command::Explain(args) => explain(args),
        Command::Release(release) => command.release(release).await,
        Command::Status => command.status().await,
        Command::Stop(stop) => command.stop(stop).await,
    };
    done.unwrap_or_else(|failed| failed)
}

/// Gathers the story of a request; no entry is asked.
fn explain(args: &ExplainArgs) -> Done {
    let mut lines = Vec::new();
    for path in &args.logs {
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("read log {}: {error}", path.display());
            Report::failed(message, Exit::Problems)
        })?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    let read = lines.len();
    let story = explain::story(lines, &args.id);
    if story.is_empty() {
        let message = format!("none of {read} lines tells of request {}", args.id);
        return Err(Report::failed(message, Exit::Refused));
    }
    let lines = story.iter().map(|line| format!("{}\n", line.text()));
    Ok(Report::new(lines.collect(), Exit::Done))
}

struct Runner<'a> {
    operator: &'a Operator,
    json: bool,
}

type Done = Result<Report, Report>;

impl Runner<'_> {
    async fn release(&self, release: &Release) -> Done {
        match release {
            Release::Check { file, offline } => self.check(file, *offline).await,
            Release::Diff { from, to } => self.diff(*from, *to).await,
            Release::Log(args) => self.audit(args).await,
            Release::Show { revision } => self.show(*revision).await,
            Release::Status { revision, wait } => self.standing(*revision, *wait).await,
            Release::Submit { file, rebase, wait } => self.submit(file, *rebase, *wait).await,
        }
    }

    async fn check(&self, file: &Path, offline: bool) -> Done {
        let note = read_note(file)?;
        let problems = if offline {
            note.validate()
        } else {
            let rebase = Rebase::default();
            let submit = SubmitRelease { note, rebase };
            self.operator.check(&submit).await?.problems
        };
        if problems.is_empty() {
            return Ok(self.report(&problems, format!("{}: good\n", file.display())));
        }
        let text = problem_lines(file, &problems);
        let report = self.report(&problems, text);
        Err(Report {
            exit: Exit::Problems,
            ..report
        })
    }

    async fn submit(&self, file: &Path, rebase: bool, wait: bool) -> Done {
        let note = read_note(file)?;
        let rebase = if rebase {
            Rebase::Allowed
        } else {
            Rebase::Forbidden
        };
        let submit = SubmitRelease { note, rebase };
        let appended = self.operator.submit(&submit).await?;
        self.after_append(appended, wait).await
    }

    async fn after_append(&self, appended: Appended, wait: bool) -> Done {
        let Appended {
            entry,
            mut standing,
        } = appended;
        if wait {
            standing = self.operator.wait_in_force(entry.revision, WAIT).await?;
        }
        let confirmed = standing.in_force || (standing.accepted && !wait);
        let exit = if confirmed { Exit::Done } else { Exit::Pending };
        let text = render::standing(&standing);
        let report = self.report(&json!({"entry": entry, "standing": standing}), text);
        Ok(Report { exit, ..report })
    }

    async fn standing(&self, revision: Revision, wait: bool) -> Done {
        let limit = if wait { WAIT } else { Duration::ZERO };
        let standing = self.operator.wait_in_force(revision, limit).await?;
        let exit = if standing.in_force {
            Exit::Done
        } else {
            Exit::Pending
        };
        let report = self.report(&standing, render::standing(&standing));
        Ok(Report { exit, ..report })
    }

    async fn show(&self, revision: Revision) -> Done {
        let page = self.operator.log(revision.saturating_sub(1)).await?;
        let mut entries = page.entries.into_iter();
        let entry = entries.find(|entry| entry.revision == revision);
        let Some(entry) = entry else {
            let message = format!("revision {revision} is not in the log");
            return Err(Report::failed(message, Exit::Problems));
        };
        // PANIC: An entry was read from JSON.
        let text = serde_json::to_string_pretty(&entry).expect("an entry as JSON") + "\n";
        Ok(self.report(&entry, text))
    }

    async fn diff(&self, from: Revision, to: Revision) -> Done {
        let entries = self.entries_after(0).await?;
        let steps = diff(&entries, from, to);
        Ok(self.report(&steps, render::steps(&steps)))
    }

    async fn audit(&self, args: &AuditArgs) -> Done {
        let entries = self.entries_after(0).await?;
        let shown = entries.iter().filter(|entry| entry.revision > args.after);
        let shown: Vec<LogEntry> = shown.cloned().collect();
        Ok(self.report(&shown, render::audit(&entries, args.after)))
    }

    async fn entries_after(&self, after: Revision) -> Result<Vec<LogEntry>, Report> {
        let mut entries: Vec<LogEntry> = Vec::new();
        loop {
            let last = entries.last().map_or(after, |entry| entry.revision);
            let page = self.operator.log(last).await?;
            if page.entries.is_empty() {
                return Ok(entries);
            }
            entries.extend(page.entries);
        }
    }

    async fn status(&self) -> Done {
        let overview = self.operator.status().await?;
        Ok(self.report(&overview, render::overview(&overview)))
    }

    async fn stop(&self, stop: &Stop) -> Done {
        match stop {
            Stop::Cancel(args) => {
                let request = stop_request(args, false);
                let appended = self.operator.cancel_stop(&request).await?;
                self.after_append(appended, false).await
            }
            Stop::Plan(args) => {
                let request = stop_request(&args.stop, args.force);
                let appended = self.operator.plan_stop(&request).await?;
                self.after_append(appended, false).await
            }
            Stop::Status { target } => self.stop_status(target).await,
        }
    }

    async fn stop_status(&self, target: &str) -> Done {
        let overview = self.operator.status().await?;
        let mut agents = overview.agents.iter();
        let agent = agents.find(|agent| {
            let upstreams = &agent.upstreams;
            *agent.node == *target || upstreams.iter().any(|upstream| **upstream == *target)
        });
        let planned = overview.stops.iter().any(|stop| **stop == *target);
        let line = agent.map_or_else(
            || format!("{target} is not connected to this entry"),
            render::agent_line,
        );
        let planned_text = if planned { "planned" } else { "not planned" };
        let text = format!("stop of {target}: {planned_text}\n{line}\n");
        let empty = agent.is_some_and(|agent| agent.empty);
        let value = json!({"target": target, "planned": planned, "agent": agent});
        let report = self.report(&value, text);
        let exit = if planned && empty {
            Exit::Done
        } else {
            Exit::Pending
        };
        Ok(Report { exit, ..report })
    }

    fn report<T: Serialize>(&self, value: &T, text: String) -> Report {
        let output = if self.json {
            // PANIC: Reports are this program's own types, with keys of text.
            serde_json::to_string(value).expect("a report as JSON") + "\n"
        } else {
            text
        };
        Report::new(output, Exit::Done)
    }
}

fn read_note(file: &Path) -> Result<ReleaseNote, Report> {
    let name = file.display().to_string();
    let problem = |error: &dyn std::fmt::Display| Report::failed(error, Exit::Problems);
    let text = fs::read_to_string(file);
    let text = text.map_err(|error| problem(&format!("{name}: {error}")))?;
    let note: Result<ReleaseNote, SettingsError> = settings::parse_unchecked(&name, &text);
    note.map_err(|error| problem(&error))
}

fn problem_lines(file: &Path, problems: &[Problem]) -> String {
    let name = file.display();
    let lines = problems
        .iter()
        .map(|problem| format!("{name}: {problem}\n"));
    lines.collect()
}

fn stop_request(args: &StopArgs, force: bool) -> StopRequest {
    let id = args.id.clone();
    let id = id.unwrap_or_else(|| format!("stop-{:016x}", boot::draw_boot_id()).into());
    StopRequest {
        id,
        author: args.author.clone(),
        target: args.target.clone(),
        force,
    }
}
