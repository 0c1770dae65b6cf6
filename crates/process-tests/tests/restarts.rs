//! All instances are replaced at once, after the log has forgotten what it was told.

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, InstanceId, LogOffset},
};
use bluebell_load::caller::{ChatAsk, ChatEnd};
use bluebell_platform::PlatformClient;
use bluebell_testkit::{
    callers::{first_answer, record_all},
    control,
    fleet::{CHAT_SERVICE, FleetShape, TestFleet},
    histories::configuration::{VersionAccepted, VersionSeen, never_reverts},
    wait,
};
use serde_json::Value;
use standin_platform::history::PlatformHistory;

const KEY: &str = "key-of-acme";
const LOST_KEY: &str = "key-of-other";

/// Records that the platform keeps.
const KEPT: u64 = 150;

/// Records between two looks for a checkpoint; several fit into what is kept.
const BATCH: usize = 30;

/// No verdict on how long a change took: a run on a busy machine may be slow.
const BOUND: TimeSpan = TimeSpan::from_secs(3_600);

fn shape() -> FleetShape {
    let mut shape = FleetShape::new();
    shape.entries = 2;
    shape.controllers = 2;
    shape.platform_settings = format!("list_lag = \"200ms\"\nkept_records = {KEPT}");
    shape.controller_settings = "[checkpoint]\nevery_records = 20".to_string();
    shape
}

async fn checkpoints(fleet: &TestFleet) -> Option<usize> {
    let history: PlatformHistory = control::history(fleet.platform.http()).await.ok()?;
    let parts = history.appends.iter();
    Some(
        parts
            .filter(|entry| entry.payload.contains("\"type\":\"checkpoint\""))
            .count(),
    )
}

/// Appends records until the log has forgotten everything up to `offset`, no
/// faster than checkpoints are written.
async fn let_the_log_forget(fleet: &mut TestFleet, offset: LogOffset) -> anyhow::Result<()> {
    let operator = InstanceId::new("operator")?;
    let client = PlatformClient::new(
        fleet.platform.http(),
        &operator,
        &FailureDomain::new("outside")?,
    );
    let mut number = 0;
    while client.read(offset, 1, TimeSpan::ZERO).await?.first_kept <= offset {
        let before = checkpoints(fleet).await.unwrap_or_default();
        for _ in 0..BATCH {
            fleet.withdraw_key(&format!("unused-{number}")).await?;
            number += 1;
        }
        let newer = || async { (checkpoints(fleet).await? > before).then_some(()) };
        wait::until("a newer checkpoint", newer).await?;
    }
    Ok(())
}

async fn version_seen(
    fleet: &TestFleet,
    clock: &ClockSource,
    start: usize,
) -> anyhow::Result<Vec<VersionSeen>> {
    let mut seen = Vec::new();
    for entry in &fleet.entries {
        let dump: Value = control::get(entry.process.http(), "/dump").await?;
        let unit = &dump["view"]["configuration"]["units"]["organisation/acme"];
        seen.push(VersionSeen {
            process: format!("{} start {start}", entry.name),
            at: clock.now(),
            version: unit["version"].as_u64().map(LogOffset::new),
        });
    }
    Ok(seen)
}

async fn end_of(fleet: &TestFleet, entry: usize, key: &str) -> anyhow::Result<ChatEnd> {
    let address = fleet.entries[entry].process.http();
    let ask = ChatAsk::new(address, key, CHAT_SERVICE, "still there? len=5");
    let mut records = record_all(&ClockSource::new(), vec![ask]).await?;
    Ok(records.remove(0).answer.end)
}

async fn replace_all(fleet: &mut TestFleet) -> anyhow::Result<()> {
    let names = |members: &[bluebell_testkit::fleet::FleetMember]| {
        let pairs = members
            .iter()
            .map(|m| (m.name.clone(), m.failure_domain.clone()));
        pairs.collect::<Vec<_>>()
    };
    let entries = names(&fleet.entries);
    let controllers = names(&fleet.controllers);
    // Dropping a process kills it.
    fleet.entries.clear();
    fleet.controllers.clear();
    for (name, domain) in entries {
        fleet.start_entry(&name, &domain).await?;
    }
    for (name, domain) in controllers {
        fleet.start_controller(&name, &domain).await?;
    }
    fleet.entries_ready().await
}

/// A configuration was published long ago, a key withdrawn soon after, and the log
/// keeps neither record any more when all instances are lost at once. If the new
/// ones took the log's oldest entry for its beginning, callers would be refused,
/// or the withdrawn key would work again.
#[tokio::test]
async fn configuration_outlives_the_log_and_all_instances() -> anyhow::Result<()> {
    let clock = ClockSource::new();
    let mut fleet = TestFleet::start(shape()).await?;
    let version = fleet.add_organisation("acme", KEY).await?;
    let accepted = VersionAccepted {
        at: clock.now(),
        version,
    };
    fleet.add_organisation("other", LOST_KEY).await?;
    let withdrawn = fleet.withdraw_key(LOST_KEY).await?;
    fleet.entries_ready().await?;
    let warm_up = ChatAsk::new(
        fleet.entries[0].process.http(),
        KEY,
        CHAT_SERVICE,
        "hi len=2",
    );
    first_answer(&warm_up).await?;
    let mut seen = version_seen(&fleet, &clock, 1).await?;

    let_the_log_forget(&mut fleet, withdrawn).await?;
    replace_all(&mut fleet).await?;
    seen.extend(version_seen(&fleet, &clock, 2).await?);
    assert_eq!(never_reverts(&seen, &[accepted], BOUND), []);
    assert!(
        seen.iter().all(|seen| seen.version == Some(version)),
        "{seen:?}"
    );

    let again = ChatAsk::new(
        fleet.entries[0].process.http(),
        KEY,
        CHAT_SERVICE,
        "hi len=2",
    );
    first_answer(&again).await?;
    for entry in 0..fleet.entries.len() {
        let end = end_of(&fleet, entry, LOST_KEY).await?;
        let ChatEnd::Refused(refusal) = end else {
            anyhow::bail!("the withdrawn key got {end:?}");
        };
        assert_eq!(refusal.code, "invalid_key");
    }
    Ok(())
}
