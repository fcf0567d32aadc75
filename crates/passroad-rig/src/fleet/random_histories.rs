//! Randomly generated runs (histories) with overlapping faults of all kinds, and the properties that must hold in each.

use super::simulation::simulate;
use super::{
    FleetFault, FleetFaultKind, FleetFaultTarget, FleetPlan, FleetResults, LeasedRolePlan,
};
use crate::rng::SeededRng;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Length of a history.
const LENGTH: Duration = Duration::from_secs(20);
const LEASE: Duration = Duration::from_secs(1);

/// Totals over all histories.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct HistoryTotals {
    pub histories: u64,
    pub acts: u64,
    pub ownerships: u64,
    pub refused_acts: u64,
    pub fault_hits: u64,
    /// The seed and the violated property of each history that failed.
    pub broken: Vec<(u64, String)>,
}

/// Draws the plan of a history and its number of sidecars.
pub fn random_plan(seed: u64, fence: bool) -> (FleetPlan, usize) {
    let mut rng = SeededRng::stream(seed, "history", 0);
    let ms = |millis: usize| Duration::from_millis(millis as u64);
    let instances = 3 + rng.below(5);
    let mut faults = Vec::new();
    for _ in 0..2 + rng.below(7) {
        let from = ms(2000 + rng.below(12_000));
        let to = from + ms(200 + rng.below(5000));
        let random_instances = |rng: &mut SeededRng| {
            let list: Vec<usize> = (0..instances).filter(|_| rng.uniform() < 0.4).collect();
            if list.is_empty() {
                vec![rng.below(instances)]
            } else {
                list
            }
        };
        let target = match rng.below(4) {
            0 => FleetFaultTarget::Instances(random_instances(&mut rng)),
            1 => FleetFaultTarget::Voters,
            2 => FleetFaultTarget::Minority,
            _ => FleetFaultTarget::Owner,
        };
        let all = FleetFaultTarget::Instances((0..instances).collect());
        let (target, kind) = match rng.below(9) {
            0 => (
                target,
                FleetFaultKind::Cut {
                    out: true,
                    back: true,
                },
            ),
            1 => (
                target,
                FleetFaultKind::Cut {
                    out: rng.uniform() < 0.5,
                    back: false,
                },
            ),
            2 => (all, FleetFaultKind::Loss(0.6 * rng.uniform())),
            3 => (
                all,
                FleetFaultKind::Delay {
                    delay: ms(rng.below(600)),
                    jitter: ms(rng.below(900)),
                },
            ),
            4 => (all, FleetFaultKind::Duplication(rng.uniform())),
            5 => (target, FleetFaultKind::HoldBack),
            6 => (target, FleetFaultKind::Pause),
            7 => (target, FleetFaultKind::Kill),
            _ => (target, FleetFaultKind::Stop),
        };
        let kind = if kind
            == (FleetFaultKind::Cut {
                out: false,
                back: false,
            }) {
            FleetFaultKind::Cut {
                out: false,
                back: true,
            }
        } else {
            kind
        };
        // Often the paused sidecar has a call under way that arrives only after the pause.
        if kind == FleetFaultKind::Pause && rng.uniform() < 0.7 {
            let before = from - ms(300);
            let to = Some(to + ms(500));
            faults.push(FleetFault {
                from: before,
                to,
                target: target.clone(),
                others: None,
                kind: FleetFaultKind::HoldBackCalls,
            });
        }
        faults.push(FleetFault {
            from,
            to: Some(to),
            target,
            others: None,
            kind,
        });
    }
    let role = LeasedRolePlan {
        name: "sweep".into(),
        interval: ms(20 + rng.below(200)),
        timeout: ms(300),
        act_duration: ms(rng.below(120)),
    };
    let plan = FleetPlan {
        lease: LEASE,
        period: ms(500),
        voters: 5,
        persist_votes: rng.uniform() < 0.3,
        leased_roles: vec![role],
        faults,
        fence,
        maintenance: None,
    };
    (plan, instances)
}

/// Checks the properties that must hold in every history.
pub fn check(results: &FleetResults) -> Result<(), String> {
    if let Some(believers) = results.max_believed_owners.filter(|count| *count > 1) {
        return Err(format!(
            "{believers} sidecars believed to be the owner at once"
        ));
    }
    if results.stale_acts() > 0 || results.owners_at_once() > 1 {
        return Err(format!(
            "{} acts of an old owner were accepted",
            results.stale_acts()
        ));
    }
    if results.longest_datagram_bytes > passroad_peers::MAX_DATAGRAM_BYTES {
        return Err(format!(
            "a datagram had {} bytes, more than allowed",
            results.longest_datagram_bytes
        ));
    }
    if results.acts.is_empty() {
        return Err("no act reached the resource".into());
    }
    Ok(())
}

/// Runs histories with consecutive seeds on several threads; the totals don't depend on the number of threads.
pub fn run(from: u64, count: u64, threads: usize, fence: bool) -> HistoryTotals {
    let (next, totals) = (AtomicU64::new(from), Mutex::new(HistoryTotals::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= from + count {
                        return;
                    }
                    let (plan, instances) = random_plan(seed, fence);
                    let results =
                        simulate(&plan, instances, LENGTH, Duration::from_micros(500), seed);
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.histories += 1;
                    totals.acts += results.acts.len() as u64;
                    totals.ownerships += results.ownership_count() as u64;
                    totals.refused_acts += results.refused_acts() as u64;
                    totals.fault_hits += results.fault_hits as u64;
                    totals
                        .broken
                        .extend(check(&results).err().map(|violation| (seed, violation)));
                }
            });
        }
    });
    let mut totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    totals.broken.sort();
    totals
}

#[cfg(test)]
mod tests;
