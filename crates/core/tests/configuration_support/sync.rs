//! How the instances of the model learn of the configuration: relay messages, reads of the store
//! and copies.

use bluebell_core::{
    ids::InstanceId,
    relay::{
        KnownState, MAX_CONFIGURATION_READ_DELAY, MAX_FAILED_COPIES, MAX_READER_AGE, StateSource,
        copy_timeout, parent_rank, read_wait, relay_age_limit, state_source,
    },
};
use rand::Rng;

use super::{
    FleetModel, READ_TIMEOUT_MS,
    instance::{Activity, Datagram, ReadOutcome, configuration},
};
use crate::fleet_support::{LOST_DATAGRAMS, MAX_DELAY_MS, RELAY_MS, REPEATED_DATAGRAMS, at, span};

/// The time until an instance without a current state rejects a request for a copy.
const UNAVAILABLE_MS: u64 = 250;
/// The interval at which an instance that follows a reader checks its state.
const CHECK_MS: u64 = 200;
/// The delay after a failed read.
const BACKOFF_MS: u64 = 100;
/// The duration of an answered read that the store does not hold.
const READ_MS: u64 = 10;
/// The time until the store rejects a call.
const REJECTION_MS: u64 = 5;
/// The duration of a successful copy.
const COPY_MS: u64 = 30;
/// The maximum delay of a starved instance.
const MAX_STARVATION_MS: u64 = 1_500;

impl FleetModel {
    fn known_state(&self, number: usize) -> KnownState {
        let instance = &self.instances[number];
        let age = instance.age(self.now);
        let is_behind = instance.tracker.version() < Some(instance.advertised);
        KnownState {
            age: age.unwrap_or(span(self.now.saturating_sub(instance.process.started))),
            age_limit: relay_age_limit(span(self.bound)),
            max_read_delay: MAX_CONFIGURATION_READ_DELAY,
            is_incomplete: age.is_none() || is_behind,
            superseded_for: instance.tracker.superseded_for(at(self.now)),
            is_reader_behind: instance.is_reader_behind,
            silent_for: instance.process.silent_for(self.now),
            failed_copies: instance.failed_copies,
        }
    }

    fn source(&self, number: usize, rank: usize) -> StateSource {
        match rank {
            0 => StateSource::Store,
            rank => state_source(rank, self.known_state(number)),
        }
    }

    /// Sends the relay messages of all instances that read the store.
    pub fn relay(&mut self) {
        for domain in 0..self.domains {
            let members = self.live_members(domain);
            for (rank, number) in members.iter().enumerate() {
                let is_relaying = self.source(*number, rank) == StateSource::Store;
                let sender = &self.instances[*number];
                let Some(age) = sender.age(self.now) else {
                    continue;
                };
                if !is_relaying || !sender.process.runs(self.now) {
                    continue;
                }
                let version = sender.tracker.version().unwrap();
                for receiver in members.iter().filter(|receiver| *receiver != number) {
                    self.send(*number, *receiver, version, age.as_millis());
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, version: u64, age_ms: u64) {
        if self.random.random_bool(LOST_DATAGRAMS)
            || self.now < self.instances[to].process.datagrams_lost_until
        {
            return;
        }
        // The echoed stamp is as old as the last message of the receiver.
        let echoed = self.now - self.random.random_range(0..RELAY_MS + MAX_DELAY_MS);
        let copies = 1 + usize::from(self.random.random_bool(REPEATED_DATAGRAMS));
        for _ in 0..copies {
            let arrives = self.now + self.random.random_range(1..MAX_DELAY_MS);
            let known_at = echoed.saturating_sub(age_ms);
            self.instances[to].inbox.push_back(Datagram {
                arrives,
                version,
                age_ms,
                known_at,
                from,
            });
        }
    }

    pub fn receive(&mut self, number: usize) {
        let now = self.now;
        let limit = relay_age_limit(span(self.bound));
        let instance = &mut self.instances[number];
        let (arrived, waiting): (Vec<Datagram>, Vec<Datagram>) = instance
            .inbox
            .drain(..)
            .partition(|datagram| datagram.arrives <= now);
        instance.inbox.extend(waiting);
        for datagram in arrived {
            instance.is_reader_behind = span(datagram.age_ms) >= MAX_READER_AGE;
            let source = InstanceId::new(format!("entry-{}", datagram.from)).unwrap();
            let tracker = &mut instance.tracker;
            tracker.note_advertised(at(now), datagram.version, &source);
            if span(datagram.age_ms) >= limit {
                continue;
            }
            instance.process.relay_heard_at = Some(now);
            instance.advertised = instance.advertised.max(datagram.version);
            if tracker.version() == Some(datagram.version) {
                tracker.confirm(at(datagram.known_at));
            }
        }
    }

    /// Continues to synchronise with the store.
    pub fn advance(&mut self, number: usize, rank: usize) {
        match self.instances[number].activity {
            Activity::Idle { until }
            | Activity::Read { until, .. }
            | Activity::Copy { until, .. }
                if self.now < until => {}
            Activity::Idle { .. } => self.start_activity(number, rank),
            Activity::Read { sent, outcome, .. } => {
                self.end_read(number, sent, outcome);
            }
            Activity::Copy {
                source,
                has_timed_out,
                ..
            } => self.end_copy(number, source, has_timed_out),
        }
    }

    fn start_activity(&mut self, number: usize, rank: usize) {
        let activity = match self.source(number, rank) {
            StateSource::Relay => Activity::Idle {
                until: self.now + CHECK_MS,
            },
            StateSource::Copy => self.begin_copy(number, rank),
            StateSource::Store => self.begin_read(number),
        };
        self.instances[number].activity = activity;
    }

    fn starvation_delay(&mut self, number: usize) -> u64 {
        match self.now < self.instances[number].process.starved_until {
            true => self.random.random_range(0..MAX_STARVATION_MS),
            false => 0,
        }
    }

    fn begin_read(&mut self, number: usize) -> Activity {
        let late = self.starvation_delay(number);
        let state = self.known_state(number);
        let wait = read_wait(state.age, state.age_limit).as_millis();
        let instance = &mut self.instances[number];
        let is_refused = self.now < instance.process.rejected_until;
        let is_silent = self.now < self.outage_end;
        let timeout_ms = wait + READ_TIMEOUT_MS;
        instance.reads.note_sent(at(self.now), span(timeout_ms));
        let has_newer = instance.tracker.version() < Some(self.versions.last().unwrap().0);
        let (outcome, takes) = match (is_refused, is_silent) {
            (true, _) => (ReadOutcome::Failed, REJECTION_MS),
            (_, true) => (ReadOutcome::Failed, timeout_ms),
            (false, false) if has_newer => (ReadOutcome::Answered, READ_MS),
            (false, false) => (ReadOutcome::Answered, wait + READ_MS),
        };
        Activity::Read {
            sent: self.now,
            until: self.now + takes + late,
            outcome,
        }
    }

    fn end_read(&mut self, number: usize, sent: u64, outcome: ReadOutcome) {
        let now = self.now;
        let held = self.versions.iter().rev().find(|(_, at)| *at <= sent);
        let version = held.unwrap().0;
        let instance = &mut self.instances[number];
        match outcome {
            ReadOutcome::Answered => {
                instance.reads.note_answer();
                instance.tracker.offer(configuration(version));
                instance.tracker.confirm(at(sent));
                instance.failed_copies = 0;
                instance.activity = Activity::Idle { until: now };
            }
            ReadOutcome::Failed => {
                instance.reads.note_failure(at(now));
                instance.activity = Activity::Idle {
                    until: now + BACKOFF_MS,
                };
            }
        }
    }

    fn begin_copy(&mut self, number: usize, rank: usize) -> Activity {
        let members = self.live_members(self.instances[number].process.domain);
        let source = parent_rank(rank).and_then(|parent| members.get(parent).copied());
        let late = self.starvation_delay(number);
        let state = self.known_state(number);
        let limit = copy_timeout(rank, state).as_millis();
        let source = source.filter(|source| *source != number);
        let wanted = self.instances[number].advertised;
        let available = source.filter(|source| {
            let source = &self.instances[*source];
            let is_current = source
                .age(self.now)
                .is_some_and(|age| age < state.age_limit);
            source.process.runs(self.now) && is_current && source.tracker.version() >= Some(wanted)
        });
        let takes = match source {
            Some(source) if !self.instances[source].process.runs(self.now) => limit,
            _ if available.is_none() => UNAVAILABLE_MS.min(limit),
            _ => COPY_MS.min(limit),
        };
        Activity::Copy {
            until: self.now + takes + late,
            source: available,
            has_timed_out: takes == limit,
        }
    }

    fn end_copy(&mut self, number: usize, source: Option<usize>, has_timed_out: bool) {
        let now = self.now;
        let copied = source.and_then(|source| {
            let source = &self.instances[source];
            Some((source.tracker.version()?, source.age(now)?))
        });
        let instance = &mut self.instances[number];
        match copied {
            Some((version, age)) => {
                instance.tracker.offer(configuration(version));
                if instance.tracker.version() == Some(version) {
                    instance.tracker.confirm(at(now) - age);
                }
                instance.failed_copies = 0;
                instance.activity = Activity::Idle { until: now };
            }
            None => {
                instance.failed_copies = match has_timed_out {
                    true => MAX_FAILED_COPIES,
                    false => instance.failed_copies + 1,
                };
                instance.activity = Activity::Idle {
                    until: now + CHECK_MS,
                };
            }
        }
    }
}
