//! Start and stop of a complete fleet in one process.

use async_channel::Sender;
use dogwoodshunt_agent::Agent;
use dogwoodshunt_agent::AgentSettings;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_entry::Entry;
use dogwoodshunt_entry::EntrySettings;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_runtime::settings;
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
use serde_json::json;
use slog::Logger;
use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Shared key of the entries and agents; a constant suffices, since they listen on loopback only.
const SHARED_KEY: &str = "key of a local fleet";

/// Name of the plain service, which runs without an engine.
pub const SERVICE: &str = "dispatch";

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size and addresses of a local fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents. Each has one engine; the first one also has the plain service.
    pub agents: usize,
    /// Adapter slots per engine.
    pub slots: usize,
    /// Time that an engine takes per generated token.
    pub token_time: Duration,
    /// Address on which the first entry listens for callers; an unused port if `None`.
    pub caller_address: Option<SocketAddr>,
    /// Address on which the first entry listens for operators; an unused port if `None`.
    pub operator_address: Option<SocketAddr>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            entries: 1,
            agents: 2,
            slots: 4,
            token_time: Duration::from_millis(5),
            caller_address: None,
            operator_address: None,
        }
    }
}

/// Entry or agent that runs on a thread of its own.
pub struct Component {
    /// Requests the stop by being dropped.
    stop_sender: Option<Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Component {
    /// Requests the entry or agent to stop, and blocks until its thread has ended.
    pub fn stop(&mut self) {
        drop(self.stop_sender.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Complete fleet in one process.
pub struct LocalFleet {
    /// Addresses on which the entries listen for callers.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses on which the entries listen for operators.
    pub operator_addresses: Vec<SocketAddr>,
    /// Running entries.
    pub entries: Vec<Component>,
    /// Running agents.
    pub agents: Vec<Component>,
    /// Addresses of the engine stand-ins, one per agent.
    pub engine_addresses: Vec<SocketAddr>,
    /// Address of the stand-in for the key-value service.
    pub kv_address: SocketAddr,
    /// Address of the stand-in for the host list.
    pub host_list_address: SocketAddr,
    /// Address of the stand-in for the plain service.
    pub service_address: SocketAddr,
    /// HTTP client for requests to the fleet.
    pub client: Arc<Client>,
    /// Handle to the traffic threads that all entries, agents and stand-ins share.
    pub traffic: TrafficExecutor,
    _traffic_threads: TrafficThreads,
    _stand_ins: Vec<RunningStandin>,
}

impl LocalFleet {
    /// Returns a client for the operator API of an entry.
    ///
    /// # Panics
    ///
    /// Panics if no entry has the index `entry`.
    pub fn operator(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(self.client.clone(), self.operator_addresses[entry])
    }

    /// Starts the stand-ins, the agents and the entries, in this order.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started or an address cannot be bound.
    pub async fn start(config: &FleetConfig, log: &Logger) -> Result<Self, Box<dyn Error>> {
        let (traffic, traffic_threads) = traffic::start(4)?;
        let client = Arc::new(Client::new(traffic.clone(), CONNECT_TIMEOUT));
        let kv = serve(
            unused_loopback_address(),
            &traffic,
            Arc::new(KvStandin::new()),
        )
        .await?;
        let host_list = HostListStandin::new(Duration::from_millis(200));
        let host_list = serve(unused_loopback_address(), &traffic, Arc::new(host_list)).await?;
        let weight_store = serve(
            unused_loopback_address(),
            &traffic,
            Arc::new(WeightStoreStandin::new()),
        )
        .await?;
        let service = ServiceStandin::new(SERVICE, Duration::from_millis(20));
        let service = serve(unused_loopback_address(), &traffic, Arc::new(service)).await?;
        let mut fleet = Self {
            caller_addresses: Vec::new(),
            operator_addresses: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            engine_addresses: Vec::new(),
            kv_address: kv.address,
            host_list_address: host_list.address,
            service_address: service.address,
            client,
            traffic,
            _traffic_threads: traffic_threads,
            _stand_ins: vec![kv, host_list, service],
        };
        let mut agent_addresses = Vec::new();
        for index in 0..config.agents {
            agent_addresses.push(
                fleet
                    .start_agent(config, index, weight_store.address, log)
                    .await?,
            );
        }
        fleet._stand_ins.push(weight_store);
        for index in 0..config.entries {
            fleet
                .start_entry(config, index, &agent_addresses, log)
                .await?;
        }
        Ok(fleet)
    }

    async fn start_agent(
        &mut self,
        config: &FleetConfig,
        index: usize,
        weight_store: SocketAddr,
        log: &Logger,
    ) -> Result<SocketAddr, Box<dyn Error>> {
        let engine_shape = EngineConfig {
            base_model: "base".into(),
            slots: config.slots,
            batch: 16,
            token_time: config.token_time,
            check_fencing: true,
        };
        let weight_store = weight_store.to_string();
        let engine = EngineStandin::new(
            engine_shape,
            self.client.clone(),
            Some(&weight_store),
            &self.traffic,
        );
        let engine = serve(
            unused_loopback_address(),
            &self.traffic,
            Arc::new(EngineHandler(engine)),
        )
        .await?;
        let mut upstreams = vec![json!({
            "name": format!("runner-{index}"),
            "address": engine.address,
            "serves": {"engine": {"base_model": "base", "slots": config.slots, "batch": 16}},
        })];
        if index == 0 {
            upstreams.push(json!({
                "name": format!("{SERVICE}-{index}"),
                "address": self.service_address,
                "serves": {"service": {"name": SERVICE, "concurrency": 16}},
            }));
        }
        self.engine_addresses.push(engine.address);
        self._stand_ins.push(engine);
        let settings = json!({
            "node": {"name": format!("host-{index}"), "failure_domain": failure_domain(index)},
            "listen": unused_loopback_address(),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv_address,
            "upstreams": upstreams,
            "heartbeat_ms": 100,
            "load_share": 2.0,
        });
        let settings: AgentSettings = settings::parse("local agent", &settings.to_string())?;
        let log = log.new(slog::o!("part" => format!("host-{index}")));
        let agent = Agent::bind(settings, self.traffic.clone(), log).await?;
        let address = agent.listen_address;
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let thread = thread::Builder::new()
            .name(format!("agent-{index}"))
            .spawn(move || smol::block_on(agent.run(stop_receiver)))?;
        self.agents.push(Component {
            stop_sender: Some(stop_sender),
            thread: Some(thread),
        });
        Ok(address)
    }

    async fn start_entry(
        &mut self,
        config: &FleetConfig,
        index: usize,
        agent_addresses: &[SocketAddr],
        log: &Logger,
    ) -> Result<(), Box<dyn Error>> {
        let if_first = |address: Option<SocketAddr>| address.filter(|_| index == 0);
        let settings = json!({
            "node": {"name": format!("entry-{index}"), "failure_domain": failure_domain(index)},
            "listen_callers": if_first(config.caller_address).unwrap_or_else(unused_loopback_address),
            "listen_operators": if_first(config.operator_address).unwrap_or_else(unused_loopback_address),
            "shared_key": SHARED_KEY,
            "key_value_service": self.kv_address,
            "host_list": self.host_list_address,
            "agents": agent_addresses,
            "heartbeat_ms": 100,
        });
        let settings: EntrySettings = settings::parse("local entry", &settings.to_string())?;
        let log = log.new(slog::o!("part" => format!("entry-{index}")));
        let entry = Entry::bind(settings, self.traffic.clone(), log.clone()).await?;
        self.caller_addresses.push(entry.callers_address);
        self.operator_addresses.push(entry.operators_address);
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let thread = thread::Builder::new()
            .name(format!("entry-{index}"))
            .spawn(move || {
                if let Err(error) = smol::block_on(entry.run(stop_receiver)) {
                    slog::error!(log, "entry failed"; "error" => %error);
                }
            })?;
        self.entries.push(Component {
            stop_sender: Some(stop_sender),
            thread: Some(thread),
        });
        Ok(())
    }
}

fn unused_loopback_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn failure_domain(index: usize) -> &'static str {
    const DOMAINS: [&str; 4] = ["domain-1", "domain-2", "domain-3", "domain-4"];
    DOMAINS[index % DOMAINS.len()]
}
