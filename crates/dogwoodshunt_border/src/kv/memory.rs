//! The key-value service in memory, with the faults that tests ask for.

use crate::kv::Kv;
use crate::kv::KvError;
use crate::kv::LeaseId;
use crate::kv::Op;
use crate::kv::Record;
use crate::kv::Unchanged;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Writes take effect, but their answers are lost.
    AnswerLost,
    /// No call reaches the service.
    Out,
}

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<Box<str>, Record>,
    revision: i64,
    leases: LeaseId,
    fault: Fault,
    reads: u64,
    writes: u64,
}

/// The key-value service in memory.
#[derive(Debug, Default)]
pub struct MemoryKv {
    state: Mutex<State>,
}

impl MemoryKv {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the reads and the writes that reached the service.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn check_reached(&self, step: &'static str) -> Result<(), KvError> {
        if self.fault == Fault::Out {
            return Err(KvError::Out {
                step,
                message: "down".into(),
            });
        }
        Ok(())
    }

    fn holds(&self, unchanged: &Unchanged) -> bool {
        let record = self.records.get(&unchanged.key);
        record.map_or(0, |record| record.mod_revision) == unchanged.mod_revision
    }

    fn carry_out(&mut self, op: Op) {
        match op {
            Op::DeleteRange { start, end } => {
                self.records.retain(|key, _| *key < start || *key >= end);
            }
            Op::Put { key, value, .. } => {
                let record = Record {
                    key: key.clone(),
                    value,
                    mod_revision: self.revision,
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
        state.check_reached(step)?;
        state.reads += 1;
        let range = state.records.range::<str, _>((
            std::ops::Bound::Included(start),
            std::ops::Bound::Excluded(end),
        ));
        Ok(range.map(|(_, record)| record.clone()).collect())
    }

    async fn txn(
        &self,
        step: &'static str,
        unchanged: Vec<Unchanged>,
        ops: Vec<Op>,
    ) -> Result<bool, KvError> {
        let mut state = self.lock();
        state.check_reached(step)?;
        state.writes += 1;
        let succeeded = unchanged.iter().all(|unchanged| state.holds(unchanged));
        if succeeded {
            state.revision += 1;
            for op in ops {
                state.carry_out(op);
            }
        }
        if state.fault == Fault::AnswerLost {
            return Err(KvError::Unsure {
                step,
                message: "answer lost".into(),
            });
        }
        Ok(succeeded)
    }

    async fn lease(&self, step: &'static str, _seconds: u64) -> Result<LeaseId, KvError> {
        let mut state = self.lock();
        state.check_reached(step)?;
        state.writes += 1;
        state.leases += 1;
        Ok(state.leases)
    }
}
