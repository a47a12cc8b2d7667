//! Polling of the change log in the key-value service and of the host list.

use crate::control::ControlEvent;
use async_channel::Sender;
use dogwoodshunt_border::host_list;
use dogwoodshunt_border::http::Client;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_store::LogStore;
use dogwoodshunt_store::compaction::CompactionStep;
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

/// Interval between reads of the head of the change log.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the host list.
const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for a read of the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the [`LogWatcher`] that the control thread updates while it runs.
#[derive(Debug, Default)]
pub struct LogWatcherControl {
    /// Whether this entry is one of those that poll the log for its failure domain.
    pub enabled: AtomicBool,
    /// Whether this entry compacts the log when compaction is due.
    pub compaction_enabled: AtomicBool,
    /// Revision of this entry's catalogue, from which the watcher reads on.
    pub local_revision: AtomicU64,
}

/// Polls the head of the change log and reads log entries that the catalogue lacks.
pub struct LogWatcher<K> {
    /// Store that holds the log.
    pub store: LogStore<K>,
    /// Values set by the control thread.
    pub control: Arc<LogWatcherControl>,
    /// Channel to the control thread, for the results.
    pub events: Sender<ControlEvent>,
    /// Logger of this process.
    pub log: Logger,
}

impl<K: Kv> LogWatcher<K> {
    /// Polls for as long as the process runs.
    pub async fn run(self) {
        let mut was_failing = false;
        loop {
            if self.control.enabled.load(Ordering::Acquire) {
                let result = self.read_log().await;
                if let Err(error) = &result
                    && !was_failing
                {
                    warn!(self.log, "reading the change log failed"; "error" => %error);
                }
                if result.is_ok() && was_failing {
                    info!(self.log, "reading the change log succeeds again");
                }
                was_failing = result.is_err();
            }
            Timer::after(HEAD_POLL_INTERVAL).await;
        }
    }

    async fn read_log(&self) -> Result<(), StoreError> {
        let started_at = Instant::now();
        let head = self.store.head().await?.head;
        let local_revision = self.control.local_revision.load(Ordering::Acquire);
        let mut entries = Vec::new();
        if local_revision < head.snapshot_revision {
            let snapshot = Box::new(self.store.snapshot(head.snapshot_revision).await?);
            self.send_event(ControlEvent::SnapshotRead { snapshot })
                .await;
        }
        let first_revision: Revision = local_revision.max(head.snapshot_revision) + 1;
        if first_revision <= head.revision {
            entries = self.store.entries(first_revision, head.revision).await?;
        }
        let head_revision = head.revision;
        self.send_event(ControlEvent::LogRead {
            started_at,
            head_revision,
            entries,
        })
        .await;
        if head.needs_compaction() && self.control.compaction_enabled.load(Ordering::Acquire) {
            let snapshot = self.store.compact(CompactionStep::ReplacedDeleted).await?;
            info!(self.log, "change log compacted"; "snapshot" => snapshot);
        }
        Ok(())
    }

    async fn send_event(&self, event: ControlEvent) {
        let _ = self.events.send(event).await;
    }
}

/// Polls the platform's host list for hosts that are leaving.
pub struct HostListWatcher {
    /// HTTP client for the host list.
    pub client: Arc<Client>,
    /// Address of the host list.
    pub address: Box<str>,
    /// Channel to the control thread, for the results.
    pub events: Sender<ControlEvent>,
    /// Logger of this process.
    pub log: Logger,
}

impl HostListWatcher {
    /// Polls for as long as the process runs.
    pub async fn run(self) {
        let (mut was_failing, mut was_odd) = (false, false);
        loop {
            let result =
                host_list::leaving_hosts(&self.client, &self.address, HOST_LIST_TIMEOUT).await;
            let is_failing = result.is_err();
            match result {
                Ok(hosts) => {
                    if hosts.unreadable > 0 && !was_odd {
                        warn!(self.log, "hosts of the host list not read";
                            "hosts" => hosts.unreadable);
                    }
                    was_odd = hosts.unreadable > 0;
                    let leaving_hosts = hosts.names;
                    let _ = self
                        .events
                        .send(ControlEvent::HostListRead { leaving_hosts })
                        .await;
                }
                Err(error) if !was_failing => {
                    warn!(self.log, "reading the host list failed"; "error" => %error);
                }
                Err(_) => {}
            }
            was_failing = is_failing;
            Timer::after(HOST_LIST_POLL_INTERVAL).await;
        }
    }
}
