//! Admission: time per request and memory, by organisations that are active.

use bluebell_core::{
    admission::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, PeerShare,
        PoolCapacity, ShareReport,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{InstanceId, ModelName, OrganisationId, RequestId},
    routing::RoutePool,
    units::{TokenCount, TokenRate},
};

use crate::{
    slopes::measure::{micros_each, with_memory},
    tables::TextTable,
};

const SIZES: [u64; 5] = [8, 100, 1_000, 10_000, 33_000];
/// Requests in a measurement.
const REQUESTS: u64 = 33_000;
/// Slots of the pool; what is beyond them waits.
const SLOTS: u32 = 32;
/// Requests that wait at a time.
const WAITING: u64 = 64;

fn pool() -> RoutePool {
    RoutePool::Model(ModelName::new("assistant").expect("an identifier"))
}

fn organisation(number: u64) -> OrganisationId {
    OrganisationId::new(format!("organisation-{number}")).expect("an identifier")
}

fn queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default()).with_seed(1);
    let capacity = PoolCapacity {
        slots: SLOTS,
        token_rate: TokenRate::new(10_000_000),
        first_token: TimeSpan::from_millis(1),
    };
    queue.set_capacity(ClockTime::default(), &pool(), capacity);
    queue
}

fn work_off(queue: &mut AdmissionQueue, organisations: u64) {
    let mut running: Vec<RequestId> = Vec::new();
    for number in 0..REQUESTS {
        let now = ClockTime::from_millis(number);
        let ask = AdmissionRequest {
            request: RequestId::new(format!("r{number}")).expect("an identifier"),
            organisation: organisation(number * 7_919 % organisations),
            pool: pool(),
            priority: WorkPriority::Interactive,
            rank: 0,
            has_returned: false,
            deadline: now + TimeSpan::from_secs(100),
            prompt_tokens: TokenCount::new(900),
            max_output: TokenCount::new(300),
        };
        let mut actions = queue.offer(now, ask);
        if running.len() as u64 + WAITING < number && !running.is_empty() {
            let done = running.remove(0);
            actions.extend(queue.note_first_token(now, &done));
            actions.extend(queue.finish(now, &done, TokenCount::new(100)));
        }
        for action in actions {
            if let AdmissionAction::Start { request, .. } = action {
                running.push(request);
            }
        }
    }
}

fn hear_peers(queue: &mut AdmissionQueue, organisations: u64) -> f64 {
    let peer = InstanceId::new("peer").expect("an identifier");
    let reports = 1_000;
    micros_each(reports * 16, || {
        for report in 0..reports {
            let shares = (0..16)
                .map(|number| PeerShare {
                    pool: pool(),
                    organisation: organisation((report * 16 + number) % organisations),
                    served: TokenCount::new(500),
                })
                .collect();
            let made_at = ClockTime::from_millis(REQUESTS + report);
            queue.note_peer_shares(&peer, &ShareReport { made_at, shares });
        }
    })
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Admission: a request from its arrival to its end",
        "`bluebell-lab capacity --only admission`. About 64 requests wait all the time.",
        &[
            "organisations",
            "µs per request",
            "µs per share heard",
            "memory, MB",
            "counters remembered",
        ],
    );
    for size in SIZES {
        let mut micros = 0.0;
        let (mut queue, bytes) = with_memory(|| {
            let mut queue = queue();
            micros = micros_each(REQUESTS, || work_off(&mut queue, size));
            queue
        });
        let heard = hear_peers(&mut queue, size);
        table.row(&[
            size.to_string(),
            format!("{micros:.1}"),
            format!("{heard:.1}"),
            format!("{:.1}", bytes / 1e6),
            queue.tracked_organisations().to_string(),
        ]);
    }
    table.finish()
}
