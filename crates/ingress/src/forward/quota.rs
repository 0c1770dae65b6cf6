//! Charges requests to the limits of their organisations.

use std::sync::Arc;

use bluebell_core::{
    attempts::RunOutcome,
    ids::OrganisationId,
    quota::{QuotaDecision, QuotaStatus},
    units::TokenCount,
};

use crate::{
    context::EntryContext,
    frontend::{CallerRequest, Refusal},
};

/// The cost of an admitted request. It is given back when the charge is dropped, unless
/// the request may have run: a caller whose request was refused as not run sends it
/// again, and it would be charged twice.
#[derive(Debug)]
pub struct QuotaCharge {
    context: Arc<EntryContext>,
    organisation: OrganisationId,
    cost: TokenCount,
    is_spent: bool,
}

impl QuotaCharge {
    /// Keeps the charge if the request may have run.
    pub fn settle(&mut self, outcome: RunOutcome) {
        self.is_spent |= outcome == RunOutcome::Unknown;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.context.now();
            let mut limiter = self.context.limiter.lock();
            limiter.give_back(now, &self.organisation, self.cost);
        }
    }
}

/// The refusal of a request that exceeds the limit of its organisation.
#[derive(Debug)]
pub struct LimitExcess {
    /// The refusal for the caller.
    pub refusal: Refusal,
    /// What the decision was based on, for the log.
    pub detail: String,
}

/// Charges a request to the limit of its organisation. Returns `None` for requests
/// without a limit.
pub fn charge(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
) -> Result<Option<QuotaCharge>, LimitExcess> {
    let Some(organisation) = &request.organisation else {
        return Ok(None);
    };
    let now = context.now();
    let mut limiter = context.limiter.lock();
    let decision = limiter.admit(now, organisation, request.stated_tokens, request.priority);
    drop(limiter);
    match decision {
        QuotaDecision::Unlimited => Ok(None),
        QuotaDecision::Admitted { cost } => {
            report_if_urgent(context, organisation);
            Ok(Some(QuotaCharge {
                context: Arc::clone(context),
                organisation: organisation.clone(),
                cost,
                is_spent: false,
            }))
        }
        QuotaDecision::Refused {
            retry_after,
            status,
        } => Err(LimitExcess {
            refusal: Refusal::rate_limited(retry_after),
            detail: describe(&status),
        }),
    }
}

fn report_if_urgent(context: &EntryContext, organisation: &OrganisationId) {
    let now = context.now();
    let represents_domain = context.is_representative(now);
    let limiter = context.limiter.lock();
    if limiter.is_report_urgent(now, organisation, represents_domain) {
        context.report_due.notify_one();
    }
}

fn describe(status: &QuotaStatus) -> String {
    let report_age = status.report_age;
    format!(
        "limit {} and {} at once, {} allowed in a window, {} used, {} here, demand {}/s, \
         coverage {:.2}, last report {} ago",
        status.limit.rate,
        status.limit.burst,
        status.allowed,
        status.used,
        status.used_here,
        status.demand,
        status.coverage,
        report_age.map_or("-".to_string(), |age| age.to_string()),
    )
}
