//! How much of a request's body has come, and when a client that pauses within it falls behind the minimum rate.

use crate::body::{BODY_GRACE, time_at_min_rate};
use std::time::{Duration, Instant};

/// Longest pause within a body, whatever has come of it. Bounds how long a client that has stopped counts as active.
const MAX_PAUSE: Duration = Duration::from_millis(2200);

/// The part of a body that has come.
#[derive(Debug, Clone, Copy)]
pub struct BodyProgress {
    began: Instant,
    last_read: Instant,
    received: u64,
    length: Option<u64>,
}

impl BodyProgress {
    /// A body that begins now, with the length that its head states.
    pub fn new(now: Instant, length: Option<u64>) -> Self {
        BodyProgress {
            began: now,
            last_read: now,
            received: 0,
            length,
        }
    }

    /// Counts bytes that were read now.
    pub fn record(&mut self, now: Instant, bytes: usize) {
        self.last_read = now;
        self.received += bytes as u64;
    }

    /// When the client falls behind the minimum rate if nothing more comes. A short body is due sooner than the grace.
    pub fn due(&self) -> Instant {
        let grace = self.length.map_or(BODY_GRACE, |length| {
            BODY_GRACE.min(time_at_min_rate(length))
        });
        let at_min_rate = self.began + grace + time_at_min_rate(self.received);
        at_min_rate.min(self.last_read + MAX_PAUSE)
    }
}

#[cfg(test)]
mod tests;
