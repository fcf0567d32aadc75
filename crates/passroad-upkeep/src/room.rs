//! Whether one more machine may be out.

use crate::Machine;
use std::collections::BTreeSet;
use std::time::Duration;

/// What may be out at once, and what is to be left.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Machines that are out for work, down, draining or cold, together.
    pub at_once: usize,
    /// The same in one zone.
    pub at_once_in_a_zone: usize,
    /// The same in one cell of a zone: a host, a rack, whatever the list's cells are.
    pub at_once_in_a_cell: usize,
    /// Of the size that is in use, so much is to stay free of what is asked now.
    pub reserve: f64,
    /// How long one that is back takes to be warm.
    pub warm: Duration,
    /// Sidecars that began within so long of each other have begun a fleet, and forgotten nothing.
    pub together: Duration,
}

impl Eq for Limits {}

/// A machine as the list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    pub machine: Machine,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub size: f64,
    /// Up, warm and not failing.
    pub sound: bool,
    /// The share of it that is asked now, where that is known.
    pub busy: Option<f64>,
}

/// Machines that count as out: for work, or not sound.
fn gone<'a>(seen: &'a [Seen], away: &'a BTreeSet<Machine>) -> impl Iterator<Item = &'a Seen> {
    seen.iter()
        .filter(|s| away.contains(&s.machine) || !s.sound)
}

/// Whether more are out than may be: others have failed meanwhile.
pub fn too_many(limits: &Limits, seen: &[Seen], away: &BTreeSet<Machine>) -> bool {
    gone(seen, away).count() > limits.at_once
}

/// Whether a machine may be taken out beside those that are away.
pub fn fits(limits: &Limits, seen: &[Seen], away: &BTreeSet<Machine>, machine: Machine) -> bool {
    let Some(own) = seen.iter().find(|s| s.machine == machine) else {
        return false;
    };
    // One that is down already makes nothing worse, but for what it counts itself.
    let others = || gone(seen, away).filter(|s| s.machine != machine);
    if others().count() >= limits.at_once {
        return false;
    }
    if others().filter(|s| s.zone == own.zone).count() >= limits.at_once_in_a_zone {
        return false;
    }
    if others()
        .filter(|s| (s.zone, s.cell) == (own.zone, own.cell))
        .count()
        >= limits.at_once_in_a_cell
    {
        return false;
    }
    let stays = |s: &&Seen| s.sound && s.machine != machine && !away.contains(&s.machine);
    // Never the last of all, nor of a kind, which a bound verb may need.
    if !seen.iter().filter(stays).any(|s| s.kind == own.kind) {
        return false;
    }
    let asked: f64 = seen
        .iter()
        .filter(|s| s.sound)
        .map(|s| s.busy.unwrap_or(0.0) * s.size)
        .sum();
    let left: f64 = seen.iter().filter(stays).map(|s| s.size).sum();
    asked <= left * (1.0 - limits.reserve)
}
