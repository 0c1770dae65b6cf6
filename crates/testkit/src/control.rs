//! Switching the stand-ins' faults and reading their histories.

use anyhow::Context;
use serde::{Serialize, de::DeserializeOwned};

/// Posts `body` to `http://{address}{path}`.
pub async fn post<Body>(address: &str, path: &str, body: &Body) -> anyhow::Result<()>
where
    Body: Serialize,
{
    let url = format!("http://{address}{path}");
    let response = reqwest::Client::new().post(&url).json(body).send().await;
    let response = response.with_context(|| format!("failed to post to `{url}`"))?;
    response.error_for_status().map(drop).map_err(Into::into)
}

/// Reads the JSON at `http://{address}{path}`.
pub async fn get<Answer>(address: &str, path: &str) -> anyhow::Result<Answer>
where
    Answer: DeserializeOwned,
{
    let url = format!("http://{address}{path}");
    let response = reqwest::get(&url).await;
    let response = response.with_context(|| format!("failed to read `{url}`"))?;
    Ok(response.error_for_status()?.json().await?)
}

/// Replaces a stand-in's faults.
pub async fn set_faults<Faults>(address: &str, faults: &Faults) -> anyhow::Result<()>
where
    Faults: Serialize,
{
    post(address, "/control/faults", faults).await
}

/// A stand-in's history.
pub async fn history<History>(address: &str) -> anyhow::Result<History>
where
    History: DeserializeOwned,
{
    get(address, "/control/history").await
}
