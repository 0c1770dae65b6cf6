//! How the instances of the model learn of registrations: relay messages, reads of the store and
//! copies.

use bluebell_core::{
    directory::{ReaderState, RelayedDirectory, WantedCopy},
    ids::InstanceId,
    relay::{
        ConfirmationSource, KnownState, MAX_READER_AGE, StateSource, is_relaying, parent_rank,
        relay_age_limit, state_source,
    },
};
use rand::Rng;

use super::{
    FleetModel,
    instance::{Activity, Datagram, ModelChange, ModelCopy, ModelInstance, ReadAnswer},
};
use crate::fleet_support::{LOST_DATAGRAMS, MAX_DELAY_MS, RELAY_MS, REPEATED_DATAGRAMS, at, span};

/// The number of changes in one datagram.
const MAX_CHANGES: usize = 4;
/// The number of changes that are sent at once.
const MAX_SENT_CHANGES: usize = 12;
/// The time until an instance without a suitable state rejects a request for a copy.
const UNAVAILABLE_MS: u64 = 250;
/// The time until a request for a copy from an instance that does not answer is given up.
const UNANSWERED_MS: u64 = 500;
/// The interval at which an instance that follows a reader checks its state.
const CHECK_MS: u64 = 200;
/// The pause between two reads of a reader.
const READ_PAUSE_MS: u64 = 500;
/// The delay after a failed read.
const BACKOFF_MS: u64 = 100;
/// The duration of an answered read of some records, and of all registrations.
const READ_MS: u64 = 10;
const READ_ALL_MS: u64 = 150;
/// The time until the store rejects a call, and until an unanswered one is given up.
const REJECTION_MS: u64 = 5;
const READ_TIMEOUT_MS: u64 = 900;
/// The duration of a successful copy.
const COPY_MS: u64 = 150;
/// The maximum delay of a starved instance.
const MAX_STARVATION_MS: u64 = 1_500;

impl FleetModel {
    fn known_state(&self, number: usize) -> KnownState {
        let instance = &self.instances[number];
        let (now, started) = (at(self.now), at(instance.process.started));
        let reader = ReaderState {
            is_behind: instance.is_reader_behind,
            silent_for: instance.process.silent_for(self.now),
        };
        let bound = span(self.bound);
        instance.sync.known_state(now, started, bound, reader)
    }

    fn source(&self, number: usize, rank: usize) -> StateSource {
        match rank {
            0 => StateSource::Store,
            rank => state_source(rank, self.known_state(number)),
        }
    }

    /// Sends the relay messages of all instances that relay.
    pub fn relay(&mut self) {
        for domain in 0..self.domains {
            let members = self.live_members(domain);
            for (rank, number) in members.iter().enumerate() {
                let is_relaying = is_relaying(rank, self.known_state(*number));
                if is_relaying && self.instances[*number].process.runs(self.now) {
                    self.relay_from(*number, &members);
                }
            }
        }
    }

    fn relay_from(&mut self, number: usize, members: &[usize]) {
        let now = self.now;
        let sender = &mut self.instances[number];
        let Some(age) = sender.sync.age(at(now)) else {
            return;
        };
        sender.changes.omit_excess(at(now), MAX_SENT_CHANGES);
        loop {
            let sender = &mut self.instances[number];
            let datagram = Datagram {
                arrives: 0,
                from: number,
                age_ms: age.as_millis(),
                known_at: 0,
                digest: sender.directory.digest(),
                changes: sender.due_changes(now, MAX_CHANGES),
                omissions: sender.changes.omissions(),
            };
            let has_more = sender.changes.has_due(at(now));
            for receiver in members.iter().filter(|receiver| **receiver != number) {
                self.send(*receiver, &datagram);
            }
            if !has_more {
                break;
            }
        }
    }

    fn send(&mut self, to: usize, datagram: &Datagram) {
        let is_lost = self.random.random_bool(LOST_DATAGRAMS);
        if is_lost || self.now < self.instances[to].process.datagrams_lost_until {
            return;
        }
        // The echoed stamp is as old as the last message of the receiver.
        let echoed = self.now - self.random.random_range(0..RELAY_MS + MAX_DELAY_MS);
        let copies = 1 + usize::from(self.random.random_bool(REPEATED_DATAGRAMS));
        for _ in 0..copies {
            let delay = self.random.random_range(1..MAX_DELAY_MS);
            self.instances[to].inbox.push_back(Datagram {
                arrives: self.now + delay,
                known_at: echoed.saturating_sub(datagram.age_ms),
                ..datagram.clone()
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
            if span(datagram.age_ms) < limit {
                apply(instance, now, &datagram);
            }
        }
    }

    /// Continues to synchronise with the store.
    pub fn advance(&mut self, number: usize, rank: usize) {
        let expired = self.instances[number]
            .directory
            .remove_expired(at(self.now));
        drop(expired);
        let until = match &self.instances[number].activity {
            Activity::Idle { until }
            | Activity::Read { until, .. }
            | Activity::Copy { until, .. } => *until,
            Activity::AskForCopy { .. } => self.now,
        };
        if self.now < until {
            return;
        }
        match self.instances[number].activity.clone() {
            Activity::Idle { .. } => self.start_activity(number, rank),
            Activity::Read {
                sent,
                is_answered,
                answer,
                ..
            } => self.end_read(number, sent, is_answered, answer),
            Activity::AskForCopy {
                until,
                source,
                wanted,
            } => self.ask_for_copy(number, until, source, wanted),
            Activity::Copy { copied, .. } => self.end_copy(number, &copied),
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
        if !matches!(activity, Activity::Read { .. }) {
            // An instance that reads the store again reads everything.
            self.instances[number].next = None;
        }
        self.instances[number].activity = activity;
    }

    /// The delay of what an instance begins now; it ends with the starvation.
    fn starvation_delay(&mut self, number: usize) -> u64 {
        let remaining = self.instances[number]
            .process
            .starved_until
            .saturating_sub(self.now);
        match remaining {
            0 => 0,
            _ => self
                .random
                .random_range(0..MAX_STARVATION_MS)
                .min(remaining),
        }
    }

    fn begin_read(&mut self, number: usize) -> Activity {
        let late = self.starvation_delay(number);
        let now = self.now;
        let end = self.store.end();
        let (answer, takes) = match self.instances[number].next {
            Some(from) => (ReadAnswer::Records { from, end }, READ_MS),
            None => {
                self.full_reads += 1;
                let registered = self.store.newest().cloned().collect();
                (ReadAnswer::All { registered, end }, READ_ALL_MS)
            }
        };
        let instance = &mut self.instances[number];
        instance.reads.note_sent(at(now), span(READ_TIMEOUT_MS));
        let (is_answered, takes) =
            match (now < instance.process.rejected_until, now < self.outage_end) {
                (true, _) => (false, REJECTION_MS),
                (_, true) => (false, READ_TIMEOUT_MS),
                (false, false) => (true, takes),
            };
        Activity::Read {
            sent: now,
            until: now + takes + late,
            is_answered,
            answer,
        }
    }

    fn end_read(&mut self, number: usize, sent: u64, is_answered: bool, answer: ReadAnswer) {
        let now = self.now;
        let instance = &mut self.instances[number];
        if !is_answered {
            instance.reads.note_failure(at(now));
            instance.directory.note_outage(at(sent));
            instance.activity = Activity::Idle {
                until: now + BACKOFF_MS,
            };
            return;
        }
        instance.reads.note_answer();
        let pause = match answer {
            ReadAnswer::All { registered, end } => {
                instance.take_all(now, sent, &registered);
                instance.next = Some(end);
                READ_PAUSE_MS
            }
            ReadAnswer::Records { from, end } => self.take_records(number, sent, from, end),
        };
        self.instances[number].activity = Activity::Idle { until: now + pause };
        if self.instances[number].changes.has_due(at(now)) {
            self.relay_changes(number);
        }
    }

    /// Relays changes without waiting for the next interval.
    fn relay_changes(&mut self, number: usize) {
        let members = self.live_members(self.instances[number].process.domain);
        let rank = members.iter().position(|member| *member == number);
        if rank.is_some_and(|rank| is_relaying(rank, self.known_state(number))) {
            self.relay_from(number, &members);
        }
    }

    /// Applies the records that a read returns; returns the pause until the next read.
    fn take_records(&mut self, number: usize, sent: u64, from: usize, end: usize) -> u64 {
        let now = self.now;
        let instance = &mut self.instances[number];
        let Some(records) = self.store.read(from, end) else {
            instance.next = None;
            return 0;
        };
        instance.directory.note_own_answer(at(now));
        for record in records {
            match &record.registration {
                Some(registration) => instance.register(now, registration),
                None => instance.unregister(now, &record.id),
            }
        }
        let next = from + records.len();
        instance.next = Some(next);
        if next < end {
            return 0;
        }
        instance.sync.confirm(at(sent), ConfirmationSource::Store);
        READ_PAUSE_MS
    }

    fn begin_copy(&mut self, number: usize, rank: usize) -> Activity {
        let members = self.live_members(self.instances[number].process.domain);
        let parent = parent_rank(rank).and_then(|parent| members.get(parent).copied());
        let spare = members[self.random.random_range(0..members.len())];
        // The parent first, then others.
        let is_parent = self.random.random_bool(0.6);
        let source = parent.filter(|_| is_parent).unwrap_or(spare);
        let late = self.starvation_delay(number);
        let limit = match self.instances[source].process.runs(self.now) {
            true => UNAVAILABLE_MS,
            false => UNANSWERED_MS,
        };
        Activity::AskForCopy {
            until: self.now + limit + late,
            source,
            wanted: self.instances[number].sync.wanted_copy(at(self.now)),
        }
    }

    /// Begins the transfer as soon as the source has a suitable state.
    fn ask_for_copy(&mut self, number: usize, until: u64, source: usize, wanted: WantedCopy) {
        let now = self.now;
        let copied = (source != number).then(|| self.suitable_copy(source, wanted));
        let instance = &mut self.instances[number];
        if let Some(copied) = copied.flatten() {
            let until = now + COPY_MS;
            instance.activity = Activity::Copy { until, copied };
        } else if now >= until {
            instance.sync.note_failed_copy();
            instance.activity = Activity::Idle {
                until: now + CHECK_MS,
            };
        }
    }

    fn suitable_copy(&mut self, source: usize, wanted: WantedCopy) -> Option<ModelCopy> {
        let limit = relay_age_limit(span(self.bound));
        let now = at(self.now);
        let source = &mut self.instances[source];
        let age = source.sync.age(now).filter(|age| *age < limit)?;
        let digest = source.directory.digest();
        let is_younger = wanted.max_age.is_none_or(|max_age| age < max_age);
        let is_suitable = is_younger || wanted.digest == Some(digest);
        (source.process.runs(self.now) && is_suitable).then(|| ModelCopy {
            known_at: now - age,
            digest,
            listed: source.directory.registered().cloned().collect(),
        })
    }

    fn end_copy(&mut self, number: usize, copied: &ModelCopy) {
        let now = self.now;
        let instance = &mut self.instances[number];
        let known_at = instance.sync.copy_known_at(copied.known_at, copied.digest);
        let pause = match known_at {
            Some(known_at) => {
                instance.take_copy(now, known_at, &copied.listed);
                0
            }
            None => {
                instance.sync.note_failed_copy();
                CHECK_MS
            }
        };
        instance.activity = Activity::Idle { until: now + pause };
    }
}

fn apply(instance: &mut ModelInstance, now: u64, datagram: &Datagram) {
    instance.process.relay_heard_at = Some(now);
    instance.directory.note_answer(at(datagram.known_at));
    let is_older = Some(at(datagram.known_at)) < instance.sync.confirmed_at();
    for change in &datagram.changes {
        apply_change(instance, now, change, is_older);
    }
    let local = instance.directory.digest();
    let relayed = RelayedDirectory {
        reader: InstanceId::new(format!("entry-{}", datagram.from)).unwrap(),
        digest: datagram.digest,
        known_at: at(datagram.known_at),
        omissions: datagram.omissions,
    };
    instance.sync.note_relayed(at(now), local, relayed);
}

fn apply_change(instance: &mut ModelInstance, now: u64, change: &ModelChange, is_older: bool) {
    match (&change.registration, change.kept_for) {
        (Some(registration), _) => {
            if instance.directory.accepts_relayed(registration, is_older) {
                instance.register(now, registration);
            }
        }
        (None, Some(kept_for)) => {
            let number = change.number;
            instance
                .directory
                .lapse(at(now), &change.id, number, kept_for);
        }
        (None, None) => {
            if instance
                .directory
                .note_relayed_removal(&change.id, change.number)
            {
                instance.unregister(now, &change.id);
            }
        }
    }
}
