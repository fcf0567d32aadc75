//! Histories drawn at random: faults of all kinds, one over the other, and what has to hold in each.

use super::world::play;
use super::{DutyPlan, FleetDay, FleetFault, FleetPlan, What, Whom};
use crate::rng::SeededRng;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(20);
const LEASE: Duration = Duration::from_secs(1);

/// Sums over all histories.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Sums {
    pub histories: u64,
    pub acts: u64,
    pub owners: u64,
    pub stale_tries: u64,
    pub hits: u64,
    /// The seed and what broke.
    pub broken: Vec<(u64, String)>,
}

/// A history's plan.
pub fn draw(seed: u64, fence: bool) -> (FleetPlan, usize) {
    let mut chance = SeededRng::stream(seed, "history", 0);
    let ms = |n: usize| Duration::from_millis(n as u64);
    let instances = 3 + chance.below(5);
    let mut faults = Vec::new();
    for _ in 0..2 + chance.below(7) {
        let from = ms(2000 + chance.below(12_000));
        let to = from + ms(200 + chance.below(5000));
        let some = |chance: &mut SeededRng| {
            let list: Vec<usize> = (0..instances).filter(|_| chance.uniform() < 0.4).collect();
            if list.is_empty() {
                vec![chance.below(instances)]
            } else {
                list
            }
        };
        let whom = match chance.below(4) {
            0 => Whom::These(some(&mut chance)),
            1 => Whom::Voters,
            2 => Whom::Minority,
            _ => Whom::Owner,
        };
        let all = Whom::These((0..instances).collect());
        let (whom, what) = match chance.below(9) {
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
                    out: chance.uniform() < 0.5,
                    back: false,
                },
            ),
            2 => (all, What::Lose(0.6 * chance.uniform())),
            3 => (
                all,
                What::Late {
                    by: ms(chance.below(600)),
                    spread: ms(chance.below(900)),
                },
            ),
            4 => (all, What::Twice(chance.uniform())),
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
        // With an act in hand, which arrives only when all else has gone on.
        if what == What::Pause && chance.uniform() < 0.7 {
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
        every: ms(20 + chance.below(200)),
        within: ms(300),
        work: ms(chance.below(120)),
    };
    let plan = FleetPlan {
        lease: LEASE,
        period: ms(500),
        voters: 5,
        state: chance.uniform() < 0.3,
        duties: vec![duty],
        faults,
        fence,
        work: None,
    };
    (plan, instances)
}

/// What has to hold in every history.
pub fn judge(day: &FleetDay) -> Result<(), String> {
    if let Some(believers) = day.believers.filter(|n| *n > 1) {
        return Err(format!("{believers} took themselves for the owner at once"));
    }
    if day.stale_acts() > 0 || day.owners_at_once() > 1 {
        return Err(format!(
            "{} acts of an old owner were obeyed",
            day.stale_acts()
        ));
    }
    if day.longest > passroad_peers::MAX_DATAGRAM_BYTES {
        return Err(format!("a datagram of {} bytes", day.longest));
    }
    if day.acts.is_empty() {
        return Err("nothing was ever done".into());
    }
    Ok(())
}

/// So many histories from a seed on, on some threads; the sums are the same for any number of those.
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
                    let day = play(&plan, instances, LENGTH, Duration::from_micros(500), seed);
                    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
                    sums.histories += 1;
                    sums.acts += day.acts.len() as u64;
                    sums.owners += day.owners() as u64;
                    sums.stale_tries += day.stale_tries() as u64;
                    sums.hits += day.hits as u64;
                    sums.broken
                        .extend(judge(&day).err().map(|what| (seed, what)));
                }
            });
        }
    });
    let mut sums = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    sums.broken.sort();
    sums
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // Twice, over other threads, and each with owners that changed and faults that bit.
    #[rstest]
    fn in_no_history_do_two_own_it_or_is_an_old_one_obeyed() {
        let sums = run(1, 150, 2, true);
        assert_eq!(sums.broken, []);
        assert!(
            sums.owners > 2 * sums.histories && sums.hits > 100 * sums.histories,
            "{sums:?}"
        );
        assert!(sums.stale_tries > 0, "{sums:?}");
        assert_eq!(sums, run(1, 150, 3, true));
    }

    #[rstest]
    fn without_the_fence_old_owners_are_obeyed() {
        let sums = run(1, 150, 3, false);
        assert!(
            sums.broken
                .iter()
                .any(|(_, what)| what.contains("old owner")),
            "{sums:?}"
        );
        assert!(
            sums.broken
                .iter()
                .all(|(_, what)| !what.contains("at once")),
            "{sums:?}"
        );
    }
}
