//! A whole system: processes of entries and agents, stand-ins in this process.

use crate::caller::Caller;
use crate::process::Process;
use crate::relay::Relay;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_local::samples;
use dogwoodshunt_local::samples::BASE_MODEL;
use dogwoodshunt_operator::Operator;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_runtime::traffic::TrafficThreads;
use dogwoodshunt_standins::engine::EngineStandin;
use dogwoodshunt_standins::engine::Shape as EngineShape;
use dogwoodshunt_standins::engine::handler::Serving;
use dogwoodshunt_standins::host_list::Hosts;
use dogwoodshunt_standins::kv::KvStandin;
use dogwoodshunt_standins::serve::Served;
use dogwoodshunt_standins::serve::serve;
use dogwoodshunt_standins::service::Service;
use dogwoodshunt_standins::weight_store::WeightStore;
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

/// Key of the clusters that tests start.
const SHARED_KEY: &str = "key of a test cluster";

/// Name of the plain service.
pub const SERVICE: &str = "dispatch";

/// Time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks at something that is awaited.
const POLL: Duration = Duration::from_millis(20);

/// Failure domains of the hosts, in turn.
const DOMAINS: [&str; 4] = ["domain-1", "domain-2", "domain-3", "domain-4"];

/// Size of a cluster.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Entries.
    pub entries: usize,
    /// Agents, each with one engine.
    pub agents: usize,
    /// Agents that have an instance of the plain service too, the first ones.
    pub services: usize,
    /// Settings of the entries beside the addresses and names.
    pub entry_settings: Value,
    /// Settings of the agents beside the addresses and names.
    pub agent_settings: Value,
    /// Adapters that fit into an engine.
    pub slots: usize,
    /// Requests that run in an engine at once.
    pub batch: usize,
    /// Time per generated token.
    pub token_time: Duration,
    /// Whether engines refuse old fencing numbers.
    pub check_fencing: bool,
}

impl Default for Shape {
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

/// An agent's process, with its relay.
pub struct AgentHost {
    /// Name of the host.
    pub name: String,
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// Relay between the entries and the agent.
    pub relay: Relay,
    /// Address of the host's engine.
    pub engine: SocketAddr,
    /// Address of the host's plain service.
    pub service: SocketAddr,
    settings: PathBuf,
}

/// An entry's process.
pub struct EntryHost {
    /// Name of the host.
    pub name: String,
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// Relay between callers and the entry; its address outlives the process.
    pub front: Relay,
    /// Operators' address.
    pub operators: SocketAddr,
    /// Relays between the entry and everything that it connects to: the
    /// agents in their order, then the key-value service.
    pub links: Vec<Relay>,
    settings: PathBuf,
}

impl EntryHost {
    /// Returns the callers' address of the process itself, past the relay.
    ///
    /// # Panics
    ///
    /// Panics if the process is down.
    pub fn direct(&self) -> SocketAddr {
        match self
            .process
            .as_ref()
            .map(|process| address_of(process, "callers"))
        {
            Some(Ok(address)) => address,
            Some(Err(_)) | None => panic!("{} is down", self.name),
        }
    }
}

/// A whole system.
pub struct Cluster {
    /// The agents.
    pub agents: Vec<AgentHost>,
    /// The entries.
    pub entries: Vec<EntryHost>,
    /// Relay between all processes and the key-value service.
    pub kv: Relay,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Client for the test's own calls.
    pub client: Arc<Client>,
    /// Threads of the stand-ins and the test's calls.
    pub traffic: Traffic,
    kv_standin: SocketAddr,
    dir: TempDir,
    _standins: Vec<Served>,
    _threads: TrafficThreads,
}

impl Cluster {
    /// Starts a cluster and waits until every entry can use every agent.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn start(shape: &Shape) -> io::Result<Self> {
        let (traffic, threads) = traffic::start(4)?;
        let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
        let kv_standin = serve(any_port(), &traffic, Arc::new(KvStandin::new())).await?;
        let kv = Relay::start(&traffic).await?;
        kv.set_target(kv_standin.address);
        let hosts = Hosts::new(Duration::from_millis(100));
        let hosts = serve(any_port(), &traffic, Arc::new(hosts)).await?;
        let weights = serve(any_port(), &traffic, Arc::new(WeightStore::new())).await?;
        let weights_address = weights.address;
        let mut cluster = Self {
            agents: Vec::new(),
            entries: Vec::new(),
            kv,
            hosts: hosts.address,
            client,
            traffic,
            kv_standin: kv_standin.address,
            dir: TempDir::new()?,
            _standins: vec![kv_standin, hosts, weights],
            _threads: threads,
        };
        for index in 0..shape.agents {
            cluster.add_agent(shape, index, weights_address).await?;
        }
        for index in 0..shape.entries {
            cluster.add_entry(shape, index).await?;
        }
        for index in 0..shape.entries {
            cluster.wait_complete(index).await;
        }
        Ok(cluster)
    }

    /// Waits until an entry can use every agent.
    async fn wait_complete(&self, entry: usize) {
        let operator = self.operator(entry);
        loop {
            let overview = operator.status().await;
            let complete = overview.is_ok_and(|overview| {
                let mut agents = overview.agents.iter();
                overview.ready && agents.all(|agent| agent.fresh && !agent.upstreams.is_empty())
            });
            if complete {
                return;
            }
            Timer::after(POLL).await;
        }
    }

    /// Returns a client of an entry's operators' interface.
    pub fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.client.clone(), self.entries[entry].operators)
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.client.clone(), self.entries[entry].front.address)
    }

    /// Puts adapters into force, at `version`, and waits until they are.
    ///
    /// # Panics
    ///
    /// Panics if the note is refused.
    pub async fn add_adapters(&self, id: &str, adapters: &[&str], version: &str) {
        let operator = self.operator(0);
        let added = samples::add(&operator, id, adapters, version).await;
        let revision = match added {
            Ok(appended) => appended.entry.revision,
            Err(error) => panic!("note {id}: {error}"),
        };
        self.wait_in_force(revision).await;
    }

    /// Waits until a revision is in force.
    pub async fn wait_in_force(&self, revision: u64) {
        let operator = self.operator(0);
        loop {
            let standing = operator.standing(revision).await;
            if standing.is_ok_and(|standing| standing.in_force) {
                return;
            }
            Timer::after(POLL).await;
        }
    }

    /// Starts an agent's process again, on the same host.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start_agent(&mut self, index: usize) -> io::Result<()> {
        let host = &mut self.agents[index];
        let process = Process::start("dogwoodshunt-agent", &host.settings)?;
        host.relay.set_target(address_of(&process, "listen")?);
        host.process = Some(process);
        Ok(())
    }

    /// Starts an entry's process again, on the same host.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start_entry(&mut self, index: usize) -> io::Result<()> {
        let host = &mut self.entries[index];
        let process = Process::start("dogwoodshunt-entry", &host.settings)?;
        host.front.set_target(address_of(&process, "callers")?);
        host.operators = address_of(&process, "operators")?;
        host.process = Some(process);
        Ok(())
    }

    async fn add_agent(
        &mut self,
        shape: &Shape,
        index: usize,
        weights: SocketAddr,
    ) -> io::Result<()> {
        let engine_shape = EngineShape {
            base_model: BASE_MODEL.into(),
            slots: shape.slots,
            batch: shape.batch,
            token_time: shape.token_time,
            check_fencing: shape.check_fencing,
        };
        let weights = weights.to_string();
        let client = self.client.clone();
        let engine = EngineStandin::new(engine_shape, client, Some(&weights), &self.traffic);
        let engine = serve(any_port(), &self.traffic, Arc::new(Serving(engine))).await?;
        let service = Arc::new(Service::new(SERVICE, Duration::from_millis(20)));
        let service = serve(any_port(), &self.traffic, service).await?;
        let name = format!("host-{index}");
        let mut upstreams = vec![json!({
            "name": format!("runner-{index}"), "address": engine.address, "serves":
                {"engine": {"base_model": BASE_MODEL, "slots": shape.slots, "batch": shape.batch}},
        })];
        if index < shape.services {
            upstreams.push(json!({
                "name": format!("{SERVICE}-{index}"), "address": service.address, "serves":
                    {"service": {"name": SERVICE, "concurrency": 16}},
            }));
        }
        let settings = json!({
            "node": {"name": name, "failure_domain": DOMAINS[index % DOMAINS.len()]},
            "listen": any_port(),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv.address,
            "upstreams": upstreams,
        });
        let settings = merged(settings, &shape.agent_settings);
        self.agents.push(AgentHost {
            settings: self.write_settings(&name, &settings)?,
            name,
            process: None,
            relay: Relay::start(&self.traffic).await?,
            engine: engine.address,
            service: service.address,
        });
        self._standins.extend([engine, service]);
        self.start_agent(index)
    }

    async fn add_entry(&mut self, shape: &Shape, index: usize) -> io::Result<()> {
        let name = format!("entry-{index}");
        let targets = self.agents.iter().map(|agent| agent.relay.address);
        let mut links = Vec::new();
        for target in targets.chain([self.kv.address]) {
            let relay = Relay::start(&self.traffic).await?;
            relay.set_target(target);
            links.push(relay);
        }
        let (kv, agents) = match links.split_last() {
            Some((kv, agents)) => (kv.address, agents),
            None => (self.kv.address, &[][..]),
        };
        let agents: Vec<SocketAddr> = agents.iter().map(|relay| relay.address).collect();
        let settings = json!({
            "node": {"name": name, "failure_domain": DOMAINS[index % DOMAINS.len()]},
            "listen_callers": any_port(),
            "listen_operators": any_port(),
            "shared_key": SHARED_KEY,
            "key_value_service": kv,
            "host_list": self.hosts,
            "agents": agents,
        });
        let settings = merged(settings, &shape.entry_settings);
        self.entries.push(EntryHost {
            settings: self.write_settings(&name, &settings)?,
            name,
            process: None,
            front: Relay::start(&self.traffic).await?,
            operators: any_port(),
            links,
        });
        self.start_entry(index)
    }

    fn write_settings(&self, name: &str, settings: &Value) -> io::Result<PathBuf> {
        let path = self.dir.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Returns the logs of all processes, for a test that failed.
    pub fn logs(&self) -> String {
        let settings = self.agents.iter().map(|host| &host.settings);
        let settings = settings.chain(self.entries.iter().map(|host| &host.settings));
        let logs = settings.map(|path| fs::read_to_string(path.with_extension("log")));
        logs.map_while(Result::ok).collect()
    }
}

/// Returns `settings` with the fields of `more`.
fn merged(settings: Value, more: &Value) -> Value {
    let mut settings = settings;
    if let (Some(settings), Some(more)) = (settings.as_object_mut(), more.as_object()) {
        settings.extend(more.clone());
    }
    settings
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn address_of(process: &Process, key: &str) -> io::Result<SocketAddr> {
    let field = process.started_field(key);
    let address = field.and_then(|text| text.parse().ok());
    address.ok_or_else(|| io::Error::other(format!("the process logged no {key}")))
}
