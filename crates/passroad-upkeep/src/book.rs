//! The order of work as one sidecar knows it: an entry a machine, of which the one of the higher epoch and step holds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A machine, by a number made of its id that is the same everywhere.
pub type Machine = u64;
pub type Epoch = u64;

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Taken into the order.
    Queued,
    /// Nothing new goes to it.
    Leaving,
    /// Empty at every sidecar, or said to be by an operator.
    AtWork,
    /// The work is done, and nothing goes to it until a majority knows so. Guards against a conductor that is cut off
    /// and takes a machine back which the next one takes for at work.
    Done,
    /// In use again, and cold.
    Returning,
    /// Warm again: done.
    Warm,
    /// Taken back before its turn came.
    Withdrawn,
}

impl State {
    /// Whether sidecars keep off it.
    pub fn out(self) -> bool {
        matches!(self, State::Leaving | State::AtWork | State::Done)
    }

    /// Whether nothing more is to come of it.
    pub fn over(self) -> bool {
        matches!(self, State::Warm | State::Withdrawn)
    }
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    pub machine: Machine,
    pub request: u64,
    /// Its place in the order.
    pub place: u32,
    pub state: State,
    pub epoch: Epoch,
    pub step: u32,
    /// How long the work may take, in seconds, from when the machine is empty.
    pub lasts: u32,
    /// When that time is over, in seconds since 1970; nothing before the work has begun.
    pub ends: u32,
    /// Whether it then comes back by itself.
    pub back: bool,
}

impl Entry {
    pub fn version(&self) -> (Epoch, u32) {
        (self.epoch, self.step)
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Book {
    entries: BTreeMap<Machine, Entry>,
}

impl Book {
    /// Takes an entry where it is newer than what is known; whether it was.
    pub fn take(&mut self, entry: Entry) -> bool {
        let newer = self
            .entries
            .get(&entry.machine)
            .is_none_or(|known| entry.version() > known.version());
        if newer {
            self.entries.insert(entry.machine, entry);
        }
        newer
    }

    pub fn take_all(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.take(*entry);
        }
    }

    pub fn get(&self, machine: Machine) -> Option<&Entry> {
        self.entries.get(&machine)
    }

    /// In their order.
    pub fn in_order(&self) -> Vec<Entry> {
        let mut all: Vec<Entry> = self.entries.values().copied().collect();
        all.sort_by_key(|entry| (entry.place, entry.machine));
        all
    }

    pub fn out(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.state.out())
    }

    pub fn last_place(&self) -> u32 {
        self.entries
            .values()
            .map(|entry| entry.place)
            .max()
            .unwrap_or(0)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries of which nothing more is to come, beyond so many, the oldest first.
    pub fn forget(&mut self, most: usize) {
        while self.entries.len() > most {
            let old = self
                .entries
                .values()
                .filter(|e| e.state.over())
                .min_by_key(|e| e.version());
            let Some(machine) = old.map(|entry| entry.machine) else {
                return;
            };
            self.entries.remove(&machine);
        }
    }
}
