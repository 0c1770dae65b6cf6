//! The claim of a call's idempotency key, from before the call is sent to its settlement.

use std::sync::atomic::Ordering;

use bluebell_core::{
    attempts::{RequestAttempts, RunOutcome},
    claims::ClaimVerdict,
    ids::IdempotencyKey,
    records::{IdempotencyClaim, SettledResult},
};
use bluebell_endpoint::client::PlainAnswer;

use super::{CallAnswer, PlainRun, PlainWork};
use crate::{
    context::EntryContext,
    refusal::{Refusal, RefusalCode},
};

impl PlainRun {
    /// Records the outcome of the claimed action. If another claim of the key is the
    /// valid one, readers of the log ignore the settlement.
    pub(super) fn settle(&self, end: &Result<CallAnswer, Refusal>) {
        let claimed = self.claimed.load(Ordering::Relaxed);
        let Some(claim) = self.claim.as_ref().filter(|_| claimed) else {
            return;
        };
        let result = match end {
            Ok(answer) if answer.replayed => return,
            Ok(answer) => self.settled_result(&answer.answer),
            Err(_) => match self.with_attempts(|attempts| attempts.outcome()) {
                RunOutcome::NotRun(_) => SettledResult::NotRun,
                RunOutcome::Unknown => SettledResult::Unknown,
            },
        };
        self.context.claims.settle(claim, result);
    }

    pub(super) fn settled_result(&self, answer: &PlainAnswer) -> SettledResult {
        let limit = self.context.settings.requests.kept_answer.count() as usize;
        let fits = answer.body.len() <= limit;
        let body = fits.then(|| String::from_utf8(answer.body.to_vec()).ok());
        SettledResult::Answered {
            status: answer.status,
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: body.flatten(),
        }
    }

    /// Claims the key. Returns the recorded answer of an earlier request, or `None` if
    /// this request may be sent.
    pub(super) async fn claim_key(
        &self,
        claim: &IdempotencyClaim,
    ) -> Result<Option<CallAnswer>, Refusal> {
        match self.verdict(claim) {
            ClaimVerdict::Free => {}
            verdict => return self.apply_verdict(verdict),
        }
        let unavailable = |message: String| {
            let message = format!("the idempotency key could not be claimed: {message}");
            self.refusal(RefusalCode::ClaimUnavailable, message)
        };
        self.claimed.store(true, Ordering::Relaxed);
        let appended = self.context.claims.claim(claim.clone()).await;
        let offset = appended.map_err(|error| unavailable(error.to_string()))?;
        let timeout = self.context.settings.requests.claim_patience;
        if !self.context.node.wait_applied(offset, timeout).await {
            return Err(unavailable(format!(
                "the claim was not read back from the log within {timeout}"
            )));
        }
        self.apply_verdict(self.verdict(claim))
    }

    pub(super) fn verdict(&self, claim: &IdempotencyClaim) -> ClaimVerdict {
        self.context.node.with_view(|view| {
            view.claims.verdict(
                &claim.organisation,
                &claim.key,
                &claim.request,
                &claim.fingerprint,
            )
        })
    }

    pub(super) fn apply_verdict(
        &self,
        verdict: ClaimVerdict,
    ) -> Result<Option<CallAnswer>, Refusal> {
        let request = self.with_attempts(|attempts| attempts.request().to_string());
        self.context
            .record_decision(&[&request], "read the claim", format!("{verdict:?}"));
        match verdict {
            ClaimVerdict::Mine => Ok(None),
            ClaimVerdict::Recorded(result) => match replayed_answer(result) {
                Some(answer) => Ok(Some(answer)),
                None => Err(self.unknown_outcome()),
            },
            ClaimVerdict::Unknown => Err(self.unknown_outcome()),
            ClaimVerdict::OtherContent => {
                let message = "the idempotency key was used for another request";
                Err(self.refusal(RefusalCode::IdempotencyKeyReused, message))
            }
            ClaimVerdict::Free => {
                let message = "the claim of the idempotency key is no longer valid";
                Err(self.refusal(RefusalCode::ClaimUnavailable, message))
            }
        }
    }

    pub(super) fn unknown_outcome(&self) -> Refusal {
        let message = "an earlier request with this idempotency key may have run";
        let refusal = self.refusal(RefusalCode::OutcomeUnknown, message);
        refusal.with_outcome_unknown()
    }
}

/// Builds the claim of `key` for a call.
pub(super) fn new_claim(
    context: &EntryContext,
    work: &PlainWork,
    attempts: &RequestAttempts,
    key: &IdempotencyKey,
) -> IdempotencyClaim {
    IdempotencyClaim {
        organisation: work.organisation.clone(),
        key: key.clone(),
        request: attempts.request().clone(),
        fingerprint: work.fingerprint.clone(),
        entry: context.settings.node.instance.clone(),
    }
}

/// Returns the recorded answer, with an empty body if the body was not recorded, or
/// `None` if no answer is recorded.
fn replayed_answer(result: SettledResult) -> Option<CallAnswer> {
    let SettledResult::Answered {
        status,
        content_type,
        body,
    } = result
    else {
        return None;
    };
    let content_type = Some(content_type).filter(|text| !text.is_empty());
    Some(CallAnswer {
        answer: PlainAnswer {
            status,
            content_type,
            body: body.unwrap_or_default().into(),
        },
        replayed: true,
    })
}
