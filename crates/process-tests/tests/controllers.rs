//! Controllers that are paused past their leases.

use std::collections::BTreeSet;

use anyhow::Context;
use bluebell_core::records::{IntentRecord, LogRecord, OrderBody, UsageWindow};
use bluebell_load::caller::ChatAsk;
use bluebell_testkit::{
    callers::first_answer,
    control,
    fleet::{CHAT_SERVICE, FleetMember, FleetShape, TestFleet},
    histories::{
        orders::{no_stale_engine_effect, one_fleet_holder, one_order_at_a_time},
        usage::one_usage_report,
    },
    wait,
};
use serde_json::json;
use standin_engine::history::EngineEvent;
use standin_platform::history::PlatformHistory;

const KEY: &str = "key-of-acme";

/// Leases and windows that are short, so that the test is.
const CONTROLLER_SETTINGS: &str = r#"
[lease]
duration = "2s"
margin = "500ms"
renew_after = "500ms"
stagger = "200ms"
[orders]
timeout = "400ms"
[usage]
window = "1s"
grace = "500ms"
"#;

const ENTRY_SETTINGS: &str = r#"
[metering]
window = "1s"
flush_interval = "200ms"
"#;

async fn history(fleet: &TestFleet) -> anyhow::Result<PlatformHistory> {
    control::history(fleet.platform.http()).await
}

/// Asks once, so that there is usage to report.
async fn use_some(fleet: &TestFleet) -> anyhow::Result<()> {
    let entry = fleet.entries[0].process.http();
    let ask = ChatAsk::new(entry, KEY, CHAT_SERVICE, "something to bill len=3");
    first_answer(&ask).await.map(drop)
}

/// Waits until a new report comes from a controller that is not among `others`;
/// answers the reporter.
async fn next_reporter(fleet: &TestFleet, others: &BTreeSet<String>) -> anyhow::Result<String> {
    let seen = history(fleet).await?.reports.len();
    let reporter = wait::until("a usage report of another controller", || async {
        use_some(fleet).await.ok()?;
        let reports = history(fleet).await.ok()?.reports;
        let new = reports.iter().skip(seen);
        let mut reporters = new.map(|report| report.report.reporter.to_string());
        reporters.find(|reporter| !others.contains(reporter))
    });
    reporter.await.with_context(|| fleet.logs())
}

fn controller<'a>(fleet: &'a TestFleet, name: &str) -> anyhow::Result<&'a FleetMember> {
    let found = fleet.controllers.iter().find(|member| member.name == name);
    found.ok_or_else(|| anyhow::anyhow!("no controller is called `{name}`"))
}

/// The controller that reports usage is frozen past its lease, as happens when
/// its machine is starved. Another takes over, and then the first wakes and
/// still believes that it is in charge. A customer would be billed twice, or an
/// engine told two things at once.
#[tokio::test]
async fn a_controller_woken_past_its_lease_does_no_harm() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.controllers = 3;
    shape.engines = 2;
    shape.controller_settings = CONTROLLER_SETTINGS.to_string();
    shape.entry_settings = ENTRY_SETTINGS.to_string();
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;

    let mut paused = BTreeSet::new();
    let first = next_reporter(&fleet, &paused).await?;
    controller(&fleet, &first)?.process.pause()?;
    paused.insert(first.clone());
    let second = next_reporter(&fleet, &paused).await?;
    controller(&fleet, &first)?.process.resume()?;
    // Whoever reports now, the woken one has had its say by the third report.
    for _ in 0..3 {
        next_reporter(&fleet, &BTreeSet::new()).await?;
    }
    controller(&fleet, &second)?.process.pause()?;
    next_reporter(&fleet, &BTreeSet::from([second.clone()])).await?;
    controller(&fleet, &second)?.process.resume()?;
    next_reporter(&fleet, &BTreeSet::new()).await?;

    let seen = history(&fleet).await?;
    assert_eq!(one_usage_report(&seen.reports), []);
    assert_eq!(one_fleet_holder(&seen.orders), []);
    for engine in &fleet.engines {
        let events: Vec<EngineEvent> = control::history(engine.process.http()).await?;
        assert_eq!(one_order_at_a_time(&events), []);
        assert_eq!(no_stale_engine_effect(&events), []);
    }
    Ok(())
}

/// The windows whose report stands in the log as an intent and has not reached
/// the platform.
fn intended_windows(history: &PlatformHistory) -> Vec<UsageWindow> {
    let reported: BTreeSet<UsageWindow> = history
        .reports
        .iter()
        .filter(|seen| seen.accepted)
        .map(|seen| seen.report.window)
        .collect();
    let records = history.appends.iter();
    let records = records.filter_map(|entry| serde_json::from_str(&entry.payload).ok());
    let intended = records.filter_map(|record| match record {
        LogRecord::Intent(IntentRecord {
            body: OrderBody::ReportUsage { window },
            ..
        }) => Some(window),
        _ => None,
    });
    intended
        .filter(|window| !reported.contains(window))
        .collect()
}

/// The platform's intake is out, so a report stands in the log as intended and
/// unsent; then its sender is frozen. Another controller sends it once the
/// intake is back. The first wakes with the report still in its hands, and the
/// customer would be billed by two processes.
#[tokio::test]
async fn a_controller_frozen_with_an_unsent_report_does_not_send_it_late() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.controllers = 2;
    shape.controller_settings = CONTROLLER_SETTINGS.to_string();
    shape.entry_settings = ENTRY_SETTINGS.to_string();
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    let first = next_reporter(&fleet, &BTreeSet::new()).await?;
    let platform = fleet.platform.http();
    control::set_faults(platform, &json!({"usage_outage": true})).await?;
    wait::until("a report is intended and unsent", || async {
        use_some(&fleet).await.ok()?;
        let open = intended_windows(&history(&fleet).await.ok()?);
        (!open.is_empty()).then_some(())
    })
    .await?;
    controller(&fleet, &first)?.process.pause()?;
    control::set_faults(platform, &json!({})).await?;
    next_reporter(&fleet, &BTreeSet::from([first.clone()])).await?;
    controller(&fleet, &first)?.process.resume()?;
    for _ in 0..3 {
        next_reporter(&fleet, &BTreeSet::new()).await?;
    }
    assert_eq!(one_usage_report(&history(&fleet).await?.reports), []);
    Ok(())
}

/// Controllers are told to end one after another, as in an upgrade. Each gives
/// its duties up at once and exits cleanly, and reports go on.
#[tokio::test]
async fn controllers_told_to_end_hand_over_and_exit_cleanly() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.controllers = 2;
    shape.controller_settings = CONTROLLER_SETTINGS.to_string();
    shape.entry_settings = ENTRY_SETTINGS.to_string();
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    let first = next_reporter(&fleet, &BTreeSet::new()).await?;
    let index = fleet.controllers.iter().position(|c| c.name == first);
    let mut ended = fleet.controllers.remove(index.expect("it reported"));
    ended.process.terminate()?;
    assert_eq!(ended.process.ended().await?.code(), Some(0));
    next_reporter(&fleet, &BTreeSet::from([first])).await?;
    assert_eq!(one_usage_report(&history(&fleet).await?.reports), []);
    Ok(())
}
