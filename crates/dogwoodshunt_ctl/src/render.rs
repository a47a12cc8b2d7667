//! What commands found, as text.

use crate::audit::Follower;
use crate::audit::Step;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_operator::messages::AgentState;
use dogwoodshunt_operator::messages::Overview;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_types::Revision;
use std::fmt::Write;

/// Returns the lines of an audit trail after revision `after`.
///
/// `entries` hold the log from its oldest kept entry, so that each change is
/// shown with what was there before it.
pub fn audit(entries: &[LogEntry], after: Revision) -> String {
    let mut text = String::new();
    let mut follower = Follower::default();
    for entry in entries {
        let steps = follower.steps(entry);
        if entry.revision <= after {
            continue;
        }
        let _ = writeln!(text, "{}", heading(entry));
        for step in steps {
            let _ = writeln!(text, "    {}", step_line(&step));
        }
    }
    text
}

/// Returns one line per change.
pub fn steps(steps: &[Step]) -> String {
    steps.iter().fold(String::new(), |mut text, step| {
        let _ = writeln!(text, "{}", step_line(step));
        text
    })
}

/// Returns one line on how far a revision has come.
pub fn standing(standing: &ReplicationStatus) -> String {
    let state = match (standing.accepted, standing.in_force) {
        (_, true) => "in force".to_owned(),
        (true, false) if standing.lagging_nodes.is_empty() => {
            "accepted, bare names are moving to the new versions".to_owned()
        }
        (true, false) => format!("accepted, missing at {}", standing.lagging_nodes.join(", ")),
        (false, false) => "pending: in the log, not accepted yet".to_owned(),
    };
    format!(
        "revision {}: {state} ({} live nodes)\n",
        standing.revision, standing.live_nodes
    )
}

/// Returns the state of the fleet.
pub fn overview(overview: &Overview) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "entry {}: revision {}, {}, {}, {} adapters in force",
        overview.entry,
        overview.revision,
        if overview.fresh { "fresh" } else { "stale" },
        if overview.ready { "ready" } else { "not ready" },
        overview.adapters
    );
    if !overview.stops.is_empty() {
        let _ = writeln!(text, "planned stops: {}", overview.stops.join(", "));
    }
    for agent in &overview.agents {
        let _ = writeln!(text, "{}", agent_line(agent));
    }
    text
}

/// Returns one line on an agent.
pub fn agent_line(agent: &AgentState) -> String {
    let state = match (agent.connected, agent.leaving, agent.empty) {
        (false, _, _) => "out of reach",
        (true, true, true) => "stopped and empty",
        (true, true, false) => "stopping, work in flight",
        (true, false, _) => "working",
    };
    format!(
        "agent {}: {state}, revision {}, epoch {}, upstreams {}",
        agent.node,
        agent.revision,
        agent.epoch,
        agent.upstreams.join(", ")
    )
}

fn heading(entry: &LogEntry) -> String {
    format!(
        "{} {} by {} at {} ms",
        entry.revision, entry.id, entry.author, entry.written_at
    )
}

fn step_line(step: &Step) -> String {
    format!("{}: {} -> {}", step.subject, step.before, step.after)
}
