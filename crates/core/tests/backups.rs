//! Copies of runs that must not be repeated: which are made, and where an interrupted run goes on.

use bluebell_core::{
    attempts::{RequestAttempts, RunOutcome, SendRefusal, WorkKind},
    backups::{BackupPlace, RunBackup, SourceState, choose_copy, is_worthwhile},
    clock::TimeSpan,
    directory::SoftwareVersion,
    ids::{EndpointId, FailureDomain, RequestId, ServiceName},
    ingress::EngineRule,
    placement::{EndpointTarget, PromptWork},
    streams::OriginHash,
    units::{ByteSize, TokenCount},
};

fn request(name: &str) -> RequestId {
    RequestId::new(name).unwrap()
}

fn engine(name: &str, version: &str) -> EndpointTarget {
    let service = ServiceName::new("chat").unwrap();
    EndpointTarget {
        id: EndpointId::new(name).unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        start: 1,
        origin: OriginHash::with_version(&service, &SoftwareVersion::new(version)),
    }
}

fn place(name: &str) -> BackupPlace {
    let backup = RunBackup::new(request(name), engine("first", "v1"), engine("copy", "v1"));
    backup.unwrap().into_place(SourceState::Ended).unwrap()
}

/// The attempts of a request whose stream has begun at the engine `first`.
fn running(name: &str, kind: WorkKind) -> RequestAttempts {
    let mut attempts = RequestAttempts::new(request(name), kind);
    let first = engine("first", "v1").id;
    attempts.permit_send(&first).unwrap();
    attempts.answer_started();
    attempts
}

/// Guards against copies that take the link or the memory from other requests, or that serve no purpose.
#[test]
fn only_small_runs_that_must_not_be_repeated_are_copied() {
    let rule = EngineRule {
        slots: 8,
        memory: TokenCount::new(500_000),
        token_bytes: ByteSize::new(10_000),
        link_bytes_per_ms: 1_000_000,
        handle_lifetime: TimeSpan::from_secs(5),
        stage_switch: TimeSpan::from_secs(3),
        has_backups: true,
    };
    let work = |sizes: &str| PromptWork::new(sizes, "").unwrap();
    let small = work("600,300");
    let once = WorkKind::AtMostOnce;
    assert!(is_worthwhile(once, &rule, &small));
    assert!(!is_worthwhile(WorkKind::Repeatable, &rule, &small));
    assert!(!is_worthwhile(once, &rule, &work("9000,2000")));
    let slow_link = EngineRule {
        link_bytes_per_ms: 100_000,
        ..rule.clone()
    };
    assert!(!is_worthwhile(once, &slow_link, &small));
    let without = EngineRule {
        has_backups: false,
        ..rule
    };
    assert!(!is_worthwhile(once, &without, &small));
}

/// Guards against a run that goes on at another version, or at the engine that it is a copy of.
#[test]
fn a_copy_is_at_another_engine_of_the_same_version() {
    let backup = |copy| RunBackup::new(request("r1"), engine("first", "v1"), copy);
    assert!(backup(engine("copy", "v2")).is_none());
    assert!(backup(engine("first", "v1")).is_none());
    assert!(backup(engine("copy", "v1")).is_some());
}

/// Guards against copies that end together with what they are copies of.
#[test]
fn a_copy_is_in_another_failure_domain_if_there_is_one() {
    let domain = |name: &str| FailureDomain::new(name).unwrap();
    let choose = |engines: &[(&str, &str)]| {
        choose_copy(&domain("a"), |passed_over| {
            let mut left = engines.iter();
            let left = left.find(|(name, _)| !passed_over.contains(&engine(name, "v1").id));
            left.map(|(name, at)| (engine(name, "v1"), domain(at)))
        })
    };
    let chosen = |engines: &[(&str, &str)]| choose(engines).map(|engine| engine.id.to_string());
    assert_eq!(
        chosen(&[("e1", "a"), ("e2", "a"), ("e3", "b")]).as_deref(),
        Some("e3")
    );
    assert_eq!(chosen(&[("e1", "a"), ("e2", "a")]).as_deref(), Some("e1"));
    assert_eq!(chosen(&[]), None);
}

/// Guards against a second run while the first engine may still be at work.
#[test]
fn a_run_whose_engine_may_be_alive_has_no_place() {
    let backup = RunBackup::new(request("r1"), engine("first", "v1"), engine("copy", "v1"));
    assert_eq!(backup.unwrap().into_place(SourceState::Unknown), None);
}

/// Guards against a second run of a request after the engine with the copy refused, lost or answered it.
#[test]
fn an_interrupted_run_goes_on_at_its_copy_once() {
    for end in ["refused", "lost", "answered"] {
        let mut attempts = running("r1", WorkKind::AtMostOnce);
        attempts.run_interrupted();
        let elsewhere = engine("third", "v1").id;
        assert_eq!(attempts.permit_send(&elsewhere), Err(SendRefusal::Ended));
        let permit = attempts.permit_resume(place("r1")).unwrap();
        assert_eq!(permit.endpoint(), &engine("copy", "v1").id);
        match end {
            "refused" => attempts.refused_before_running(permit),
            "lost" => attempts.connection_lost(),
            _ => attempts.answer_started(),
        }
        assert!(attempts.permit_resume(place("r1")).is_err(), "{end}");
        assert!(attempts.permit_send(&elsewhere).is_err(), "{end}");
        assert_eq!(attempts.outcome(), RunOutcome::Unknown, "{end}");
    }
}

/// Guards against a request that goes on with the memory of another one.
#[test]
fn a_copy_serves_its_own_request_only() {
    let mut attempts = running("r2", WorkKind::AtMostOnce);
    attempts.run_interrupted();
    assert_eq!(attempts.permit_resume(place("r1")), Err(SendRefusal::Ended));
}
