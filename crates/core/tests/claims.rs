//! Claims of idempotency keys: which request is sent, and how repeats are answered.

use std::collections::BTreeMap;

use bluebell_core::{
    claims::{ClaimState, ClaimVerdict, MAX_CLAIMS_PER_ORGANISATION},
    clock::ClockTime,
    ids::{IdempotencyKey, LogOffset, OrganisationId, RequestFingerprint, RequestId},
    records::{ClaimBatch, ClaimSettlement, IdempotencyClaim, SettledResult, SettlementBatch},
};
use quickcheck::{Arbitrary, Gen};

const NOW: ClockTime = ClockTime::from_millis(0);

fn organisation() -> OrganisationId {
    OrganisationId::new("magnolia").unwrap()
}

fn claim(key: &str, request: &str, content: &str) -> IdempotencyClaim {
    IdempotencyClaim {
        organisation: organisation(),
        key: IdempotencyKey::new(key).unwrap(),
        request: RequestId::new(request).unwrap(),
        fingerprint: RequestFingerprint::with_content(&organisation(), content.as_bytes()),
        entry: "entry-1".parse().unwrap(),
    }
}

fn apply_claim(state: &mut ClaimState, offset: u64, claim: &IdempotencyClaim) {
    let claims = vec![claim.clone()];
    state.claim(NOW, LogOffset::new(offset), &ClaimBatch { claims });
}

fn apply_settlement(state: &mut ClaimState, claim: &IdempotencyClaim, result: SettledResult) {
    let settlement = ClaimSettlement {
        organisation: claim.organisation.clone(),
        key: claim.key.clone(),
        request: claim.request.clone(),
        result,
    };
    let settlements = vec![settlement];
    state.settle(NOW, LogOffset::START, &SettlementBatch { settlements });
}

fn verdict(state: &ClaimState, claim: &IdempotencyClaim) -> ClaimVerdict {
    state.verdict(
        &claim.organisation,
        &claim.key,
        &claim.request,
        &claim.fingerprint,
    )
}

fn answered() -> SettledResult {
    SettledResult::Answered {
        status: 201,
        content_type: "text/plain".to_string(),
        body: Some("charged".to_string()),
    }
}

/// A caller sends one charge to two entries at once, and both claim its key. If
/// both entries forwarded it, the customer would pay twice.
#[test]
fn only_the_request_with_the_first_claim_in_the_log_is_sent() {
    let mut state = ClaimState::new();
    let (first, second) = (claim("k", "r1", "five"), claim("k", "r2", "five"));
    assert_eq!(verdict(&state, &first), ClaimVerdict::Free);
    apply_claim(&mut state, 1, &first);
    apply_claim(&mut state, 2, &second);
    assert_eq!(verdict(&state, &first), ClaimVerdict::Mine);
    assert_eq!(verdict(&state, &second), ClaimVerdict::Unknown);
    apply_settlement(&mut state, &second, SettledResult::NotRun);
    assert_eq!(verdict(&state, &first), ClaimVerdict::Mine);
    apply_settlement(&mut state, &first, answered());
    assert_eq!(verdict(&state, &second), ClaimVerdict::Recorded(answered()));
    apply_settlement(&mut state, &first, SettledResult::NotRun);
    assert_eq!(verdict(&state, &second), ClaimVerdict::Recorded(answered()));
}

/// An entry is killed after its claim. It is unknown whether it had sent the
/// charge, so no repeat may be sent, regardless of their number.
#[test]
fn a_claim_without_settlement_is_never_taken_over() {
    let mut state = ClaimState::new();
    apply_claim(&mut state, 1, &claim("k", "r1", "five"));
    for number in 2..20 {
        let repeat = claim("k", &format!("r{number}"), "five");
        apply_claim(&mut state, number, &repeat);
        assert_eq!(verdict(&state, &repeat), ClaimVerdict::Unknown);
    }
}

#[test]
fn a_key_that_did_not_run_can_be_claimed_again() {
    let mut state = ClaimState::new();
    let (first, second) = (claim("k", "r1", "five"), claim("k", "r2", "five"));
    apply_claim(&mut state, 1, &first);
    apply_settlement(&mut state, &first, SettledResult::NotRun);
    assert_eq!(verdict(&state, &second), ClaimVerdict::Free);
    apply_claim(&mut state, 2, &second);
    assert_eq!(verdict(&state, &second), ClaimVerdict::Mine);
    assert_eq!(verdict(&state, &first), ClaimVerdict::Unknown);
}

#[test]
fn a_key_with_other_content_is_misuse() {
    let mut state = ClaimState::new();
    apply_claim(&mut state, 1, &claim("k", "r1", "five"));
    let other = claim("k", "r2", "six");
    assert_eq!(verdict(&state, &other), ClaimVerdict::OtherContent);
}

/// The limit on kept claims applies to each organisation separately, and the oldest
/// claim within the limit still prevents a charge from running twice.
#[test]
fn an_organisations_last_claims_are_kept() {
    let mut state = ClaimState::new();
    let first = claim("k0", "r0", "five");
    apply_claim(&mut state, 0, &first);
    for number in 1..MAX_CLAIMS_PER_ORGANISATION as u64 {
        apply_claim(
            &mut state,
            number,
            &claim(&format!("k{number}"), "r", "five"),
        );
    }
    let mut other = claim("k0", "o", "five");
    other.organisation = OrganisationId::new("formosa").unwrap();
    apply_claim(&mut state, 5_000, &other);
    let repeat = claim("k0", "r9", "five");
    assert_eq!(verdict(&state, &repeat), ClaimVerdict::Unknown);
    apply_claim(&mut state, 5_001, &claim("one-more", "r", "five"));
    assert_eq!(verdict(&state, &repeat), ClaimVerdict::Free);
    assert_eq!(verdict(&state, &other), ClaimVerdict::Mine);
    assert_eq!(state.len(), MAX_CLAIMS_PER_ORGANISATION + 1);
}

/// One record of a random log with few keys, requests and results.
#[derive(Clone, Debug)]
enum RandomRecord {
    Claim(IdempotencyClaim),
    Settle(IdempotencyClaim, SettledResult),
}

impl Arbitrary for RandomRecord {
    fn arbitrary(g: &mut Gen) -> RandomRecord {
        let key = format!("k{}", u8::arbitrary(g) % 3);
        let request = format!("r{}", u8::arbitrary(g) % 6);
        let claim = claim(&key, &request, "five");
        match u8::arbitrary(g) % 5 {
            0..=2 => RandomRecord::Claim(claim),
            3 => RandomRecord::Settle(claim, SettledResult::NotRun),
            _ => RandomRecord::Settle(claim, answered()),
        }
    }
}

/// The history of one key: the requests that could be sent, and those that freed
/// the key.
#[derive(Default)]
struct KeyHistory {
    senders: Vec<RequestId>,
    freed: Vec<RequestId>,
}

fn check_history(records: &[RandomRecord]) -> bool {
    let mut state = ClaimState::new();
    let mut histories: BTreeMap<IdempotencyKey, KeyHistory> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        match record {
            RandomRecord::Claim(claim) => {
                apply_claim(&mut state, offset as u64, claim);
                let history = histories.entry(claim.key.clone()).or_default();
                let is_own = verdict(&state, claim) == ClaimVerdict::Mine;
                if is_own && history.senders.last() != Some(&claim.request) {
                    history.senders.push(claim.request.clone());
                }
            }
            RandomRecord::Settle(claim, result) => {
                let is_own = verdict(&state, claim) == ClaimVerdict::Mine;
                apply_settlement(&mut state, claim, result.clone());
                if is_own && *result == SettledResult::NotRun {
                    let history = histories.entry(claim.key.clone()).or_default();
                    history.freed.push(claim.request.clone());
                }
            }
        }
    }
    let mut restored = ClaimState::new();
    for item in state.checkpoint() {
        restored.restore(NOW, &item);
    }
    // Every request that could be sent before the last one must have freed the key.
    let sent_one_at_a_time = |history: &KeyHistory| {
        let others = history.senders.len().saturating_sub(1);
        history.senders[..others]
            .iter()
            .all(|sender| history.freed.contains(sender))
    };
    restored == state && histories.values().all(sent_one_at_a_time)
}

#[test]
fn random_logs_allow_one_request_for_each_key() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(200, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut g = Gen::from_size_and_seed(40, seed);
        let records = Vec::<RandomRecord>::arbitrary(&mut g);
        assert!(check_history(&records), "seed {seed}: {records:?}");
    }
}
