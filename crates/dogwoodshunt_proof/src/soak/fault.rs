//! Faults that the soak test injects.

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::relay::Mode;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_runtime::nondeterminism;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::io;

/// A fault; the number is the index of the affected agent or entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The relay in front of an agent refuses and closes connections.
    AgentDisconnected(usize),
    /// An agent's process is frozen with `SIGSTOP`.
    AgentFrozen(usize),
    /// An agent's process is killed with `SIGKILL`.
    AgentKilled(usize),
    /// Responses of an agent are held back; its connections stay open.
    ResponsesStalled(usize),
    /// Requests to an agent are held back; its connections stay open.
    RequestsStalled(usize),
    /// An agent's process receives `SIGTERM`.
    AgentTerminated(usize),
    /// An engine restarts without adapters.
    EngineRestarted(usize),
    /// An engine accepts orders with outdated fencing tokens.
    FencingIgnored(usize),
    /// The next loads of an engine fail.
    EngineLoadsFail(usize),
    /// An engine reports another adapter version than the one that ran.
    EngineReportsWrongVersion(usize),
    /// An entry's process is frozen with `SIGSTOP`.
    EntryFrozen(usize),
    /// An entry's process is killed with `SIGKILL`.
    EntryKilled(usize),
    /// An operator plans a stop of an agent's host.
    HostStopPlanned(usize),
    /// The key-value service applies transactions, but their responses are lost.
    KvResponsesLost,
    /// The relay in front of the key-value service refuses and closes connections.
    KvDisconnected,
    /// The key-value service refuses every call.
    KvDown,
    /// The key-value service delays every call.
    KvSlow,
}

impl Fault {
    /// Selects a random fault.
    pub fn random(rng: &mut ChaCha8Rng, cluster_config: &ClusterConfig) -> Self {
        let agent = rng.random_range(0..cluster_config.agents);
        let entry = rng.random_range(0..cluster_config.entries);
        match rng.random_range(0..17) {
            0 => Self::AgentDisconnected(agent),
            1 => Self::AgentFrozen(agent),
            2 => Self::AgentKilled(agent),
            3 => Self::ResponsesStalled(agent),
            4 => Self::RequestsStalled(agent),
            5 => Self::AgentTerminated(agent),
            6 => Self::EngineRestarted(agent),
            7 => Self::FencingIgnored(agent),
            8 => Self::EngineLoadsFail(agent),
            9 => Self::EngineReportsWrongVersion(agent),
            10 => Self::EntryFrozen(entry),
            11 => Self::EntryKilled(entry),
            12 => Self::HostStopPlanned(agent),
            13 => Self::KvResponsesLost,
            14 => Self::KvDisconnected,
            15 => Self::KvDown,
            _ => Self::KvSlow,
        }
    }

    /// Returns the name under which the report counts the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::AgentDisconnected(_) => "agent_cut",
            Self::AgentFrozen(_) => "agent_frozen",
            Self::AgentKilled(_) => "agent_killed",
            Self::ResponsesStalled(_) => "agent_mute",
            Self::RequestsStalled(_) => "agent_deaf",
            Self::AgentTerminated(_) => "agent_terminated",
            Self::EngineRestarted(_) => "engine_restarted",
            Self::FencingIgnored(_) => "engine_unfenced",
            Self::EngineLoadsFail(_) => "engine_loads_fail",
            Self::EngineReportsWrongVersion(_) => "engine_lies",
            Self::EntryFrozen(_) => "entry_frozen",
            Self::EntryKilled(_) => "entry_killed",
            Self::HostStopPlanned(_) => "host_stopped",
            Self::KvResponsesLost => "kv_answers_lost",
            Self::KvDisconnected => "kv_cut",
            Self::KvDown => "kv_down",
            Self::KvSlow => "kv_slow",
        }
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Returns an error if a signal cannot be sent because the process has exited.
    pub async fn inject(self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::AgentDisconnected(n) => cluster.agents[n].relay.set_mode(Mode::Disconnected),
            Self::ResponsesStalled(n) => cluster.agents[n].relay.set_mode(Mode::StallResponses),
            Self::RequestsStalled(n) => cluster.agents[n].relay.set_mode(Mode::StallRequests),
            Self::AgentFrozen(n) => {
                if let Some(process) = &cluster.agents[n].process {
                    process.freeze()?;
                }
            }
            Self::AgentKilled(n) => {
                if let Some(mut process) = cluster.agents[n].process.take() {
                    process.kill()?;
                }
            }
            Self::AgentTerminated(n) => {
                if let Some(process) = &cluster.agents[n].process {
                    process.terminate()?;
                }
            }
            Self::EngineRestarted(n) => set_faults(cluster, n, json!({"restart": true})).await,
            Self::FencingIgnored(n) => {
                set_faults(cluster, n, json!({"check_fencing": false})).await;
            }
            Self::EngineLoadsFail(n) => set_faults(cluster, n, json!({"fail_loads": 3})).await,
            Self::EngineReportsWrongVersion(n) => {
                set_faults(cluster, n, json!({"answer_as_version": "lie"})).await;
            }
            Self::EntryFrozen(n) => {
                if let Some(process) = &cluster.entries[n].process {
                    process.freeze()?;
                }
            }
            Self::EntryKilled(n) => {
                if let Some(mut process) = cluster.entries[n].process.take() {
                    process.kill()?;
                }
            }
            Self::HostStopPlanned(n) => plan_stop(cluster, n).await,
            Self::KvResponsesLost => cluster.set_kv_fault("answer_lost").await,
            Self::KvDisconnected => cluster.kv_relay.set_mode(Mode::Disconnected),
            Self::KvDown => cluster.set_kv_fault("down").await,
            Self::KvSlow => cluster.set_kv_fault("slow").await,
        }
        Ok(())
    }

    /// Clears the fault and restarts the process that it ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or cannot be signalled.
    pub async fn clear(self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::AgentDisconnected(n) | Self::ResponsesStalled(n) | Self::RequestsStalled(n) => {
                cluster.agents[n].relay.set_mode(Mode::Forwarding);
            }
            Self::AgentFrozen(n) => {
                if let Some(process) = &cluster.agents[n].process {
                    process.resume()?;
                }
            }
            Self::AgentKilled(n) | Self::AgentTerminated(n) => restart_agent(cluster, n)?,
            Self::EngineRestarted(_) => {}
            Self::FencingIgnored(n) => set_faults(cluster, n, json!({"check_fencing": true})).await,
            Self::EngineLoadsFail(n) => set_faults(cluster, n, json!({"fail_loads": 0})).await,
            Self::EngineReportsWrongVersion(n) => {
                set_faults(cluster, n, json!({"answer_as_version": ""})).await;
            }
            Self::EntryFrozen(n) => {
                if let Some(process) = &cluster.entries[n].process {
                    process.resume()?;
                }
            }
            Self::EntryKilled(n) => {
                if cluster.entries[n].process.is_none() {
                    cluster.start_entry(n)?;
                }
            }
            Self::HostStopPlanned(n) => cancel_stop(cluster, n).await,
            Self::KvDisconnected => cluster.kv_relay.set_mode(Mode::Forwarding),
            Self::KvResponsesLost | Self::KvDown | Self::KvSlow => {
                cluster.set_kv_fault("none").await;
            }
        }
        Ok(())
    }
}

fn restart_agent(cluster: &mut Cluster, index: usize) -> io::Result<()> {
    if let Some(mut process) = cluster.agents[index].process.take() {
        // Resumed before the kill: the process may be frozen or still draining.
        process.resume()?;
        process.kill()?;
    }
    cluster.start_agent(index)
}

async fn set_faults(cluster: &Cluster, index: usize, faults: serde_json::Value) {
    let engine = cluster.agents[index].engine_address;
    let result = cluster
        .post_standin(engine, "/standin/faults", &faults)
        .await;
    assert!(result.is_ok(), "set faults of engine {index}: {result:?}");
}

fn stop_request(cluster: &Cluster, index: usize) -> StopRequest {
    StopRequest {
        id: format!("stop-{:016x}", nondeterminism::generate_boot_id()).into(),
        author: "soak".into(),
        target: cluster.agents[index].name.as_str().into(),
        force: true,
    }
}

async fn plan_stop(cluster: &Cluster, index: usize) {
    // Ignored: entries refuse the stop while the key-value service is unreachable.
    let _ = cluster
        .operator(0)
        .plan_stop(&stop_request(cluster, index))
        .await;
}

/// Cancels the planned stop of an agent's host, trying the entries in turn.
async fn cancel_stop(cluster: &Cluster, index: usize) {
    for entry in (0..cluster.entries.len()).cycle().take(30) {
        let request = stop_request(cluster, index);
        if cluster.operator(entry).cancel_stop(&request).await.is_ok() {
            return;
        }
        smol::Timer::after(std::time::Duration::from_millis(200)).await;
    }
}
