//! Randomised test of the ownership of upstreams: processes whose calls to the
//! key-value service are delayed at any point, lost or applied late, and restores of
//! the service from older copies.

use crate::log::StoreError;
use crate::ownership;
use crate::ownership::Ownership;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::memory::MemoryKv;
use dogwoodshunt_border::kv::memory::MemoryKvCopy;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smol::block_on;
use smol::future::poll_once;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;

const PROCESSES: usize = 3;

/// One event of a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A process that is idle starts to verify its ownership, or to take over if it
    /// has none yet.
    Begin(usize),
    /// The pending call of a process is executed and answered.
    Answer(usize),
    /// The pending write of a process is executed and its answer is lost.
    LoseAnswer(usize),
    /// The pending write of a process is lost, and may be executed later.
    Delay(usize),
    /// The oldest delayed write is executed.
    ExecuteDelayed,
    /// A process is killed, and another one starts in its place.
    Restart(usize),
    /// A copy of the service is made.
    Copy,
    /// The service is restored from the last copy.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        6 => process.clone().prop_map(Step::Begin),
        12 => process.clone().prop_map(Step::Answer),
        2 => process.clone().prop_map(Step::LoseAnswer),
        2 => process.clone().prop_map(Step::Delay),
        2 => Just(Step::ExecuteDelayed),
        1 => process.prop_map(Step::Restart),
        1 => Just(Step::Copy),
        2 => Just(Step::Restore),
    ]
}

type Write = (Vec<Precondition>, Vec<Op>);

/// How a pending call continues.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    NotExecuted,
}

/// Client of one process, whose calls wait until the test decides on their fate.
struct GatedKv {
    kv: Arc<MemoryKv>,
    fate_rx: async_channel::Receiver<Fate>,
    /// Write that waits for its fate; `None` while a read waits.
    pending_write: Arc<Mutex<Option<Write>>>,
}

fn lost(step: &'static str) -> KvError {
    KvError::OutcomeUnknown {
        step,
        message: "lost".into(),
    }
}

impl Kv for GatedKv {
    async fn range(
        &self,
        step: &'static str,
        start: &str,
        end: &str,
    ) -> Result<Vec<Record>, KvError> {
        match self.fate_rx.recv().await {
            Ok(Fate::Answered) => self.kv.range(step, start, end).await,
            Ok(Fate::AnswerLost | Fate::NotExecuted) | Err(_) => Err(lost(step)),
        }
    }

    async fn txn(
        &self,
        step: &'static str,
        preconditions: Vec<Precondition>,
        ops: Vec<Op>,
    ) -> Result<bool, KvError> {
        *self.pending_write.lock().unwrap() = Some((preconditions.clone(), ops.clone()));
        let fate = self.fate_rx.recv().await;
        *self.pending_write.lock().unwrap() = None;
        match fate {
            Ok(Fate::Answered) => self.kv.txn(step, preconditions, ops).await,
            Ok(Fate::AnswerLost) => {
                let _ = self.kv.txn(step, preconditions, ops).await;
                Err(lost(step))
            }
            Ok(Fate::NotExecuted) | Err(_) => Err(lost(step)),
        }
    }

    async fn lease(&self, step: &'static str, _seconds: u64) -> Result<LeaseId, KvError> {
        Err(lost(step))
    }
}

type Verified = Result<Option<Ownership>, StoreError>;

/// One process and the call to the service in which it waits.
struct Process {
    boot: BootId,
    held: Option<Ownership>,
    superseded: bool,
    running: Option<Pin<Box<dyn Future<Output = Verified>>>>,
    /// Highest token of any process when the running operation began.
    highest_before: Epoch,
    fate_tx: async_channel::Sender<Fate>,
    fate_rx: async_channel::Receiver<Fate>,
    pending_write: Arc<Mutex<Option<Write>>>,
}

impl Process {
    fn new(boot: BootId) -> Self {
        let (fate_tx, fate_rx) = async_channel::unbounded();
        Self {
            boot,
            held: None,
            superseded: false,
            running: None,
            highest_before: 0,
            fate_tx,
            fate_rx,
            pending_write: Arc::default(),
        }
    }
}

struct Run {
    kv: Arc<MemoryKv>,
    processes: Vec<Process>,
    delayed: Vec<Write>,
    copy: MemoryKvCopy,
    last_boot: BootId,
    /// Process that obtained each token.
    holder_by_epoch: HashMap<Epoch, BootId>,
}

impl Run {
    fn new() -> Self {
        let kv = Arc::new(MemoryKv::new());
        Self {
            copy: kv.copy(),
            kv,
            processes: (1..=PROCESSES as BootId).map(Process::new).collect(),
            delayed: Vec::new(),
            last_boot: PROCESSES as BootId,
            holder_by_epoch: HashMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Begin(index) => self.begin(index),
            Step::Answer(index) => self.decide(index, Fate::Answered),
            Step::LoseAnswer(index) => self.decide(index, Fate::AnswerLost),
            Step::Delay(index) => {
                let pending = self.processes[index].pending_write.lock().unwrap().clone();
                self.delayed.extend(pending);
                self.decide(index, Fate::NotExecuted);
            }
            Step::ExecuteDelayed => {
                if !self.delayed.is_empty() {
                    let (preconditions, ops) = self.delayed.remove(0);
                    let _ = block_on(self.kv.txn("late", preconditions, ops));
                }
            }
            Step::Restart(index) => {
                self.last_boot += 1;
                self.processes[index] = Process::new(self.last_boot);
            }
            Step::Copy => self.copy = self.kv.copy(),
            Step::Restore => self.kv.restore(&self.copy),
        }
    }

    fn begin(&mut self, index: usize) {
        let highest_before = self.holder_by_epoch.keys().max().copied().unwrap_or(0);
        let process = &mut self.processes[index];
        if process.running.is_some() || process.superseded {
            return;
        }
        process.highest_before = highest_before;
        let kv = GatedKv {
            kv: self.kv.clone(),
            fate_rx: process.fate_rx.clone(),
            pending_write: process.pending_write.clone(),
        };
        let (boot, held) = (process.boot, process.held.clone());
        process.running = Some(Box::pin(async move {
            let node: NodeId = "agent".into();
            match held {
                None => ownership::take_over(&kv, &node, boot).await.map(Some),
                Some(held) => ownership::verify(&kv, &node, &held).await,
            }
        }));
        self.poll(index);
    }

    fn decide(&mut self, index: usize, fate: Fate) {
        let process = &self.processes[index];
        if process.running.is_some() {
            process.fate_tx.try_send(fate).unwrap();
            self.poll(index);
        }
    }

    fn poll(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(running) = &mut process.running else {
            return;
        };
        let Some(result) = block_on(poll_once(running.as_mut())) else {
            return;
        };
        process.running = None;
        match result {
            Ok(Some(held)) => self.check_obtained(index, held),
            Ok(None) => process.superseded = true,
            // The worker retries.
            Err(_) => {}
        }
    }

    fn check_obtained(&mut self, index: usize, held: Ownership) {
        let process = &mut self.processes[index];
        let holder = self
            .holder_by_epoch
            .entry(held.epoch)
            .or_insert(process.boot);
        assert_eq!(
            *holder, process.boot,
            "token {} has two holders",
            held.epoch
        );
        let previous = process.held.as_ref().map_or(0, |held| held.epoch);
        assert!(held.epoch >= previous, "a process lowered its token");
        assert!(
            held.epoch >= process.highest_before,
            "token {} after {} had been used",
            held.epoch,
            process.highest_before
        );
        process.held = Some(held);
    }

    /// Runs an operation of one process without faults.
    fn complete(&mut self, index: usize) {
        self.begin(index);
        while self.processes[index].running.is_some() {
            self.decide(index, Fate::Answered);
        }
    }
}

/// Returns the configuration of the test. For long runs, `DOGWOODSHUNT_CASES` sets
/// the number of cases and `DOGWOODSHUNT_SEED` the seed.
fn proptest_config() -> ProptestConfig {
    let read_number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: read_number("DOGWOODSHUNT_CASES").map_or(2_000, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(read_number("DOGWOODSHUNT_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn fencing_tokens_stay_unique_and_rise_across_restores(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut run = Run::new();
        steps.into_iter().for_each(|step| run.apply(step));
        // A process that starts after all faults becomes the only owner.
        for process in &mut run.processes {
            process.running = None;
            while process.fate_rx.try_recv().is_ok() {}
        }
        run.apply(Step::Restart(0));
        run.complete(0);
        for index in 1..PROCESSES {
            if run.processes[index].held.is_some() {
                run.complete(index);
                prop_assert!(run.processes[index].superseded);
            }
        }
        run.complete(0);
        prop_assert!(!run.processes[0].superseded);
    }
}

/// Without the era in the token, the successor would reuse the token of the takeover
/// that the restore has discarded.
#[test]
fn takeover_after_a_restore_gets_a_higher_token_than_one_that_was_discarded() {
    let kv = MemoryKv::new();
    let node: NodeId = "agent".into();
    let first = block_on(ownership::take_over(&kv, &node, 1)).unwrap();
    let copy = kv.copy();
    let discarded = block_on(ownership::take_over(&kv, &node, 2)).unwrap();
    kv.restore(&copy);
    let successor = block_on(ownership::take_over(&kv, &node, 3)).unwrap();
    assert!(successor.epoch > discarded.epoch);
    assert!(discarded.epoch > first.epoch);
}

#[test]
fn owner_whose_takeover_was_discarded_takes_over_again() {
    let kv = MemoryKv::new();
    let node: NodeId = "agent".into();
    let predecessor = block_on(ownership::take_over(&kv, &node, 1)).unwrap();
    let copy = kv.copy();
    let owner = block_on(ownership::take_over(&kv, &node, 2)).unwrap();
    kv.restore(&copy);
    let confirmed = block_on(ownership::verify(&kv, &node, &owner))
        .unwrap()
        .unwrap();
    assert!(confirmed.epoch > owner.epoch);
    assert_eq!(
        block_on(ownership::verify(&kv, &node, &predecessor)).unwrap(),
        None
    );
}

/// Two processes that start together may each take over from the other; only a
/// restore makes the record of a predecessor doubtful.
#[test]
fn predecessor_that_takes_over_again_supersedes_without_a_restore() {
    let kv = MemoryKv::new();
    let node: NodeId = "agent".into();
    block_on(ownership::take_over(&kv, &node, 1)).unwrap();
    let owner = block_on(ownership::take_over(&kv, &node, 2)).unwrap();
    let again = block_on(ownership::take_over(&kv, &node, 1)).unwrap();
    assert!(again.epoch > owner.epoch);
    assert_eq!(
        block_on(ownership::verify(&kv, &node, &owner)).unwrap(),
        None
    );
}
