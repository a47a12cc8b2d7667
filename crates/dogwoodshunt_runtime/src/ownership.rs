//! Takeover of the host's upstreams, and verification of the ownership on request, such as after
//! the process was suspended and another one may have taken over.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_store::ownership;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use dogwoodshunt_types::StoreEra;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Mean delay before a retry while the key-value service does not respond.
const MEAN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether this process may send orders to its host's upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// This process owns the upstreams.
    Owned {
        /// Fencing token of the orders of this process.
        epoch: Epoch,
        /// Era of the key-value service in which the ownership was last confirmed.
        era: StoreEra,
    },
    /// Another process has taken over the upstreams.
    Superseded,
}

/// Task that takes over the host's upstreams for this process and verifies the ownership on
/// request.
pub struct OwnershipWorker<K, E> {
    /// Client of the key-value service.
    pub kv: Arc<K>,
    /// Node name of this agent.
    pub node: NodeId,
    /// Boot id of this agent.
    pub boot: BootId,
    /// Maximum time for which a predecessor may continue to send orders after the takeover, until
    /// it notices that it was superseded.
    pub predecessor_timeout: Duration,
    /// Channel to which the result of the takeover and of each verification is sent.
    pub events: Sender<E>,
    /// Logger for changes of the ownership and failed calls.
    pub log: Logger,
}

impl<K: Kv, E: From<Ownership>> OwnershipWorker<K, E> {
    /// Takes over the upstreams, then verifies the ownership for each message from
    /// `verify_requests`. Ends when the ownership is lost or `verify_requests` is closed.
    pub async fn run(self, verify_requests: Receiver<()>) {
        let mut held = self.take_over().await;
        if !held.owner.predecessors.is_empty() {
            // A predecessor that still runs stops sending orders within this time.
            Timer::after(self.predecessor_timeout).await;
        }
        self.send_owned(&held).await;
        while verify_requests.recv().await.is_ok() {
            let Some(confirmed) = self.verify(&held).await else {
                warn!(self.log, "superseded"; "epoch" => held.epoch);
                self.send_event(Ownership::Superseded).await;
                return;
            };
            if confirmed.epoch != held.epoch {
                info!(self.log, "upstreams taken over again"; "epoch" => confirmed.epoch,
                    "before" => held.epoch, "era" => confirmed.era);
            }
            held = confirmed;
            self.send_owned(&held).await;
        }
    }

    async fn take_over(&self) -> ownership::Ownership {
        loop {
            match ownership::take_over(self.kv.as_ref(), &self.node, self.boot).await {
                Ok(held) => {
                    info!(self.log, "upstreams taken over"; "epoch" => held.epoch,
                        "era" => held.era);
                    return held;
                }
                Err(error) => warn!(self.log, "takeover of upstreams failed"; "error" => %error),
            }
            Timer::after(retry_delay()).await;
        }
    }

    /// Verifies the ownership; returns `None` if it was lost to another process.
    async fn verify(&self, held: &ownership::Ownership) -> Option<ownership::Ownership> {
        loop {
            match ownership::verify(self.kv.as_ref(), &self.node, held).await {
                Ok(confirmed) => return confirmed,
                Err(error) => warn!(self.log, "verify ownership failed"; "error" => %error),
            }
            Timer::after(retry_delay()).await;
        }
    }

    async fn send_owned(&self, held: &ownership::Ownership) {
        let (epoch, era) = (held.epoch, held.era);
        self.send_event(Ownership::Owned { epoch, era }).await;
    }

    async fn send_event(&self, ownership: Ownership) {
        let _ = self.events.send(ownership.into()).await;
    }
}

/// Returns a retry delay drawn uniformly from 50 % to 150 % of the mean, so that agents do not
/// retry in step.
fn retry_delay() -> Duration {
    MEAN_RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))
}
