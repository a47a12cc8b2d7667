//! Idempotency keys: at most one execution per key across all entries.
//!
//! A claim record in the key-value service reserves each key for the request
//! that first used it and later holds that request's response.

use crate::api::executor::CallerResponse;
use crate::api::executor::RequestExecutor;
use crate::api::record::Attempts;
use crate::api::request::CallerRequest;
use crate::api::response::REPLAYED_HEADER;
use crate::api::response::RequestError;
use bytes::Bytes;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_store::claim;
use dogwoodshunt_store::claim::Claim;
use dogwoodshunt_store::claim::ClaimOutcome;
use dogwoodshunt_store::claim::ClaimState;
use dogwoodshunt_store::claim::MAX_STORED_RESPONSE_BYTES;
use dogwoodshunt_store::claim::StoredResponse;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_wire::frame::ResponseHead;
use hyper::StatusCode;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::warn;
use smol::lock::Mutex;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Minimum lifetime of a claim.
const MIN_CLAIM_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Period during which new claims share one lease.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(3_600);

/// Retry-after time while the key-value service is unreachable.
const KV_UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry-after time while an earlier request with the same key may be running.
const CLAIMED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// First request number of claims; the high bit separates them from the numbers of
/// attempts.
const FIRST_CLAIM_NUMBER: u64 = 1 << 63;

/// Executes requests that have an idempotency key.
pub struct IdempotentExecutor<K> {
    kv: Arc<K>,
    boot: BootId,
    next_claim_number: AtomicU64,
    /// Lease shared by new claims, with the time at which it was granted.
    shared_lease: Mutex<Option<(Instant, LeaseId)>>,
    log: Logger,
}

/// Claim on an idempotency key that the current request owns.
struct HeldClaim {
    key: Box<str>,
    claim: Claim,
    mod_revision: i64,
    lease: LeaseId,
}

/// Result of claiming an idempotency key.
enum ClaimResult {
    /// Another request owns the key; holds its claim.
    AlreadyClaimed(Claim),
    /// The current request owns the key.
    Acquired(HeldClaim),
}

impl<K: Kv> IdempotentExecutor<K> {
    /// Creates an executor whose claims name the entry by `boot`.
    pub fn new(kv: Arc<K>, boot: BootId, log: Logger) -> Self {
        Self {
            kv,
            boot,
            next_claim_number: AtomicU64::new(FIRST_CLAIM_NUMBER),
            shared_lease: Mutex::new(None),
            log,
        }
    }

    /// Executes `request` unless an earlier request claimed `key`, in which case the
    /// stored response to that request is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the earlier request has no stored response or differs from
    /// `request`, if the key-value service is unreachable, or if the execution fails.
    pub async fn execute(
        &self,
        executor: &RequestExecutor,
        request: &CallerRequest,
        key: &str,
        attempts: &mut Attempts,
    ) -> Result<CallerResponse, RequestError> {
        let fingerprint = fingerprint(request);
        let held = match self.claim(key, &fingerprint).await? {
            ClaimResult::Acquired(held) => held,
            ClaimResult::AlreadyClaimed(earlier) => return replay(earlier, &fingerprint),
        };
        let response = executor.execute(request, attempts).await;
        match &response {
            Ok(response) => {
                let state = claim_state(response);
                self.store_result(held, state).await;
            }
            Err(error) if error.is_not_run() => self.release(held).await,
            // The claim stays because the request may have run.
            Err(_) => {}
        }
        response
    }

    async fn claim(&self, key: &str, fingerprint: &str) -> Result<ClaimResult, RequestError> {
        let unreachable = |error: &dyn std::fmt::Display| {
            warn!(self.log, "idempotency claim failed"; "error" => %error);
            RequestError::not_run(NotRun::new(
                NotRunReason::KeyValueServiceUnreachable,
                KV_UNREACHABLE_RETRY_AFTER,
            ))
        };
        let owner = RequestId {
            entry_boot: self.boot,
            number: self.next_claim_number.fetch_add(1, Ordering::Relaxed),
        };
        let key: Box<str> = hex_digest(key.as_bytes()).into();
        let lease = self.current_lease(Instant::now()).await;
        let lease = lease.map_err(|error| unreachable(&error))?;
        let claimed = claim::claim(self.kv.as_ref(), &key, owner, fingerprint, Some(lease)).await;
        match claimed.map_err(|error| unreachable(&error))? {
            ClaimOutcome::Acquired { mod_revision } => Ok(ClaimResult::Acquired(HeldClaim {
                key,
                claim: Claim {
                    owner,
                    fingerprint: fingerprint.into(),
                    state: ClaimState::Claimed,
                },
                mod_revision,
                lease,
            })),
            ClaimOutcome::Taken(earlier) => Ok(ClaimResult::AlreadyClaimed(earlier)),
        }
    }

    /// Returns a lease, shared among claims, that lasts at least [`MIN_CLAIM_LIFETIME`].
    async fn current_lease(
        &self,
        now: Instant,
    ) -> Result<LeaseId, dogwoodshunt_border::kv::KvError> {
        let mut shared_lease = self.shared_lease.lock().await;
        if let Some((granted_at, lease)) = *shared_lease
            && now.saturating_duration_since(granted_at) < LEASE_REUSE_PERIOD
        {
            return Ok(lease);
        }
        let seconds = (MIN_CLAIM_LIFETIME + LEASE_REUSE_PERIOD).as_secs();
        let lease = self.kv.lease("lease for claims", seconds).await?;
        *shared_lease = Some((now, lease));
        Ok(lease)
    }

    async fn store_result(&self, held: HeldClaim, state: ClaimState) {
        let claim = Claim {
            state,
            ..held.claim
        };
        let (kv, lease) = (self.kv.as_ref(), Some(held.lease));
        let result = claim::store_outcome(kv, &held.key, &claim, held.mod_revision, lease).await;
        if let Err(error) = result {
            warn!(self.log, "idempotency claim not completed"; "error" => %error);
        }
    }

    async fn release(&self, held: HeldClaim) {
        let result = claim::release(self.kv.as_ref(), &held.key, held.mod_revision).await;
        if let Err(error) = result {
            warn!(self.log, "idempotency claim not released"; "error" => %error);
        }
    }
}

fn claim_state(response: &CallerResponse) -> ClaimState {
    match response {
        CallerResponse::Buffered { head, body, .. } if body.len() <= MAX_STORED_RESPONSE_BYTES => {
            ClaimState::Ran(StoredResponse {
                status: head.status,
                content_type: head.content_type.clone(),
                ran: head.ran.clone(),
                body: body.to_vec(),
            })
        }
        CallerResponse::Replayed { .. }
        | CallerResponse::Streamed { .. }
        | CallerResponse::Buffered { .. } => ClaimState::RanNotStored,
    }
}

fn replay(earlier: Claim, fingerprint: &str) -> Result<CallerResponse, RequestError> {
    let conflict = |outcome, message| RequestError::new(StatusCode::CONFLICT, outcome, message);
    if *earlier.fingerprint != *fingerprint {
        return Err(RequestError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            RequestOutcome::NotRun,
            "the idempotency key was used for another request; use a new key",
        ));
    }
    match earlier.state {
        ClaimState::Claimed => Err(RequestError {
            retry_after: Some(CLAIMED_RETRY_AFTER),
            ..conflict(
                RequestOutcome::Unknown,
                "a request with this idempotency key was begun and may be running",
            )
        }),
        ClaimState::RanNotStored => Err(conflict(
            RequestOutcome::Ran,
            "the request with this idempotency key ran; its answer was too large to keep",
        )),
        ClaimState::Ran(stored) => Ok(CallerResponse::Replayed {
            head: ResponseHead {
                status: stored.status,
                content_type: stored.content_type,
                ran: stored.ran,
            },
            request_id: earlier.owner,
            body: Bytes::from(stored.body),
        }),
    }
}

/// Returns a digest of the method, path, target and body, by which a reuse of the key
/// for a different request is detected.
///
/// The target covers the model that the request names, so the body is hashed with an empty
/// `model`.
fn fingerprint(request: &CallerRequest) -> String {
    let text = format!("{} {} {:?}", request.method, request.path, request.target);
    let body = request.body_for("");
    hex_digest([text.as_bytes(), b"\0", &body].concat().as_slice())
}

fn hex_digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Adds the header that marks a response as replayed.
pub fn mark_replayed(headers: &mut hyper::HeaderMap) {
    let value = hyper::header::HeaderValue::from_static("true");
    headers.insert(REPLAYED_HEADER, value);
}
