//! Watching the key-value service and the host list.

use crate::control::Event;
use async_channel::Sender;
use dogwoodshunt_border::host_list;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_store::LogStore;
use dogwoodshunt_store::compact::Step;
use dogwoodshunt_store::log::StoreError;
use dogwoodshunt_types::Revision;
use slog::Logger;
use slog::info;
use slog::warn;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time between two reads of the log's head.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the host list's answer may take.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(2);

/// What the control thread tells the watcher.
#[derive(Debug, Default)]
pub struct WatcherOrders {
    /// Whether this entry is one of its failure domain's watchers.
    pub watching: AtomicBool,
    /// Whether this entry compacts the log.
    pub compacting: AtomicBool,
    /// Revision of the catalogue.
    pub held: AtomicU64,
}

/// Reads the log's head and whatever is new.
pub struct LogWatcher<K> {
    /// The log.
    pub store: LogStore<K>,
    /// What the control thread wants.
    pub orders: Arc<WatcherOrders>,
    /// Where the results go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl<K: Kv> LogWatcher<K> {
    /// Watches for as long as the process runs.
    pub async fn work(self) {
        let mut was_out = false;
        loop {
            if self.orders.watching.load(Ordering::Acquire) {
                let read = self.read().await;
                if let Err(error) = &read
                    && !was_out
                {
                    warn!(self.log, "key-value service out"; "error" => %error);
                }
                if read.is_ok() && was_out {
                    info!(self.log, "key-value service back");
                }
                was_out = read.is_err();
            }
            Timer::after(HEAD_INTERVAL).await;
        }
    }

    async fn read(&self) -> Result<(), StoreError> {
        let begun = Instant::now();
        let head = self.store.head().await?.head;
        let held = self.orders.held.load(Ordering::Acquire);
        let mut entries = Vec::new();
        if held < head.snapshot_revision {
            let snapshot = Box::new(self.store.snapshot(head.snapshot_revision).await?);
            self.tell(Event::Snapshot { snapshot }).await;
        }
        let first: Revision = held.max(head.snapshot_revision) + 1;
        if first <= head.revision {
            entries = self.store.entries(first, head.revision).await?;
        }
        let head_revision = head.revision;
        self.tell(Event::LogRead {
            begun,
            head: head_revision,
            entries,
        })
        .await;
        if head.needs_compaction() && self.orders.compacting.load(Ordering::Acquire) {
            let snapshot = self.store.compact(Step::Deleted).await?;
            info!(self.log, "log compacted"; "snapshot" => snapshot);
        }
        Ok(())
    }

    async fn tell(&self, event: Event) {
        let _ = self.events.send(event).await;
    }
}

/// Reads the platform's host list.
pub struct HostWatcher {
    /// Client that carries the calls.
    pub client: Arc<Client>,
    /// Address of the list.
    pub peer: Box<str>,
    /// Where the results go.
    pub events: Sender<Event>,
    /// Where changes are logged.
    pub log: Logger,
}

impl HostWatcher {
    /// Watches for as long as the process runs.
    pub async fn work(self) {
        let mut was_out = false;
        loop {
            let read = host_list::leaving_hosts(&self.client, &self.peer, HOSTS_TIMEOUT).await;
            let is_out = read.is_err();
            match read {
                Ok(leaving) => {
                    let _ = self.events.send(Event::HostsLeaving { leaving }).await;
                }
                Err(error) if !was_out => {
                    warn!(self.log, "host list out"; "error" => %error);
                }
                Err(_) => {}
            }
            was_out = is_out;
            Timer::after(HOSTS_INTERVAL).await;
        }
    }
}
