//! Bodies of answers, which a faulty endpoint may send without end.

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::client::EndpointError;

/// The maximum size of a state or of a report, in bytes.
const MAX_STATE_BYTES: usize = 1_024 * 1_024;

/// The maximum size of the text of a refusal, in bytes.
const MAX_TEXT_BYTES: usize = 16_384;

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read(response: Response, limit: usize) -> Result<Bytes, EndpointError> {
    let mut body = BytesMut::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| EndpointError::Lost(error_text(&error)))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the answer is longer than {limit} bytes");
            return Err(EndpointError::Lost(message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads and decodes a state or a report.
pub(crate) async fn decode<State>(response: Response) -> Result<State, EndpointError>
where
    State: DeserializeOwned,
{
    let body = read(response, MAX_STATE_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| EndpointError::Lost(error.to_string()))
}

/// Reads the text of a refusal; one that is too long or broken off counts as empty.
pub(crate) async fn refusal_text(response: Response) -> String {
    let body = read(response, MAX_TEXT_BYTES).await.unwrap_or_default();
    String::from_utf8_lossy(&body).to_string()
}

/// An error with its causes.
pub(crate) fn error_text(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
