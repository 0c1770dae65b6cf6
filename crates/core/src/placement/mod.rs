//! Selects the endpoints that run a request.
//!
//! For model engines ([`EngineTable`]) the load is the prompts to be prefilled: a long
//! prompt occupies an engine for a tenth of a second, and half of it may be held there
//! already from an earlier request. The choice therefore depends first on which engine
//! holds the shared parts of the prompt, then on the length of that engine's prefill
//! queue, and then on whether an engine of the prefill stage should prefill the prompt
//! and hand it over. Replicas of plain services ([`ReplicaTable`]) differ in speed and
//! may fail for some requests only; the least loaded healthy replica is selected.

mod engine;
mod engine_outcomes;
mod knowledge;
mod parts;
mod plan;
mod prompt;
mod queue;
mod replicas;

pub use self::{
    engine::EngineTable,
    knowledge::{EngineKey, PrefillSample, TrackedLoad},
    parts::PartLocations,
    plan::{
        EndpointTarget, PeerLoad, PeerPart, PlacementError, PlanRequest, PrefillPlan, PrefillTicket,
    },
    prompt::{ParsePromptError, PromptPart, PromptWork},
    queue::{EngineLoad, EngineQueue, PRIORITY_RANKS},
    replicas::{ReplicaChoice, ReplicaRoom, ReplicaTable},
};
