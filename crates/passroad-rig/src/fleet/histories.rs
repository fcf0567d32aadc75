//! Randomly generated runs (histories) with overlapping faults of all kinds, and the properties that must hold in each.

use super::world::play;
use super::{DutyPlan, FleetDay, FleetFault, FleetPlan, What, Whom};
use crate::rng::SeededRng;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Length of a history.
const LENGTH: Duration = Duration::from_secs(20);
const LEASE: Duration = Duration::from_secs(1);

/// Totals over all histories.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Sums {
    pub histories: u64,
    pub acts: u64,
    pub owners: u64,
    pub stale_tries: u64,
    pub hits: u64,
    /// The seed and the violated property of each history that failed.
    pub broken: Vec<(u64, String)>,
}

/// Draws the plan of a history and its number of sidecars.
pub fn draw(seed: u64, fence: bool) -> (FleetPlan, usize) {
    let mut rng = SeededRng::stream(seed, "history", 0);
    let ms = |n: usize| Duration::from_millis(n as u64);
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
        let whom = match rng.below(4) {
            0 => Whom::These(random_instances(&mut rng)),
            1 => Whom::Voters,
            2 => Whom::Minority,
            _ => Whom::Owner,
        };
        let all = Whom::These((0..instances).collect());
        let (whom, what) = match rng.below(9) {
            0 => (
                whom,
                What::Cut {
                    out: true,
                    back: true,
                },
            ),
            1 => (
                whom,
                What::Cut {
                    out: rng.uniform() < 0.5,
                    back: false,
                },
            ),
            2 => (all, What::Lose(0.6 * rng.uniform())),
            3 => (
                all,
                What::Late {
                    by: ms(rng.below(600)),
                    spread: ms(rng.below(900)),
                },
            ),
            4 => (all, What::Twice(rng.uniform())),
            5 => (whom, What::Keep),
            6 => (whom, What::Pause),
            7 => (whom, What::Kill),
            _ => (whom, What::Stop),
        };
        let what = if what
            == (What::Cut {
                out: false,
                back: false,
            }) {
            What::Cut {
                out: false,
                back: true,
            }
        } else {
            what
        };
        // Often the paused sidecar has a call under way that arrives only after the pause.
        if what == What::Pause && rng.uniform() < 0.7 {
            let before = from - ms(300);
            let to = Some(to + ms(500));
            faults.push(FleetFault {
                from: before,
                to,
                whom: whom.clone(),
                others: None,
                what: What::ActsKeep,
            });
        }
        faults.push(FleetFault {
            from,
            to: Some(to),
            whom,
            others: None,
            what,
        });
    }
    let duty = DutyPlan {
        name: "sweep".into(),
        every: ms(20 + rng.below(200)),
        within: ms(300),
        work: ms(rng.below(120)),
    };
    let plan = FleetPlan {
        lease: LEASE,
        period: ms(500),
        voters: 5,
        state: rng.uniform() < 0.3,
        duties: vec![duty],
        faults,
        fence,
        work: None,
    };
    (plan, instances)
}

/// Checks the properties that must hold in every history.
pub fn judge(results: &FleetDay) -> Result<(), String> {
    if let Some(believers) = results.believers.filter(|n| *n > 1) {
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
    if results.longest > passroad_peers::MAX_DATAGRAM_BYTES {
        return Err(format!(
            "a datagram had {} bytes, more than allowed",
            results.longest
        ));
    }
    if results.acts.is_empty() {
        return Err("no act reached the resource".into());
    }
    Ok(())
}

/// Runs histories with consecutive seeds on several threads; the totals don't depend on the number of threads.
pub fn run(from: u64, count: u64, threads: usize, fence: bool) -> Sums {
    let (next, sums) = (AtomicU64::new(from), Mutex::new(Sums::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= from + count {
                        return;
                    }
                    let (plan, instances) = draw(seed, fence);
                    let results = play(&plan, instances, LENGTH, Duration::from_micros(500), seed);
                    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
                    sums.histories += 1;
                    sums.acts += results.acts.len() as u64;
                    sums.owners += results.owners() as u64;
                    sums.stale_tries += results.stale_tries() as u64;
                    sums.hits += results.hits as u64;
                    sums.broken
                        .extend(judge(&results).err().map(|violation| (seed, violation)));
                }
            });
        }
    });
    let mut sums = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    sums.broken.sort();
    sums
}

#[cfg(test)]
mod tests;
