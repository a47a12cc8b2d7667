//! Appending of changes, and waiting for their acceptance.

use crate::control::Event;
use crate::control::Inquiry;
use crate::operators::Answer;
use crate::operators::OperatorApi;
use crate::operators::proposal;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_catalogue::Catalogue;
use dogwoodshunt_operator::messages::Appended;
use dogwoodshunt_operator::messages::Fault;
use dogwoodshunt_replica::ReplicationStatus;
use dogwoodshunt_runtime::boot::unix_millis;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_types::Revision;
use slog::info;
use smol::Timer;
use std::time::Duration;
use std::time::Instant;

/// How long to wait for the witnesses before the change is reported pending.
const ACCEPT_WAIT: Duration = Duration::from_secs(3);

/// Time between two looks at a change that is not accepted yet.
const ACCEPT_POLL: Duration = Duration::from_millis(10);

impl<K: Kv> OperatorApi<K> {
    /// Appends a change and waits until the witnesses have accepted it.
    ///
    /// The answer has status 200 once it is accepted, 202 while it stands in
    /// the log but is not accepted yet.
    pub(super) async fn append(&self, proposal: Proposal) -> Answer {
        let mut catalogue = self.catalogue().await?;
        let before = catalogue.revision();
        let begun = Instant::now();
        let appended = self.store.append(&mut catalogue, &proposal, unix_millis());
        let entry = appended.await.map_err(proposal::fault)?;
        info!(self.log, "change"; "revision" => entry.revision, "id" => %entry.id,
            "author" => %entry.author);
        self.tell(begun, before, catalogue).await;
        let standing = self.wait_accepted(entry.revision).await?;
        let status = if standing.accepted { 200 } else { 202 };
        Ok(server::json(status, &Appended { entry, standing }))
    }

    pub(super) async fn standing_of(&self, revision: Revision) -> Result<ReplicationStatus, Fault> {
        self.ask(|reply| Inquiry::ReplicationStatus { revision, reply })
            .await
    }

    /// Shows the control thread what was just read and written.
    async fn tell(&self, begun: Instant, before: Revision, catalogue: Catalogue) {
        let head = catalogue.revision();
        let event = match catalogue.entries_after(before) {
            Some(entries) => Event::LogRead {
                begun,
                head,
                entries,
            },
            None => Event::Snapshot {
                snapshot: Box::new(catalogue),
            },
        };
        let _ = self.events.send(event).await;
    }

    async fn wait_accepted(&self, revision: Revision) -> Result<ReplicationStatus, Fault> {
        let begun = Instant::now();
        loop {
            let standing = self.standing_of(revision).await?;
            if standing.accepted || begun.elapsed() >= ACCEPT_WAIT {
                return Ok(standing);
            }
            Timer::after(ACCEPT_POLL).await;
        }
    }
}
