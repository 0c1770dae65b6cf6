//! Idempotency keys: the first claim in the log's order may send.
//!
//! A caller whose charge brought no answer sends it again, to another entry and
//! perhaps at the same time. If both entries sent it on, the customer would pay
//! twice. So an entry first appends a claim of the caller's idempotency key, and
//! sends only if it reads its own claim back as the standing one. All readers
//! fold the same log, so of any number of claims exactly one stands.
//!
//! A claim without a settlement stays: its holder may have been killed before or
//! after it sent, and nobody can tell which. Repeats get "unknown" for as long
//! as the claim is kept. Only a settlement that says "not run" frees the key.
//!
//! An organisation's last [`MAX_CLAIMS_PER_ORGANISATION`] claims are kept, by their place in the
//! log and not by time: log entries carry no time that all readers agree on. A
//! key that is sent again after so many newer ones is taken for a new one.

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

/// How many claims of one organisation are kept.
pub const MAX_CLAIMS_PER_ORGANISATION: usize = 4_096;

/// A claim that stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ActiveClaim {
    /// The claim.
    pub claim: IdempotencyClaim,
    /// Where it stands.
    pub offset: LogOffset,
    /// What became of the action, if that is known.
    pub result: Option<SettledResult>,
}

/// What a request that came with an idempotency key may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Nobody has claimed the key.
    Free,
    /// The request's own claim stands: it may send.
    Mine,
    /// An earlier request ran; this is what it brought.
    Recorded(SettledResult),
    /// An earlier request may have run, or is running.
    Unknown,
    /// The key stands for a request that asked for something else.
    OtherContent,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct OrganisationClaims {
    claims: BTreeMap<IdempotencyKey, ActiveClaim>,
    by_age: BTreeSet<(LogOffset, IdempotencyKey)>,
}

impl OrganisationClaims {
    fn put(&mut self, standing: ActiveClaim) {
        let key = standing.claim.key.clone();
        self.by_age.insert((standing.offset, key.clone()));
        if let Some(before) = self.claims.insert(key.clone(), standing) {
            self.by_age.remove(&(before.offset, key));
        }
        while self.claims.len() > MAX_CLAIMS_PER_ORGANISATION {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.claims.remove(&oldest);
        }
    }
}

/// The claims that the log knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimState {
    organisations: BTreeMap<OrganisationId, OrganisationClaims>,
}

impl ClaimState {
    /// Nothing read yet.
    pub fn new() -> ClaimState {
        ClaimState::default()
    }

    /// Applies claims read at `offset`.
    pub fn claim(&mut self, _now: ClockTime, offset: LogOffset, batch: &ClaimBatch) {
        for claim in &batch.claims {
            if !self.is_free(&claim.organisation, &claim.key) {
                continue;
            }
            let organisation = self.organisations.entry(claim.organisation.clone());
            organisation.or_default().put(ActiveClaim {
                claim: claim.clone(),
                offset,
                result: None,
            });
        }
    }

    /// Applies settlements. Only the request whose claim stands can settle it, and
    /// what is known to have run or not does not change any more.
    pub fn settle(&mut self, _now: ClockTime, _offset: LogOffset, batch: &SettlementBatch) {
        for settlement in &batch.settlements {
            let organisation = self.organisations.get_mut(&settlement.organisation);
            let claims = organisation.map(|organisation| &mut organisation.claims);
            let Some(standing) = claims.and_then(|claims| claims.get_mut(&settlement.key)) else {
                continue;
            };
            if standing.claim.request == settlement.request && may_settle(standing, settlement) {
                standing.result = Some(settlement.result.clone());
            }
        }
    }

    fn is_free(&self, organisation: &OrganisationId, key: &IdempotencyKey) -> bool {
        self.standing(organisation, key)
            .is_none_or(|standing| standing.result == Some(SettledResult::NotRun))
    }

    /// The claim of `key` that stands.
    pub fn standing(
        &self,
        organisation: &OrganisationId,
        key: &IdempotencyKey,
    ) -> Option<&ActiveClaim> {
        self.organisations.get(organisation)?.claims.get(key)
    }

    /// What `request`, which asks for what `fingerprint` says, may do.
    pub fn verdict(
        &self,
        organisation: &OrganisationId,
        key: &IdempotencyKey,
        request: &RequestId,
        fingerprint: &RequestFingerprint,
    ) -> ClaimVerdict {
        let Some(standing) = self.standing(organisation, key) else {
            return ClaimVerdict::Free;
        };
        let mine = standing.claim.request == *request;
        match &standing.result {
            Some(SettledResult::NotRun) => ClaimVerdict::Free,
            None if mine => ClaimVerdict::Mine,
            _ if standing.claim.fingerprint != *fingerprint => ClaimVerdict::OtherContent,
            Some(answered @ SettledResult::Answered { .. }) => {
                ClaimVerdict::Recorded(answered.clone())
            }
            Some(SettledResult::Unknown) | None => ClaimVerdict::Unknown,
        }
    }

    /// How many claims are kept.
    pub fn len(&self) -> usize {
        let claims = self.organisations.values();
        claims.map(|organisation| organisation.claims.len()).sum()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The claims as items of a checkpoint, each organisation's oldest first.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let organisations = self.organisations.values();
        let standing = organisations.flat_map(|organisation| {
            let ages = organisation.by_age.iter();
            ages.filter_map(|(_, key)| organisation.claims.get(key))
        });
        standing.map(checkpoint_item).collect()
    }

    /// Takes over an item of a checkpoint. A claim that is known stays as it is.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        let CheckpointItem::Claim {
            claim,
            offset,
            settlement,
        } = item
        else {
            return;
        };
        if self.standing(&claim.organisation, &claim.key).is_some() {
            return;
        }
        let organisation = self.organisations.entry(claim.organisation.clone());
        organisation.or_default().put(ActiveClaim {
            claim: claim.clone(),
            offset: *offset,
            result: settlement.as_ref().map(|settled| settled.result.clone()),
        });
    }
}

fn may_settle(standing: &ActiveClaim, settlement: &ClaimSettlement) -> bool {
    match standing.result {
        None => true,
        Some(SettledResult::Unknown) => {
            matches!(settlement.result, SettledResult::Answered { .. })
        }
        Some(SettledResult::Answered { .. } | SettledResult::NotRun) => false,
    }
}

fn checkpoint_item(standing: &ActiveClaim) -> CheckpointItem {
    let claim = standing.claim.clone();
    let settlement = standing.result.clone().map(|result| ClaimSettlement {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        request: claim.request.clone(),
        result,
    });
    CheckpointItem::Claim {
        claim,
        offset: standing.offset,
        settlement,
    }
}
