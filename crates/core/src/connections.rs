//! Decides which new connections of callers are taken while the processor is the bottleneck.
//!
//! A connection that is taken waits until the processor gets to it. If many more arrive than
//! can be read, all of them wait longer than their callers do, and the requests that are
//! read are answered too late. A connection that is closed unread has its caller try at
//! another instance. So only as many may wait as are read within [`MAX_READ_WAIT`].

use crate::clock::{ClockTime, TimeSpan};

/// The longest time that a taken connection may be expected to wait until it is read.
/// Callers give up a connection that is not read within a third of the time they have left,
/// at least 333 ms, and a connection can wait as long again before it is accepted.
pub const MAX_READ_WAIT: TimeSpan = TimeSpan::from_millis(150);

/// The weight of one more connection in the mean time per read.
const READ_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// A connection that was taken and is not read yet.
#[derive(Debug)]
pub struct WaitingConnection {
    taken_at: ClockTime,
    /// How many others waited when it was taken.
    ahead: u32,
}

/// The connections that wait for the processor, and how long each takes it.
#[derive(Debug, Default)]
pub struct ConnectionQueue {
    waiting: u32,
    /// The mean time between two reads while connections wait, in ms.
    read_time: f64,
}

impl ConnectionQueue {
    /// A queue without connections.
    pub fn new() -> ConnectionQueue {
        ConnectionQueue::default()
    }

    /// Takes a new connection. Returns `None` if those that wait already take the processor
    /// for as long as a caller may wait; the connection is then to be closed unread.
    pub fn take(&mut self, now: ClockTime) -> Option<WaitingConnection> {
        let wait = self.read_time * f64::from(self.waiting + 1);
        if self.waiting > 0 && wait > MAX_READ_WAIT.as_millis() as f64 {
            return None;
        }
        Some(self.take_always(now))
    }

    /// Takes a new connection that can't be made elsewhere.
    pub fn take_always(&mut self, now: ClockTime) -> WaitingConnection {
        let ahead = self.waiting;
        self.waiting += 1;
        WaitingConnection {
            taken_at: now,
            ahead,
        }
    }

    /// Records that the processor has got to a connection and reads it.
    pub fn note_read(&mut self, now: ClockTime, connection: &WaitingConnection) {
        self.waiting = self.waiting.saturating_sub(1);
        // A single long wait is a pause of the process and says little about the next ones.
        let wait = now.since(connection.taken_at).min(MAX_READ_WAIT);
        let read_time = wait.as_millis() as f64 / f64::from(connection.ahead + 1);
        self.read_time += READ_TIME_WEIGHT * (read_time - self.read_time);
    }

    /// How many connections wait to be read.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }
}
