//! Publishing: all files checked, one record with its bases, the outcome read back.

use std::{fmt, path::PathBuf};

use bluebell_core::{
    clock::TimeSpan,
    ids::LogOffset,
    publication::PublishRefusal,
    records::{LogRecord, PublishRecord, UnitChange},
    units::ByteSize,
    view::ViewEvent,
};
use bluebell_node::AppendError;
use serde::Serialize;

use crate::ops::{
    check,
    collect::{self, FileProblems},
    confirm::{self, OffsetConfirmation},
    difference::ConfigurationDifference,
    session::FleetSession,
};

/// How long a command waits to read its own record back.
const READ_BACK_PATIENCE: TimeSpan = TimeSpan::from_secs(10);

/// The largest record. One that no relay between instances can carry would reach
/// only those that read the log themselves.
const RECORD_LIMIT: ByteSize = ByteSize::new(512 * 1024);

/// What to publish.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Where the files are.
    pub directories: Vec<PathBuf>,
    /// Who publishes.
    pub publisher: String,
    /// Whether to remove units that no file names.
    pub prune: bool,
}

/// A publish that has been checked and not sent.
#[derive(Clone, Debug)]
pub struct PreparedPublish {
    /// Who publishes.
    pub publisher: String,
    /// What changes.
    pub difference: ConfigurationDifference,
}

/// Why a publish did not come into force.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// Another change came first.
    #[error("not published: {0}; look at the difference again and repeat")]
    Refused(PublishRefusal),
    /// The record would be too large.
    #[error(
        "not published: the change has {size} as one record, expected at most {RECORD_LIMIT}; publish fewer directories at a time, services before what names them"
    )]
    TooLarge {
        /// Its size.
        size: ByteSize,
    },
    /// The record was not appended.
    #[error("not published: {0}; nothing has changed, repeat when the platform answers")]
    NotAppended(String),
    /// Whether the record stands in the log is unknown.
    #[error(
        "unknown whether published: {0}; run the same command again, it sends only what is not in force"
    )]
    Unknown(String),
}

/// What became of a publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PublishReport {
    /// Where it stands in the log.
    pub offset: LogOffset,
    /// How many units changed.
    pub units: usize,
    /// Who has it in force.
    #[serde(flatten)]
    pub confirmation: OffsetConfirmation,
}

impl fmt::Display for PublishReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "published {} units as version {}",
            self.units, self.offset
        )?;
        write!(f, "{}", self.confirmation)
    }
}

/// Collects and checks all files and compares them with what is in force.
pub fn prepare(
    session: &FleetSession,
    request: &PublishRequest,
) -> Result<PreparedPublish, FileProblems> {
    let collection = collect::collect(&request.directories)?;
    let view = session.view();
    check::check(&collection, Some(&view))?;
    Ok(PreparedPublish {
        publisher: request.publisher.clone(),
        difference: ConfigurationDifference::new(&collection, &view, request.prune),
    })
}

/// Sends a prepared publish, reads its outcome back and waits until all live
/// instances have it in force.
pub async fn send(
    session: &FleetSession,
    prepared: PreparedPublish,
    patience: TimeSpan,
) -> anyhow::Result<PublishReport> {
    let units = prepared.difference.units.into_iter();
    let changes: Vec<UnitChange> = units.map(|unit| unit.change).collect();
    let units = changes.len();
    let offset = append_changes(session, changes).await?;
    let confirmation = confirm::confirm(session, offset, patience).await?;
    Ok(PublishReport {
        offset,
        units,
        confirmation,
    })
}

/// Appends one publish record and reads back what the reader's rule made of it.
pub async fn append_changes(
    session: &FleetSession,
    changes: Vec<UnitChange>,
) -> Result<LogOffset, PublishError> {
    let mut events = session.node.subscribe();
    let record = LogRecord::Publish(PublishRecord {
        publisher: session.publisher.clone(),
        changes,
    });
    let size = serde_json::to_string(&record).map_or(0, |text| text.len() as u64);
    let size = ByteSize::new(size);
    if size > RECORD_LIMIT {
        return Err(PublishError::TooLarge { size });
    }
    let offset = match session.node.append(record).await {
        Ok(offset) => offset,
        Err(AppendError::NotAppended(message)) => return Err(PublishError::NotAppended(message)),
        Err(AppendError::Unknown(message)) => return Err(PublishError::Unknown(message)),
    };
    let lost = || PublishError::Unknown(format!("the record at {offset} could not be read back"));
    if !session.node.wait_applied(offset, READ_BACK_PATIENCE).await {
        return Err(lost());
    }
    while let Ok(event) = events.try_recv() {
        match event {
            ViewEvent::Published { offset: at } if at == offset => return Ok(offset),
            ViewEvent::PublishRefused {
                offset: at,
                refusal,
            } if at == offset => {
                return Err(PublishError::Refused(refusal));
            }
            _ => {}
        }
    }
    Err(lost())
}
