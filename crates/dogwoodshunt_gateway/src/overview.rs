//! What is in force on the platform, and which processes lag behind.
//!
//! It compares the records of the store with what processes serve as metrics.

use crate::ports::Item;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::registry::Listed;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

/// Gauge of an entry: revision of the configuration in force on it.
const CONFIG_REVISION: &str = "dogwoodshunt_config_revision";

/// Gauge of an entry: agents that it is connected to.
const AGENTS: &str = "dogwoodshunt_agents_connected";

/// Gauges that are shown, of entries and of agents.
const SHOWN: [&str; 6] = [
    CONFIG_REVISION,
    AGENTS,
    "dogwoodshunt_runs_granted",
    "dogwoodshunt_runs_queued",
    "dogwoodshunt_unread_tokens",
    "dogwoodshunt_resident_adapters",
];

/// Gauges of one process, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gauges(BTreeMap<Box<str>, i64>);

impl Gauges {
    /// Reads the gauges that are shown from served metrics.
    pub fn read(text: &str) -> Self {
        let samples = text.lines().filter_map(|line| line.split_once(' '));
        let shown = samples.filter(|(name, _)| SHOWN.contains(name));
        let read = shown.filter_map(|(name, value)| Some((name.into(), value.parse().ok()?)));
        Self(read.collect())
    }

    fn get(&self, name: &str) -> Option<i64> {
        self.0.get(name).copied()
    }
}

/// What a process said.
#[derive(Clone, Debug)]
pub struct Process {
    /// Address of its metrics.
    pub address: Box<str>,
    /// Its gauges, or why it was not reached.
    pub said: Result<Gauges, Box<str>>,
}

/// What is in force, by the store and by the processes.
#[derive(Clone, Debug, Default)]
pub struct Overview {
    config: Option<Config>,
    versions: usize,
    upstreams: Vec<Listed>,
    unreadable: Vec<(Box<str>, Box<str>)>,
    processes: Vec<Process>,
}

impl Overview {
    /// Adds what a record of the store says.
    pub fn add_record(&mut self, key: &str, item: Item) {
        match item {
            Item::Config(config) => self.config = Some(*config),
            Item::Upstream(listed) => self.upstreams.push(listed),
            Item::Version(_) => self.versions += 1,
            Item::Unreadable(why) => self.unreadable.push((key.into(), why)),
        }
    }

    /// Adds what a process said.
    pub fn add_process(&mut self, process: Process) {
        self.processes.push(process);
    }

    /// Returns what an operator should look at.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.config.is_none() {
            problems.push("the store holds no configuration".into());
        }
        for (key, why) in &self.unreadable {
            problems.push(format!("record {key} is not read: {why}"));
        }
        for process in &self.processes {
            let address = &process.address;
            match &process.said {
                Err(why) => problems.push(format!("process {address} is not reached: {why}")),
                Ok(gauges) if gauges.0.is_empty() => {
                    problems.push(format!("process {address} serves no metrics of ours"));
                }
                Ok(gauges) => problems.extend(self.lag(address, gauges)),
            }
        }
        problems
    }

    /// Returns in what an entry lags behind the store.
    fn lag(&self, address: &str, gauges: &Gauges) -> Vec<String> {
        let mut lag = Vec::new();
        let stored = self.config.as_ref().map(|config| config.revision);
        let held = gauges.get(CONFIG_REVISION).zip(stored);
        if let Some((held, stored)) = held
            && i64::try_from(stored) != Ok(held)
        {
            lag.push(format!(
                "entry {address} holds configuration {held}, the store {stored}"
            ));
        }
        let engines = self.engines();
        let connected = gauges.get(AGENTS);
        if let Some(connected) = connected
            && usize::try_from(connected) != Ok(engines)
        {
            lag.push(format!(
                "entry {address} is connected to {connected} agents of {engines}"
            ));
        }
        lag
    }

    fn engines(&self) -> usize {
        let is_engine = |listed: &&Listed| {
            let service = self
                .config
                .as_ref()
                .and_then(|c| c.service(&listed.service));
            service.is_some_and(|service| service.engine.is_some())
        };
        self.upstreams.iter().filter(is_engine).count()
    }
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.config {
            Some(config) => writeln!(
                f,
                "configuration {}: {} routes, {} services, {} declared versions",
                config.revision,
                config.routes.len(),
                config.services.len(),
                self.versions
            )?,
            None => writeln!(f, "no configuration")?,
        }
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for listed in &self.upstreams {
            let (all, leaving) = services.entry(&listed.service).or_default();
            *all += 1;
            *leaving += usize::from(listed.leaving);
        }
        for (service, (all, leaving)) in services {
            writeln!(f, "service {service}: {all} upstreams, {leaving} leaving")?;
        }
        for process in &self.processes {
            write!(f, "process {}:", process.address)?;
            match &process.said {
                Ok(gauges) => {
                    for (name, value) in &gauges.0 {
                        let name = name.strip_prefix("dogwoodshunt_").unwrap_or(name);
                        write!(f, " {name}={value}")?;
                    }
                }
                Err(why) => write!(f, " {why}")?,
            }
            f.write_char('\n')?;
        }
        for problem in self.problems() {
            writeln!(f, "problem: {problem}")?;
        }
        Ok(())
    }
}
