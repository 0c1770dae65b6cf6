//! The classes of requests in a pool.

use crate::{admission::AdmissionRequest, config::WorkPriority};

/// The class of a request; requests of a lower class start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkClass {
    pub priority: WorkPriority,
    pub rank: u8,
    /// Whether the request comes for the first time.
    pub is_new: bool,
}

impl From<&AdmissionRequest> for WorkClass {
    fn from(admission: &AdmissionRequest) -> WorkClass {
        WorkClass {
            priority: admission.priority,
            rank: admission.rank,
            is_new: !admission.has_returned,
        }
    }
}
