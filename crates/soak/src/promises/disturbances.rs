//! What is disturbed, and since when.

use bluebell_core::clock::ClockTime;

use crate::promises::{PromiseBook, PromiseChecker, STABLE_WINDOW};

#[derive(Clone, Copy, Debug)]
pub(super) struct Disturbance {
    from: ClockTime,
    pub(super) until: Option<ClockTime>,
    pub(super) is_planned: bool,
}

/// The name under which disturbances of the store are noted.
pub const STORE: &str = "store";

/// The name under which disturbances of an instance's way to the store are noted.
pub fn store_path(instance: &str) -> String {
    format!("{instance} to the store")
}

impl PromiseChecker {
    /// `what` is disturbed from now on: an instance, an endpoint, or the store.
    pub fn disturb(&self, what: &str, is_planned: bool) {
        let disturbance = Disturbance {
            from: self.now(),
            until: None,
            is_planned,
        };
        let mut book = self.hold();
        let all = book.disturbances.entry(what.to_string()).or_default();
        all.push(disturbance);
    }

    /// The oldest open disturbance of `what` of this sort is over.
    pub fn settle(&self, what: &str, is_planned: bool) {
        let now = self.now();
        let mut book = self.hold();
        let all = book.disturbances.entry(what.to_string()).or_default();
        let open = all
            .iter_mut()
            .find(|one| one.until.is_none() && one.is_planned == is_planned);
        if let Some(open) = open {
            open.until = Some(now);
        }
    }

    /// Whether an endpoint serves undisturbed.
    pub fn serves(&self, endpoint: &str) -> bool {
        let now = self.now();
        let book = self.hold();
        !book.left.contains_key(endpoint) && book.is_calm(endpoint, now, now, true)
    }

    /// Whether `what` has been undisturbed, with the time to settle, up to now.
    pub fn is_calm(&self, what: &str) -> bool {
        let now = self.now();
        self.hold().is_calm(what, now, now, true)
    }
}

impl PromiseBook {
    /// Whether nothing disturbed `what` from shortly before `from` until `until`.
    pub(super) fn is_calm(
        &self,
        what: &str,
        from: ClockTime,
        until: ClockTime,
        with_planned: bool,
    ) -> bool {
        let start = from - STABLE_WINDOW;
        let disturbances = self.disturbances.get(what).into_iter().flatten();
        let mut counted = disturbances.filter(|one| with_planned || !one.is_planned);
        counted.all(|one| one.from > until || one.until.is_some_and(|end| end < start))
    }

    /// Whether an instance had all it needs to know what the store knows.
    pub(super) fn is_in_touch(&self, instance: &str, from: ClockTime, until: ClockTime) -> bool {
        self.is_calm(instance, from, until, true)
            && self.is_calm(&store_path(instance), from, until, true)
            && self.is_calm(STORE, from, until, true)
    }
}
