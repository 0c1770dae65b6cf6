//! Selects the endpoint that a request is sent to.
//!
//! Each entry has one [`RequestRouter`]. Among the endpoints that may run a request it
//! selects:
//!
//! * for a request with a prompt prefix, the first endpoint in the prefix's *rendezvous
//!   order* (by a hash of the prefix and the endpoint) whose estimated cost stays
//!   within a bound of the lowest cost, so that prompts with the same prefix reach the
//!   same prefix cache and a popular prefix doesn't overload one engine;
//! * for a request without a prefix, the less loaded of two endpoints drawn at random
//!   from the seed: entries that work with the same outdated load data must not all
//!   select the same endpoint.
//!
//! The load of an endpoint is the work that this entry has outstanding there plus the
//! work of other entries, taken from the newer of the peers' own reports and the
//! endpoint's report. An endpoint's report describes a past moment, so the work that
//! this entry had outstanding at that moment is subtracted from it (see [`load`]).
//!
//! Work that must not be repeated never runs on preemptible capacity. Endpoints that
//! fail are ejected for increasing periods and return with a share of the load that
//! grows slowly (see [`health`]). Where engines have roles, prefill and decode engines
//! are selected separately when the KV cache handover costs less than the wait at a
//! mixed engine.

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
