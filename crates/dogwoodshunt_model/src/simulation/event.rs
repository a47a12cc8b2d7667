//! What happens in the model, at a time of its own.

use crate::engine::RunId;
use dogwoodshunt_residency::Report;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::NotRun;

/// What happens; `run` is a request, `agent` the index of an engine's agent.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Admit {
        run: RunId,
        agent: usize,
    },
    Arrive {
        run: RunId,
    },
    Declined {
        run: RunId,
        agent: usize,
        not_run: NotRun,
    },
    FirstByte {
        run: RunId,
    },
    Gone {
        run: RunId,
    },
    Granted {
        run: RunId,
        agent: usize,
    },
    Loaded {
        agent: usize,
        adapter: AdapterRef,
    },
    Report {
        agent: usize,
    },
    Reported {
        entry: usize,
        agent: usize,
        report: Box<Report>,
    },
    RunOver {
        run: RunId,
    },
    StepOver {
        agent: usize,
    },
    Weights,
}
