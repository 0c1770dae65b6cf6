//! The records of streams that are appended to a log of the store.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ServiceName},
    relay::DIRECT_READERS,
    streams::{
        OriginHash, RecordPeer, RecordQueue, RecordScope, StreamHash, StreamRecord, StreamTable,
        append_interval, appending_peer, queried_peers,
    },
};

fn record(number: u64) -> StreamRecord {
    StreamRecord {
        stream: StreamHash::new(number),
        origin: OriginHash::new(1),
    }
}

fn members(domain: usize, count: usize) -> Vec<RecordPeer<usize>> {
    let member = |number| RecordPeer {
        instance: InstanceId::new(format!("entry-{domain}-{number:03}")).unwrap(),
        domain: FailureDomain::new(format!("se-{domain}")).unwrap(),
        start: 1,
        address: domain * 1_000 + number,
    };
    (0..count).map(member).collect()
}

/// Guards against appends that grow with the instances, and against a single instance that gets the
/// records of a large failure domain.
#[test]
fn a_few_of_the_first_instances_append_the_records_of_a_failure_domain() {
    for (count, most) in [(1, 1), (3, 1), (64, 1), (197, 4), (2_000, DIRECT_READERS)] {
        let members = members(0, count);
        let mut appended: BTreeMap<usize, usize> = BTreeMap::new();
        for number in 0..4_000 {
            let stream = StreamHash::new(number * 7_919);
            let appender = appending_peer(stream, members.iter().collect()).unwrap();
            assert!(appender.address < DIRECT_READERS, "{count} instances");
            *appended.entry(appender.address).or_default() += 1;
        }
        assert_eq!(appended.len(), most, "{count} instances");
        let largest = appended.values().max().unwrap();
        assert!(largest * most < 6_000, "{count} instances: {appended:?}");
    }
}

/// Guards against an instance that does not read the log and asks none that does.
#[test]
fn an_instance_of_each_failure_domain_that_reads_the_log_is_asked() {
    let mut peers = members(0, 197);
    peers.extend(members(1, 197));
    for number in 0..100 {
        let stream = StreamHash::new(number * 7_919);
        let asked = queried_peers(stream, &peers);
        for domain in 0..2 {
            let readers = domain * 1_000..domain * 1_000 + DIRECT_READERS;
            assert!(asked.iter().any(|peer| readers.contains(&peer.address)));
        }
        let mut addresses: Vec<usize> = asked.iter().map(|peer| peer.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        assert_eq!(addresses.len(), asked.len());
    }
}

/// Guards against appending a stream again whenever another instance records it.
#[test]
fn a_stream_is_returned_for_the_log_once() {
    let service = ServiceName::new("chat").unwrap();
    let services = [service.clone()];
    let mut table = StreamTable::new();
    for number in 1..=3 {
        table.note_begun(ClockTime::from_millis(1_000), record(number), &service);
    }
    let one = table.take_unlogged(RecordScope::Stream(StreamHash::new(2)));
    assert_eq!(one, [record(2)]);
    let rest = table.take_unlogged(RecordScope::Services(&services));
    assert_eq!(rest, [record(1), record(3)]);
    assert!(
        table
            .take_unlogged(RecordScope::Services(&services))
            .is_empty()
    );
}

/// Guards against records that are lost with an append that failed, and against a queue that grows
/// for as long as the store is away.
#[test]
fn records_wait_for_the_store_up_to_a_limit() {
    let mut queue = RecordQueue::new();
    assert!(queue.add([record(1), record(2)]));
    assert!(!queue.add([record(3)]));
    let failed = queue.take();
    assert!(queue.is_empty());
    queue.add([record(4)]);
    queue.restore(failed);
    assert_eq!(queue.take(), [1, 2, 3, 4].map(record));
    for number in 0..50_000 {
        queue.add([record(number)]);
    }
    let mut kept = Vec::new();
    while !queue.is_empty() {
        kept.extend(queue.take());
    }
    assert!(kept.len() < 10_000, "{}", kept.len());
    assert_eq!(kept.last(), Some(&record(49_999)));
}

/// Guards against records of streams that take the writes of the store from everything else in large
/// fleets, and against streams that are not in the log for long in small ones.
#[test]
fn records_are_appended_often_and_within_the_writes_of_the_store() {
    for (domains, members, interval_ms) in [(3, 3, 40), (7, 50, 40), (5, 197, 100), (7, 512, 280)] {
        let peers: Vec<RecordPeer<u32>> = (0..domains * members)
            .map(|number| RecordPeer {
                instance: InstanceId::new(format!("edge-{number}")).unwrap(),
                domain: FailureDomain::new(format!("se-{}", number % domains)).unwrap(),
                start: 1,
                address: number,
            })
            .collect();
        let interval = append_interval(&peers);
        assert_eq!(interval, TimeSpan::from_millis(interval_ms));
    }
}
