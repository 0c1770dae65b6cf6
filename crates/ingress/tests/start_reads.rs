//! Hundreds of instances that start at the same moment and read everything from the store.

use std::collections::VecDeque;

use bluebell_ingress::sync::full_read_timeout;

const INSTANCES: usize = 295;
/// Configuration and registrations as the store sends them.
const READ_BYTES: u64 = 850_000;
/// What the store sends in a ms, all readers together.
const BYTES_PER_MS: u64 = 80_000;
/// How long an instance waits after a failed read.
const BACKOFF_MS: u64 = 400;

/// One instance that reads until it has everything.
#[derive(Clone, Copy, Default)]
struct StartingReader {
    sent_at: Option<u64>,
    next_at: u64,
    failures: u32,
    is_done: bool,
}

/// After how many ms the last of the instances has read everything. The store answers
/// in the order of arrival and also sends what nobody waits for any more.
fn ready_after(patience_ms: impl Fn(u32) -> u64) -> Option<u64> {
    let mut readers = [StartingReader::default(); INSTANCES];
    let mut queue: VecDeque<(usize, u64, u64)> = VecDeque::new();
    for now in 0..60_000 {
        for (number, reader) in readers.iter_mut().enumerate() {
            if reader.is_done {
                continue;
            }
            let gives_up = |sent: u64| now - sent >= patience_ms(reader.failures);
            if reader.sent_at.is_some_and(gives_up) {
                reader.sent_at = None;
                reader.failures += 1;
                reader.next_at = now + BACKOFF_MS;
            }
            if reader.sent_at.is_none() && now >= reader.next_at {
                reader.sent_at = Some(now);
                queue.push_back((number, now, READ_BYTES));
            }
        }
        let mut room = BYTES_PER_MS;
        while room > 0
            && let Some((number, sent, left)) = queue.front_mut()
        {
            let bytes = room.min(*left);
            room -= bytes;
            *left -= bytes;
            if *left == 0 {
                let reader = &mut readers[*number];
                reader.is_done |= reader.sent_at == Some(*sent);
                queue.pop_front();
            }
        }
        if readers.iter().all(|reader| reader.is_done) {
            return Some(now);
        }
    }
    None
}

/// Guards against a fleet that is never ready again after all instances were killed: the
/// store can't send everything to all of them within the time that one read is given.
#[test]
fn hundreds_of_instances_that_start_at_once_read_a_large_configuration() {
    let ready = ready_after(|failures| full_read_timeout(failures).as_millis());
    assert!(ready.is_some_and(|after| after < 10_000), "{ready:?}");
}

/// Guards against an instance that waits for a silent connection long after the store
/// can be reached again.
#[test]
fn the_patience_of_whole_reads_is_bounded() {
    let longest = full_read_timeout(1_000).as_millis();
    assert!(longest <= 4_000, "{longest}");
    assert!(full_read_timeout(0) < full_read_timeout(1));
}
