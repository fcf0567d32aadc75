//! How far an upload is behind its client: the client's time starts at the last byte that it writes, which may wait in the buffers of
//! both systems until the endpoint has taken what came before.

use std::time::Duration;
use tokio::time::Instant;

/// What both systems may hold of a body that the client has written.
const MAX_SYSTEM_BUFFER_BYTES: usize = 4 << 20;
/// A client from which nothing came for this long had nothing written that was not read.
const MIN_IDLE_TIME: Duration = Duration::from_millis(5);

/// A point of an upload.
#[derive(Clone, Copy)]
struct Mark {
    at: Instant,
    received: usize,
}

/// Follows an upload, and tells since when its client may have been waiting for the response.
pub struct UploadLag {
    caught_up_at: Instant,
    idle_since: Option<Instant>, // nothing is there to be read
    marks: [Mark; 2],            // half of the systems' buffers apart
}

impl UploadLag {
    pub fn new(now: Instant) -> Self {
        let start = Mark {
            at: now,
            received: 0,
        };
        UploadLag {
            caught_up_at: now,
            idle_since: None,
            marks: [start; 2],
        }
    }

    /// Nothing more has come. `unread` is whether the socket has input even so.
    pub fn record_nothing(&mut self, now: Instant, unread: bool) {
        self.idle_since = match unread {
            true => None,
            false => self.idle_since.or(Some(now)),
        };
    }

    /// More has come, `received` bytes in all.
    pub fn record_received(&mut self, now: Instant, received: usize) {
        if self.is_idle(now) {
            self.caught_up_at = now;
        }
        self.idle_since = None;
        let [_, latest] = self.marks;
        if received - latest.received >= MAX_SYSTEM_BUFFER_BYTES / 2 {
            self.marks = [latest, Mark { at: now, received }];
        }
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.idle_since
            .is_some_and(|since| now.duration_since(since) >= MIN_IDLE_TIME)
    }

    /// The earliest time at which the client may have written the last byte.
    pub fn behind_since(&self, now: Instant) -> Instant {
        if self.is_idle(now) {
            return now;
        }
        self.caught_up_at.max(self.marks[0].at)
    }
}

#[cfg(test)]
mod tests;
