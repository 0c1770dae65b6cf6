//! Bounds the bytes that an instance holds for callers and endpoints.
//!
//! The body of a request is held until the request has ended, and an answer until its
//! caller has read it. Callers that send large bodies or read slowly make an instance hold
//! more, and the platform kills a process that exceeds its memory limit, with all of its
//! requests. [`MemoryBudget`] decides who gives way before that happens:
//!
//! * **New requests first.** A request is admitted only if its organisation holds no more,
//!   with this request, than remains free ([`MemoryBudget::admit`]). The threshold falls as
//!   the budget fills, so large requests are refused before small ones, and those of the
//!   organisation that holds most before those of others.
//! * **Answers wait.** An answer that does not fit is not read from its endpoint until
//!   there is room ([`MemoryBudget::hold_answer`]). It may use the part of the budget that
//!   requests may not.
//! * **Stalled callers last.** While others need room, the callers that have not read
//!   anything for [`STALL_TIMEOUT`] are disconnected, those that have stalled for longest
//!   first ([`MemoryBudget::stalled_callers`]).

mod budget;

pub use self::budget::{HoldId, MemoryBudget, MemoryRefusal, MemoryStatus, STALL_TIMEOUT};
