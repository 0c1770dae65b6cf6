//! Claims of idempotency keys and their settlements, batched into appends.
//!
//! The log takes several hundred appends a second for everybody, far fewer than
//! there may be charges. All claims that arrive while an append is under way
//! therefore go into the next one together.

use std::sync::Arc;

use bluebell_core::{
    clock::TimeSpan,
    ids::LogOffset,
    records::{
        ClaimBatch, ClaimSettlement, IdempotencyClaim, LogRecord, SettledResult, SettlementBatch,
    },
};
use bluebell_daemon::logs::LogLine;
use bluebell_node::{AppendError, NodeHandle};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// The most claims or settlements of one append.
const BATCH_LIMIT: usize = 200;

/// How many claims may wait.
const CLAIM_BACKLOG: usize = 4_096;

/// The pause before settlements that were not recorded are tried again.
const SETTLE_PAUSE: TimeSpan = TimeSpan::from_millis(200);

/// A claim that waits for the log.
#[derive(Debug)]
struct ClaimJob {
    claim: IdempotencyClaim,
    reply: oneshot::Sender<Result<LogOffset, AppendError>>,
}

/// The way to the batches; clones share it.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    claims: mpsc::Sender<ClaimJob>,
    settlements: mpsc::UnboundedSender<ClaimSettlement>,
    unrecorded: Arc<watch::Sender<usize>>,
}

/// The ends that the batching tasks hold.
#[derive(Debug)]
pub struct ClaimQueues {
    claims: mpsc::Receiver<ClaimJob>,
    settlements: mpsc::UnboundedReceiver<ClaimSettlement>,
}

impl ClaimBatcher {
    /// A batcher and the queues to run it with.
    pub fn new() -> (ClaimBatcher, ClaimQueues) {
        let (claims, claim_queue) = mpsc::channel(CLAIM_BACKLOG);
        let (settlements, settlement_queue) = mpsc::unbounded_channel();
        let batcher = ClaimBatcher {
            claims,
            settlements,
            unrecorded: Arc::new(watch::Sender::new(0)),
        };
        let queues = ClaimQueues {
            claims: claim_queue,
            settlements: settlement_queue,
        };
        (batcher, queues)
    }

    /// Claims a key and answers where the claim stands. An error other than
    /// [`AppendError::NotAppended`] means that it may stand; nothing may be sent
    /// after any error.
    pub async fn claim(&self, claim: IdempotencyClaim) -> Result<LogOffset, AppendError> {
        let (reply, answer) = oneshot::channel();
        let full = |_| AppendError::NotAppended("too many claims wait".to_string());
        self.claims
            .try_send(ClaimJob { claim, reply })
            .map_err(full)?;
        let lost = |_| AppendError::Unknown("the batch was lost".to_string());
        answer.await.map_err(lost)?
    }

    /// Records what became of a claimed action, as soon as the log takes it.
    pub fn settle(&self, claim: &IdempotencyClaim, result: SettledResult) {
        self.unrecorded.send_modify(|count| *count += 1);
        let _ = self.settlements.send(settlement(claim, result));
    }

    /// Waits until all settlements are recorded, at most for `limit`.
    pub async fn flush(&self, limit: TimeSpan) {
        let mut unrecorded = self.unrecorded.subscribe();
        let flushed = unrecorded.wait_for(|count| *count == 0);
        let _ = tokio::time::timeout(limit.as_duration(), flushed).await;
    }
}

fn settlement(claim: &IdempotencyClaim, result: SettledResult) -> ClaimSettlement {
    ClaimSettlement {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        request: claim.request.clone(),
        result,
    }
}

impl ClaimQueues {
    /// Starts the tasks that append; they end when `token` is cancelled.
    pub fn spawn(self, node: &NodeHandle, batcher: ClaimBatcher, token: &CancellationToken) {
        let node = Arc::new(node.clone());
        tokio::spawn(append_claims(
            node.clone(),
            self.claims,
            batcher.clone(),
            token.clone(),
        ));
        let unrecorded = batcher.unrecorded;
        tokio::spawn(append_settlements(
            node,
            self.settlements,
            unrecorded,
            token.clone(),
        ));
    }
}

async fn append_claims(
    node: Arc<NodeHandle>,
    mut queue: mpsc::Receiver<ClaimJob>,
    batcher: ClaimBatcher,
    token: CancellationToken,
) {
    loop {
        let mut jobs = Vec::new();
        tokio::select! {
            () = token.cancelled() => return,
            _ = queue.recv_many(&mut jobs, BATCH_LIMIT) => {}
        }
        if jobs.is_empty() {
            return;
        }
        let claims = jobs.iter().map(|job| job.claim.clone()).collect();
        let result = node.append(LogRecord::Claims(ClaimBatch { claims })).await;
        for job in jobs {
            answer_claim(&batcher, job, &result);
        }
    }
}

/// Tells the run of its claim. If the run gave up meanwhile, its own settlement
/// may have overtaken the claim and settled nothing; a repeat would then be told
/// "unknown" for good although nothing was sent. So the claim is settled here once
/// more. This settlement can't overtake it: one process has one append under way
/// at a time, and readers drop what lands late.
fn answer_claim(batcher: &ClaimBatcher, job: ClaimJob, result: &Result<LogOffset, AppendError>) {
    let heard = job.reply.send(result.clone()).is_ok();
    let may_stand = !matches!(result, Err(AppendError::NotAppended(_)));
    if may_stand && !heard {
        batcher.settle(&job.claim, SettledResult::NotRun);
    }
}

async fn append_settlements(
    node: Arc<NodeHandle>,
    mut queue: mpsc::UnboundedReceiver<ClaimSettlement>,
    unrecorded: Arc<watch::Sender<usize>>,
    token: CancellationToken,
) {
    let mut settlements = Vec::new();
    loop {
        if settlements.is_empty() {
            tokio::select! {
                () = token.cancelled() => return,
                _ = queue.recv_many(&mut settlements, BATCH_LIMIT) => {}
            }
        }
        if settlements.is_empty() {
            return;
        }
        let batch = SettlementBatch {
            settlements: settlements.clone(),
        };
        // A repeat does no harm: the first settlement of a claim counts.
        match node.append(LogRecord::Settlements(batch)).await {
            Ok(_) => {
                unrecorded.send_modify(|count| *count -= settlements.len());
                settlements.clear();
            }
            Err(error) => {
                LogLine::new("settlements_wait")
                    .with("count", settlements.len())
                    .with("error", &error)
                    .warn();
                tokio::select! {
                    () = token.cancelled() => return,
                    () = tokio::time::sleep(SETTLE_PAUSE.as_duration()) => {}
                }
            }
        }
    }
}
