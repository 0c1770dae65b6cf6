//! Changes that an instance observed and relays to the others of its failure domain.

use std::collections::BTreeMap;

use crate::clock::{ClockTime, TimeSpan};

/// How long a change is repeated after it was first sent, since datagrams can be lost.
const SEND_PERIOD: TimeSpan = TimeSpan::from_millis(1_200);

/// The interval at which a change is sent again.
const RESEND_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// How long an unsent change is kept. Only the reader sends; an instance that takes over from a
/// failed reader sends what that one may not have sent.
const UNSENT_PERIOD: TimeSpan = TimeSpan::from_millis(3_000);

#[derive(Clone, Debug)]
struct ObservedChange<Change> {
    /// Rises with each change, to send the newest first.
    number: u64,
    observed_at: ClockTime,
    /// When it was sent for the first and for the last time.
    sent_at: Option<(ClockTime, ClockTime)>,
    change: Change,
}

impl<Change> ObservedChange<Change> {
    fn is_expired(&self, now: ClockTime) -> bool {
        match self.sent_at {
            Some((first, _)) => now.since(first) >= SEND_PERIOD,
            None => now.since(self.observed_at) >= UNSENT_PERIOD,
        }
    }

    fn is_due(&self, now: ClockTime) -> bool {
        let last = self.sent_at.map(|(_, last)| last);
        let is_send_due = last.is_none_or(|at| now.since(at) >= RESEND_INTERVAL);
        is_send_due && !self.is_expired(now)
    }
}

/// Changes to be relayed, at most one for each `Key`: the newest.
#[derive(Clone, Debug)]
pub struct ChangeQueue<Key, Change> {
    changes: BTreeMap<Key, ObservedChange<Change>>,
    next_number: u64,
    swept_at: ClockTime,
    omissions: u64,
}

impl<Key, Change> Default for ChangeQueue<Key, Change> {
    fn default() -> ChangeQueue<Key, Change> {
        ChangeQueue {
            changes: BTreeMap::new(),
            next_number: 0,
            swept_at: ClockTime::default(),
            omissions: 0,
        }
    }
}

impl<Key, Change> ChangeQueue<Key, Change>
where
    Key: Ord,
    Change: Clone,
{
    /// A queue without changes.
    pub fn new() -> ChangeQueue<Key, Change> {
        ChangeQueue::default()
    }

    /// Records a change, in place of earlier changes with the same key.
    pub fn note(&mut self, now: ClockTime, key: Key, change: Change) {
        if now.since(self.swept_at) >= SEND_PERIOD {
            self.swept_at = now;
            self.changes.retain(|_, observed| !observed.is_expired(now));
        }
        self.next_number += 1;
        let observed = ObservedChange {
            number: self.next_number,
            observed_at: now,
            sent_at: None,
            change,
        };
        self.changes.insert(key, observed);
    }

    /// Whether a change is due to be sent.
    pub fn has_due(&self, now: ClockTime) -> bool {
        self.changes.values().any(|observed| observed.is_due(now))
    }

    /// Drops all due changes if there are more than `most`; returns the number of those dropped.
    pub fn omit_excess(&mut self, now: ClockTime, most: usize) -> usize {
        let changes = self.changes.values();
        let count = changes.filter(|observed| observed.is_due(now)).count();
        if count <= most {
            return 0;
        }
        self.changes.retain(|_, observed| !observed.is_due(now));
        self.omissions += 1;
        count
    }

    /// How many times changes were dropped.
    pub fn omissions(&self) -> u64 {
        self.omissions
    }

    /// Returns up to `most` due changes, the newest first, with the time since each was observed, and
    /// records them as sent.
    pub fn take_due(&mut self, now: ClockTime, most: usize) -> Vec<(Change, TimeSpan)> {
        let changes = self.changes.values_mut();
        let mut due: Vec<_> = changes.filter(|observed| observed.is_due(now)).collect();
        due.sort_by_key(|observed| std::cmp::Reverse(observed.number));
        let sent = due.into_iter().take(most);
        sent.map(|observed| {
            let first = observed.sent_at.map_or(now, |(first, _)| first);
            observed.sent_at = Some((first, now));
            (observed.change.clone(), now.since(observed.observed_at))
        })
        .collect()
    }
}
