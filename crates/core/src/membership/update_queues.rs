//! The order in which updates are sent over one connection.
//!
//! Every instance's progress, loads and shares change every second, so there are always
//! updates of them to send. In a single queue with the rest they would use the bytes
//! that presence updates of other domains wait for, and no instance would have the
//! complete fleet in its table until many minutes later. Updates are therefore queued by
//! their kind and by whether their member is of the same failure domain, and the queues
//! are served by weighted round robin. Queues of higher priority have more turns, each
//! queue has some, and the turn of an empty queue goes to the next one in the order of
//! that turn.

use std::collections::VecDeque;

use super::gossip::MemberKey;

/// The kind of an update, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateKind {
    /// Liveness and location of a member.
    Presence,
    /// How much of the log a member has applied.
    Progress,
    /// Loads and shares of a member.
    Work,
}

/// The number of kinds of updates.
pub(super) const KIND_COUNT: usize = 3;

/// The number of queues: two for each kind, for members of the same failure domain and of
/// other domains.
pub(super) const QUEUE_COUNT: usize = 2 * KIND_COUNT;

/// The order in which the kinds are searched for an update in each turn.
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

/// One in this many rounds of [`KIND_ORDERS`] searches the queues of other failure
/// domains first.
const CROSS_DOMAIN_ROUND: usize = 3;

/// The queue for updates of `kind` about a member of the same failure domain, or of
/// another one.
pub(super) fn queue_index(kind: UpdateKind, is_same_domain: bool) -> usize {
    kind as usize * 2 + usize::from(!is_same_domain)
}

/// The kind of the updates in `queue`.
pub(super) fn queue_kind(queue: usize) -> UpdateKind {
    [UpdateKind::Presence, UpdateKind::Progress, UpdateKind::Work][queue / 2]
}

/// The updates that wait to be sent over one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueues {
    waiting: [VecDeque<MemberKey>; QUEUE_COUNT],
    filled_at_change: [u64; QUEUE_COUNT],
    turn: usize,
}

impl UpdateQueues {
    /// Drops updates at the front of each queue for which `is_unsent` is false, and returns
    /// which queues have to be filled: those that are empty and whose kind has changed
    /// since they were last filled. `changes` counts the changes of each kind.
    pub(super) fn fillable<Check>(
        &mut self,
        changes: [u64; KIND_COUNT],
        is_unsent: Check,
    ) -> [bool; QUEUE_COUNT]
    where
        Check: Fn(&MemberKey) -> bool,
    {
        let mut fillable = [false; QUEUE_COUNT];
        for (queue, waiting) in self.waiting.iter_mut().enumerate() {
            while waiting.front().is_some_and(|key| !is_unsent(key)) {
                waiting.pop_front();
            }
            let changed = changes[queue_kind(queue) as usize];
            if waiting.is_empty() && self.filled_at_change[queue] != changed {
                self.filled_at_change[queue] = changed;
                fillable[queue] = true;
            }
        }
        fillable
    }

    /// Appends an update to `queue`.
    pub(super) fn push(&mut self, queue: usize, key: MemberKey) {
        self.waiting[queue].push_back(key);
    }

    /// The next update to send, with its queue.
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

    /// Removes the update at the front of `queue`, and advances the turn if the update
    /// was sent.
    pub(super) fn pop(&mut self, queue: usize, is_sent: bool) {
        self.waiting[queue].pop_front();
        self.turn = self.turn.wrapping_add(usize::from(is_sent));
    }
}
