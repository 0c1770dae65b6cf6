//! Waiting for events with a generous limit, so that no verdict depends on how
//! fast the machine is.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// How long a test waits for an event before it counts as never coming.
pub const EVENT_LIMIT: Duration = Duration::from_secs(60);

/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Looks until `look` answers something, and fails naming `event` if it never does.
pub async fn until<Look, Looking, Found>(event: &str, mut look: Look) -> anyhow::Result<Found>
where
    Look: FnMut() -> Looking,
    Looking: Future<Output = Option<Found>>,
{
    let start = Instant::now();
    while start.elapsed() < EVENT_LIMIT {
        if let Some(found) = look().await {
            return Ok(found);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    anyhow::bail!("`{event}` did not happen within {EVENT_LIMIT:?}")
}
