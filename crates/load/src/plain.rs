//! One call of a plain service, and whether its answer is its own.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::caller::ChatRefusal;

/// How a plain call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlainEnd {
    /// With the answer to this call.
    Right,
    /// With the answer to another one.
    Wrong(String),
    /// With an error.
    Refused(ChatRefusal),
    /// Without an answer.
    Lost(String),
}

/// What a plain call brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainOutcome {
    /// How it ended.
    pub end: PlainEnd,
    /// How long it took.
    pub took: Duration,
}

/// The part of the stand-in service's answer that tells whose it is.
#[derive(Deserialize)]
struct EchoAnswer {
    body: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ChatRefusal,
}

/// Posts `body` to `url`, and compares what the service says it got.
pub async fn send(
    http: &reqwest::Client,
    url: &str,
    key: &str,
    body: &str,
    patience: Duration,
) -> PlainOutcome {
    let start = Instant::now();
    let request = http.post(url).bearer_auth(key).body(body.to_string());
    let text = match request.timeout(patience).send().await {
        Ok(response) => response.text().await,
        Err(error) => Err(error),
    };
    let end = match text {
        Err(error) => PlainEnd::Lost(error.to_string()),
        Ok(text) => judge(&text, body),
    };
    PlainOutcome {
        end,
        took: start.elapsed(),
    }
}

fn judge(text: &str, body: &str) -> PlainEnd {
    if let Ok(refused) = serde_json::from_str::<ErrorBody>(text) {
        return PlainEnd::Refused(refused.error);
    }
    match serde_json::from_str::<EchoAnswer>(text) {
        Ok(echo) if echo.body == body => PlainEnd::Right,
        _ => PlainEnd::Wrong(text.to_string()),
    }
}
