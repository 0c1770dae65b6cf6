//! Whether a request may have run, and the assembly of answers.

use bluebell_core::{
    attempts::{
        AttemptPhase, RequestAttempts, RunOutcome, SendPermit, SendRefusal, WorkKind,
        answer::{AnswerAssembly, EndVerdict, TokenVerdict},
    },
    ids::{EndpointId, RequestId},
};
use quickcheck::{Arbitrary, Gen};

fn endpoint() -> EndpointId {
    EndpointId::new("engine-1").unwrap()
}

fn attempts(kind: WorkKind) -> RequestAttempts {
    RequestAttempts::new(RequestId::new("r1").unwrap(), kind)
}

fn is_not_run(attempts: &RequestAttempts) -> bool {
    matches!(attempts.outcome(), RunOutcome::NotRun(_))
}

#[test]
fn a_request_counts_as_not_run_until_a_byte_may_have_been_sent() {
    let mut attempts = attempts(WorkKind::AtMostOnce);
    assert!(is_not_run(&attempts));
    let permit = attempts.permit_send(&endpoint()).unwrap();
    assert!(!is_not_run(&attempts));
    assert_eq!(
        attempts.permit_send(&endpoint()),
        Err(SendRefusal::InProgress)
    );
    attempts.not_sent(permit);
    assert!(is_not_run(&attempts));
    let permit = attempts.permit_send(&endpoint()).unwrap();
    attempts.refused_before_running(permit);
    assert!(is_not_run(&attempts));
}

/// Guards against a double charge: the connection is lost after a charge was sent, and
/// sending it again could charge twice.
#[test]
fn a_lost_request_that_must_not_be_repeated_has_ended() {
    let mut attempts = attempts(WorkKind::AtMostOnce);
    let _permit = attempts.permit_send(&endpoint()).unwrap();
    attempts.connection_lost();
    assert_eq!(attempts.permit_send(&endpoint()), Err(SendRefusal::Ended));
    assert!(!is_not_run(&attempts));
}

/// Guards against a late permit: if the connection fails only after the attempt was
/// abandoned as lost, taking back its permit must not change a sent request to "not
/// run".
#[test]
fn a_permit_of_an_earlier_attempt_changes_nothing() {
    let mut attempts = attempts(WorkKind::Repeatable);
    let old = attempts.permit_send(&endpoint()).unwrap();
    attempts.connection_lost();
    let _new = attempts.permit_send(&endpoint()).unwrap();
    attempts.not_sent(old);
    assert!(matches!(attempts.phase(), AttemptPhase::Sent { .. }));
    assert!(!is_not_run(&attempts));
}

#[derive(Clone, Copy, Debug)]
enum RandomStep {
    Send,
    NotSent,
    Refused,
    Answering,
    Lost,
    End,
}

impl Arbitrary for RandomStep {
    fn arbitrary(g: &mut Gen) -> RandomStep {
        use RandomStep::{Answering, End, Lost, NotSent, Refused, Send};
        *g.choose(&[Send, Send, Send, NotSent, Refused, Answering, Lost, End])
            .unwrap()
    }
}

/// Applies the steps and compares the outcome with a model that only tracks which
/// permits are in use. Returns whether both agree and an at-most-once request was never
/// sent again after it may have reached an endpoint.
fn check_steps(kind: WorkKind, steps: &[RandomStep]) -> bool {
    let mut attempts = attempts(kind);
    let mut permit: Option<SendPermit> = None;
    let mut may_have_reached_endpoint = false;
    let mut sends_after_reach = 0;
    for step in steps {
        match step {
            RandomStep::Send => {
                if let Ok(sent) = attempts.permit_send(&endpoint()) {
                    sends_after_reach += u64::from(may_have_reached_endpoint);
                    permit = Some(sent);
                }
            }
            RandomStep::NotSent | RandomStep::Refused => {
                let Some(sent) = permit.take() else { continue };
                match step {
                    RandomStep::NotSent => attempts.not_sent(sent),
                    _ => attempts.refused_before_running(sent),
                }
            }
            RandomStep::Answering => {
                attempts.answer_started();
                may_have_reached_endpoint |= permit.take().is_some();
            }
            RandomStep::Lost => {
                may_have_reached_endpoint |= permit.take().is_some();
                attempts.connection_lost();
            }
            RandomStep::End => {
                may_have_reached_endpoint |= permit.take().is_some();
                attempts.end();
            }
        }
        let may_have_run = may_have_reached_endpoint || permit.is_some();
        if is_not_run(&attempts) == may_have_run {
            return false;
        }
    }
    kind == WorkKind::Repeatable || sends_after_reach == 0
}

#[test]
fn random_steps_never_give_a_false_not_run() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(500, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut g = Gen::from_size_and_seed(30, seed);
        let steps = Vec::<RandomStep>::arbitrary(&mut g);
        for kind in [WorkKind::AtMostOnce, WorkKind::Repeatable] {
            assert!(check_steps(kind, &steps), "seed {seed} {kind:?}: {steps:?}");
        }
    }
}

/// Late, crossed, duplicated and missing tokens in random order: the accepted tokens
/// are always the beginning of the answer, and "complete" means all of it.
#[test]
fn random_tokens_never_give_a_wrong_answer() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(500, |n| n.parse().unwrap());
    let own = RequestId::new("r1").unwrap();
    let other = RequestId::new("r2").unwrap();
    for seed in 0..seeds {
        let mut g = Gen::from_size_and_seed(60, seed);
        let mut answer = AnswerAssembly::new(own.clone());
        answer.begin_attempt(1);
        for item in Vec::<(u8, u8)>::arbitrary(&mut g) {
            let request = if item.0 % 5 == 0 { &other } else { &own };
            let attempt = 1 + u32::from(item.0 % 7 == 0);
            let next = answer.tokens().len() as u64;
            let position = (next + u64::from(item.1 % 3)).saturating_sub(1);
            let is_foreign = request == &other || attempt != 1;
            let text = if is_foreign {
                "foreign".to_string()
            } else {
                position.to_string()
            };
            if item.1 > 240 {
                let is_open = !answer.is_complete() && !is_foreign;
                let verdict = answer.add_end_mark(request, attempt, 4);
                assert_eq!(verdict == EndVerdict::Complete, is_open && next == 4);
                continue;
            }
            let verdict = answer.add_token(request, attempt, position, &text);
            assert_eq!(
                verdict == TokenVerdict::Next,
                answer.tokens().len() as u64 > next
            );
        }
        let expected: Vec<String> = (0..answer.tokens().len()).map(|n| n.to_string()).collect();
        assert_eq!(answer.tokens(), expected, "seed {seed}");
        assert!(
            !answer.is_complete() || answer.tokens().len() == 4,
            "seed {seed}"
        );
    }
}
