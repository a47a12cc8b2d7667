//! What the entry knows about how recent its configuration is, shared by the control thread, which
//! applies configurations, the traffic threads, which ask before a request runs, and the task that
//! sends extra requests to the store.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_runtime::boot_clock::BootClock;
use dogwoodshunt_types::BootTime;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Revision;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_workspaces::Currency;
use dogwoodshunt_workspaces::RevocationLimit;
use dogwoodshunt_workspaces::currency::MAX_CONFIRMATION_WAIT;
use smol::Timer;
use smol::future::FutureExt;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time sent to a caller whose unknown key could not be confirmed in time.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the present time.
pub type TimeSource = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// Change of the proof, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofChange {
    /// The proof has become too old.
    Lost {
        /// Age of the last proof; `None` if there was none.
        age: Option<Duration>,
    },
    /// There is a proof that is recent enough.
    Gained,
}

/// Request that waits until a key is confirmed to be unknown.
struct Waiter {
    as_of: BootTime,
    proven: Sender<()>,
}

struct GateState {
    currency: Currency,
    waiters: Vec<Waiter>,
    /// Whether there was a proof when [`CurrencyGate::observe`] was called last.
    had_proof: Option<bool>,
}

/// Knowledge of how recent the configuration is, shared between threads.
pub struct CurrencyGate {
    state: Mutex<GateState>,
    time_source: TimeSource,
    /// Wakes the task that sends extra requests.
    wake: (Sender<()>, Receiver<()>),
}

impl fmt::Debug for CurrencyGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.lock();
        f.debug_struct("CurrencyGate")
            .field("currency", &state.currency)
            .field("waiters", &state.waiters.len())
            .finish_non_exhaustive()
    }
}

impl Default for CurrencyGate {
    fn default() -> Self {
        Self::new(None, Arc::new(|| BootClock.now()))
    }
}

impl CurrencyGate {
    /// Creates the knowledge of an entry that has just started.
    pub fn new(limit: Option<RevocationLimit>, time_source: TimeSource) -> Self {
        let currency = Currency::new(limit, time_source());
        Self {
            state: Mutex::new(GateState {
                currency,
                waiters: Vec::new(),
                had_proof: None,
            }),
            time_source,
            wake: async_channel::bounded(1),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> BootTime {
        (self.time_source)()
    }

    /// Notes that a configuration was read and, if it is newer than the held one, put in force.
    pub fn on_config_read(&self, era: StoreEra, revision: Revision) {
        self.lock().currency.on_config_read(era, revision);
    }

    /// Notes that the store has answered a request that was sent at `sent_at`, and that all changes
    /// in the answer are in force. Wakes the requests that waited for it.
    pub fn on_answer(&self, sent_at: BootTime, era: StoreEra) {
        let mut state = self.lock();
        let GateState {
            currency, waiters, ..
        } = &mut *state;
        currency.on_answer(sent_at, era);
        waiters.retain(|waiter| {
            let is_proven = currency.proves(waiter.as_of);
            if is_proven {
                // The receiver is dropped if the request no longer waits.
                let _ = waiter.proven.try_send(());
            }
            !is_proven && !waiter.proven.is_closed()
        });
    }

    /// Checks whether a request with a key of the configuration in force may run.
    ///
    /// The configuration is to be read after this check: what a proof says holds for the
    /// configuration that is in force when the proof is noted, or a later one.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no proof is recent enough.
    pub fn check_run(&self, now: BootTime) -> Result<(), NotRun> {
        let checked = self.lock().currency.check_run(now);
        checked.map_err(|retry_after| NotRun::new(NotRunReason::KeyUnconfirmed, retry_after))
    }

    /// Waits until the configuration is known to have been the newest one at `as_of` or later.
    ///
    /// # Errors
    ///
    /// Returns the refusal if that is not known by `deadline` or within
    /// [`MAX_CONFIRMATION_WAIT`], and at once if requests with known keys are refused, too.
    pub async fn confirm(&self, as_of: BootTime, deadline: Instant) -> Result<(), NotRun> {
        let (proven, proven_rx) = async_channel::bounded(1);
        {
            let mut state = self.lock();
            if state.currency.proves(as_of) {
                return Ok(());
            }
            if let Err(retry_after) = state.currency.check_run(as_of) {
                return Err(NotRun::new(NotRunReason::KeyUnconfirmed, retry_after));
            }
            state.currency.want_confirmation(as_of);
            state.waiters.retain(|waiter| !waiter.proven.is_closed());
            state.waiters.push(Waiter { as_of, proven });
        }
        let _ = self.wake.0.try_send(());
        let is_proven = async { proven_rx.recv().await.is_ok() };
        let timed_out = async {
            Timer::at(deadline.min(Instant::now() + MAX_CONFIRMATION_WAIT)).await;
            false
        };
        match is_proven.or(timed_out).await {
            true => Ok(()),
            false => Err(NotRun::new(
                NotRunReason::KeyUnconfirmed,
                UNCONFIRMED_RETRY_AFTER,
            )),
        }
    }

    /// Waits until an extra request to the store is due, and notes that it is sent. Returns when.
    pub async fn extra_request(&self) -> BootTime {
        loop {
            let now = self.now();
            let due_in = {
                let mut state = self.lock();
                let due_in = state.currency.extra_request_due_in(now);
                if due_in == Some(Duration::ZERO) {
                    state.currency.on_extra_request(now);
                    return now;
                }
                due_in
            };
            let due = async {
                match due_in {
                    Some(due_in) => {
                        Timer::after(due_in).await;
                    }
                    None => smol::future::pending().await,
                }
            };
            let woken = async {
                // The sender lives as long as `self`.
                let _ = self.wake.1.recv().await;
            };
            due.or(woken).await;
        }
    }

    /// Returns the age of the newest proof; `None` if there is none.
    pub fn proof_age(&self, now: BootTime) -> Option<Duration> {
        self.lock().currency.proof_age(now)
    }

    /// Returns whether the proof was lost or gained since the last call; never if requests run
    /// without proof.
    pub fn observe(&self, now: BootTime) -> Option<ProofChange> {
        let mut state = self.lock();
        state.currency.limit()?;
        let has_proof = state.currency.check_run(now).is_ok();
        let had_proof = state.had_proof.replace(has_proof);
        match (had_proof, has_proof) {
            (Some(true), false) => Some(ProofChange::Lost {
                age: state.currency.proof_age(now),
            }),
            (None | Some(false), true) => Some(ProofChange::Gained),
            (None | Some(false), false) | (Some(true), true) => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
