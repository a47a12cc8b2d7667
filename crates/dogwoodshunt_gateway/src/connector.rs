//! The connection to one agent, opened again whenever it ends.

use crate::control::Event;
use async_channel::Sender;
use dogwoodshunt_routing::AgentKey;
use dogwoodshunt_runtime::link;
use dogwoodshunt_runtime::link::Credentials;
use dogwoodshunt_runtime::traffic::Traffic;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// First upper bound of the pause before connecting again.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Last upper bound of the pause before connecting again.
const PAUSE_MOST: Duration = Duration::from_secs(1);

/// Keeps the connection to one agent.
pub struct Connector {
    /// The agent.
    pub agent: AgentKey,
    /// Its address.
    pub address: SocketAddr,
    /// What this process shows it.
    pub credentials: Arc<Credentials>,
    /// Traffic threads.
    pub traffic: Traffic,
    /// Where frames go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl Connector {
    /// Works until it is dropped or the control state is gone.
    pub async fn work(self) {
        let mut failures: u32 = 0;
        let address = self.address.to_string();
        loop {
            match link::connect(&address, &self.credentials, &self.traffic, &self.log).await {
                Ok(link) => {
                    failures = 0;
                    info!(self.log, "agent connected"; "agent" => %link.peer.node,
                        "address" => %address);
                    if self.receive(link).await.is_none() {
                        return;
                    }
                }
                Err(error) => {
                    // One line for a row of failures, not one for each.
                    if failures == 0 {
                        warn!(self.log, "agent not reached"; "address" => %address,
                            "error" => %error);
                    }
                }
            }
            let bound = PAUSE_MOST.min(PAUSE_FIRST * (1 << failures.min(8)));
            failures += 1;
            let spread = rand::rng().random_range(0.5..1.0);
            Timer::after(bound.mul_f64(spread)).await;
        }
    }

    async fn receive(&self, link: link::Link) -> Option<()> {
        let link::Link { peer, tx, rx } = link;
        let agent = self.agent;
        let node = peer.node.clone();
        let up = Event::AgentUp {
            agent,
            identity: peer,
            tx,
        };
        self.events.send(up).await.ok()?;
        while let Ok(frame) = rx.recv().await {
            self.events.send(Event::Frame { agent, frame }).await.ok()?;
        }
        warn!(self.log, "agent lost"; "agent" => %node, "address" => %self.address);
        self.events.send(Event::AgentDown { agent }).await.ok()
    }
}
