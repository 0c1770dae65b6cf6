//! Retries of all instances together while callers move between them.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
    retries::{RetryAllowance, SharedRetryBudget},
};

const INSTANCES: usize = 9;
const WINDOW_MS: u64 = 10_000;
const SHARE: f64 = 0.2;
const EXTRA: f64 = 58.0;
/// The part of the extra that all instances together use.
const USED_EXTRA: f64 = 0.8;
const RUN_MS: u64 = 90_000;
/// When callers first move to another instance.
const FIRST_MOVE_MS: u64 = 30_000;
/// The retries that a request asks for while all its attempts fail.
const RETRIES_WANTED: usize = 3;

/// What reaches the service, by ms.
#[derive(Default)]
struct ServiceTraffic {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn count_in(times: &[u64], from: u64, until: u64) -> usize {
    let end = times.partition_point(|at| *at < until);
    end - times.partition_point(|at| *at < from)
}

impl ServiceTraffic {
    /// The largest number of retries in a window beyond what is allowed there.
    fn worst_excess(&self) -> f64 {
        let windows = (2 * WINDOW_MS..RUN_MS).step_by(100);
        let excess = windows.map(|end| {
            let start = end - WINDOW_MS;
            let retries = count_in(&self.retries, start, end);
            let requests = [0, WINDOW_MS / 2, WINDOW_MS]
                .map(|shift| count_in(&self.requests, start - shift, end - shift));
            let most = requests.into_iter().max().unwrap_or_default();
            retries as f64 - (SHARE * most as f64 + EXTRA)
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Has all callers, who send `per_s` requests, use one instance after the other for `stay_ms` each. All
/// attempts fail from `failing_ms` before the first move on.
fn move_callers(per_s: u64, stay_ms: u64, failing_ms: u64) -> ServiceTraffic {
    let service = ServiceName::new("pool").unwrap();
    let allowance = RetryAllowance {
        share: SHARE,
        extra: USED_EXTRA * EXTRA / INSTANCES as f64,
        window: TimeSpan::from_millis(WINDOW_MS),
    };
    let mut budgets: Vec<SharedRetryBudget> = (0..INSTANCES)
        .map(|_| SharedRetryBudget::new(allowance))
        .collect();
    let mut traffic = ServiceTraffic::default();
    let pause_ms = 1_000 / per_s;
    for at_ms in (0..RUN_MS).step_by(pause_ms as usize) {
        let moves = match at_ms < FIRST_MOVE_MS {
            true => 0,
            false => 1 + (at_ms - FIRST_MOVE_MS) / stay_ms,
        };
        let budget = &mut budgets[moves as usize % INSTANCES];
        let now = ClockTime::from_millis(1_000_000 + at_ms);
        budget.note_request(now, &service);
        traffic.requests.push(at_ms);
        if at_ms + failing_ms < FIRST_MOVE_MS {
            continue;
        }
        for _ in 0..RETRIES_WANTED {
            if budget.try_retry(now, &service) {
                traffic.retries.push(at_ms);
            }
        }
    }
    traffic
}

/// Guards against retries of all instances together beyond the budget while callers move between
/// instances, each of which keeps to its own part.
#[test]
fn retries_stay_within_the_budget_while_callers_move_between_instances() {
    for per_s in [50, 100, 200, 500] {
        for stay_ms in [1_000, 2_500, 5_000, 10_000, 20_000] {
            for failing_ms in [0, 500, 1_000, 3_000, 10_000] {
                let excess = move_callers(per_s, stay_ms, failing_ms).worst_excess();
                println!(
                    "per_s={per_s} stay_ms={stay_ms} failing_ms={failing_ms} excess={excess:.0}"
                );
            }
        }
    }
}
