//! Reading a caller's body, up to its limit.

use bluebell_core::clock::TimeSpan;
use bytes::Bytes;
use rocket::{Data, data::ByteUnit};

use crate::{
    caller::CallerHead,
    context::EntryContext,
    refusal::{Refusal, RefusalCode},
};

/// How long a caller may take to send its body. Without a limit, callers that
/// stop half way would hold on to handlers for good.
const BODY_PATIENCE: TimeSpan = TimeSpan::from_secs(30);

/// Reads the body whole, or refuses it.
pub async fn read(
    context: &EntryContext,
    head: &CallerHead,
    data: Data<'_>,
) -> Result<Bytes, Refusal> {
    let limit = context.settings.requests.max_body;
    let read = data.open(ByteUnit::from(limit.count())).into_bytes();
    let read = tokio::time::timeout(BODY_PATIENCE.as_duration(), read).await;
    let broken = |error: String| {
        let message = format!("failed to read the body: {error}");
        head.refuse(RefusalCode::InvalidRequest, message)
    };
    let body = read
        .map_err(|_| broken(format!("not whole after {BODY_PATIENCE}")))?
        .map_err(|error| broken(error.to_string()))?;
    if !body.is_complete() {
        let message = format!("the body is longer than {} bytes", limit.count());
        return Err(head.refuse(RefusalCode::BodyTooLarge, message));
    }
    Ok(body.into_inner().into())
}
