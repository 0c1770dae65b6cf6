//! Selection of the engines that prefill prompts and run requests.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, InstanceId, ServiceName},
    ingress::EngineRule,
    placement::{
        EngineKey, EngineLoad, EngineTable, PRIORITY_RANKS, PeerLoad, PeerPart, PlacementError,
        PlanRequest, PrefillPlan, PromptWork, TrackedLoad,
    },
    routing::RoutingSettings,
    units::{ByteSize, TokenCount},
};

const CHAT_PRIORITY: u8 = 1;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn id(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

fn engine(name: &str, domain: &str, stage: EngineStage) -> EndpointRegistration {
    EndpointRegistration {
        id: id(name),
        start: 1,
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new(domain).unwrap(),
        version: SoftwareVersion::new("v1"),
        slots: 64,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(stage),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

fn rule() -> EngineRule {
    EngineRule {
        slots: 64,
        memory: TokenCount::new(465_010),
        token_bytes: ByteSize::new(18_432),
        link_bytes_per_ms: 68_750_000,
        handle_lifetime: TimeSpan::from_secs(5),
        stage_switch: TimeSpan::from_secs(3),
        has_backups: false,
    }
}

fn table(engines: &[(&str, &str, EngineStage)]) -> EngineTable {
    let mut table = EngineTable::new(RoutingSettings::default()).with_seed(1);
    for (name, domain, stage) in engines {
        table.set_engine(at(0), &engine(name, domain, *stage));
    }
    table
}

struct TestRequest {
    service: ServiceName,
    rule: EngineRule,
    work: PromptWork,
    priority: u8,
    excluded: Vec<EndpointId>,
    time_left: TimeSpan,
}

impl TestRequest {
    fn new(sizes: &str, parts: &str) -> TestRequest {
        TestRequest {
            service: service(),
            rule: rule(),
            work: PromptWork::new(sizes, parts).unwrap(),
            priority: CHAT_PRIORITY,
            excluded: Vec::new(),
            time_left: TimeSpan::from_secs(60),
        }
    }

    fn with_time_left(mut self, millis: u64) -> TestRequest {
        self.time_left = TimeSpan::from_millis(millis);
        self
    }

    fn with_priority(mut self, priority: u8) -> TestRequest {
        self.priority = priority;
        self
    }

    fn plan_request(&self) -> PlanRequest<'_> {
        PlanRequest {
            service: &self.service,
            rule: &self.rule,
            work: &self.work,
            priority: self.priority,
            excluded: &self.excluded,
            origin: None,
            time_left: self.time_left,
        }
    }
}

fn plan(table: &mut EngineTable, now: u64, request: &TestRequest) -> PrefillPlan {
    table.plan(at(now), request.plan_request()).unwrap()
}

const P: EngineStage = EngineStage::Prefill;
const D: EngineStage = EngineStage::Decode;

#[test]
fn a_request_is_prefilled_where_its_shared_part_is_held() {
    // A review shares 4,870 tokens with others of the same subject; an engine that
    // holds them prefills it in two thirds of the time.
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let first = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let chosen = plan(&mut table, 0, &first);
    let ticket = table.prefill_sent(at(0), &chosen, &first.work);
    table.prefill_done(at(150), &chosen, ticket, at(0));
    for turn in 0..10 {
        let next = TestRequest::new("6100,35", &format!("aa:512,bb:4870,{turn}d:718"));
        let plan = plan(&mut table, 200 + turn, &next);
        assert_eq!(plan.engine, chosen.engine);
        assert_eq!(plan.held_tokens, 5_382);
    }
}

#[test]
fn a_popular_part_does_not_overload_one_engine() {
    // All requests share the part of one subject and arrive at once. The queue of the
    // engine that holds the part grows until prefilling the part again on another
    // engine is quicker than waiting.
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let mut engines = BTreeSet::new();
    for turn in 0..20 {
        let request = TestRequest::new("6000,35", &format!("aa:512,bb:4870,{turn}c:618"));
        let plan = plan(&mut table, 0, &request);
        engines.insert(plan.engine.id.clone());
        table.prefill_sent(at(0), &plan, &request.work);
    }
    assert_eq!(engines.len(), 2);
}

#[test]
fn entries_without_peer_messages_select_the_same_engine() {
    // Nine entries each receive a ninth of the requests for a subject. If each selected
    // a different engine, the shared part would be prefilled nine times.
    let engines = [
        ("p1", "a", P),
        ("p2", "b", P),
        ("p3", "c", P),
        ("d1", "a", D),
    ];
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let choices: BTreeSet<EndpointId> = (0..9)
        .map(|seed| {
            let mut table = table(&engines).with_seed(seed);
            plan(&mut table, 0, &request).engine.id
        })
        .collect();
    assert_eq!(choices.len(), 1);
}

#[test]
fn prefills_queued_by_another_entry_count_towards_the_wait() {
    // Another entry has sent half a second of prefills to the engine that holds the
    // part. An entry that considered only its own requests would send more there.
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let request = TestRequest::new("900,26", "aa:119,bb:79,c1:702");
    let chosen = plan(&mut table, 0, &request);
    let mut load = EngineLoad::default();
    load.prefill_ms[0] = 500.0;
    let report = PeerLoad {
        engine: table.hash(&chosen.engine.id).unwrap(),
        load,
    };
    let peer = InstanceId::new("peer").unwrap();
    table.note_peer(at(0), &peer, &[report], &[]);
    assert_ne!(plan(&mut table, 1, &request).engine, chosen.engine);
    // A load report that is several seconds old is ignored.
    assert_eq!(plan(&mut table, 4_000, &request).engine, chosen.engine);
    // A report that does not name the engine means that the entry has no load there.
    table.note_peer(at(4_000), &peer, &[], &[]);
    assert_eq!(plan(&mut table, 4_001, &request).engine, chosen.engine);
}

/// Guards against prefills behind those of other instances that only the tracker knows of, and
/// against answers that count for longer than they are right, or for another start.
#[test]
fn the_answer_of_a_tracker_counts_for_a_moment() {
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let request = TestRequest::new("900,26", "aa:119,bb:79,c1:702");
    let chosen = plan(&mut table, 0, &request);
    let candidates = table.prefill_candidates(at(0), request.plan_request());
    let asked: Vec<EngineKey> = candidates.iter().map(|one| one.engine).collect();
    assert_eq!(asked.len(), 2, "no engine of the decode stage");
    let mut load = EngineLoad::default();
    load.prefill_ms[0] = 500.0;
    let mut tracked = TrackedLoad {
        engine: EngineKey {
            hash: table.hash(&chosen.engine.id).unwrap(),
            start: 2,
        },
        load,
        oldest: TimeSpan::ZERO,
    };
    let mut engine_at = |now: u64, tracked: &TrackedLoad| {
        table.note_tracked(at(0), tracked);
        let plan = table.plan_among(at(now), request.plan_request(), &asked);
        plan.unwrap().engine
    };
    assert_eq!(engine_at(1, &tracked), chosen.engine);
    tracked.engine.start = 1;
    assert_ne!(engine_at(1, &tracked), chosen.engine);
    assert_eq!(engine_at(301, &tracked), chosen.engine);
    // It counts in place of what other instances reported, not in addition.
    let report = PeerLoad {
        engine: tracked.engine.hash,
        load: std::mem::take(&mut tracked.load),
    };
    let peer = InstanceId::new("peer").unwrap();
    table.note_peer(at(400), &peer, &[report], &[]);
    assert_ne!(plan(&mut table, 400, &request).engine, chosen.engine);
    table.note_tracked(at(400), &tracked);
    assert_eq!(plan(&mut table, 400, &request).engine, chosen.engine);
}

/// Guards against requests that are refused as the engines that were asked for have gone.
#[test]
fn other_engines_serve_if_none_is_left_of_those_asked_for() {
    let mut table = table(&[
        ("p1", "a", P),
        ("p2", "a", P),
        ("d1", "a", D),
        ("d2", "a", D),
    ]);
    let request = TestRequest::new("900,26", "aa:119,bb:79,c1:702");
    let asked = ["p1", "d1"].map(|name| EngineKey {
        hash: table.hash(&id(name)).unwrap(),
        start: 1,
    });
    let choose = |table: &mut EngineTable| {
        let plan = table.plan_among(at(0), request.plan_request(), &asked);
        let prefill = plan.unwrap().engine.id;
        let run = table.choose_runner_among(at(0), request.plan_request(), &prefill, &asked);
        (prefill, run.unwrap().id)
    };
    assert_eq!(choose(&mut table), (id("p1"), id("d1")));
    table.remove_engine(&id("p1"));
    table.remove_engine(&id("d1"));
    assert_eq!(choose(&mut table), (id("p2"), id("d2")));
}

#[test]
fn a_part_sent_by_another_entry_is_reused() {
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let other = ["p1", "p2"]
        .into_iter()
        .find(|name| id(name) != plan(&mut table, 0, &request).engine.id)
        .unwrap();
    let engine = table.hash(&id(other)).unwrap();
    let parts = [0xaa, 0xbb].map(|part| PeerPart { engine, part });
    let peer = InstanceId::new("peer").unwrap();
    table.note_peer(at(0), &peer, &[], &parts);
    assert_eq!(plan(&mut table, 1, &request).engine.id, id(other));
}

#[test]
fn an_urgent_prompt_does_not_wait_for_less_urgent_ones() {
    // A blank check arrives while the engine has a second of reviews queued. The engine
    // prefills the check first, so the reviews don't count towards its wait.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    let mut review = TestRequest::new("55000,35", "aa:512,bb:54488");
    review.priority = 2;
    let first = plan(&mut table, 0, &review);
    table.prefill_sent(at(0), &first, &review.work);
    let mut check = TestRequest::new("550,2", "cc:100,dd:450");
    check.priority = 0;
    assert!(plan(&mut table, 0, &check).first_token < TimeSpan::from_millis(100));
    check.priority = 2;
    assert!(plan(&mut table, 0, &check).first_token > TimeSpan::from_millis(900));
}

#[test]
fn decode_engines_do_not_prefill_while_prefill_engines_are_available() {
    // On an engine that runs streams, a prefill puts a chunk of a prompt between their
    // tokens: shoppers see the text stop for a quarter of a second.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    for turn in 0..4 {
        let request = TestRequest::new("6000,35", &format!("aa:512,bb:4870,{turn}c:618"));
        let plan = plan(&mut table, 0, &request);
        assert_eq!(plan.engine.id, id("p1"));
        assert!(!plan.runs_request);
        table.prefill_sent(at(0), &plan, &request.work);
    }
    table.remove_engine(&id("p1"));
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    assert!(plan(&mut table, 0, &request).runs_request);
}

#[test]
fn the_decode_engine_is_selected_after_the_prefill() {
    // In a burst a prefill takes two seconds. The engine that would have run the
    // request has reported meanwhile that it is leaving, so the request must not be
    // sent there.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D), ("d2", "b", D)]);
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let plan = plan(&mut table, 0, &request);
    let same_domain = table
        .choose_runner(at(0), request.plan_request(), &plan.engine.id)
        .unwrap();
    assert_eq!(same_domain.id, id("d1"));
    let mut leaving = engine("d1", "a", D);
    leaving.is_leaving = true;
    table.set_engine(at(0), &leaving);
    let runner = table
        .choose_runner(at(2_000), request.plan_request(), &plan.engine.id)
        .unwrap();
    assert_eq!(runner.id, id("d2"));
}

#[test]
fn an_engine_that_changes_its_stage_gets_no_requests_until_it_is_available() {
    // An engine was ordered to prefill. For about three seconds it refuses every
    // request while its registration still shows the decode stage; each refusal would
    // consume a retry of the budget.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let request = TestRequest::new("600,35", "aa:119,bb:79,c1:402");
    let hash = table.hash(&id("d1")).unwrap();
    table.stage_ordered(at(0), hash, P);
    for turn in 0..10 {
        let runner = table.choose_runner(at(turn), request.plan_request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    table.set_engine(at(0), &engine("d1", "a", P));
    let mut retry = TestRequest::new("600,35", "aa:119,bb:79,c1:402");
    retry.excluded = vec![id("p1")];
    assert_eq!(plan(&mut table, 3_500, &retry).engine.id, id("d1"));
}

#[test]
fn an_engine_that_refuses_is_briefly_excluded_from_selection() {
    let mut table = table(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let request = TestRequest::new("600,35", "aa:119,bb:79,c1:402");
    table.refused(at(0), &id("d1"));
    for turn in 0..10 {
        let runner = table.choose_runner(at(turn), request.plan_request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    // An engine that refused is selected if it is the only one left.
    table.remove_engine(&id("d2"));
    let runner = table.choose_runner(at(10), request.plan_request(), &id("p1"));
    assert_eq!(runner.unwrap().id, id("d1"));
}

#[test]
fn the_pause_doubles_with_each_consecutive_refusal() {
    // An engine is unavailable for seconds and no entry was informed. If seventy
    // entries each send it several requests per second, the refusals use up the retry
    // budget of all callers.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let request = TestRequest::new("600,35", "aa:119,bb:79,c1:402");
    for _ in 0..4 {
        table.refused(at(0), &id("d1"));
    }
    let hash = table.hash(&id("d1")).unwrap();
    assert_eq!(table.refusing(at(1_000)), [hash]);
    for turn in 0..10 {
        let runner = table.choose_runner(at(1_000 + turn), request.plan_request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    assert!(table.refusing(at(1_200)).is_empty());
    // A completed request resets the doubling.
    table.succeeded(at(2_000), &id("d1"));
    table.refused(at(2_000), &id("d1"));
    assert!(table.refusing(at(2_200)).is_empty());
    // An engine that refused another entry is excluded here as well, but not reported
    // again.
    table.note_peer_refusal(at(3_000), hash);
    let runner = table.choose_runner(at(3_100), request.plan_request(), &id("p1"));
    assert_eq!(runner.unwrap().id, id("d2"));
    assert!(table.refusing(at(3_100)).is_empty());
}

#[test]
fn engines_in_unreachable_domains_are_selected_last() {
    // The failure domain `b` is unreachable. Its engine has the shorter queue, as no
    // request arrives there, and would be selected for every request, each of which
    // would time out.
    let engines = [
        ("p1", "a", P),
        ("p2", "b", P),
        ("d1", "a", D),
        ("d2", "b", D),
    ];
    let mut table = table(&engines);
    let work = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let unreachable = FailureDomain::new("b").unwrap();
    table.set_unreachable_domains(BTreeSet::from([unreachable]));
    for turn in 0..5 {
        // The prompts share no part, so only the queues count, and that of `p2` is
        // empty.
        let other = TestRequest::new("6000,35", &format!("{turn}e:6000"));
        let plan = plan(&mut table, 0, &other);
        assert_eq!(plan.engine.id, id("p1"));
        table.prefill_sent(at(0), &plan, &other.work);
    }
    table.remove_engine(&id("p1"));
    table.remove_engine(&id("d1"));
    assert_eq!(plan(&mut table, 0, &work).engine.id, id("p2"));
}

#[test]
fn with_no_engine_left_planning_fails_at_once() {
    // All engines are excluded. Planning must fail at once; repeated attempts would
    // only delay other requests in the process.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    let mut request = TestRequest::new("600,35", "aa:119,bb:79,c1:402");
    request.excluded = vec![id("p1"), id("d1")];
    assert!(table.plan(at(0), request.plan_request()).is_err());
    assert!(
        table
            .choose_runner(at(0), request.plan_request(), &id("p1"))
            .is_err()
    );
    let mut empty = EngineTable::new(RoutingSettings::default());
    assert!(empty.plan(at(0), request.plan_request()).is_err());
}

#[test]
fn a_restart_discards_what_the_engine_held() {
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    let first = plan(&mut table, 0, &request);
    table.prefill_sent(at(0), &first, &request.work);
    assert_eq!(plan(&mut table, 1, &request).held_tokens, 6_000);
    let mut restarted = engine("p1", "a", P);
    restarted.start = 2;
    table.set_engine(at(0), &restarted);
    // Half of the shared part is assumed to be held by the rendezvous engine, and
    // nothing is queued.
    assert!(plan(&mut table, 2, &request).held_tokens < 3_000);
    assert!(table.local_loads().is_empty());
}

#[test]
fn the_prefill_rate_is_measured_on_idle_engines() {
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    for turn in 0..200 {
        let request = TestRequest::new("11200,35", &format!("{turn}c:11200"));
        let now = turn * 1_000;
        let plan = plan(&mut table, now, &request);
        let ticket = table.prefill_sent(at(now), &plan, &request.work);
        // 112 tokens per ms and 20 ms of fixed time.
        table.prefill_done(at(now + 120), &plan, ticket, at(now));
    }
    let rate = table.prefill_rate(&service());
    assert!((100.0..120.0).contains(&rate), "{rate}");
}

#[test]
fn dropped_prefills_and_ended_runs_leave_no_load() {
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    let request = TestRequest::new("6000,35", "aa:512,bb:4870,c1:618");
    for _ in 0..50 {
        let plan = plan(&mut table, 0, &request);
        let ticket = table.prefill_sent(at(0), &plan, &request.work);
        table.prefill_dropped(at(1), &plan, ticket);
        table.run_started(&id("d1"));
        table.run_ended(&id("d1"));
    }
    assert!(table.local_loads().is_empty());
    assert_eq!(PRIORITY_RANKS, 4);
}

#[test]
fn prompt_sizes_and_parts_are_parsed() {
    let work = PromptWork::new("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250").unwrap();
    assert_eq!(work.prompt, TokenCount::new(1_460));
    assert_eq!(work.output, TokenCount::new(80));
    assert_eq!(work.shared().len(), 2);
    assert_eq!(work.parts[2].tokens, 250);
    assert!(PromptWork::new("x,80", "").is_err());
    assert!(PromptWork::new("10,80", "zz:1").is_err());
    assert!(PromptWork::new("10,80", "aa").is_err());
    // Unusual but valid: an id of more than 64 bits, and no parts at all.
    assert!(PromptWork::new("10,80", "5c1e07a25c1e07a25c1e:1").is_ok());
    assert!(PromptWork::new("10", "").unwrap().shared().is_empty());
}

/// Returns the longest queue, in ms, after 60 entries with the same outdated load
/// reports have each sent two prefills of about 50 ms: a fifth of the engines are
/// reported idle, the others with 150 ms of queued prefills.
fn longest_queue(candidate_share: f64) -> f64 {
    let names: Vec<String> = (0..100).map(|number| format!("p{number}")).collect();
    let engines: Vec<(&str, &str, EngineStage)> = names
        .iter()
        .map(|name| (name.as_str(), "a", P))
        .chain([("d", "a", D)])
        .collect();
    let mut queues: std::collections::BTreeMap<EndpointId, f64> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (id(name), if number % 5 == 0 { 0.0 } else { 150.0 }))
        .collect();
    for entry in 0..60 {
        let mut table = table(&engines).with_seed(entry);
        let reports: Vec<PeerLoad> = queues
            .keys()
            .enumerate()
            .map(|(number, engine)| PeerLoad {
                engine: table.hash(engine).unwrap(),
                load: EngineLoad {
                    prefill_ms: [0.0, if number % 5 == 0 { 0.0 } else { 150.0 }, 0.0, 0.0],
                    running: 0,
                },
            })
            .collect();
        table.note_peer(at(0), &InstanceId::new("told").unwrap(), &reports, &[]);
        table.set_candidate_share(candidate_share);
        for index in 0..2 {
            let parts = format!("{:x}:2750", 1_000 + entry * 2 + index);
            let request = TestRequest::new("2750,2", &parts);
            let chosen = plan(&mut table, 0, &request);
            table.prefill_sent(at(0), &chosen, &request.work);
            *queues.get_mut(&chosen.engine.id).unwrap() += chosen.work_ms;
        }
    }
    queues.values().copied().fold(0.0, f64::max)
}

#[test]
fn entries_with_the_same_outdated_loads_spread_over_engines() {
    // Load reports between entries are a quarter of a second old. An engine reported
    // idle looks idle to all entries; the requests that they all send there in that
    // time make the longest queue of the fleet, and chats wait a second behind it while
    // other engines are idle.
    let with_all_candidates = longest_queue(1.0);
    let with_few_candidates = longest_queue(0.03);
    assert!(
        with_few_candidates < 0.75 * with_all_candidates,
        "{with_few_candidates} {with_all_candidates}"
    );
}

#[test]
fn a_new_preemptible_engine_runs_nothing_before_its_stage_order() {
    // Preemptible engines start in the decode stage and are ordered to prefill within a
    // second. Requests that started to run there meanwhile would delay the change, and
    // requests that arrive during it are refused.
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    let mut new = engine("new", "a", D);
    new.is_preemptible = true;
    table.set_engine(at(0), &new);
    let request = TestRequest::new("800,20", "aa:200,bb:600");
    let runner = |table: &mut EngineTable, now: u64, excluded: &[EndpointId]| {
        let excluded = excluded.to_vec();
        let request = TestRequest {
            excluded,
            ..TestRequest::new("800,20", "aa:200,bb:600")
        };
        table.choose_runner(at(now), request.plan_request(), &id("p1"))
    };
    let others = [id("d1")];
    assert!(runner(&mut table, 100, &others).is_err());
    let chosen = plan(&mut table, 100, &request);
    assert_ne!(chosen.engine.id, id("new"));
    // The order may have been lost; after the timeout the engine serves in the stage
    // that it reports.
    assert_eq!(runner(&mut table, 8_000, &others).unwrap().id, id("new"));
    new.stage = Some(P);
    table.set_engine(at(9_000), &new);
    assert!(runner(&mut table, 9_000, &others).is_err());
}

/// Returns a table in which every engine has eight seconds of queued prefills after a
/// burst.
fn overloaded_table() -> EngineTable {
    let mut table = table(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    for name in ["p1", "p2", "d1"] {
        let mut load = EngineLoad::default();
        load.prefill_ms[usize::from(CHAT_PRIORITY)] = 8_000.0;
        let report = PeerLoad {
            engine: table.hash(&id(name)).unwrap(),
            load,
        };
        let peer = InstanceId::new(format!("entry-{name}")).unwrap();
        table.note_peer(at(0), &peer, &[report], &[]);
    }
    table
}

#[test]
fn a_request_that_is_too_late_on_every_engine_is_refused_at_once() {
    // Requests of one kind arrive at four times their usual rate while a third of the
    // engines is unavailable. Without an early refusal, callers wait until their
    // deadlines pass, behind prompts that are prefilled for callers that have
    // disconnected; here they are refused at once with a time to retry.
    let mut table = overloaded_table();
    let request = TestRequest::new("6000,35", "").with_time_left(5_000);
    let refused = table.plan(at(0), request.plan_request());
    let Err(PlacementError::TooLate { late }) = refused else {
        panic!("{refused:?}");
    };
    let late = late.as_millis();
    assert!((3_000..3_500).contains(&late), "{late}");
}

#[test]
fn nothing_is_refused_while_an_engine_is_free() {
    // All engines but one are overloaded. A request that may go to the idle one must
    // not be refused, also when only a small share of the engines is considered.
    let mut table = overloaded_table();
    table.set_engine(at(0), &engine("p3", "b", P));
    table.set_candidate_share(0.01);
    for _ in 0..50 {
        let request = TestRequest::new("6000,35", "").with_time_left(5_000);
        assert!(table.plan(at(0), request.plan_request()).is_ok());
    }
}

#[test]
fn urgent_requests_are_planned_while_less_urgent_ones_are_refused() {
    let mut table = overloaded_table();
    let urgent = TestRequest::new("600,35", "")
        .with_time_left(2_500)
        .with_priority(0);
    assert!(table.plan(at(0), urgent.plan_request()).is_ok());
    let less_urgent = TestRequest::new("600,35", "")
        .with_time_left(2_500)
        .with_priority(2);
    assert!(table.plan(at(0), less_urgent.plan_request()).is_err());
}

/// Guards against a prompt that an engine of one software version prefills and one of another
/// takes over.
#[test]
fn a_prompt_is_handed_over_within_one_version() {
    let mut table = table(&[("p1", "a", P), ("d1", "a", D)]);
    for (name, stage) in [("p2", P), ("d2", D)] {
        let mut other = engine(name, "a", stage);
        other.version = SoftwareVersion::new("v2");
        table.set_engine(at(0), &other);
    }
    for number in 0..50 {
        let request = TestRequest::new("800,20", &format!("aa:200,{number}:600"));
        let chosen = plan(&mut table, number, &request);
        let runner = PlanRequest {
            origin: Some(chosen.engine.origin),
            ..request.plan_request()
        };
        let runner = table.choose_runner(at(number), runner, &chosen.engine.id);
        assert_eq!(runner.unwrap().origin, chosen.engine.origin);
    }
    // Without an engine of its version that runs requests, an engine prefills nothing.
    table.remove_engine(&id("d2"));
    for number in 0..50 {
        let request = TestRequest::new("800,20", &format!("bb:200,{number}:600"));
        let chosen = plan(&mut table, number, &request);
        assert_ne!(chosen.engine.id, id("p2"));
    }
}
