//! Sharing reads of the store within a failure domain.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    relay::{
        AdvertisedConfiguration, CopyLocation, CopyState, DIGEST_MISMATCH_TIMEOUT,
        DigestMismatchTimer, EchoedTimestamp, ProcessStamp, VersionAdvertisement, VersionSource,
        is_reader, relay_age_limit,
    },
    units::ByteSize,
};

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

#[test]
fn exactly_one_of_the_connected_instances_is_the_reader() {
    let all = ["b", "c", "a"].map(instance);
    let readers = all.iter().filter(|local| {
        let others = all.iter().filter(|other| other != local);
        is_reader(local, others)
    });
    assert_eq!(readers.collect::<Vec<_>>(), [&instance("a")]);
    // An instance without live peers is its own reader.
    assert!(is_reader(&instance("c"), [].iter()));
}

#[test]
fn a_message_that_waited_in_a_buffer_does_not_look_fresh() {
    // An instance is suspended for six seconds while datagrams of its reader wait in its
    // buffer. It resumes and reads that all keys were fresh 0.3 s before. If that age
    // counted from the time of reading, a key withdrawn meanwhile would be accepted.
    let echoed = EchoedTimestamp {
        sent: ClockTime::from_millis(1_000),
    };
    let known_at = echoed.known_at(TimeSpan::from_millis(300));
    let resumed = ClockTime::from_millis(7_200);
    assert_eq!(known_at, ClockTime::from_millis(700));
    assert_eq!(resumed.since(known_at), TimeSpan::from_millis(6_500));
}

#[test]
fn relayed_data_expires_in_time_for_a_direct_read() {
    // The store refuses the reader's calls, so the reader relays nothing new. A
    // configuration must still be in force here 2 s after its acknowledgement.
    for bound in [2_000, 3_000, 5_000] {
        let limit = relay_age_limit(TimeSpan::from_millis(bound));
        assert!(limit.as_millis() + 500 <= bound, "{limit}");
    }
}

#[test]
fn digests_that_keep_differing_cause_a_complete_read() {
    let mut timer = DigestMismatchTimer::new();
    let now = ClockTime::from_millis(0);
    assert!(!timer.compare(now, 1, 2));
    assert!(!timer.compare(now + TimeSpan::from_millis(300), 1, 2));
    // The change in transit has arrived.
    assert!(!timer.compare(now + TimeSpan::from_millis(600), 2, 2));
    assert!(!timer.compare(now + TimeSpan::from_millis(700), 2, 3));
    let late = now + TimeSpan::from_millis(700) + DIGEST_MISMATCH_TIMEOUT;
    assert!(timer.compare(late, 2, 3));
    timer.reset();
    assert!(!timer.compare(late, 2, 3));
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

fn location(offset: u64) -> CopyLocation {
    CopyLocation {
        offset: LogOffset::new(offset),
        records: 2,
        size: ByteSize::new(300_000),
    }
}

/// Guards against all instances reading a large configuration while its copy is being
/// made.
#[test]
fn the_wait_for_a_pending_copy_is_bounded() {
    let mut advertised = AdvertisedConfiguration::new();
    assert!(advertised.note_advertisement(at(1_000), advertisement(7, 900, CopyState::Pending)));
    assert_eq!(advertised.source(at(1_100)), VersionSource::Pending);
    assert!(!advertised.note_advertisement(at(1_250), advertisement(7, 1_200, CopyState::Pending)));
    assert_eq!(advertised.known_at(), at(1_200));
    assert_eq!(advertised.source(at(1_699)), VersionSource::Pending);
    assert_eq!(advertised.source(at(1_700)), VersionSource::Original);
    let available = CopyState::Available(location(4));
    assert!(advertised.note_advertisement(at(1_800), advertisement(7, 1_750, available)));
    assert_eq!(
        advertised.source(at(1_800)),
        VersionSource::Copy(location(4))
    );
}

/// Guards against retrying an unreadable copy forever, and against ignoring the copies
/// of later versions because of it.
#[test]
fn a_failed_copy_is_skipped_and_the_next_one_is_used() {
    let mut advertised = AdvertisedConfiguration::new();
    let available = CopyState::Available(location(4));
    advertised.note_advertisement(at(1_000), advertisement(7, 900, available));
    advertised.note_failed_copy();
    assert_eq!(advertised.source(at(1_100)), VersionSource::Original);
    assert!(!advertised.note_advertisement(at(1_200), advertisement(7, 1_100, available)));
    assert_eq!(advertised.source(at(1_200)), VersionSource::Original);
    assert!(advertised.note_advertisement(
        at(1_300),
        advertisement(9, 1_200, CopyState::Available(location(8)))
    ));
    assert_eq!(
        advertised.source(at(1_300)),
        VersionSource::Copy(location(8))
    );
    // The advertisement of a reader that is behind is ignored.
    assert!(!advertised.note_advertisement(at(1_400), advertisement(7, 1_300, CopyState::Absent)));
    assert_eq!(advertised.version(), 9);
}

/// Guards against reading a whole configuration again each time a reader is lost.
#[test]
fn an_instance_with_the_advertised_version_resumes_at_the_offset_of_the_reader() {
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

/// Guards against relayed state that counts as just confirmed after a loss of power: the reader echoes
/// a timestamp of the process before, whose clock was ahead of the new one.
#[test]
fn a_timestamp_of_an_earlier_process_is_not_taken_for_an_own_one() {
    let (earlier, own) = (1_000, 9_000);
    let at = ClockTime::from_millis;
    let now = at(2_500);
    let of_process = |echo| EchoedTimestamp::of_process(echo, own, now);
    assert_eq!(of_process(ProcessStamp::new(earlier, 30_000)), None);
    // The clock of the new process reaches the earlier timestamp in time.
    assert_eq!(of_process(ProcessStamp::new(earlier, 2_400)), None);
    assert_eq!(of_process(ProcessStamp::new(own, 2_501)), None);
    assert_eq!(of_process(ProcessStamp::default()), None);
    let sent = at(2_400);
    let echo = of_process(ProcessStamp::new(own, 2_400));
    assert_eq!(echo, Some(EchoedTimestamp { sent }));
}
