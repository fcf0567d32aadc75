//! Leases on keys, each with at most one owner at a time. A candidate proposes an epoch to a fixed set of voters, then
//! claims the key for the length of a lease. A majority of grants makes it the owner until the lease expires by its own
//! clock. Nothing here does I/O or reads a clock: [`LeaseManager::receive`] and [`LeaseManager::tick`] are given the
//! time and return the actions to take.
//!
//! Guarantees (`docs/fleet-design.md`):
//! - At most one owner of a key at a time: a voter grants nothing while another grant is live, and a voter that lost
//!   its state answers nothing until every grant that it may have given has expired. Holds for clocks whose rates
//!   differ by up to 2%.
//! - Epochs rise: a voter grants only epochs that it has promised, and promises only higher ones. If a majority loses
//!   its state at once, new epochs are still higher because they are taken from the system clock.
//! - A protected resource obeys only one owner: ensured by [`Fence`] at the resource alone, whatever clocks and voters
//!   do.

/// Faults are injected in tests only.
macro_rules! injected {
    ($lease:expr, $fault:ident) => {{
        #[cfg(test)]
        let fault = $lease.faults.$fault;
        #[cfg(not(test))]
        let fault = false;
        fault
    }};
}

mod candidate;
mod fence;
mod messages;
mod voter;
mod voter_selection;

#[cfg(test)]
mod explore;
#[cfg(test)]
mod tests;

use candidate::{Candidate, CandidateState};
pub use fence::{Fence, FenceRejection};
pub use messages::{Action, LossReason, Message};
pub use voter::{Grant, Vote};
pub use voter_selection::{candidate_order, voters_for};

use std::collections::BTreeMap;
use std::time::Duration;

/// Index of a sidecar in the list of all sidecars.
pub type Member = u16;
/// Hash of a key's name, the same on every sidecar.
pub type LeaseKey = u64;
/// Fencing token that rises with each ownership: milliseconds since 1970, or the highest seen plus one if that is more.
pub type Epoch = u64;

/// Share of its lease that an owner uses, by its own clock: clock rates may differ by 2% in either direction, plus
/// margin.
const OWNER_LEASE_SHARE: f64 = 0.95;
/// How long a voter that lost its state answers nothing, in multiples of the longest lease.
const RECOVERY_LEASES: f64 = 1.05;
/// The reply timeout is the lease divided by this.
const REPLY_TIMEOUT_DIVISOR: u32 = 8;
/// An owner renews after the lease divided by this.
const RENEWAL_DIVISOR: u32 = 3;
/// How often a release is sent, as messages may be lost.
const RELEASE_REPEATS: u8 = 3;
/// Keys for which a voter stores state, at most.
const MAX_KEYS: usize = 64;
/// How much longer a candidate waits than the one ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(20);
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// The two clocks of a machine. The monotonic one may stand still while the machine sleeps; the wall clock may be set.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clocks {
    pub monotonic: Duration, // since the process started
    pub wall: Duration,      // since 1970
}

/// The settings of this sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub me: Member,
    pub members: usize,
    pub voters: usize,
    pub lease: Duration,
    pub seed: u64,
}

/// One sidecar's leases on all keys, as voter and as candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    config: LeaseConfig,
    random_state: u64,
    recovering_until: Duration, // monotonic
    votes: BTreeMap<LeaseKey, Vote>,
    candidates: BTreeMap<LeaseKey, Candidate>,
    /// Advances by the faster of the two clocks, so that a machine that slept doesn't believe its lease is still valid.
    owner_clock: Duration,
    last_reading: (Duration, Duration),
    #[cfg(test)]
    pub(crate) faults: InjectedFaults,
}

/// Faults that the state explorer has to find.
#[cfg(test)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct InjectedFaults {
    pub no_recovery_period: bool,
    pub equal_epochs: bool,
    pub no_owner_expiry: bool,
    pub any_owner: bool,
    pub no_randomness: bool, // not a fault: fewer states
    pub no_query: bool,      // not a fault either: queries aren't needed for safety
}

impl LeaseManager {
    /// `stored_votes` is what the voter had on disk. Without it the voter has lost its state and first waits.
    pub fn new(
        config: LeaseConfig,
        clocks: Clocks,
        stored_votes: Option<BTreeMap<LeaseKey, Vote>>,
    ) -> LeaseManager {
        let recovering_until = match stored_votes {
            Some(_) => Duration::ZERO,
            None => clocks.monotonic + config.lease.mul_f64(RECOVERY_LEASES),
        };
        let mut votes = stored_votes.unwrap_or_default();
        // The age of a stored grant isn't known, so it runs for its full length from now.
        votes
            .values_mut()
            .for_each(|vote| vote.restart_grant_timer(clocks.monotonic));
        LeaseManager {
            random_state: config.seed | 1,
            config,
            recovering_until,
            votes,
            candidates: BTreeMap::new(),
            owner_clock: Duration::ZERO,
            last_reading: (clocks.monotonic, clocks.wall),
            #[cfg(test)]
            faults: InjectedFaults::default(),
        }
    }

    /// Makes this sidecar a candidate for a key, with its rank among the candidates, or ends its candidacy, which
    /// releases what it owns.
    pub fn set_candidacy(
        &mut self,
        clocks: Clocks,
        key: LeaseKey,
        rank: Option<usize>,
    ) -> Vec<Action> {
        let now = self.advance_clock(clocks);
        let (voters, members) = (self.config.voters, self.config.members);
        let new = || Candidate {
            voters: voters_for(key, members, voters),
            eligible: false,
            rank: 0,
            highest: 0,
            query_round: 0,
            state: CandidateState::Idle,
        };
        let candidate = self.candidates.entry(key).or_insert_with(new);
        let eligible = rank.is_some();
        (candidate.eligible, candidate.rank) = (eligible, rank.unwrap_or_default() as u32);
        if eligible && candidate.state == CandidateState::Idle {
            candidate.state = CandidateState::Waiting { until: now };
        }
        if eligible {
            Vec::new()
        } else {
            self.release(clocks, key, LossReason::Released)
        }
    }

    /// Gives up a key at once, so that the next owner need not wait for the lease to expire.
    pub fn release(&mut self, clocks: Clocks, key: LeaseKey, reason: LossReason) -> Vec<Action> {
        let now = self.advance_clock(clocks);
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return Vec::new();
        };
        let rest = if candidate.eligible {
            CandidateState::Waiting {
                until: now + self.config.lease,
            }
        } else {
            CandidateState::Idle
        };
        match candidate.state {
            CandidateState::Owner { epoch, .. } => {
                candidate.state = CandidateState::Releasing {
                    epoch,
                    next_at: now + RELEASE_INTERVAL,
                    remaining: RELEASE_REPEATS - 1,
                };
                let mut actions = vec![Action::Lost { key, epoch, reason }];
                actions.extend(candidate.broadcast(Message::Release { key, epoch }));
                actions
            }
            CandidateState::Releasing { .. } => Vec::new(),
            CandidateState::Claiming { epoch, .. } => {
                candidate.state = rest;
                candidate.broadcast(Message::Release { key, epoch })
            }
            _ => {
                candidate.state = rest;
                Vec::new()
            }
        }
    }

    /// Notes an epoch of a key that was seen elsewhere; later proposals are higher. An owner of a lower one releases
    /// the key.
    pub fn observe_epoch(&mut self, clocks: Clocks, key: LeaseKey, epoch: Epoch) -> Vec<Action> {
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return Vec::new();
        };
        candidate.highest = candidate.highest.max(epoch);
        match candidate.state {
            CandidateState::Owner { epoch: owned, .. } if owned < epoch => {
                self.release(clocks, key, LossReason::Superseded)
            }
            _ => Vec::new(),
        }
    }

    /// The epoch by which this sidecar owns a key and how long it still does; to be called directly before each act.
    /// None if it isn't the owner.
    pub fn ownership(&mut self, clocks: Clocks, key: LeaseKey) -> Option<(Epoch, Duration)> {
        let now = self.advance_clock(clocks);
        match self.candidates.get(&key)?.state {
            CandidateState::Owner { epoch, until, .. }
                if now < until || injected!(self, no_owner_expiry) =>
            {
                Some((epoch, until.saturating_sub(now)))
            }
            _ => None,
        }
    }

    /// Whether this voter still waits for grants to expire that it may have given before it lost its state.
    pub fn is_recovering(&self, clocks: Clocks) -> bool {
        clocks.monotonic < self.recovering_until && !injected!(self, no_recovery_period)
    }

    /// Ends voting: a vote that ends with its process is one that the next owner can't count on.
    pub fn stop_voting(&mut self) {
        self.recovering_until = Duration::MAX;
    }

    pub fn voters(&self) -> usize {
        self.config.voters
    }

    /// How long until [`LeaseManager::tick`] has something to do.
    pub fn time_to_next_timer(&self) -> Option<Duration> {
        let reply_timeout = self.config.lease / REPLY_TIMEOUT_DIVISOR;
        let next_due = |candidate: &Candidate| match &candidate.state {
            CandidateState::Idle => None,
            CandidateState::Waiting { until } => Some(*until),
            CandidateState::Querying { since, .. }
            | CandidateState::Proposing { since, .. }
            | CandidateState::Claiming { since, .. } => Some(*since + reply_timeout),
            CandidateState::Owner {
                since,
                until,
                renewed,
                ..
            } => {
                let next = if *renewed {
                    self.config.lease / RENEWAL_DIVISOR
                } else {
                    reply_timeout
                };
                Some((*since + next).min(*until))
            }
            CandidateState::Releasing { next_at, .. } => Some(*next_at),
        };
        self.candidates
            .values()
            .filter_map(next_due)
            .min()
            .map(|due| due.saturating_sub(self.owner_clock))
    }

    /// Advances the owner's clock by the time that passed on the faster of the two clocks.
    fn advance_clock(&mut self, clocks: Clocks) -> Duration {
        let monotonic = clocks.monotonic.saturating_sub(self.last_reading.0);
        let wall = clocks.wall.saturating_sub(self.last_reading.1);
        self.owner_clock += monotonic.max(wall);
        self.last_reading = (self.last_reading.0.max(clocks.monotonic), clocks.wall);
        self.owner_clock
    }

    fn random_share(&mut self) -> f64 {
        if injected!(self, no_randomness) {
            return 0.5;
        }
        self.random_state =
            (self.random_state & 0xffff_ffff) * 4_294_957_665 + (self.random_state >> 32);
        (self.random_state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// Handles timers.
    pub fn tick(&mut self, clocks: Clocks) -> Vec<Action> {
        let now = self.advance_clock(clocks);
        let mut actions = Vec::new();
        for key in self.candidates.keys().copied().collect::<Vec<_>>() {
            self.tick_key(now, clocks, key, &mut actions);
        }
        actions
    }

    /// Handles a message; `from` is the sender, known by its address.
    pub fn receive(&mut self, clocks: Clocks, from: Member, message: Message) -> Vec<Action> {
        let now = self.advance_clock(clocks);
        match message {
            Message::Query { .. }
            | Message::Propose { .. }
            | Message::Claim { .. }
            | Message::Release { .. } => self.receive_as_voter(clocks, from, message),
            _ => self.receive_as_candidate(now, clocks, from, message),
        }
    }
}
