//! Callers that take up streams, with and without naming them.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
};

use bluebell_adapter::headers;
use bluebell_core::{clock::TimeSpan, ids::InstanceId};
use bluebell_platform_standin::operator::OperatorKind;
use hyper::header::HeaderValue;
use rand::Rng;

use super::{
    LATE, PATIENCE_MS, SoakCaller,
    exchange::{ReadPace, ReceivedAnswer, RequestParts, connect, receive},
};
use crate::{
    fleet::{InstanceSlot, organisation_name},
    promises::{CallerOutcome, ProcessName, ReceivedEvents, SentRequest, TakenUpStream},
};

/// How many engines of a version have to serve for its streams to go on.
const SERVING_ENGINES: usize = 2;
/// The share of resumable streams whose request is that of the latest one of another caller.
const IDENTICAL: f64 = 0.05;
/// The share of unnamed streams that are taken up at the instance where they began.
const SAME_INSTANCE: f64 = 0.25;

/// How callers take up streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamNaming {
    /// They name the attempt that began the stream, and send another path.
    Named,
    /// They send the same request again, with the last event that they have.
    Unnamed,
}

/// The resumable streams for which several callers send the same request.
#[derive(Debug, Default)]
pub struct IdenticalRequests {
    /// The caller of the latest stream, and its request.
    latest: Option<(usize, RequestParts)>,
    names: BTreeSet<String>,
    count: u64,
}

impl IdenticalRequests {
    /// How many requests were those of other callers.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The latest request of a caller other than `number`.
    fn repeat_latest(&mut self, number: usize) -> Option<RequestParts> {
        let (_, parts) = self.latest.as_ref().filter(|(other, _)| *other != number)?;
        self.count += 1;
        self.names.insert(parts.name.clone());
        Some(parts.clone())
    }
}

/// A stream that an attempt began.
pub(super) struct BegunStream {
    pub attempt: String,
    pub parts: RequestParts,
    /// Where it began.
    pub instance: InstanceId,
}

impl SoakCaller {
    /// The request to send: at times, of a stream that may be taken up without its name, that of
    /// another caller.
    pub(super) fn draw_identical(&mut self, own_parts: RequestParts) -> RequestParts {
        let is_unnamed = self.taking_up == Some(StreamNaming::Unnamed);
        if !is_unnamed || own_parts.kind != OperatorKind::Resumable || own_parts.is_crashing {
            return own_parts;
        }
        let repeats = self.unnamed_random.random_bool(IDENTICAL);
        let mut identical = self.fleet.identical.lock().expect("held briefly");
        if repeats && let Some(parts) = identical.repeat_latest(self.number) {
            return parts;
        }
        identical.latest = Some((self.number, own_parts.clone()));
        own_parts
    }

    /// Takes up a stream that has broken after its first events, at an instance that the
    /// balancer picks anew or, at times, at the one where it began.
    pub(super) async fn take_up(
        &mut self,
        naming: StreamNaming,
        begun: BegunStream,
        outcome: &CallerOutcome,
    ) {
        let stream = &begun.attempt;
        let CallerOutcome::Stream {
            body,
            is_ended: false,
            ..
        } = outcome
        else {
            return;
        };
        let Ok(events) = ReceivedEvents::read(stream, body, 0, false) else {
            return;
        };
        let Some(version) = events.versions.first() else {
            return;
        };
        let fleet = Arc::clone(&self.fleet);
        let slot = self.draw_slot(&fleet.instances, naming, &begun.instance);
        let start = slot.starts.load(Ordering::SeqCst);
        let Some(mut sender) = connect(slot).await else {
            return;
        };
        let attempt = format!("{stream}-again");
        let parts = match naming {
            StreamNaming::Unnamed => begun.parts,
            StreamNaming::Named => RequestParts {
                name: attempt.clone(),
                is_crashing: false,
                ..begun.parts
            },
        };
        fleet.checker.sent(SentRequest {
            attempt: attempt.clone(),
            process: ProcessName {
                instance: slot.name.clone(),
                start,
            },
            prefix: parts.prefix.to_string(),
            kind: parts.kind,
            organisation: organisation_name(parts.organisation),
            is_first: true,
            takes_up: Some(TakenUpStream {
                stream: stream.clone(),
                last: events.last,
                version: version.clone(),
                is_owed: self.is_owed(&parts, version),
            }),
        });
        let mut request = parts.build(&attempt, PATIENCE_MS.0);
        let request_headers = request.headers_mut();
        request_headers.insert(headers::LAST_EVENT_ID, HeaderValue::from(events.last));
        if naming == StreamNaming::Named
            && let Ok(stream) = HeaderValue::from_str(stream)
        {
            request_headers.insert(headers::RESUMES, stream);
        }
        let patience = TimeSpan::from_millis(PATIENCE_MS.0) + LATE;
        let answering = receive(&mut sender, request, ReadPace::default());
        let answer = tokio::time::timeout(patience.as_duration(), answering).await;
        let answer =
            answer.unwrap_or_else(|_| ReceivedAnswer::with_outcome(CallerOutcome::Nothing));
        fleet.checker.got(&attempt, &answer.outcome);
    }

    /// Where a stream is taken up that began at `instance`.
    fn draw_slot<'a>(
        &mut self,
        slots: &'a [InstanceSlot],
        naming: StreamNaming,
        instance: &InstanceId,
    ) -> &'a InstanceSlot {
        let fleet = Arc::clone(&self.fleet);
        let picked = fleet.rotation.pick(slots, &self.domain, &mut self.random);
        let returns =
            naming == StreamNaming::Unnamed && self.unnamed_random.random_bool(SAME_INSTANCE);
        let begun = slots.iter().find(|slot| returns && slot.name == *instance);
        begun.unwrap_or(picked)
    }

    /// Whether a stream of a version has to go on. Of several streams with the same request it isn't
    /// known which one is meant.
    fn is_owed(&self, parts: &RequestParts, version: &str) -> bool {
        let is_identical = {
            let identical = self.fleet.identical.lock().expect("held briefly");
            identical.names.contains(&parts.name)
        };
        !is_identical && self.fleet.serving(version) >= SERVING_ENGINES
    }
}
