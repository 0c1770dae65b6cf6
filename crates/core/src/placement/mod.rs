//! Selects the endpoints that run a request.
//!
//! For model engines ([`EngineTable`]) the load is the prompts to be prefilled: a long
//! prompt occupies an engine for a tenth of a second, and half of it may be held there
//! already from an earlier request. The choice therefore depends first on which engine
//! holds the shared parts of the prompt, then on the length of that engine's prefill
//! queue, and then on whether an engine of the prefill stage should prefill the prompt
//! and hand it over. Replicas of plain services ([`ReplicaTable`]) differ in speed and
//! may fail for some requests only; the least loaded healthy replica is selected.

mod candidates;
mod engine;
mod engine_outcomes;
mod engine_speeds;
mod knowledge;
mod load_ledger;
mod load_reporter;
mod parts;
mod plan;
mod prompt;
mod queue;
mod replicas;
mod runner;
mod slots;
mod speeds;
mod tracker;

pub use self::{
    engine::EngineTable,
    engine_speeds::SpeedStatus,
    knowledge::{EngineKey, PrefillSample, TrackedLoad},
    load_ledger::{LoadLedger, LoadSource},
    load_reporter::{DueLoads, EngineCandidate, LoadReporter},
    parts::PartLocations,
    plan::{
        EndpointTarget, PeerLoad, PeerPart, PlacementError, PlanRequest, PrefillPlan, PrefillTicket,
    },
    prompt::{ParsePromptError, PromptPart, PromptWork},
    queue::{EngineLoad, EngineQueue, PRIORITY_RANKS},
    replicas::{ReplicaChoice, ReplicaRoom, ReplicaTable},
    slots::slot_cost_ms,
    speeds::{EngineSpeeds, SpeedChange, SpeedClass, SpeedReport, SpeedSource},
    tracker::{TrackerCandidate, TrackerHealth, tracker_of},
};
