//! Which endpoints run a request.
//!
//! For model engines ([`EngineBooks`]) the load is prompts: a long prompt takes
//! an engine for a tenth of a second, and half of it may lie there already from
//! an earlier request. So the first question is which engine holds the shared
//! parts, the second how long its prefill queue is, the third whether an engine
//! that only prefills should do it and hand over. Replicas of plain services
//! ([`ReplicaBooks`]) differ in speed and fail in parts; the least busy sound one
//! is taken.

mod engine;
mod parts;
mod prompt;
mod queue;
mod replicas;

pub use self::{
    engine::{
        EndpointTarget, EngineTable, PeerLoad, PeerPart, PlacementError, PlanRequest, PrefillPlan,
        PrefillTicket,
    },
    parts::PartLocations,
    prompt::{ParsePromptError, PromptPart, PromptWork},
    queue::{EngineLoad, EngineQueue, PRIORITY_RANKS},
    replicas::{ReplicaChoice, ReplicaTable},
};
