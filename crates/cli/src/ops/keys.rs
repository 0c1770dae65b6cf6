//! Granting and withdrawing callers' keys.

use std::fmt;

use anyhow::{Context, bail};
use bluebell_core::{
    clock::TimeSpan,
    config::{KeyUnit, UnitBody, UnitKind, UnitName},
    ids::{InstanceId, KeyDigest, OrganisationId},
    membership::InstanceListing,
    records::{UnitChange, WithdrawRecord},
};
use rand::Rng;
use serde::Serialize;

use crate::ops::{
    DONE, UNCONFIRMED,
    confirm::{self, OffsetConfirmation, UnconfirmedInstance},
    fleet, publish,
    session::{self, FleetSession},
};

/// Random bytes of a new key.
const KEY_BYTES: usize = 32;

/// How long one instance may take to take a withdrawal.
const TELL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// What became of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GrantReport {
    /// The key, which is shown here and nowhere else.
    pub key: String,
    /// Its digest, which is what is published.
    pub digest: KeyDigest,
    /// The unit.
    pub unit: UnitName,
    /// Who has it in force.
    #[serde(flatten)]
    pub confirmation: OffsetConfirmation,
}

impl fmt::Display for GrantReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.key)?;
        writeln!(f, "granted as `{}`; the key is shown only now", self.unit)?;
        write!(f, "{}", self.confirmation)
    }
}

/// Makes a key for `organisation` and publishes its digest as the key unit `name`.
pub async fn grant(
    session: &FleetSession,
    organisation: &OrganisationId,
    name: &str,
    patience: TimeSpan,
) -> anyhow::Result<GrantReport> {
    let view = session.view();
    if view.configuration.organisation(organisation).is_none() {
        bail!("there is no organisation `{organisation}` in force; publish it first");
    }
    let unit = UnitName::new(UnitKind::Key, name)?;
    let current = view.configuration.unit(&unit);
    if current.is_some_and(|current| current.body.is_some()) {
        bail!(
            "`{unit}` exists; choose another name, or withdraw that key and name the new one otherwise"
        );
    }
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("bbl-{hex}");
    let digest = KeyDigest::with_key(&key);
    let change = UnitChange {
        unit: unit.clone(),
        base: current.map(|current| current.version),
        body: Some(UnitBody::Key(KeyUnit {
            organisation: organisation.clone(),
            digest: digest.clone(),
        })),
    };
    let offset = publish::append_changes(session, vec![change]).await?;
    Ok(GrantReport {
        confirmation: confirm::confirm(session, offset, patience).await?,
        key,
        digest,
        unit,
    })
}

/// Which key to withdraw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyChoice {
    /// That of the key unit of this name.
    Name(String),
    /// That with this digest.
    Digest(KeyDigest),
}

/// What to withdraw and how.
#[derive(Clone, Debug)]
pub struct WithdrawRequest {
    /// The platform's address.
    pub platform: String,
    /// Who withdraws.
    pub publisher: String,
    /// An instance to tell if the platform's list can't be read.
    pub instance: Option<String>,
    /// Which key.
    pub choice: KeyChoice,
    /// How long to wait for the log and for confirmations.
    pub patience: TimeSpan,
}

/// What became of a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WithdrawReport {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// Who has taken it directly.
    pub taken: Vec<InstanceId>,
    /// Who could not be told directly. Its peers tell it.
    pub untold: Vec<UnconfirmedInstance>,
    /// Whether it stands in the log.
    pub in_log: bool,
}

impl WithdrawReport {
    /// The command's exit code.
    pub fn exit_code(&self) -> u8 {
        match self.untold.is_empty() && self.in_log {
            true => DONE,
            false => UNCONFIRMED,
        }
    }
}

impl fmt::Display for WithdrawReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "withdrawn: {}…", self.digest.short())?;
        writeln!(f, "taken by {} instances", self.taken.len())?;
        for untold in &self.untold {
            writeln!(
                f,
                "  not told directly: {}: {}",
                untold.instance, untold.reason
            )?;
        }
        match self.in_log {
            true => writeln!(f, "it stands in the log"),
            false => writeln!(
                f,
                "it does not stand in the log yet; the instances append it when the log is back"
            ),
        }
    }
}

/// Withdraws a key: tells every live instance at once, then waits for the log.
pub async fn withdraw(request: WithdrawRequest) -> anyhow::Result<WithdrawReport> {
    let digest = match &request.choice {
        KeyChoice::Digest(digest) => digest.clone(),
        KeyChoice::Name(name) => find_digest(&request, name).await?,
    };
    let record = WithdrawRecord {
        digest: digest.clone(),
        publisher: request.publisher.clone(),
    };
    let mut report = WithdrawReport {
        digest,
        taken: Vec::new(),
        untold: Vec::new(),
        in_log: false,
    };
    for listing in targets(&request).await? {
        match tell(&listing, &record).await {
            Ok(()) => report.taken.push(listing.instance),
            Err(reason) => report.untold.push(UnconfirmedInstance {
                instance: listing.instance,
                reason,
            }),
        }
    }
    let session =
        FleetSession::open_within(&request.platform, &request.publisher, request.patience);
    if let Ok(session) = session.await {
        report.in_log = append(&session, &record, request.patience).await;
    }
    if report.taken.is_empty() && !report.in_log {
        bail!(
            "not withdrawn: no instance could be told and the log can't be written; name one with `--instance ADDR`"
        );
    }
    Ok(report)
}

/// Whether the withdrawal stands in the log after `patience` at most. It is
/// appended from here too if nobody has: twice does no harm.
async fn append(session: &FleetSession, record: &WithdrawRecord, patience: TimeSpan) -> bool {
    let stands = || {
        session
            .node
            .with_view(|view| view.keys.is_withdrawn(&record.digest))
    };
    if stands() {
        return true;
    }
    let record = bluebell_core::records::LogRecord::Withdraw(record.clone());
    match session.node.append(record).await {
        Ok(offset) => session.node.wait_applied(offset, patience).await,
        Err(_) => stands(),
    }
}

async fn find_digest(request: &WithdrawRequest, name: &str) -> anyhow::Result<KeyDigest> {
    let unit = UnitName::new(UnitKind::Key, name)?;
    let session =
        FleetSession::open_within(&request.platform, &request.publisher, request.patience).await;
    let session = session.with_context(|| {
        format!(
            "failed to look up `{unit}`; name the key by `--digest DIGEST` while the log is down"
        )
    })?;
    let view = session.view();
    let version = view.configuration.unit(&unit);
    match version.and_then(|version| version.body.as_ref()) {
        Some(UnitBody::Key(key)) => Ok(key.digest.clone()),
        _ => bail!("there is no `{unit}` in force"),
    }
}

async fn targets(request: &WithdrawRequest) -> anyhow::Result<Vec<InstanceListing>> {
    let client = session::client(&request.platform, &request.publisher)?;
    match (client.instances().await, &request.instance) {
        (Ok(listings), None) => Ok(listings),
        (_, Some(address)) => Ok(vec![fleet::listing_at(address)?]),
        (Err(error), None) => {
            Err(error).context("failed to list instances; name one with `--instance ADDR`")
        }
    }
}

async fn tell(listing: &InstanceListing, record: &WithdrawRecord) -> Result<(), String> {
    let address = &listing.http_address;
    let request = reqwest::Client::new()
        .post(format!("http://{address}/admin/withdraw"))
        .timeout(TELL_TIMEOUT.as_duration())
        .json(record);
    let answer = request.send().await;
    match answer.and_then(|answer| answer.error_for_status()) {
        Ok(_) => Ok(()),
        Err(error) => Err(format!("does not take it at `{address}`: {error}")),
    }
}
