//! Unlocks run at most once, whatever is lost on the way.

use bluebell_testkit::{
    control,
    fleet::{FleetShape, TestFleet},
    histories::endpoints::at_most_once,
    unlocks::{UnlockEnd, executions, unlock},
    wait,
};
use serde_json::json;
use standin_platform::history::PlatformHistory;

const KEY: &str = "key-of-acme";

/// Two entries and two replicas of the plain service; both entries have
/// answered a call.
async fn serving_fleet() -> anyhow::Result<TestFleet> {
    let mut shape = FleetShape::new();
    shape.entries = 2;
    shape.services = 2;
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    for entry in &fleet.entries {
        let address = entry.process.http();
        wait::until("an unlock is answered", || async {
            let end = unlock(address, KEY, None, 0).await;
            matches!(end, UnlockEnd::Answered(_)).then_some(())
        })
        .await?;
    }
    Ok(fleet)
}

async fn set_faults(fleet: &TestFleet, faults: &serde_json::Value) -> anyhow::Result<()> {
    for service in &fleet.services {
        control::set_faults(service.process.http(), faults).await?;
    }
    Ok(())
}

async fn marked_executions(fleet: &TestFleet, mark: &str) -> anyhow::Result<usize> {
    let all = executions(fleet).await?;
    let marked = all
        .iter()
        .filter(|e| e.idempotency_key.as_deref() == Some(mark));
    Ok(marked.count())
}

/// A renter's unlock has run, but the entry dies before its answer arrives. The
/// app sends the unlock again through another entry. If that one ran it again,
/// the member would be charged twice.
#[tokio::test]
async fn an_unlock_sent_again_after_its_entry_died_runs_once() -> anyhow::Result<()> {
    let fleet = serving_fleet().await?;
    set_faults(&fleet, &json!({"lose_answers": "withheld"})).await?;
    let first = fleet.entries[0].process.http().to_string();
    let lost = tokio::spawn(async move { unlock(&first, KEY, Some("mark-1"), 7).await });
    wait::until("the unlock has run", || async {
        let count = marked_executions(&fleet, "mark-1").await.ok()?;
        (count == 1).then_some(())
    })
    .await?;
    fleet.entries[0].process.kill()?;
    assert!(matches!(lost.await?, UnlockEnd::Lost(_)));
    set_faults(&fleet, &json!({})).await?;
    let second = fleet.entries[1].process.http();
    let end = unlock(second, KEY, Some("mark-1"), 7).await;
    let UnlockEnd::Refused { ran, .. } = &end else {
        anyhow::bail!("the first answer was lost, yet the caller got {end:?}");
    };
    assert_eq!(ran, "unknown");
    assert_eq!(marked_executions(&fleet, "mark-1").await?, 1);
    assert_eq!(at_most_once(&executions(&fleet).await?), []);
    Ok(())
}

/// The entry dies while the service still holds the unlock back. The app sends
/// it again elsewhere before the service goes on and runs the first one.
#[tokio::test]
async fn an_unlock_that_runs_late_is_not_run_again() -> anyhow::Result<()> {
    let fleet = serving_fleet().await?;
    set_faults(&fleet, &json!({"stalled": true})).await?;
    let first = fleet.entries[0].process.http().to_string();
    let lost = tokio::spawn(async move { unlock(&first, KEY, Some("mark-2"), 7).await });
    let platform = fleet.platform.http();
    wait::until("the unlock is claimed in the log", || async {
        let history: PlatformHistory = control::history(platform).await.ok()?;
        let claims = history
            .appends
            .iter()
            .filter(|e| e.payload.contains("mark-2"));
        (claims.count() > 0).then_some(())
    })
    .await?;
    fleet.entries[0].process.kill()?;
    assert!(matches!(lost.await?, UnlockEnd::Lost(_)));
    let second = fleet.entries[1].process.http();
    let end = unlock(second, KEY, Some("mark-2"), 7).await;
    let unknown = matches!(&end, UnlockEnd::Refused { ran, .. } if ran == "unknown");
    assert!(unknown, "{end:?}");
    set_faults(&fleet, &json!({})).await?;
    let last = unlock(second, KEY, Some("mark-2"), 7).await;
    assert!(!matches!(last, UnlockEnd::Lost(_)), "{last:?}");
    assert!(marked_executions(&fleet, "mark-2").await? <= 1);
    assert_eq!(at_most_once(&executions(&fleet).await?), []);
    Ok(())
}

/// An impatient renter's app sends the same unlock through both entries at once,
/// many times over, while answers of the log get lost.
#[tokio::test]
async fn unlocks_sent_at_once_through_all_entries_run_once() -> anyhow::Result<()> {
    let fleet = serving_fleet().await?;
    let lost = json!({"lost_answers": [{"call": "append", "loss": "broken", "every": 3}]});
    control::set_faults(fleet.platform.http(), &lost).await?;
    for bay in 0..6 {
        let mark = format!("bay-{bay}");
        let calls = (0..6).map(|number| {
            let entry = fleet.entries[number % 2].process.http();
            unlock(entry, KEY, Some(&mark), bay)
        });
        let ends = futures::future::join_all(calls).await;
        let ran = marked_executions(&fleet, &mark).await?;
        assert!(ran <= 1, "bay {bay}: {ran} executions, {ends:?}");
        let answered = ends.iter().any(|end| matches!(end, UnlockEnd::Answered(_)));
        assert!(
            !answered || ran == 1,
            "bay {bay} was answered and never ran"
        );
        let not_run = |end: &UnlockEnd| match end {
            UnlockEnd::Refused { ran, request, .. } if ran == "not_run" => Some(request.clone()),
            _ => None,
        };
        let refused: Vec<String> = ends.iter().filter_map(not_run).collect();
        let all = executions(&fleet).await?;
        let lied = all.iter().filter_map(|e| e.request.as_ref());
        assert_eq!(lied.filter(|id| refused.contains(id)).count(), 0);
    }
    assert_eq!(at_most_once(&executions(&fleet).await?), []);
    Ok(())
}

/// An instance is replaced while unlocks are at the service. Each renter must be
/// told what became of theirs before the entry ends.
#[tokio::test]
async fn an_entry_told_to_end_answers_its_unlocks_first() -> anyhow::Result<()> {
    let mut fleet = serving_fleet().await?;
    set_faults(&fleet, &json!({"stalled": true})).await?;
    let entry = fleet.entries[0].process.http().to_string();
    let calls = (0..4).map(|bay| {
        let entry = entry.clone();
        tokio::spawn(async move { unlock(&entry, KEY, Some(&format!("end-{bay}")), bay).await })
    });
    let calls: Vec<_> = calls.collect();
    let platform = fleet.platform.http();
    wait::until("all unlocks are claimed in the log", || async {
        let history: PlatformHistory = control::history(platform).await.ok()?;
        let claimed = |mark: String| history.appends.iter().any(|e| e.payload.contains(&mark));
        (0..4)
            .all(|bay| claimed(format!("end-{bay}")))
            .then_some(())
    })
    .await?;
    fleet.entries[0].process.terminate()?;
    set_faults(&fleet, &json!({"slower_by": "3s"})).await?;
    for call in calls {
        let end = call.await?;
        assert!(!matches!(end, UnlockEnd::Lost(_)), "{end:?}");
    }
    assert_eq!(fleet.entries[0].process.ended().await?.code(), Some(0));
    assert_eq!(at_most_once(&executions(&fleet).await?), []);
    Ok(())
}

/// A replica executes an unlock and its answer gets lost. Nobody can know then
/// whether it ran, and trying the other replica would charge the member twice.
#[tokio::test]
async fn an_unlock_whose_answer_is_lost_is_not_tried_elsewhere() -> anyhow::Result<()> {
    let fleet = serving_fleet().await?;
    set_faults(&fleet, &json!({"lose_answers": "broken"})).await?;
    let entry = fleet.entries[0].process.http();
    let end = unlock(entry, KEY, None, 9).await;
    let unknown = matches!(&end, UnlockEnd::Refused { ran, .. } if ran == "unknown");
    assert!(unknown, "{end:?}");
    let all = executions(&fleet).await?;
    assert_eq!(all.iter().filter(|e| e.path == "/unlock/9").count(), 1);
    Ok(())
}
