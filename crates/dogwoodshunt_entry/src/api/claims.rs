//! Idempotency keys: one key, one run, whichever entry it comes through.

use crate::api::answer::GaveUp;
use crate::api::answer::REPLAYED;
use crate::api::attempts::Ran;
use crate::api::attempts::Runner;
use crate::api::request::CallerRequest;
use bytes::Bytes;
use dogwoodshunt_border::kv::Kv;
use dogwoodshunt_border::kv::LeaseId;
use dogwoodshunt_store::claim;
use dogwoodshunt_store::claim::Claim;
use dogwoodshunt_store::claim::Claimed;
use dogwoodshunt_store::claim::KeptAnswer;
use dogwoodshunt_store::claim::MAX_KEPT_ANSWER_BYTES;
use dogwoodshunt_store::claim::State;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::frame::AnswerHead;
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

/// Life of a claim, at least.
const CLAIM_LIFE: Duration = Duration::from_secs(24 * 3_600);

/// Time for which one lease serves new claims.
const LEASE_SHARED_FOR: Duration = Duration::from_secs(3_600);

/// Pause that a caller is told while the key-value service is out.
const SERVICE_OUT_RETRY: Duration = Duration::from_secs(2);

/// Pause that a caller is told while the first request with its key may run.
const CLAIMED_RETRY: Duration = Duration::from_secs(2);

/// High bit that keeps numbers of claims apart from those of attempts.
const CLAIM_NUMBERS: u64 = 1 << 63;

/// Sees to idempotency keys.
pub struct Claims<K> {
    kv: Arc<K>,
    boot: BootId,
    next: AtomicU64,
    lease: Mutex<Option<(Instant, LeaseId)>>,
    log: Logger,
}

/// A key that this request holds.
struct Held {
    key: Box<str>,
    claim: Claim,
    mod_revision: i64,
    lease: LeaseId,
}

/// Whether a request with the key has been begun before.
enum Begun {
    /// Another request holds the key.
    Before(Claim),
    /// This request holds the key.
    Now(Held),
}

impl<K: Kv> Claims<K> {
    /// Creates claims for the boot of this entry.
    pub fn new(kv: Arc<K>, boot: BootId, log: Logger) -> Self {
        Self {
            kv,
            boot,
            next: AtomicU64::new(CLAIM_NUMBERS),
            lease: Mutex::new(None),
            log,
        }
    }

    /// Runs a request under its key, unless one with the key came before.
    ///
    /// # Errors
    ///
    /// Returns the state of the earlier request, or why this one was given up.
    pub async fn run(
        &self,
        runner: &Runner,
        request: &CallerRequest,
        key: &str,
    ) -> Result<Ran, GaveUp> {
        let fingerprint = fingerprint(request);
        let held = match self.claim(key, &fingerprint).await? {
            Begun::Now(held) => held,
            Begun::Before(earlier) => return replay(earlier, &fingerprint),
        };
        let ran = runner.run(request).await;
        match &ran {
            Ok(ran) => {
                let state = kept_state(ran);
                self.settle(held, state).await;
            }
            Err(gave_up) if gave_up.is_not_run() => self.give_up(held).await,
            // The claim stays: nobody knows whether the request ran.
            Err(_) => {}
        }
        ran
    }

    async fn claim(&self, key: &str, fingerprint: &str) -> Result<Begun, GaveUp> {
        let out = |error: &dyn std::fmt::Display| {
            warn!(self.log, "claim failed"; "error" => %error);
            GaveUp::not_run(NotRun::new(
                NotRunReason::KeyValueServiceUnreachable,
                SERVICE_OUT_RETRY,
            ))
        };
        let owner = RequestId {
            entry_boot: self.boot,
            number: self.next.fetch_add(1, Ordering::Relaxed),
        };
        let key: Box<str> = digest(key.as_bytes()).into();
        let lease = self.lease(Instant::now()).await;
        let lease = lease.map_err(|error| out(&error))?;
        let claimed = claim::claim(self.kv.as_ref(), &key, owner, fingerprint, Some(lease)).await;
        match claimed.map_err(|error| out(&error))? {
            Claimed::Mine { mod_revision } => Ok(Begun::Now(Held {
                key,
                claim: Claim {
                    owner,
                    fingerprint: fingerprint.into(),
                    state: State::Claimed,
                },
                mod_revision,
                lease,
            })),
            Claimed::Taken(earlier) => Ok(Begun::Before(earlier)),
        }
    }

    /// Returns a lease that lasts at least [`CLAIM_LIFE`], shared by many claims.
    async fn lease(&self, now: Instant) -> Result<LeaseId, dogwoodshunt_border::kv::KvError> {
        let mut held = self.lease.lock().await;
        if let Some((since, lease)) = *held
            && now.saturating_duration_since(since) < LEASE_SHARED_FOR
        {
            return Ok(lease);
        }
        let seconds = (CLAIM_LIFE + LEASE_SHARED_FOR).as_secs();
        let lease = self.kv.lease("lease for claims", seconds).await?;
        *held = Some((now, lease));
        Ok(lease)
    }

    async fn settle(&self, held: Held, state: State) {
        let claim = Claim {
            state,
            ..held.claim
        };
        let (kv, lease) = (self.kv.as_ref(), Some(held.lease));
        let settled = claim::settle(kv, &held.key, &claim, held.mod_revision, lease).await;
        if let Err(error) = settled {
            warn!(self.log, "claim not settled"; "error" => %error);
        }
    }

    async fn give_up(&self, held: Held) {
        let given_up = claim::give_up(self.kv.as_ref(), &held.key, held.mod_revision).await;
        if let Err(error) = given_up {
            warn!(self.log, "claim not given up"; "error" => %error);
        }
    }
}

fn kept_state(ran: &Ran) -> State {
    match ran {
        Ran::Whole { head, body, .. } if body.len() <= MAX_KEPT_ANSWER_BYTES => {
            State::Ran(KeptAnswer {
                status: head.status,
                content_type: head.content_type.clone(),
                ran: head.ran.clone(),
                body: body.to_vec(),
            })
        }
        Ran::Replayed { .. } | Ran::Streamed { .. } | Ran::Whole { .. } => State::RanUnkept,
    }
}

fn replay(earlier: Claim, fingerprint: &str) -> Result<Ran, GaveUp> {
    let conflict = |outcome, message| GaveUp::new(StatusCode::CONFLICT, outcome, message);
    if *earlier.fingerprint != *fingerprint {
        return Err(GaveUp::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            Outcome::NotRun,
            "the idempotency key was used for another request; use a new key",
        ));
    }
    match earlier.state {
        State::Claimed => Err(GaveUp {
            retry_after: Some(CLAIMED_RETRY),
            ..conflict(
                Outcome::Unknown,
                "a request with this idempotency key was begun and may be running",
            )
        }),
        State::RanUnkept => Err(conflict(
            Outcome::Ran,
            "the request with this idempotency key ran; its answer was too large to keep",
        )),
        State::Ran(kept) => Ok(Ran::Replayed {
            head: AnswerHead {
                status: kept.status,
                content_type: kept.content_type,
                ran: kept.ran,
            },
            request: earlier.owner,
            body: Bytes::from(kept.body),
        }),
    }
}

/// Returns a digest of everything that makes two requests the same.
fn fingerprint(request: &CallerRequest) -> String {
    let text = format!("{} {} {:?}", request.method, request.path, request.wanted);
    let body = request.body_for("");
    digest([text.as_bytes(), b"\0", &body].concat().as_slice())
}

fn digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Marks an answer as replayed.
pub fn mark_replayed(headers: &mut hyper::HeaderMap) {
    let yes = hyper::header::HeaderValue::from_static("true");
    headers.insert(REPLAYED, yes);
}
