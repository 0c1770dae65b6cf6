//! What a failed call of a request says about the engine.

use bluebell_core::{ids::EndpointId, placement::EndpointTarget};

use crate::forward::{
    attempt::Withheld,
    broken_runs::{self, AnswerProgress},
    endpoint_changes,
    failed_attempt::FailedAttempt,
    generate::GenerationRun,
};

impl GenerationRun {
    /// Records that the connection to `target` broke while the request ran there.
    pub(super) async fn note_lost_run(
        &mut self,
        target: &EndpointTarget,
        progress: AnswerProgress,
    ) {
        self.note_possible_run(&target.id);
        broken_runs::note_lost_run(&self.context, &self.request, target, progress).await;
    }

    /// Records that the request may have run on `engine` and that its answer is lost.
    pub(super) fn note_possible_run(&mut self, engine: &EndpointId) {
        self.possible_runs += 1;
        match self.backup {
            Some(_) => self.attempts.run_interrupted(),
            None => self.attempts.connection_lost(),
        }
        self.attempted.push(engine.clone());
        let now = self.context.now();
        self.context.engines.lock().failed(now, engine);
    }

    /// Records that `engine` ended a stream that its caller had not read for long. The
    /// engine did not fail, and stays selectable for other requests.
    pub(super) fn note_unread_run(&mut self, engine: &EndpointId) {
        self.possible_runs += 1;
        self.attempts.connection_lost();
        self.attempted.push(engine.clone());
    }

    pub(super) fn note_refused(&mut self, target: &EndpointTarget, status: u16, is_replaced: bool) {
        self.attempted.push(target.id.clone());
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        match status {
            421 if is_replaced => {
                engines.remove_engine(&target.id);
                drop(engines);
                endpoint_changes::note_replaced(&self.context, &target.id);
            }
            421 => engines.note_wrong_stage(&target.id),
            _ => engines.refused(now, &target.id),
        }
    }

    /// Records that the request was not sent to `target`, which has not failed.
    pub(super) fn note_withheld(
        &mut self,
        target: &EndpointTarget,
        reason: Withheld,
    ) -> FailedAttempt {
        self.attempted.push(target.id.clone());
        FailedAttempt::withheld(reason)
    }

    /// Records that no connection to the engine could be opened. The engine is excluded
    /// from selection for a while, also by the other entries: this entry reports it as
    /// one that refuses requests.
    pub(super) fn note_unreachable(&mut self, target: &EndpointTarget) {
        self.note_failed(target);
        let now = self.context.now();
        self.context.engines.lock().refused(now, &target.id);
    }

    pub(super) fn note_failed(&mut self, target: &EndpointTarget) {
        self.attempted.push(target.id.clone());
        let now = self.context.now();
        let ejected = self.context.engines.lock().failed(now, &target.id);
        if let Some(span) = ejected {
            bluebell_daemon::logs::LogLine::new("endpoint_ejected")
                .with("endpoint", &target.id)
                .with("for", span)
                .info();
        }
    }
}
