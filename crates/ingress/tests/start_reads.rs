//! Simulates hundreds of instances that start at the same time and read the complete
//! configuration and all registrations from the store.

use std::collections::VecDeque;

use bluebell_ingress::sync::full_read_timeout;

const INSTANCES: usize = 295;
/// Size of the configuration and the registrations as the store sends them, in bytes.
const READ_BYTES: u64 = 850_000;
/// Bytes that the store sends per ms to all instances together.
const BYTES_PER_MS: u64 = 80_000;
/// Delay after a failed read, in ms.
const BACKOFF_MS: u64 = 400;

/// An instance that repeats its read until it is complete.
#[derive(Clone, Copy, Default)]
struct StartingInstance {
    sent_at: Option<u64>,
    next_at: u64,
    failures: u32,
    is_done: bool,
}

/// Returns the time in ms until all instances have completed their read, or `None` after
/// 60,000 ms. The store answers in order of arrival, and also sends answers to requests that
/// have timed out.
fn complete_after_ms(timeout_ms: impl Fn(u32) -> u64) -> Option<u64> {
    let mut instances = [StartingInstance::default(); INSTANCES];
    let mut queue: VecDeque<(usize, u64, u64)> = VecDeque::new();
    for now in 0..60_000 {
        for (number, instance) in instances.iter_mut().enumerate() {
            if instance.is_done {
                continue;
            }
            let has_timed_out = |sent_at: u64| now - sent_at >= timeout_ms(instance.failures);
            if instance.sent_at.is_some_and(has_timed_out) {
                instance.sent_at = None;
                instance.failures += 1;
                instance.next_at = now + BACKOFF_MS;
            }
            if instance.sent_at.is_none() && now >= instance.next_at {
                instance.sent_at = Some(now);
                queue.push_back((number, now, READ_BYTES));
            }
        }
        let mut capacity = BYTES_PER_MS;
        while capacity > 0
            && let Some((number, sent_at, remaining_bytes)) = queue.front_mut()
        {
            let bytes = capacity.min(*remaining_bytes);
            capacity -= bytes;
            *remaining_bytes -= bytes;
            if *remaining_bytes == 0 {
                let instance = &mut instances[*number];
                instance.is_done |= instance.sent_at == Some(*sent_at);
                queue.pop_front();
            }
        }
        if instances.iter().all(|instance| instance.is_done) {
            return Some(now);
        }
    }
    None
}

/// Guards against a fleet that never becomes ready again after all instances were killed:
/// the store can't send everything to all of them within the timeout of a first read, and
/// repeated reads add load.
#[test]
fn hundreds_of_instances_starting_at_once_read_a_large_configuration() {
    let complete_after = complete_after_ms(|failures| full_read_timeout(failures).as_millis());
    assert!(
        complete_after.is_some_and(|ms| ms < 10_000),
        "{complete_after:?}"
    );
}

/// Guards against an instance that waits on an unresponsive connection long after the
/// store is reachable again.
#[test]
fn the_timeout_of_complete_reads_is_bounded() {
    let max_timeout = full_read_timeout(1_000).as_millis();
    assert!(max_timeout <= 4_000, "{max_timeout}");
    assert!(full_read_timeout(0) < full_read_timeout(1));
}
