//! The choice of runners by their slots.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::EngineRule,
    placement::{EngineTable, PlanRequest, PromptWork, slot_cost_ms},
    routing::RoutingSettings,
    units::{ByteSize, TokenCount},
};

const SLOTS: u32 = 16;
const NOW: ClockTime = ClockTime::from_millis(1_000);

fn id(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

fn engine(name: &str, stage: Option<EngineStage>) -> EndpointRegistration {
    EndpointRegistration {
        id: id(name),
        start: 1,
        service: ServiceName::new("chat").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new("a").unwrap(),
        version: SoftwareVersion::new("v1"),
        slots: SLOTS,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage,
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

/// Engines of one stage with so many running requests, beside an engine that prefills.
fn table(stage: Option<EngineStage>, running: &[(&str, u32)]) -> EngineTable {
    let mut table = EngineTable::new(RoutingSettings::default()).with_seed(1);
    table.set_engine(NOW, &engine("prefill", Some(EngineStage::Prefill)));
    for (name, running) in running {
        table.set_engine(NOW, &engine(name, stage));
        for _ in 0..*running {
            table.run_started(&id(name));
        }
    }
    table
}

/// A request for the engines of [`table`].
struct ChatRequest {
    service: ServiceName,
    rule: EngineRule,
    work: PromptWork,
}

impl ChatRequest {
    fn new(prompt: u32) -> ChatRequest {
        ChatRequest {
            service: ServiceName::new("chat").unwrap(),
            rule: EngineRule {
                slots: SLOTS,
                memory: TokenCount::new(465_010),
                token_bytes: ByteSize::new(18_432),
                link_bytes_per_ms: 68_750_000,
                handle_lifetime: TimeSpan::from_secs(5),
                stage_switch: TimeSpan::from_secs(3),
                has_backups: false,
            },
            work: PromptWork::new(&format!("{prompt},100"), "").unwrap(),
        }
    }

    fn plan_request(&self) -> PlanRequest<'_> {
        PlanRequest {
            service: &self.service,
            rule: &self.rule,
            work: &self.work,
            priority: 1,
            excluded: &[],
            origin: None,
            time_left: TimeSpan::from_secs(60),
        }
    }
}

fn runner(table: &mut EngineTable) -> String {
    let request = ChatRequest::new(4_000);
    let runner = table.choose_runner(NOW, request.plan_request(), &id("prefill"));
    runner.unwrap().id.to_string()
}

/// Queues the prefill of a prompt of this size at an engine.
fn queue_prefill(table: &mut EngineTable, name: &str, prompt: u32) {
    let request = ChatRequest::new(prompt);
    let mut plan = table.plan(NOW, request.plan_request()).unwrap();
    plan.engine.id = id(name);
    table.prefill_sent(NOW, &plan, &request.work);
}

const DECODE: Option<EngineStage> = Some(EngineStage::Decode);

/// Guards against streams that wait for a slot at one engine while another has a free one.
#[test]
fn a_full_engine_is_chosen_only_if_all_are_full() {
    let mut engines = table(DECODE, &[("full", SLOTS), ("last", SLOTS - 1)]);
    // The engine with a free slot has half a second of prefills queued.
    queue_prefill(&mut engines, "last", 27_500);
    assert_eq!(runner(&mut engines), "last");
    let mut engines = table(DECODE, &[("longer", SLOTS + 6), ("full", SLOTS)]);
    assert_eq!(runner(&mut engines), "full");
}

/// Guards against a nearly full engine that takes the requests of several instances at once while
/// an empty one has a short queue.
#[test]
fn a_short_queue_is_better_than_the_last_slots() {
    let mut engines = table(DECODE, &[("busy", SLOTS - 2), ("empty", 0)]);
    queue_prefill(&mut engines, "empty", 2_500);
    assert_eq!(runner(&mut engines), "empty");
    let mut engines = table(DECODE, &[("half", SLOTS / 2), ("empty", 0)]);
    queue_prefill(&mut engines, "empty", 2_500);
    assert_eq!(runner(&mut engines), "half");
}

/// Guards against an engine that prefills and runs and is chosen by its queue alone though it is
/// full.
#[test]
fn engines_without_stages_are_planned_by_their_slots() {
    let mut engines = table(None, &[("full", SLOTS), ("free", 3)]);
    engines.remove_engine(&id("prefill"));
    queue_prefill(&mut engines, "free", 27_500);
    let request = ChatRequest::new(4_000);
    let plan = engines.plan(NOW, request.plan_request()).unwrap();
    assert_eq!(plan.engine.id, id("free"));
}

/// Guards against prompts that are prefilled by the engines that run requests, which delays all of
/// these, in a burst that takes the slots of all of them.
#[test]
fn prompts_are_prefilled_apart_while_all_slots_are_taken() {
    let mut engines = table(DECODE, &[("full", SLOTS + 4), ("busy", SLOTS - 1)]);
    let request = ChatRequest::new(4_000);
    let plan = engines.plan(NOW, request.plan_request()).unwrap();
    assert_eq!(plan.engine.id, id("prefill"));
    let mut engines = table(DECODE, &[("full", SLOTS + 4), ("fuller", SLOTS + 8)]);
    let plan = engines.plan(NOW, request.plan_request()).unwrap();
    assert_eq!(plan.engine.id, id("prefill"));
}

/// Guards against deployments whose engines are mostly empty, or tell no slots, and that are served
/// differently than before.
#[test]
fn below_three_quarters_of_the_slots_each_request_costs_as_much() {
    for running in 0..48 {
        assert_eq!(slot_cost_ms(running, 64), f64::from(running));
    }
    assert_eq!(slot_cost_ms(100, 0), 100.0);
    let costs: Vec<f64> = (0..=80).map(|running| slot_cost_ms(running, 64)).collect();
    assert!(costs.is_sorted());
}
