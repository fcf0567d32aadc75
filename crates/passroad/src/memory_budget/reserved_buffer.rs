//! A buffer for a body that is kept, with memory reserved for all that it takes.

use super::{MemoryBudget, MemoryUse, Reservation};
use bytes::Bytes;
use std::sync::Arc;

/// A buffer of unknown final length grows by this much. Doubling would take up to twice what is reserved.
const GROWTH_BYTES: usize = 16 << 10;

/// Collects a body, and reserves memory for its whole capacity.
pub struct ReservedBuffer {
    data: Vec<u8>,
    budget: Option<Arc<MemoryBudget>>,
    reservation: Option<Reservation>,
    unreserved: usize, // capacity that counts with the command
}

impl ReservedBuffer {
    /// The first `unreserved` bytes need no reservation. Without a budget nothing does.
    pub fn new(budget: Option<Arc<MemoryBudget>>, unreserved: usize) -> Self {
        ReservedBuffer {
            data: Vec::new(),
            budget,
            reservation: None,
            unreserved,
        }
    }

    /// Bytes collected so far.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether nothing has been collected yet.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Makes room for this many bytes in all. False, and unchanged, if there is no memory for them.
    pub fn reserve_capacity(&mut self, capacity: usize) -> bool {
        if capacity <= self.data.capacity() {
            return true;
        }
        if capacity > self.unreserved
            && let Some(budget) = &self.budget
            && !budget.reserve_up_to(MemoryUse::Bodies, capacity, &mut self.reservation)
        {
            return false;
        }
        self.data.reserve_exact(capacity - self.data.len());
        true
    }

    /// Appends in any case. False if there was no memory: then no more may be collected.
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let length = self.data.len() + bytes.len();
        let capacity = match length > self.unreserved.max(self.data.capacity()) {
            true => length.next_multiple_of(GROWTH_BYTES),
            false => length,
        };
        let fits = self.reserve_capacity(capacity);
        if !fits {
            self.data.reserve_exact(bytes.len());
        }
        self.data.extend_from_slice(bytes);
        fits
    }

    /// What was collected. The memory is released with the last part of it.
    pub fn into_bytes(self) -> Bytes {
        let bytes = Bytes::from(self.data);
        match self.reservation {
            Some(reservation) => reservation.hold_for(bytes),
            None => bytes,
        }
    }
}

#[cfg(test)]
mod tests;
