//! Streams that are recorded under the requests of their callers.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::SoftwareVersion,
    ids::{
        EndpointId, FailureDomain, InstanceId, OrganisationId, RequestFingerprint, RequestId,
        ServiceName,
    },
    streams::{
        EndpointProcess, MAX_STREAM_AGE, OriginHash, RecordPeer, RecordScope, RecordedOrigin,
        StreamHash, StreamName, StreamRecord, StreamTable,
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

fn process(endpoint: &str, start: u64) -> EndpointProcess {
    EndpointProcess {
        endpoint: EndpointId::new(endpoint).unwrap(),
        start,
    }
}

/// Guards against a stream that is taken up at the version of a process that had ended before the stream
/// began, as the registration of the next one arrives after its first event.
#[test]
fn a_stream_that_may_have_begun_at_a_later_process_is_contradictory() {
    let stream = request("north", "hello", "aa:40");
    let scope = RecordScope::Stream(stream);
    let mut table = StreamTable::new();
    table.note_begun(NOW, record(stream, "v1"), &service());
    table.note_unchecked(stream, &process("one", 1));
    table.take_due(scope, |_| vec![peer()]);
    table.take_unlogged(scope);
    let changed = table.note_started(&process("one", 2), origin("v2"));
    assert_eq!(changed, [stream]);
    assert_eq!(table.origin(stream), Some(RecordedOrigin::Contradictory));
    let scope = RecordScope::Streams(&changed);
    let both = vec![record(stream, "v1"), record(stream, "v2")];
    assert_eq!(table.take_due(scope, |_| vec![peer()]), [(1, both.clone())]);
    assert_eq!(table.take_unlogged(scope), both);
    let again = table.note_started(&process("one", 2), origin("v2"));
    assert!(again.is_empty());
}

/// Guards against streams that are refused although no other version can have begun them.
#[test]
fn a_stream_keeps_its_version_when_others_register() {
    let (begun, checked) = (
        request("north", "a", "aa:40"),
        request("north", "b", "aa:40"),
    );
    let mut table = StreamTable::new();
    for stream in [begun, checked] {
        table.note_begun(NOW, record(stream, "v1"), &service());
    }
    table.note_unchecked(begun, &process("one", 2));
    for (started, version) in [
        (process("one", 3), "v1"),
        (process("one", 2), "v2"),
        (process("one", 1), "v2"),
        (process("two", 3), "v2"),
    ] {
        assert!(table.note_started(&started, origin(version)).is_empty());
    }
    let changed = table.note_started(&process("one", 3), origin("v2"));
    assert_eq!(changed, [begun]);
    assert_eq!(
        table.origin(checked),
        Some(RecordedOrigin::Known(origin("v1")))
    );
}
