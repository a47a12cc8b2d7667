//! Operators' messages as changes of the log.

use dogwoodshunt_catalogue::Change;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_operator::messages::Fault;
use dogwoodshunt_operator::messages::StopRequest;
use dogwoodshunt_operator::messages::SubmitRelease;
use dogwoodshunt_store::log::Proposal;
use dogwoodshunt_store::log::StoreError;

/// Seconds after which an operator may try again while the service is out.
const RETRY_SECONDS: u64 = 2;

/// Returns the change of a release note.
pub(super) fn of_release(submitted: SubmitRelease) -> Proposal {
    Proposal {
        id: submitted.note.id.clone(),
        author: submitted.note.author.clone(),
        change: Change::Release(submitted.note),
        rebase: submitted.rebase,
    }
}

/// Returns the change that plans a stop.
pub(super) fn of_stop(stop: StopRequest) -> Proposal {
    Proposal {
        id: stop.id,
        author: stop.author,
        change: Change::PlanStop {
            target: stop.target,
        },
        rebase: Rebase::Allowed,
    }
}

/// Returns the change that lifts a planned stop.
pub(super) fn of_cancel(stop: StopRequest) -> Proposal {
    Proposal {
        id: stop.id,
        author: stop.author,
        change: Change::CancelStop {
            target: stop.target,
        },
        rebase: Rebase::Allowed,
    }
}

/// Returns what to tell an operator of an error of the store.
pub(super) fn fault(error: StoreError) -> Fault {
    let unsure = error.is_unsure();
    let message = if unsure {
        format!("{error}; the change may stand: submit it again with the same id")
    } else {
        error.to_string()
    };
    match error {
        StoreError::Refused { refusal } => Fault {
            refusal: Some(refusal),
            ..Fault::new(409, message)
        },
        StoreError::Apply { .. }
        | StoreError::Assemble { .. }
        | StoreError::Contended
        | StoreError::Decode { .. }
        | StoreError::Encode { .. }
        | StoreError::Kv { .. } => Fault {
            unsure,
            retry_after: Some(RETRY_SECONDS),
            ..Fault::new(503, message)
        },
    }
}
