//! A whole fleet in one process.

use async_channel::Sender;
use dogwoodshunt_agent::Agent;
use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_entry::Entry;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_operator::Operator;
use dogwoodshunt_runtime::settings;
use dogwoodshunt_runtime::traffic;
use dogwoodshunt_runtime::traffic::Traffic;
use dogwoodshunt_runtime::traffic::TrafficThreads;
use dogwoodshunt_standins::engine::EngineStandin;
use dogwoodshunt_standins::engine::Shape;
use dogwoodshunt_standins::engine::handler::Serving;
use dogwoodshunt_standins::host_list::Hosts;
use dogwoodshunt_standins::kv::KvStandin;
use dogwoodshunt_standins::serve::Served;
use dogwoodshunt_standins::serve::serve;
use dogwoodshunt_standins::service::Service;
use dogwoodshunt_standins::weight_store::WeightStore;
use serde_json::json;
use slog::Logger;
use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Key of a fleet that nothing outside this process can reach.
const SHARED_KEY: &str = "key of a local fleet";

/// Name of the plain service.
pub const SERVICE: &str = "dispatch";

/// Time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries.
    pub entries: usize,
    /// Agents, each with one engine; the first has the plain service too.
    pub agents: usize,
    /// Adapters that fit into an engine.
    pub slots: usize,
    /// Time per generated token.
    pub token_time: Duration,
    /// Address of the first entry for callers; any port where left out.
    pub callers: Option<SocketAddr>,
    /// Address of the first entry for operators; any port where left out.
    pub operators: Option<SocketAddr>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            agents: 2,
            slots: 4,
            token_time: Duration::from_millis(5),
            callers: None,
            operators: None,
        }
    }
}

/// A running entry or agent; it stops when told to.
pub struct Running {
    stop: Option<Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Asks the process to stop and waits until it has.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A whole fleet in one process.
pub struct Fleet {
    /// Callers' addresses of the entries.
    pub callers: Vec<SocketAddr>,
    /// Operators' addresses of the entries.
    pub operators: Vec<SocketAddr>,
    /// Entries.
    pub entries: Vec<Running>,
    /// Agents.
    pub agents: Vec<Running>,
    /// Addresses of the engines, one per agent.
    pub engines: Vec<SocketAddr>,
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Address of the plain service.
    pub service: SocketAddr,
    /// Client for tests and the sample release note.
    pub client: Arc<Client>,
    /// Traffic threads of everything in this process.
    pub traffic: Traffic,
    _threads: TrafficThreads,
    _standins: Vec<Served>,
}

impl Fleet {
    /// Returns a client of an entry's operators' interface.
    pub fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.client.clone(), self.operators[entry])
    }

    /// Starts stand-ins, agents and entries.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn start(plan: &Plan, log: &Logger) -> Result<Self, Box<dyn Error>> {
        let (traffic, threads) = traffic::start(4)?;
        let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
        let kv = serve(any_port(), &traffic, Arc::new(KvStandin::new())).await?;
        let hosts = Hosts::new(Duration::from_millis(200));
        let hosts = serve(any_port(), &traffic, Arc::new(hosts)).await?;
        let weights = serve(any_port(), &traffic, Arc::new(WeightStore::new())).await?;
        let service = Service::new(SERVICE, Duration::from_millis(20));
        let service = serve(any_port(), &traffic, Arc::new(service)).await?;
        let mut fleet = Self {
            callers: Vec::new(),
            operators: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            kv: kv.address,
            hosts: hosts.address,
            service: service.address,
            client,
            traffic,
            _threads: threads,
            _standins: vec![kv, hosts, service],
        };
        let mut agents = Vec::new();
        for index in 0..plan.agents {
            agents.push(fleet.start_agent(plan, index, weights.address, log).await?);
        }
        fleet._standins.push(weights);
        for index in 0..plan.entries {
            fleet.start_entry(plan, index, &agents, log).await?;
        }
        Ok(fleet)
    }

    async fn start_agent(
        &mut self,
        plan: &Plan,
        index: usize,
        weights: SocketAddr,
        log: &Logger,
    ) -> Result<SocketAddr, Box<dyn Error>> {
        let shape = Shape {
            base_model: "base".into(),
            slots: plan.slots,
            batch: 16,
            token_time: plan.token_time,
            check_fencing: true,
        };
        let weights = weights.to_string();
        let engine = EngineStandin::new(shape, self.client.clone(), Some(&weights), &self.traffic);
        let engine = serve(any_port(), &self.traffic, Arc::new(Serving(engine))).await?;
        let mut upstreams = vec![json!({
            "name": format!("runner-{index}"),
            "address": engine.address,
            "serves": {"engine": {"base_model": "base", "slots": plan.slots, "batch": 16}},
        })];
        if index == 0 {
            upstreams.push(json!({
                "name": format!("{SERVICE}-{index}"),
                "address": self.service,
                "serves": {"service": {"name": SERVICE, "concurrency": 16}},
            }));
        }
        self.engines.push(engine.address);
        self._standins.push(engine);
        let settings = json!({
            "node": {"name": format!("host-{index}"), "failure_domain": domain(index)},
            "listen": any_port(),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv,
            "upstreams": upstreams,
            "heartbeat_ms": 100,
            "load_share": 2.0,
        });
        let settings: AgentSettings = settings::parse("local agent", &settings.to_string())?;
        let log = log.new(slog::o!("part" => format!("host-{index}")));
        let agent = Agent::bind(settings, self.traffic.clone(), log).await?;
        let address = agent.address;
        let (stop, stopped) = async_channel::bounded(1);
        let thread = thread::Builder::new()
            .name(format!("agent-{index}"))
            .spawn(move || smol::block_on(agent.run(stopped)))?;
        self.agents.push(Running {
            stop: Some(stop),
            thread: Some(thread),
        });
        Ok(address)
    }

    async fn start_entry(
        &mut self,
        plan: &Plan,
        index: usize,
        agents: &[SocketAddr],
        log: &Logger,
    ) -> Result<(), Box<dyn Error>> {
        let first = |address: Option<SocketAddr>| address.filter(|_| index == 0);
        let settings = json!({
            "node": {"name": format!("entry-{index}"), "failure_domain": domain(index)},
            "listen_callers": first(plan.callers).unwrap_or_else(any_port),
            "listen_operators": first(plan.operators).unwrap_or_else(any_port),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv,
            "host_list": self.hosts,
            "agents": agents,
            "heartbeat_ms": 100,
        });
        let settings: EntrySettings = settings::parse("local entry", &settings.to_string())?;
        let log = log.new(slog::o!("part" => format!("entry-{index}")));
        let entry = Entry::bind(settings, self.traffic.clone(), log.clone()).await?;
        self.callers.push(entry.callers_address);
        self.operators.push(entry.operators_address);
        let (stop, stopped) = async_channel::bounded(1);
        let thread = thread::Builder::new()
            .name(format!("entry-{index}"))
            .spawn(move || {
                if let Err(error) = smol::block_on(entry.run(stopped)) {
                    slog::error!(log, "entry ended"; "error" => %error);
                }
            })?;
        self.entries.push(Running {
            stop: Some(stop),
            thread: Some(thread),
        });
        Ok(())
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn domain(index: usize) -> &'static str {
    const DOMAINS: [&str; 4] = ["domain-1", "domain-2", "domain-3", "domain-4"];
    DOMAINS[index % DOMAINS.len()]
}
