//! In which order news goes over one connection.
//!
//! Every instance's progress, loads and shares change with every second, so
//! news of them never ends. Told in one turn with the rest, it would take the
//! bytes that the presence of far members waits for, and nobody would know the
//! whole fleet: one would notice it by members that are listed as known only
//! after many minutes. So news stands in lanes by what it says and whom it is
//! about, and lanes are served in turns. The better lanes have more turns, each
//! lane has some, and a turn whose lane is empty goes to the next best one.

use std::collections::VecDeque;

use super::gossip::MemberKey;

/// What news is about, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateKind {
    /// Who lives, leaves, and where.
    Presence,
    /// How far the log has been applied.
    Progress,
    /// Loads and shares.
    Work,
}

/// How many kinds of news there are.
pub(super) const KIND_COUNT: usize = 3;

/// How many lanes there are: each kind's news of the own failure domain, and of
/// others.
pub(super) const QUEUE_COUNT: usize = 2 * KIND_COUNT;

/// Which kinds are looked through in each turn, in this order.
const KIND_ORDERS: [[UpdateKind; KIND_COUNT]; 8] = [
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Progress, UpdateKind::Presence, UpdateKind::Work],
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work],
    [UpdateKind::Work, UpdateKind::Presence, UpdateKind::Progress],
];

/// One round of all kinds' turns in this many looks at other failure domains
/// first.
const CROSS_DOMAIN_ROUND: usize = 3;

/// Where news of `kind` about a member of the own failure domain, or another,
/// stands.
pub(super) fn queue_index(kind: UpdateKind, is_same_domain: bool) -> usize {
    kind as usize * 2 + usize::from(!is_same_domain)
}

/// The kind of news that stands in `lane`.
pub(super) fn queue_kind(queue: usize) -> UpdateKind {
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work][queue / 2]
}

/// The news that waits for one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueues {
    waiting: [VecDeque<MemberKey>; QUEUE_COUNT],
    seen: [u64; QUEUE_COUNT],
    turn: usize,
}

impl UpdateQueues {
    /// Drops the news at the front of each lane that `is_unsent` no longer holds
    /// for, and answers which lanes are then to be filled, by how often the
    /// news of each kind has changed.
    pub(super) fn open<Check>(
        &mut self,
        changes: [u64; KIND_COUNT],
        is_unsent: Check,
    ) -> [bool; QUEUE_COUNT]
    where
        Check: Fn(&MemberKey) -> bool,
    {
        let mut open = [false; QUEUE_COUNT];
        for (queue, waiting) in self.waiting.iter_mut().enumerate() {
            while waiting.front().is_some_and(|key| !is_unsent(key)) {
                waiting.pop_front();
            }
            let changed = changes[queue_kind(queue) as usize];
            if waiting.is_empty() && self.seen[queue] != changed {
                self.seen[queue] = changed;
                open[queue] = true;
            }
        }
        open
    }

    /// Puts news at the end of a lane.
    pub(super) fn push(&mut self, queue: usize, key: MemberKey) {
        self.waiting[queue].push_back(key);
    }

    /// The news whose turn it is, with its lane.
    pub(super) fn peek(&self) -> Option<(usize, &MemberKey)> {
        let kinds = KIND_ORDERS[self.turn % KIND_ORDERS.len()];
        let same_domain_first =
            self.turn / KIND_ORDERS.len() % CROSS_DOMAIN_ROUND != CROSS_DOMAIN_ROUND - 1;
        let queues = kinds.iter().flat_map(|kind| {
            [same_domain_first, !same_domain_first]
                .map(|is_same_domain| queue_index(*kind, is_same_domain))
        });
        queues
            .filter_map(|queue| Some((queue, self.waiting[queue].front()?)))
            .next()
    }

    /// Takes the news at the front of `lane` away and passes the turn on if it
    /// `counts`.
    pub(super) fn pop(&mut self, queue: usize, counts: bool) {
        self.waiting[queue].pop_front();
        self.turn = self.turn.wrapping_add(usize::from(counts));
    }
}
