//! Communicating sidecars: the plan of their leases, maintenance and faults, the acts at the fenced resource, and the
//! results; with a simulation in virtual time.

pub mod datagram_faults;
pub mod random_histories;
pub mod simulation;

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
    pub persist_votes: bool,
    pub leased_roles: Vec<LeasedRolePlan>,
    pub faults: Vec<FleetFault>,
    /// Whether the resource refuses lower epochs. Experiments disable it to show what it prevents.
    pub fence: bool,
    pub maintenance: Option<MaintenancePlan>,
}

/// Maintenance that operators request.
#[derive(Debug, Clone)]
pub struct MaintenancePlan {
    /// How long the maintenance of one machine takes.
    pub duration: Duration,
    /// Maximum number of machines under maintenance at the same time.
    pub max_concurrent: usize,
    /// Time, sidecar that receives the request, and endpoints.
    pub requests: Vec<(Duration, usize, Vec<usize>)>,
}

/// A period in which a machine was under maintenance.
#[derive(Debug, Clone, PartialEq)]
pub struct MaintenanceInterval {
    pub endpoint: usize,
    pub from: Duration,
    pub to: Duration,
}

/// A leased role, whose owner repeatedly acts at the resource.
#[derive(Debug, Clone)]
pub struct LeasedRolePlan {
    pub name: String,
    /// Time between two acts.
    pub interval: Duration,
    /// Timeout of a call to the resource.
    pub timeout: Duration,
    /// How long the resource takes for an act.
    pub act_duration: Duration,
}

/// A fault of processes, of datagrams between them, or of calls to the resource.
#[derive(Debug, Clone)]
pub struct FleetFault {
    pub from: Duration,
    pub to: Option<Duration>,
    pub target: FleetFaultTarget,
    /// For faults between sidecars, the other side; None for all others.
    pub others: Option<Vec<usize>>,
    pub kind: FleetFaultKind,
}

/// The sidecars that a fault affects; which ones these are may be known only when it begins.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetFaultTarget {
    Instances(Vec<usize>),
    /// The owner whose act was accepted last.
    Owner,
    /// The owner and as many other voters as stay short of a majority.
    Minority,
    /// A majority of the voters for the first leased role.
    Voters,
}

/// What a fault does to its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetFaultKind {
    /// Datagrams are lost from the target to the other side (`out`), in the other direction (`back`), or in both.
    Cut { out: bool, back: bool },
    /// Datagrams are lost with this probability.
    Loss(f64),
    /// Datagrams are delayed.
    Delay {
        delay: Duration,
        /// Up to this much more, drawn for each datagram.
        jitter: Duration,
    },
    /// Datagrams are duplicated with this probability.
    Duplication(f64),
    /// Datagrams are held back until the fault ends, then all delivered.
    HoldBack,
    /// The process is paused as by SIGSTOP.
    Pause,
    /// The process is killed and restarted.
    Kill,
    /// The process is gracefully stopped and restarted.
    Stop,
    /// Calls to the resource are held back until the fault ends, then all delivered.
    HoldBackCalls,
}

impl FleetFaultKind {
    /// Whether the fault concerns datagrams between sidecars.
    pub fn is_between_sidecars(self) -> bool {
        !matches!(
            self,
            FleetFaultKind::Pause
                | FleetFaultKind::Kill
                | FleetFaultKind::Stop
                | FleetFaultKind::HoldBackCalls
        )
    }
}

/// Restart delay of a killed or stopped sidecar, unless the fault has its own.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

impl FleetFaultTarget {
    /// The instances that are affected now.
    pub fn resolve(&self, plan: &FleetPlan, instances: usize, owner: Option<usize>) -> Vec<usize> {
        let key = match plan.leased_roles.first() {
            Some(role) => role.lease_key(),
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
            FleetFaultTarget::Instances(list) => list.clone(),
            FleetFaultTarget::Owner => vec![owner.unwrap_or_else(first_candidate)],
            FleetFaultTarget::Minority => {
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
            FleetFaultTarget::Voters => voters[..voters.len() / 2 + 1].to_vec(),
        }
    }
}

impl LeasedRolePlan {
    pub fn lease_key(&self) -> u64 {
        passroad_choice::interner::stable_hash(&self.name)
    }

    /// The task as the code of a sidecar has it; the simulation makes its calls itself.
    pub fn leased_task(&self) -> LeasedTask {
        let call = Some(hyper::Uri::from_static("http://127.0.0.1:1/"));
        LeasedTask {
            name: self.name.clone(),
            key: self.lease_key(),
            interval: self.interval,
            call,
            timeout: self.timeout,
        }
    }
}

/// A call that the resource accepted or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Act {
    pub time: Duration,
    pub role: usize,
    pub epoch: u64,
    pub owner: usize,
    pub accepted: bool,
}

/// One ownership of a leased role, as seen by the resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Ownership {
    pub role: usize,
    pub epoch: u64,
    pub owner: usize,
    pub first: Duration,
    pub last: Duration,
    pub acts: usize,
}

/// The results of a run of communicating sidecars.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetResults {
    pub acts: Vec<Act>,
    pub datagrams_sent: Vec<u64>, // by sidecar
    pub longest_datagram_bytes: usize,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Largest number of sidecars that believed to own the first leased role at the same time; known in virtual time
    /// only.
    pub max_believed_owners: Option<usize>,
    pub suspicions: u64,
    pub refuted: u64,
    pub maintenance: Vec<MaintenanceInterval>,
    /// Effects of faults: datagrams lost, held back, duplicated or delayed, calls held back, processes stopped.
    pub fault_hits: usize,
}

impl FleetResults {
    /// The accepted acts of a leased role in order.
    fn accepted(&self, role: usize) -> impl Iterator<Item = &Act> {
        self.acts
            .iter()
            .filter(move |act| act.accepted && act.role == role)
    }

    fn leased_roles(&self) -> std::ops::Range<usize> {
        0..self.acts.iter().map(|act| act.role + 1).max().unwrap_or(0)
    }

    /// Largest number of epochs of a leased role whose accepted acts are interleaved; more than one means that the
    /// resource accepted two owners at the same time.
    pub fn owners_at_once(&self) -> usize {
        let mut maximum = 0;
        for role in self.leased_roles() {
            let mut spans: Vec<(u64, usize, usize)> = Vec::new();
            for (position, act) in self.accepted(role).enumerate() {
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
        for role in self.leased_roles() {
            let mut highest = (0, usize::MAX);
            for act in self.accepted(role) {
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
    pub fn refused_acts(&self) -> usize {
        self.acts.iter().filter(|act| !act.accepted).count()
    }

    /// Longest time in a window without an accepted act of any one leased role, in seconds.
    pub fn longest_unowned_seconds(
        &self,
        window: &std::ops::Range<Duration>,
        leased_roles: usize,
    ) -> f64 {
        let longest = |role: usize| {
            let (mut last, mut longest_gap) = (window.start, Duration::ZERO);
            let times = self
                .accepted(role)
                .map(|act| act.time)
                .filter(|time| window.contains(time));
            for time in times.chain([window.end]) {
                longest_gap = longest_gap.max(time.saturating_sub(last));
                last = time;
            }
            longest_gap.as_secs_f64()
        };
        (0..leased_roles).map(longest).fold(0.0, f64::max)
    }

    /// Datagrams per second of the sidecar that sent the most.
    pub fn busiest_sender_rate(&self) -> f64 {
        self.datagrams_sent.iter().copied().max().unwrap_or(0) as f64 / self.seconds.max(1e-9)
    }

    /// The ownerships by order of their first accepted act.
    pub fn ownerships(&self) -> Vec<Ownership> {
        let mut ownerships: Vec<Ownership> = Vec::new();
        for act in self.acts.iter().filter(|act| act.accepted) {
            let same = |ownership: &&mut Ownership| {
                (ownership.role, ownership.epoch, ownership.owner)
                    == (act.role, act.epoch, act.owner)
            };
            match ownerships.iter_mut().find(same) {
                Some(ownership) => {
                    (ownership.last, ownership.acts) = (act.time, ownership.acts + 1)
                }
                None => ownerships.push(Ownership {
                    role: act.role,
                    epoch: act.epoch,
                    owner: act.owner,
                    first: act.time,
                    last: act.time,
                    acts: 1,
                }),
            }
        }
        ownerships
    }

    /// Largest number of machines under maintenance at the same time.
    pub fn max_machines_under_maintenance(&self) -> usize {
        let at = |time: Duration| {
            self.maintenance
                .iter()
                .filter(|work| work.from <= time && time < work.to)
                .count()
        };
        self.maintenance
            .iter()
            .map(|work| at(work.from))
            .max()
            .unwrap_or(0)
    }

    /// Number of machines that were under maintenance.
    pub fn machines_maintained(&self) -> usize {
        let mut machines: Vec<usize> = self.maintenance.iter().map(|work| work.endpoint).collect();
        machines.sort_unstable();
        machines.dedup();
        machines.len()
    }

    /// Number of ownerships: pairs of leased role and epoch with an accepted act.
    pub fn ownership_count(&self) -> usize {
        let mut epochs: Vec<_> = self
            .acts
            .iter()
            .filter(|act| act.accepted)
            .map(|act| (act.role, act.epoch))
            .collect();
        epochs.sort_unstable();
        epochs.dedup();
        epochs.len()
    }
}

#[cfg(test)]
mod tests;
