//! Orders to engines, reclaimed endpoints and usage reports, over stand-ins.

use crate::stage::{Stage, ToldDemand, domain, instance};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, ModelName, OrderId, OrganisationId, RequestId, ServiceName},
    records::{CapacityKind, DutyName, EngineRole, LogRecord, UsageDelta, UsageLine, UsageWindow},
    roles::{PoolDemand, TokenDemand},
    routing::RoutePool,
    units::{TokenCount, TokenRate},
    view::FleetView,
};
use bluebell_endpoint::api::{EngineStatus, GenerateRequest, StreamItem};
use bluebell_testkit::{control, wait};
use standin_engine::{EngineSettings, RunningEngine, faults::EngineFaults, history::EngineEvent};
use standin_platform::{
    ReclaimRequest,
    faults::{EffectCall, LossKind, LostAnswers, PlatformFaults},
    history::EndpointOrder,
};
use tokio_util::sync::CancellationToken;

async fn engine() -> RunningEngine {
    let settings = EngineSettings {
        model_load: TimeSpan::from_millis(200),
        role_change: TimeSpan::from_millis(200),
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

fn demand(arriving: TokenDemand) -> ToldDemand {
    let demand = PoolDemand {
        pool: RoutePool::Model(ModelName::new("small-chat").expect("the name is valid")),
        short: arriving,
        long: arriving,
    };
    Arc::new(Mutex::new(demand))
}

/// Lets the platform carry out the first such call and not answer it.
async fn lose_first_answer(stage: &Stage, call: EffectCall) {
    let lost = LostAnswers {
        call,
        loss: LossKind::Withheld,
        every: 1,
        count: Some(1),
    };
    let faults = PlatformFaults {
        lost_answers: vec![lost],
        ..PlatformFaults::default()
    };
    let switched = control::set_faults(&stage.address(), &faults).await;
    switched.expect("the platform takes it");
}

/// Waits until the engine serves `model` and gets work again.
async fn until_serving(stage: &Stage, address: &str, model: &str) {
    let loaded = wait::until("the engine serves the new model", || async {
        let status: EngineStatus = control::get(address, "/state").await.ok()?;
        let wanted = status.model.as_str() == model && !status.changing;
        wanted.then_some(())
    });
    loaded.await.expect("it does");
    stage
        .until_view("the engine gets work again", |view| {
            view.drain_marks.iter().count() == 0 && view.orders.open_orders().count() == 0
        })
        .await;
}

/// Waits for a renewal of the engines' duty, between which its holder looks at
/// the engines several times.
async fn until_renewed(stage: &Stage) {
    let latest = |view: &FleetView| {
        let lease = view.leases.held(&DutyName::Engines(domain()));
        lease.map(|lease| lease.latest)
    };
    let before = latest(&stage.view().await);
    stage
        .until_view("the duty is renewed", |view| latest(view) > before)
        .await;
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
    let first = stage.publish_model("large-chat", None).await;
    let controller = stage.controller("c1").await;
    stage
        .until_view("the engine is marked", |view| {
            view.drain_marks.iter().count() == 1
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
    until_serving(&stage, &address, "large-chat").await;
    until_renewed(&stage).await;
    stage.publish_model("huge-chat", Some(first)).await;
    until_serving(&stage, &address, "huge-chat").await;
    let events: Vec<EngineEvent> = control::history(&address).await.expect("it tells");
    let orders: Vec<(bool, u64)> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Order { effect, cut, .. } => Some((*effect, *cut)),
            _ => None,
        })
        .collect();
    assert_eq!(orders, [(true, 0), (true, 0)], "one order for each model");
    controller.stop().await;
    engine.stop().await;
    stage.stop().await;
}

/// An entry lives and reads the log. The change must go on as soon as the entry has
/// said that it read the mark, not after the bound for entries that say nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_goes_by_the_word_of_a_live_entry() {
    let mut stage = Stage::start().await;
    let engine = engine().await;
    let address = engine.http_address.to_string();
    stage
        .list_engine("engine-1", address.clone(), CapacityKind::Reserved)
        .await;
    let token = CancellationToken::new();
    let entry = stage.entry_node("entry-1", &token).await;
    let controller = stage
        .controller_with("c1", |settings| {
            settings.orders.drain_bound = TimeSpan::from_secs(86_400);
        })
        .await;
    let heard = wait::until("the entry and the controller are peers", || async {
        let peers = entry.peers();
        let known = peers.iter().any(|peer| peer.next_offset.is_some());
        known.then_some(())
    });
    heard.await.expect("they are");
    stage.publish_model("large-chat", None).await;
    until_serving(&stage, &address, "large-chat").await;
    controller.stop().await;
    token.cancel();
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
                view.drain_marks.is_draining(&endpoint)
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

/// More work arrives than the fleet can do, and the answer to the first start
/// order is lost after it took effect. Ordered again under another id it would
/// bring an endpoint that nobody needs and everybody pays for.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_whose_answer_was_lost_starts_one_endpoint() {
    let mut stage = Stage::start().await;
    lose_first_answer(&stage, EffectCall::Endpoint).await;
    stage.publish_model("small-chat", None).await;
    let engine = engine().await;
    let address = engine.http_address.to_string();
    stage
        .list_engine("engine-1", address.clone(), CapacityKind::Reserved)
        .await;
    stage.add_spare("engine-2", address.clone()).await;
    stage.add_spare("engine-3", address.clone()).await;
    let arriving = TokenDemand {
        prefill: TokenRate::new(4_000),
        decode: TokenRate::new(600),
    };
    let entry = stage.list_entry(demand(arriving)).await;
    let controller = stage.controller("c1").await;
    let started = wait::until("a start is sent again and settled", || async {
        let settled = stage.view().await.orders.open_orders().count() == 0;
        let mut effects: BTreeMap<OrderId, Vec<bool>> = BTreeMap::new();
        for seen in stage.history().await.orders {
            let EndpointOrder::Start(start) = seen.order else {
                continue;
            };
            effects.entry(start.order).or_default().push(seen.effect);
        }
        let repeated = effects.values().any(|sent| sent.len() > 1);
        (settled && repeated).then_some(effects)
    });
    for (order, sent) in started.await.expect("it is") {
        let taken = sent.iter().filter(|effect| **effect).count();
        assert!(taken <= 1, "`{order}` took effect {sent:?}");
        assert!(sent.len() == 1 || taken == 1, "`{order}` was lost");
    }
    controller.stop().await;
    entry.stop().await;
    engine.stop().await;
    stage.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_role_changes_when_the_work_that_arrives_asks_for_it() {
    let mut stage = Stage::start().await;
    stage.publish_model("small-chat", None).await;
    let mut engines = Vec::new();
    for name in ["engine-1", "engine-2", "engine-3"] {
        let engine = engine().await;
        let address = engine.http_address.to_string();
        stage
            .list_engine(name, address, CapacityKind::Reserved)
            .await;
        engines.push(engine);
    }
    let arriving = TokenDemand {
        prefill: TokenRate::new(12_000),
        decode: TokenRate::new(300),
    };
    let entry = stage.list_entry(demand(arriving)).await;
    let controller = stage.controller("c1").await;
    let changed = wait::until("an engine only prefills", || async {
        for engine in &engines {
            let address = engine.http_address.to_string();
            let status: EngineStatus = control::get(&address, "/state").await.ok()?;
            if status.role == EngineRole::Prefill && !status.changing {
                return Some(());
            }
        }
        None
    });
    changed.await.expect("it does");
    controller.stop().await;
    entry.stop().await;
    for engine in engines {
        engine.stop().await;
    }
    stage.stop().await;
}

/// Fewer callers come, and the fleet begins to give an engine up that still writes
/// an answer; then they come back. Stopping it now and starting another would
/// leave callers waiting for the new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_is_taken_back_when_the_work_returns() {
    let mut stage = Stage::start().await;
    stage.publish_model("small-chat", None).await;
    let mut engines = Vec::new();
    for name in ["engine-1", "engine-2"] {
        let engine = engine().await;
        let address = engine.http_address.to_string();
        let stalled = EngineFaults {
            stalled: true,
            ..EngineFaults::default()
        };
        let switched = control::set_faults(&address, &stalled).await;
        switched.expect("the engine takes it");
        stage
            .list_engine(name, address, CapacityKind::Reserved)
            .await;
        engines.push(engine);
    }
    let client = reqwest::Client::new();
    let mut answers = Vec::new();
    for engine in &engines {
        let url = format!("http://{}/generate", engine.http_address);
        let answer = client.post(url).json(&long_request()).send().await;
        answers.push(answer.expect("the engine accepts"));
    }
    let told = demand(TokenDemand::default());
    let entry = stage.list_entry(told.clone()).await;
    let controller = stage
        .controller_with("c1", |settings| {
            settings.fleet.planner.min_lifetime = TimeSpan::ZERO;
            settings.fleet.every = TimeSpan::from_millis(100);
            settings.roles.enabled = false;
        })
        .await;
    stage
        .until_view("one engine is marked", |view| {
            view.drain_marks.iter().count() == 1
        })
        .await;
    let much = TokenDemand {
        prefill: TokenRate::new(2_000),
        decode: TokenRate::new(300),
    };
    told.lock().expect("no holder panics").short = much;
    stage
        .until_view("no engine is marked", |view| {
            view.drain_marks.iter().count() == 0
        })
        .await;
    assert_eq!(stage.history().await.orders, []);
    drop(answers);
    controller.stop().await;
    entry.stop().await;
    for engine in engines {
        engine.stop().await;
    }
    stage.stop().await;
}

/// An engine that nobody needs is stopped, and the answer to the order is lost.
/// Its bill must end, and the engine that is left must not be stopped in its place.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_whose_answer_was_lost_stops_one_engine() {
    let mut stage = Stage::start().await;
    lose_first_answer(&stage, EffectCall::Endpoint).await;
    stage.publish_model("small-chat", None).await;
    let engine = engine().await;
    let address = engine.http_address.to_string();
    for name in ["engine-1", "engine-2"] {
        stage
            .list_engine(name, address.clone(), CapacityKind::Reserved)
            .await;
    }
    let entry = stage.list_entry(demand(TokenDemand::default())).await;
    let controller = stage
        .controller_with("c1", |settings| {
            settings.fleet.planner.min_lifetime = TimeSpan::ZERO;
            settings.fleet.every = TimeSpan::from_millis(100);
        })
        .await;
    let stopped = wait::until("an engine is stopped and forgotten", || async {
        let orders = stage.history().await.orders;
        let view = stage.view().await;
        let done = view.orders.open_orders().count() == 0 && view.drain_marks.iter().count() == 0;
        (done && !orders.is_empty()).then_some(orders)
    });
    let effects = stopped.await.expect("it is");
    let effects = effects.iter().filter(|seen| seen.effect);
    assert_eq!(effects.count(), 1);
    controller.stop().await;
    entry.stop().await;
    engine.stop().await;
    stage.stop().await;
}
