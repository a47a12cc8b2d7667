//! Connection to one agent, reopened whenever it ends.

use crate::control::ControlEvent;
use async_channel::Sender;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound of the delay before the first reconnection attempt; doubled with
/// each further attempt up to [`MAX_RECONNECT_DELAY`].
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the delay before any reconnection attempt.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Maintains the connection to one agent.
pub struct Connector {
    /// Key of the agent in the router.
    pub agent: AgentKey,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Credentials that this process presents to the agent.
    pub credentials: Arc<Credentials>,
    /// Executor of the traffic threads.
    pub traffic: TrafficExecutor,
    /// Sends connection changes and received frames to the control thread.
    pub events: Sender<ControlEvent>,
    /// Logger for connection changes.
    pub log: Logger,
}

impl Connector {
    /// Connects to the agent and forwards its frames to the control thread until
    /// the future is dropped or the control thread's event channel closes.
    pub async fn run(self) {
        let mut failures: u32 = 0;
        let address = self.address.to_string();
        loop {
            match link::connect(&address, &self.credentials, &self.traffic, &self.log).await {
                Ok(link) => {
                    failures = 0;
                    info!(self.log, "agent connected"; "agent" => %link.peer.node,
                        "address" => %address);
                    if self.forward_frames(link).await.is_none() {
                        return;
                    }
                }
                Err(error) => {
                    // Logs only the first of several failures in a row.
                    if failures == 0 {
                        warn!(self.log, "agent not reached"; "address" => %address,
                            "error" => %error);
                    }
                }
            }
            let bound = MAX_RECONNECT_DELAY.min(INITIAL_RECONNECT_DELAY * (1 << failures.min(8)));
            failures += 1;
            let jitter = rand::rng().random_range(0.5..1.0);
            Timer::after(bound.mul_f64(jitter)).await;
        }
    }

    /// Forwards the frames of one connection until the connection ends. Returns
    /// `None` if the control thread's event channel is closed.
    async fn forward_frames(&self, link: link::Link) -> Option<()> {
        let link::Link { peer, tx, rx } = link;
        let agent = self.agent;
        let node = peer.node.clone();
        let connected = ControlEvent::AgentConnected {
            agent,
            identity: peer,
            tx,
        };
        self.events.send(connected).await.ok()?;
        while let Ok(frame) = rx.recv().await {
            self.events
                .send(ControlEvent::Frame { agent, frame })
                .await
                .ok()?;
        }
        warn!(self.log, "agent lost"; "agent" => %node, "address" => %self.address);
        self.events
            .send(ControlEvent::AgentDisconnected { agent })
            .await
            .ok()
    }
}
