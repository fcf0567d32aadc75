//! The ids of endpoints that have left the list: operators may still cordon them.

use passroad_choice::interner::stable_hash;
use std::collections::{HashSet, VecDeque};

/// Ids of removed endpoints that are remembered, at eight bytes each.
const MAX_REMOVED_IDS: usize = 16 << 10;

/// Hashes of ids that have left the list, limited to the latest ones.
#[derive(Default)]
pub struct RemovedIds {
    hashes: HashSet<u64>,
    order: VecDeque<u64>,
}

impl RemovedIds {
    /// Whether an id has left the list.
    pub fn has(&self, id: &str) -> bool {
        self.hashes.contains(&stable_hash(id))
    }

    /// The hashes, the latest last.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.order.iter().copied()
    }

    /// Notes that an id has left the list.
    pub fn note(&mut self, id_hash: u64) {
        if self.hashes.insert(id_hash) {
            self.order.push_back(id_hash);
        }
        if self.order.len() > MAX_REMOVED_IDS {
            self.order.pop_front().map(|old| self.hashes.remove(&old));
        }
    }
}
