//! Attempts at engines that did not start a run.

use bluebell_core::{clock::TimeSpan, placement::PlacementError};
use rand::Rng;

use crate::{
    forward::{attempt::Withheld, crashes::Quarantined},
    frontend::{DEFAULT_RETRY_AFTER, RefusalReason, SYNC_RETRY_AFTER},
};

/// Why an attempt did not start a run.
pub struct FailedAttempt {
    /// The reason sent to the caller.
    pub reason: RefusalReason,
    /// Details for the log.
    pub detail: String,
    /// Whether no other attempt follows.
    pub(super) is_final: bool,
    /// Delay until the caller may retry, if a better value than the default is known.
    pub(super) retry_after: Option<TimeSpan>,
}

impl FailedAttempt {
    /// Creates a failure after which another attempt may follow.
    pub fn new<Detail>(reason: RefusalReason, detail: Detail) -> FailedAttempt
    where
        Detail: Into<String>,
    {
        FailedAttempt {
            reason,
            detail: detail.into(),
            is_final: false,
            retry_after: None,
        }
    }

    /// Creates the failure of a request that crashes endpoints.
    pub(super) fn quarantined(quarantined: Quarantined) -> FailedAttempt {
        FailedAttempt {
            retry_after: Some(quarantined.remaining),
            ..FailedAttempt::new(RefusalReason::Quarantined, quarantined.detail).without_retry()
        }
    }

    /// Creates the failure of a request that was not sent to the endpoint chosen for it. Another
    /// endpoint may get it only if the endpoint is the reason.
    pub(super) fn withheld(withheld: Withheld) -> FailedAttempt {
        let (reason, retry_after) = refusal_of_withheld(withheld);
        let is_final = !withheld.concerns_endpoint();
        FailedAttempt {
            is_final,
            retry_after,
            ..FailedAttempt::new(reason, withheld.as_str())
        }
    }

    /// Creates the failure of an attempt after which the request must not be sent.
    pub(super) fn already_ended() -> FailedAttempt {
        FailedAttempt::new(
            RefusalReason::EndpointFailed,
            "the request has already ended",
        )
    }

    /// Marks the failure as final: no other attempt follows.
    pub(super) fn without_retry(mut self) -> FailedAttempt {
        self.is_final = true;
        self
    }
}

/// The reason to refuse a request that was not sent, and when its caller may retry it if that is
/// not the default.
pub(super) fn refusal_of_withheld(withheld: Withheld) -> (RefusalReason, Option<TimeSpan>) {
    match withheld {
        Withheld::EndpointLeft | Withheld::EndpointResting => (RefusalReason::NoEndpoint, None),
        Withheld::DirectoryUnconfirmed => {
            (RefusalReason::EndpointsUnconfirmed, Some(SYNC_RETRY_AFTER))
        }
        Withheld::DeadlinePassed => (RefusalReason::TimedOut, None),
    }
}

/// Returns the failure for a request that no engine can take. If the answer would be too
/// late, the caller may retry after the time that engines need to work off the excess;
/// jitter keeps the callers from retrying all at once.
pub(super) fn no_engine_failure(error: PlacementError) -> FailedAttempt {
    let detail = error.to_string();
    let PlacementError::TooLate { late } = error else {
        return FailedAttempt::new(RefusalReason::NoEndpoint, detail);
    };
    let min_delay = late.max(DEFAULT_RETRY_AFTER).as_millis();
    let jitter = rand::rng().random_range(0..=min_delay / 2);
    FailedAttempt {
        retry_after: Some(TimeSpan::from_millis(min_delay + jitter)),
        ..FailedAttempt::new(RefusalReason::Overloaded, detail)
    }
}
