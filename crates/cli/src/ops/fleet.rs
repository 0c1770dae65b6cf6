//! Asking all instances: status, dumps, explanations.

use std::{fmt, net::SocketAddr};

use anyhow::Context;
use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
    membership::{InstanceListing, InstanceProgram, InstanceState},
};
use bluebell_daemon::journal::DecisionRecord;
use bluebell_platform::{
    PlatformClient,
    api::{EndpointListing, EndpointState},
};
use futures::future::join_all;
use reqwest::Client;
use serde::{Serialize, de::DeserializeOwned};

use crate::ops::{DONE, FAILED, confirm::node_report};

/// How long one instance may take to answer.
const ASK_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// One instance as `bluebell status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InstanceStatus {
    /// What the platform's list says.
    #[serde(flatten)]
    pub listing: InstanceListing,
    /// Whether it takes work, and if not, why.
    pub ready: Result<(), String>,
    /// The offset of the next entry that it will apply.
    pub next_offset: Option<LogOffset>,
    /// How old its knowledge of the log's end is.
    pub freshness: Option<TimeSpan>,
    /// How many peers it is connected to.
    pub links: usize,
}

/// Who holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DutyStatus {
    /// The duty.
    pub duty: String,
    /// Its holder by the log.
    pub holder: InstanceId,
    /// The fencing number.
    pub fence: LogOffset,
}

/// The fleet as `bluebell status` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The instances on the platform's list.
    pub instances: Vec<InstanceStatus>,
    /// The duties by the log; none if it can't be read.
    pub duties: Option<Vec<DutyStatus>>,
    /// The endpoints on the platform's list; none if it can't be read.
    pub endpoints: Option<Vec<EndpointListing>>,
}

impl FleetStatus {
    /// The command's exit code: failed if anything is missing or not ready.
    pub fn exit_code(&self) -> u8 {
        let ready = self.instances.iter().all(|instance| instance.ready.is_ok());
        match ready && self.duties.is_some() && self.endpoints.is_some() {
            true => DONE,
            false => FAILED,
        }
    }
}

/// Asks all instances on the list how they are.
pub async fn instances(client: &PlatformClient) -> anyhow::Result<Vec<InstanceStatus>> {
    let listings = client
        .instances()
        .await
        .context("failed to list instances")?;
    let http = Client::new();
    Ok(join_all(listings.into_iter().map(|listing| status(&http, listing))).await)
}

async fn status(http: &Client, listing: InstanceListing) -> InstanceStatus {
    let report = node_report(http, &listing).await.ok();
    InstanceStatus {
        ready: ready(http, &listing).await,
        next_offset: report.as_ref().map(|report| report.next_offset),
        freshness: report.as_ref().and_then(|report| report.freshness),
        links: report.map_or(0, |report| report.links.len()),
        listing,
    }
}

async fn ready(http: &Client, listing: &InstanceListing) -> Result<(), String> {
    let url = format!("http://{}/ready", listing.http_address);
    let request = http.get(url).timeout(ASK_TIMEOUT.as_duration());
    let answer = request.send().await.map_err(|error| error.to_string())?;
    if answer.status().is_success() {
        return Ok(());
    }
    let reason = answer.text().await.unwrap_or_default();
    Err(reason.trim().to_string())
}

async fn ask<Answer>(listing: &InstanceListing, path: &str) -> Result<Answer, String>
where
    Answer: DeserializeOwned,
{
    let request = Client::new()
        .get(format!("http://{}{path}", listing.http_address))
        .timeout(ASK_TIMEOUT.as_duration());
    let answer = request.send().await;
    match answer.and_then(|answer| answer.error_for_status()) {
        Ok(answer) => answer.json().await.map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    }
}

/// The state dump of an instance.
pub async fn dump(listing: &InstanceListing) -> Result<serde_json::Value, String> {
    ask(listing, "/dump").await
}

/// One decision and the instance that took it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainedDecision {
    /// The instance.
    pub instance: InstanceId,
    /// The decision.
    #[serde(flatten)]
    pub record: DecisionRecord,
}

/// All decisions about one subject, and who could not be asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SubjectExplanation {
    /// The decisions by time, each on the clock of the instance that took it.
    pub decisions: Vec<ExplainedDecision>,
    /// Instances that did not answer, with the reason.
    pub unasked: Vec<String>,
}

impl fmt::Display for SubjectExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for decision in &self.decisions {
            let record = &decision.record;
            writeln!(
                f,
                "{} {}: {} ({})",
                record.at, decision.instance, record.decision, record.reason
            )?;
        }
        for unasked in &self.unasked {
            writeln!(f, "no answer from {unasked}")?;
        }
        Ok(())
    }
}

/// Asks all instances what they decided about `subject`, and why.
pub async fn explain(listings: &[InstanceListing], subject: &str) -> SubjectExplanation {
    let mut explanation = SubjectExplanation::default();
    let encoded: String = subject.bytes().map(percent_encoded).collect();
    let path = format!("/explain?subject={encoded}");
    let answers = listings
        .iter()
        .map(|listing| ask::<Vec<DecisionRecord>>(listing, &path));
    for (listing, answer) in listings.iter().zip(join_all(answers).await) {
        let instance = listing.instance.clone();
        match answer {
            Ok(records) => explanation
                .decisions
                .extend(records.into_iter().map(|record| {
                    let instance = instance.clone();
                    ExplainedDecision { instance, record }
                })),
            Err(error) => explanation.unasked.push(format!("{instance}: {error}")),
        }
    }
    explanation
        .decisions
        .sort_by(|a, b| (a.record.at, &a.instance).cmp(&(b.record.at, &b.instance)));
    explanation
}

fn percent_encoded(byte: u8) -> String {
    match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
            char::from(byte).to_string()
        }
        byte => format!("%{byte:02X}"),
    }
}

/// A listing for an instance that is known by its HTTP address only.
pub fn listing_at(address: &str) -> anyhow::Result<InstanceListing> {
    let address: SocketAddr = address.parse().with_context(|| {
        format!("`--instance` is `{address}`, expected an address such as `127.0.0.1:8000`")
    })?;
    Ok(InstanceListing {
        instance: InstanceId::new(address.to_string().replace(['[', ']'], ""))?,
        failure_domain: FailureDomain::new("unknown")?,
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: address.to_string(),
        peer_address: String::new(),
    })
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "instances:")?;
        for instance in &self.instances {
            let listing = &instance.listing;
            let offset = instance.next_offset.map(|next| next.to_string());
            let fresh = instance.freshness.map(|age| age.to_string());
            let ready = match &instance.ready {
                Ok(()) => "ready".to_string(),
                Err(reason) => format!("not ready: {reason}"),
            };
            writeln!(
                f,
                "  {} {} {} {} next={} knowledge={} links={} {ready}",
                listing.instance,
                listing.failure_domain,
                listing.program,
                listing.state,
                offset.as_deref().unwrap_or("?"),
                fresh.as_deref().unwrap_or("?"),
                instance.links,
            )?;
        }
        writeln!(f, "duties:")?;
        match &self.duties {
            Some(duties) => {
                for duty in duties {
                    writeln!(f, "  {} {} fence={}", duty.duty, duty.holder, duty.fence)?;
                }
            }
            None => writeln!(f, "  the log can't be read")?,
        }
        writeln!(f, "endpoints:")?;
        let Some(endpoints) = &self.endpoints else {
            return writeln!(f, "  the platform's list can't be read");
        };
        for endpoint in endpoints {
            let state = match endpoint.state {
                EndpointState::Starting => "starting".to_string(),
                EndpointState::Ready => "ready".to_string(),
                EndpointState::Reclaimed { remaining } => format!("reclaimed in {remaining}"),
                EndpointState::Gone => "gone".to_string(),
            };
            writeln!(
                f,
                "  {} {} {} {state}",
                endpoint.endpoint, endpoint.failure_domain, endpoint.service
            )?;
        }
        Ok(())
    }
}
