//! New connections at an instance whose processor reads fewer than arrive.

use std::collections::VecDeque;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    connections::{ConnectionQueue, MAX_READ_WAIT, WaitingConnection},
};

/// How often the process gets to its listener if it has nothing else to do, in ms.
const TURN: u64 = 2;
/// How many connections the kernel queues and one turn of the listener takes at most.
const TURN_CONNECTIONS: usize = 1_024;
/// How long callers wait at least until their request is read.
const CALLER_PATIENCE: TimeSpan = TimeSpan::from_millis(333);

#[derive(Debug, Default)]
struct Outcome {
    read: u64,
    closed: u64,
    /// The longest wait of a connection that was read, from its arrival, after the first second.
    longest_wait: TimeSpan,
}

/// A processor that reads one connection in `read_time` ms gets `arrivals` per second.
/// Connections wait in the kernel until the listener has its turn, and those that are taken
/// are read one after the other.
fn serve(arrivals: u64, read_time: u64, end: u64) -> Outcome {
    let mut queue = ConnectionQueue::new();
    let mut outcome = Outcome::default();
    let mut kernel: VecDeque<ClockTime> = VecDeque::new();
    let (mut now, mut arrived) = (0, 0);
    while now < end {
        while arrived * 1_000 < now * arrivals {
            kernel.push_back(ClockTime::from_millis(arrived * 1_000 / arrivals));
            arrived += 1;
        }
        let turn = kernel.len().min(TURN_CONNECTIONS);
        let at = ClockTime::from_millis(now);
        let taken: Vec<(ClockTime, Option<WaitingConnection>)> = kernel
            .drain(..turn)
            .map(|arrival| (arrival, queue.take(at)))
            .collect();
        for (arrival, connection) in taken {
            let Some(connection) = connection else {
                outcome.closed += 1;
                continue;
            };
            now += read_time;
            let at = ClockTime::from_millis(now);
            queue.note_read(at, &connection);
            outcome.read += 1;
            if arrival >= ClockTime::from_millis(1_000) {
                outcome.longest_wait = outcome.longest_wait.max(at.since(arrival));
            }
        }
        now += TURN;
    }
    outcome
}

/// Guards against requests that are read only after their callers have given up, because one
/// instance gets most new connections: five to seven times what its processor reads.
#[test]
fn connections_beyond_the_processor_are_closed_unread() {
    for (share, read_time) in [(5, 2), (5, 8), (7, 4), (7, 20)] {
        let capacity = 1_000 / read_time;
        let outcome = serve(share * capacity, read_time, 8_000);
        assert!(
            outcome.longest_wait <= CALLER_PATIENCE,
            "{share} {read_time} {outcome:?}"
        );
        assert!(
            outcome.read >= 8 * capacity * 9 / 10,
            "{share} {read_time} {outcome:?}"
        );
        assert!(outcome.closed > 0, "{share} {read_time} {outcome:?}");
    }
}

/// Guards against connections that are refused though the processor would read them in time.
#[test]
fn connections_within_the_processor_are_all_taken() {
    for read_time in [1, 2, 8, 20] {
        let outcome = serve(800 / read_time, read_time, 8_000);
        assert_eq!(outcome.closed, 0, "{read_time} {outcome:?}");
    }
}

/// Guards against an instance that takes no connection any more after a pause.
#[test]
fn a_pause_of_the_process_leaves_the_queue_usable() {
    let mut queue = ConnectionQueue::new();
    let paused = (0..40).map(|_| queue.take(ClockTime::from_millis(0)).unwrap());
    for connection in paused.collect::<Vec<_>>() {
        queue.note_read(ClockTime::from_millis(5_000), &connection);
    }
    assert_eq!(queue.waiting(), 0);
    for burst in 0..50 {
        let at = ClockTime::from_millis(5_000 + burst);
        let taken = queue.take(at).expect("nothing waits");
        queue.note_read(at, &taken);
    }
    let burst = (0..100).filter_map(|_| queue.take(ClockTime::from_millis(5_100)));
    assert_eq!(burst.count(), 100);
}

/// Guards against connections of other instances that are closed: their requests have no
/// other way.
#[test]
fn connections_that_must_be_taken_count_too() {
    let mut queue = ConnectionQueue::new();
    let start = ClockTime::from_millis(0);
    let slow: Vec<_> = (0..30).map(|_| queue.take_always(start)).collect();
    for (index, connection) in slow.into_iter().enumerate() {
        let at = ClockTime::from_millis(20 * (index as u64 + 1));
        queue.note_read(at, &connection);
    }
    let now = ClockTime::from_millis(600);
    let waiting: Vec<_> = (0..60).map(|_| queue.take_always(now)).collect();
    assert_eq!(queue.waiting() as usize, waiting.len());
    assert!(queue.take(now).is_none());
    assert!(MAX_READ_WAIT < CALLER_PATIENCE);
}
