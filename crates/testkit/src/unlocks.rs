//! Calls of the plain service that must run at most once.

use std::time::Duration;

use anyhow::Context;
use reqwest::StatusCode;
use serde_json::Value;
use standin_service::history::{ExecutionRecord, ServiceHistory};

use crate::{
    control,
    fleet::{PLAIN_SERVICE, TestFleet},
};

/// How long an unlock's caller waits.
const PATIENCE: Duration = Duration::from_secs(60);

/// What an unlock's caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnlockEnd {
    /// The service's answer.
    Answered(String),
    /// A refusal, with its code and whether it ran.
    Refused {
        /// The code.
        code: String,
        /// `not_run` or `unknown`.
        ran: String,
        /// The request.
        request: String,
    },
    /// Nothing that can be read.
    Lost(String),
}

/// Unlocks bay `bay` through the entry at `entry`.
pub async fn unlock(entry: &str, key: &str, mark: Option<&str>, bay: u32) -> UnlockEnd {
    let url = format!("http://{entry}/v1/services/{PLAIN_SERVICE}/unlock/{bay}");
    let mut request = reqwest::Client::new().post(url).bearer_auth(key);
    if let Some(mark) = mark {
        request = request.header("Idempotency-Key", mark);
    }
    let response = match request.timeout(PATIENCE).send().await {
        Ok(response) => response,
        Err(error) => return UnlockEnd::Lost(error.to_string()),
    };
    let status = response.status();
    match response.text().await {
        Err(error) => UnlockEnd::Lost(error.to_string()),
        Ok(text) => read(status, text),
    }
}

fn read(status: StatusCode, text: String) -> UnlockEnd {
    if status.is_success() {
        return UnlockEnd::Answered(text);
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_string();
    UnlockEnd::Refused {
        code: field("code"),
        ran: field("ran"),
        request: field("request"),
    }
}

/// All executions at all replicas.
pub async fn executions(fleet: &TestFleet) -> anyhow::Result<Vec<ExecutionRecord>> {
    let mut all = Vec::new();
    for service in &fleet.services {
        let history: ServiceHistory = control::history(service.process.http())
            .await
            .with_context(|| format!("`{}` has no history", service.name))?;
        all.extend(history.executions);
    }
    Ok(all)
}
