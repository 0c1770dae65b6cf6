//! Versions of streams: the time to record a stream and to find those that recorded it, by
//! instances.

use bluebell_core::{
    clock::ClockTime,
    directory::SoftwareVersion,
    ids::{FailureDomain, InstanceId, ServiceName},
    streams::{
        OriginHash, RecordPeer, RecordScope, StreamHash, StreamRecord, StreamTable, queried_peers,
        recording_peers,
    },
};

use crate::{
    slopes::measure::{micros_each, with_memory},
    tables::TextTable,
};

/// Streams that are begun at one instance.
const STREAMS: u64 = 1_000;
/// Failure domains of the fleet.
const DOMAINS: usize = 7;

fn peers(count: usize) -> Vec<RecordPeer<usize>> {
    let peers = (0..count).map(|number| RecordPeer {
        instance: InstanceId::new(format!("edge-{number}")).expect("an identifier"),
        domain: FailureDomain::new(format!("d{}", number % DOMAINS)).expect("an identifier"),
        start: 1,
        address: number,
    });
    peers.collect()
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Versions of streams",
        "`bluebell-lab capacity --only streams`",
        &[
            "instances",
            "µs per begun stream",
            "records per stream",
            "µs per query",
            "instances asked",
            "memory of 1,000 streams, kB",
        ],
    );
    let service = ServiceName::new("chat").expect("an identifier");
    let origin = OriginHash::with_version(&service, &SoftwareVersion::new("v1"));
    let domain = FailureDomain::new("d0").expect("an identifier");
    for count in [9, 90, 295, 985] {
        let others = peers(count - 1);
        let mut records = 0;
        let mut begin_us = 0.0;
        let (streams, bytes) = with_memory(|| {
            let mut streams = StreamTable::new();
            begin_us = micros_each(STREAMS, || {
                for number in 0..STREAMS {
                    let stream = StreamHash::new(number);
                    let record = StreamRecord { stream, origin };
                    streams.note_begun(ClockTime::from_millis(number), record, &service);
                    let due = streams.take_due(RecordScope::Stream(stream), |stream| {
                        let chosen = recording_peers(stream, &domain, &others);
                        chosen.into_iter().cloned().collect()
                    });
                    records += due.len();
                }
            });
            streams
        });
        let mut asked = 0;
        let query_us = micros_each(STREAMS, || {
            for number in 0..STREAMS {
                asked += queried_peers(StreamHash::new(number), &others).len();
            }
        });
        table.row(&[
            count.to_string(),
            format!("{begin_us:.1}"),
            format!("{:.1}", records as f64 / STREAMS as f64),
            format!("{query_us:.1}"),
            format!("{:.1}", asked as f64 / STREAMS as f64),
            format!("{:.0}", bytes / 1e3),
        ]);
        std::mem::forget(streams);
    }
    table.finish()
}
