//! Streams that go on: only the process that is registered may continue them.
//!
//! A request names its endpoint by an id, which a process that has just restarted as another version
//! accepts as well. The process that answers has started when the head of its answer arrives. If the
//! registered process still runs after that, no later one has started, so it is the one that answers. A
//! check that began with the request would prove nothing: the endpoint may restart in between. The
//! events are read meanwhile.

use std::pin::pin;

use bluebell_core::placement::EndpointTarget;
use futures::future::{Either, select};

use crate::{
    context::EntryContext,
    forward::{
        event_order::UnjoinedEvent,
        events::{EventReader, NextEvents},
        failed_attempt::FailedAttempt,
        generate::GenerationRun,
        process_check::{self, ProcessState},
        request_log_line,
        resume::BegunStream,
    },
    frontend::{CallerRequest, RefusalReason},
};

/// Reads an answer to `request` of `target`, whose head has arrived, while it is checked whether that
/// process runs. Returns `None` if it does not. What `has_events` is false for is returned unchecked.
pub async fn read_checked<Reading, HasEvents>(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    reading: Reading,
    has_events: HasEvents,
) -> Option<Reading::Output>
where
    Reading: Future,
    HasEvents: Fn(&Reading::Output) -> bool,
{
    let reading = pin!(reading);
    let checking = pin!(is_proved(context, request, target));
    match select(reading, checking).await {
        Either::Left((read, _)) if !has_events(&read) => Some(read),
        Either::Left((read, checking)) => checking.await.then_some(read),
        Either::Right((true, reading)) => Some(reading.await),
        Either::Right((false, _)) => None,
    }
}

/// Whether the registered process of `target` runs, as far as endpoints of its service report that. Plain
/// services have no report.
async fn is_proved(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
) -> bool {
    let remaining = request.time_left(context.now()).as_duration();
    let checking = process_check::check(context, target);
    match tokio::time::timeout(remaining, checking).await {
        Ok(ProcessState::Unreported) => request.work.is_none(),
        Ok(state) => state.is_running(),
        Err(_) => false,
    }
}

/// Why the answer of `target` can't continue a stream.
pub fn unproved_detail(target: &EndpointTarget) -> String {
    format!("the registered process of `{}` may have ended", target.id)
}

impl GenerationRun {
    /// Reads the first events of an answer of `target`. Those that continue a stream are returned only
    /// if the registered process wrote them.
    pub(super) async fn read_first(
        &mut self,
        target: &EndpointTarget,
        events: &mut EventReader,
    ) -> Result<NextEvents, FailedAttempt> {
        let remaining = self.request.time_left(self.context.now());
        let reading = events.next(remaining.as_duration());
        if self.begun == BegunStream::NotBegun {
            return Ok(reading.await);
        }
        let has_events =
            |read: &NextEvents| matches!(read, NextEvents::Events { .. } | NextEvents::End);
        let read = read_checked(&self.context, &self.request, target, reading, has_events).await;
        read.ok_or_else(|| {
            self.note_possible_run(&target.id);
            FailedAttempt::new(RefusalReason::EndpointFailed, unproved_detail(target))
        })
    }

    /// Records that the answer of `target` does not continue the stream.
    pub(super) fn note_unjoined(
        &mut self,
        target: &EndpointTarget,
        unjoined: UnjoinedEvent,
    ) -> FailedAttempt {
        self.note_possible_run(&target.id);
        let first = unjoined.id.map_or("-".to_string(), |id| id.to_string());
        request_log_line(&self.context, "answer_unjoined", &self.request)
            .with("run", &target.id)
            .with("last_event", unjoined.last_id)
            .with("first_event", first)
            .info();
        let detail = format!("the answer of `{}` does not continue the stream", target.id);
        FailedAttempt::new(RefusalReason::EndpointFailed, detail)
    }
}
