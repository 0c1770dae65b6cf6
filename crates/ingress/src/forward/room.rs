//! Requests to plain services that wait until a replica has room.
//!
//! Nothing here concerns a request that finds room: a service becomes contended when its last
//! available replica refuses a request as full.

use std::{collections::BTreeMap, sync::Arc};

use bluebell_core::{
    admission::RefuseReason,
    clock::{ClockTime, TimeSpan},
    ids::{OrganisationId, RequestId, ServiceName},
    room::{RoomDecision, RoomEstimate, RoomQueue, RoomRequest, WaitingCounts},
};
use tokio::sync::oneshot;

use crate::{context::EntryContext, forward::request_log_line, frontend::CallerRequest};

/// The organisation of requests without authentication, in the queue.
const NO_ORGANISATION: &str = "-";

/// The waiting requests, with the channels to the tasks that serve them.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    queue: RoomQueue,
    waiters: BTreeMap<RequestId, oneshot::Sender<RoomDecision>>,
}

impl WaitingRequests {
    /// Creates an empty queue; `seed` is that of the jitter of retry delays.
    pub fn with_seed(seed: u64) -> WaitingRequests {
        WaitingRequests {
            queue: RoomQueue::new().with_seed(seed),
            waiters: BTreeMap::new(),
        }
    }

    /// The number of waiting requests by service and rank.
    pub fn counts(&self) -> WaitingCounts {
        self.queue.waiting()
    }

    fn wait_for(&mut self, request: &RequestId) -> oneshot::Receiver<RoomDecision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(request.clone(), sender);
        receiver
    }

    /// Tells the tasks of requests what was decided.
    fn deliver(&mut self, decisions: Vec<RoomDecision>) {
        for decision in decisions {
            if let Some(waiter) = self.waiters.remove(decision.request()) {
                // A task that has just ended gives its place back when its ticket is dropped.
                let _ = waiter.send(decision);
            }
        }
    }
}

/// The place of a request in the queue or among those let through; it is given back on drop, also
/// when the caller disconnects.
#[derive(Debug)]
pub struct RoomTicket {
    context: Arc<EntryContext>,
    request: RequestId,
}

impl Drop for RoomTicket {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut room = self.context.room.lock();
        room.waiters.remove(&self.request);
        let decisions = room.queue.finish(now, &self.request);
        room.deliver(decisions);
        drop(room);
        update_gauge(&self.context);
    }
}

/// What became of a request that asked for room.
pub enum RoomOutcome {
    /// It may be sent.
    Admitted(RoomTicket),
    /// It is refused.
    Refused {
        /// Why it is refused.
        reason: RefuseReason,
        /// Time after which its caller may return.
        retry_after: TimeSpan,
    },
}

/// The room of a service, if all its replicas are known to be full or there are none.
pub fn shortage(context: &EntryContext, service: &ServiceName) -> Option<RoomEstimate> {
    let now = context.now();
    let instances = context.peers.lock().alive(now).count() + 1;
    let directory = context.directory.lock();
    let replicas = context.replicas.lock();
    let room = replicas.room(now, directory.available_for(service));
    let is_short = room.slots == 0 || room.room_in.is_some();
    is_short.then(|| RoomEstimate {
        slots: room.slots,
        instances: u32::try_from(instances).unwrap_or(u32::MAX),
        service_time: room.response_time,
        room_in: room.room_in.unwrap_or_default(),
    })
}

/// Whether a new request to the service has to wait, as others do.
pub fn is_contended(context: &EntryContext, request: &CallerRequest) -> bool {
    let now = context.now();
    let room = context.room.lock();
    room.queue.is_contended(now, &request.service) && !room.queue.knows(&request.id)
}

/// Waits until the request may be sent. `ticket` is that of a request that was let through and
/// found no room.
pub async fn wait(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
    shortage: Option<RoomEstimate>,
    ticket: Option<RoomTicket>,
) -> RoomOutcome {
    let started = context.now();
    request_log_line(context, "queued", request)
        .with("rank", request.priority)
        .with("again", ticket.is_some())
        .info();
    let (ticket, receiver) = enqueue(context, request, started, shortage, ticket);
    update_gauge(context);
    context.room_changed.notify_one();
    let decision = receiver.await;
    let outcome = match decision {
        Ok(RoomDecision::Start(_)) => RoomOutcome::Admitted(ticket),
        Ok(RoomDecision::Refuse {
            reason,
            retry_after,
            ..
        }) => RoomOutcome::Refused {
            reason,
            retry_after,
        },
        // Only a second request with the same id takes the channel away.
        Err(_) => RoomOutcome::Admitted(ticket),
    };
    note_left(context, request, started, &outcome);
    outcome
}

fn enqueue(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
    now: ClockTime,
    shortage: Option<RoomEstimate>,
    ticket: Option<RoomTicket>,
) -> (RoomTicket, oneshot::Receiver<RoomDecision>) {
    let mut room = context.room.lock();
    if let Some(estimate) = shortage {
        let decisions = room.queue.note_full(now, &request.service, estimate);
        room.deliver(decisions);
    }
    let receiver = room.wait_for(&request.id);
    let is_known = ticket.is_some();
    let ticket = ticket.unwrap_or_else(|| RoomTicket {
        context: Arc::clone(context),
        request: request.id.clone(),
    });
    let decisions = match is_known {
        true => room.queue.requeue(now, &request.id),
        false => room.queue.offer(now, room_request(request)),
    };
    room.deliver(decisions);
    drop(room);
    (ticket, receiver)
}

fn room_request(request: &CallerRequest) -> RoomRequest {
    let nobody = || OrganisationId::new(NO_ORGANISATION).expect("a dash is an identifier");
    RoomRequest {
        request: request.id.clone(),
        fingerprint: request.fingerprint().clone(),
        organisation: request.organisation.clone().unwrap_or_else(nobody),
        service: request.service.clone(),
        rank: request.priority,
        deadline: request.deadline,
    }
}

fn note_left(
    context: &EntryContext,
    request: &CallerRequest,
    started: ClockTime,
    outcome: &RoomOutcome,
) {
    let waited = context.now().since(started);
    let reason = match outcome {
        RoomOutcome::Refused { reason, .. } => reason.label(),
        RoomOutcome::Admitted(_) => "room",
    };
    let seconds = waited.as_millis() as f64 / 1_000.0;
    let times = &context.metrics.queue_time;
    times.with_label_values(&[reason]).observe(seconds);
    request_log_line(context, "left_queue", request)
        .with("rank", request.priority)
        .with("waited", waited)
        .with("reason", reason)
        .info();
    update_gauge(context);
}

fn update_gauge(context: &EntryContext) {
    let counts = context.room.lock().counts();
    let gauge = &context.metrics.requests_waiting;
    gauge.reset();
    for ((service, rank), count) in counts {
        let labels = [service.as_str(), &rank.to_string()];
        gauge.with_label_values(&labels).set(count as i64);
    }
}

/// Lets waiting requests through when room comes, and refuses those that became too late.
pub async fn run(context: Arc<EntryContext>) {
    loop {
        let now = context.now();
        let next = advance(&context, now);
        let changed = context.room_changed.notified();
        match next {
            Some(next) => {
                let _ = tokio::time::timeout(next.since(now).as_duration(), changed).await;
            }
            None => changed.await,
        }
    }
}

fn advance(context: &EntryContext, now: ClockTime) -> Option<ClockTime> {
    let services: Vec<ServiceName> = {
        let counts = context.room.lock().counts();
        counts.into_keys().map(|(service, _)| service).collect()
    };
    for service in services {
        let Some(estimate) = shortage(context, &service).filter(|room| room.slots == 0) else {
            continue;
        };
        let mut room = context.room.lock();
        let decisions = room.queue.set_room(now, &service, estimate);
        room.deliver(decisions);
    }
    let mut room = context.room.lock();
    let decisions = room.queue.advance(now);
    room.deliver(decisions);
    room.queue.next_wake()
}
