//! A plan gives the same requests every time, with the mix that it asks for.

use bluebell_core::clock::TimeSpan;
use bluebell_load::{
    arrivals::{LoadCall, arrivals},
    plan::{LengthPoint, LoadPlan, OrganisationMix, PlainMix},
};

fn plan() -> LoadPlan {
    let mix = |name: &str, part| OrganisationMix {
        name: name.to_string(),
        key: format!("key-of-{name}"),
        part,
        deferrable_share: 0.25,
        shared_prefix: 10,
    };
    let point = |secs, prompt, output| LengthPoint {
        at: TimeSpan::from_secs(secs),
        prompt,
        output,
    };
    LoadPlan {
        seed: 7,
        duration: TimeSpan::from_secs(100),
        entries: Vec::new(),
        rate: 50.0,
        service: "assistant".to_string(),
        first_token_deadline: TimeSpan::from_secs(2),
        patience: TimeSpan::from_secs(10),
        cancel_share: 0.6,
        organisations: vec![mix("large", 3.0), mix("small", 1.0)],
        lengths: vec![point(0, 100, 40), point(100, 20, 200)],
        plain: Some(PlainMix {
            service: "rental".to_string(),
            share: 0.2,
            path: "/lookup".to_string(),
        }),
    }
}

fn is_about(share: f64, expected: f64) -> bool {
    (share - expected).abs() < 0.03
}

#[test]
fn the_same_seed_gives_the_same_requests() {
    let first = arrivals(&plan(), 9);
    assert_eq!(first, arrivals(&plan(), 9));
    let other = LoadPlan { seed: 8, ..plan() };
    assert_ne!(first, arrivals(&other, 9));
}

#[test]
fn rate_and_shares_are_as_asked() {
    let made = arrivals(&plan(), 9);
    let all = made.len() as f64;
    assert!((4_700.0..5_300.0).contains(&all), "{all}");
    let share = |count: usize| count as f64 / all;
    let large = made.iter().filter(|a| a.organisation == 0).count();
    assert!(is_about(share(large), 0.75));
    let plain = |call: &LoadCall| matches!(call, LoadCall::Plain { .. });
    let plain = made.iter().filter(|a| plain(&a.call)).count();
    assert!(is_about(share(plain), 0.2));
    let leaves = |call: &LoadCall| {
        let LoadCall::Chat { cancel_after, .. } = call else {
            return false;
        };
        cancel_after.is_some()
    };
    let leaving = made.iter().filter(|a| leaves(&a.call)).count();
    assert!(is_about(leaving as f64 / (all - plain as f64), 0.6));
    assert!(made.iter().all(|a| a.entry < 9));
}

#[test]
fn lengths_shift_between_their_points() {
    let plan = plan();
    let at = |secs| plan.lengths_at(TimeSpan::from_secs(secs));
    assert_eq!((at(0).prompt, at(0).output), (100, 40));
    assert_eq!((at(50).prompt, at(50).output), (60, 120));
    assert_eq!((at(500).prompt, at(500).output), (20, 200));
}
