//! Usage within a sliding window.

use std::collections::VecDeque;

use crate::clock::{ClockTime, TimeSpan};

/// The number of slots that a window is counted in.
const SLOTS_PER_WINDOW: u64 = 32;

#[derive(Clone, Copy, Debug)]
struct UsageSlot {
    number: u64,
    amount: f64,
}

/// Usage in tokens or requests within a window that ends now.
#[derive(Clone, Debug, Default)]
pub(super) struct SlidingWindow {
    slots: VecDeque<UsageSlot>,
    sum: f64,
}

impl SlidingWindow {
    /// Adds usage; a negative amount is given back.
    pub fn add(&mut self, now: ClockTime, length: TimeSpan, amount: f64) {
        let number = slot_number(now, length);
        self.expire(now, length);
        match self.slots.back_mut() {
            Some(slot) if slot.number >= number => slot.amount += amount,
            _ => self.slots.push_back(UsageSlot { number, amount }),
        }
        self.sum += amount;
    }

    /// The usage within the window. A slot counts until its end has left the window.
    pub fn sum(&mut self, now: ClockTime, length: TimeSpan) -> f64 {
        self.expire(now, length);
        self.sum.max(0.0)
    }

    /// The usage within the last `span`, up to the whole window, and the part of it that is
    /// older than that after `horizon`.
    pub fn within(
        &self,
        now: ClockTime,
        length: TimeSpan,
        span: TimeSpan,
        horizon: TimeSpan,
    ) -> (f64, f64) {
        let first = slot_number(now - span, length);
        let first_kept = slot_number(now + horizon - span, length);
        let (mut sum, mut leaving) = (0.0, 0.0);
        for slot in self.slots.iter().rev() {
            if slot.number < first {
                break;
            }
            sum += slot.amount;
            if slot.number < first_kept {
                leaving += slot.amount;
            }
        }
        (sum.max(0.0), leaving.max(0.0))
    }

    fn expire(&mut self, now: ClockTime, length: TimeSpan) {
        let number = slot_number(now, length);
        while let Some(slot) = self.slots.front()
            && slot.number + SLOTS_PER_WINDOW < number
        {
            self.sum -= slot.amount;
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            self.sum = 0.0;
        }
    }
}

fn slot_number(now: ClockTime, length: TimeSpan) -> u64 {
    now.as_millis() / (length.as_millis() / SLOTS_PER_WINDOW).max(1)
}
