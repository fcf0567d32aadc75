//! Sidecars that talk: what an experiment says of it, the faults between them, the acts at the resource, and the same in
//! virtual time.

pub mod histories;
pub mod wires;
pub mod world;

use passroad::fleet::LeasedTask;
use passroad_lease::{candidate_order, voters_for};
use std::time::Duration;

/// What an experiment says of sidecars that talk.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub lease: Duration,
    pub period: Duration,
    pub voters: usize,
    /// Whether voters keep what they have said on a disk.
    pub state: bool,
    pub duties: Vec<DutyPlan>,
    pub faults: Vec<FleetFault>,
    /// Whether the resource refuses lower epochs; without, an experiment shows what the fence is for.
    pub fence: bool,
    pub work: Option<WorkPlan>,
}

/// Machines that operators ask for.
#[derive(Debug, Clone)]
pub struct WorkPlan {
    /// How long somebody works on one.
    pub lasts: Duration,
    pub at_once: usize,
    /// When, at which sidecar, which.
    pub requests: Vec<(Duration, usize, Vec<usize>)>,
}

/// Somebody worked on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Worked {
    pub endpoint: usize,
    pub from: Duration,
    pub to: Duration,
}

#[derive(Debug, Clone)]
pub struct DutyPlan {
    pub name: String,
    pub every: Duration,
    pub within: Duration,
    pub work: Duration, // of an act at the resource
}

#[derive(Debug, Clone)]
pub struct FleetFault {
    pub from: Duration,
    pub to: Option<Duration>,
    pub whom: Whom,
    /// Of faults between sidecars, the other side; left out, all others.
    pub others: Option<Vec<usize>>,
    pub what: What,
}

/// Whom a fault is to hit; who that is may be known only when it comes.
#[derive(Debug, Clone, PartialEq)]
pub enum Whom {
    These(Vec<usize>),
    /// Whose act was last accepted.
    Owner,
    /// The owner and others, together just short of a majority of the voters.
    Minority,
    /// A majority of the voters on the first duty.
    Voters,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum What {
    Cut {
        out: bool,
        back: bool,
    },
    Lose(f64),
    Late {
        by: Duration,
        spread: Duration,
    },
    Twice(f64),
    /// Held until the fault ends, then all delivered.
    Keep,
    Pause,
    Kill,
    Stop,
    /// Calls to the resource are held until the fault ends, then all delivered.
    ActsKeep,
}

impl What {
    pub fn between(self) -> bool {
        !matches!(self, What::Pause | What::Kill | What::Stop | What::ActsKeep)
    }
}

/// Starts anew after so long where a fault does not say.
pub const RESTART: Duration = Duration::from_millis(500);

impl Whom {
    /// Who that is now.
    pub fn find(&self, plan: &FleetPlan, instances: usize, owner: Option<usize>) -> Vec<usize> {
        let mark = match plan.duties.first() {
            Some(duty) => duty.mark(),
            None => passroad_choice::interner::stable_hash("upkeep"),
        };
        let voters: Vec<usize> = voters_for(mark, instances, plan.voters)
            .into_iter()
            .map(usize::from)
            .collect();
        let first = || {
            candidate_order(mark, instances)
                .first()
                .map_or(0, |n| usize::from(*n))
        };
        match self {
            Whom::These(list) => list.clone(),
            Whom::Owner => vec![owner.unwrap_or_else(first)],
            Whom::Minority => {
                let owner = owner.unwrap_or_else(first);
                let most = voters.len() / 2;
                let mut some: Vec<usize> = voters.iter().copied().filter(|n| *n != owner).collect();
                some.truncate(most - usize::from(voters.contains(&owner)));
                some.push(owner);
                some
            }
            Whom::Voters => voters[..voters.len() / 2 + 1].to_vec(),
        }
    }
}

impl DutyPlan {
    pub fn mark(&self) -> u64 {
        passroad_choice::interner::stable_hash(&self.name)
    }

    pub fn orders(&self) -> LeasedTask {
        let call = Some(hyper::Uri::from_static("http://127.0.0.1:1/"));
        LeasedTask {
            name: self.name.clone(),
            key: self.mark(),
            interval: self.every,
            call,
            timeout: self.within,
        }
    }
}

/// What came to the resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Act {
    pub at: Duration,
    pub duty: usize,
    pub epoch: u64,
    pub owner: usize,
    pub accepted: bool,
}

/// One ownership, as the resource saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Reign {
    pub duty: usize,
    pub epoch: u64,
    pub owner: usize,
    pub first: Duration,
    pub last: Duration,
    pub acts: usize,
}

/// What is known of a day of sidecars that talk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetDay {
    pub acts: Vec<Act>,
    pub datagrams: Vec<u64>, // that each sent
    pub longest: usize,      // bytes of a datagram
    pub seconds: f64,
    /// Most that took themselves for the owner of a duty at the same time; seen in virtual time only.
    pub believers: Option<usize>,
    pub doubts: u64,
    pub refuted: u64,
    pub works: Vec<Worked>,
    pub hits: usize, // what faults did: datagrams lost, kept, doubled or late, processes stopped
}

impl FleetDay {
    /// Of each duty, accepted acts in order.
    fn accepted(&self, duty: usize) -> impl Iterator<Item = &Act> {
        self.acts
            .iter()
            .filter(move |a| a.accepted && a.duty == duty)
    }

    fn duties(&self) -> std::ops::Range<usize> {
        0..self.acts.iter().map(|a| a.duty + 1).max().unwrap_or(0)
    }

    /// Most epochs of a duty whose accepted acts lie between each other's: more than one, and two were obeyed at once.
    pub fn owners_at_once(&self) -> usize {
        let mut most = 0;
        for duty in self.duties() {
            let mut spans: Vec<(u64, usize, usize)> = Vec::new();
            for (n, act) in self.accepted(duty).enumerate() {
                match spans.iter_mut().find(|(epoch, ..)| *epoch == act.epoch) {
                    Some((_, _, last)) => *last = n,
                    None => spans.push((act.epoch, n, n)),
                }
            }
            let at = |n: usize| {
                spans
                    .iter()
                    .filter(|(_, first, last)| (*first..=*last).contains(&n))
                    .count()
            };
            most = most.max(
                spans
                    .iter()
                    .map(|(_, first, _)| at(*first))
                    .max()
                    .unwrap_or(0),
            );
        }
        most
    }

    /// Accepted though a higher epoch had been, or though the same was another's.
    pub fn stale_acts(&self) -> usize {
        let mut stale = 0;
        for duty in self.duties() {
            let mut highest = (0, usize::MAX);
            for act in self.accepted(duty) {
                stale += usize::from(
                    act.epoch < highest.0 || act.epoch == highest.0 && act.owner != highest.1,
                );
                if act.epoch > highest.0 {
                    highest = (act.epoch, act.owner);
                }
            }
        }
        stale
    }

    pub fn stale_tries(&self) -> usize {
        self.acts.iter().filter(|a| !a.accepted).count()
    }

    /// Longest time with no accepted act of some duty, in seconds.
    pub fn unowned(&self, window: &std::ops::Range<Duration>, duties: usize) -> f64 {
        let longest = |duty: usize| {
            let (mut last, mut most) = (window.start, Duration::ZERO);
            let own = self
                .accepted(duty)
                .map(|a| a.at)
                .filter(|at| window.contains(at));
            for at in own.chain([window.end]) {
                most = most.max(at.saturating_sub(last));
                last = at;
            }
            most.as_secs_f64()
        };
        (0..duties).map(longest).fold(0.0, f64::max)
    }

    /// Of the one that sent most, a second.
    pub fn peer_datagrams(&self) -> f64 {
        self.datagrams.iter().copied().max().unwrap_or(0) as f64 / self.seconds.max(1e-9)
    }

    /// Who owned what, in order of the first act: duty, epoch, owner, first and last accepted act, how many.
    pub fn reigns(&self) -> Vec<Reign> {
        let mut reigns: Vec<Reign> = Vec::new();
        for act in self.acts.iter().filter(|a| a.accepted) {
            let same =
                |r: &&mut Reign| (r.duty, r.epoch, r.owner) == (act.duty, act.epoch, act.owner);
            match reigns.iter_mut().find(same) {
                Some(reign) => (reign.last, reign.acts) = (act.at, reign.acts + 1),
                None => reigns.push(Reign {
                    duty: act.duty,
                    epoch: act.epoch,
                    owner: act.owner,
                    first: act.at,
                    last: act.at,
                    acts: 1,
                }),
            }
        }
        reigns
    }

    /// Most machines at work at once.
    pub fn at_work(&self) -> usize {
        let at = |t: Duration| {
            self.works
                .iter()
                .filter(|w| w.from <= t && t < w.to)
                .count()
        };
        self.works.iter().map(|w| at(w.from)).max().unwrap_or(0)
    }

    /// Machines on which work was done.
    pub fn worked(&self) -> usize {
        let mut all: Vec<usize> = self.works.iter().map(|w| w.endpoint).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    pub fn owners(&self) -> usize {
        let mut epochs: Vec<_> = self
            .acts
            .iter()
            .filter(|a| a.accepted)
            .map(|a| (a.duty, a.epoch))
            .collect();
        epochs.sort_unstable();
        epochs.dedup();
        epochs.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn day(acts: &[(u64, usize, bool)]) -> FleetDay {
        let act = |(n, &(epoch, owner, accepted)): (usize, &(u64, usize, bool))| Act {
            at: Duration::from_millis(100 * n as u64),
            duty: 0,
            epoch,
            owner,
            accepted,
        };
        FleetDay {
            acts: acts.iter().enumerate().map(act).collect(),
            ..FleetDay::default()
        }
    }

    #[rstest]
    #[case::in_order(&[(5, 1, true), (5, 1, true), (7, 2, true)], (1, 0, 0))]
    #[case::refused(&[(5, 1, true), (7, 2, true), (5, 1, false), (7, 2, true)], (1, 0, 1))]
    #[case::obeyed(&[(5, 1, true), (7, 2, true), (5, 1, true), (7, 2, true)], (2, 1, 0))]
    #[case::same_epoch(&[(5, 1, true), (5, 2, true)], (1, 1, 0))]
    fn acts_are_judged_by_their_order(
        #[case] acts: &[(u64, usize, bool)],
        #[case] figures: (usize, usize, usize),
    ) {
        let day = day(acts);
        assert_eq!(
            (day.owners_at_once(), day.stale_acts(), day.stale_tries()),
            figures
        );
    }

    #[rstest]
    fn the_longest_gap_counts_from_the_window_and_to_its_end() {
        let day = day(&[(5, 1, true), (5, 1, true), (5, 1, false)]);
        let window = Duration::ZERO..Duration::from_secs(1);
        assert!((day.unowned(&window, 1) - 0.9).abs() < 1e-9);
        assert!((day.unowned(&window, 2) - 1.0).abs() < 1e-9);
    }
}
