//! Answers of engines that run requests, up to their first events.

use bluebell_core::placement::{EndpointTarget, PrefillPlan};

use crate::{
    forward::{
        answer::{CompleteAnswer, MAX_ANSWER_BYTES, is_event_stream},
        answer_end::AnswerEnd,
        attempt::{self, EndpointAnswer},
        broken_runs::AnswerProgress,
        crashes,
        events::{EventReader, NextEvents},
        failed_attempt::FailedAttempt,
        generate::{AttemptOutcome, GenerationRun},
        guards::{PrefillGuard, RunGuard},
        request_log_line, resume, software,
        stream::{RunningStream, StreamPosition},
    },
    frontend::RefusalReason,
};

impl GenerationRun {
    /// Reads an answer up to its first events, or a complete one that is no stream.
    pub(super) async fn read_answer(
        &mut self,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        answer: EndpointAnswer,
        guard: RunGuard,
        prefill: Option<PrefillGuard>,
    ) -> Result<AttemptOutcome, FailedAttempt> {
        if !attempt::is_signed(answer.response.headers()) {
            self.note_possible_run(&target.id);
            let detail = format!(
                "answer with status {} is not signed",
                answer.response.status()
            );
            return Err(FailedAttempt::new(RefusalReason::EndpointFailed, detail));
        }
        if !is_event_stream(answer.response.headers()) {
            let remaining = self.request.time_left(self.context.now());
            let complete = CompleteAnswer::read(
                &self.context,
                &self.request,
                target,
                answer,
                MAX_ANSWER_BYTES,
                remaining,
            );
            let complete = complete.await;
            let Some(complete) = complete else {
                self.note_lost_run(target, AnswerProgress::Head).await;
                let detail = "the answer is incomplete";
                return Err(FailedAttempt::new(RefusalReason::EndpointFailed, detail));
            };
            if !complete.is_failure() {
                crashes::note_completed(&self.context, &self.request);
            }
            if complete.status.is_success() {
                crashes::note_answered(&self.context, &self.request);
            }
            self.meter();
            self.attempts.end();
            return Ok(AttemptOutcome::Complete(complete));
        }
        let (head, body) = answer.response.into_parts();
        let end = AnswerEnd::new(&head.headers, &body, answer.sent);
        let mut events = EventReader::new(body, self.order);
        let read = self.read_first(target, &mut events).await?;
        if let Some(unjoined) = events.unjoined() {
            return Err(self.note_unjoined(target, unjoined));
        }
        let (first_events, is_complete) = match read {
            NextEvents::Events { bytes } => (bytes, false),
            NextEvents::End if end.is_marked() => (bytes::Bytes::new(), true),
            NextEvents::TimedOut => {
                self.note_possible_run(&target.id);
                return Err(FailedAttempt::new(
                    RefusalReason::TimedOut,
                    "no event before the deadline",
                ));
            }
            // An answer without an event that ends with its connection was broken off.
            NextEvents::End | NextEvents::Broken => {
                self.note_lost_run(target, AnswerProgress::Head).await;
                let detail = "the stream broke before its first event";
                return Err(FailedAttempt::new(RefusalReason::EndpointFailed, detail));
            }
        };
        if let Some(prefill) = prefill {
            prefill.finish();
        }
        if !first_events.is_empty() {
            self.begun = resume::note_begun(&self.context, &self.request, target, self.begun);
        }
        self.meter();
        let now = self.context.now();
        request_log_line(&self.context, "first_event", &self.request)
            .with("prefill", &plan.engine.id)
            .with("run", &target.id)
            .with("software", software(&self.context, &target.id))
            .with("held", plan.held_tokens)
            .with("prompt", self.work.prompt)
            .with("expected", plan.first_token)
            .with("asked", self.calls)
            .info();
        let elapsed = now.since(self.request.arrived).as_millis() as f64 / 1_000.0;
        let latency = &self.context.metrics.latency;
        latency.with_label_values(&["model"]).observe(elapsed);
        let first_position = StreamPosition {
            at: now,
            last_id: events.last_id().unwrap_or_default(),
        };
        let memory = &self.context.memory;
        Ok(AttemptOutcome::Streaming(Box::new(RunningStream {
            memory: memory.start_answer(self.request.answered_caller()),
            head,
            events,
            first_position,
            last_event_at: now,
            has_events: !first_events.is_empty(),
            first_events: Some(first_events),
            end,
            is_complete,
            connection: Some(answer.connection),
            target: target.clone(),
            _guard: guard,
        })))
    }
}
