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
pub(super) enum NewsKind {
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
pub(super) const LANE_COUNT: usize = 2 * KIND_COUNT;

/// Which kinds are looked through in each turn, in this order.
const KIND_TURNS: [[NewsKind; KIND_COUNT]; 8] = [
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Progress, NewsKind::Presence, NewsKind::Work],
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work],
    [NewsKind::Work, NewsKind::Presence, NewsKind::Progress],
];

/// One round of all kinds' turns in this many looks at other failure domains
/// first.
const FAR_ROUND: usize = 3;

/// Where news of `kind` about a member of the own failure domain, or another,
/// stands.
pub(super) fn lane_of(kind: NewsKind, is_near: bool) -> usize {
    kind as usize * 2 + usize::from(!is_near)
}

/// The kind of news that stands in `lane`.
pub(super) fn kind_of(lane: usize) -> NewsKind {
    [NewsKind::Presence, NewsKind::Progress, NewsKind::Work][lane / 2]
}

/// The news that waits for one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct NewsLanes {
    waiting: [VecDeque<MemberKey>; LANE_COUNT],
    seen: [u64; LANE_COUNT],
    turn: usize,
}

impl NewsLanes {
    /// Drops the news at the front of each lane that `is_unsent` no longer holds
    /// for, and answers which lanes are then to be filled, by how often the
    /// news of each kind has changed.
    pub(super) fn open<Check>(
        &mut self,
        changes: [u64; KIND_COUNT],
        is_unsent: Check,
    ) -> [bool; LANE_COUNT]
    where
        Check: Fn(&MemberKey) -> bool,
    {
        let mut open = [false; LANE_COUNT];
        for (lane, waiting) in self.waiting.iter_mut().enumerate() {
            while waiting.front().is_some_and(|key| !is_unsent(key)) {
                waiting.pop_front();
            }
            let changed = changes[kind_of(lane) as usize];
            if waiting.is_empty() && self.seen[lane] != changed {
                self.seen[lane] = changed;
                open[lane] = true;
            }
        }
        open
    }

    /// Puts news at the end of a lane.
    pub(super) fn push(&mut self, lane: usize, key: MemberKey) {
        self.waiting[lane].push_back(key);
    }

    /// The news whose turn it is, with its lane.
    pub(super) fn peek(&self) -> Option<(usize, &MemberKey)> {
        let kinds = KIND_TURNS[self.turn % KIND_TURNS.len()];
        let near_first = self.turn / KIND_TURNS.len() % FAR_ROUND != FAR_ROUND - 1;
        let lanes = kinds
            .iter()
            .flat_map(|kind| [near_first, !near_first].map(|is_near| lane_of(*kind, is_near)));
        lanes
            .filter_map(|lane| Some((lane, self.waiting[lane].front()?)))
            .next()
    }

    /// Takes the news at the front of `lane` away and passes the turn on if it
    /// `counts`.
    pub(super) fn pop(&mut self, lane: usize, counts: bool) {
        self.waiting[lane].pop_front();
        self.turn = self.turn.wrapping_add(usize::from(counts));
    }
}
