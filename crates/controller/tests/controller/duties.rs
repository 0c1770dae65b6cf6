//! Controllers that share duties out over a platform.

use crate::stage::{Stage, domain, instance};
use std::collections::BTreeSet;

use bluebell_controller::{ControllerSettings, RunningController};
use bluebell_core::{clock::TimeSpan, ids::InstanceId, records::DutyName, view::FleetView};
use bluebell_testkit::{control, wait};
use standin_platform::faults::PlatformFaults;

fn holder(view: &FleetView, duty: &DutyName) -> Option<InstanceId> {
    view.leases.held(duty).map(|lease| lease.holder.clone())
}

fn holds_all(view: &FleetView, name: &str) -> bool {
    let duties = [
        DutyName::Fleet,
        DutyName::Usage,
        DutyName::Log,
        DutyName::Engines(domain()),
    ];
    let holds = |duty: &DutyName| holder(view, duty) == Some(instance(name));
    duties.iter().all(holds)
}

async fn grants(controller: &RunningController) -> Option<usize> {
    let address = controller.http_address.to_string();
    let dump: serde_json::Value = control::get(&address, "/dump").await.ok()?;
    Some(dump["grants"].as_array()?.len())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_controller_takes_duties_and_gives_them_up_when_it_stops() {
    let stage = Stage::start().await;
    let first = stage.controller("c1").await;
    stage
        .until_view("`c1` holds all duties", |view| holds_all(view, "c1"))
        .await;
    let ready = reqwest::get(format!("http://{}/ready", first.http_address)).await;
    assert!(ready.expect("it answers").status().is_success());
    let address = first.http_address.to_string();
    let explained = wait::until("it explains why it holds `fleet`", || async {
        let path = "/explain?subject=fleet";
        let journal: serde_json::Value = control::get(&address, path).await.ok()?;
        (journal[0]["decision"] == "duty taken").then_some(())
    });
    explained.await.expect("it does");
    first.stop().await;
    let view = stage.view().await;
    assert_eq!(view.leases.leases().count(), 0);
    stage.stop().await;
}

/// The holder of all duties is cut off from the platform. Nobody would stop or
/// start endpoints if no other took its place, and two would if it went on.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_is_cut_off_stops_and_another_takes_its_place() {
    let stage = Stage::start().await;
    let first = stage.controller("c1").await;
    stage
        .until_view("`c1` holds all duties", |view| holds_all(view, "c1"))
        .await;
    let second = stage.controller("c2").await;
    let faults = PlatformFaults {
        cut_instances: [instance("c1")].into(),
        ..PlatformFaults::default()
    };
    let switched = control::set_faults(&stage.address(), &faults).await;
    switched.expect("the platform takes it");
    stage
        .until_view("`c2` holds all duties", |view| holds_all(view, "c2"))
        .await;
    assert_eq!(grants(&first).await, Some(0));
    let taken = wait::until("`c2` acts", || async {
        grants(&second).await.filter(|count| *count == 4)
    });
    taken.await.expect("it does");
    first.stop().await;
    second.stop().await;
    stage.stop().await;
}

/// The log keeps records for a limited time only. A process that starts later
/// would know nothing of what was published before.
#[tokio::test(flavor = "multi_thread")]
async fn the_holder_of_the_log_writes_checkpoints() {
    let stage = Stage::start().await;
    let first = stage.controller("c1").await;
    stage
        .until_view("a checkpoint stands in the log", |view| {
            view.checkpoint.newest().is_some()
        })
        .await;
    first.stop().await;
    stage.stop().await;
}

/// The first controller to start takes everything. Were it to keep it, the loss of
/// that one instance would stop every duty at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_controller_that_starts_later_gets_its_part_of_the_duties() {
    let stage = Stage::start().await;
    let soon = |settings: &mut ControllerSettings| {
        settings.lease.handover_after = TimeSpan::from_millis(500);
    };
    let first = stage.controller_with("c1", soon).await;
    stage
        .until_view("`c1` holds all duties", |view| holds_all(view, "c1"))
        .await;
    let mut others = Vec::new();
    for name in ["c2", "c3", "c4"] {
        others.push(stage.controller_with(name, soon).await);
    }
    stage
        .until_view("three controllers hold duties", |view| {
            let leases = view.leases.leases();
            let holders: BTreeSet<&InstanceId> = leases.map(|(_, lease)| &lease.holder).collect();
            view.leases.leases().count() == 4 && holders.len() > 2
        })
        .await;
    first.stop().await;
    for controller in others {
        controller.stop().await;
    }
    stage.stop().await;
}
