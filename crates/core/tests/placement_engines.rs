//! Where prompts are prefilled and where requests run.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, InstanceId, ServiceName},
    ingress::EngineRule,
    placement::{
        EngineLoad, EngineTable, PRIORITY_RANKS, PeerLoad, PeerPart, PlacementError, PlanRequest,
        PrefillPlan, PromptWork,
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
    }
}

fn books(engines: &[(&str, &str, EngineStage)]) -> EngineTable {
    let mut books = EngineTable::new(RoutingSettings::default()).with_seed(1);
    for (name, domain, stage) in engines {
        books.set_engine(at(0), &engine(name, domain, *stage));
    }
    books
}

struct Ask {
    service: ServiceName,
    rule: EngineRule,
    work: PromptWork,
    priority: u8,
    excluded: Vec<EndpointId>,
    time_left: TimeSpan,
}

impl Ask {
    fn new(sizes: &str, parts: &str) -> Ask {
        Ask {
            service: service(),
            rule: rule(),
            work: PromptWork::new(sizes, parts).unwrap(),
            priority: CHAT_PRIORITY,
            excluded: Vec::new(),
            time_left: TimeSpan::from_secs(60),
        }
    }

    fn with_time_left(mut self, millis: u64) -> Ask {
        self.time_left = TimeSpan::from_millis(millis);
        self
    }

    fn with_priority(mut self, priority: u8) -> Ask {
        self.priority = priority;
        self
    }

    fn request(&self) -> PlanRequest<'_> {
        PlanRequest {
            service: &self.service,
            rule: &self.rule,
            work: &self.work,
            priority: self.priority,
            excluded: &self.excluded,
            time_left: self.time_left,
        }
    }
}

fn plan(books: &mut EngineTable, now: u64, ask: &Ask) -> PrefillPlan {
    books.plan(at(now), ask.request()).unwrap()
}

const P: EngineStage = EngineStage::Prefill;
const D: EngineStage = EngineStage::Decode;

#[test]
fn a_request_goes_where_its_shared_part_lies() {
    // A review shares 4,870 tokens with others of its subject; on an engine that
    // holds them it is prefilled in two thirds of the time.
    let mut books = books(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let first = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let chosen = plan(&mut books, 0, &first);
    let ticket = books.prefill_sent(at(0), &chosen, &first.work);
    books.prefill_done(at(150), &chosen, ticket, at(0));
    for turn in 0..10 {
        let next = Ask::new("6100,35", &format!("aa:512,bb:4870,{turn}d:718"));
        let plan = plan(&mut books, 200 + turn, &next);
        assert_eq!(plan.engine, chosen.engine);
        assert_eq!(plan.held_tokens, 5_382);
    }
}

#[test]
fn a_popular_part_does_not_flood_one_engine() {
    // Everybody asks about the same subject at once. Its engine's queue grows until
    // prefilling the part anew elsewhere is quicker than waiting.
    let mut books = books(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let mut engines = BTreeSet::new();
    for turn in 0..20 {
        let ask = Ask::new("6000,35", &format!("aa:512,bb:4870,{turn}c:618"));
        let plan = plan(&mut books, 0, &ask);
        engines.insert(plan.engine.id.clone());
        books.prefill_sent(at(0), &plan, &ask.work);
    }
    assert_eq!(engines.len(), 2);
}

#[test]
fn entries_that_have_not_talked_agree_on_an_engine() {
    // Nine entries each see a ninth of the requests for a subject. If each chose an
    // engine of its own, the shared part would be prefilled nine times.
    let engines = [
        ("p1", "a", P),
        ("p2", "b", P),
        ("p3", "c", P),
        ("d1", "a", D),
    ];
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let choices: BTreeSet<EndpointId> = (0..9)
        .map(|seed| {
            let mut books = books(&engines).with_seed(seed);
            plan(&mut books, 0, &ask).engine.id
        })
        .collect();
    assert_eq!(choices.len(), 1);
}

#[test]
fn what_another_entry_queued_is_waited_for() {
    // Another entry has sent half a second of prefills to the engine that holds the
    // part. An entry that looked at its own books alone would send more there.
    let mut books = books(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let ask = Ask::new("900,26", "aa:119,bb:79,c1:702");
    let chosen = plan(&mut books, 0, &ask);
    let mut load = EngineLoad::default();
    load.prefill_ms[0] = 500.0;
    let told = PeerLoad {
        engine: books.hash(&chosen.engine.id).unwrap(),
        load,
    };
    let peer = InstanceId::new("peer").unwrap();
    books.note_peer(at(0), &peer, &[told], &[]);
    assert_ne!(plan(&mut books, 1, &ask).engine, chosen.engine);
    // A word that is some seconds old is no reason any more.
    assert_eq!(plan(&mut books, 4_000, &ask).engine, chosen.engine);
    // An entry that has nothing there any more says so by not naming the engine.
    books.note_peer(at(4_000), &peer, &[], &[]);
    assert_eq!(plan(&mut books, 4_001, &ask).engine, chosen.engine);
}

#[test]
fn a_part_that_another_entry_placed_is_found() {
    let mut books = books(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let other = ["p1", "p2"]
        .into_iter()
        .find(|name| id(name) != plan(&mut books, 0, &ask).engine.id)
        .unwrap();
    let engine = books.hash(&id(other)).unwrap();
    let parts = [0xaa, 0xbb].map(|part| PeerPart { engine, part });
    let peer = InstanceId::new("peer").unwrap();
    books.note_peer(at(0), &peer, &[], &parts);
    assert_eq!(plan(&mut books, 1, &ask).engine.id, id(other));
}

#[test]
fn an_urgent_prompt_waits_for_urgent_ones_only() {
    // A blank check meets an engine that has a second of reviews queued. The engine
    // takes the check first, so the reviews are no reason to go elsewhere.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    let mut review = Ask::new("55000,35", "aa:512,bb:54488");
    review.priority = 2;
    let first = plan(&mut books, 0, &review);
    books.prefill_sent(at(0), &first, &review.work);
    let mut check = Ask::new("550,2", "cc:100,dd:450");
    check.priority = 0;
    assert!(plan(&mut books, 0, &check).first_token < TimeSpan::from_millis(100));
    check.priority = 2;
    assert!(plan(&mut books, 0, &check).first_token > TimeSpan::from_millis(900));
}

#[test]
fn engines_that_run_streams_do_not_prefill_while_others_can() {
    // A prefill on an engine that runs streams puts a piece of a prompt between
    // their tokens: shoppers see the text stop for a quarter of a second.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    for turn in 0..4 {
        let ask = Ask::new("6000,35", &format!("aa:512,bb:4870,{turn}c:618"));
        let plan = plan(&mut books, 0, &ask);
        assert_eq!(plan.engine.id, id("p1"));
        assert!(!plan.runs_request);
        books.prefill_sent(at(0), &plan, &ask.work);
    }
    books.remove_engine(&id("p1"));
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    assert!(plan(&mut books, 0, &ask).runs_request);
}

#[test]
fn the_running_engine_is_chosen_when_the_prompt_is_prefilled() {
    // A prefill takes two seconds in a burst. The engine that would have run the
    // request has said meanwhile that it leaves; it must not get it.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D), ("d2", "b", D)]);
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let plan = plan(&mut books, 0, &ask);
    let near = books
        .choose_runner(at(0), ask.request(), &plan.engine.id)
        .unwrap();
    assert_eq!(near.id, id("d1"));
    let mut leaving = engine("d1", "a", D);
    leaving.is_leaving = true;
    books.set_engine(at(0), &leaving);
    let runner = books
        .choose_runner(at(2_000), ask.request(), &plan.engine.id)
        .unwrap();
    assert_eq!(runner.id, id("d2"));
}

#[test]
fn an_engine_that_changes_its_stage_gets_nothing_until_it_is_back() {
    // The steward orders an engine to prefill. For some three seconds it refuses
    // everything, and its registration still says that it runs requests; each
    // refusal would cost a repeat of the budget.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let ask = Ask::new("600,35", "aa:119,bb:79,c1:402");
    let hash = books.hash(&id("d1")).unwrap();
    books.stage_ordered(at(0), hash, P);
    for turn in 0..10 {
        let runner = books.choose_runner(at(turn), ask.request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    books.set_engine(at(0), &engine("d1", "a", P));
    let mut tried = Ask::new("600,35", "aa:119,bb:79,c1:402");
    tried.excluded = vec![id("p1")];
    assert_eq!(plan(&mut books, 3_500, &tried).engine.id, id("d1"));
}

#[test]
fn an_engine_that_refuses_is_left_alone_for_a_moment() {
    let mut books = books(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let ask = Ask::new("600,35", "aa:119,bb:79,c1:402");
    books.refused(at(0), &id("d1"));
    for turn in 0..10 {
        let runner = books.choose_runner(at(turn), ask.request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    // If it is the only one left, it is asked all the same.
    books.remove_engine(&id("d2"));
    let runner = books.choose_runner(at(10), ask.request(), &id("p1"));
    assert_eq!(runner.unwrap().id, id("d1"));
}

#[test]
fn an_engine_that_goes_on_refusing_is_asked_less_and_less() {
    // An engine is away for seconds and nobody was told. If seventy entries each ask
    // it several times a second, their refusals use up the repeats of everybody.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D), ("d2", "a", D)]);
    let ask = Ask::new("600,35", "aa:119,bb:79,c1:402");
    for _ in 0..4 {
        books.refused(at(0), &id("d1"));
    }
    let hash = books.hash(&id("d1")).unwrap();
    assert_eq!(books.refusing(at(1_000)), [hash]);
    for turn in 0..10 {
        let runner = books.choose_runner(at(1_000 + turn), ask.request(), &id("p1"));
        assert_eq!(runner.unwrap().id, id("d2"));
    }
    assert!(books.refusing(at(1_200)).is_empty());
    // A run that came to its end ends the doubling.
    books.succeeded(at(2_000), &id("d1"));
    books.refused(at(2_000), &id("d1"));
    assert!(books.refusing(at(2_200)).is_empty());
    // What refused another entry is left alone here as well, and not told on.
    books.note_peer_refusal(at(3_000), hash);
    let runner = books.choose_runner(at(3_100), ask.request(), &id("p1"));
    assert_eq!(runner.unwrap().id, id("d2"));
    assert!(books.refusing(at(3_100)).is_empty());
}

#[test]
fn engines_behind_a_cut_are_the_last_choice() {
    // The failure domain `b` is cut off. Its engine has the shorter queue, as
    // nothing gets there, and would draw every request into a timeout.
    let engines = [
        ("p1", "a", P),
        ("p2", "b", P),
        ("d1", "a", D),
        ("d2", "b", D),
    ];
    let mut books = books(&engines);
    let work = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let behind = FailureDomain::new("b").unwrap();
    books.set_unreachable_domains(BTreeSet::from([behind]));
    for turn in 0..5 {
        // Nothing is shared, so only the queues speak, and that of `p2` is empty.
        let other = Ask::new("6000,35", &format!("{turn}e:6000"));
        let plan = plan(&mut books, 0, &other);
        assert_eq!(plan.engine.id, id("p1"));
        books.prefill_sent(at(0), &plan, &other.work);
    }
    books.remove_engine(&id("p1"));
    books.remove_engine(&id("d1"));
    assert_eq!(plan(&mut books, 0, &work).engine.id, id("p2"));
}

#[test]
fn with_no_engine_left_the_answer_comes_at_once() {
    // All engines were tried. A caller must be told now; looking again and again
    // would only hold up everybody else in the process.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    let mut ask = Ask::new("600,35", "aa:119,bb:79,c1:402");
    ask.excluded = vec![id("p1"), id("d1")];
    assert!(books.plan(at(0), ask.request()).is_err());
    assert!(
        books
            .choose_runner(at(0), ask.request(), &id("p1"))
            .is_err()
    );
    let mut empty = EngineTable::new(RoutingSettings::default());
    assert!(empty.plan(at(0), ask.request()).is_err());
}

#[test]
fn a_new_start_forgets_what_the_engine_held() {
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    let first = plan(&mut books, 0, &ask);
    books.prefill_sent(at(0), &first, &ask.work);
    assert_eq!(plan(&mut books, 1, &ask).held_tokens, 6_000);
    let mut restarted = engine("p1", "a", P);
    restarted.start = 2;
    books.set_engine(at(0), &restarted);
    // Half of the shared part is believed by rendezvous, and nothing is queued.
    assert!(plan(&mut books, 2, &ask).held_tokens < 3_000);
    assert!(books.local_loads().is_empty());
}

#[test]
fn the_speed_of_engines_is_learnt_from_prefills_that_waited_for_nothing() {
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    for turn in 0..200 {
        let ask = Ask::new("11200,35", &format!("{turn}c:11200"));
        let now = turn * 1_000;
        let plan = plan(&mut books, now, &ask);
        let ticket = books.prefill_sent(at(now), &plan, &ask.work);
        // 112 tokens a ms and 20 ms of fixed time.
        books.prefill_done(at(now + 120), &plan, ticket, at(now));
    }
    let rate = books.prefill_rate(&service());
    assert!((100.0..120.0).contains(&rate), "{rate}");
}

#[test]
fn callers_who_leave_take_their_work_off_the_books() {
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    let ask = Ask::new("6000,35", "aa:512,bb:4870,c1:618");
    for _ in 0..50 {
        let plan = plan(&mut books, 0, &ask);
        let ticket = books.prefill_sent(at(0), &plan, &ask.work);
        books.prefill_dropped(at(1), &plan, ticket);
        books.run_started(&id("d1"));
        books.run_ended(&id("d1"));
    }
    assert!(books.local_loads().is_empty());
    assert_eq!(PRIORITY_RANKS, 4);
}

#[test]
fn prompts_are_read_as_callers_write_them() {
    let work = PromptWork::new("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250").unwrap();
    assert_eq!(work.prompt, TokenCount::new(1_460));
    assert_eq!(work.output, TokenCount::new(80));
    assert_eq!(work.shared().len(), 2);
    assert_eq!(work.parts[2].tokens, 250);
    assert!(PromptWork::new("x,80", "").is_err());
    assert!(PromptWork::new("10,80", "zz:1").is_err());
    assert!(PromptWork::new("10,80", "aa").is_err());
    // Odd but harmless: an id that is longer than we keep, and no parts at all.
    assert!(PromptWork::new("10,80", "5c1e07a25c1e07a25c1e:1").is_ok());
    assert!(PromptWork::new("10", "").unwrap().shared().is_empty());
}

/// The longest queue, in ms, after 60 entries with the same old picture have each
/// sent two prefills of some 50 ms: a fifth of the engines seem idle, the others
/// seem to have 150 ms to do.
fn longest_queue(considered: f64) -> f64 {
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
        let mut books = books(&engines).with_seed(entry);
        let told: Vec<PeerLoad> = queues
            .keys()
            .enumerate()
            .map(|(number, engine)| PeerLoad {
                engine: books.hash(engine).unwrap(),
                load: EngineLoad {
                    prefill_ms: [0.0, if number % 5 == 0 { 0.0 } else { 150.0 }, 0.0, 0.0],
                    running: 0,
                },
            })
            .collect();
        books.note_peer(at(0), &InstanceId::new("told").unwrap(), &told, &[]);
        books.set_candidate_share(considered);
        for request in 0..2 {
            let parts = format!("{:x}:2750", 1_000 + entry * 2 + request);
            let ask = Ask::new("2750,2", &parts);
            let chosen = plan(&mut books, 0, &ask);
            books.prefill_sent(at(0), &chosen, &ask.work);
            *queues.get_mut(&chosen.engine.id).unwrap() += chosen.work_ms;
        }
    }
    queues.values().copied().fold(0.0, f64::max)
}

#[test]
fn entries_with_the_same_old_picture_do_not_crowd_the_same_engines() {
    // Words between entries are a quarter of a second old. Whatever seems idle to one
    // seems idle to all; what everybody sends there in that time makes the longest
    // queue of the fleet, and chats wait a second behind it while others idle.
    let crowded = longest_queue(1.0);
    let spread = longest_queue(0.03);
    assert!(spread < 0.75 * crowded, "{spread} {crowded}");
}

#[test]
fn a_new_preemptible_engine_runs_nothing_before_its_order() {
    // Preemptible engines start in the stage that runs requests and are ordered to
    // prefill within a second. What began to run there meanwhile would hold up the
    // change, and what comes during it is refused.
    let mut books = books(&[("p1", "a", P), ("d1", "a", D)]);
    let mut new = engine("new", "a", D);
    new.is_preemptible = true;
    books.set_engine(at(0), &new);
    let ask = Ask::new("800,20", "aa:200,bb:600");
    let runner = |books: &mut EngineTable, now: u64, tried: &[EndpointId]| {
        let tried = tried.to_vec();
        let ask = Ask {
            excluded: tried,
            ..Ask::new("800,20", "aa:200,bb:600")
        };
        books.choose_runner(at(now), ask.request(), &id("p1"))
    };
    let others = [id("d1")];
    assert!(runner(&mut books, 100, &others).is_err());
    let chosen = plan(&mut books, 100, &ask);
    assert_ne!(chosen.engine.id, id("new"));
    // The order may have been lost; then it serves as what it is.
    assert_eq!(runner(&mut books, 8_000, &others).unwrap().id, id("new"));
    new.stage = Some(P);
    books.set_engine(at(9_000), &new);
    assert!(runner(&mut books, 9_000, &others).is_err());
}

/// A fleet in which prompts that arrived in a flood wait for eight seconds on each
/// engine that prefills.
fn flooded() -> EngineTable {
    let mut books = books(&[("p1", "a", P), ("p2", "a", P), ("d1", "a", D)]);
    for name in ["p1", "p2", "d1"] {
        let mut load = EngineLoad::default();
        load.prefill_ms[usize::from(CHAT_PRIORITY)] = 8_000.0;
        let told = PeerLoad {
            engine: books.hash(&id(name)).unwrap(),
            load,
        };
        let peer = InstanceId::new(format!("entry-{name}")).unwrap();
        books.note_peer(at(0), &peer, &[told], &[]);
    }
    books
}

#[test]
fn what_would_come_too_late_on_each_engine_is_refused_at_once() {
    // One kind of request comes at four times its rate while a third of the engines is
    // dark. Callers used to wait until their deadlines passed, behind prompts that were
    // read for callers who had left; they are told at once when to come back.
    let mut books = flooded();
    let ask = Ask::new("6000,35", "").with_time_left(5_000);
    let refused = books.plan(at(0), ask.request());
    let Err(PlacementError::TooLate { late }) = refused else {
        panic!("{refused:?}");
    };
    let late = late.as_millis();
    assert!((3_000..3_500).contains(&late), "{late}");
}

#[test]
fn nothing_is_refused_while_an_engine_is_free() {
    // All engines but one are flooded. Whoever may go there must not be refused, also
    // where few engines are considered for each request.
    let mut books = flooded();
    books.set_engine(at(0), &engine("p3", "b", P));
    books.set_candidate_share(0.01);
    for _ in 0..50 {
        let ask = Ask::new("6000,35", "").with_time_left(5_000);
        assert!(books.plan(at(0), ask.request()).is_ok());
    }
}

#[test]
fn the_more_urgent_are_served_while_the_less_urgent_are_refused() {
    let mut books = flooded();
    let urgent = Ask::new("600,35", "")
        .with_time_left(2_500)
        .with_priority(0);
    assert!(books.plan(at(0), urgent.request()).is_ok());
    let patient = Ask::new("600,35", "")
        .with_time_left(2_500)
        .with_priority(2);
    assert!(books.plan(at(0), patient.request()).is_err());
}
