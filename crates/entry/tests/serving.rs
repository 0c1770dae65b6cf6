//! Answers to valid requests, and refusals of invalid ones.

mod support;

use bluebell_core::records::EngineRole;
use bluebell_platform::api::EndpointKind;
use serde_json::Value;
use support::{
    TestBed,
    endpoint::{self, FakeEndpoint, OK_HEAD, Step, plain_answer},
    listing,
};

async fn bed_with_engine(engine: &FakeEndpoint) -> TestBed {
    let bed = TestBed::start().await;
    let address = engine.address.to_string();
    bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
        .await;
    bed
}

#[tokio::test]
async fn streamed_and_unstreamed_answers_are_served() {
    let engine = FakeEndpoint::engine(3).await;
    let bed = bed_with_engine(&engine).await;
    let streamed = bed.chat(true, "hello").send().await.unwrap();
    assert_eq!(streamed.headers()["content-type"], "text/event-stream");
    assert!(streamed.headers().contains_key("x-request-id"));
    let text = streamed.text().await.unwrap();
    let events: Vec<&str> = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    assert_eq!(events.len(), 5, "{text}");
    let third: Value = serde_json::from_str(events[2]).unwrap();
    assert_eq!(third["choices"][0]["delta"]["content"], "t2 ");
    assert_eq!(events[4], "[DONE]");

    let unstreamed = bed.chat(false, "hello").send().await.unwrap();
    let unstreamed: Value = unstreamed.json().await.unwrap();
    assert_eq!(unstreamed["choices"][0]["message"]["content"], "t0 t1 t2 ");
    assert_eq!(unstreamed["usage"]["prompt_tokens"], 7);
    assert_eq!(unstreamed["usage"]["completion_tokens"], 3);
    let demand = bed.http.get(bed.url("/demand")).send().await.unwrap();
    let demand: Value = demand.json().await.unwrap();
    assert_eq!(demand[0]["pool"], serde_json::json!({"model": "m1"}));
}

#[tokio::test]
async fn plain_calls_reach_the_service_without_the_callers_key() {
    let service = FakeEndpoint::start(|_| plain_answer("201 Created", "charged")).await;
    let bed = TestBed::start().await;
    let address = service.address.to_string();
    bed.list(vec![listing("pay-1", EndpointKind::Plain, &address)])
        .await;
    let call = bed.call("POST", "/charge?till=4").header("cookie", "c=1");
    let answer = call
        .header("content-type", "text/plain")
        .body("five")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 201);
    let id = answer.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_string();
    assert_eq!(answer.text().await.unwrap(), "charged");
    let received = &service.received("/charge")[0];
    assert_eq!(received.line, "POST /charge?till=4 HTTP/1.1");
    assert_eq!(received.body, "five");
    let head = received.head.to_ascii_lowercase();
    assert!(head.contains(&format!("x-request-id: {id}")));
    assert!(head.contains("content-type: text/plain"));
    assert!(
        !head.contains("authorization") && !head.contains("cookie"),
        "{head}"
    );
}

struct InvalidRequest {
    name: &'static str,
    request: reqwest::RequestBuilder,
    status: u16,
    code: &'static str,
}

fn invalid_requests(bed: &TestBed) -> Vec<InvalidRequest> {
    let case = |name, request, status, code| InvalidRequest {
        name,
        request,
        status,
        code,
    };
    let chat = || {
        bed.http
            .post(bed.url("/v1/chat/completions"))
            .bearer_auth(support::KEY)
    };
    let unknown = r#"{"model":"other","messages":[{"role":"user","content":"x"}]}"#;
    let plain = r#"{"model":"pay","messages":[{"role":"user","content":"x"}]}"#;
    let long = "x".repeat(1024 * 1024 + 1);
    let lookup = || bed.call("GET", "/lookup");
    vec![
        case("bad json", chat().body("{"), 400, "invalid_request"),
        case(
            "no messages",
            chat().body(r#"{"model":"chat","messages":[]}"#),
            400,
            "invalid_request",
        ),
        case("too long", chat().body(long), 413, "body_too_large"),
        case(
            "unknown service",
            chat().body(unknown),
            404,
            "unknown_service",
        ),
        case("plain service", chat().body(plain), 400, "invalid_request"),
        case(
            "no key",
            bed.http.get(bed.url("/v1/services/pay/x")),
            401,
            "invalid_key",
        ),
        case(
            "wrong key",
            bed.http.get(bed.url("/v1/services/pay/x")).bearer_auth("k"),
            401,
            "invalid_key",
        ),
        case(
            "deadline",
            lookup().header("x-deadline-ms", "soon"),
            400,
            "invalid_request",
        ),
        case(
            "priority",
            lookup().header("x-priority", "now"),
            400,
            "invalid_request",
        ),
        case(
            "idempotency",
            lookup().header("idempotency-key", "a b"),
            400,
            "invalid_request",
        ),
        case(
            "slash",
            bed.call("POST", "/lookup/..%2fcharge"),
            400,
            "invalid_request",
        ),
        case(
            "no route",
            bed.http.get(bed.url("/v2/x")).bearer_auth(support::KEY),
            404,
            "not_found",
        ),
        case("no endpoint", lookup(), 503, "no_endpoint"),
    ]
}

#[tokio::test]
async fn invalid_requests_are_refused_and_the_entry_keeps_serving() {
    let engine = FakeEndpoint::engine(1).await;
    let bed = bed_with_engine(&engine).await;
    for case in invalid_requests(&bed) {
        let answer = case.request.send().await.unwrap();
        assert_eq!(answer.status(), case.status, "{}", case.name);
        let id = answer.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_string();
        let has_retry_after = answer.headers().contains_key("retry-after");
        assert_eq!(has_retry_after, case.status == 503, "{}", case.name);
        let body: Value = answer.json().await.unwrap();
        assert_eq!(body["error"]["code"], case.code, "{}", case.name);
        assert_eq!(body["error"]["ran"], "not_run", "{}", case.name);
        assert_eq!(body["error"]["request"], id, "{}", case.name);
    }
    let answer = bed.chat(false, "still there?").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let dump = bed.http.get(bed.url("/dump")).send().await.unwrap();
    assert!(!dump.text().await.unwrap().contains(support::KEY));
}

/// A path with dot segments would be matched against the rules as one path and reach the
/// service as another: a charge classified as a lookup would be retried, and could be
/// made twice.
#[tokio::test]
async fn a_path_with_dot_segments_is_refused() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let service = FakeEndpoint::start(|_| plain_answer("200 OK", "")).await;
    let bed = TestBed::start().await;
    let address = service.address.to_string();
    bed.list(vec![listing("pay-1", EndpointKind::Plain, &address)])
        .await;
    for path in ["/lookup/../charge", "/lookup/%2E%2e/charge", "/lookup/.%2E"] {
        let mut stream = tokio::net::TcpStream::connect(bed.entry.http_address)
            .await
            .unwrap();
        let key = support::KEY;
        let request = format!(
            "POST /v1/services/pay{path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
        assert!(answer.contains("invalid_request"), "{path}: {answer}");
    }
    assert!(service.received("HTTP").is_empty());
}

/// Where engines have roles, the prefill engine computes the prompt and hands its KV cache
/// over to the decode engine; if that fails, the answer must still be complete.
#[tokio::test]
async fn a_prompt_is_handed_over_from_prefill_to_decode() {
    for export in ["200 OK", "500 Internal Server Error"] {
        let handle = r#"{"address":"127.0.0.1:1","request":"r","size":1}"#;
        let prefill = FakeEndpoint::start(move |received| {
            if received.line.contains("/kv/export") {
                return plain_answer(export, handle);
            }
            let work = received.generate_request();
            assert!(work.prefill_only);
            let head = Step::Write(OK_HEAD.to_string());
            vec![head, Step::Item(endpoint::end(&work, 0))]
        })
        .await;
        let decode = FakeEndpoint::engine(3).await;
        prefill.set_role(EngineRole::Prefill);
        decode.set_role(EngineRole::Decode);
        let bed = TestBed::start().await;
        let listed = [("p", &prefill), ("d", &decode)]
            .map(|(id, engine)| listing(id, EndpointKind::Engine, &engine.address.to_string()));
        bed.list(listed.to_vec()).await;
        bed.wait_dump(|dump| {
            let slots = dump["endpoints"].as_array().unwrap();
            slots.iter().all(|slot| !slot["status"].is_null())
        })
        .await;
        // The router receives the roles at its next tick.
        bed.wait_roles(2).await;
        let unstreamed = bed.chat(false, "hello").send().await.unwrap();
        let unstreamed: Value = unstreamed.json().await.unwrap();
        assert_eq!(unstreamed["choices"][0]["message"]["content"], "t0 t1 t2 ");
        let work = decode.received("/generate")[0].generate_request();
        assert_eq!(work.import.is_some(), export == "200 OK");
        assert_eq!(prefill.received("/generate").len(), 1);
    }
}

/// Two entries serve one organisation. The work in progress at one must count at the
/// other; otherwise an organisation that spreads its requests over entries exceeds its
/// share, and an engine that one entry has filled appears idle to the other.
#[tokio::test]
async fn entries_receive_each_others_load() {
    let engine = FakeEndpoint::start(|received| {
        let mut steps = endpoint::complete_answer(&received.generate_request(), 3);
        steps.insert(2, Step::Gate);
        steps
    })
    .await;
    let bed = TestBed::start().await;
    let address = engine.address.to_string();
    bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
        .await;
    let second = support::start_entry(support::settings(&bed.platform, "entry-2")).await;
    support::wait_ready(&bed.http, &second).await;
    let running = bed.chat(true, "hello").send().await.unwrap();
    let url = format!("http://{}/dump", second.http_address);
    let others = async || {
        let dump: Value = bed
            .http
            .get(&url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        dump["routes"][0]["other_requests"].as_u64()
    };
    support::eventually(async || others().await == Some(1)).await;
    engine.gate.add_permits(1);
    assert!(running.text().await.unwrap().contains("[DONE]"));
    support::eventually(async || others().await == Some(0)).await;
}
