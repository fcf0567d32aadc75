//! Whether the remaining machines have the capacity for one more to be taken out.

use crate::MachineId;
use std::collections::BTreeSet;
use std::time::Duration;

/// How many machines may be unavailable at once, and what has to remain.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Machines that are under maintenance, down, draining or cold, together.
    pub max_out: usize,
    /// The same within one zone.
    pub max_out_per_zone: usize,
    /// The same within one cell of a zone: a host, a rack, or whatever the list uses cells for.
    pub max_out_per_cell: usize,
    /// Share of the remaining machines' size that the current load must leave free.
    pub capacity_reserve: f64,
    /// How long a machine takes to be warm after it returns.
    pub warm_up_time: Duration,
    /// Sidecars that started within this time of each other are a new fleet, which can't have lost an operation log.
    pub fleet_start_window: Duration,
}

impl Eq for Limits {}

/// A machine as the endpoint list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedMachine {
    pub machine: MachineId,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub size: f64,
    /// Up, warm and not failing.
    pub healthy: bool,
    /// The share of its size that is in use, where that is known.
    pub utilization: Option<f64>,
}

/// Machines that count as unavailable: under maintenance, or not healthy.
fn unavailable<'a>(
    machines: &'a [ListedMachine],
    out: &'a BTreeSet<MachineId>,
) -> impl Iterator<Item = &'a ListedMachine> {
    machines
        .iter()
        .filter(|s| out.contains(&s.machine) || !s.healthy)
}

/// Whether more machines are unavailable than allowed, because others have failed in the meantime.
pub fn exceeds_limit(
    limits: &Limits,
    machines: &[ListedMachine],
    out: &BTreeSet<MachineId>,
) -> bool {
    unavailable(machines, out).count() > limits.max_out
}

/// Whether a machine may be taken out in addition to those that are.
pub fn can_take_out(
    limits: &Limits,
    machines: &[ListedMachine],
    out: &BTreeSet<MachineId>,
    machine: MachineId,
) -> bool {
    let Some(own) = machines.iter().find(|s| s.machine == machine) else {
        return false;
    };
    // The machine itself doesn't count against the limits, so one that is already down may be taken out.
    let others = || unavailable(machines, out).filter(|s| s.machine != machine);
    if others().count() >= limits.max_out {
        return false;
    }
    if others().filter(|s| s.zone == own.zone).count() >= limits.max_out_per_zone {
        return false;
    }
    if others()
        .filter(|s| (s.zone, s.cell) == (own.zone, own.cell))
        .count()
        >= limits.max_out_per_cell
    {
        return false;
    }
    let stays = |s: &&ListedMachine| s.healthy && s.machine != machine && !out.contains(&s.machine);
    // Never the last machine of a kind: a request class may be bound to that kind.
    if !machines.iter().filter(stays).any(|s| s.kind == own.kind) {
        return false;
    }
    let in_use: f64 = machines
        .iter()
        .filter(|s| s.healthy)
        .map(|s| s.utilization.unwrap_or(0.0) * s.size)
        .sum();
    let left: f64 = machines.iter().filter(stays).map(|s| s.size).sum();
    in_use <= left * (1.0 - limits.capacity_reserve)
}
