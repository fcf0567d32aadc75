//! Communicating sidecars: the plan of their leases, maintenance and faults, the acts at the fenced resource, and the results;
//! with a simulation in virtual time.

pub mod histories;
pub mod wires;
pub mod world;

use passroad::fleet::LeasedTask;
use passroad_lease::{candidate_order, voters_for};
use std::time::Duration;

/// The part of an experiment that concerns communication between sidecars.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub lease: Duration,
    pub period: Duration,
    pub voters: usize,
    /// Whether voters persist their votes.
    pub state: bool,
    pub duties: Vec<DutyPlan>,
    pub faults: Vec<FleetFault>,
    /// Whether the resource refuses lower epochs. Experiments disable it to show what it prevents.
    pub fence: bool,
    pub work: Option<WorkPlan>,
}

/// Maintenance that operators request.
#[derive(Debug, Clone)]
pub struct WorkPlan {
    /// How long the maintenance of one machine takes.
    pub lasts: Duration,
    pub at_once: usize,
    /// Time, sidecar that receives the request, and endpoints.
    pub requests: Vec<(Duration, usize, Vec<usize>)>,
}

/// A period in which a machine was under maintenance.
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
    pub work: Duration, // how long the resource takes for an act
}

#[derive(Debug, Clone)]
pub struct FleetFault {
    pub from: Duration,
    pub to: Option<Duration>,
    pub whom: Whom,
    /// For faults between sidecars, the other side; None for all others.
    pub others: Option<Vec<usize>>,
    pub what: What,
}

/// The sidecars that a fault affects; which ones these are may be known only when it begins.
#[derive(Debug, Clone, PartialEq)]
pub enum Whom {
    These(Vec<usize>),
    /// The owner whose act was accepted last.
    Owner,
    /// The owner and as many other voters as stay short of a majority.
    Minority,
    /// A majority of the voters for the first duty.
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
    /// Datagrams are held back until the fault ends, then all delivered.
    Keep,
    Pause,
    Kill,
    Stop,
    /// Calls to the resource are held back until the fault ends, then all delivered.
    ActsKeep,
}

impl What {
    /// Whether the fault concerns datagrams between sidecars.
    pub fn between(self) -> bool {
        !matches!(self, What::Pause | What::Kill | What::Stop | What::ActsKeep)
    }
}

/// Restart delay of a killed or stopped sidecar, unless the fault has its own.
pub const RESTART: Duration = Duration::from_millis(500);

impl Whom {
    /// The instances that are affected now.
    pub fn find(&self, plan: &FleetPlan, instances: usize, owner: Option<usize>) -> Vec<usize> {
        let key = match plan.duties.first() {
            Some(duty) => duty.mark(),
            None => passroad_choice::interner::stable_hash("upkeep"),
        };
        let voters: Vec<usize> = voters_for(key, instances, plan.voters)
            .into_iter()
            .map(usize::from)
            .collect();
        let first_candidate = || {
            candidate_order(key, instances)
                .first()
                .map_or(0, |instance| usize::from(*instance))
        };
        match self {
            Whom::These(list) => list.clone(),
            Whom::Owner => vec![owner.unwrap_or_else(first_candidate)],
            Whom::Minority => {
                let owner = owner.unwrap_or_else(first_candidate);
                let half = voters.len() / 2;
                let mut minority: Vec<usize> = voters
                    .iter()
                    .copied()
                    .filter(|voter| *voter != owner)
                    .collect();
                minority.truncate(half - usize::from(voters.contains(&owner)));
                minority.push(owner);
                minority
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

/// A call that the resource accepted or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Act {
    pub at: Duration,
    pub duty: usize,
    pub epoch: u64,
    pub owner: usize,
    pub accepted: bool,
}

/// One ownership of a duty, as seen by the resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Reign {
    pub duty: usize,
    pub epoch: u64,
    pub owner: usize,
    pub first: Duration,
    pub last: Duration,
    pub acts: usize,
}

/// The results of a run of communicating sidecars.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetDay {
    pub acts: Vec<Act>,
    pub datagrams: Vec<u64>, // sent, by sidecar
    pub longest: usize,      // bytes of the longest datagram
    pub seconds: f64,
    /// Largest number of sidecars that believed to own the first duty at the same time; known in virtual time only.
    pub believers: Option<usize>,
    pub doubts: u64,
    pub refuted: u64,
    pub works: Vec<Worked>,
    /// Effects of faults: datagrams lost, held back, duplicated or delayed, calls held back, processes stopped.
    pub hits: usize,
}

impl FleetDay {
    /// The accepted acts of a duty in order.
    fn accepted(&self, duty: usize) -> impl Iterator<Item = &Act> {
        self.acts
            .iter()
            .filter(move |act| act.accepted && act.duty == duty)
    }

    fn duties(&self) -> std::ops::Range<usize> {
        0..self.acts.iter().map(|act| act.duty + 1).max().unwrap_or(0)
    }

    /// Largest number of epochs of a duty whose accepted acts are interleaved; more than one means that the resource accepted two
    /// owners at the same time.
    pub fn owners_at_once(&self) -> usize {
        let mut maximum = 0;
        for duty in self.duties() {
            let mut spans: Vec<(u64, usize, usize)> = Vec::new();
            for (position, act) in self.accepted(duty).enumerate() {
                match spans.iter_mut().find(|(epoch, ..)| *epoch == act.epoch) {
                    Some((_, _, last)) => *last = position,
                    None => spans.push((act.epoch, position, position)),
                }
            }
            let overlapping = |position: usize| {
                spans
                    .iter()
                    .filter(|(_, first, last)| (*first..=*last).contains(&position))
                    .count()
            };
            maximum = maximum.max(
                spans
                    .iter()
                    .map(|(_, first, _)| overlapping(*first))
                    .max()
                    .unwrap_or(0),
            );
        }
        maximum
    }

    /// Acts that were accepted although a higher epoch, or the same epoch of another owner, had been accepted before.
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

    /// Acts that were refused.
    pub fn stale_tries(&self) -> usize {
        self.acts.iter().filter(|act| !act.accepted).count()
    }

    /// Longest time in a window without an accepted act of any one duty, in seconds.
    pub fn unowned(&self, window: &std::ops::Range<Duration>, duties: usize) -> f64 {
        let longest = |duty: usize| {
            let (mut last, mut longest_gap) = (window.start, Duration::ZERO);
            let times = self
                .accepted(duty)
                .map(|act| act.at)
                .filter(|time| window.contains(time));
            for time in times.chain([window.end]) {
                longest_gap = longest_gap.max(time.saturating_sub(last));
                last = time;
            }
            longest_gap.as_secs_f64()
        };
        (0..duties).map(longest).fold(0.0, f64::max)
    }

    /// Datagrams per second of the sidecar that sent the most.
    pub fn peer_datagrams(&self) -> f64 {
        self.datagrams.iter().copied().max().unwrap_or(0) as f64 / self.seconds.max(1e-9)
    }

    /// The ownerships by order of their first accepted act.
    pub fn reigns(&self) -> Vec<Reign> {
        let mut reigns: Vec<Reign> = Vec::new();
        for act in self.acts.iter().filter(|act| act.accepted) {
            let same = |reign: &&mut Reign| {
                (reign.duty, reign.epoch, reign.owner) == (act.duty, act.epoch, act.owner)
            };
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

    /// Largest number of machines under maintenance at the same time.
    pub fn at_work(&self) -> usize {
        let at = |time: Duration| {
            self.works
                .iter()
                .filter(|work| work.from <= time && time < work.to)
                .count()
        };
        self.works
            .iter()
            .map(|work| at(work.from))
            .max()
            .unwrap_or(0)
    }

    /// Number of machines that were under maintenance.
    pub fn worked(&self) -> usize {
        let mut machines: Vec<usize> = self.works.iter().map(|work| work.endpoint).collect();
        machines.sort_unstable();
        machines.dedup();
        machines.len()
    }

    /// Number of ownerships: pairs of duty and epoch with an accepted act.
    pub fn owners(&self) -> usize {
        let mut epochs: Vec<_> = self
            .acts
            .iter()
            .filter(|act| act.accepted)
            .map(|act| (act.duty, act.epoch))
            .collect();
        epochs.sort_unstable();
        epochs.dedup();
        epochs.len()
    }
}

#[cfg(test)]
mod tests;
