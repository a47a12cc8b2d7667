//! Appending of changes to the log and waiting for their acceptance.

use crate::control::ControlEvent;
use crate::control::ControlQuery;
use crate::operators::OperatorApi;
use crate::operators::OperatorResult;
use crate::operators::proposal;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::ChangeResponse;
use dogwoodshunt_operator::messages::ErrorResponse;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_runtime::nondeterminism::unix_millis;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_types::Revision;
use slog::info;
use smol::Timer;
use std::time::Duration;
use std::time::Instant;

/// Time to wait for acceptance by the witnesses before a change is reported as pending.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between checks whether a change is accepted.
const ACCEPTANCE_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl<K: Kv> OperatorApi<K> {
    /// Appends a change to the log and waits until the witnesses have accepted it.
    ///
    /// The response has status 200 if the change is accepted, or 202 if the change is in
    /// the log but was not accepted within [`ACCEPTANCE_TIMEOUT`].
    pub(super) async fn append(&self, proposal: Proposal) -> OperatorResult {
        let mut catalogue = self.catalogue().await?;
        let base_revision = catalogue.revision();
        let started_at = Instant::now();
        let appended = self.store.append(&mut catalogue, &proposal, unix_millis());
        let entry = appended.await.map_err(proposal::store_error_response)?;
        info!(self.log, "change appended"; "revision" => entry.revision, "id" => %entry.id,
            "author" => %entry.author);
        self.notify_control(started_at, base_revision, catalogue)
            .await;
        let replication = self.wait_for_acceptance(entry.revision).await?;
        let status = if replication.accepted { 200 } else { 202 };
        Ok(server::json(
            status,
            &ChangeResponse {
                entry,
                replication_status: replication,
            },
        ))
    }

    pub(super) async fn query_replication_status(
        &self,
        revision: Revision,
    ) -> Result<ReplicationStatus, ErrorResponse> {
        self.query(|reply| ControlQuery::ReplicationStatus { revision, reply })
            .await
    }

    /// Sends the log entries after `base_revision` to the control thread, or the whole
    /// catalogue if some of those entries are no longer in memory.
    async fn notify_control(
        &self,
        started_at: Instant,
        base_revision: Revision,
        catalogue: Catalogue,
    ) {
        let head_revision = catalogue.revision();
        let event = match catalogue.entries_after(base_revision) {
            Some(entries) => ControlEvent::LogRead {
                started_at,
                head_revision,
                entries,
            },
            None => ControlEvent::SnapshotRead {
                snapshot: Box::new(catalogue),
            },
        };
        let _ = self.events.send(event).await;
    }

    async fn wait_for_acceptance(
        &self,
        revision: Revision,
    ) -> Result<ReplicationStatus, ErrorResponse> {
        let started_at = Instant::now();
        loop {
            let replication_status = self.query_replication_status(revision).await?;
            if replication_status.accepted || started_at.elapsed() >= ACCEPTANCE_TIMEOUT {
                return Ok(replication_status);
            }
            Timer::after(ACCEPTANCE_POLL_INTERVAL).await;
        }
    }
}
