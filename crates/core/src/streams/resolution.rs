//! Where a stream goes on that a caller takes up.

use crate::{
    clock::ClockTime,
    ids::ServiceName,
    streams::{OriginHash, RecordedOrigin, VersionHistory},
};

/// Why it is not known where a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownOrigin {
    /// No record was found, and several versions are possible.
    #[error("no instance has a record of the stream, and it may have begun at several versions")]
    NotRecorded,
    /// No record was found, and instances that may have one, and the store, have not answered.
    #[error("no record of the stream was found, and its version may have registered a moment ago")]
    Unconfirmed,
    /// Different origins are recorded.
    #[error("the stream, or another one of an equal request, is recorded at different versions")]
    Contradictory,
    /// No endpoint of the version has been in view lately.
    #[error("no endpoint of the version that began the stream is known here")]
    NotInView,
}

/// Decides where a stream goes on that is `recorded` as given, at `service` by the routes in
/// force. A version is never guessed: without a record, it has to be the only possible one.
pub fn resolve_origin(
    now: ClockTime,
    recorded: Option<RecordedOrigin>,
    versions: &VersionHistory,
    service: &ServiceName,
) -> Result<(OriginHash, ServiceName), UnknownOrigin> {
    let origin = match recorded {
        Some(RecordedOrigin::Known(origin)) => origin,
        Some(RecordedOrigin::Contradictory) => return Err(UnknownOrigin::Contradictory),
        None => versions
            .sole_origin(now, service)
            .ok_or(UnknownOrigin::NotRecorded)?,
    };
    let service = versions.service_of(origin);
    let service = service.ok_or(UnknownOrigin::NotInView)?;
    Ok((origin, service.clone()))
}
