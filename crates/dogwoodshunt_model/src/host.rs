//! A host of the model: an engine with its agent.

use crate::engine::Engine;
use crate::engine::RunId;
use crate::engine::Spec;
use bon::Builder;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Scheduler;
use dogwoodshunt_residency::Settings as Holding;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::orders::ProbeAnswer;
use dogwoodshunt_residency::upstream::Limits;
use dogwoodshunt_residency::upstream::UpstreamKind;
use dogwoodshunt_routing::Settings as Placing;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

/// Base model of all engines.
pub(crate) const BASE_MODEL: &str = "base";

/// Adapters that may be on their way to an engine at once.
const TRANSIT: usize = 4;

/// How large the fleet is, and how it decides.
#[derive(Builder, Clone, Debug)]
pub struct Fleet {
    /// Entries.
    #[builder(default = 4)]
    pub entries: usize,
    /// Engines.
    #[builder(default = 18)]
    pub engines: usize,
    /// What an engine can do.
    #[builder(default = Spec::builder().build())]
    pub engine: Spec,
    /// Weights and limits of an entry.
    #[builder(default)]
    pub placing: Placing,
    /// Weights and limits of an agent.
    #[builder(default)]
    pub holding: Holding,
    /// Times the objective within which the first byte is expected, or else
    /// the request is refused; the caller's patience bounds it.
    #[builder(default = 3.2)]
    pub useful_objectives: f64,
}

/// Lets everything run.
pub(crate) struct Open;

impl AdmissionCheck for Open {
    fn check(&self, _target: &Target) -> Result<(), NotRun> {
        Ok(())
    }
}

/// An engine with its agent.
pub(crate) struct Agent {
    /// What the agent decides with.
    pub(crate) scheduler: Scheduler,
    /// The engine, as the agent names it.
    pub(crate) upstream: UpstreamKey,
    /// The engine.
    pub(crate) engine: Engine,
    /// Whether a step has been begun.
    pub(crate) stepping: bool,
    copies: VecDeque<AdapterRef>,
    /// Runs by the agent's jobs.
    pub(crate) jobs: HashMap<JobKey, RunId>,
}

impl Agent {
    /// Creates an agent whose engine holds no adapter.
    pub(crate) fn new(now: Instant, fleet: &Fleet) -> Self {
        let mut scheduler = Scheduler::new(fleet.holding.clone());
        let base_model = BASE_MODEL.into();
        let upstream = scheduler.add_upstream("engine".into(), UpstreamKind::Engine { base_model });
        scheduler.set_owned(true);
        let answer = ProbeAnswer {
            boot: 1,
            limits: Limits {
                kv_tokens: fleet.engine.kv_tokens / 10 * 9,
                max_concurrent_loads: TRANSIT,
                single_version: true,
                ..Limits::new(fleet.engine.slots, fleet.engine.batch)
            },
            has_base_model: true,
            resident: Vec::new(),
            incoming: None,
        };
        scheduler.on_probe(now, upstream, &answer);
        Agent {
            scheduler,
            upstream,
            engine: Engine::new(fleet.engine.clone()),
            stepping: false,
            copies: VecDeque::new(),
            jobs: HashMap::new(),
        }
    }

    /// Notes that the engine has dropped an adapter; the host keeps a copy.
    pub(crate) fn keep_copy(&mut self, adapter: AdapterRef) {
        self.copies.push_back(adapter);
        if self.copies.len() > self.engine.spec().host_copies {
            self.copies.pop_front();
        }
    }

    /// Takes the host's copy of an adapter, if there is one.
    pub(crate) fn take_copy(&mut self, adapter: &AdapterRef) -> bool {
        let held = self.copies.len();
        self.copies.retain(|copy| copy != adapter);
        self.copies.len() < held
    }
}
