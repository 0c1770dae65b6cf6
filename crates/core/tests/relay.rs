//! Sharing reads of the store within a failure domain.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    relay::{
        AdvertisedConfiguration, CopyLocation, CopyState, DIGEST_MISMATCH_TIMEOUT,
        DigestMismatchTimer, EchoedTimestamp, VersionAdvertisement, VersionSource, is_reader,
        relay_age_limit,
    },
    units::ByteSize,
};

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

#[test]
fn exactly_one_of_those_who_hear_each_other_reads() {
    let all = ["b", "c", "a"].map(instance);
    let readers = all.iter().filter(|own| {
        let others = all.iter().filter(|other| other != own);
        is_reader(own, others)
    });
    assert_eq!(readers.collect::<Vec<_>>(), [&instance("a")]);
    // Whoever hears nobody reads for itself.
    assert!(is_reader(&instance("c"), [].iter()));
}

#[test]
fn a_word_that_lay_in_a_buffer_does_not_look_fresh() {
    // An instance is suspended for six seconds while datagrams of its reader lie in
    // its buffer. It wakes and reads them: they say that all keys were fresh 0.3 s
    // ago. Counted from now, a key that was withdrawn meanwhile would work.
    let asked = EchoedTimestamp {
        sent: ClockTime::from_millis(1_000),
    };
    let known_at = asked.known_at(TimeSpan::from_millis(300));
    let woken = ClockTime::from_millis(7_200);
    assert_eq!(known_at, ClockTime::from_millis(700));
    assert_eq!(woken.since(known_at), TimeSpan::from_millis(6_500));
}

#[test]
fn a_reader_s_word_is_dropped_in_time_to_read_for_oneself() {
    // The reader is turned away by the store and tells nothing new. A configuration
    // must be in force 2 s after its acknowledgement here, too.
    for bound in [2_000, 3_000, 5_000] {
        let limit = relay_age_limit(TimeSpan::from_millis(bound));
        assert!(limit.as_millis() + 500 <= bound, "{limit}");
    }
}

#[test]
fn pictures_that_go_on_differing_are_read_whole() {
    let mut watch = DigestMismatchTimer::new();
    let now = ClockTime::from_millis(0);
    assert!(!watch.compare(now, 1, 2));
    assert!(!watch.compare(now + TimeSpan::from_millis(300), 1, 2));
    // What was on its way has come.
    assert!(!watch.compare(now + TimeSpan::from_millis(600), 2, 2));
    assert!(!watch.compare(now + TimeSpan::from_millis(700), 2, 3));
    let late = now + TimeSpan::from_millis(700) + DIGEST_MISMATCH_TIMEOUT;
    assert!(watch.compare(late, 2, 3));
    watch.reset();
    assert!(!watch.compare(late, 2, 3));
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn advertisement(version: u64, known_at: u64, copy: CopyState) -> VersionAdvertisement {
    VersionAdvertisement {
        version,
        known_at: at(known_at),
        next: LogOffset::new(version),
        copy,
    }
}

fn place(offset: u64) -> CopyLocation {
    CopyLocation {
        offset: LogOffset::new(offset),
        records: 2,
        size: ByteSize::new(300_000),
    }
}

/// Guards against all instances reading a large configuration while its copy is made.
#[test]
fn a_copy_that_is_being_made_is_waited_for_but_not_for_long() {
    let mut advertised = AdvertisedConfiguration::new();
    assert!(advertised.note_advertisement(at(1_000), advertisement(7, 900, CopyState::Pending)));
    assert_eq!(advertised.source(at(1_100)), VersionSource::Pending);
    assert!(!advertised.note_advertisement(at(1_250), advertisement(7, 1_200, CopyState::Pending)));
    assert_eq!(advertised.known_at(), at(1_200));
    assert_eq!(advertised.source(at(1_699)), VersionSource::Pending);
    assert_eq!(advertised.source(at(1_700)), VersionSource::Original);
    let stands = CopyState::Available(place(4));
    assert!(advertised.note_advertisement(at(1_800), advertisement(7, 1_750, stands)));
    assert_eq!(advertised.source(at(1_800)), VersionSource::Copy(place(4)));
}

/// Guards against trying the same unreadable copy for good, and against giving up the
/// copies of later versions with it.
#[test]
fn a_copy_that_failed_is_left_and_the_next_one_is_used() {
    let mut advertised = AdvertisedConfiguration::new();
    let stands = CopyState::Available(place(4));
    advertised.note_advertisement(at(1_000), advertisement(7, 900, stands));
    advertised.note_failed_copy();
    assert_eq!(advertised.source(at(1_100)), VersionSource::Original);
    assert!(!advertised.note_advertisement(at(1_200), advertisement(7, 1_100, stands)));
    assert_eq!(advertised.source(at(1_200)), VersionSource::Original);
    assert!(advertised.note_advertisement(
        at(1_300),
        advertisement(9, 1_200, CopyState::Available(place(8)))
    ));
    assert_eq!(advertised.source(at(1_300)), VersionSource::Copy(place(8)));
    // A reader that is behind takes nothing back.
    assert!(!advertised.note_advertisement(at(1_400), advertisement(7, 1_300, CopyState::Absent)));
    assert_eq!(advertised.version(), 9);
}

/// Guards against reading a whole configuration again each time a reader is lost.
#[test]
fn an_instance_with_the_advertised_version_follows_from_the_reader_s_offset() {
    let mut advertised = AdvertisedConfiguration::new();
    assert_eq!(advertised.resume_offset(None), None);
    advertised.note_advertisement(at(1_000), advertisement(7, 900, CopyState::Absent));
    assert_eq!(advertised.resume_offset(Some(7)), Some(LogOffset::new(7)));
    assert_eq!(advertised.resume_offset(Some(6)), None);
    let further = VersionAdvertisement {
        next: LogOffset::new(12),
        ..advertisement(7, 1_100, CopyState::Absent)
    };
    advertised.note_advertisement(at(1_200), further);
    assert_eq!(advertised.resume_offset(Some(7)), Some(LogOffset::new(12)));
}
