//! Idempotency keys: only the request with the first claim in the log is sent to
//! an endpoint.
//!
//! A caller that receives no answer to a charge sends it again, to another entry and
//! perhaps at the same time. If both entries forwarded it, the customer would pay
//! twice. So an entry first appends a claim of the caller's idempotency key, and
//! forwards the request only if it reads its own claim back as the active one. All
//! readers apply the same log, so exactly one of several claims becomes active.
//!
//! A claim without a settlement stays active: the entry may have been killed before
//! or after it forwarded the request, and there is no way to find out which.
//! Repeats get the answer "unknown" for as long as the claim is kept. Only a
//! settlement with the result "not run" frees the key.
//!
//! The last [`MAX_CLAIMS_PER_ORGANISATION`] claims of an organisation are kept, by
//! log offset and not by time: log entries carry no time that all readers agree on.
//! A key that is repeated after that many newer claims is treated as a new key.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    clock::ClockTime,
    ids::{IdempotencyKey, LogOffset, OrganisationId, RequestFingerprint, RequestId},
    records::{
        CheckpointItem, ClaimBatch, ClaimSettlement, IdempotencyClaim, SettledResult,
        SettlementBatch,
    },
};

/// Maximum number of claims that are kept for one organisation.
pub const MAX_CLAIMS_PER_ORGANISATION: usize = 4_096;

/// The active claim of a key: the first one since the key was free.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ActiveClaim {
    /// The claim.
    pub claim: IdempotencyClaim,
    /// The offset of the claim.
    pub offset: LogOffset,
    /// The result of the action; `None` until it has been settled.
    pub result: Option<SettledResult>,
}

/// How a request with an idempotency key is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key has no active claim.
    Free,
    /// The request's own claim is active: the request may be sent.
    Mine,
    /// An earlier request ran, with this result.
    Recorded(SettledResult),
    /// An earlier request may have run, or is still running.
    Unknown,
    /// The key was claimed by a request with different content.
    OtherContent,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct OrganisationClaims {
    claims: BTreeMap<IdempotencyKey, ActiveClaim>,
    by_age: BTreeSet<(LogOffset, IdempotencyKey)>,
}

impl OrganisationClaims {
    fn insert(&mut self, active: ActiveClaim) {
        let key = active.claim.key.clone();
        self.by_age.insert((active.offset, key.clone()));
        if let Some(replaced) = self.claims.insert(key.clone(), active) {
            self.by_age.remove(&(replaced.offset, key));
        }
        while self.claims.len() > MAX_CLAIMS_PER_ORGANISATION {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.claims.remove(&oldest);
        }
    }
}

/// The active claims of all organisations, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimState {
    organisations: BTreeMap<OrganisationId, OrganisationClaims>,
}

impl ClaimState {
    /// Creates the state before the first record of the log.
    pub fn new() -> ClaimState {
        ClaimState::default()
    }

    /// Applies claims read at `offset`; claims of keys that are not free are ignored.
    pub fn claim(&mut self, _now: ClockTime, offset: LogOffset, batch: &ClaimBatch) {
        for claim in &batch.claims {
            if !self.is_free(&claim.organisation, &claim.key) {
                continue;
            }
            let organisation = self.organisations.entry(claim.organisation.clone());
            organisation.or_default().insert(ActiveClaim {
                claim: claim.clone(),
                offset,
                result: None,
            });
        }
    }

    /// Applies settlements. Only the request with the active claim can settle it, and
    /// a result of "answered" or "not run" is final.
    pub fn settle(&mut self, _now: ClockTime, _offset: LogOffset, batch: &SettlementBatch) {
        for settlement in &batch.settlements {
            let organisation = self.organisations.get_mut(&settlement.organisation);
            let claims = organisation.map(|organisation| &mut organisation.claims);
            let Some(active) = claims.and_then(|claims| claims.get_mut(&settlement.key)) else {
                continue;
            };
            if active.claim.request == settlement.request && may_settle(active, settlement) {
                active.result = Some(settlement.result.clone());
            }
        }
    }

    fn is_free(&self, organisation: &OrganisationId, key: &IdempotencyKey) -> bool {
        self.active_claim(organisation, key)
            .is_none_or(|active| active.result == Some(SettledResult::NotRun))
    }

    /// The active claim of `key`.
    pub fn active_claim(
        &self,
        organisation: &OrganisationId,
        key: &IdempotencyKey,
    ) -> Option<&ActiveClaim> {
        self.organisations.get(organisation)?.claims.get(key)
    }

    /// How `request` with the content `fingerprint` is to be handled.
    pub fn verdict(
        &self,
        organisation: &OrganisationId,
        key: &IdempotencyKey,
        request: &RequestId,
        fingerprint: &RequestFingerprint,
    ) -> ClaimVerdict {
        let Some(active) = self.active_claim(organisation, key) else {
            return ClaimVerdict::Free;
        };
        let is_own = active.claim.request == *request;
        match &active.result {
            Some(SettledResult::NotRun) => ClaimVerdict::Free,
            None if is_own => ClaimVerdict::Mine,
            _ if active.claim.fingerprint != *fingerprint => ClaimVerdict::OtherContent,
            Some(answered @ SettledResult::Answered { .. }) => {
                ClaimVerdict::Recorded(answered.clone())
            }
            Some(SettledResult::Unknown) | None => ClaimVerdict::Unknown,
        }
    }

    /// The number of claims that are kept.
    pub fn len(&self) -> usize {
        let claims = self.organisations.values();
        claims.map(|organisation| organisation.claims.len()).sum()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the claims as checkpoint items, each organisation's oldest first.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let organisations = self.organisations.values();
        let active_claims = organisations.flat_map(|organisation| {
            let keys_by_age = organisation.by_age.iter();
            keys_by_age.filter_map(|(_, key)| organisation.claims.get(key))
        });
        active_claims.map(checkpoint_item).collect()
    }

    /// Restores a claim from a checkpoint item; ignores items of other kinds. An
    /// active claim of the same key is kept unchanged.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        let CheckpointItem::Claim {
            claim,
            offset,
            settlement,
        } = item
        else {
            return;
        };
        if self.active_claim(&claim.organisation, &claim.key).is_some() {
            return;
        }
        let organisation = self.organisations.entry(claim.organisation.clone());
        organisation.or_default().insert(ActiveClaim {
            claim: claim.clone(),
            offset: *offset,
            result: settlement.as_ref().map(|settled| settled.result.clone()),
        });
    }
}

fn may_settle(active: &ActiveClaim, settlement: &ClaimSettlement) -> bool {
    match active.result {
        None => true,
        Some(SettledResult::Unknown) => {
            matches!(settlement.result, SettledResult::Answered { .. })
        }
        Some(SettledResult::Answered { .. } | SettledResult::NotRun) => false,
    }
}

fn checkpoint_item(active: &ActiveClaim) -> CheckpointItem {
    let claim = active.claim.clone();
    let settlement = active.result.clone().map(|result| ClaimSettlement {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        request: claim.request.clone(),
        result,
    });
    CheckpointItem::Claim {
        claim,
        offset: active.offset,
        settlement,
    }
}
