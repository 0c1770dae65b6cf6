//! Answers of endpoints that end in the middle of their heads, behind the real program.

mod support;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bluebell_platform_standin::{
    raw::{Framing, RawAnswer, RawRequest, exchange, is_whole_success},
    scripted::{AnswerScript, CallKind, PREFILLED, ScriptedAnswer, ScriptedCall},
};
use bluebell_soak::fleet::{HOST, SoakFleet, organisation_key};

use crate::support::{PATIENCE, kill_all, start_scripted};

/// The distance between cuts in bytes; the ends of lines are cut as well.
const CUT_STEP: usize = 23;
/// Of these cuts, every ninth is played for prefills: an engine whose prefill failed gets no other
/// one for some time.
const PREFILL_CUTS_STEP: usize = 9;

const RECEIPT: &str = "receipt 17";
const FIRST_EVENT: &str = "id: 1\ndata: one\n\n";
const LAST_EVENT: &str = "id: 2\ndata: two\n\n";

/// An answer that is cut, and where. The id of the request that gets it encodes this.
#[derive(Clone, Copy, Debug)]
struct CutCase {
    call: CallKind,
    framing: Framing,
    has_hints: bool,
    cut: usize,
}

impl CutCase {
    /// The id of the attempt `number` with this case.
    fn attempt(&self, number: usize) -> String {
        let CutCase {
            call,
            framing,
            has_hints,
            cut,
        } = self;
        format!("{number:03}-{call:?}-{framing:?}-{has_hints}-{cut:04}")
    }

    fn parse(attempt: &str) -> Option<CutCase> {
        let mut parts = attempt.split('-').skip(1);
        let call = match parts.next()? {
            "Plain" => CallKind::Plain,
            "Prefill" => CallKind::Prefill,
            "ResumedRun" => CallKind::ResumedRun,
            _ => CallKind::Run,
        };
        let framing = match parts.next()? {
            "Length" => Framing::Length,
            "Chunks" => Framing::Chunks,
            _ => Framing::Connection,
        };
        Some(CutCase {
            call,
            framing,
            has_hints: parts.next()? == "true",
            cut: parts.next()?.parse().ok()?,
        })
    }

    /// The whole answer to `attempt`.
    fn answer(&self, attempt: &str) -> RawAnswer {
        let (kind, body) = content(self.call);
        RawAnswer {
            attempt: attempt.to_string(),
            framing: self.framing,
            has_hints: self.has_hints,
            kind,
            body,
        }
    }

    /// Where its head is cut.
    fn cuts(&self) -> Vec<usize> {
        let head = self.answer(&self.attempt(0)).head();
        // Without a length, a plain answer that ends right after its head is whole.
        let is_open = self.framing == Framing::Connection && self.call == CallKind::Plain;
        let end = head.len() - usize::from(is_open);
        let lines = head.match_indices("\r\n");
        let ends = lines.flat_map(|(at, _)| [at, at + 2]);
        let steps = (0..end).step_by(CUT_STEP);
        let cuts: BTreeSet<usize> = steps.chain(ends).chain([end]).collect();
        let step = match self.call {
            CallKind::Prefill => PREFILL_CUTS_STEP,
            _ => 1,
        };
        let cuts = cuts.into_iter().filter(|cut| *cut <= end);
        cuts.step_by(step).collect()
    }
}

/// The content type and the body of the answer to a call.
fn content(call: CallKind) -> (&'static str, String) {
    match call {
        CallKind::Plain => ("text/plain", RECEIPT.to_string()),
        CallKind::Prefill => ("application/json", PREFILLED.to_string()),
        CallKind::Run => ("text/event-stream", format!("{FIRST_EVENT}{LAST_EVENT}")),
        CallKind::ResumedRun => ("text/event-stream", LAST_EVENT.to_string()),
    }
}

/// The attempts whose answers were cut.
type CutAttempts = Arc<Mutex<BTreeSet<String>>>;

/// Cuts the answers that the ids of their requests name, and breaks the streams that are to be
/// resumed after their first event.
fn script(cut: &CutAttempts) -> AnswerScript {
    let cut = Arc::clone(cut);
    Arc::new(move |call: &ScriptedCall| {
        let attempt = &call.attempt;
        let case = CutCase::parse(attempt);
        if let Some(case) = case.filter(|case| case.call == call.kind) {
            cut.lock().unwrap().insert(attempt.clone());
            let mut text = case.answer(attempt).text();
            text.truncate(case.cut);
            return ScriptedAnswer {
                text,
                closes: true,
                ends: false,
            };
        }
        let (kind, body) = content(call.kind);
        let is_resumed_later = case.is_some_and(|case| case.call == CallKind::ResumedRun);
        let closes = is_resumed_later && call.kind == CallKind::Run;
        let answer = RawAnswer {
            attempt: attempt.clone(),
            framing: Framing::Length,
            has_hints: false,
            kind,
            body,
        };
        let mut text = answer.text();
        if closes {
            text.truncate(text.len() - LAST_EVENT.len());
        }
        ScriptedAnswer {
            text,
            closes,
            ends: false,
        }
    })
}

/// Sends a request until the answer to it was cut, and checks what its caller gets.
async fn check(
    fleet: &SoakFleet,
    cut: &CutAttempts,
    case: CutCase,
    method: &'static str,
    prefix: &str,
) {
    let is_plain = case.call == CallKind::Plain;
    let end = if is_plain { RECEIPT } else { LAST_EVENT };
    let checking = async {
        for number in 0.. {
            let attempt = case.attempt(number);
            let request = RawRequest {
                method,
                host: HOST,
                path: format!("{prefix}{attempt}"),
                attempt: attempt.clone(),
                key: organisation_key(0),
                deadline_ms: 1_500,
                prompt_part: (!is_plain).then(|| "aa".to_string()),
                resumes: None,
            };
            let answer = exchange(fleet.instances[0].callers, &request, |_| {}).await;
            let misses_its_end = is_whole_success(&answer) && !answer.contains(end);
            assert!(!misses_its_end, "{prefix} {case:?}: {answer}");
            if cut.lock().unwrap().contains(&attempt) {
                return;
            }
            // Endpoints whose answers were cut are left out for some time.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let checked = tokio::time::timeout(PATIENCE, checking).await;
    assert!(checked.is_ok(), "{prefix} {case:?} reached no endpoint");
}

async fn check_all(seed: u64, call: CallKind, routes: &[(&'static str, &str)]) {
    let cut = CutAttempts::default();
    let (fleet, folder, stop) = start_scripted("cut-heads", seed, &script(&cut)).await;
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        for has_hints in [false, true] {
            let case = CutCase {
                call,
                framing,
                has_hints,
                cut: 0,
            };
            for cut_at in case.cuts() {
                let case = CutCase {
                    cut: cut_at,
                    ..case
                };
                for (method, prefix) in routes {
                    check(&fleet, &cut, case, method, prefix).await;
                }
            }
        }
    }
    kill_all(&fleet).await;
    stop.cancel();
    println!("{} answers cut", cut.lock().unwrap().len());
    std::fs::remove_dir_all(&folder).expect("the folder was written");
}

/// Guards against answers of replicas that look complete though they ended within their heads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_answer_that_ends_within_its_head_is_no_success() {
    let routes = [("GET", "/stock/"), ("POST", "/charge/")];
    check_all(231, CallKind::Plain, &routes).await;
}

/// Guards against streams that look complete though the answer to their prefill ended within its
/// head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prefill_that_ends_within_its_head_is_not_handed_over() {
    check_all(232, CallKind::Prefill, &[("POST", "/review/")]).await;
}

/// Guards against streams that look complete though they ended within their heads, or right after
/// them, at the engine that took the prompt over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_ends_within_its_head_is_no_success() {
    let routes = [("POST", "/review/"), ("POST", "/chat/")];
    check_all(233, CallKind::Run, &routes).await;
}

/// Guards against streams that look complete though the answer of the engine that resumes them ended
/// within its head, or right after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_stream_that_ends_within_its_head_is_not_whole() {
    check_all(234, CallKind::ResumedRun, &[("POST", "/chat/")]).await;
}
