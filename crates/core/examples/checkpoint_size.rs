//! Size and time of a checkpoint of 33,000 organisations with a key each.
//!
//! `cargo run --release -p bluebell-core --example checkpoint_size`

use std::time::Instant;

use bluebell_core::{
    checkpoint::{CheckpointWriter, PART_SIZE},
    clock::ClockTime,
    config::{KeyUnit, OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{KeyDigest, LogOffset, OrganisationId, WriterId},
    records::{LogEntry, LogRecord, PublishRecord, UnitChange},
    units::ShareWeight,
    view::FleetView,
};

const ORGANISATIONS: usize = 33_000;

fn change(kind: UnitKind, name: &str, body: UnitBody) -> UnitChange {
    UnitChange {
        unit: UnitName::new(kind, name).expect("valid"),
        base: None,
        body: Some(body),
    }
}

fn changes(number: usize) -> Vec<UnitChange> {
    let name = format!("organisation-{number:05}");
    let organisation = UnitBody::Organisation(OrganisationUnit {
        weight: ShareWeight::new(1),
        services: Vec::new(),
        max_in_flight: 16,
    });
    let key = UnitBody::Key(KeyUnit {
        organisation: OrganisationId::new(name.clone()).expect("valid"),
        digest: KeyDigest::with_key(&name),
    });
    vec![
        change(UnitKind::Organisation, &name, organisation),
        change(UnitKind::Key, &name, key),
    ]
}

fn main() {
    let mut view = FleetView::new();
    let record = LogRecord::Publish(PublishRecord {
        publisher: "example".to_string(),
        changes: (0..ORGANISATIONS).flat_map(changes).collect(),
    });
    let entry = LogEntry {
        offset: LogOffset::START,
        writer: WriterId::new("example").expect("valid"),
        sequence: 1,
        record,
    };
    view.apply(ClockTime::default(), &entry);
    let started = Instant::now();
    let mut writer = CheckpointWriter::new(LogOffset::START, &view, PART_SIZE).expect("not empty");
    let parts: Vec<_> = std::iter::from_fn(|| writer.next_part()).collect();
    let wrote = started.elapsed();
    let bytes: usize = parts
        .iter()
        .map(|part| serde_json::to_string(part).expect("is JSON").len())
        .sum();
    let started = Instant::now();
    let items = parts.iter().flat_map(|part| &part.items);
    let restored = FleetView::with_checkpoint(ClockTime::default(), LogOffset::START, items);
    let read = started.elapsed();
    assert_eq!(restored.checkpoint(), view.checkpoint());
    println!(
        "organisations={ORGANISATIONS} parts={} bytes={bytes} write_ms={} restore_ms={}",
        parts.len(),
        wrote.as_millis(),
        read.as_millis()
    );
}
