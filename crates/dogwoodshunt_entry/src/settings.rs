//! Settings of an entry.

use dogwoodshunt_routing::Policy;
use dogwoodshunt_routing::Settings;
use dogwoodshunt_runtime::program::ProgramSettings;
use dogwoodshunt_runtime::settings::Checked;
use dogwoodshunt_runtime::settings::Misfit;
use dogwoodshunt_runtime::settings::NodeSettings;
use dogwoodshunt_runtime::settings::TelemetrySettings;
use dogwoodshunt_runtime::settings::check_key;
use dogwoodshunt_runtime::settings::check_range;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Settings of an entry.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who this entry is; its name is the name of its host.
    pub node: NodeSettings,
    /// Address on which callers connect.
    pub listen_callers: SocketAddr,
    /// Address on which operators connect; keep callers away from it.
    pub listen_operators: SocketAddr,
    /// Key shared by all entries and agents, at least 16 bytes.
    pub shared_key: Box<str>,
    /// Address of the key-value service.
    pub key_value_service: SocketAddr,
    /// Address of the platform's host list; planned stops alone count without it.
    #[serde(default)]
    pub host_list: Option<SocketAddr>,
    /// Addresses of the agents.
    pub agents: Vec<SocketAddr>,
    /// Age of the last word at which the catalogue is no longer trusted.
    #[serde(default = "default_freshness_limit_ms")]
    pub freshness_limit_ms: u64,
    /// Time between heartbeats.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Largest body of a caller's request, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Time that a caller without a deadline of its own waits for the first byte.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// How agents are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u64,
    /// Where logs and metrics go.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// How agents are chosen.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// `cost`, or one of the baselines `least_loaded`, `random`, `rendezvous`.
    #[serde(default)]
    pub policy: PolicySetting,
    /// Cost of a second of load stall, in seconds of queue wait.
    #[serde(default = "default_stall_weight")]
    pub stall_weight: f64,
    /// Cost of an empty batch, in seconds of queue wait.
    #[serde(default = "default_batch_weight")]
    pub batch_weight: f64,
    /// Agents that an adapter may be brought to.
    #[serde(default = "default_homes")]
    pub homes: u64,
    /// Most attempts of one request.
    #[serde(default = "default_attempts")]
    pub attempts: u64,
}

/// Name of a routing policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PolicySetting {
    /// By estimated cost.
    #[default]
    Cost,
    /// The agent with the fewest requests.
    LeastLoaded,
    /// Any agent.
    Random,
    /// The first agent by rendezvous hashing.
    Rendezvous,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: PolicySetting::default(),
            stall_weight: default_stall_weight(),
            batch_weight: default_batch_weight(),
            homes: default_homes(),
            attempts: default_attempts(),
        }
    }
}

impl RoutingSettings {
    /// Returns the weights and limits of the entry's decisions.
    pub fn routing(&self, seed: u64) -> Settings {
        Settings::builder()
            .policy(match self.policy {
                PolicySetting::Cost => Policy::Cost,
                PolicySetting::LeastLoaded => Policy::LeastLoaded,
                PolicySetting::Random => Policy::Random,
                PolicySetting::Rendezvous => Policy::Rendezvous,
            })
            .stall_weight(self.stall_weight)
            .batch_weight(self.batch_weight)
            .homes(usize::try_from(self.homes).unwrap_or(usize::MAX))
            .max_attempts(u32::try_from(self.attempts).unwrap_or(u32::MAX))
            .seed(seed)
            .build()
    }

    fn check(&self) -> Result<(), Misfit> {
        check_range("routing.homes", self.homes, 1, 1_000)?;
        check_range("routing.attempts", self.attempts, 1, 16)?;
        for (field, weight) in [
            ("routing.stall_weight", self.stall_weight),
            ("routing.batch_weight", self.batch_weight),
        ] {
            if !(0.0..=1_000.0).contains(&weight) {
                let message = format!("{weight} is out of range; use 0 to 1000");
                return Err(Misfit::new(field, message));
            }
        }
        Ok(())
    }
}

impl EntrySettings {
    fn check_agents(&self) -> Result<(), Misfit> {
        let mut seen = BTreeSet::new();
        for address in &self.agents {
            if !seen.insert(address) {
                let message = format!("{address} is listed twice; keep one");
                return Err(Misfit::new("agents", message));
            }
        }
        if seen.is_empty() {
            let message = "is empty; list the addresses of the agents";
            return Err(Misfit::new("agents", message));
        }
        Ok(())
    }
}

impl ProgramSettings for EntrySettings {
    fn node(&self) -> &str {
        &self.node.name
    }

    fn traffic_threads(&self) -> u64 {
        self.traffic_threads
    }

    fn telemetry(&self) -> &TelemetrySettings {
        &self.telemetry
    }
}

impl Checked for EntrySettings {
    fn check(&self) -> Result<(), Misfit> {
        self.node.check()?;
        check_key(&self.shared_key)?;
        check_range("freshness_limit_ms", self.freshness_limit_ms, 500, 3_000)?;
        check_range("heartbeat_ms", self.heartbeat_ms, 20, 1_000)?;
        check_range("max_body_bytes", self.max_body_bytes, 1_024, 7 << 20)?;
        check_range(
            "default_deadline_ms",
            self.default_deadline_ms,
            10,
            3_600_000,
        )?;
        check_range("traffic_threads", self.traffic_threads, 1, 256)?;
        self.routing.check()?;
        self.check_agents()
    }
}

fn default_freshness_limit_ms() -> u64 {
    3_000
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_max_body_bytes() -> u64 {
    4 << 20
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_stall_weight() -> f64 {
    1.0
}

fn default_batch_weight() -> f64 {
    0.05
}

fn default_homes() -> u64 {
    3
}

fn default_attempts() -> u64 {
    4
}

fn default_traffic_threads() -> u64 {
    2
}
