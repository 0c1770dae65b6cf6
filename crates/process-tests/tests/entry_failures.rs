//! What callers see when entries end, connections go silent, or requests are bad.

use anyhow::Context;
use bluebell_core::{clock::ClockSource, units::TokenCount};
use bluebell_load::{
    caller::{ChatAsk, ChatEnd},
    verdict::{AnswerVerdict, judge},
};
use bluebell_testkit::{
    callers::{first_answer, record_all},
    control,
    fleet::{CHAT_SERVICE, FleetShape, TestFleet},
    histories::{
        callers::{CallerRecord, no_shutdown_cut, true_refusals, whole_answers},
        endpoints::accepted_requests,
    },
    wait,
};
use reqwest::StatusCode;
use serde_json::{Value, json};
use standin_engine::history::EngineEvent;

const KEY: &str = "key-of-acme";

/// A fleet of one entry over slow engines, which has served one request.
async fn serving_fleet(engines: usize) -> anyhow::Result<TestFleet> {
    let mut shape = FleetShape::new();
    shape.engines = engines;
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    first_answer(&ask(&fleet, "warm up len=2")).await?;
    Ok(fleet)
}

fn ask(fleet: &TestFleet, content: &str) -> ChatAsk {
    let entry = fleet.entries[0].process.http();
    ChatAsk::new(entry, KEY, CHAT_SERVICE, content)
}

async fn engine_events(fleet: &TestFleet) -> anyhow::Result<Vec<EngineEvent>> {
    let mut all = Vec::new();
    for engine in &fleet.engines {
        let events: Vec<EngineEvent> = control::history(engine.process.http()).await?;
        all.extend(events);
    }
    Ok(all)
}

/// Waits until engines have accepted so many requests since their start.
async fn streams_at_engines(fleet: &TestFleet, count: usize) -> anyhow::Result<()> {
    wait::until("all streams are at engines", || async {
        let events = engine_events(fleet).await.ok()?;
        (accepted_requests(&events).len() == count).then_some(())
    })
    .await
}

/// An instance is replaced while people read their answers. If the entry closed
/// its connections when it is told to end, each of them would see an answer
/// that stops in the middle of a sentence.
#[tokio::test]
async fn an_entry_told_to_end_finishes_its_streams() -> anyhow::Result<()> {
    let mut fleet = serving_fleet(2).await?;
    // Rocket's own grace and mercy are two seconds together; these answers take
    // longer than that.
    let asks = (0..8).map(|number| {
        let mut ask = ask(&fleet, &format!("long story {number} len=4000"));
        ask.max_tokens = TokenCount::new(4_000);
        ask
    });
    let clock = ClockSource::new();
    let running = record_all(&clock, asks.collect());
    streams_at_engines(&fleet, 9).await?;
    fleet.entries[0].process.terminate()?;
    let records = running.await?;
    assert_eq!(no_shutdown_cut(&records), []);
    assert_eq!(whole_answers(&records), []);
    let whole = |end: &ChatEnd| matches!(end, ChatEnd::Whole { .. });
    assert!(records.iter().all(|record| whole(&record.answer.end)));
    let status = fleet.entries[0].process.ended().await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

/// Something between an entry and an engine loses track of the open connections:
/// they stay open and bring nothing more, while new ones work. The person at the
/// screen would wait for the rest of the answer for good.
#[tokio::test]
async fn silent_connections_do_not_cost_the_answer() -> anyhow::Result<()> {
    let fleet = serving_fleet(2).await?;
    let asks = (0..4).map(|number| ask(&fleet, &format!("question {number} len=400")));
    let clock = ClockSource::new();
    let running = record_all(&clock, asks.collect());
    streams_at_engines(&fleet, 5).await?;
    for engine in &fleet.engines {
        control::post(engine.process.http(), "/control/silence", &json!({})).await?;
    }
    let records = running.await?;
    assert_eq!(whole_answers(&records), []);
    for record in &records {
        assert!(
            matches!(record.answer.end, ChatEnd::Whole { .. }),
            "{:?}",
            record.answer.end
        );
    }
    Ok(())
}

const STREAM_FAULTS: [&str; 4] = ["truncated", "doubled", "crossed", "silent"];

async fn ask_with_fault(fleet: &TestFleet, fault: &Value) -> anyhow::Result<Vec<CallerRecord>> {
    let engine = fleet.engines[0].process.http();
    control::set_faults(engine, &json!({"stream": fault})).await?;
    let asks = (0..4).map(|number| ask(fleet, &format!("{fault} {number} len=20")));
    Ok(record_all(&ClockSource::new(), asks.collect()).await?)
}

/// An engine's streams end early, go silent, bring a token twice, or bring a
/// token of another request, as when answers are crossed on their way. This
/// happens once to each request; the caller gets the whole answer all the same.
#[tokio::test]
async fn broken_streams_do_not_cost_the_answer() -> anyhow::Result<()> {
    let fleet = serving_fleet(2).await?;
    for kind in STREAM_FAULTS {
        let fault = json!({"kind": kind, "after": 3, "streams": 2});
        let records = ask_with_fault(&fleet, &fault).await?;
        assert_eq!(whole_answers(&records), [], "{kind}");
        for record in &records {
            let end = &record.answer.end;
            assert!(matches!(end, ChatEnd::Whole { .. }), "{kind}: {end:?}");
        }
    }
    Ok(())
}

/// An engine breaks each of its streams, again and again. A caller that gets no
/// whole answer must be told so, and never "not run", since the engine did run.
#[tokio::test]
async fn engines_that_break_all_streams_pass_off_no_answer_as_whole() -> anyhow::Result<()> {
    let fleet = serving_fleet(1).await?;
    for kind in STREAM_FAULTS {
        let records = ask_with_fault(&fleet, &json!({"kind": kind, "after": 3})).await?;
        assert_eq!(whole_answers(&records), [], "{kind}");
        let executed = accepted_requests(&engine_events(&fleet).await?);
        assert_eq!(true_refusals(&records, &executed), [], "{kind}");
        let cut = |record: &CallerRecord| matches!(record.answer.end, ChatEnd::Cut(_));
        assert!(!records.iter().any(cut), "{kind}");
    }
    Ok(())
}

/// One engine breaks each of its streams, and another one is fine. The first
/// answers probes as if nothing were wrong, so an entry that trusts those would
/// try it until it gives up, and the person at the screen would go without an
/// answer that the other engine could give.
#[tokio::test]
async fn an_engine_that_breaks_all_streams_does_not_cost_the_answer() -> anyhow::Result<()> {
    let fleet = serving_fleet(2).await?;
    for kind in STREAM_FAULTS {
        let records = ask_with_fault(&fleet, &json!({"kind": kind, "after": 3})).await?;
        assert_eq!(whole_answers(&records), [], "{kind}");
        for record in &records {
            let end = &record.answer.end;
            assert!(matches!(end, ChatEnd::Whole { .. }), "{kind}: {end:?}");
        }
    }
    Ok(())
}

/// A caller walks away while its request is at the engine. If the engine were
/// not told, it would go on working for nobody, and others would wait for it.
#[tokio::test]
async fn a_caller_who_walks_away_frees_the_engine() -> anyhow::Result<()> {
    let fleet = serving_fleet(1).await?;
    let mut leaving = ask(&fleet, "never mind len=4000");
    leaving.cancel_after = Some(2);
    let records = record_all(&ClockSource::new(), vec![leaving]).await?;
    assert_eq!(records[0].answer.end, ChatEnd::Cancelled);
    let engine = fleet.engines[0].process.http();
    wait::until("the engine has nothing left to do", || async {
        let state: Value = control::get(engine, "/state").await.ok()?;
        (state["in_flight"] == 0).then_some(())
    })
    .await?;
    let events = engine_events(&fleet).await?;
    let generated = events.iter().filter_map(|event| match event {
        EngineEvent::Ended { tokens, .. } => Some(*tokens),
        _ => None,
    });
    assert!(generated.max().unwrap_or(0) < 4_000);
    Ok(())
}

/// Some callers send what no one can use: no JSON, too much of it, a wrong key,
/// the name of a service that does not exist. Each must be told what is wrong,
/// and the others' requests must not suffer from it.
#[tokio::test]
async fn bad_requests_get_clear_errors_and_leave_the_entry_serving() -> anyhow::Result<()> {
    let fleet = serving_fleet(1).await?;
    let base = format!("http://{}", fleet.entries[0].process.http());
    let chat = format!("{base}/v1/chat/completions");
    let message = json!([{"role": "user", "content": "hello"}]);
    let good = json!({"model": CHAT_SERVICE, "messages": message}).to_string();
    let unknown = json!({"model": "nobody", "messages": message}).to_string();
    let large = "x".repeat(2 * 1024 * 1024);
    let strange = format!("{base}/v1/services/nobody/lookup");
    let cases = [
        (&chat, KEY, "{no json", StatusCode::BAD_REQUEST),
        (&chat, KEY, "", StatusCode::BAD_REQUEST),
        (&chat, KEY, large.as_str(), StatusCode::PAYLOAD_TOO_LARGE),
        (&chat, "wrong-key", good.as_str(), StatusCode::UNAUTHORIZED),
        (&chat, KEY, unknown.as_str(), StatusCode::NOT_FOUND),
        (&strange, KEY, "", StatusCode::NOT_FOUND),
    ];
    let http = reqwest::Client::new();
    for (url, key, body, expected) in cases {
        let request = http.post(url).bearer_auth(key).body(body.to_string());
        let response = request.send().await.context("the entry answers")?;
        assert_eq!(response.status(), expected);
        let error: Value = response.json().await?;
        assert_eq!(error["error"]["ran"], "not_run", "{error}");
        assert!(error["error"]["code"].is_string(), "{error}");
        assert!(error["error"]["request"].is_string(), "{error}");
    }
    let ask = ask(&fleet, "still there? len=5");
    let answer = first_answer(&ask).await?;
    assert_eq!(judge(&ask, &answer), AnswerVerdict::Right);
    Ok(())
}

/// No endpoint is left that takes the work. Somebody at a screen must learn at
/// once that nothing was done and when to come back.
#[tokio::test]
async fn work_that_no_engine_takes_is_refused_as_not_run() -> anyhow::Result<()> {
    let fleet = serving_fleet(1).await?;
    let engine = fleet.engines[0].process.http();
    control::set_faults(engine, &json!({"refuse_all": true})).await?;
    let records = record_all(&ClockSource::new(), vec![ask(&fleet, "anyone?")]).await?;
    let ChatEnd::Refused(refusal) = &records[0].answer.end else {
        anyhow::bail!("not refused: {:?}", records[0].answer.end);
    };
    assert_eq!(refusal.ran, "not_run");
    assert!(records[0].answer.retry_after);
    let executed = accepted_requests(&engine_events(&fleet).await?);
    assert_eq!(true_refusals(&records, &executed), []);
    Ok(())
}

/// An engine process dies under running work and nobody starts it again. The
/// work goes on at another engine with what the caller already has.
#[tokio::test]
async fn a_lost_engine_does_not_cost_the_answer() -> anyhow::Result<()> {
    let fleet = serving_fleet(2).await?;
    let asks = (0..6).map(|number| ask(&fleet, &format!("tale {number} len=300")));
    let clock = ClockSource::new();
    let running = record_all(&clock, asks.collect());
    streams_at_engines(&fleet, 7).await?;
    fleet.engines[0].process.kill()?;
    let records = running.await?;
    assert_eq!(whole_answers(&records), []);
    for record in &records {
        assert!(
            matches!(record.answer.end, ChatEnd::Whole { .. }),
            "{:?}",
            record.answer.end
        );
    }
    Ok(())
}

/// A key is withdrawn while its holder's answer is on its way, and its holder
/// goes on asking. Within seconds neither may get anything more.
#[tokio::test]
async fn a_withdrawn_key_ends_streams_and_admits_nobody() -> anyhow::Result<()> {
    let mut fleet = serving_fleet(1).await?;
    let running = record_all(&ClockSource::new(), vec![ask(&fleet, "long len=4000")]);
    wait::until("the stream is at the engine", || async {
        let events = engine_events(&fleet).await.ok()?;
        (accepted_requests(&events).len() == 2).then_some(())
    })
    .await?;
    fleet.withdraw_key(KEY).await?;
    let records = running.await?;
    let ChatEnd::Refused(refusal) = &records[0].answer.end else {
        anyhow::bail!("not refused: {:?}", records[0].answer.end);
    };
    assert_eq!(refusal.code, "key_withdrawn");
    let after = record_all(&ClockSource::new(), vec![ask(&fleet, "again?")]).await?;
    let ChatEnd::Refused(refusal) = &after[0].answer.end else {
        anyhow::bail!("not refused: {:?}", after[0].answer.end);
    };
    assert_eq!(refusal.code, "invalid_key");
    Ok(())
}
