//! Requests on their way: from an arrival through attempts to an end.

use bluebell_core::{
    admission::{AdmissionAction, AdmissionRequest},
    clock::{ClockTime, TimeSpan},
    records::CapacityKind,
    retries::RetryDecision,
    routing::{RouteOutcome, RouteRequest},
    units::TokenCount,
};

use super::{LabRun, LateStep, RequestPhase, engine_id, engine_index, request_id, request_number};
use crate::{
    engine::{CACHED_PERCENT, EngineEvent, EngineJob},
    world::{RequestEnd, model_pool},
};

/// How long it takes to hand a KV cache over.
const HANDOVER: TimeSpan = TimeSpan::from_millis(40);
/// The longest mean time between tokens that a caller can read along with.
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(32);
/// Answers of fewer tokens are there at once.
const SHORT_ANSWER: u64 = 8;
/// How much a prefilled prompt counts for the measured share of cache hits.
const HIT_GAIN: f64 = 0.01;

impl LabRun<'_> {
    pub(super) fn arrive(&mut self, now: ClockTime, number: usize) {
        let request = self.requests[number].clone();
        let home = self.scenario.organisations[request.organisation].home;
        let domains = self.scenario.failure_domains.len();
        let live: Vec<usize> = (0..self.entries.len())
            .filter(|index| self.entries[*index].alive)
            .filter(|index| home.is_none_or(|domain| index % domains == domain))
            .collect();
        let entry = live[request.entry_draw % live.len()];
        self.states[number].entry = entry;
        let prompt = TokenCount::new(request.prompt);
        let cached = (request.prompt as f64 * self.cached_share * CACHED_PERCENT / 100.0) as u64;
        let max_output = TokenCount::new(request.max_output);
        let cached = TokenCount::new(cached);
        self.demand
            .note_arrival(now, &model_pool(), prompt, cached, max_output);
        let deadline = now + request.patience;
        let ask = AdmissionRequest {
            request: request_id(number),
            organisation: self.scenario.organisations[request.organisation]
                .organisation
                .clone(),
            pool: model_pool(),
            priority: request.priority,
            rank: 0,
            has_returned: false,
            deadline,
            prompt_tokens: prompt,
            max_output,
        };
        self.steps.insert((deadline, LateStep::Patience(number)));
        let organisation = ask.organisation.clone();
        let fake = &mut self.entries[entry];
        fake.budget.note_request(now, &organisation);
        let actions = fake.offer(now, ask);
        self.act(now, actions);
    }

    pub(super) fn act(&mut self, now: ClockTime, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start { request, .. } => {
                    self.send(now, request_number(&request));
                }
                AdmissionAction::Refuse { request, .. } => {
                    self.end(request_number(&request), RequestEnd::Refused);
                }
            }
        }
    }

    pub(super) fn send(&mut self, now: ClockTime, number: usize) {
        let request = &self.requests[number];
        let state = &mut self.states[number];
        let ask = RouteRequest {
            request: request_id(number),
            pool: model_pool(),
            prefix: Some(request.prefix),
            prompt_tokens: TokenCount::new(request.prompt),
            priority: request.priority,
            repeatable: true,
            preemptible: true,
            excluded: state.excluded.clone(),
        };
        state.attempts += 1;
        let Ok(choice) = self.entries[state.entry].choose(now, &ask) else {
            self.end(number, RequestEnd::Cut);
            self.leave_queue(now, number, 0);
            return;
        };
        let engine = engine_index(&choice.endpoint);
        let first = choice.prefill.as_ref().map_or(engine, engine_index);
        self.count_sent(now, first);
        self.states[number].phase = match first == engine {
            true => RequestPhase::Waiting { engine },
            false => RequestPhase::HandedOver {
                from: first,
                to: engine,
            },
        };
        if !self.engines[first].alive {
            self.fail(now, number, first);
            return;
        }
        let job = self.job(number, false, first != engine);
        self.engines[first].submit(job);
    }

    pub(super) fn count_sent(&mut self, now: ClockTime, engine: usize) {
        self.result.sent_all += 1;
        if self.scenario.engines[engine] == CapacityKind::Preemptible {
            self.result.sent_preemptible += 1;
        }
        let second = (now.as_millis() / 1_000) as usize;
        if let Some(count) = self.result.sent[engine].get_mut(second) {
            *count += 1;
        }
    }

    pub(super) fn job(&self, number: usize, imported: bool, prefill_only: bool) -> EngineJob {
        let request = &self.requests[number];
        EngineJob {
            number,
            prefix: request.prefix,
            priority: request.priority,
            prompt: request.prompt as f64,
            output: request.stays_for as f64,
            imported,
            prefill_only,
        }
    }

    /// An attempt failed at an engine: another follows if the budget allows.
    pub(super) fn fail(&mut self, now: ClockTime, number: usize, engine: usize) {
        let request = &self.requests[number];
        let state = &mut self.states[number];
        if state.phase == RequestPhase::Ended {
            return;
        }
        let answering = matches!(state.phase, RequestPhase::Answering { .. });
        let entry = &mut self.entries[state.entry];
        entry
            .router
            .finish(now, &request_id(number), RouteOutcome::Failed);
        state.excluded.push(engine_id(engine));
        state.phase = RequestPhase::Queued;
        let organisation = &self.scenario.organisations[request.organisation].organisation;
        match entry.budget.try_retry(now, organisation, state.attempts) {
            // What was delivered would be the prefix of the next attempt; here
            // an answer that was cut counts as cut.
            RetryDecision::Retry { after, .. } if !answering => {
                self.steps.insert((now + after, LateStep::Retry(number)));
            }
            _ => {
                self.end(number, RequestEnd::Cut);
                self.leave_queue(now, number, 0);
            }
        }
    }

    pub(super) fn leave_queue(&mut self, now: ClockTime, number: usize, delivered: u64) {
        let entry = self.states[number].entry;
        let actions = self.entries[entry].finish(now, &request_id(number), delivered);
        self.act(now, actions);
    }

    pub(super) fn end(&mut self, number: usize, end: RequestEnd) {
        let state = &mut self.states[number];
        if state.phase == RequestPhase::Ended {
            return;
        }
        state.phase = RequestPhase::Ended;
        let request = &self.requests[number];
        self.result.count(request.organisation, request.at, end);
    }

    pub(super) fn lose_patience(&mut self, now: ClockTime, number: usize) {
        let phase = self.states[number].phase.clone();
        match phase {
            RequestPhase::Ended | RequestPhase::Answering { .. } => return,
            RequestPhase::Queued => {
                let request = &self.requests[number];
                self.demand.note_queued_cancel(
                    now,
                    &model_pool(),
                    TokenCount::new(request.prompt),
                    TokenCount::new(request.max_output),
                );
            }
            RequestPhase::Waiting { engine } => self.engines[engine].cancel(number),
            RequestPhase::HandedOver { from, to } => {
                self.engines[from].cancel(number);
                self.engines[to].cancel(number);
            }
        }
        self.end(number, RequestEnd::Late);
        let entry = self.states[number].entry;
        let id = request_id(number);
        self.entries[entry]
            .router
            .finish(now, &id, RouteOutcome::Cancelled);
        self.leave_queue(now, number, 0);
    }

    pub(super) fn hand_over(&mut self, now: ClockTime, number: usize) {
        let RequestPhase::HandedOver { to, .. } = self.states[number].phase else {
            return;
        };
        if !self.engines[to].alive {
            self.fail(now, number, to);
            return;
        }
        self.states[number].phase = RequestPhase::Waiting { engine: to };
        let job = self.job(number, true, false);
        self.engines[to].submit(job);
    }

    pub(super) fn engine_event(&mut self, now: ClockTime, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken(number) => self.first_token(now, engine, number),
            EngineEvent::Filled { cached } => {
                let hit = f64::from(u8::from(cached));
                self.cached_share += (hit - self.cached_share) * HIT_GAIN;
            }
            EngineEvent::Prefilled(number) => {
                self.steps
                    .insert((now + HANDOVER, LateStep::Handover(number)));
            }
            EngineEvent::Done(number) => {
                let request = &self.requests[number];
                let (delivered, max_output) = (request.stays_for, request.max_output);
                let pool = model_pool();
                let (most, got) = (TokenCount::new(max_output), TokenCount::new(delivered));
                self.demand.note_end(&pool, most, got);
                let end = self.answer_end(now, number);
                self.end(number, end);
                let entry = self.states[number].entry;
                let id = request_id(number);
                self.entries[entry]
                    .router
                    .finish(now, &id, RouteOutcome::Answered);
                self.leave_queue(now, number, delivered);
            }
        }
    }

    pub(super) fn answer_end(&self, now: ClockTime, number: usize) -> RequestEnd {
        let tokens = self.requests[number].stays_for;
        let began = self.states[number].answered_at.unwrap_or(now);
        let reads_along = tokens < SHORT_ANSWER || now.since(began) <= TOKEN_TIME.times(tokens);
        match reads_along {
            true => RequestEnd::Served,
            false => RequestEnd::Slow,
        }
    }

    pub(super) fn first_token(&mut self, now: ClockTime, engine: usize, number: usize) {
        self.states[number].phase = RequestPhase::Answering { engine };
        self.states[number].answered_at = Some(now);
        let request = &self.requests[number];
        if request.patience < TimeSpan::from_secs(10) {
            let took = now.since(request.at).as_millis().max(1);
            self.result.first_token.saturating_record(took);
        }
        let entry = self.states[number].entry;
        let id = request_id(number);
        let actions = self.entries[entry].first_token(now, &id);
        self.act(now, actions);
    }
}
