//! The state of one instance.

use std::collections::VecDeque;

use bluebell_core::{
    clock::TimeSpan,
    ingress::{CallerLimits, ConfigurationTracker, IngressConfiguration},
    relay::StoreReads,
    units::ByteSize,
};

use crate::fleet_support::{ProcessState, at, span};

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
    pub process: ProcessState,
    pub tracker: ConfigurationTracker,
    pub reads: StoreReads,
    pub activity: Activity,
    pub inbox: VecDeque<Datagram>,
    pub advertised: u64,
    pub failed_copies: u32,
    pub is_reader_behind: bool,
}

impl ModelInstance {
    /// An instance whose process has just started.
    pub fn with_process(process: ProcessState) -> ModelInstance {
        ModelInstance {
            activity: Activity::Idle {
                until: process.started,
            },
            process,
            tracker: ConfigurationTracker::new(),
            reads: StoreReads::new(),
            inbox: VecDeque::new(),
            advertised: 0,
            failed_copies: 0,
            is_reader_behind: false,
        }
    }

    pub fn age(&self, now: u64) -> Option<TimeSpan> {
        self.tracker.age(at(now))
    }
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
