//! What one request's attempts say of whether it ran.

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
fn work_is_not_run_until_a_byte_may_have_left() {
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

/// The connection broke after a charge was sent. A second send could charge twice.
#[test]
fn lost_work_that_may_not_repeat_has_ended() {
    let mut attempts = attempts(WorkKind::AtMostOnce);
    let _permit = attempts.permit_send(&endpoint()).unwrap();
    attempts.connection_lost();
    assert_eq!(attempts.permit_send(&endpoint()), Err(SendRefusal::Ended));
    assert!(!is_not_run(&attempts));
}

/// A permit that comes back late (the connection failed only after the attempt was
/// given up as lost) must not make a sent request "not run" again.
#[test]
fn an_old_permit_takes_nothing_back() {
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

/// Plays the steps against a model that only remembers which permits are out.
fn check_steps(kind: WorkKind, steps: &[RandomStep]) -> bool {
    let mut attempts = attempts(kind);
    let mut permit: Option<SendPermit> = None;
    let mut reached = false;
    let mut sends_after_reach = 0;
    for step in steps {
        match step {
            RandomStep::Send => {
                if let Ok(sent) = attempts.permit_send(&endpoint()) {
                    sends_after_reach += u64::from(reached);
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
                reached |= permit.take().is_some();
            }
            RandomStep::Lost => {
                reached |= permit.take().is_some();
                attempts.connection_lost();
            }
            RandomStep::End => {
                reached |= permit.take().is_some();
                attempts.end();
            }
        }
        let may_have_run = reached || permit.is_some();
        if is_not_run(&attempts) == may_have_run {
            return false;
        }
    }
    kind == WorkKind::Repeatable || sends_after_reach == 0
}

#[test]
fn random_steps_never_make_a_false_not_run() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(500, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut g = Gen::from_size_and_seed(30, seed);
        let steps = Vec::<RandomStep>::arbitrary(&mut g);
        for kind in [WorkKind::AtMostOnce, WorkKind::Repeatable] {
            assert!(check_steps(kind, &steps), "seed {seed} {kind:?}: {steps:?}");
        }
    }
}

/// Late, crossed, doubled and missing items in random order: what was taken is
/// always the answer's start, and "whole" means all of it.
#[test]
fn random_items_never_make_a_wrong_answer() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(500, |n| n.parse().unwrap());
    let own = RequestId::new("r1").unwrap();
    let other = RequestId::new("r2").unwrap();
    for seed in 0..seeds {
        let mut g = Gen::from_size_and_seed(60, seed);
        let mut answer = AnswerAssembly::new(own.clone());
        answer.begin_attempt(1);
        for draw in Vec::<(u8, u8)>::arbitrary(&mut g) {
            let request = if draw.0 % 5 == 0 { &other } else { &own };
            let attempt = 1 + u32::from(draw.0 % 7 == 0);
            let next = answer.tokens().len() as u64;
            let position = (next + u64::from(draw.1 % 3)).saturating_sub(1);
            let foreign = request == &other || attempt != 1;
            let text = if foreign {
                "foreign".to_string()
            } else {
                position.to_string()
            };
            if draw.1 > 240 {
                let open = !answer.is_complete() && !foreign;
                let verdict = answer.end(request, attempt, 4);
                assert_eq!(verdict == EndVerdict::Complete, open && next == 4);
                continue;
            }
            let verdict = answer.token(request, attempt, position, &text);
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
