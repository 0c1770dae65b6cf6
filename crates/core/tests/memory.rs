//! What an instance holds for callers and endpoints, and who gives way when it fills.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::OrganisationId,
    memory::{HoldId, MemoryBudget, STALL_TIMEOUT},
    units::ByteSize,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const LIMIT: u64 = 80_000_000;
/// A body of the size of a usual prompt, in bytes.
const PROMPT: u64 = 12_000;
/// The largest body that the operators allow, in bytes.
const LARGEST: u64 = 4_194_304;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn size(bytes: u64) -> ByteSize {
    ByteSize::new(bytes)
}

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).unwrap()
}

fn held(budget: &MemoryBudget) -> u64 {
    budget.status().held.count()
}

/// Answers of `count` callers of `name` that hold `bytes` each and are never read.
fn unread_answers(budget: &mut MemoryBudget, name: &str, count: u64, bytes: u64) -> Vec<HoldId> {
    let answers = (0..count).map(|index| {
        let id = budget.start_answer(Some(&organisation(name)));
        budget.hold_answer(id, size(bytes)).unwrap();
        budget.note_offered(at(index), id);
        id
    });
    answers.collect()
}

/// Guards against a process that is killed because some callers send the largest bodies at
/// once.
#[test]
fn largest_bodies_at_once_stay_within_the_limit() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let flood = organisation("flood");
    let admitted = (0..100).filter(|_| budget.admit(Some(&flood), size(LARGEST)).is_ok());
    let admitted = admitted.count();
    assert!(admitted > 0);
    assert!(held(&budget) <= LIMIT);
}

/// Guards against an organisation with large bodies that takes the memory of the others.
#[test]
fn other_organisations_are_admitted_beside_one_that_fills_its_part() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let flood = organisation("flood");
    while budget.admit(Some(&flood), size(LARGEST)).is_ok() {}
    let other = organisation("other");
    for _ in 0..500 {
        budget.admit(Some(&other), size(PROMPT)).unwrap();
    }
}

/// Guards against refusing many small requests for the sake of one large one.
#[test]
fn large_requests_are_refused_before_small_ones() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let busy = organisation("busy");
    while budget.admit(Some(&busy), size(LARGEST)).is_ok() {}
    budget.admit(Some(&busy), size(PROMPT)).unwrap();
}

/// Guards against answers that can't be delivered because requests have taken all memory.
#[test]
fn answers_fit_while_requests_fill_their_share() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    for index in 0..100 {
        let name = organisation(&format!("o{index}"));
        while budget.admit(Some(&name), size(PROMPT * 10)).is_ok() {}
    }
    let answer = budget.start_answer(Some(&organisation("o0")));
    budget.hold_answer(answer, size(1_000_000)).unwrap();
}

/// Guards against refusing requests without a body because callers of their organisation
/// read slowly.
#[test]
fn requests_without_a_body_are_admitted_beside_unread_answers() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    unread_answers(&mut budget, "a", 8, LIMIT / 8);
    budget.admit(Some(&organisation("a")), size(0)).unwrap();
    let refusal = budget.admit(Some(&organisation("a")), size(PROMPT));
    assert_eq!(refusal.unwrap_err().missing, size(LIMIT + PROMPT));
}

/// Guards against a tenth of the callers, which never read, blocking the answers of all.
#[test]
fn longest_stalled_callers_make_room_and_slow_readers_do_not() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let unread = unread_answers(&mut budget, "a", 8, 10_000_000);
    let now = at(8) + STALL_TIMEOUT;
    // The caller whose answer is oldest reads slowly, but it reads.
    budget.note_read(now, unread[0], size(1_000));
    let unheld = budget.start_answer(Some(&organisation("b")));
    let missing = budget.hold_answer(unheld, size(5_000_000)).unwrap_err();
    let disconnected = budget.stalled_callers(now, missing);
    assert_eq!(disconnected, vec![unread[1]]);
    budget.release(unread[1]);
    let answer = budget.start_answer(Some(&organisation("b")));
    budget.hold_answer(answer, size(5_000_000)).unwrap();
}

/// Guards against disconnecting a caller whose answer is late because of its endpoint.
#[test]
fn callers_that_were_offered_nothing_are_not_stalled() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let answer = budget.start_answer(None);
    budget.hold_answer(answer, size(LIMIT)).unwrap();
    let later = at(0) + STALL_TIMEOUT.times(10);
    assert!(budget.stalled_callers(later, size(PROMPT)).is_empty());
}

/// Guards against memory that stays counted after the last request is gone.
#[test]
fn everything_is_free_after_all_was_released() {
    let mut budget = MemoryBudget::new(size(LIMIT));
    let request = budget.admit(None, size(PROMPT)).unwrap();
    budget.grow(request, size(PROMPT)).unwrap();
    let answer = budget.start_answer(None);
    budget.hold_answer(answer, size(PROMPT)).unwrap();
    budget.note_read(at(1), answer, size(PROMPT));
    budget.release(request);
    budget.release(answer);
    let status = budget.status();
    assert_eq!((status.held.count(), status.holds), (0, 0));
}

/// One event at an instance; indices select among what is held.
#[derive(Clone, Debug)]
enum MemoryEvent {
    Admit { organisation: u8, bytes: u32 },
    Grow { index: usize, bytes: u32 },
    StartAnswer { organisation: u8 },
    HoldAnswer { index: usize, bytes: u32 },
    Offer { index: usize },
    Read { index: usize, bytes: u32 },
    Release { index: usize },
    Elapse { millis: u16 },
}

impl Arbitrary for MemoryEvent {
    fn arbitrary(g: &mut Gen) -> MemoryEvent {
        let organisation = u8::arbitrary(g) % 5;
        let index = usize::arbitrary(g);
        let bytes = u32::arbitrary(g) % LARGEST as u32;
        match u8::arbitrary(g) % 8 {
            0 => MemoryEvent::Admit {
                organisation,
                bytes,
            },
            1 => MemoryEvent::Grow { index, bytes },
            2 => MemoryEvent::StartAnswer { organisation },
            3 => MemoryEvent::HoldAnswer { index, bytes },
            4 => MemoryEvent::Read { index, bytes },
            5 => MemoryEvent::Release { index },
            6 => MemoryEvent::Offer { index },
            _ => MemoryEvent::Elapse {
                millis: u16::arbitrary(g),
            },
        }
    }
}

/// Plays events; returns whether the limit held after each, and only callers that had
/// stopped reading were selected to be disconnected.
fn stays_within_limit(events: Vec<MemoryEvent>) -> bool {
    let limit = 20_000_000;
    let mut budget = MemoryBudget::new(size(limit));
    let mut now = at(0);
    let mut holds: Vec<HoldId> = Vec::new();
    let mut active_at: BTreeMap<HoldId, ClockTime> = BTreeMap::new();
    for event in events {
        let select = |index: usize| holds.get(index % holds.len().max(1)).copied();
        match event {
            MemoryEvent::Admit {
                organisation: number,
                bytes,
            } => {
                let name = organisation(&format!("o{number}"));
                holds.extend(budget.admit(Some(&name), size(bytes.into())));
            }
            MemoryEvent::Grow { index, bytes } => {
                if let Some(id) = select(index) {
                    let _ = budget.grow(id, size(bytes.into()));
                }
            }
            MemoryEvent::StartAnswer {
                organisation: number,
            } => {
                let name = organisation(&format!("o{number}"));
                holds.push(budget.start_answer(Some(&name)));
            }
            MemoryEvent::HoldAnswer { index, bytes } => {
                if let Some(id) = select(index) {
                    let _ = budget.hold_answer(id, size(bytes.into()));
                }
            }
            MemoryEvent::Offer { index } => {
                if let Some(id) = select(index) {
                    budget.note_offered(now, id);
                    active_at.entry(id).or_insert(now);
                }
            }
            MemoryEvent::Read { index, bytes } => {
                if let Some(id) = select(index) {
                    budget.note_read(now, id, size(bytes.into()));
                    active_at.insert(id, now);
                }
            }
            MemoryEvent::Release { index } => {
                if !holds.is_empty() {
                    let id = holds.swap_remove(index % holds.len());
                    budget.release(id);
                }
            }
            MemoryEvent::Elapse { millis } => now = at(now.as_millis() + u64::from(millis)),
        }
        if held(&budget) > limit {
            return false;
        }
        let selected = budget.stalled_callers(now, size(LARGEST));
        let has_stalled = |id: &HoldId| now.since(active_at[id]) >= STALL_TIMEOUT;
        if !selected.iter().all(has_stalled) {
            return false;
        }
    }
    holds.into_iter().for_each(|id| budget.release(id));
    held(&budget) == 0
}

quickcheck! {
    /// Guards against an order of events that exceeds the limit or loses count.
    fn random_events_stay_within_the_limit(events: Vec<MemoryEvent>) -> bool {
        stays_within_limit(events)
    }
}
