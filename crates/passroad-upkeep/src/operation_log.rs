//! The operation log as one sidecar knows it: an entry for each machine. Of two versions of an entry the one with the
//! higher epoch, then the higher step, replaces the other.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Hash of a machine's id, the same on every sidecar.
pub type MachineId = u64;
pub type Epoch = u64;

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MaintenanceState {
    Queued,
    /// No new commands are sent to it.
    Draining,
    /// Idle at every sidecar, or declared idle by an operator.
    UnderMaintenance,
    /// Maintenance has ended, but sidecars keep excluding the machine until a majority of the voters knows. Prevents a
    /// partitioned coordinator from returning a machine to use that its successor believes to be under maintenance.
    Completed,
    /// In use again, and cold.
    WarmingUp,
    /// Warm again; nothing more follows.
    Warm,
    /// Cancelled before its maintenance began.
    Withdrawn,
}

impl MaintenanceState {
    /// Whether sidecars exclude the machine.
    pub fn is_out(self) -> bool {
        matches!(
            self,
            MaintenanceState::Draining
                | MaintenanceState::UnderMaintenance
                | MaintenanceState::Completed
        )
    }

    /// Whether the machine's turn is over, so that it is in use again.
    pub fn is_over(self) -> bool {
        self == MaintenanceState::WarmingUp || self.is_finished()
    }

    /// Whether this is a final state.
    pub fn is_finished(self) -> bool {
        matches!(self, MaintenanceState::Warm | MaintenanceState::Withdrawn)
    }
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    pub machine: MachineId,
    pub request: u64,
    /// Place in the queue.
    pub position: u32,
    pub state: MaintenanceState,
    pub epoch: Epoch,
    pub step: u32,
    /// How long maintenance may take, in seconds, from when the machine is idle.
    pub duration_s: u32,
    /// End of the current phase (maintenance or warm-up), in seconds since 1970; 0 in other states.
    pub ends_at_s: u32,
    /// Whether the machine returns to use at that time without an operator.
    pub auto_return: bool,
}

impl Entry {
    pub fn version(&self) -> (Epoch, u32) {
        (self.epoch, self.step)
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct OperationLog {
    entries: BTreeMap<MachineId, Entry>,
}

impl OperationLog {
    /// Stores an entry if it is newer than the known one; returns whether it was.
    pub fn apply(&mut self, entry: Entry) -> bool {
        let newer = self
            .entries
            .get(&entry.machine)
            .is_none_or(|known| entry.version() > known.version());
        if newer {
            self.entries.insert(entry.machine, entry);
        }
        newer
    }

    pub fn apply_all(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.apply(*entry);
        }
    }

    pub fn get(&self, machine: MachineId) -> Option<&Entry> {
        self.entries.get(&machine)
    }

    /// All entries by their position.
    pub fn ordered(&self) -> Vec<Entry> {
        let mut all: Vec<Entry> = self.entries.values().copied().collect();
        all.sort_by_key(|entry| (entry.position, entry.machine));
        all
    }

    /// Entries of machines that sidecars exclude.
    pub fn out(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.state.is_out())
    }

    pub fn last_position(&self) -> u32 {
        self.entries
            .values()
            .map(|entry| entry.position)
            .max()
            .unwrap_or(0)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the oldest finished entries until at most `most` entries are left.
    pub fn prune_finished(&mut self, most: usize) {
        while self.entries.len() > most {
            let oldest = self
                .entries
                .values()
                .filter(|e| e.state.is_finished())
                .min_by_key(|e| e.version());
            let Some(machine) = oldest.map(|entry| entry.machine) else {
                return;
            };
            self.entries.remove(&machine);
        }
    }
}
