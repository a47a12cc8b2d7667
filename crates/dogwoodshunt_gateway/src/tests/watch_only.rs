//! A store that is listed and watched, and never read or written in another way.

use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::KvError;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Op;
use dogwoodshunt_border::kv::Precondition;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_border::kv::StorePosition;
use dogwoodshunt_border::kv::WatchKv;
use dogwoodshunt_border::kv::WatchOutcome;
use std::time::Duration;

/// Answers of a store to those that list and watch it.
pub(super) trait Watched: Send + Sync + 'static {
    /// Returns the listing.
    fn list(&self) -> Result<Listing, KvError>;

    /// Returns the outcome of a watch after `after`.
    fn watch(&self, after: StorePosition) -> Result<WatchOutcome, KvError>;
}

/// Client of a watched store.
pub(super) struct WatchOnly<W>(pub(super) W);

/// Returns the error of a call that is not answered.
pub(super) fn not_answered() -> KvError {
    KvError::Unavailable {
        step: "test",
        message: "the store does not answer".into(),
    }
}

impl<W: Watched> Kv for WatchOnly<W> {
    async fn range(&self, _: &'static str, _: &str, _: &str) -> Result<Vec<Record>, KvError> {
        Err(not_answered())
    }

    async fn txn(
        &self,
        _: &'static str,
        _: Vec<Precondition>,
        _: Vec<Op>,
    ) -> Result<bool, KvError> {
        Err(not_answered())
    }

    async fn lease(&self, _: &'static str, _: u64) -> Result<LeaseId, KvError> {
        Err(not_answered())
    }
}

impl<W: Watched> WatchKv for WatchOnly<W> {
    async fn list(&self, _: &'static str, _: &str) -> Result<Listing, KvError> {
        self.0.list()
    }

    async fn watch(
        &self,
        _: &'static str,
        _: &str,
        after: StorePosition,
        _: Duration,
    ) -> Result<WatchOutcome, KvError> {
        self.0.watch(after)
    }
}
