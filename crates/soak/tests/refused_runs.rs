//! Answers of endpoints that refuse a request, with and without the statement that it has not run,
//! behind the real program.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_adapter::headers;
use bluebell_platform_standin::{
    raw::{RawRequest, exchange},
    scripted::{AnswerScript, CallKind, PREFILLED, ScriptedAnswer, ScriptedCall},
};
use bluebell_soak::fleet::{HOST, SoakFleet, organisation_key};

use crate::support::{PATIENCE, kill_all, start_scripted};

/// The statuses that say that a request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// The routes of requests that may run once.
const UNREPEATABLE: [&str; 2] = ["/charge/", "/review/"];
/// The routes of requests that may run again.
const REPEATABLE: [&str; 2] = ["/stock/", "/chat/"];

/// An answer without a body.
fn answer(status: &str, more_headers: &str, attempt: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{}: sig\r\n{more_headers}Content-Length: 0\r\n\r\n",
        headers::SIGNATURE
    )
}

/// Answers each run with `status`, and counts the runs.
fn script(status: &'static str, more_headers: String, runs: &Arc<AtomicUsize>) -> AnswerScript {
    let runs = Arc::clone(runs);
    Arc::new(move |call: &ScriptedCall| {
        let text = match call.kind {
            CallKind::Prefill => format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nContent-Length: {}\r\n\r\n{PREFILLED}",
                call.attempt,
                PREFILLED.len()
            ),
            _ => {
                runs.fetch_add(1, Ordering::SeqCst);
                answer(status, &more_headers, &call.attempt)
            }
        };
        ScriptedAnswer {
            text,
            closes: false,
            ends: false,
        }
    })
}

fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1);
    status.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn send(fleet: &SoakFleet, prefix: &str, attempt: &str) -> String {
    let is_plain = matches!(prefix, "/stock/" | "/charge/");
    let request = RawRequest {
        method: if prefix == "/stock/" { "GET" } else { "POST" },
        host: HOST,
        path: format!("{prefix}{attempt}"),
        attempt: attempt.to_string(),
        key: organisation_key(0),
        deadline_ms: 1_500,
        prompt_part: (!is_plain).then(|| "aa".to_string()),
        resumes: None,
    };
    exchange(fleet.instances[0].callers, &request, |_| {}).await
}

/// Sends a request on each of `routes` until an endpoint has run it; returns what their callers get.
async fn answers(
    fleet: &SoakFleet,
    runs: &AtomicUsize,
    routes: &[&'static str],
) -> Vec<(&'static str, String)> {
    let mut answers = Vec::new();
    for prefix in routes {
        let before = runs.load(Ordering::SeqCst);
        let answering = async {
            for number in 0.. {
                let attempt = format!("a{}-{number}", prefix.trim_matches('/'));
                let answer = send(fleet, prefix, &attempt).await;
                if runs.load(Ordering::SeqCst) > before {
                    return answer;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            unreachable!("the range has no end")
        };
        let answer = tokio::time::timeout(PATIENCE, answering).await;
        answers.push((*prefix, answer.expect("an endpoint was reached")));
    }
    answers
}

async fn answers_to(
    seed: u64,
    status: &'static str,
    more_headers: String,
    routes: &[&'static str],
) -> Vec<(&'static str, String)> {
    let runs = Arc::new(AtomicUsize::new(0));
    let script = script(status, more_headers, &runs);
    let (fleet, folder, stop) = start_scripted("refused-runs", seed, &script).await;
    let answers = answers(&fleet, &runs, routes).await;
    kill_all(&fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(&folder).expect("the folder was written");
    answers
}

/// Guards against refusals of requests that have run: an endpoint that ran one answers with a status
/// that refuses it, and the answer is passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_does_not_state_that_nothing_ran_is_not_passed_on() {
    let statuses = [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ];
    for (number, refusal) in statuses.into_iter().enumerate() {
        let seed = 243 + number as u64;
        let routes = [UNREPEATABLE, REPEATABLE].concat();
        for (prefix, answer) in answers_to(seed, refusal, String::new(), &routes).await {
            let is_refusal = REFUSALS.contains(&status(&answer));
            assert!(!is_refusal, "{prefix} {refusal}: {answer}");
            assert_eq!(status(&answer), 502, "{prefix} {refusal}: {answer}");
        }
    }
}

/// Guards against requests that count as run although all endpoints state that they have refused
/// them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_states_that_nothing_ran_is_passed_on_as_one() {
    let stated = format!("{}: 1\r\n", headers::NOT_EXECUTED);
    let refused = answers_to(246, "503 Service Unavailable", stated, &UNREPEATABLE);
    for (prefix, answer) in refused.await {
        assert_eq!(status(&answer), 503, "{prefix}: {answer}");
        assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    }
}
