//! One chat request as a caller sends it, and its answer as the caller sees it.
//!
//! Times here are [`Duration`]s and not the system's millisecond clock: the
//! latency that an entry adds is a fraction of a millisecond.

use std::time::{Duration, Instant};

use bluebell_core::{config::WorkPriority, units::TokenCount};
use eventsource_stream::Eventsource as _;
use futures::StreamExt as _;
use reqwest::{RequestBuilder, Response};
use serde::Deserialize;
use serde_json::{Value, json};

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct ChatAsk {
    /// The entry, as `ip:port`.
    pub entry: String,
    /// The caller's key.
    pub key: String,
    /// The service.
    pub service: String,
    /// What the user says.
    pub content: String,
    /// The most output tokens.
    pub max_tokens: TokenCount,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// How long the caller waits for the first token, if it says so.
    pub deadline: Option<Duration>,
    /// Whether the answer is to come token by token.
    pub stream: bool,
    /// After how many tokens the caller walks away.
    pub cancel_after: Option<u64>,
    /// How long the caller bears silence.
    pub patience: Duration,
}

impl ChatAsk {
    /// A streamed request of somebody who waits.
    pub fn new(entry: &str, key: &str, service: &str, content: &str) -> ChatAsk {
        ChatAsk {
            entry: entry.to_string(),
            key: key.to_string(),
            service: service.to_string(),
            content: content.to_string(),
            max_tokens: TokenCount::new(1_000),
            priority: WorkPriority::Interactive,
            deadline: None,
            stream: true,
            cancel_after: None,
            patience: Duration::from_secs(60),
        }
    }

    /// The prompt that entries make of the request.
    pub fn prompt(&self) -> String {
        format!("user: {}\n", self.content)
    }

    fn request(&self, http: &reqwest::Client) -> RequestBuilder {
        let body = json!({
            "model": self.service,
            "messages": [{"role": "user", "content": self.content}],
            "stream": self.stream,
            "max_tokens": self.max_tokens.count(),
        });
        let request = http
            .post(format!("http://{}/v1/chat/completions", self.entry))
            .bearer_auth(&self.key)
            .header("X-Priority", self.priority.to_string())
            .json(&body);
        match self.deadline {
            Some(deadline) => request.header("X-Deadline-Ms", deadline.as_millis().to_string()),
            None => request,
        }
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEnd {
    /// With its end mark.
    Whole {
        /// Why the answer ended.
        finish: String,
    },
    /// With an error, before or after the first token.
    Refused(ChatRefusal),
    /// Without an end mark or an error.
    Cut(String),
    /// The caller walked away.
    Cancelled,
    /// Nothing came for longer than the caller bears.
    Silent,
    /// No connection came about.
    Unreachable(String),
}

/// An error as the interface documents it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ChatRefusal {
    /// Its stable code.
    pub code: String,
    /// The text.
    pub message: String,
    /// Whether the request ran: `not_run` or `unknown`.
    pub ran: String,
    /// The request's id.
    pub request: String,
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The request's id, if the entry told it.
    pub request: Option<String>,
    /// Whether the refusal, if there was one, said when to come back.
    pub retry_after: bool,
    /// The text, token by token if it was streamed.
    pub tokens: Vec<String>,
    /// How long the first token took.
    pub first_token: Option<Duration>,
    /// The pauses between tokens.
    pub gaps: Vec<Duration>,
    /// How it ended.
    pub end: ChatEnd,
}

impl ChatAnswer {
    fn new(end: ChatEnd) -> ChatAnswer {
        ChatAnswer {
            request: None,
            retry_after: false,
            tokens: Vec::new(),
            first_token: None,
            gaps: Vec::new(),
            end,
        }
    }

    /// The text so far.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// Sends `ask` and reads its answer to the end.
pub async fn send(http: &reqwest::Client, ask: &ChatAsk) -> ChatAnswer {
    let start = Instant::now();
    let sent = tokio::time::timeout(ask.patience, ask.request(http).send()).await;
    let response = match sent {
        Err(_) => return ChatAnswer::new(ChatEnd::Silent),
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            return ChatAnswer::new(ChatEnd::Unreachable(error.to_string()));
        }
        Ok(Err(error)) => return ChatAnswer::new(ChatEnd::Cut(error.to_string())),
    };
    let header = |name: &str| response.headers().get(name).cloned();
    let mut answer = ChatAnswer::new(ChatEnd::Silent);
    let request = header("x-request-id");
    answer.request = request.and_then(|id| id.to_str().ok().map(String::from));
    answer.retry_after = header("retry-after").is_some();
    if !response.status().is_success() || !ask.stream {
        answer.end = read_whole(&mut answer, ask, response, start).await;
        return answer;
    }
    answer.end = read_stream(&mut answer, ask, response, start).await;
    answer
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ChatRefusal,
}

/// Reads a refusal or an answer in one piece.
async fn read_whole(
    answer: &mut ChatAnswer,
    ask: &ChatAsk,
    response: Response,
    start: Instant,
) -> ChatEnd {
    let status = response.status();
    let text = match tokio::time::timeout(ask.patience, response.text()).await {
        Err(_) => return ChatEnd::Silent,
        Ok(Err(error)) => return ChatEnd::Cut(error.to_string()),
        Ok(Ok(text)) => text,
    };
    if let Ok(body) = serde_json::from_str::<ErrorBody>(&text) {
        return ChatEnd::Refused(body.error);
    }
    if !status.is_success() {
        let code = format!("status_{}", status.as_u16());
        return ChatEnd::Refused(ChatRefusal {
            code,
            message: text,
            ..ChatRefusal::default()
        });
    }
    let Ok(body) = serde_json::from_str::<Value>(&text) else {
        return ChatEnd::Cut(format!("no JSON: {text}"));
    };
    let choice = &body["choices"][0];
    let content = choice["message"]["content"].as_str().unwrap_or_default();
    answer.tokens.push(content.to_string());
    answer.first_token = Some(start.elapsed());
    ChatEnd::Whole {
        finish: choice["finish_reason"]
            .as_str()
            .unwrap_or_default()
            .to_string(),
    }
}

/// Reads an answer token by token.
async fn read_stream(
    answer: &mut ChatAnswer,
    ask: &ChatAsk,
    response: Response,
    start: Instant,
) -> ChatEnd {
    let mut events = response.bytes_stream().eventsource();
    let mut finish = None;
    let mut last = start;
    loop {
        let event = match tokio::time::timeout(ask.patience, events.next()).await {
            Err(_) => return ChatEnd::Silent,
            Ok(None) => return ChatEnd::Cut("the stream ended without its mark".to_string()),
            Ok(Some(Err(error))) => return ChatEnd::Cut(error.to_string()),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == "[DONE]" {
            return match finish {
                Some(finish) => ChatEnd::Whole { finish },
                None => ChatEnd::Cut("the stream ended without a reason".to_string()),
            };
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&event.data) {
            return ChatEnd::Refused(body.error);
        }
        let Ok(body) = serde_json::from_str::<Value>(&event.data) else {
            return ChatEnd::Cut(format!("no JSON: {}", event.data));
        };
        let choice = &body["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            finish = Some(reason.to_string());
        }
        let Some(token) = choice["delta"]["content"].as_str() else {
            continue;
        };
        let now = Instant::now();
        match answer.first_token {
            None => answer.first_token = Some(now - start),
            Some(_) => answer.gaps.push(now - last),
        }
        last = now;
        answer.tokens.push(token.to_string());
        if ask.cancel_after == Some(answer.tokens.len() as u64) {
            return ChatEnd::Cancelled;
        }
    }
}
