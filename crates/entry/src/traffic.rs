//! Admission, routing and retry budgets of an entry.
//!
//! The decisions are made by modules of `bluebell-core`; this module holds their
//! state and sends their answers to the waiting runs, and `traffic_feed` supplies
//! their inputs (endpoint list, drain marks, load reports, peers). Dropping a ticket
//! releases what it reserved, so nothing stays reserved however a run ends.

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

/// The refusal of work by admission control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRefusal {
    /// Why the work was refused.
    pub reason: RefuseReason,
    /// The delay after which a retry may succeed.
    pub retry_after: TimeSpan,
}

type AdmissionAnswer = Result<String, StartRefusal>;

/// The state of admission, routing, retry budgets and demand estimation.
pub(crate) struct TrafficState {
    pub router: RequestRouter,
    pub queue: AdmissionQueue,
    budget: RetryBudget,
    demand: DemandEstimator,
    waiting: BTreeMap<RequestId, oneshot::Sender<AdmissionAnswer>>,
    /// The cost served by this entry since its start, for the report to its peers.
    pub served: BTreeMap<OrganisationId, u64>,
}

impl TrafficState {
    /// Sends admission decisions to the waiting runs.
    pub fn send_answers(&mut self, actions: Vec<AdmissionAction>) {
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
                // A cancelled run releases its place by dropping its ticket.
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

/// The progress of work, for the demand estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkStage {
    Queued,
    Refused,
    Started,
}

/// Queued or started work; dropping it removes the work from admission control.
pub struct WorkTicket {
    traffic: Arc<TrafficControl>,
    request: RequestId,
    pool: RoutePool,
    prompt: TokenCount,
    max_output: TokenCount,
    stage: WorkStage,
    delivered: u64,
    /// Why the work was started.
    pub reason: String,
}

impl WorkTicket {
    /// Sets the number of output tokens delivered so far.
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
        state.send_answers(actions);
    }
}

/// An attempt's registration with the router; dropping it reports the outcome.
pub struct RouteTicket {
    traffic: Arc<TrafficControl>,
    request: RequestId,
    outcome: RouteOutcome,
}

impl RouteTicket {
    /// Sets the attempt's outcome; without this call it counts as cancelled.
    pub fn set_outcome(mut self, outcome: RouteOutcome) {
        self.outcome = outcome;
    }

    /// Reports that the first token has arrived.
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
        let ejected = state.router.finish(now, &self.request, self.outcome);
        if let Some(reason) = ejected {
            bluebell_daemon::logs::LogLine::new("endpoint_left_alone")
                .with("reason", reason)
                .warn();
        }
    }
}

impl TrafficControl {
    /// Creates the state of an entry in `failure_domain`; random choices are drawn from
    /// `seed`.
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

    /// Waits until the work may start. Dropping the future removes the work from the
    /// queue.
    ///
    /// # Errors
    ///
    /// Fails when admission control refuses the work.
    pub async fn admit(
        self: &Arc<Self>,
        admission: AdmissionRequest,
        limits: OrganisationLimits,
    ) -> Result<WorkTicket, StartRefusal> {
        let (sender, answer) = oneshot::channel();
        let mut ticket = WorkTicket {
            traffic: self.clone(),
            request: admission.request.clone(),
            pool: admission.pool.clone(),
            prompt: admission.prompt_tokens,
            max_output: admission.max_output,
            stage: WorkStage::Queued,
            delivered: 0,
            reason: String::new(),
        };
        {
            let now = self.clock.now();
            let mut state = self.lock();
            state.demand.note_arrival(
                now,
                &admission.pool,
                admission.prompt_tokens,
                TokenCount::ZERO,
                admission.max_output,
            );
            state
                .queue
                .set_limits(admission.organisation.clone(), limits);
            state.waiting.insert(admission.request.clone(), sender);
            let actions = state.queue.offer(now, admission);
            state.send_answers(actions);
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
    ///
    /// # Errors
    ///
    /// Fails when no endpoint of the pool accepts the work.
    pub fn route(
        self: &Arc<Self>,
        route_request: &RouteRequest,
    ) -> Result<(RouteChoice, RouteTicket), NoRoute> {
        let choice = self.lock().router.choose(self.clock.now(), route_request)?;
        let ticket = RouteTicket {
            traffic: self.clone(),
            request: route_request.request.clone(),
            outcome: RouteOutcome::Cancelled,
        };
        Ok((choice, ticket))
    }

    /// Notes a request's first attempt, which adds a fraction of a retry to the budget.
    pub fn note_request(&self, organisation: &OrganisationId) {
        let now = self.clock.now();
        self.lock().budget.note_request(now, organisation);
    }

    /// Decides whether a request may be retried after its attempt number `failed` was
    /// lost.
    pub fn try_retry(&self, organisation: &OrganisationId, failed: u32) -> RetryDecision {
        let now = self.clock.now();
        self.lock().budget.try_retry(now, organisation, failed)
    }

    /// Applies the passage of time to the queue: sends the decisions that are due.
    pub fn advance(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let actions = state.queue.advance(now);
        state.send_answers(actions);
    }

    /// The demand at this entry, by pool.
    pub fn demands(&self) -> Vec<PoolDemand> {
        self.lock().demand.demands(self.clock.now())
    }

    /// The state of the pools' queues, for `/dump`.
    pub fn status(&self) -> Vec<PoolStatus> {
        self.lock().queue.status()
    }

    /// The router's state of the endpoints, for `/dump`.
    pub fn routes(&self) -> Vec<EndpointSnapshot> {
        let now = self.clock.now();
        let state = self.lock();
        let pools = state.queue.status().into_iter();
        let snapshots = pools.flat_map(|status| state.router.snapshots(now, &status.pool));
        snapshots.collect()
    }
}
