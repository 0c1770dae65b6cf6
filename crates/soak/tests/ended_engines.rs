//! Answers with neither a length nor chunks whose endpoints end, behind the real program.

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

const RECEIPT: &str = "receipt 17";
const CUT_RECEIPT: &str = "rece";
const FIRST_EVENT: &str = "id: 1\ndata: one\n\n";
const LAST_EVENT: &str = "id: 2\ndata: two\n\n";
/// The number of requests of a service that are served before its endpoints end.
const ANSWERED: u32 = 150;
/// What the ids of attempts begin with whose first answer ends with its endpoint.
const ENDING: &str = "ending";

/// The attempts whose answers ended with their endpoints.
type EndedAttempts = Arc<Mutex<BTreeSet<String>>>;

/// The content type and the body of the answer to a call.
fn content(call: CallKind, ends: bool) -> (&'static str, String) {
    match call {
        CallKind::Plain if ends => ("text/plain", CUT_RECEIPT.to_string()),
        CallKind::Plain => ("text/plain", RECEIPT.to_string()),
        CallKind::Prefill => ("application/json", PREFILLED.to_string()),
        CallKind::Run if ends => ("text/event-stream", FIRST_EVENT.to_string()),
        CallKind::Run => ("text/event-stream", format!("{FIRST_EVENT}{LAST_EVENT}")),
        CallKind::ResumedRun => ("text/event-stream", LAST_EVENT.to_string()),
    }
}

/// Ends the endpoint that gets an attempt first, after a part of its answer.
fn script(ended: &EndedAttempts) -> AnswerScript {
    let ended = Arc::clone(ended);
    Arc::new(move |call: &ScriptedCall| {
        let is_run = matches!(call.kind, CallKind::Plain | CallKind::Run);
        let ends = is_run
            && call.attempt.starts_with(ENDING)
            && ended.lock().unwrap().insert(call.attempt.clone());
        let (kind, body) = content(call.kind, ends);
        let framing = match ends {
            true => Framing::Connection,
            false => Framing::Length,
        };
        let answer = RawAnswer {
            attempt: call.attempt.clone(),
            framing,
            has_hints: false,
            kind,
            body,
        };
        ScriptedAnswer {
            text: answer.text(),
            closes: ends,
            ends,
        }
    })
}

fn request(method: &'static str, prefix: &str, attempt: String) -> RawRequest {
    let is_plain = !matches!(prefix, "/review/" | "/chat/");
    RawRequest {
        method,
        host: HOST,
        path: format!("{prefix}{attempt}"),
        attempt,
        key: organisation_key(0),
        deadline_ms: 3_000,
        prompt_part: (!is_plain).then(|| "aa".to_string()),
        resumes: None,
    }
}

/// Sends requests that are served until `ANSWERED` of them are: the retry budget of a service is a
/// share of its requests.
async fn fill_budget(fleet: &SoakFleet, method: &'static str, prefix: &str) {
    let filling = async {
        let mut answered = 0;
        let mut number = 0;
        while answered < ANSWERED {
            number += 1;
            let request = request(method, prefix, format!("served-{number}"));
            let answer = exchange(fleet.instances[0].callers, &request, |_| {}).await;
            answered += u32::from(is_whole_success(&answer));
        }
    };
    let filled = tokio::time::timeout(PATIENCE, filling).await;
    filled.unwrap_or_else(|_| panic!("{prefix} was not served"));
}

/// Sends a request until an endpoint has ended with the answer to it, and returns the answer.
async fn ask(
    fleet: &SoakFleet,
    ended: &EndedAttempts,
    method: &'static str,
    prefix: &str,
) -> String {
    let asking = async {
        let mut number = 0;
        loop {
            let name = prefix.trim_matches('/');
            let attempt = format!("{ENDING}-{name}-{number}");
            let request = request(method, prefix, attempt.clone());
            let answer = exchange(fleet.instances[0].callers, &request, |_| {}).await;
            if ended.lock().unwrap().contains(&attempt) {
                return answer;
            }
            number += 1;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asking).await;
    asked.unwrap_or_else(|_| panic!("{prefix} reached no endpoint"))
}

/// Guards against passing on as whole what an endpoint wrote before its process ended, since the
/// connections of a process that ends are closed in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_endpoint_is_not_whole() {
    let ended = EndedAttempts::default();
    let (fleet, folder, stop) = start_scripted("ended-engines", 241, &script(&ended)).await;

    fill_budget(&fleet, "GET", "/stock/").await;
    fill_budget(&fleet, "POST", "/chat/").await;

    let answer = ask(&fleet, &ended, "POST", "/charge/").await;
    assert!(!is_whole_success(&answer), "{answer}");

    let answer = ask(&fleet, &ended, "GET", "/stock/").await;
    assert!(is_whole_success(&answer), "{answer}");
    assert!(answer.contains(RECEIPT), "{answer}");

    let answer = ask(&fleet, &ended, "POST", "/chat/").await;
    assert!(is_whole_success(&answer), "{answer}");
    for event in [FIRST_EVENT, LAST_EVENT] {
        assert_eq!(answer.matches(event).count(), 1, "{answer}");
    }

    let answer = ask(&fleet, &ended, "POST", "/review/").await;
    assert!(answer.contains(FIRST_EVENT), "{answer}");
    assert!(!is_whole_success(&answer), "{answer}");

    kill_all(&fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(&folder).expect("the folder was written");
}
