//! Which software version a stream began at, so that it goes on at that version only.
//!
//! What two versions of an endpoint's software write doesn't fit together, and endpoints don't
//! check it. The instance that resumes a stream of its own knows the version. A caller may take
//! its stream up at any instance, which finds the version in one of two ways:
//!
//! - Only one version of the service was in view for as long as a stream can last
//!   ([`VersionHistory`]).
//! - It is recorded. An instance that can't rule out a second version records the versions of
//!   the streams that begin there with a few other instances ([`StreamTable`]). Which ones
//!   follows from the id of the stream ([`recording_peers`], [`queried_peers`]), so any instance
//!   knows whom to ask. A few instances of each failure domain also append the records to a log of
//!   the store ([`appending_peer`], [`RecordQueue`]), for the case that all instances are killed.
//!
//! Neither is certain where an instance is out of step: a version that registered after the newest
//! confirmation of its view can have begun the stream, and the instances that do not answer it can have
//! the record. So only one version is taken for possible if a recorder of the stream must be among those
//! that answer that they have no record ([`is_unrecorded`]), or if the view is confirmed as of a time
//! after the stream was taken up.
//!
//! A stream whose version is not found this way is refused.

mod history;
mod log;
mod look_back;
mod origin;
mod peers;
mod resolution;
mod routes;
mod table;

pub use self::{
    history::{MAX_STREAM_AGE, MAX_VIEW_AGE, VersionHistory},
    log::RecordQueue,
    look_back::LookBack,
    origin::{OriginHash, StreamHash, StreamName},
    peers::{
        RecordPeer, append_interval, appending_peer, is_unrecorded, queried_peers, recording_peers,
    },
    resolution::{UnknownOrigin, resolve_origin},
    routes::RouteHistory,
    table::{EndpointProcess, RecordScope, RecordedOrigin, StreamRecord, StreamTable},
};
