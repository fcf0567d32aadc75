//! A guard beside the estimate: once the process really holds nearly as much as it may, it takes on no more than it has.
//!
//! What is freed stays with the allocator and is used again. So a process that holds much is not refused everything: it may take
//! on what ends, and no more, until the system has memory back.

use std::time::{Duration, Instant};

/// The resident memory is read again after this many reserved bytes.
const BYTES_BETWEEN_READS: usize = 128 << 10;
/// And after this time, if anything is reserved.
const TIME_BETWEEN_READS: Duration = Duration::from_millis(5);
/// Each further growth by one part in this many of the level lowers the cap.
const STEP_DIVISOR: usize = 64;
/// One part in this many of the budget may be used whatever is resident, so that the process goes on serving.
const FLOOR_DIVISOR: usize = 4;

/// What a reading has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GuardChange {
    /// No more than these bytes may be reserved.
    Closed(usize),
    Opened,
}

/// Follows the resident memory.
#[derive(Debug)]
pub(super) struct ResidentGuard {
    level: usize,
    next_level: usize, // at which the cap is lowered again
    cap: Option<usize>,
    reserved_since_read: usize,
    read_at: Option<Instant>,
}

impl ResidentGuard {
    /// Closes at this many resident bytes.
    pub(super) fn new(level: usize) -> Self {
        ResidentGuard {
            level,
            next_level: level,
            cap: None,
            reserved_since_read: 0,
            read_at: None,
        }
    }

    /// Sets another level.
    pub(super) fn set_level(&mut self, level: usize) {
        self.level = level;
        self.next_level = level;
    }

    fn step(&self) -> usize {
        self.level / STEP_DIVISOR
    }

    /// The most that may be reserved in all, if that is limited.
    pub(super) fn cap(&self) -> Option<usize> {
        self.cap
    }

    /// Whether the resident memory is to be read before these bytes are reserved.
    pub(super) fn is_due(&mut self, bytes: usize, now: Instant) -> bool {
        self.reserved_since_read += bytes;
        let is_old = self
            .read_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TIME_BETWEEN_READS);
        is_old || self.reserved_since_read >= BYTES_BETWEEN_READS
    }

    /// Takes in a reading, while these bytes of a budget are reserved.
    pub(super) fn observe(
        &mut self,
        resident: usize,
        used: usize,
        total: usize,
        now: Instant,
    ) -> Option<GuardChange> {
        (self.read_at, self.reserved_since_read) = (Some(now), 0);
        if resident >= self.next_level {
            self.next_level = resident + self.step();
            let cap = used.max(total / FLOOR_DIVISOR);
            let cap = self.cap.map_or(cap, |before| before.min(cap));
            let was_open = self.cap.replace(cap).is_none();
            return was_open.then_some(GuardChange::Closed(cap));
        }
        if resident + self.step() < self.level && self.cap.take().is_some() {
            self.next_level = self.level;
            return Some(GuardChange::Opened);
        }
        None
    }
}

#[cfg(test)]
mod tests;
