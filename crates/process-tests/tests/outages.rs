//! The platform is out, or a failure domain is cut off from everything.

use bluebell_core::{clock::ClockSource, ids::KeyDigest};
use bluebell_load::caller::{ChatAsk, ChatEnd};
use bluebell_testkit::{
    callers::{first_answer, record_all},
    control,
    fleet::{CHAT_SERVICE, FleetShape, TestFleet},
    histories::callers::{CallerRecord, no_shutdown_cut, whole_answers},
    link::LinkMode,
    unlocks::{UnlockEnd, executions, unlock},
    wait,
};
use serde_json::json;
use standin_platform::history::PlatformHistory;

const KEY: &str = "key-of-acme";
const LOST_KEY: &str = "key-of-other";

async fn serving_fleet(shape: FleetShape) -> anyhow::Result<TestFleet> {
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.add_organisation("other", LOST_KEY).await?;
    fleet.entries_ready().await?;
    for number in 0..fleet.entries.len() {
        first_answer(&ask(&fleet, number, KEY, "warm up len=2")).await?;
        first_answer(&ask(&fleet, number, LOST_KEY, "warm up len=2")).await?;
    }
    Ok(fleet)
}

fn ask(fleet: &TestFleet, entry: usize, key: &str, content: &str) -> ChatAsk {
    let address = fleet.entries[entry].process.http();
    ChatAsk::new(address, key, CHAT_SERVICE, content)
}

async fn ask_everywhere(fleet: &TestFleet, key: &str) -> anyhow::Result<Vec<CallerRecord>> {
    let entries = 0..fleet.entries.len();
    let asks = entries.map(|entry| ask(fleet, entry, key, &format!("at {entry}? len=10")));
    Ok(record_all(&ClockSource::new(), asks.collect()).await?)
}

fn all_whole(records: &[CallerRecord]) -> bool {
    let whole = |record: &CallerRecord| matches!(record.answer.end, ChatEnd::Whole { .. });
    records.iter().all(whole)
}

fn all_refused(records: &[CallerRecord], code: &str) -> bool {
    let refused = |record: &CallerRecord| match &record.answer.end {
        ChatEnd::Refused(refusal) => refusal.code == code,
        _ => false,
    };
    records.iter().all(refused)
}

/// The log is out for a while, and a customer reports a stolen key meanwhile.
/// The operator tells one process. Everybody else's requests go on as before,
/// and the stolen key dies at all entries although no log can tell them.
#[tokio::test]
async fn a_key_withdrawn_while_the_log_is_out_dies_everywhere() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.entries = 2;
    shape.controllers = 1;
    let fleet = serving_fleet(shape).await?;
    let platform = fleet.platform.http();
    control::set_faults(platform, &json!({"log_outage": "refuse"})).await?;
    assert!(all_whole(&ask_everywhere(&fleet, KEY).await?));
    let controller = fleet.controllers[0].process.http();
    let digest = KeyDigest::with_key(LOST_KEY);
    let record = json!({"digest": digest, "publisher": "operator"});
    control::post(controller, "/admin/withdraw", &record).await?;
    wait::until("the key is dead at all entries", || async {
        let records = ask_everywhere(&fleet, LOST_KEY).await.ok()?;
        all_refused(&records, "invalid_key").then_some(())
    })
    .await?;
    assert!(all_whole(&ask_everywhere(&fleet, KEY).await?));

    control::set_faults(platform, &json!({})).await?;
    wait::until("the withdrawal stands in the log", || async {
        let history: PlatformHistory = control::history(platform).await.ok()?;
        let text = digest.to_string();
        let withdrawals = history.appends.iter().filter(|entry| {
            entry.payload.contains("\"withdraw\"") && entry.payload.contains(&text)
        });
        (withdrawals.count() > 0).then_some(())
    })
    .await?;
    let records = ask_everywhere(&fleet, LOST_KEY).await?;
    assert!(all_refused(&records, "invalid_key"));
    Ok(())
}

/// The log goes out while answers are on their way. They need no log, so nobody
/// at a screen may notice.
#[tokio::test]
async fn an_outage_of_the_log_cuts_no_answer() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.engines = 2;
    let fleet = serving_fleet(shape).await?;
    let asks = (0..6).map(|number| ask(&fleet, 0, KEY, &format!("story {number} len=300")));
    let running = record_all(&ClockSource::new(), asks.collect());
    let platform = fleet.platform.http();
    control::set_faults(platform, &json!({"log_outage": "hang"})).await?;
    let records = running.await?;
    assert_eq!(whole_answers(&records), []);
    assert_eq!(no_shutdown_cut(&records), []);
    assert!(all_whole(&records));
    Ok(())
}

/// A failure domain loses the platform and all its peers at once. People at its
/// kiosks go on getting answers; what may run only once is refused as not run,
/// since a withdrawn key could not be known there. When the domain is back, it
/// learns what it missed.
#[tokio::test]
async fn a_cut_off_failure_domain_serves_and_then_catches_up() -> anyhow::Result<()> {
    let mut shape = FleetShape::new().with_domains(&["zone-a", "zone-b"]);
    shape.peer_links = true;
    shape.entry_settings = "[requests]\nfreshness_bound = \"500ms\"".to_string();
    let mut fleet = serving_fleet(shape).await?;
    fleet.set_peer_links(LinkMode::Muted);
    let cut = json!({"cut_domains": ["zone-b"]});
    control::set_faults(fleet.platform.http(), &cut).await?;
    let cut_entry = fleet.entries[1].process.http().to_string();
    wait::until("unlocks are refused in the cut-off domain", || async {
        let end = unlock(&cut_entry, KEY, None, 1).await;
        let refused = matches!(&end, UnlockEnd::Refused { ran, .. } if ran == "not_run");
        refused.then_some(())
    })
    .await?;
    let before = executions(&fleet).await?.len();
    let refused = unlock(&cut_entry, KEY, Some("mark"), 1).await;
    assert!(matches!(&refused, UnlockEnd::Refused { ran, .. } if ran == "not_run"));
    assert_eq!(executions(&fleet).await?.len(), before);
    assert!(all_whole(&ask_everywhere(&fleet, KEY).await?));

    fleet.withdraw_key(LOST_KEY).await?;
    let connected = fleet.entries[0].process.http().to_string();
    wait::until("the key is dead where the log is read", || async {
        let asks = vec![ChatAsk::new(&connected, LOST_KEY, CHAT_SERVICE, "hello")];
        let records = record_all(&ClockSource::new(), asks).await.ok()?;
        all_refused(&records, "invalid_key").then_some(())
    })
    .await?;

    fleet.set_peer_links(LinkMode::Open);
    control::set_faults(fleet.platform.http(), &json!({})).await?;
    wait::until("the key is dead everywhere", || async {
        let records = ask_everywhere(&fleet, LOST_KEY).await.ok()?;
        all_refused(&records, "invalid_key").then_some(())
    })
    .await?;
    wait::until("unlocks run again", || async {
        let end = unlock(&cut_entry, KEY, None, 2).await;
        matches!(end, UnlockEnd::Answered(_)).then_some(())
    })
    .await?;
    Ok(())
}
