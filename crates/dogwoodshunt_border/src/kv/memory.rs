//! In-memory key-value service with fault injection, for tests.

use crate::kv::Kv;
use crate::kv::KvError;
use crate::kv::LeaseId;
use crate::kv::Op;
use crate::kv::Precondition;
use crate::kv::Record;
use dogwoodshunt_types::StoreEra;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Fault injected into subsequent calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Transactions take effect, but their responses are lost.
    ResponseLost,
    /// No call reaches the service.
    Unavailable,
}

#[derive(Debug, Default)]
struct MemoryState {
    records: BTreeMap<Box<str>, Record>,
    revision: i64,
    era: StoreEra,
    last_lease: LeaseId,
    fault: Fault,
    reads: u64,
    writes: u64,
}

/// Copy of the data of a [`MemoryKv`], from which the service can be restored.
#[derive(Clone, Debug)]
pub struct MemoryKvCopy {
    records: BTreeMap<Box<str>, Record>,
    revision: i64,
}

/// In-memory key-value service whose leases never expire.
#[derive(Debug, Default)]
pub struct MemoryKv {
    state: Mutex<MemoryState>,
}

impl MemoryKv {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of subsequent calls.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the numbers of reads and writes that reached the service, in this order.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Returns a copy of the present data.
    pub fn copy(&self) -> MemoryKvCopy {
        let state = self.lock();
        MemoryKvCopy {
            records: state.records.clone(),
            revision: state.revision,
        }
    }

    /// Replaces the data by an earlier copy and begins a new era. Revisions continue from that of
    /// the copy.
    pub fn restore(&self, copy: &MemoryKvCopy) {
        let mut state = self.lock();
        state.records = copy.records.clone();
        state.revision = copy.revision;
        state.era += 1;
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryState {
    fn check_available(&self, step: &'static str) -> Result<(), KvError> {
        if self.fault == Fault::Unavailable {
            return Err(KvError::Unavailable {
                step,
                message: "injected outage".into(),
            });
        }
        Ok(())
    }

    fn precondition_holds(&self, precondition: &Precondition) -> bool {
        let record = self.records.get(&precondition.key);
        record.map_or(0, |record| record.mod_revision) == precondition.mod_revision
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::DeleteRange { start, end } => {
                self.records.retain(|key, _| *key < start || *key >= end);
            }
            Op::Put { key, value, .. } => {
                let record = Record {
                    key: key.clone(),
                    value,
                    mod_revision: self.revision,
                    era: self.era,
                };
                self.records.insert(key, record);
            }
        }
    }
}

impl Kv for MemoryKv {
    async fn range(
        &self,
        step: &'static str,
        start: &str,
        end: &str,
    ) -> Result<Vec<Record>, KvError> {
        let mut state = self.lock();
        state.check_available(step)?;
        state.reads += 1;
        let range = state.records.range::<str, _>((
            std::ops::Bound::Included(start),
            std::ops::Bound::Excluded(end),
        ));
        let era = state.era;
        let read = |record: &Record| Record {
            era,
            ..record.clone()
        };
        Ok(range.map(|(_, record)| read(record)).collect())
    }

    async fn txn(
        &self,
        step: &'static str,
        preconditions: Vec<Precondition>,
        ops: Vec<Op>,
    ) -> Result<bool, KvError> {
        let mut state = self.lock();
        state.check_available(step)?;
        state.writes += 1;
        let succeeded = preconditions
            .iter()
            .all(|precondition| state.precondition_holds(precondition));
        if succeeded {
            state.revision += 1;
            for op in ops {
                state.apply(op);
            }
        }
        if state.fault == Fault::ResponseLost {
            return Err(KvError::OutcomeUnknown {
                step,
                message: "injected loss of the response".into(),
            });
        }
        Ok(succeeded)
    }

    async fn lease(&self, step: &'static str, _seconds: u64) -> Result<LeaseId, KvError> {
        let mut state = self.lock();
        state.check_available(step)?;
        state.writes += 1;
        state.last_lease += 1;
        Ok(state.last_lease)
    }
}
