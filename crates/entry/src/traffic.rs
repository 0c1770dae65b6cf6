//! Who may start now and where it goes: admission, routing and retry budgets.
//!
//! The decisions are those of the slices in `bluebell-core`; this module feeds
//! them (endpoint list, marks, load reports, peers), and carries their answers to
//! the runs that wait. Tickets give back what was taken when they are dropped,
//! so a run that ends in any way leaves nothing behind.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use bluebell_core::{
    admission::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, OrganisationLimits, PoolStatus,
        RefuseReason,
    },
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, OrganisationId, RequestId},
    retries::{RetryBudget, RetryDecision},
    roles::{DemandEstimator, PoolDemand},
    routing::{
        EndpointSnapshot, NoRoute, RequestRouter, RouteChoice, RouteOutcome, RoutePool,
        RouteRequest,
    },
    units::TokenCount,
};
use tokio::sync::oneshot;

use crate::settings::TrafficSettings;

/// Why work may not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRefusal {
    /// Why.
    pub reason: RefuseReason,
    /// When to come back.
    pub retry_after: TimeSpan,
}

type StartAnswer = Result<String, StartRefusal>;

/// The state of the slices.
pub(crate) struct TrafficState {
    pub router: RequestRouter,
    pub queue: AdmissionQueue,
    budget: RetryBudget,
    demand: DemandEstimator,
    waiting: BTreeMap<RequestId, oneshot::Sender<StartAnswer>>,
    /// The cost served by this entry since its start, for its peers.
    pub served: BTreeMap<OrganisationId, u64>,
}

impl TrafficState {
    /// Tells those who wait what was decided.
    pub fn carry_out(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (request, answer) = match action {
                AdmissionAction::Start { request, reason } => (request, Ok(reason)),
                AdmissionAction::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    let refusal = StartRefusal {
                        reason,
                        retry_after,
                    };
                    (request, Err(refusal))
                }
            };
            if let Some(waiting) = self.waiting.remove(&request) {
                // One who has gone gives its place back by dropping its ticket.
                let _ = waiting.send(answer);
            }
        }
    }
}

/// Admission, routing and retry budgets of one entry.
pub struct TrafficControl {
    clock: ClockSource,
    state: Mutex<TrafficState>,
}

/// How far work came, for the estimate of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkStage {
    Queued,
    Refused,
    Started,
}

/// Work that started, until it is dropped.
pub struct WorkTicket {
    traffic: Arc<TrafficControl>,
    request: RequestId,
    pool: RoutePool,
    prompt: TokenCount,
    max_output: TokenCount,
    stage: WorkStage,
    delivered: u64,
    /// Why it started when it did.
    pub reason: String,
}

impl WorkTicket {
    /// Notes how many output tokens were delivered so far.
    pub fn note_delivered(&mut self, tokens: u64) {
        self.delivered = tokens;
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        let delivered = TokenCount::new(self.delivered);
        let mut state = self.traffic.lock();
        state.waiting.remove(&self.request);
        match self.stage {
            WorkStage::Queued => {
                let demand = &mut state.demand;
                demand.note_queued_cancel(now, &self.pool, self.prompt, self.max_output);
            }
            WorkStage::Started => {
                let demand = &mut state.demand;
                demand.note_end(&self.pool, self.max_output, delivered);
            }
            WorkStage::Refused => {}
        }
        let actions = state.queue.finish(now, &self.request, delivered);
        state.carry_out(actions);
    }
}

/// An attempt's place at an endpoint, until it is dropped.
pub struct RouteTicket {
    traffic: Arc<TrafficControl>,
    request: RequestId,
    outcome: RouteOutcome,
}

impl RouteTicket {
    /// Says how the attempt ended; without this it counts as cancelled.
    pub fn set_outcome(mut self, outcome: RouteOutcome) {
        self.outcome = outcome;
    }

    /// Notes that the first token came.
    pub fn note_first_token(&self) {
        let now = self.traffic.clock.now();
        let mut state = self.traffic.lock();
        state.router.note_first_token(now, &self.request);
    }
}

impl Drop for RouteTicket {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        let mut state = self.traffic.lock();
        let left_alone = state.router.finish(now, &self.request, self.outcome);
        if let Some(reason) = left_alone {
            bluebell_daemon::logs::LogLine::new("endpoint_left_alone")
                .with("reason", reason)
                .warn();
        }
    }
}

impl TrafficControl {
    /// Control of an entry in `failure_domain`, which draws from `seed`.
    pub fn new(
        settings: &TrafficSettings,
        failure_domain: FailureDomain,
        clock: ClockSource,
        seed: u64,
    ) -> TrafficControl {
        let router = RequestRouter::new(settings.routing.clone(), failure_domain);
        let state = TrafficState {
            router: router.with_seed(seed),
            queue: AdmissionQueue::new(settings.admission.clone()).with_seed(seed),
            budget: RetryBudget::new(settings.retries).with_seed(seed),
            demand: DemandEstimator::new(),
            waiting: BTreeMap::new(),
            served: BTreeMap::new(),
        };
        TrafficControl {
            clock,
            state: Mutex::new(state),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock().expect("no holder panics")
    }

    /// Waits until the work may start, or is refused. Dropping the wait takes the
    /// work out of the queue.
    pub async fn admit(
        self: &Arc<Self>,
        ask: AdmissionRequest,
        limits: OrganisationLimits,
    ) -> Result<WorkTicket, StartRefusal> {
        let (sender, answer) = oneshot::channel();
        let mut ticket = WorkTicket {
            traffic: self.clone(),
            request: ask.request.clone(),
            pool: ask.pool.clone(),
            prompt: ask.prompt_tokens,
            max_output: ask.max_output,
            stage: WorkStage::Queued,
            delivered: 0,
            reason: String::new(),
        };
        {
            let now = self.clock.now();
            let mut state = self.lock();
            state.demand.note_arrival(
                now,
                &ask.pool,
                ask.prompt_tokens,
                TokenCount::ZERO,
                ask.max_output,
            );
            state.queue.set_limits(ask.organisation.clone(), limits);
            state.waiting.insert(ask.request.clone(), sender);
            let actions = state.queue.offer(now, ask);
            state.carry_out(actions);
        }
        let lost = |_| StartRefusal {
            reason: RefuseReason::NoCapacity,
            retry_after: TimeSpan::from_secs(1),
        };
        let answer = answer.await.map_err(lost).flatten();
        ticket.stage = match answer.is_ok() {
            true => WorkStage::Started,
            false => WorkStage::Refused,
        };
        ticket.reason = answer?;
        Ok(ticket)
    }

    /// Chooses an endpoint for an attempt.
    pub fn route(
        self: &Arc<Self>,
        ask: &RouteRequest,
    ) -> Result<(RouteChoice, RouteTicket), NoRoute> {
        let choice = self.lock().router.choose(self.clock.now(), ask)?;
        let ticket = RouteTicket {
            traffic: self.clone(),
            request: ask.request.clone(),
            outcome: RouteOutcome::Cancelled,
        };
        Ok((choice, ticket))
    }

    /// Notes a request's first attempt, which pays for a part of a retry.
    pub fn note_request(&self, organisation: &OrganisationId) {
        let now = self.clock.now();
        self.lock().budget.note_request(now, organisation);
    }

    /// Whether a request whose attempt number `failed` brought nothing may try again.
    pub fn try_retry(&self, organisation: &OrganisationId, failed: u32) -> RetryDecision {
        let now = self.clock.now();
        self.lock().budget.try_retry(now, organisation, failed)
    }

    /// Lets time pass.
    pub fn advance(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let actions = state.queue.advance(now);
        state.carry_out(actions);
    }

    /// What is asked for here, by pool.
    pub fn demands(&self) -> Vec<PoolDemand> {
        self.lock().demand.demands(self.clock.now())
    }

    /// The pools' state, for the dump.
    pub fn status(&self) -> Vec<PoolStatus> {
        self.lock().queue.status()
    }

    /// The endpoints as the router sees them, for the dump.
    pub fn routes(&self) -> Vec<EndpointSnapshot> {
        let now = self.clock.now();
        let state = self.lock();
        let pools = state.queue.status().into_iter();
        let snapshots = pools.flat_map(|status| state.router.snapshots(now, &status.pool));
        snapshots.collect()
    }
}
