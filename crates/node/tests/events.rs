//! Ordering of events and progress, as seen by a subscriber.

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, InstanceId, LogOffset, RegionId, WriterId},
    records::{LogEntry, LogRecord, PublishRecord},
    view::ViewEvent,
};
use bluebell_node::{NodeHandle, NodeSettings};
use tokio_util::sync::CancellationToken;

/// Enough rounds to hit the race reliably: without the ordering that the test
/// checks, an event was missed in every run.
const ROUNDS: u64 = 20_000;

fn node(token: &CancellationToken) -> NodeHandle {
    let settings = NodeSettings::new(
        InstanceId::new("entry-1").expect("valid"),
        FailureDomain::new("se-a").expect("valid"),
        RegionId::new("south-east").expect("valid"),
        "127.0.0.1:9".to_string(),
    );
    NodeHandle::start(settings, ClockSource::new(), token)
}

fn entry(number: u64) -> LogEntry {
    let record = PublishRecord {
        publisher: "ann".to_string(),
        changes: Vec::new(),
    };
    LogEntry {
        offset: LogOffset::new(number),
        writer: WriterId::new("writer").expect("valid"),
        sequence: number + 1,
        record: LogRecord::Publish(record),
    }
}

/// A publish command waits until its record has been applied and then looks for
/// the event with the outcome. If the wait could end before the event is sent, the
/// command would report an unknown outcome for a publish that is in force.
#[tokio::test(flavor = "multi_thread")]
async fn the_event_of_an_entry_is_sent_before_a_wait_for_the_entry_ends() {
    let token = CancellationToken::new();
    let node = node(&token);
    for number in 0..ROUNDS {
        let mut events = node.subscribe();
        let applier = node.clone();
        let applied = tokio::task::spawn_blocking(move || applier.apply(&entry(number)));
        let offset = LogOffset::new(number);
        assert!(node.wait_applied(offset, TimeSpan::from_secs(60)).await);
        let event = events.try_recv();
        assert_eq!(event, Ok(ViewEvent::Published { offset }));
        applied.await.expect("applying does not panic");
    }
    token.cancel();
}
