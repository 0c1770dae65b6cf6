//! Connections that show whether the process of an endpoint has run without a break.
//!
//! Replicas of plain services state no start. A process that crashes closes its connections, and the
//! next one answers at the same address, under the same id, some ms later. A connection that was
//! answered on before a request was sent, and still is after the end of its answer, shows that
//! one process has served all the while.

use std::{
    collections::{BTreeSet, HashMap},
    fmt, io,
    num::ParseIntError,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bluebell_adapter::engines;
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
    placement::EndpointTarget,
};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use tokio::sync::Mutex;

use crate::{context::EntryContext, forward::connection::EndpointConnection, shared::Shared};

/// How long an answer of a witness is awaited. It takes a round trip, as it needs no slot.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// How long after its last answer a witness counts without being asked again. Endpoints close idle
/// connections after some seconds.
const RECENT: TimeSpan = TimeSpan::from_millis(1_000);

/// The maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 65_536;

/// A position in the order of what this process sends to endpoints and gets from them. Several of
/// these fall into one ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventNumber(u64);

impl EventNumber {
    /// The number of an event that happens now.
    pub fn next() -> EventNumber {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        EventNumber(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for EventNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EventNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<EventNumber, ParseIntError> {
        text.parse().map(EventNumber)
    }
}

/// A connection that is kept to one process of an endpoint.
#[derive(Debug)]
struct ProcessWitness {
    connection: EndpointConnection,
    target: EndpointTarget,
    /// When the process first answered on it.
    since: EventNumber,
    /// When the process last answered on it.
    answered_at: ClockTime,
}

type WitnessSlot = Arc<Mutex<Option<ProcessWitness>>>;

/// The witnesses of the endpoints of services that need them: answers there have ended without a
/// mark, and the endpoints state no start.
#[derive(Debug, Default)]
pub struct ProcessWitnesses {
    services: Shared<BTreeSet<ServiceName>>,
    slots: Shared<HashMap<EndpointId, WitnessSlot>>,
}

impl ProcessWitnesses {
    /// Without any witness.
    pub fn new() -> ProcessWitnesses {
        ProcessWitnesses::default()
    }

    /// Whether the endpoints of `service` need witnesses.
    pub fn are_needed(&self, service: &ServiceName) -> bool {
        self.services.lock().contains(service)
    }

    /// Closes the witness of an endpoint.
    pub fn remove_endpoint(&self, id: &EndpointId) {
        self.slots.lock().remove(id);
    }

    fn slot(&self, id: &EndpointId) -> WitnessSlot {
        Arc::clone(self.slots.lock().entry(id.clone()).or_default())
    }
}

/// Sees to it that there is a witness of `target` before a request is sent there, if its service needs
/// that.
pub async fn prepare(context: &EntryContext, service: &ServiceName, target: &EndpointTarget) {
    if !context.witnesses.are_needed(service) {
        return;
    }
    let slot = context.witnesses.slot(&target.id);
    let mut witness = slot.lock().await;
    let now = context.now();
    let is_recent =
        |known: &ProcessWitness| known.target == *target && now.since(known.answered_at) < RECENT;
    if !witness.as_ref().is_some_and(is_recent) {
        *witness = renew(context, witness.take(), target).await;
    }
}

/// Whether the process that answers at `target` has run since a request was sent there, as far as there
/// is a witness. From now on there are witnesses for the endpoints of `service`.
pub async fn has_run_since(
    context: &EntryContext,
    service: &ServiceName,
    target: &EndpointTarget,
    sent: EventNumber,
) -> bool {
    context.witnesses.services.lock().insert(service.clone());
    let slot = context.witnesses.slot(&target.id);
    let mut witness = slot.lock().await;
    *witness = renew(context, witness.take(), target).await;
    witness.as_ref().is_some_and(|known| known.since < sent)
}

/// The witness after one more answer, or a new one.
async fn renew(
    context: &EntryContext,
    known: Option<ProcessWitness>,
    target: &EndpointTarget,
) -> Option<ProcessWitness> {
    if let Some(mut witness) = known.filter(|known| known.target == *target)
        && ask(&mut witness.connection, target).await.is_ok()
    {
        witness.answered_at = context.now();
        return Some(witness);
    }
    let mut connection = EndpointConnection::connect(target.address).await.ok()?;
    ask(&mut connection, target).await.ok()?;
    Some(ProcessWitness {
        connection,
        target: target.clone(),
        since: EventNumber::next(),
        answered_at: context.now(),
    })
}

/// Has the process answer on a connection. Any answer counts, unless another endpoint gives it.
async fn ask(connection: &mut EndpointConnection, target: &EndpointTarget) -> io::Result<()> {
    let request = engines::report_request(target.address, &target.id).map_err(io::Error::other)?;
    let asking = async {
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(io::Error::other)?;
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        body.collect().await.map_err(io::Error::other).map(drop)
    };
    let asked = tokio::time::timeout(ANSWER_TIMEOUT.as_duration(), asking).await;
    asked.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
