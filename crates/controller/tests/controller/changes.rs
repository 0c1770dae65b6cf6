//! Orders to engines, reclaimed endpoints and usage reports, over stand-ins.

use crate::stage::{Stage, domain, instance};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, ModelName, OrganisationId, RequestId, ServiceName},
    records::{CapacityKind, LogRecord, UsageDelta, UsageLine, UsageWindow},
    units::TokenCount,
};
use bluebell_endpoint::api::{EngineStatus, GenerateRequest, StreamItem};
use bluebell_testkit::{control, wait};
use standin_engine::{EngineSettings, RunningEngine, faults::EngineFaults, history::EngineEvent};
use standin_platform::{
    ReclaimRequest,
    faults::{EffectCall, LossKind, LostAnswers, PlatformFaults},
};
use tokio_util::sync::CancellationToken;

async fn engine() -> RunningEngine {
    let settings = EngineSettings {
        model_load: TimeSpan::from_millis(200),
        ..EngineSettings::default()
    };
    let engine = standin_engine::start(settings, ClockSource::new(), CancellationToken::new());
    engine.await.expect("the engine starts")
}

fn long_request() -> GenerateRequest {
    GenerateRequest {
        request: RequestId::new("long").expect("the name is valid"),
        attempt: 1,
        model: ModelName::new("small-chat").expect("the name is valid"),
        prompt: "which key fits my door len=200".to_string(),
        delivered: Vec::new(),
        max_tokens: TokenCount::new(200),
        priority: WorkPriority::Interactive,
        prefill_only: false,
        import: None,
    }
}

/// An operator publishes a new model version while a caller's answer is being
/// written. The engine must load it, and the caller must get the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_model_is_loaded_without_cutting_an_answer() {
    let mut stage = Stage::start().await;
    let engine = engine().await;
    let address = engine.http_address.to_string();
    stage
        .list_engine("engine-1", address.clone(), CapacityKind::Reserved)
        .await;
    let client = reqwest::Client::new();
    let generate = client
        .post(format!("http://{address}/generate"))
        .json(&long_request())
        .send();
    let answer = generate.await.expect("the engine accepts");
    let stalled = EngineFaults {
        stalled: true,
        ..EngineFaults::default()
    };
    let switched = control::set_faults(&address, &stalled).await;
    switched.expect("the engine takes it");
    stage.publish_model("large-chat", None).await;
    let controller = stage.controller("c1").await;
    stage
        .until_view("the engine is marked", |view| {
            view.marks.marks().count() == 1
        })
        .await;
    let status: EngineStatus = control::get(&address, "/state").await.expect("it tells");
    assert_eq!(status.in_flight, 1);
    let healed = control::set_faults(&address, &EngineFaults::default()).await;
    healed.expect("the engine takes it");
    let body = answer.text().await.expect("the answer is not cut");
    let last = body.lines().last().expect("the answer has lines");
    let last: StreamItem = serde_json::from_str(last).expect("lines are JSON");
    assert!(matches!(last, StreamItem::End { .. }), "{last:?}");
    let loaded = wait::until("the engine serves the new model", || async {
        let status: EngineStatus = control::get(&address, "/state").await.ok()?;
        let wanted = status.model.as_str() == "large-chat" && !status.changing;
        wanted.then_some(())
    });
    loaded.await.expect("it does");
    stage
        .until_view("the engine gets work again", |view| {
            view.marks.marks().count() == 0 && view.orders.open_orders().count() == 0
        })
        .await;
    let events: Vec<EngineEvent> = control::history(&address).await.expect("it tells");
    let orders: Vec<(bool, u64)> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Order { effect, cut, .. } => Some((*effect, *cut)),
            _ => None,
        })
        .collect();
    assert_eq!(orders, [(true, 0)]);
    controller.stop().await;
    engine.stop().await;
    stage.stop().await;
}

/// The platform takes the cheaper kind of a whole failure domain back on a few
/// seconds' notice. Entries must stop sending work there before it is gone.
#[tokio::test(flavor = "multi_thread")]
async fn reclaimed_endpoints_are_marked_at_once() {
    let mut stage = Stage::start().await;
    let engine = engine().await;
    let address = engine.http_address.to_string();
    stage.publish_model("small-chat", None).await;
    for name in ["cheap-1", "cheap-2"] {
        stage
            .list_engine(name, address.clone(), CapacityKind::Preemptible)
            .await;
    }
    let controller = stage.controller("c1").await;
    stage
        .until_view("`c1` is in charge", |view| {
            view.leases.leases().count() == 4
        })
        .await;
    let reclaim = ReclaimRequest {
        failure_domain: domain(),
        notice: TimeSpan::from_secs(60),
    };
    let posted = control::post(&stage.address(), "/control/reclaim", &reclaim).await;
    posted.expect("the platform takes it");
    stage
        .until_view("both are marked", |view| {
            let leaving = |name: &str| {
                let endpoint = EndpointId::new(name).expect("the name is valid");
                view.marks.is_leaving(&endpoint)
            };
            leaving("cheap-1") && leaving("cheap-2")
        })
        .await;
    controller.stop().await;
    engine.stop().await;
    stage.stop().await;
}

/// The platform takes a usage report and its answer is lost, twice. The operator
/// must not get two bills, and the window must end up reported.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_whose_answer_was_lost_is_settled_with_one_figure() {
    let mut stage = Stage::start().await;
    let faults = PlatformFaults {
        lost_answers: vec![LostAnswers {
            call: EffectCall::Usage,
            loss: LossKind::Broken,
            every: 1,
            count: Some(2),
        }],
        ..PlatformFaults::default()
    };
    let switched = control::set_faults(&stage.address(), &faults).await;
    switched.expect("the platform takes it");
    let window = UsageWindow::at(ClockSource::new().now(), TimeSpan::from_secs(1));
    let delta = UsageDelta {
        entry: instance("entry-1"),
        window,
        lines: vec![UsageLine {
            organisation: OrganisationId::new("formosa").expect("the name is valid"),
            service: ServiceName::new("assistant").expect("the name is valid"),
            requests: 1,
            prompt_tokens: TokenCount::new(7),
            output_tokens: TokenCount::new(9),
        }],
    };
    stage.append(LogRecord::Usage(delta.clone())).await;
    let first = stage.controller("c1").await;
    let second = stage.controller("c2").await;
    stage
        .until_view("the window is reported", |view| {
            view.usage.last_closed() == Some(window) && view.usage.unreported().count() == 0
        })
        .await;
    let reports = stage.history().await.reports;
    assert!(!reports.is_empty());
    for seen in reports {
        assert_eq!(seen.report.window, window);
        assert_eq!(seen.report.lines, delta.lines);
    }
    first.stop().await;
    second.stop().await;
    stage.stop().await;
}
