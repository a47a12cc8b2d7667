//! A cluster under test: entries and agents as processes, stand-ins in the test
//! process.

use crate::caller::Caller;
use crate::process::Process;
use crate::relay::Relay;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_local::samples;
use dogwoodshunt_local::samples::BASE_MODEL;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use dogwoodshunt_runtime::traffic::TrafficThreads;
use dogwoodshunt_standins::engine::EngineConfig;
use dogwoodshunt_standins::engine::EngineStandin;
use dogwoodshunt_standins::engine::handler::EngineHandler;
use dogwoodshunt_standins::host_list::HostListStandin;
use dogwoodshunt_standins::kv::KvStandin;
use dogwoodshunt_standins::serve::RunningStandin;
use dogwoodshunt_standins::serve::serve;
use dogwoodshunt_standins::service::ServiceStandin;
use dogwoodshunt_standins::weight_store::WeightStoreStandin;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

mod standins;

/// Shared key of the entries and agents of a cluster.
const SHARED_KEY: &str = "key of a test cluster";

/// Name of the plain service of a cluster.
pub const SERVICE: &str = "dispatch";

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a waiting test polls an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Failure domains, assigned to the hosts round-robin.
const FAILURE_DOMAINS: [&str; 4] = ["domain-1", "domain-2", "domain-3", "domain-4"];

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each beside one engine.
    pub agents: usize,
    /// Number of agents, counted from the first, that also serve an instance of
    /// the plain service.
    pub services: usize,
    /// Settings of the entries that override or extend the generated ones.
    pub entry_settings: Value,
    /// Settings of the agents that override or extend the generated ones.
    pub agent_settings: Value,
    /// Maximum number of adapters loaded in an engine.
    pub slots: usize,
    /// Maximum number of requests that an engine runs at once.
    pub batch: usize,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Whether engines refuse orders with an outdated fencing token.
    pub check_fencing: bool,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            entries: 2,
            agents: 2,
            services: usize::MAX,
            entry_settings: json!({"heartbeat_ms": 100, "default_deadline_ms": 10_000}),
            agent_settings: json!({"heartbeat_ms": 100, "load_share": 2.0}),
            slots: 4,
            batch: 16,
            token_time: Duration::from_millis(2),
            check_fencing: true,
        }
    }
}

/// An agent's process, its relay and its upstreams.
pub struct AgentHost {
    /// Node name of the process.
    pub name: String,
    /// Running process; `None` while it is stopped.
    pub process: Option<Process>,
    /// Relay through which the entries connect to the agent.
    pub relay: Relay,
    /// Address of the engine beside the agent.
    pub engine_address: SocketAddr,
    /// Address of the plain service beside the agent.
    pub service_address: SocketAddr,
    settings: PathBuf,
}

/// An entry's process and its relays.
pub struct EntryHost {
    /// Node name of the process.
    pub name: String,
    /// Running process; `None` while it is stopped.
    pub process: Option<Process>,
    /// Relay through which callers connect to the entry; the address of the relay
    /// stays the same when the process restarts.
    pub caller_relay: Relay,
    /// Address on which the process accepts operators.
    pub operator_address: SocketAddr,
    /// Relays of the entry's outgoing connections: one for each agent in order,
    /// then one for the key-value service.
    pub outgoing_relays: Vec<Relay>,
    settings: PathBuf,
}

impl EntryHost {
    /// Returns the address on which the process itself accepts callers, without
    /// the relay.
    ///
    /// # Panics
    ///
    /// Panics if the process is stopped or did not log the address.
    pub fn direct_address(&self) -> SocketAddr {
        match self
            .process
            .as_ref()
            .map(|process| logged_address(process, "callers"))
        {
            Some(Ok(address)) => address,
            Some(Err(_)) | None => panic!("{} does not accept callers", self.name),
        }
    }
}

/// A running cluster; dropping it kills the processes and stops the stand-ins.
pub struct Cluster {
    /// Agents by index.
    pub agents: Vec<AgentHost>,
    /// Entries by index.
    pub entries: Vec<EntryHost>,
    /// Relay through which all processes connect to the key-value service.
    pub kv_relay: Relay,
    /// Address of the host list.
    pub host_list_address: SocketAddr,
    /// HTTP client for the calls of the test itself.
    pub client: Arc<Client>,
    /// Executor of the stand-ins, the relays and the calls of the test.
    pub traffic: TrafficExecutor,
    kv_address: SocketAddr,
    dir: TempDir,
    _standins: Vec<RunningStandin>,
    _threads: TrafficThreads,
}

impl Cluster {
    /// Starts a cluster and waits until every entry is ready and has a fresh report
    /// with upstreams from each agent.
    ///
    /// # Errors
    ///
    /// Returns an error if a process, stand-in or relay does not start.
    pub async fn start(config: &ClusterConfig) -> io::Result<Self> {
        let (traffic, threads) = traffic::start(4)?;
        let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
        let kv_standin = serve(any_port(), &traffic, Arc::new(KvStandin::new())).await?;
        let kv_relay = Relay::start(&traffic).await?;
        kv_relay.set_target(kv_standin.address);
        let hosts = HostListStandin::new(Duration::from_millis(100));
        let hosts = serve(any_port(), &traffic, Arc::new(hosts)).await?;
        let weights = serve(any_port(), &traffic, Arc::new(WeightStoreStandin::new())).await?;
        let weights_address = weights.address;
        let mut cluster = Self {
            agents: Vec::new(),
            entries: Vec::new(),
            kv_relay,
            host_list_address: hosts.address,
            client,
            traffic,
            kv_address: kv_standin.address,
            dir: TempDir::new()?,
            _standins: vec![kv_standin, hosts, weights],
            _threads: threads,
        };
        for index in 0..config.agents {
            cluster.add_agent(config, index, weights_address).await?;
        }
        for index in 0..config.entries {
            cluster.add_entry(config, index).await?;
        }
        for index in 0..config.entries {
            cluster.wait_until_ready(index).await;
        }
        Ok(cluster)
    }

    /// Waits until an entry is ready and has a fresh report with upstreams from each
    /// agent.
    async fn wait_until_ready(&self, entry: usize) {
        let operator = self.operator(entry);
        loop {
            let overview = operator.status().await;
            let ready = overview.is_ok_and(|overview| {
                let mut agents = overview.agents.iter();
                overview.ready && agents.all(|agent| agent.fresh && !agent.upstreams.is_empty())
            });
            if ready {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns an operator client connected to an entry.
    pub fn operator(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(self.client.clone(), self.entries[entry].operator_address)
    }

    /// Returns a caller that connects to an entry through its relay.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(
            self.client.clone(),
            self.entries[entry].caller_relay.address,
        )
    }

    /// Releases `version` of the adapters with the release note `id` and waits until
    /// the note is in force.
    ///
    /// # Panics
    ///
    /// Panics if the submission of the release note fails.
    pub async fn add_adapters(&self, id: &str, adapters: &[&str], version: &str) {
        let operator = self.operator(0);
        let added = samples::submit_adapters(&operator, id, adapters, version).await;
        let revision = match added {
            Ok(appended) => appended.entry.revision,
            Err(error) => panic!("submit release note {id}: {error}"),
        };
        self.wait_in_force(revision).await;
    }

    /// Waits until a revision is in force on all entries and agents.
    pub async fn wait_in_force(&self, revision: u64) {
        let operator = self.operator(0);
        loop {
            let status = operator.replication_status(revision).await;
            if status.is_ok_and(|status| status.in_force) {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Starts the process of an agent with its existing settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start or logs no valid address.
    pub fn start_agent(&mut self, index: usize) -> io::Result<()> {
        let host = &mut self.agents[index];
        let process = Process::start("dogwoodshunt-agent", &host.settings)?;
        host.relay.set_target(logged_address(&process, "listen")?);
        host.process = Some(process);
        Ok(())
    }

    /// Starts the process of an entry with its existing settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start or logs no valid address.
    pub fn start_entry(&mut self, index: usize) -> io::Result<()> {
        let host = &mut self.entries[index];
        let process = Process::start("dogwoodshunt-entry", &host.settings)?;
        host.caller_relay
            .set_target(logged_address(&process, "callers")?);
        host.operator_address = logged_address(&process, "operators")?;
        host.process = Some(process);
        Ok(())
    }

    async fn add_agent(
        &mut self,
        config: &ClusterConfig,
        index: usize,
        weights: SocketAddr,
    ) -> io::Result<()> {
        let engine_config = EngineConfig {
            base_model: BASE_MODEL.into(),
            slots: config.slots,
            batch: config.batch,
            token_time: config.token_time,
            check_fencing: config.check_fencing,
        };
        let weights = weights.to_string();
        let client = self.client.clone();
        let engine = EngineStandin::new(engine_config, client, Some(&weights), &self.traffic);
        let engine = serve(any_port(), &self.traffic, Arc::new(EngineHandler(engine))).await?;
        let service = Arc::new(ServiceStandin::new(SERVICE, Duration::from_millis(20)));
        let service = serve(any_port(), &self.traffic, service).await?;
        let name = format!("host-{index}");
        let mut upstreams = vec![json!({
            "name": format!("runner-{index}"), "address": engine.address, "serves":
                {"engine": {"base_model": BASE_MODEL, "slots": config.slots, "batch": config.batch}},
        })];
        if index < config.services {
            upstreams.push(json!({
                "name": format!("{SERVICE}-{index}"), "address": service.address, "serves":
                    {"service": {"name": SERVICE, "concurrency": 16}},
            }));
        }
        let settings = json!({
            "node": {"name": name, "failure_domain": FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]},
            "listen": any_port(),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv_relay.address,
            "upstreams": upstreams,
        });
        let settings = with_overrides(settings, &config.agent_settings);
        self.agents.push(AgentHost {
            settings: self.write_settings(&name, &settings)?,
            name,
            process: None,
            relay: Relay::start(&self.traffic).await?,
            engine_address: engine.address,
            service_address: service.address,
        });
        self._standins.extend([engine, service]);
        self.start_agent(index)
    }

    async fn add_entry(&mut self, config: &ClusterConfig, index: usize) -> io::Result<()> {
        let name = format!("entry-{index}");
        let targets = self.agents.iter().map(|agent| agent.relay.address);
        let mut outgoing_relays = Vec::new();
        for target in targets.chain([self.kv_relay.address]) {
            let relay = Relay::start(&self.traffic).await?;
            relay.set_target(target);
            outgoing_relays.push(relay);
        }
        let (kv, agents) = match outgoing_relays.split_last() {
            Some((kv, agents)) => (kv.address, agents),
            None => (self.kv_relay.address, &[][..]),
        };
        let agents: Vec<SocketAddr> = agents.iter().map(|relay| relay.address).collect();
        let settings = json!({
            "node": {"name": name, "failure_domain": FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]},
            "listen_callers": any_port(),
            "listen_operators": any_port(),
            "shared_key": SHARED_KEY,
            "key_value_service": kv,
            "host_list": self.host_list_address,
            "agents": agents,
        });
        let settings = with_overrides(settings, &config.entry_settings);
        self.entries.push(EntryHost {
            settings: self.write_settings(&name, &settings)?,
            name,
            process: None,
            caller_relay: Relay::start(&self.traffic).await?,
            operator_address: any_port(),
            outgoing_relays,
        });
        self.start_entry(index)
    }

    fn write_settings(&self, name: &str, settings: &Value) -> io::Result<PathBuf> {
        let path = self.dir.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Returns the logs of all processes, for assertion messages.
    pub fn logs(&self) -> String {
        let settings = self.agents.iter().map(|host| &host.settings);
        let settings = settings.chain(self.entries.iter().map(|host| &host.settings));
        let logs = settings.map(|path| fs::read_to_string(path.with_extension("log")));
        logs.map_while(Result::ok).collect()
    }
}

/// Returns `settings` with the fields of `overrides` added or replaced.
fn with_overrides(settings: Value, overrides: &Value) -> Value {
    let mut settings = settings;
    if let (Some(settings), Some(overrides)) = (settings.as_object_mut(), overrides.as_object()) {
        settings.extend(overrides.clone());
    }
    settings
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn logged_address(process: &Process, key: &str) -> io::Result<SocketAddr> {
    let field = process.started_field(key);
    let address = field.and_then(|text| text.parse().ok());
    address.ok_or_else(|| io::Error::other(format!("process logged no {key} address")))
}
