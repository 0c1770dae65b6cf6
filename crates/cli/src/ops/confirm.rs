//! Waiting until every live instance has applied an offset.

use std::fmt;

use bluebell_core::{
    clock::TimeSpan,
    ids::{InstanceId, LogOffset},
    membership::{InstanceListing, InstanceState},
};
use bluebell_node::admin::NodeReport;
use serde::Serialize;

use crate::ops::{DONE, UNCONFIRMED, session::FleetSession};

/// The pause between two rounds of questions.
const ASK_EVERY: TimeSpan = TimeSpan::from_millis(100);

/// How long one instance may take to answer.
const ASK_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// An instance that has not confirmed, and what is known of why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnconfirmedInstance {
    /// Which.
    pub instance: InstanceId,
    /// Why, as far as can be told.
    pub reason: String,
}

/// Which instances have an offset in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OffsetConfirmation {
    /// Those that have.
    pub confirmed: Vec<InstanceId>,
    /// Those that have not.
    pub unconfirmed: Vec<UnconfirmedInstance>,
}

impl OffsetConfirmation {
    /// The command's exit code.
    pub fn exit_code(&self) -> u8 {
        match self.unconfirmed.is_empty() {
            true => DONE,
            false => UNCONFIRMED,
        }
    }
}

impl fmt::Display for OffsetConfirmation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.confirmed.len() + self.unconfirmed.len();
        writeln!(
            f,
            "in force on {} of {total} live instances",
            self.confirmed.len()
        )?;
        for missing in &self.unconfirmed {
            writeln!(
                f,
                "  not confirmed: {}: {}",
                missing.instance, missing.reason
            )?;
        }
        Ok(())
    }
}

/// Asks all live instances on the platform's list until each has applied
/// `offset`, at most for `patience`.
pub async fn confirm(
    session: &FleetSession,
    offset: LogOffset,
    patience: TimeSpan,
) -> anyhow::Result<OffsetConfirmation> {
    let clock = session.node.clock();
    let give_up = clock.now() + patience;
    let http = reqwest::Client::new();
    loop {
        let listings = session.node.platform().instances().await?;
        let live = listings
            .iter()
            .filter(|listing| listing.state == InstanceState::Live);
        let answers =
            futures::future::join_all(live.map(|listing| ask(&http, listing, offset))).await;
        let mut confirmation = OffsetConfirmation::default();
        for (instance, answer) in answers {
            match answer {
                Ok(()) => confirmation.confirmed.push(instance),
                Err(reason) => {
                    let missing = UnconfirmedInstance { instance, reason };
                    confirmation.unconfirmed.push(missing);
                }
            }
        }
        if confirmation.unconfirmed.is_empty() || clock.now() >= give_up {
            return Ok(confirmation);
        }
        tokio::time::sleep(ASK_EVERY.as_duration()).await;
    }
}

async fn ask(
    http: &reqwest::Client,
    listing: &InstanceListing,
    offset: LogOffset,
) -> (InstanceId, Result<(), String>) {
    let instance = listing.instance.clone();
    let report = match node_report(http, listing).await {
        Ok(report) => report,
        Err(error) => return (instance, Err(error)),
    };
    if report.next_offset > offset {
        return (instance, Ok(()));
    }
    let reason = format!(
        "has applied the log before {}, not {offset}",
        report.next_offset
    );
    (instance, Err(reason))
}

/// What the instance tells of its node.
pub async fn node_report(
    http: &reqwest::Client,
    listing: &InstanceListing,
) -> Result<NodeReport, String> {
    let address = &listing.http_address;
    let request = http.get(format!("http://{address}/node"));
    let answer = request.timeout(ASK_TIMEOUT.as_duration()).send().await;
    let answer = answer.and_then(|answer| answer.error_for_status());
    match answer {
        Ok(answer) => answer
            .json()
            .await
            .map_err(|error| format!("answers at `{address}` what is no report: {error}")),
        Err(error) => Err(format!("does not answer at `{address}`: {error}")),
    }
}
