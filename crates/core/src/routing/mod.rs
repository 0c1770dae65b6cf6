//! Which endpoint a request goes to.
//!
//! Each entry has one [`RequestRouter`]. For a request it takes, among the
//! endpoints that may run it:
//!
//! * the first in the request's *rendezvous order* (a hash of its prompt prefix
//!   and the endpoint) whose estimated load stays within a bound of the pool's
//!   mean, so that prompts with the same prefix meet the same prefix cache
//!   without a popular prefix flooding one engine;
//! * for requests without a prefix, the less loaded of two drawn by the seed:
//!   entries with the same lagging picture must not all choose the same one.
//!
//! An endpoint's load is what this entry has outstanding there plus what others
//! have, by the newer of the peers' own word and the endpoint's report. A report
//! speaks of the past, so what this entry had outstanding *then* is taken off it
//! (see [`load`]).
//!
//! Work that may not be repeated never goes to preemptible capacity. Endpoints
//! that fail are left alone for a growing time and come back slowly (see
//! [`health`]). Where engines have roles, prefill and decode are chosen apart
//! when handing the KV cache over costs less than a mixed engine's wait.

pub mod baselines;
mod choice;
pub mod health;
pub mod load;
mod messages;
mod router;
mod table;

pub use self::health::EndpointHealth;
pub use messages::{
    EndpointEntry, EndpointSnapshot, NoRoute, PeerOutstanding, ReportedLoad, RouteChoice,
    RouteOutcome, RoutePool, RouteRequest, RoutingSettings, prefix_digest,
};
pub use router::{PoolLoad, RequestRouter};
