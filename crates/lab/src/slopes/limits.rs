//! Limits of organisations: time per request and per report, and memory, by organisations
//! that are active.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, OrganisationId},
    quota::{
        FleetSize, LimitUnit, OrganisationHash, QuotaBounds, RateLimit, RateLimiter, ReportSource,
        UsageReport, UsageSums,
    },
    units::{TokenCount, TokenRate},
};

use crate::{
    slopes::measure::{micros_each, with_memory},
    tables::TextTable,
};

const SIZES: [u64; 5] = [8, 100, 1_000, 10_000, 33_000];
/// Requests in a measurement.
const REQUESTS: u64 = 33_000;
/// Other instances that report their usage.
const PEERS: u64 = 49;
/// Organisations in one report.
const REPORTED: u64 = 16;

fn organisation(number: u64) -> OrganisationId {
    OrganisationId::new(format!("organisation-{number}")).expect("an identifier")
}

fn limiter(organisations: &[OrganisationId]) -> RateLimiter {
    let bounds = QuotaBounds {
        window: TimeSpan::from_secs(8),
        overage: 0.1,
        slack: TokenCount::new(140_000),
    };
    let limit = RateLimit {
        rate: TokenRate::new(1_000_000),
        burst: TokenCount::new(1_000_000),
        unit: LimitUnit::Tokens {
            unstated: TokenCount::new(200),
        },
    };
    let mut limiter = RateLimiter::new(ClockTime::default(), bounds);
    let limits = organisations.iter().map(|name| (name.clone(), limit));
    limiter.set_limits(ClockTime::default(), limits);
    let size = FleetSize {
        direct: PEERS as usize,
        ..FleetSize::default()
    };
    limiter.set_fleet(size, TimeSpan::from_millis(210));
    limiter
}

fn admit_all(limiter: &mut RateLimiter, organisations: &[OrganisationId]) -> f64 {
    let count = organisations.len() as u64;
    micros_each(REQUESTS, || {
        for number in 0..REQUESTS {
            let now = ClockTime::from_millis(10_000 + number / 8);
            let name = &organisations[(number * 7_919 % count) as usize];
            limiter.admit(now, name, Some(TokenCount::new(2_500)), 1);
        }
    })
}

fn receive_reports(limiter: &mut RateLimiter, organisations: &[OrganisationId]) -> f64 {
    let count = organisations.len() as u64;
    let datagrams = 1_000;
    micros_each(datagrams, || {
        for number in 0..datagrams {
            let source = ReportSource {
                instance: InstanceId::new(format!("peer-{}", number % PEERS))
                    .expect("an identifier"),
                start: 1,
                stamp: number + 1,
                domain: FailureDomain::new("a").expect("an identifier"),
            };
            let reports = (0..REPORTED).map(|index| {
                let name = &organisations[((number * REPORTED + index) % count) as usize];
                UsageReport {
                    organisation: OrganisationHash::with_name(name),
                    sums: UsageSums {
                        admitted: 2_500 * (number + 1),
                        ..UsageSums::default()
                    },
                    in_window: 2_500,
                }
            });
            let now = ClockTime::from_millis(10_000 + number);
            limiter.note_instance(now, &source, true, &reports.collect::<Vec<_>>());
        }
    })
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Limits of organisations: a request, and a datagram with the usage of 16 organisations",
        "`bluebell-lab capacity --only limits`. 49 other instances have reported usage.",
        &[
            "organisations",
            "µs per request",
            "µs per datagram",
            "memory, MB",
        ],
    );
    for size in SIZES {
        let organisations: Vec<OrganisationId> = (0..size).map(organisation).collect();
        let (mut received, mut admitted) = (0.0, 0.0);
        let (_limiter, bytes) = with_memory(|| {
            let mut limiter = limiter(&organisations);
            received = receive_reports(&mut limiter, &organisations);
            admitted = admit_all(&mut limiter, &organisations);
            limiter
        });
        table.row(&[
            size.to_string(),
            format!("{admitted:.2}"),
            format!("{received:.1}"),
            format!("{:.1}", bytes / 1e6),
        ]);
    }
    table.finish()
}
