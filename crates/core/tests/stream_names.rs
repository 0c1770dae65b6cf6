//! Streams that are recorded under the requests of their callers.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::SoftwareVersion,
    ids::{FailureDomain, InstanceId, OrganisationId, RequestFingerprint, RequestId, ServiceName},
    streams::{
        MAX_STREAM_AGE, OriginHash, RecordPeer, RecordScope, RecordedOrigin, StreamHash,
        StreamName, StreamRecord, StreamTable,
    },
};

const NOW: ClockTime = ClockTime::from_millis(1_000);

fn service() -> ServiceName {
    ServiceName::new("pool").unwrap()
}

fn origin(version: &str) -> OriginHash {
    OriginHash::with_version(&service(), &SoftwareVersion::new(version))
}

fn request(organisation: &str, body: &str, prompt: &str) -> StreamHash {
    let organisation = OrganisationId::new(organisation).unwrap();
    let fingerprint =
        RequestFingerprint::with_request(Some(&organisation), "/chat/1", body.as_bytes());
    StreamHash::with_request(&fingerprint, [prompt])
}

fn record(stream: StreamHash, version: &str) -> StreamRecord {
    StreamRecord {
        stream,
        origin: origin(version),
    }
}

fn peer() -> RecordPeer<u16> {
    RecordPeer {
        instance: InstanceId::new("other").unwrap(),
        domain: FailureDomain::new("se-a").unwrap(),
        start: 1,
        address: 1,
    }
}

/// Guards against a name that streams of different callers or prompts share.
#[test]
fn requests_that_differ_have_different_names() {
    let first = request("north", "hello", "aa:40,bb:60");
    assert_eq!(first, request("north", "hello", "aa:40,bb:60"));
    assert_ne!(first, request("south", "hello", "aa:40,bb:60"));
    assert_ne!(first, request("north", "bye", "aa:40,bb:60"));
    assert_ne!(first, request("north", "hello", "aa:40,cc:60"));
    let attempt = RequestId::new("aa").unwrap();
    assert_ne!(first, StreamHash::with_attempt(&attempt));
    assert!(!StreamName::Request(first).is_unique());
}

/// Guards against a stream that goes on at the version of another caller's stream, which began here
/// with an equal request.
#[test]
fn equal_requests_that_began_here_at_two_versions_are_contradictory() {
    let stream = request("north", "hello", "aa:40");
    let mut table = StreamTable::new();
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_begun(NOW, record(stream, "v1"), &service());
    assert_eq!(
        table.origin(stream),
        Some(RecordedOrigin::Known(origin("v1")))
    );
    table.note_begun(NOW, record(stream, "v2"), &service());
    assert_eq!(table.origin(stream), Some(RecordedOrigin::Contradictory));
}

/// Guards against a stream that goes on at the version of another caller's stream, which began at
/// another instance with an equal request.
#[test]
fn equal_requests_that_began_elsewhere_at_another_version_are_contradictory() {
    let stream = request("north", "hello", "aa:40");
    let mut table = StreamTable::new();
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_record(NOW, record(stream, "v2"));
    assert_eq!(table.origin(stream), Some(RecordedOrigin::Contradictory));
}

/// Guards against recorders that know only the first of two versions at which equal requests began.
#[test]
fn a_second_version_is_recorded_with_those_that_have_the_first() {
    let stream = request("north", "hello", "aa:40");
    let mut table = StreamTable::new();
    let scope = RecordScope::Stream(stream);
    table.note_begun(NOW, record(stream, "v1"), &service());
    let due = table.take_due(scope, |_| vec![peer()]);
    assert_eq!(due, [(1, vec![record(stream, "v1")])]);
    assert_eq!(table.take_unlogged(scope), [record(stream, "v1")]);
    table.note_begun(NOW, record(stream, "v2"), &service());
    let both = vec![record(stream, "v1"), record(stream, "v2")];
    assert_eq!(table.take_due(scope, |_| vec![peer()]), [(1, both.clone())]);
    assert_eq!(table.take_unlogged(scope), both);
    assert!(table.take_due(scope, |_| vec![peer()]).is_empty());
}

/// Guards against a record that is lost with the age of an earlier stream of an equal request.
#[test]
fn a_name_that_is_used_again_is_kept_for_its_latest_stream() {
    let stream = request("north", "hello", "aa:40");
    let name = StreamName::Request(stream);
    let mut table = StreamTable::new();
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_record(NOW, record(stream, "v1"));
    table.note_ended(name);
    let later = NOW + TimeSpan::from_millis(MAX_STREAM_AGE.as_millis() - 1);
    table.note_begun(later, record(stream, "v1"), &service());
    table.note_record(later, record(stream, "v1"));
    table.sweep(NOW + MAX_STREAM_AGE);
    assert_eq!(table.begun_services(), [service()]);
    table.sweep(later + MAX_STREAM_AGE);
    assert_eq!(table.origin(stream), None);
}

/// Guards against a stream that loses its record as another one of an equal request ends.
#[test]
fn a_name_is_kept_for_the_others_when_a_stream_of_an_equal_request_ends() {
    let stream = request("north", "hello", "aa:40");
    let mut table = StreamTable::new();
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_ended(StreamName::Request(stream));
    assert_eq!(
        table.origin(stream),
        Some(RecordedOrigin::Known(origin("v1")))
    );
}
