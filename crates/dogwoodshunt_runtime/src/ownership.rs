//! Taking over the host's upstreams, and making sure of them after a pause.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_store::ownership;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::Epoch;
use dogwoodshunt_types::NodeId;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Mean pause between tries while the key-value service does not answer.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Whether this process may order its host's upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// It owns them.
    Owned {
        /// Fencing number of its orders.
        epoch: Epoch,
    },
    /// Another process has taken over.
    Superseded,
}

/// Keeps this process the owner of its host's upstreams.
pub struct OwnershipWorker<K, E> {
    /// The key-value service.
    pub kv: Arc<K>,
    /// Name of this agent.
    pub node: NodeId,
    /// Boot of this agent.
    pub boot: BootId,
    /// How long a predecessor may go on without hearing that it was replaced.
    pub predecessor_pause: Duration,
    /// Where the results go.
    pub events: Sender<E>,
    /// Where changes are logged.
    pub log: Logger,
}

impl<K: Kv, E: From<Ownership>> OwnershipWorker<K, E> {
    /// Takes over, then verifies the ownership each time `doubts` yields.
    pub async fn work(self, doubts: Receiver<()>) {
        let epoch = self.take_over().await;
        let first = 1;
        if epoch > first {
            // A predecessor that still runs stops ordering within this time.
            Timer::after(self.predecessor_pause).await;
        }
        self.tell(Ownership::Owned { epoch }).await;
        while doubts.recv().await.is_ok() {
            if !self.verify().await {
                warn!(self.log, "superseded"; "epoch" => epoch);
                self.tell(Ownership::Superseded).await;
                return;
            }
            self.tell(Ownership::Owned { epoch }).await;
        }
    }

    async fn take_over(&self) -> Epoch {
        loop {
            match ownership::take_over(self.kv.as_ref(), &self.node, self.boot).await {
                Ok(epoch) => {
                    info!(self.log, "took over upstreams"; "epoch" => epoch);
                    return epoch;
                }
                Err(error) => warn!(self.log, "take over failed"; "error" => %error),
            }
            Timer::after(retry_pause()).await;
        }
    }

    async fn verify(&self) -> bool {
        loop {
            match ownership::is_owner(self.kv.as_ref(), &self.node, self.boot).await {
                Ok(owner) => return owner,
                Err(error) => warn!(self.log, "verify ownership failed"; "error" => %error),
            }
            Timer::after(retry_pause()).await;
        }
    }

    async fn tell(&self, ownership: Ownership) {
        let _ = self.events.send(ownership.into()).await;
    }
}

/// Returns a pause drawn evenly around the mean, so that agents spread out.
fn retry_pause() -> Duration {
    RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}
