//! Metering: each delivered answer is counted once.

mod support;

use bluebell_core::{
    records::{LogRecord, UsageLine},
    units::TokenCount,
};
use bluebell_platform::api::EndpointKind;
use futures::StreamExt as _;
use support::{
    TestBed,
    endpoint::{FakeEndpoint, OK_HEAD, Step, plain_answer, token},
    eventually, listing,
};

async fn bed_with(kind: EndpointKind, endpoint: &FakeEndpoint) -> TestBed {
    let bed = TestBed::start().await;
    let address = endpoint.address.to_string();
    bed.list(vec![listing("endpoint-1", kind, &address)]).await;
    bed
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MeteredUsage {
    requests: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

fn metered(bed: &TestBed) -> MeteredUsage {
    let mut sum = MeteredUsage::default();
    for record in bed.platform.records() {
        let LogRecord::Usage(delta) = record else {
            continue;
        };
        for line in delta.lines {
            let UsageLine { requests, .. } = line;
            sum.requests += requests;
            sum.prompt_tokens += TokenCount::count(line.prompt_tokens);
            sum.output_tokens += TokenCount::count(line.output_tokens);
        }
    }
    sum
}

fn usage(requests: u64, prompt_tokens: u64, output_tokens: u64) -> MeteredUsage {
    MeteredUsage {
        requests,
        prompt_tokens,
        output_tokens,
    }
}

#[tokio::test]
async fn delivered_answers_are_metered_once() {
    let engine = FakeEndpoint::engine(3).await;
    let bed = bed_with(EndpointKind::Engine, &engine).await;
    for stream in [true, false] {
        let answer = bed.chat(stream, "x").send().await.unwrap();
        answer.text().await.unwrap();
    }
    eventually(async || metered(&bed) == usage(2, 14, 6)).await;
    bed.entry.stop().await;
}

#[tokio::test]
async fn plain_answers_are_metered_and_refusals_are_not() {
    let service = FakeEndpoint::start(|_| plain_answer("200 OK", "found")).await;
    let bed = bed_with(EndpointKind::Plain, &service).await;
    bed.call("GET", "/lookup")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    bed.chat(true, "x")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    eventually(async || metered(&bed) == usage(1, 0, 0)).await;
}

/// A caller disconnects after a part of the answer. It must not be billed for tokens
/// that were not sent to it.
#[tokio::test]
async fn a_cancelled_answer_is_billed_only_for_sent_tokens() {
    let engine = FakeEndpoint::start(|received| {
        let work = received.generate_request();
        let tokens = (0..2).map(|position| Step::Item(token(&work, position)));
        let head = std::iter::once(Step::Write(OK_HEAD.to_string()));
        head.chain(tokens).chain([Step::Gate]).collect()
    })
    .await;
    let bed = bed_with(EndpointKind::Engine, &engine).await;
    let unstreamed = bed.chat(false, "x").send().await.unwrap();
    drop(unstreamed);
    let streamed = bed.chat(true, "x").send().await.unwrap();
    let mut body = streamed.bytes_stream();
    let mut text = String::new();
    while !text.contains("t1 ") {
        let chunk = body.next().await.unwrap().unwrap();
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    drop(body);
    eventually(async || engine.cancelled().len() == 2).await;
    eventually(async || metered(&bed) == usage(1, 0, 2)).await;
}

/// The log is unavailable while an answer is delivered, and later stores a usage record
/// but its answer to the append is lost. The first answer must still be billed, the
/// second at most once.
#[tokio::test]
async fn usage_is_not_lost_in_an_outage_and_not_doubled_by_a_lost_answer() {
    let engine = FakeEndpoint::engine(3).await;
    let bed = bed_with(EndpointKind::Engine, &engine).await;
    bed.platform.set_appends_down(true);
    bed.chat(true, "x")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    // An append times out after a second, with ten attempts in that second.
    eventually(async || bed.platform.refused_appends() > 15).await;
    bed.platform.set_appends_down(false);
    eventually(async || metered(&bed) == usage(1, 7, 3)).await;
    bed.platform.set_lose_answers(true);
    bed.chat(true, "x")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    bed.wait_metric("bluebell_usage_in_doubt_tokens_total 3")
        .await;
    bed.platform.set_lose_answers(false);
    bed.chat(true, "x")
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    // Readers of the log drop the duplicates of the retried append. Usage that was wrongly
    // queued again would be recorded together with that of the third answer.
    let tokens = async || {
        let dump = bed.http.get(bed.url("/dump")).send().await.unwrap();
        let dump: serde_json::Value = dump.json().await.unwrap();
        let windows = dump["view"]["usage"]["open"].as_object().unwrap().clone();
        let lines = windows.values().flat_map(|lines| lines.as_array().unwrap());
        let tokens = lines.map(|line| line["output_tokens"].as_u64().unwrap());
        tokens.sum::<u64>()
    };
    eventually(async || tokens().await >= 9).await;
    assert_eq!(tokens().await, 9);
}
