//! The state of one instance.

use std::collections::VecDeque;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ingress::{CallerLimits, ConfigurationTracker, IngressConfiguration},
    relay::StoreReads,
    units::ByteSize,
};

/// How an instance learns of the configuration at present.
#[derive(Clone, Copy, Debug)]
pub enum Activity {
    Idle {
        until: u64,
    },
    Read {
        sent: u64,
        until: u64,
        outcome: ReadOutcome,
    },
    Copy {
        until: u64,
        source: Option<usize>,
        has_timed_out: bool,
    },
}

/// The result of a read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Answered,
    Failed,
}

/// A relay message of a reader.
#[derive(Clone, Copy, Debug)]
pub struct Datagram {
    pub arrives: u64,
    pub version: u64,
    pub age_ms: u64,
    pub known_at: u64,
    pub from: usize,
}

/// An instance with the production state of its configuration.
pub struct ModelInstance {
    pub domain: usize,
    pub tracker: ConfigurationTracker,
    pub reads: StoreReads,
    pub activity: Activity,
    pub inbox: VecDeque<Datagram>,
    pub advertised: u64,
    pub relay_heard_at: Option<u64>,
    pub failed_copies: u32,
    pub is_reader_behind: bool,
    pub started: u64,
    /// The start of the last span in which the process does not run.
    pub stopped_at: u64,
    /// The end of that span.
    pub suspended_until: u64,
    /// The end of the span in which its reads and copies are delayed.
    pub starved_until: u64,
    /// The end of the span in which all datagrams to it are lost.
    pub datagrams_lost_until: u64,
    /// The end of the span in which the store rejects its calls.
    pub rejected_until: u64,
    pub undisturbed_since: u64,
    /// Since when it refuses all requests although it is in touch.
    pub refusing_since: Option<u64>,
}

impl ModelInstance {
    pub fn new(domain: usize, now: u64) -> ModelInstance {
        ModelInstance {
            domain,
            tracker: ConfigurationTracker::new(),
            reads: StoreReads::new(),
            activity: Activity::Idle { until: now },
            inbox: VecDeque::new(),
            advertised: 0,
            relay_heard_at: None,
            failed_copies: 0,
            is_reader_behind: false,
            started: now,
            stopped_at: 0,
            suspended_until: 0,
            starved_until: 0,
            datagrams_lost_until: 0,
            rejected_until: 0,
            undisturbed_since: now,
            refusing_since: None,
        }
    }

    pub fn runs(&self, now: u64) -> bool {
        now >= self.suspended_until
    }

    /// The time since current state was relayed to it.
    pub fn silent_for(&self, now: u64) -> TimeSpan {
        span(now.saturating_sub(self.relay_heard_at.unwrap_or(self.started)))
    }

    pub fn age(&self, now: u64) -> Option<TimeSpan> {
        self.tracker.age(at(now))
    }
}

pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

pub fn span(ms: u64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}

pub fn configuration(version: u64) -> IngressConfiguration {
    IngressConfiguration {
        version,
        routes: Vec::new(),
        services: Default::default(),
        limits: CallerLimits {
            head: ByteSize::new(16_384),
            body: ByteSize::new(1_000_000),
            head_timeout: span(3_000),
            idle_timeout: span(15_000),
        },
        organisations: None,
    }
}
