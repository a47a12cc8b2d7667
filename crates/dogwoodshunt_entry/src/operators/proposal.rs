//! Conversion of operators' requests to log proposals and of store errors to error responses.

use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_operator::messages::ErrorResponse;
use dogwoodshunt_operator::messages::ReleaseRequest;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_store::log::StoreError;

/// Retry-after time while the key-value service is unreachable, in seconds.
const RETRY_AFTER_SECONDS: u64 = 2;

/// Returns the proposal for a release note.
pub(super) fn from_release(submitted: ReleaseRequest) -> Proposal {
    Proposal {
        id: submitted.note.id.clone(),
        author: submitted.note.author.clone(),
        change: Change::Release(submitted.note),
        rebase: submitted.rebase,
    }
}

/// Returns the proposal that plans a stop.
pub(super) fn from_stop(stop: StopRequest) -> Proposal {
    Proposal {
        id: stop.id,
        author: stop.author,
        change: Change::PlanStop {
            target: stop.target,
        },
        rebase: Rebase::Allowed,
    }
}

/// Returns the proposal that cancels a planned stop.
pub(super) fn from_cancel(stop: StopRequest) -> Proposal {
    Proposal {
        id: stop.id,
        author: stop.author,
        change: Change::CancelStop {
            target: stop.target,
        },
        rebase: Rebase::Allowed,
    }
}

/// Converts a store error to the error response for the operator.
pub(super) fn store_error_response(error: StoreError) -> ErrorResponse {
    let outcome_unknown = error.is_outcome_unknown();
    let message = if outcome_unknown {
        format!("{error}; the change may stand: submit it again with the same id")
    } else {
        error.to_string()
    };
    match error {
        StoreError::Refused { refusal } => ErrorResponse {
            refusal: Some(refusal),
            ..ErrorResponse::new(409, message)
        },
        StoreError::Apply { .. }
        | StoreError::Assemble { .. }
        | StoreError::Contended
        | StoreError::Decode { .. }
        | StoreError::Encode { .. }
        | StoreError::Kv { .. } => ErrorResponse {
            outcome_unknown,
            retry_after: Some(RETRY_AFTER_SECONDS),
            ..ErrorResponse::new(503, message)
        },
    }
}
