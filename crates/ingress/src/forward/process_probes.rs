//! Probe connections, which show whether the process of an endpoint has run without a restart.
//!
//! Replicas of plain services state no start. A process that crashes closes its connections, and the
//! next one may answer at the same address and under the same id some ms later. If a connection was
//! answered on before a request was sent, and is again after the end of the answer, the same
//! process has served the request.

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

/// How long the answer to a probe is awaited. It takes a round trip, as it needs no slot.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// How long a request waits for a probe connection. A silent endpoint answers no probes.
const PREPARE_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// How long after its last answer a probe connection is not checked again. Endpoints close idle
/// connections after some seconds.
const CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

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

/// A probe connection to one process of an endpoint.
#[derive(Debug)]
struct ProcessProbe {
    connection: EndpointConnection,
    target: EndpointTarget,
    /// When the process first answered on it.
    since: EventNumber,
    /// When the process last answered on it.
    answered_at: ClockTime,
}

type ProbeSlot = Arc<Mutex<Option<ProcessProbe>>>;

/// The probe connections to the endpoints of services that need them: answers there have ended
/// without a mark, and the endpoints state no start.
#[derive(Debug, Default)]
pub struct ProcessProbes {
    services: Shared<BTreeSet<ServiceName>>,
    slots: Shared<HashMap<EndpointId, ProbeSlot>>,
}

impl ProcessProbes {
    /// Creates a set without any connection.
    pub fn new() -> ProcessProbes {
        ProcessProbes::default()
    }

    /// Whether the endpoints of `service` need probe connections.
    pub fn are_needed(&self, service: &ServiceName) -> bool {
        self.services.lock().contains(service)
    }

    /// Closes the probe connection to an endpoint.
    pub fn remove_endpoint(&self, id: &EndpointId) {
        self.slots.lock().remove(id);
    }

    fn slot(&self, id: &EndpointId) -> ProbeSlot {
        Arc::clone(self.slots.lock().entry(id.clone()).or_default())
    }
}

/// Ensures that there is a probe connection to `target` before a request is sent there, if its
/// service needs that.
pub async fn prepare(context: &EntryContext, service: &ServiceName, target: &EndpointTarget) {
    if !context.probes.are_needed(service) {
        return;
    }
    let checking = check_if_due(context, target);
    let _ = tokio::time::timeout(PREPARE_TIMEOUT.as_duration(), checking).await;
}

async fn check_if_due(context: &EntryContext, target: &EndpointTarget) {
    let slot = context.probes.slot(&target.id);
    let mut probe = slot.lock().await;
    let now = context.now();
    let is_recent = |known: &ProcessProbe| {
        known.target == *target && now.since(known.answered_at) < CHECK_INTERVAL
    };
    if !probe.as_ref().is_some_and(is_recent) {
        *probe = renew(context, probe.take(), target).await;
    }
}

/// Whether the process that answers at `target` has run since before a request was sent there;
/// `false` if there was no probe connection. From now on the endpoints of `service` have some.
pub async fn has_run_since(
    context: &EntryContext,
    service: &ServiceName,
    target: &EndpointTarget,
    sent: EventNumber,
) -> bool {
    context.probes.services.lock().insert(service.clone());
    let slot = context.probes.slot(&target.id);
    let mut probe = slot.lock().await;
    *probe = renew(context, probe.take(), target).await;
    probe.as_ref().is_some_and(|known| known.since < sent)
}

/// The probe connection after one more answer, or a new one.
async fn renew(
    context: &EntryContext,
    known: Option<ProcessProbe>,
    target: &EndpointTarget,
) -> Option<ProcessProbe> {
    if let Some(mut probe) = known.filter(|known| known.target == *target)
        && ask(&mut probe.connection, target).await.is_ok()
    {
        probe.answered_at = context.now();
        return Some(probe);
    }
    let mut connection = EndpointConnection::connect(target.address).await.ok()?;
    ask(&mut connection, target).await.ok()?;
    Some(ProcessProbe {
        connection,
        target: target.clone(),
        since: EventNumber::next(),
        answered_at: context.now(),
    })
}

/// Asks the process for its report. Any answer counts, unless it is that of another endpoint.
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
