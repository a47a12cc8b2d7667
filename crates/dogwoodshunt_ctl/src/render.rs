//! Text output of commands.

use crate::audit::SubjectChange;
use crate::audit::VersionTracker;
use dogwoodshunt_catalogue::LogEntry;
use dogwoodshunt_operator::messages::AgentStatus;
use dogwoodshunt_operator::messages::FleetStatus;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_types::Revision;
use std::fmt::Write;

/// Returns the audit trail of the log entries after revision `after`.
///
/// `entries` holds the log from the oldest retained entry, so that each change is
/// shown with the state before.
pub fn audit(entries: &[LogEntry], after: Revision) -> String {
    let mut text = String::new();
    let mut tracker = VersionTracker::default();
    for entry in entries {
        let changes = tracker.apply(entry);
        if entry.revision <= after {
            continue;
        }
        let _ = writeln!(text, "{}", format_entry_heading(entry));
        for change in changes {
            let _ = writeln!(text, "    {}", format_change(&change));
        }
    }
    text
}

/// Returns one line per change.
pub fn changes(changes: &[SubjectChange]) -> String {
    changes.iter().fold(String::new(), |mut text, change| {
        let _ = writeln!(text, "{}", format_change(change));
        text
    })
}

/// Returns one line on whether a revision is accepted and in force.
pub fn replication_status(status: &ReplicationStatus) -> String {
    let state = match (status.accepted, status.in_force) {
        (_, true) => "in force".to_owned(),
        (true, false) if status.lagging_nodes.is_empty() => {
            "accepted, bare adapter names are switching to the new versions".to_owned()
        }
        (true, false) => format!("accepted, missing at {}", status.lagging_nodes.join(", ")),
        (false, false) => "pending: in the log, not accepted yet".to_owned(),
    };
    format!(
        "revision {}: {state} ({} live nodes)\n",
        status.revision, status.live_nodes
    )
}

/// Returns the state of the fleet.
pub fn fleet_status(fleet: &FleetStatus) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "entry {}: revision {}, {}, {}, {} adapters in force",
        fleet.entry,
        fleet.revision,
        if fleet.fresh { "fresh" } else { "stale" },
        if fleet.ready { "ready" } else { "not ready" },
        fleet.adapters
    );
    if !fleet.stops.is_empty() {
        let _ = writeln!(text, "planned stops: {}", fleet.stops.join(", "));
    }
    for agent in &fleet.agents {
        let _ = writeln!(text, "{}", agent_status(agent));
    }
    text
}

/// Returns one line on the state of an agent.
pub fn agent_status(agent: &AgentStatus) -> String {
    let state = match (agent.connected, agent.leaving, agent.empty) {
        (false, _, _) => "unreachable",
        (true, true, true) => "stopped and empty",
        (true, true, false) => "stopping, requests in flight",
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

fn format_entry_heading(entry: &LogEntry) -> String {
    format!(
        "{} {} by {} at {} ms",
        entry.revision, entry.id, entry.author, entry.written_at
    )
}

fn format_change(change: &SubjectChange) -> String {
    format!("{}: {} -> {}", change.subject, change.before, change.after)
}
