//! Racing publishes, units that are created again, and keys claimed by two units.

use bluebell_core::{
    clock::ClockTime,
    config::{KeyUnit, OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{KeyDigest, LogOffset, OrganisationId, WriterId},
    publication::PublishRefusal,
    records::{LogEntry, LogRecord, PublishRecord, UnitChange, WithdrawRecord},
    units::ShareWeight,
    view::{FleetView, ViewEvent},
};

struct TestLog {
    view: FleetView,
    sequence: u64,
}

impl TestLog {
    fn new() -> TestLog {
        TestLog {
            view: FleetView::new(),
            sequence: 0,
        }
    }

    fn append(&mut self, record: LogRecord) -> Vec<ViewEvent> {
        self.sequence += 1;
        let entry = LogEntry {
            offset: self.view.next_offset(),
            writer: WriterId::new("writer").expect("valid"),
            sequence: self.sequence,
            record,
        };
        self.view.apply(ClockTime::default(), &entry)
    }

    fn publish(&mut self, publisher: &str, changes: Vec<UnitChange>) -> Result<(), PublishRefusal> {
        let publisher = publisher.to_string();
        let record = LogRecord::Publish(PublishRecord { publisher, changes });
        for event in self.append(record) {
            if let ViewEvent::PublishRefused { refusal, .. } = event {
                return Err(refusal);
            }
        }
        Ok(())
    }

    fn weight(&self, name: &str) -> Option<u64> {
        let organisation = OrganisationId::new(name).expect("valid");
        let unit = self.view.configuration.organisation(&organisation)?;
        Some(unit.weight.count())
    }

    fn admits(&self, key: &str) -> Option<String> {
        let organisation = self.view.key_organisation(&KeyDigest::with_key(key))?;
        Some(organisation.to_string())
    }
}

fn name(kind: UnitKind, name: &str) -> UnitName {
    UnitName::new(kind, name).expect("valid")
}

fn organisation(unit: &str, base: Option<u64>, weight: u64) -> UnitChange {
    UnitChange {
        unit: name(UnitKind::Organisation, unit),
        base: base.map(LogOffset::new),
        body: Some(UnitBody::Organisation(OrganisationUnit {
            weight: ShareWeight::new(weight),
            services: Vec::new(),
            max_in_flight: 4,
        })),
    }
}

fn key(unit: &str, base: Option<u64>, organisation: &str, key: &str) -> UnitChange {
    UnitChange {
        unit: name(UnitKind::Key, unit),
        base: base.map(LogOffset::new),
        body: Some(UnitBody::Key(KeyUnit {
            organisation: OrganisationId::new(organisation).expect("valid"),
            digest: KeyDigest::with_key(key),
        })),
    }
}

fn removal(kind: UnitKind, unit: &str, base: u64) -> UnitChange {
    UnitChange {
        unit: name(kind, unit),
        base: Some(LogOffset::new(base)),
        body: None,
    }
}

/// Two operators change the weight of one organisation at the same time, each based on the
/// same version. If both were accepted, the first change would be undone silently.
#[test]
fn the_second_of_two_racing_publishes_is_refused_and_names_the_winner() {
    let mut log = TestLog::new();
    log.publish("ada", vec![organisation("one", None, 1)])
        .expect("new");
    log.publish("ben", vec![organisation("one", Some(0), 2)])
        .expect("first");
    let refusal = log.publish("cleo", vec![organisation("one", Some(0), 3)]);
    let refusal = refusal.expect_err("ben came first");
    assert!(refusal.to_string().contains("changed by `ben`"));
    assert_eq!(log.weight("one"), Some(2));
}

/// A publish of several units loses the race for one of them. If the other units came into
/// force, a key could admit callers to an organisation with other limits than its
/// operator had checked.
#[test]
fn a_refused_publish_changes_no_unit() {
    let mut log = TestLog::new();
    log.publish("ada", vec![organisation("one", None, 1)])
        .expect("new");
    let changes = vec![organisation("two", None, 5), organisation("one", None, 3)];
    log.publish("ben", changes).expect_err("`one` exists");
    assert_eq!(log.weight("two"), None);
}

/// An operator removes an organisation and another one creates it again, while a third
/// holds an unpublished change of the old one. If the removal were not kept, the third
/// would restore what was removed.
#[test]
fn a_unit_that_is_created_again_continues_its_versions() {
    let mut log = TestLog::new();
    log.publish("ada", vec![organisation("one", None, 1)])
        .expect("new");
    log.publish("ben", vec![removal(UnitKind::Organisation, "one", 0)])
        .expect("current");
    log.publish("cleo", vec![organisation("one", None, 7)])
        .expect_err("a removed unit has a version");
    log.publish("cleo", vec![organisation("one", Some(0), 7)])
        .expect_err("version 0 was replaced");
    log.publish("cleo", vec![organisation("one", Some(1), 7)])
        .expect("based on the removal");
    assert_eq!(log.weight("one"), Some(7));
}

/// A command that was prepared against the log of another platform is sent to this one.
#[test]
fn a_publish_based_on_an_unknown_version_is_refused() {
    let mut log = TestLog::new();
    let refusal = log.publish("ada", vec![organisation("one", Some(9), 1)]);
    assert!(matches!(refusal, Err(PublishRefusal::UnknownBase { .. })));
}

/// Two operators grant one key to two organisations under two unit names, so neither
/// publish is stale. If both were accepted, a caller's requests would run for the
/// organisation whose unit name sorts last.
#[test]
fn two_units_never_hold_the_same_key() {
    let mut log = TestLog::new();
    log.publish("ada", vec![key("a", None, "one", "secret")])
        .expect("new");
    let refusal = log.publish("ben", vec![key("b", None, "two", "secret")]);
    assert!(matches!(refusal, Err(PublishRefusal::DigestTaken { .. })));
    assert_eq!(log.admits("secret").as_deref(), Some("one"));
    let both = vec![key("c", None, "one", "x"), key("d", None, "two", "x")];
    assert!(log.publish("ben", both).is_err());
}

/// A key moves from one unit to another in one publish, and continues to admit.
#[test]
fn a_key_may_move_between_units_of_one_publish() {
    let mut log = TestLog::new();
    log.publish("ada", vec![key("b", None, "one", "secret")])
        .expect("new");
    let moved = vec![
        key("a", None, "one", "secret"),
        removal(UnitKind::Key, "b", 0),
    ];
    log.publish("ada", moved)
        .expect("the former holder is removed");
    assert_eq!(log.admits("secret").as_deref(), Some("one"));
    let refusal = log.publish("ben", vec![key("z", None, "two", "secret")]);
    assert!(matches!(refusal, Err(PublishRefusal::DigestTaken { .. })));
}

/// A key is withdrawn because it was stolen, and later published again by an operator who
/// is unaware of the withdrawal. It must not admit again.
#[test]
fn a_withdrawn_key_stays_withdrawn_whatever_is_published() {
    let mut log = TestLog::new();
    log.publish("ada", vec![key("a", None, "one", "secret")])
        .expect("new");
    let events = log.append(LogRecord::Withdraw(WithdrawRecord {
        digest: KeyDigest::with_key("secret"),
        publisher: "ada".to_string(),
    }));
    let digest = KeyDigest::with_key("secret");
    assert_eq!(events, vec![ViewEvent::KeyRevoked { digest }]);
    log.publish("ben", vec![key("a", Some(0), "one", "secret")])
        .expect("the publish itself is current");
    assert_eq!(log.admits("secret"), None);
}

/// A publish grants a key to another organisation while a request with it runs. The
/// running work belongs to the former organisation and is ended; new work runs for the
/// new one.
#[test]
fn a_key_that_changes_its_organisation_ends_the_work_of_the_former_one() {
    let mut log = TestLog::new();
    log.publish("ada", vec![key("a", None, "one", "secret")])
        .expect("new");
    let changes = vec![key("a", Some(0), "two", "secret")];
    let publisher = "ben".to_string();
    let events = log.append(LogRecord::Publish(PublishRecord { publisher, changes }));
    let digest = KeyDigest::with_key("secret");
    assert!(events.contains(&ViewEvent::KeyRevoked { digest }));
    assert_eq!(log.admits("secret").as_deref(), Some("two"));
}

/// The log no longer has records that a reader still needs. Continuing from the oldest
/// retained one would silently skip their changes.
#[test]
fn an_entry_beyond_a_gap_is_not_applied() {
    let mut log = TestLog::new();
    log.publish("ada", vec![organisation("one", None, 1)])
        .expect("new");
    let entry = LogEntry {
        offset: LogOffset::new(5),
        writer: WriterId::new("other").expect("valid"),
        sequence: 1,
        record: LogRecord::Publish(PublishRecord {
            publisher: "ben".to_string(),
            changes: vec![organisation("one", Some(0), 9)],
        }),
    };
    assert!(!log.view.is_next(entry.offset));
    assert_eq!(log.view.apply(ClockTime::default(), &entry), Vec::new());
    assert_eq!(log.view.next_offset(), LogOffset::new(1));
    assert_eq!(log.weight("one"), Some(1));
}
