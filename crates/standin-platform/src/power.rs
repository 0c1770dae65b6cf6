//! Starting and stopping what an endpoint runs on.

use std::time::Duration;

use serde_json::json;

/// How long an endpoint may take to obey; one that does not answer is as good
/// as stopped.
const PATIENCE: Duration = Duration::from_secs(1);

/// Tells the stand-in at `address` to run or to stop. Endpoints that do not
/// know of this go on as they are.
pub(crate) async fn switch(http: &reqwest::Client, address: &str, on: bool) {
    let url = format!("http://{address}/control/power");
    let call = http.post(url).json(&json!({"on": on})).timeout(PATIENCE);
    if let Err(error) = call.send().await {
        log::debug!("event=power_not_switched address={address} error={error:?}");
    }
}
