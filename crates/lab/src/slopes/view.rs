//! Folding the log: time per record and memory per organisation.

use bluebell_core::{
    clock::ClockTime,
    config::{KeyUnit, OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{KeyDigest, LogOffset, OrganisationId, WriterId},
    records::{LogEntry, LogRecord, PublishRecord, UnitChange},
    units::ShareWeight,
    view::FleetView,
};

use crate::{
    slopes::measure::{micros_each, with_memory},
    tables::TextTable,
};

const SIZES: [u64; 5] = [100, 300, 1_000, 3_000, 33_000];

/// The publish of an organisation with one key, as two units in one record.
pub fn publish(number: u64) -> LogEntry {
    let name = format!("organisation-{number}");
    let organisation = UnitBody::Organisation(OrganisationUnit {
        weight: ShareWeight::new(1),
        services: Vec::new(),
        max_in_flight: 64,
    });
    let key = UnitBody::Key(KeyUnit {
        organisation: OrganisationId::new(name.clone()).expect("an identifier"),
        digest: KeyDigest::with_key(&name),
    });
    let change = |kind, body| UnitChange {
        unit: UnitName::new(kind, &name).expect("an identifier"),
        base: None,
        body: Some(body),
    };
    LogEntry {
        offset: LogOffset::new(number),
        writer: WriterId::new("operator").expect("an identifier"),
        sequence: number + 1,
        record: LogRecord::Publish(PublishRecord {
            publisher: "operator".to_string(),
            changes: vec![
                change(UnitKind::Organisation, organisation),
                change(UnitKind::Key, key),
            ],
        }),
    }
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "View: folding organisations with a key each",
        "`bluebell-lab capacity --only view`",
        &["organisations", "µs per record", "memory, MB", "bytes each"],
    );
    for size in SIZES {
        let entries: Vec<LogEntry> = (0..size).map(publish).collect();
        let mut micros = 0.0;
        let (view, bytes) = with_memory(|| {
            let mut view = FleetView::new();
            micros = micros_each(size, || {
                for entry in &entries {
                    view.apply(ClockTime::default(), entry);
                }
            });
            view
        });
        table.row(&[
            size.to_string(),
            format!("{micros:.1}"),
            format!("{:.1}", bytes / 1e6),
            format!("{:.0}", bytes / size as f64),
        ]);
        // Kept until here, so that it counts; and not given back to the next.
        std::mem::forget(view);
    }
    table.finish()
}
