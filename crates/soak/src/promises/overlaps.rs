//! Streams that go on at one endpoint while another one still works on them.

use bluebell_core::clock::{ClockTime, TimeSpan};

use crate::promises::{Promise, PromiseBook, PromiseChecker};

/// How long an endpoint may go on working on a request after another one has begun to.
const OVERLAP_SLACK: TimeSpan = TimeSpan::from_millis(400);

/// An attempt that an endpoint worked on when another one began to.
#[derive(Clone, Debug)]
pub struct RunOverlap {
    since: ClockTime,
    attempt: String,
    earlier: String,
}

impl PromiseChecker {
    /// Checks the attempts that began at a second endpoint [`OVERLAP_SLACK`] ago.
    pub fn check_overlaps(&self) {
        let now = self.now();
        let mut book = self.hold();
        let is_due = |overlap: &RunOverlap| now.since(overlap.since) >= OVERLAP_SLACK;
        let (due, open) = std::mem::take(&mut book.overlaps)
            .into_iter()
            .partition(is_due);
        book.overlaps = open;
        for overlap in due {
            book.check_overlap(now, &overlap);
        }
    }
}

impl PromiseBook {
    /// Records the endpoints that worked on an attempt when another one began to.
    pub(super) fn note_overlaps(&mut self, now: ClockTime, attempt: &str, earlier: &[String]) {
        let overlaps = earlier.iter().map(|endpoint| RunOverlap {
            since: now,
            attempt: attempt.to_string(),
            earlier: endpoint.clone(),
        });
        self.overlaps.extend(overlaps);
    }

    fn check_overlap(&mut self, now: ClockTime, overlap: &RunOverlap) {
        let RunOverlap {
            since,
            attempt,
            earlier,
        } = overlap;
        let Some(known) = self.attempts.get(attempt) else {
            return;
        };
        let instance = known.request.process.instance.to_string();
        let still_works = known.open_runs.contains(earlier);
        let is_reached =
            self.is_calm(&instance, *since, now, true) && self.is_calm(earlier, *since, now, true);
        if still_works && is_reached {
            let detail = format!("attempt={attempt} instance={instance} earlier={earlier}");
            self.broke(now, Promise::OneEndpointAtATime, detail);
        }
    }
}
