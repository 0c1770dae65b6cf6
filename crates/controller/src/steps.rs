//! Carrying out the steps of orders and changes.

use bluebell_core::{
    draining::DrainState,
    orders::{ChangeRun, ChangeStep, OrderRun, OrderStep},
    records::{DutyName, LogRecord, OrderBody, OrderOutcome, OutcomeRecord},
};

use crate::{context::DutyContext, receivers};

/// The most steps of one order in one pass.
const STEP_LIMIT: usize = 12;

/// What became of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// The next step can be taken.
    Again,
    /// Nothing more in this pass.
    Pause,
    /// Nothing more from this process.
    Ended,
}

/// Carries an order on as far as it goes now; answers whether it has ended here.
pub async fn drive_order(context: &DutyContext, duty: &DutyName, run: &mut OrderRun) -> bool {
    for _ in 0..STEP_LIMIT {
        let grant = context.desk.grant(duty);
        let now = context.now();
        let step = context
            .node
            .with_view(|view| run.next_step(now, grant.as_ref(), &view.orders));
        match order_step(context, duty, run, step).await {
            StepResult::Again => {}
            StepResult::Pause => return false,
            StepResult::Ended => return true,
        }
    }
    false
}

/// Carries a change on as far as it goes now; answers whether it has ended here.
pub async fn drive_change(context: &DutyContext, duty: &DutyName, change: &mut ChangeRun) -> bool {
    for _ in 0..STEP_LIMIT {
        let grant = context.desk.grant(duty);
        let now = context.now();
        let step = context.node.with_view(|view| {
            change.next_step(now, grant.as_ref(), &view.drain_marks, &view.orders)
        });
        match change_step(context, duty, change, step).await {
            StepResult::Again => {}
            StepResult::Pause => return false,
            StepResult::Ended => return true,
        }
    }
    false
}

async fn change_step(
    context: &DutyContext,
    duty: &DutyName,
    change: &mut ChangeRun,
    step: ChangeStep,
) -> StepResult {
    match step {
        ChangeStep::Mark(mark) => {
            let subjects = [mark.endpoint.to_string(), change.run().order().to_string()];
            let reason = "a change follows once it is empty";
            context.decide(duty, &subjects, "endpoint marked leaving", reason);
            match context.append(LogRecord::Mark(mark)).await {
                Some(_) => StepResult::Again,
                None => StepResult::Pause,
            }
        }
        ChangeStep::PollProgress => ask_around(context, change).await,
        ChangeStep::Order(step) => order_step(context, duty, change.run_mut(), step).await,
        ChangeStep::Wait(_) => StepResult::Pause,
        ChangeStep::Stop(_) => StepResult::Ended,
    }
}

async fn ask_around(context: &DutyContext, change: &mut ChangeRun) -> StepResult {
    let now = context.now();
    change.note_entries(now, &context.list.entries());
    if let Some(work) = context.outstanding(change.endpoint()).await {
        change.note_endpoint(work.heard_at, work.requests);
    }
    match change.drain_state() {
        Some(DrainState::Empty) => StepResult::Again,
        _ => StepResult::Pause,
    }
}

async fn order_step(
    context: &DutyContext,
    duty: &DutyName,
    run: &mut OrderRun,
    step: OrderStep,
) -> StepResult {
    match step {
        OrderStep::Intend(intent) => {
            let intended = context.append(LogRecord::Intent(intent)).await;
            if intended.is_none() {
                return StepResult::Pause;
            }
            run.note_intent();
            StepResult::Again
        }
        OrderStep::Observe => {
            let view = receivers::observe(context, run.body()).await;
            run.note_observation(context.now(), &view);
            StepResult::Again
        }
        OrderStep::Send => send(context, duty, run).await,
        OrderStep::Settle { record, reason } => settle(context, duty, run, record, reason).await,
        OrderStep::Wait(_) => StepResult::Pause,
        OrderStep::Stop(_) => StepResult::Ended,
    }
}

async fn send(context: &DutyContext, duty: &DutyName, run: &mut OrderRun) -> StepResult {
    // The clock is looked at last. A process that is frozen before this line
    // finds here that its authority has ended; one that is frozen between this
    // line and the socket is what fencing numbers and the quiet time are for.
    let timeout = context.settings.orders.timeout;
    let grant = context.desk.grant(duty);
    let Some(grant) = grant.filter(|grant| grant.covers(context.now(), timeout)) else {
        return StepResult::Pause;
    };
    let answer = receivers::send(context, run.order(), grant.fence, run.body()).await;
    run.note_answer(context.now(), answer);
    let subjects = order_subjects(run);
    let reason = format!("its intent stands in the log under fence {}", grant.fence);
    context.decide(duty, &subjects, &format!("order sent: {answer:?}"), &reason);
    StepResult::Again
}

async fn settle(
    context: &DutyContext,
    duty: &DutyName,
    run: &OrderRun,
    record: OutcomeRecord,
    reason: &str,
) -> StepResult {
    let outcome = record.outcome;
    if context.append(LogRecord::Outcome(record)).await.is_none() {
        return StepResult::Pause;
    }
    let outcome = match outcome {
        OrderOutcome::Applied => "applied",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Abandoned => "abandoned",
    };
    let labels = [order_kind(run.body()), outcome];
    context.metrics.orders.with_label_values(&labels).inc();
    let decision = format!("order settled as {outcome}");
    context.decide(duty, &order_subjects(run), &decision, reason);
    StepResult::Again
}

fn order_subjects(run: &OrderRun) -> Vec<String> {
    let order = run.order().to_string();
    match run.body() {
        OrderBody::SetRole { endpoint, .. }
        | OrderBody::LoadModel { endpoint, .. }
        | OrderBody::StopEndpoint { endpoint } => vec![order, endpoint.to_string()],
        OrderBody::StartEndpoint { failure_domain, .. } => {
            vec![order, failure_domain.to_string()]
        }
        OrderBody::ReportUsage { window } => vec![order, format!("window:{window}")],
    }
}

fn order_kind(body: &OrderBody) -> &'static str {
    match body {
        OrderBody::SetRole { .. } => "set_role",
        OrderBody::LoadModel { .. } => "load_model",
        OrderBody::StartEndpoint { .. } => "start_endpoint",
        OrderBody::StopEndpoint { .. } => "stop_endpoint",
        OrderBody::ReportUsage { .. } => "report_usage",
    }
}
