//! Overview of the platform for operators: [`Overview`] compares the records of
//! the store with the metrics that running processes serve, and names the
//! processes that lag behind the store.

use crate::platform::DecodedRecord;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::registry::ListedUpstream;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

/// Gauge of an entry: revision of the configuration in force.
const CONFIG_REVISION: &str = "dogwoodshunt_config_revision";

/// Gauge of an entry: number of connected agents.
const AGENTS_CONNECTED: &str = "dogwoodshunt_agents_connected";

/// Gauges of entries and agents that the overview shows.
const SHOWN_GAUGES: [&str; 7] = [
    CONFIG_REVISION,
    "dogwoodshunt_config_proof_age_ms",
    AGENTS_CONNECTED,
    "dogwoodshunt_runs_granted",
    "dogwoodshunt_runs_queued",
    "dogwoodshunt_unread_tokens",
    "dogwoodshunt_resident_adapters",
];

/// Gauges of one process, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gauges(BTreeMap<Box<str>, i64>);

impl Gauges {
    /// Parses the gauges that the overview shows from `text` in the Prometheus
    /// format; other lines are skipped.
    pub fn parse(text: &str) -> Self {
        let samples = text.lines().filter_map(|line| line.split_once(' '));
        let shown = samples.filter(|(name, _)| SHOWN_GAUGES.contains(name));
        let parsed = shown.filter_map(|(name, value)| Some((name.into(), value.parse().ok()?)));
        Self(parsed.collect())
    }

    fn get(&self, name: &str) -> Option<i64> {
        self.0.get(name).copied()
    }
}

/// Metrics read from one process.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    /// Address on which the process serves metrics.
    pub address: Box<str>,
    /// Gauges of the process, or why its metrics could not be read.
    pub gauges: Result<Gauges, Box<str>>,
}

/// Contents of the store together with the gauges of processes.
#[derive(Clone, Debug, Default)]
pub struct Overview {
    config: Option<Config>,
    declared_version_count: usize,
    upstreams: Vec<ListedUpstream>,
    /// Keys of records that could not be decoded, with the reasons.
    unreadable: Vec<(Box<str>, Box<str>)>,
    processes: Vec<ProcessMetrics>,
}

impl Overview {
    /// Adds the decoded record stored under `key`.
    pub fn add_record(&mut self, key: &str, record: DecodedRecord) {
        match record {
            DecodedRecord::Config(config) => self.config = Some(*config),
            DecodedRecord::Upstream(listed) => self.upstreams.push(listed),
            DecodedRecord::Version(_) => self.declared_version_count += 1,
            DecodedRecord::Unreadable(reason) => self.unreadable.push((key.into(), reason)),
        }
    }

    /// Adds the gauges of one process.
    pub fn add_process(&mut self, process: ProcessMetrics) {
        self.processes.push(process);
    }

    /// Returns a description of each problem: a missing configuration, an
    /// unreadable record, a process that cannot be read or lags behind the store.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.config.is_none() {
            problems.push("the store holds no configuration".into());
        }
        for (key, reason) in &self.unreadable {
            problems.push(format!("record {key} cannot be decoded: {reason}"));
        }
        for process in &self.processes {
            let address = &process.address;
            match &process.gauges {
                Err(reason) => problems.push(format!("process {address} is not reached: {reason}")),
                Ok(gauges) if gauges.0.is_empty() => {
                    problems.push(format!("process {address} serves none of the known gauges"));
                }
                Ok(gauges) => problems.extend(self.entry_problems(address, gauges)),
            }
        }
        problems
    }

    /// Returns a description of each difference between an entry and the store.
    fn entry_problems(&self, address: &str, gauges: &Gauges) -> Vec<String> {
        let mut problems = Vec::new();
        let stored = self.config.as_ref().map(|config| config.revision);
        let in_force = gauges.get(CONFIG_REVISION).zip(stored);
        if let Some((in_force, stored)) = in_force
            && i64::try_from(stored) != Ok(in_force)
        {
            problems.push(format!(
                "entry {address} has configuration {in_force} in force, the store holds {stored}"
            ));
        }
        let engine_count = self.engine_count();
        let connected = gauges.get(AGENTS_CONNECTED);
        if let Some(connected) = connected
            && usize::try_from(connected) != Ok(engine_count)
        {
            problems.push(format!(
                "entry {address} is connected to {connected} of {engine_count} agents"
            ));
        }
        problems
    }

    fn engine_count(&self) -> usize {
        let is_engine = |listed: &&ListedUpstream| {
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
                self.declared_version_count
            )?,
            None => writeln!(f, "no configuration")?,
        }
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for listed in &self.upstreams {
            let (total, leaving) = services.entry(&listed.service).or_default();
            *total += 1;
            *leaving += usize::from(listed.leaving);
        }
        for (service, (total, leaving)) in services {
            writeln!(f, "service {service}: {total} upstreams, {leaving} leaving")?;
        }
        for process in &self.processes {
            write!(f, "process {}:", process.address)?;
            match &process.gauges {
                Ok(gauges) => {
                    for (name, value) in &gauges.0 {
                        let name = name.strip_prefix("dogwoodshunt_").unwrap_or(name);
                        write!(f, " {name}={value}")?;
                    }
                }
                Err(reason) => write!(f, " {reason}")?,
            }
            f.write_char('\n')?;
        }
        for problem in self.problems() {
            writeln!(f, "problem: {problem}")?;
        }
        Ok(())
    }
}
