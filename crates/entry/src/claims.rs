//! Claims of idempotency keys and their settlements, batched into log appends.
//!
//! The log accepts several hundred appends a second from all instances together,
//! far fewer than the calls that may need a claim. All claims that arrive while an
//! append is in progress are therefore combined into the next one.

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

/// The maximum number of claims or settlements in one append.
const MAX_BATCH: usize = 200;

/// The maximum number of claims that wait to be appended.
const MAX_WAITING_CLAIMS: usize = 4_096;

/// The delay before settlements that were not recorded are retried.
const SETTLEMENT_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(200);

/// A claim that waits to be appended.
#[derive(Debug)]
struct PendingClaim {
    claim: IdempotencyClaim,
    reply: oneshot::Sender<Result<LogOffset, AppendError>>,
}

/// Queues claims and settlements for the append tasks; clones share the queues.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    claims: mpsc::Sender<PendingClaim>,
    settlements: mpsc::UnboundedSender<ClaimSettlement>,
    unrecorded: Arc<watch::Sender<usize>>,
}

/// The receiving ends of the queues, for the append tasks.
#[derive(Debug)]
pub struct ClaimQueues {
    claims: mpsc::Receiver<PendingClaim>,
    settlements: mpsc::UnboundedReceiver<ClaimSettlement>,
}

impl ClaimBatcher {
    /// Creates a batcher and the queues that its append tasks read.
    pub fn new() -> (ClaimBatcher, ClaimQueues) {
        let (claims, claim_queue) = mpsc::channel(MAX_WAITING_CLAIMS);
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

    /// Records a claim and returns its offset in the log.
    ///
    /// # Errors
    ///
    /// After [`AppendError::Unknown`] the claim may have been recorded. The call must
    /// not be sent to an endpoint after any error.
    pub async fn claim(&self, claim: IdempotencyClaim) -> Result<LogOffset, AppendError> {
        let (reply, answer) = oneshot::channel();
        let full = |_| AppendError::NotAppended("the claim queue is full".to_string());
        self.claims
            .try_send(PendingClaim { claim, reply })
            .map_err(full)?;
        let dropped = |_| {
            AppendError::Unknown(
                "the append task stopped before the claim was answered".to_string(),
            )
        };
        answer.await.map_err(dropped)?
    }

    /// Queues the result of a claimed action, which is recorded once the log accepts it.
    pub fn settle(&self, claim: &IdempotencyClaim, result: SettledResult) {
        self.unrecorded.send_modify(|count| *count += 1);
        let _ = self.settlements.send(settlement(claim, result));
    }

    /// Waits until all settlements are recorded, for at most `limit`.
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
    /// Starts the append tasks, which run until `token` is cancelled.
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
    mut queue: mpsc::Receiver<PendingClaim>,
    batcher: ClaimBatcher,
    token: CancellationToken,
) {
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            () = token.cancelled() => return,
            _ = queue.recv_many(&mut batch, MAX_BATCH) => {}
        }
        if batch.is_empty() {
            return;
        }
        let claims = batch.iter().map(|pending| pending.claim.clone()).collect();
        let result = node.append(LogRecord::Claims(ClaimBatch { claims })).await;
        for pending in batch {
            reply_to_claim(&batcher, pending, &result);
        }
    }
}

/// Sends the append's result to the run that made the claim. If the run has given
/// up, its own settlement may have been recorded before the claim and settled
/// nothing; every repeat would then be answered "unknown" although nothing was
/// sent. So the claim is settled again here. This settlement can't be recorded
/// before the claim: a process has one append in progress at a time, and readers
/// drop records that are appended late.
fn reply_to_claim(
    batcher: &ClaimBatcher,
    pending: PendingClaim,
    result: &Result<LogOffset, AppendError>,
) {
    let received = pending.reply.send(result.clone()).is_ok();
    let may_be_recorded = !matches!(result, Err(AppendError::NotAppended(_)));
    if may_be_recorded && !received {
        batcher.settle(&pending.claim, SettledResult::NotRun);
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
                _ = queue.recv_many(&mut settlements, MAX_BATCH) => {}
            }
        }
        if settlements.is_empty() {
            return;
        }
        let batch = SettlementBatch {
            settlements: settlements.clone(),
        };
        // A repeat is harmless: only the first settlement of a claim counts.
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
                    () = tokio::time::sleep(SETTLEMENT_RETRY_DELAY.as_duration()) => {}
                }
            }
        }
    }
}
