//! The budget for repeats that all entries share, kept without talk.
//!
//! The operators allow a share of a service's requests, and some more, to be
//! sent a second time in any window. Each entry pays its repeats from its own
//! requests, so the sum keeps to the share whatever the others do; the extra is
//! divided among all entries that are known.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
};

/// The parts that a window is counted in.
const SLICES: u64 = 10;

/// How much of the share is used: counts of the operators' side are of other
/// windows than ours.
const SHARE_USED: f64 = 0.8;

/// What operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub share: f64,
    /// Repeats beside that in a window that this entry may use.
    pub extra: f64,
    /// The window.
    pub window: TimeSpan,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The repeats of one entry, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    allowance: RetryAllowance,
    services: BTreeMap<ServiceName, VecDeque<WindowSlice>>,
}

impl SharedRetryBudget {
    /// Nothing sent yet.
    pub fn new(allowance: RetryAllowance) -> SharedRetryBudget {
        SharedRetryBudget {
            allowance,
            services: BTreeMap::new(),
        }
    }

    /// Sets this entry's part of the repeats beside the share.
    pub fn set_extra(&mut self, extra: f64) {
        self.allowance.extra = extra;
    }

    /// A request for the service came in.
    pub fn note_request(&mut self, now: ClockTime, service: &ServiceName) {
        self.slice(now, service).requests += 1;
    }

    /// Asks to send a request to the service once more; it is counted if allowed.
    pub fn try_retry(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let allowance = self.allowance;
        self.slice(now, service);
        let Some(slices) = self.services.get(service) else {
            return false;
        };
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = slices.iter().map(|slice| slice.repeats).sum();
        let allowed = SHARE_USED * allowance.share * f64::from(requests) + allowance.extra;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(now, service).repeats += 1;
        true
    }

    /// Repeats that were allowed never left: the service has not seen them.
    pub fn return_unsent(&mut self, now: ClockTime, service: &ServiceName, repeats: u32) {
        let slice = self.slice(now, service);
        slice.repeats = slice.repeats.saturating_sub(repeats);
    }

    fn slice(&mut self, now: ClockTime, service: &ServiceName) -> &mut WindowSlice {
        let length = (self.allowance.window.as_millis() / SLICES).max(1);
        let number = now.as_millis() / length;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slices = self
            .services
            .get_mut(service)
            .expect("it was just inserted");
        while slices.front().is_some_and(|s| s.number + SLICES < number) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.number != number) {
            slices.push_back(WindowSlice {
                number,
                ..WindowSlice::default()
            });
        }
        slices.back_mut().expect("it was just pushed")
    }
}
