//! Routes of streams that are split or move, and versions that the log of registrations shows.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, SoftwareVersion},
    ids::{EndpointId, FailureDomain, RequestId, ServiceName},
    ingress::{CallerLimits, IngressConfiguration, RouteKind, RouteRule, WeightedService},
    streams::{LookBack, RouteHistory, StreamHash, VersionHistory},
    units::ByteSize,
};

const AGE: TimeSpan = TimeSpan::from_secs(20);

fn route(prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    let targets = targets.iter().map(|(service, weight)| WeightedService {
        service: ServiceName::new(*service).unwrap(),
        weight: *weight,
    });
    RouteRule {
        name: "r".to_string(),
        host: "kiosk.example".to_string(),
        path_prefix: prefix.to_string(),
        kind: RouteKind::Streaming,
        timeout: TimeSpan::from_secs(10),
        objective: TimeSpan::from_millis(300),
        gap_objective: None,
        priority: 1,
        targets: targets.collect(),
        attempts_limit: 2,
        is_public: false,
        is_resumable: true,
    }
}

fn configuration(routes: Vec<RouteRule>) -> IngressConfiguration {
    IngressConfiguration {
        version: 1,
        routes,
        services: Default::default(),
        limits: CallerLimits {
            head: ByteSize::new(16_384),
            body: ByteSize::new(1_000_000),
            head_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        },
        organisations: None,
    }
}

/// Guards against a stream of a split route that is taken up at the other service.
#[test]
fn a_stream_of_a_split_route_goes_to_the_service_that_began_it() {
    let split = route("/chat/", &[("pool", 90), ("other", 10)]);
    let mut others = 0;
    for number in 0..2_000 {
        let stream = StreamHash::with_attempt(&RequestId::new(format!("a{number}")).unwrap());
        let service = split.service_for(stream).unwrap();
        assert_eq!(split.service_for(stream), Some(service));
        others += u32::from(service.as_str() == "other");
    }
    assert!((100..300).contains(&others), "{others} of 2000 for a tenth");
    let stream = StreamHash::new(1);
    assert_eq!(route("/chat/", &[("pool", 0)]).service_for(stream), None);
}

/// Guards against a stream that goes on at the service to which its route has moved.
#[test]
fn a_route_that_moved_proves_nothing_about_its_streams() {
    let at = ClockTime::from_millis;
    let mut history = RouteHistory::new();
    let moved = |history: &RouteHistory, ms, path| {
        history.may_have_moved(at(ms), "kiosk.example", path, AGE)
    };
    history.note_configuration(at(0), &configuration(vec![route("/chat/", &[("pool", 1)])]));
    assert!(!moved(&history, 1, "/chat/x"), "the first configuration");
    let narrower = [("/chat/", "pool"), ("/chat/new/", "next")];
    let routes = narrower.map(|(prefix, service)| route(prefix, &[(service, 1)]));
    history.note_configuration(at(1_000), &configuration(routes.to_vec()));
    assert!(moved(&history, 2_000, "/chat/new/x"));
    assert!(!moved(&history, 2_000, "/chat/x"));
    history.note_configuration(
        at(5_000),
        &configuration(vec![route("/chat/", &[("next", 1)])]),
    );
    assert!(moved(&history, 6_000, "/chat/x"));
    assert!(!history.may_have_moved(at(6_000), "other.example", "/chat/x", AGE));
    assert!(!moved(&history, 25_000, "/chat/x"), "long ago");
    history.sweep(at(25_000), AGE);
    assert!(!history.has_moved(at(25_000), AGE));
}

fn heartbeat(name: &str, version: &str, sequence: u64) -> EndpointRegistration {
    EndpointRegistration {
        id: EndpointId::new(name).unwrap(),
        start: 1,
        service: ServiceName::new("chat").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new("se-a").unwrap(),
        version: SoftwareVersion::new(version),
        slots: 8,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: None,
        warming: TimeSpan::ZERO,
        sequence,
    }
}

/// Guards against streams that are refused after all instances have started anew, though one
/// version has served all the while, and against a version that only the log still shows.
#[test]
fn the_log_shows_the_versions_of_the_time_before_the_start() {
    let now = ClockTime::from_millis(1_000_000);
    let interval = TimeSpan::from_millis(1_200);
    for gone_in_between in [false, true] {
        let mut look_back = LookBack::new();
        for beat in 0..20 {
            look_back.add(&heartbeat("one", "v2", 100 + beat));
            if gone_in_between && beat < 5 {
                look_back.add(&heartbeat("two", "v1", 7 + beat));
            }
        }
        look_back.complete();
        let span = look_back.span(interval);
        assert!(span <= TimeSpan::from_millis(19 * 1_200) && span >= TimeSpan::from_secs(20));
        let mut versions = VersionHistory::new();
        versions.set_timeout(TimeSpan::from_secs(10));
        let current = heartbeat("one", "v2", 120);
        versions.note_registered(&current.service, current.origin());
        versions.note_current(now);
        assert!(versions.needs_proof(now));
        versions.note_looked_back(now, span, look_back.seen());
        let sole = versions.sole_origin(now, &current.service);
        assert_eq!(sole.is_some(), !gone_in_between);
    }
}

/// Guards against proving a single version from a log that was trimmed while it was read.
#[test]
fn a_look_back_that_was_not_completed_proves_nothing() {
    let now = ClockTime::from_millis(1_000_000);
    let mut look_back = LookBack::new();
    for beat in 0..20 {
        look_back.add(&heartbeat("one", "v2", 100 + beat));
    }
    let mut versions = VersionHistory::new();
    versions.set_timeout(TimeSpan::from_secs(10));
    let current = heartbeat("one", "v2", 120);
    versions.note_registered(&current.service, current.origin());
    versions.note_current(now);
    let span = look_back.span(TimeSpan::from_millis(1_200));
    versions.note_looked_back(now, span, look_back.seen());
    assert!(versions.needs_proof(now));
    assert_eq!(versions.sole_origin(now, &current.service), None);
}
