//! The claim of a call's idempotency key, from before it is sent to its settlement.

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
    /// Records what became of the claimed action. If the claim turned out not to
    /// be the standing one, readers pass over the settlement.
    pub(super) fn settle(&self, end: &Result<CallAnswer, Refusal>) {
        let claimed = self.claimed.load(Ordering::Relaxed);
        let Some(claim) = self.claim.as_ref().filter(|_| claimed) else {
            return;
        };
        let result = match end {
            Ok(answer) if answer.replayed => return,
            Ok(answer) => self.recorded(&answer.answer),
            Err(_) => match self.change(|attempts| attempts.outcome()) {
                RunOutcome::NotRun(_) => SettledResult::NotRun,
                RunOutcome::Unknown => SettledResult::Unknown,
            },
        };
        self.context.claims.settle(claim, result);
    }

    pub(super) fn recorded(&self, answer: &PlainAnswer) -> SettledResult {
        let limit = self.context.settings.requests.kept_answer.count() as usize;
        let short = answer.body.len() <= limit;
        let body = short.then(|| String::from_utf8(answer.body.to_vec()).ok());
        SettledResult::Answered {
            status: answer.status,
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: body.flatten(),
        }
    }

    /// Claims the key. Answers an earlier request's outcome, or nothing if this
    /// request may send.
    pub(super) async fn claim_key(
        &self,
        claim: &IdempotencyClaim,
    ) -> Result<Option<CallAnswer>, Refusal> {
        match self.verdict(claim) {
            ClaimVerdict::Free => {}
            verdict => return self.follow_verdict(verdict),
        }
        let unavailable = |message: String| {
            let message = format!("the idempotency key could not be claimed: {message}");
            self.refusal(RefusalCode::ClaimUnavailable, message)
        };
        self.claimed.store(true, Ordering::Relaxed);
        let appended = self.context.claims.claim(claim.clone()).await;
        let offset = appended.map_err(|error| unavailable(error.to_string()))?;
        let patience = self.context.settings.requests.claim_patience;
        if !self.context.node.wait_applied(offset, patience).await {
            return Err(unavailable(format!("not read back within {patience}")));
        }
        self.follow_verdict(self.verdict(claim))
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

    pub(super) fn follow_verdict(
        &self,
        verdict: ClaimVerdict,
    ) -> Result<Option<CallAnswer>, Refusal> {
        let request = self.change(|attempts| attempts.request().to_string());
        self.context
            .record_decision(&[&request], "read the claim", format!("{verdict:?}"));
        match verdict {
            ClaimVerdict::Mine => Ok(None),
            ClaimVerdict::Recorded(result) => match replay(result) {
                Some(answer) => Ok(Some(answer)),
                None => Err(self.unknown()),
            },
            ClaimVerdict::Unknown => Err(self.unknown()),
            ClaimVerdict::OtherContent => {
                let message = "the idempotency key was used for another request";
                Err(self.refusal(RefusalCode::IdempotencyKeyReused, message))
            }
            ClaimVerdict::Free => {
                let message = "the claim of the idempotency key no longer stands";
                Err(self.refusal(RefusalCode::ClaimUnavailable, message))
            }
        }
    }

    pub(super) fn unknown(&self) -> Refusal {
        let message = "an earlier request with this idempotency key may have run";
        let refusal = self.refusal(RefusalCode::OutcomeUnknown, message);
        refusal.with_outcome_unknown()
    }
}

/// The claim that a call makes with `key`.
pub(super) fn claim_of(
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

/// The recorded answer; none if it was too long to be recorded whole.
fn replay(result: SettledResult) -> Option<CallAnswer> {
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
