//! The retry budget that the entries of a fleet share without communication.
//!
//! The operators allow a share of the requests of a service, plus a fixed extra, to be
//! sent a second time in any window. Each entry limits its retries to the share of its
//! own requests, so the sum over all entries stays within the share independently of
//! the others. The extra is divided among all known entries.
//!
//! Callers may move from one entry to another. If an entry could spend at once what the requests
//! of a whole window have earned it, and another one what the same callers' requests earn there
//! from then on, both together would exceed the limit. What a request earns is therefore lost
//! unless it is used soon.
//!
//! A process that starts does not know what its predecessor granted just before it ended. In
//! its first window it uses only the part of the share that running entries leave unused.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
};

/// Number of slices that a window is counted in.
const SLICES_PER_WINDOW: u64 = 20;

/// For how many slices after its own the share that requests have earned may be used. With
/// [`USED_SHARE`], all entries together then stay within the share of the requests of a window,
/// wherever these are sent.
const USABLE_SLICES: u64 = 4;

/// Part of the share that is used. The operators count in windows that are not aligned
/// with those of the entries, so using all of it could exceed the limit in one of
/// theirs.
const USED_SHARE: f64 = 0.8;

/// Part of the share that is used in the first window of a process. Its predecessor may have
/// used the rest.
const FIRST_WINDOW_SHARE: f64 = 0.2;

/// Limit that the operators set on retries of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub share: f64,
    /// Additional retries per window that this entry may use.
    pub extra: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    number: u64,
    requests: u32,
    retries: u32,
    /// The retries that its requests have earned and that were not granted.
    unused: f64,
    /// The retries that were granted from the extra.
    extra: u32,
}

/// Use of the retry budget of a service in the current window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RetryStatus {
    /// Requests for the service.
    pub requests: u32,
    /// Retries granted and not returned.
    pub retries: u32,
    /// Retries that this entry may use in addition to the share of the requests.
    pub extra: f64,
}

/// Retry budget of one entry, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    allowance: RetryAllowance,
    /// When the process started; `None` if it has no predecessor.
    started_at: Option<ClockTime>,
    services: BTreeMap<ServiceName, VecDeque<WindowSlice>>,
}

impl SharedRetryBudget {
    /// Creates a budget without any requests, of a process without a predecessor.
    pub fn new(allowance: RetryAllowance) -> SharedRetryBudget {
        SharedRetryBudget {
            allowance,
            started_at: None,
            services: BTreeMap::new(),
        }
    }

    /// Sets when the process started. Its predecessor may have granted retries until then.
    pub fn with_start(mut self, started_at: ClockTime) -> SharedRetryBudget {
        self.started_at = Some(started_at);
        self
    }

    /// Sets the additional retries per window that this entry may use.
    pub fn set_extra(&mut self, extra: f64) {
        self.allowance.extra = extra;
    }

    /// Records a request for the service.
    pub fn note_request(&mut self, now: ClockTime, service: &ServiceName) {
        let earned = self.used_share(now);
        let slice = self.slice(now, service);
        slice.requests += 1;
        slice.unused += earned;
    }

    /// Returns whether a request to the service may be sent once more. If so, the retry
    /// is counted.
    pub fn try_retry(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let status = self.service_status(now, service);
        let earned = self.used_share(now) * f64::from(status.requests);
        if f64::from(status.retries) + 1.0 > earned + status.extra {
            return false;
        }
        let is_earned = self.take_earned(now, service);
        if !is_earned && f64::from(self.used_extras(service)) + 1.0 > status.extra {
            return false;
        }
        let slice = self.slice(now, service);
        slice.retries += 1;
        slice.extra += u32::from(!is_earned);
        true
    }

    /// Takes one retry from what the latest requests have earned, the oldest part first. Returns
    /// whether there was as much.
    fn take_earned(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let current = self.slice(now, service).number;
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        let is_usable = |slice: &WindowSlice| slice.number + USABLE_SLICES >= current;
        let usable = slices.iter().filter(|slice| is_usable(slice));
        let unused: f64 = usable.map(|slice| slice.unused).sum();
        if unused < 1.0 {
            return false;
        }
        let mut needed = 1.0;
        for slice in slices.iter_mut().filter(|slice| is_usable(slice)) {
            let taken = slice.unused.min(needed);
            slice.unused -= taken;
            needed -= taken;
        }
        true
    }

    /// The retries of the current window that were granted from the extra.
    fn used_extras(&self, service: &ServiceName) -> u32 {
        let slices = self.services.get(service);
        slices.map_or(0, |slices| slices.iter().map(|slice| slice.extra).sum())
    }

    /// Returns retries to the budget that were granted but not sent: the service has
    /// not seen them.
    pub fn return_unsent(&mut self, now: ClockTime, service: &ServiceName, retries: u32) {
        let slice = self.slice(now, service);
        slice.retries = slice.retries.saturating_sub(retries);
        slice.unused += f64::from(retries);
    }

    /// The use of the budget of each service in the current window.
    pub fn status(&mut self, now: ClockTime) -> BTreeMap<ServiceName, RetryStatus> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let statuses = services.into_iter().map(|service| {
            let status = self.service_status(now, &service);
            (service, status)
        });
        statuses.collect()
    }

    /// The use of the budget of `service` in the current window.
    pub fn service_status(&mut self, now: ClockTime, service: &ServiceName) -> RetryStatus {
        self.slice(now, service);
        let slices = &self.services[service];
        RetryStatus {
            requests: slices.iter().map(|slice| slice.requests).sum(),
            retries: slices.iter().map(|slice| slice.retries).sum(),
            extra: self.used_extra(now),
        }
    }

    /// Retries per request that are granted.
    fn used_share(&self, now: ClockTime) -> f64 {
        let part = match self.is_first_window(now) {
            true => FIRST_WINDOW_SHARE,
            false => USED_SHARE,
        };
        part * self.allowance.share
    }

    /// Additional retries in the current window that are granted.
    fn used_extra(&self, now: ClockTime) -> f64 {
        match self.is_first_window(now) {
            true => 0.0,
            false => self.allowance.extra,
        }
    }

    /// Whether the current window contains time before the start of the process.
    fn is_first_window(&self, now: ClockTime) -> bool {
        let window = self.allowance.window;
        self.started_at.is_some_and(|at| now.since(at) < window)
    }

    fn slice(&mut self, now: ClockTime, service: &ServiceName) -> &mut WindowSlice {
        let length = (self.allowance.window.as_millis() / SLICES_PER_WINDOW).max(1);
        let number = now.as_millis() / length;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slices = self
            .services
            .get_mut(service)
            .expect("it was just inserted");
        while slices
            .front()
            .is_some_and(|s| s.number + SLICES_PER_WINDOW < number)
        {
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
