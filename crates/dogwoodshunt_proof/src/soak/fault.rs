//! Faults of a soak.

use crate::cluster::Cluster;
use crate::cluster::Shape;
use crate::relay::Mode;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_runtime::boot;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::io;

/// A fault; numbers are indices of hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An agent's connections are cut.
    AgentCut(usize),
    /// An agent's process is frozen.
    AgentFrozen(usize),
    /// An agent's process is killed.
    AgentKilled(usize),
    /// Nothing comes back from an agent.
    AgentMute(usize),
    /// Nothing reaches an agent.
    AgentDeaf(usize),
    /// An agent's process is asked to stop.
    AgentTerminated(usize),
    /// An engine restarts empty.
    EngineRestarted(usize),
    /// An engine ignores fencing numbers.
    EngineUnfenced(usize),
    /// An engine's next loads fail.
    EngineLoadsFail(usize),
    /// An engine answers as another version.
    EngineLies(usize),
    /// An entry's process is frozen.
    EntryFrozen(usize),
    /// An entry's process is killed.
    EntryKilled(usize),
    /// A host's stop is planned.
    HostStopped(usize),
    /// The key-value service loses answers.
    KvAnswersLost,
    /// No process reaches the key-value service.
    KvCut,
    /// The key-value service refuses every call.
    KvDown,
    /// The key-value service is slow.
    KvSlow,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut ChaCha8Rng, shape: &Shape) -> Self {
        let agent = rng.random_range(0..shape.agents);
        let entry = rng.random_range(0..shape.entries);
        match rng.random_range(0..17) {
            0 => Self::AgentCut(agent),
            1 => Self::AgentFrozen(agent),
            2 => Self::AgentKilled(agent),
            3 => Self::AgentMute(agent),
            4 => Self::AgentDeaf(agent),
            5 => Self::AgentTerminated(agent),
            6 => Self::EngineRestarted(agent),
            7 => Self::EngineUnfenced(agent),
            8 => Self::EngineLoadsFail(agent),
            9 => Self::EngineLies(agent),
            10 => Self::EntryFrozen(entry),
            11 => Self::EntryKilled(entry),
            12 => Self::HostStopped(agent),
            13 => Self::KvAnswersLost,
            14 => Self::KvCut,
            15 => Self::KvDown,
            _ => Self::KvSlow,
        }
    }

    /// Returns the kind of the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::AgentCut(_) => "agent_cut",
            Self::AgentFrozen(_) => "agent_frozen",
            Self::AgentKilled(_) => "agent_killed",
            Self::AgentMute(_) => "agent_mute",
            Self::AgentDeaf(_) => "agent_deaf",
            Self::AgentTerminated(_) => "agent_terminated",
            Self::EngineRestarted(_) => "engine_restarted",
            Self::EngineUnfenced(_) => "engine_unfenced",
            Self::EngineLoadsFail(_) => "engine_loads_fail",
            Self::EngineLies(_) => "engine_lies",
            Self::EntryFrozen(_) => "entry_frozen",
            Self::EntryKilled(_) => "entry_killed",
            Self::HostStopped(_) => "host_stopped",
            Self::KvAnswersLost => "kv_answers_lost",
            Self::KvCut => "kv_cut",
            Self::KvDown => "kv_down",
            Self::KvSlow => "kv_slow",
        }
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Fails if a process has ended on its own.
    pub async fn inject(self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::AgentCut(n) => cluster.agents[n].relay.set_mode(Mode::Cut),
            Self::AgentMute(n) => cluster.agents[n].relay.set_mode(Mode::StallAnswers),
            Self::AgentDeaf(n) => cluster.agents[n].relay.set_mode(Mode::StallRequests),
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
            Self::EngineRestarted(n) => set_engine(cluster, n, json!({"restart": true})).await,
            Self::EngineUnfenced(n) => {
                set_engine(cluster, n, json!({"check_fencing": false})).await;
            }
            Self::EngineLoadsFail(n) => set_engine(cluster, n, json!({"fail_loads": 3})).await,
            Self::EngineLies(n) => {
                set_engine(cluster, n, json!({"answer_as_version": "lie"})).await;
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
            Self::HostStopped(n) => plan_stop(cluster, n).await,
            Self::KvAnswersLost => cluster.set_kv_fault("answer_lost").await,
            Self::KvCut => cluster.kv.set_mode(Mode::Cut),
            Self::KvDown => cluster.set_kv_fault("down").await,
            Self::KvSlow => cluster.set_kv_fault("slow").await,
        }
        Ok(())
    }

    /// Lifts the fault; processes that were killed start again.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn lift(self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::AgentCut(n) | Self::AgentMute(n) | Self::AgentDeaf(n) => {
                cluster.agents[n].relay.set_mode(Mode::Open);
            }
            Self::AgentFrozen(n) => {
                if let Some(process) = &cluster.agents[n].process {
                    process.wake()?;
                }
            }
            Self::AgentKilled(n) | Self::AgentTerminated(n) => restart_agent(cluster, n)?,
            Self::EngineRestarted(_) => {}
            Self::EngineUnfenced(n) => set_engine(cluster, n, json!({"check_fencing": true})).await,
            Self::EngineLoadsFail(n) => set_engine(cluster, n, json!({"fail_loads": 0})).await,
            Self::EngineLies(n) => {
                set_engine(cluster, n, json!({"answer_as_version": ""})).await;
            }
            Self::EntryFrozen(n) => {
                if let Some(process) = &cluster.entries[n].process {
                    process.wake()?;
                }
            }
            Self::EntryKilled(n) => {
                if cluster.entries[n].process.is_none() {
                    cluster.start_entry(n)?;
                }
            }
            Self::HostStopped(n) => cancel_stop(cluster, n).await,
            Self::KvCut => cluster.kv.set_mode(Mode::Open),
            Self::KvAnswersLost | Self::KvDown | Self::KvSlow => {
                cluster.set_kv_fault("none").await;
            }
        }
        Ok(())
    }
}

fn restart_agent(cluster: &mut Cluster, index: usize) -> io::Result<()> {
    if let Some(mut process) = cluster.agents[index].process.take() {
        // A frozen or still draining process is waited for no longer.
        process.wake()?;
        process.kill()?;
    }
    cluster.start_agent(index)
}

async fn set_engine(cluster: &Cluster, index: usize, faults: serde_json::Value) {
    let engine = cluster.agents[index].engine;
    let set = cluster
        .post_standin(engine, "/standin/faults", &faults)
        .await;
    assert!(set.is_ok(), "{set:?}");
}

fn request(cluster: &Cluster, index: usize) -> StopRequest {
    StopRequest {
        id: format!("stop-{:016x}", boot::draw_boot_id()).into(),
        author: "soak".into(),
        target: cluster.agents[index].name.as_str().into(),
        force: true,
    }
}

async fn plan_stop(cluster: &Cluster, index: usize) {
    // Refused while the key-value service is out; the soak goes on.
    let _ = cluster
        .operator(0)
        .plan_stop(&request(cluster, index))
        .await;
}

/// Lifts a planned stop through whichever entry answers.
async fn cancel_stop(cluster: &Cluster, index: usize) {
    for entry in (0..cluster.entries.len()).cycle().take(30) {
        let request = request(cluster, index);
        if cluster.operator(entry).cancel_stop(&request).await.is_ok() {
            return;
        }
        smol::Timer::after(std::time::Duration::from_millis(200)).await;
    }
}
