//! One owner at a time for each duty. A candidate asks a fixed council of voters for an epoch, then takes the duty for
//! a lease; a majority that grants it makes it the owner until the lease ends by its own clock. Nothing here does input
//! or output or reads a clock: [`Lease::hear`] and [`Lease::tick`] are handed the time and return what is to be done.
//!
//! What is promised, and by what (`docs/fleet-design.md`):
//! - no two own a duty at once: by time. A voter grants nothing beside a live grant, and one that has forgotten is mute
//!   until all that it may have granted has run out. Holds for clocks that run up to 2% apart.
//! - epochs rise: a voter grants only what it has promised, and promises only what is higher. Where a majority forgets
//!   at once the system's clock, from which epochs are made, carries them on.
//! - no two are obeyed: by [`Fence`] alone, at whoever is acted on, whatever clocks and voters do.

mod fence;
mod voter;
mod voter_selection;

#[cfg(test)]
mod explore;
#[cfg(test)]
mod tests;

pub use fence::{Fence, FenceRejection};
pub use voter::{Grant, Vote};
pub use voter_selection::{candidate_order, voters_for};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Place of a sidecar in the list of all.
pub type Member = u16;
/// A duty, by a number made of its name that is the same everywhere.
pub type LeaseKey = u64;
/// Rises with each ownership: milliseconds since 1970, or one more than the highest seen where that is more.
pub type Epoch = u64;

/// Of its lease an owner uses so much by its own clock: clocks may run 2% apart, either way, and a little more.
const OWNER_LEASE_SHARE: f64 = 0.95;
/// A voter that has forgotten is mute for so many of the longest leases.
const RECOVERY_LEASES: f64 = 1.05;
/// Longest that a word is waited for, as a part of the lease.
const REPLY_TIMEOUT_DIVISOR: u32 = 8;
const RENEWAL_DIVISOR: u32 = 3;
/// A leave is said so often, as words may be lost.
const RELEASE_REPEATS: u8 = 3;
/// Duties that a voter keeps something of.
const MAX_KEYS: usize = 64;
/// Who stands behind another in a duty's order gives it so long a start.
const RANK_DELAY: Duration = Duration::from_millis(20);
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// The two clocks of a machine. The steady one may stand still while the machine sleeps; the other may be set.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clocks {
    pub monotonic: Duration, // since the process began
    pub wall: Duration,      // since 1970
}

/// What this sidecar goes by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub me: Member,
    pub members: usize,
    pub voters: usize,
    pub lease: Duration,
    pub seed: u64,
}

/// What sidecars say to each other about a duty.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Has anybody got it? Guards against asking beside an owner: a voter that it had not would promise away its vote.
    Query {
        key: LeaseKey,
        round: u32,
    },
    /// Not that I know.
    QueryClear {
        key: LeaseKey,
        round: u32,
    },
    /// May I have it, by this epoch? An owner asks so in place of the one that it has.
    Propose {
        key: LeaseKey,
        epoch: Epoch,
        replaces: Option<Epoch>,
    },
    Promise {
        key: LeaseKey,
        epoch: Epoch,
    },
    /// Somebody else has it for so long.
    Held {
        key: LeaseKey,
        in_reply_to: Epoch,
        epoch: Epoch,
        owner: Member,
        remaining_ms: u32,
    },
    /// Not by that epoch: this one was promised.
    EpochTooLow {
        key: LeaseKey,
        in_reply_to: Epoch,
        highest: Epoch,
    },
    /// I take it, or go on having it, for so long from when you hear it.
    Claim {
        key: LeaseKey,
        epoch: Epoch,
        round: u32,
        lease_ms: u32,
    },
    Granted {
        key: LeaseKey,
        epoch: Epoch,
        round: u32,
    },
    /// I no longer have it.
    Release {
        key: LeaseKey,
        epoch: Epoch,
    },
    /// Said by a voter to whom it turned away: it is free.
    Released {
        key: LeaseKey,
        epoch: Epoch,
    },
}

impl Message {
    pub fn key(&self) -> LeaseKey {
        match self {
            Message::Query { key, .. }
            | Message::QueryClear { key, .. }
            | Message::Propose { key, .. }
            | Message::Promise { key, .. }
            | Message::Held { key, .. }
            | Message::EpochTooLow { key, .. }
            | Message::Claim { key, .. }
            | Message::Granted { key, .. }
            | Message::Release { key, .. }
            | Message::Released { key, .. } => *key,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None for what is no word, or has something behind it.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::take_from_bytes(bytes)
            .ok()
            .filter(|(_, rest)| rest.is_empty())
            .map(|(message, _)| message)
    }
}

/// What is to be done, in order: what is to be kept is kept before what comes behind it is said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Member,
        message: Message,
    },
    Persist {
        key: LeaseKey,
        vote: Vote,
    },
    Acquired {
        key: LeaseKey,
        epoch: Epoch,
    },
    Lost {
        key: LeaseKey,
        epoch: Epoch,
        reason: LossReason,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// No majority renewed it in time.
    Expired,
    /// Given up on purpose.
    Released,
    /// Whoever was acted on knows a higher epoch.
    Superseded,
}

/// How a candidate stands with a duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum CandidateState {
    /// It does not stand.
    Idle,
    Waiting {
        until: Duration,
    },
    Querying {
        since: Duration,
        clear: Vec<Member>,
        held: Vec<(Member, Duration)>,
    },
    Proposing {
        epoch: Epoch,
        since: Duration,
        promised: Vec<Member>,
        rejected: Vec<Member>,
    },
    Claiming {
        epoch: Epoch,
        since: Duration,
        granted: Vec<Member>,
    },
    Owner {
        epoch: Epoch,
        until: Duration,
        since: Duration,
        round: u32,
        granted: Vec<Member>,
        renewed: bool,
        raise: Option<EpochRaise>,
    },
    Releasing {
        epoch: Epoch,
        next_at: Duration,
        remaining: u8,
    },
}

/// An owner on its way to a higher epoch, as a voter has promised what it can't renew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct EpochRaise {
    epoch: Epoch,
    since: Duration,
    promised: Vec<Member>,
    granted: Vec<Member>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Candidate {
    voters: Vec<Member>,
    eligible: bool,
    rank: u32,      // among those that stand
    highest: Epoch, // heard of anywhere
    query_round: u32,
    state: CandidateState,
}

/// One sidecar's part in all duties, as voter and as candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    config: LeaseConfig,
    random_state: u64,
    recovering_until: Duration, // steady
    votes: BTreeMap<LeaseKey, Vote>,
    candidates: BTreeMap<LeaseKey, Candidate>,
    /// The owner's clock: the faster of the two, so that a machine that slept does not think that it still owns.
    owner_clock: Duration,
    last_reading: (Duration, Duration),
    #[cfg(test)]
    pub(crate) faults: InjectedFaults,
}

/// Faults that the explorer has to find.
#[cfg(test)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct InjectedFaults {
    pub no_recovery_period: bool,
    pub equal_epochs: bool,
    pub no_owner_expiry: bool,
    pub any_owner: bool,
    pub no_randomness: bool, // no fault: fewer states
    pub no_query: bool,      // the same; it is not safety that looking is for
}

/// Faults are planted in tests only.
macro_rules! injected {
    ($lease:expr, $fault:ident) => {{
        #[cfg(test)]
        let fault = $lease.faults.$fault;
        #[cfg(not(test))]
        let fault = false;
        fault
    }};
}

impl LeaseManager {
    /// `kept` is what the voter had kept on disk; without it, it has forgotten, and is mute for a while.
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
        // How long ago it was granted is not known: for all of its time from here.
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

    /// Has a duty looked after; `place` is this sidecar's among those that stand for it, if it does. Standing down gives up what it owns.
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

    /// Gives up a duty at once, so that the next owner need not wait for the lease to run out.
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

    /// An epoch of this duty was heard of: what is asked for next is higher. An owner of a lower one has been outrun.
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

    /// Until when this sidecar owns a duty, by which epoch; asked again right before each act. None while it does not.
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

    /// Whether this voter still waits for what it may have granted and forgotten.
    pub fn is_recovering(&self, clocks: Clocks) -> bool {
        clocks.monotonic < self.recovering_until && !injected!(self, no_recovery_period)
    }

    /// Votes on nothing more: a vote that ends with its process is one that the next owner can't count on.
    pub fn stop_voting(&mut self) {
        self.recovering_until = Duration::MAX;
    }

    pub fn voters(&self) -> usize {
        self.config.voters
    }

    /// How long until there is something to do by time alone.
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

    /// Moves the owner's clock on by what passed on the faster of the two.
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

    /// What time alone brings.
    pub fn tick(&mut self, clocks: Clocks) -> Vec<Action> {
        let now = self.advance_clock(clocks);
        let mut actions = Vec::new();
        for key in self.candidates.keys().copied().collect::<Vec<_>>() {
            self.tick_key(now, clocks, key, &mut actions);
        }
        actions
    }

    fn tick_key(
        &mut self,
        now: Duration,
        clocks: Clocks,
        key: LeaseKey,
        actions: &mut Vec<Action>,
    ) {
        let (reply_timeout, lease) = (self.config.lease / REPLY_TIMEOUT_DIVISOR, self.config.lease);
        let jitter = self.random_share();
        let (no_owner_expiry, no_query) =
            (injected!(self, no_owner_expiry), injected!(self, no_query));
        let equal_epochs = injected!(self, equal_epochs);
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return;
        };
        match &mut candidate.state {
            CandidateState::Idle => {}
            CandidateState::Waiting { until } if now >= *until => {
                if no_query {
                    return candidate.propose(now, clocks, equal_epochs, key, actions);
                }
                candidate.query_round = candidate.query_round.wrapping_add(1);
                candidate.state = CandidateState::Querying {
                    since: now,
                    clear: vec![],
                    held: vec![],
                };
                actions.extend(candidate.broadcast(Message::Query {
                    key,
                    round: candidate.query_round,
                }));
            }
            CandidateState::Querying { since, .. } if now >= *since + reply_timeout => {
                candidate.state = CandidateState::Waiting {
                    until: now + reply_timeout.mul_f64(0.3 + 2.0 * jitter),
                };
            }
            CandidateState::Proposing { since, .. } if now >= *since + reply_timeout => {
                // Guards against candidates that ask in step, each in the other's way.
                candidate.state = CandidateState::Waiting {
                    until: now + reply_timeout.mul_f64(0.3 + 2.0 * jitter),
                };
            }
            CandidateState::Claiming { epoch, since, .. } if now >= *since + reply_timeout => {
                // What some have granted is in nobody's way for longer.
                let epoch = *epoch;
                candidate.state = CandidateState::Waiting {
                    until: now + reply_timeout.mul_f64(0.3 + 2.0 * jitter),
                };
                actions.extend(candidate.broadcast(Message::Release { key, epoch }));
            }
            CandidateState::Owner { epoch, until, .. } if now >= *until && !no_owner_expiry => {
                let epoch = *epoch;
                candidate.state = if candidate.eligible {
                    CandidateState::Waiting { until: now }
                } else {
                    CandidateState::Idle
                };
                actions.push(Action::Lost {
                    key,
                    epoch,
                    reason: LossReason::Expired,
                });
            }
            CandidateState::Owner {
                raise: raise @ Some(_),
                ..
            } if raise
                .as_ref()
                .is_some_and(|raise| now >= raise.since + reply_timeout) =>
            {
                *raise = None;
            }
            CandidateState::Owner {
                epoch,
                since,
                round,
                granted,
                renewed,
                ..
            } if now
                >= *since
                    + if *renewed {
                        lease / RENEWAL_DIVISOR
                    } else {
                        reply_timeout
                    } =>
            {
                (*since, *round, *renewed) = (now, *round + 1, false);
                granted.clear();
                let message = Message::Claim {
                    key,
                    epoch: *epoch,
                    round: *round,
                    lease_ms: lease.as_millis() as u32,
                };
                actions.extend(candidate.broadcast(message));
            }
            CandidateState::Releasing {
                epoch,
                next_at,
                remaining,
            } if now >= *next_at => {
                let epoch = *epoch;
                if *remaining == 0 {
                    candidate.state = if candidate.eligible {
                        CandidateState::Waiting { until: now + lease }
                    } else {
                        CandidateState::Idle
                    };
                } else {
                    (*next_at, *remaining) = (now + RELEASE_INTERVAL, *remaining - 1);
                    actions.extend(candidate.broadcast(Message::Release { key, epoch }));
                }
            }
            _ => {}
        }
    }

    /// What a member says; `from` is who it is by its address.
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

    fn receive_as_voter(&mut self, clocks: Clocks, from: Member, message: Message) -> Vec<Action> {
        if self.is_recovering(clocks) {
            return Vec::new();
        }
        let (key, now) = (message.key(), clocks.monotonic);
        let any_owner = injected!(self, any_owner);
        let longest = self.config.lease;
        // Guards against names that nobody here has heard of, without end.
        if self.votes.len() >= MAX_KEYS && !self.votes.contains_key(&key) {
            return Vec::new();
        }
        let vote = self.votes.entry(key).or_default();
        let mut actions = Vec::new();
        let mut send = |to: Member, message: Message| actions.push(Action::Send { to, message });
        // In the way is a live grant, but not one's own that is renewed or risen from.
        let conflict = |vote: &Vote, in_reply_to: Epoch, replaced: Option<Epoch>| {
            let grant = vote
                .live_grant(now)
                .filter(|g| g.owner != from || g.epoch != in_reply_to && Some(g.epoch) != replaced);
            grant
                .filter(|g| !any_owner || g.epoch != in_reply_to)
                .map(|g| Message::Held {
                    key,
                    in_reply_to,
                    epoch: g.epoch,
                    owner: g.owner,
                    remaining_ms: g.until.saturating_sub(now).as_millis() as u32 + 1,
                })
        };
        let before = vote.clone();
        match message {
            Message::Query { round, .. } => match conflict(vote, Epoch::from(round), None) {
                Some(message) => {
                    vote.add_waiting(from);
                    send(from, message);
                }
                None => send(from, Message::QueryClear { key, round }),
            },
            Message::Propose {
                epoch, replaces, ..
            } => match conflict(vote, epoch, replaces) {
                Some(message) => {
                    vote.add_waiting(from);
                    send(from, message);
                }
                None if vote.promise(epoch, from, any_owner) => {
                    send(from, Message::Promise { key, epoch })
                }
                None => send(
                    from,
                    Message::EpochTooLow {
                        key,
                        in_reply_to: epoch,
                        highest: vote.promised,
                    },
                ),
            },
            // What was promised beside a grant was promised to its owner, in place of it.
            Message::Claim {
                epoch,
                round,
                lease_ms,
                ..
            } => match conflict(vote, epoch, vote.replaceable_epoch(epoch, from)) {
                Some(message) => send(from, message),
                // Guards against leases that outlast the time for which a voter that forgot is mute.
                None if Duration::from_millis(lease_ms.into()) > longest => {}
                None if vote.is_promised_to(epoch, from, any_owner) => {
                    let lease = Duration::from_millis(lease_ms.into());
                    vote.grant = Some(Grant {
                        epoch,
                        owner: from,
                        until: now + lease,
                        lease,
                    });
                    send(from, Message::Granted { key, epoch, round });
                }
                None => send(
                    from,
                    Message::EpochTooLow {
                        key,
                        in_reply_to: epoch,
                        highest: vote.promised,
                    },
                ),
            },
            Message::Release { epoch, .. } if vote.is_promised_to(epoch, from, false) => {
                for to in vote.release() {
                    send(to, Message::Released { key, epoch });
                }
            }
            _ => {}
        }
        if vote.persisted() != before.persisted() {
            actions.insert(
                0,
                Action::Persist {
                    key,
                    vote: vote.clone(),
                },
            );
        }
        actions
    }

    fn receive_as_candidate(
        &mut self,
        now: Duration,
        clocks: Clocks,
        from: Member,
        message: Message,
    ) -> Vec<Action> {
        let (reply_timeout, lease) = (self.config.lease / REPLY_TIMEOUT_DIVISOR, self.config.lease);
        let (jitter, equal_epochs) = (self.random_share(), injected!(self, equal_epochs));
        let key = message.key();
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return Vec::new();
        };
        // Only voters have a say.
        if !candidate.voters.contains(&from) {
            return Vec::new();
        }
        let (majority, voter_count) = (candidate.voters.len() / 2 + 1, candidate.voters.len());
        let mut actions = Vec::new();
        let add_voter = |to: &mut Vec<Member>| {
            if !to.contains(&from) {
                to.push(from);
            }
            to.len() >= majority
        };
        match (&mut candidate.state, message) {
            (
                CandidateState::Proposing {
                    epoch, promised, ..
                },
                Message::Promise {
                    key,
                    epoch: replied_epoch,
                },
            ) if replied_epoch == *epoch => {
                let has_majority = add_voter(promised);
                if has_majority {
                    let epoch = *epoch;
                    candidate.state = CandidateState::Claiming {
                        epoch,
                        since: now,
                        granted: vec![],
                    };
                    actions.extend(candidate.broadcast(Message::Claim {
                        key,
                        epoch,
                        round: 0,
                        lease_ms: lease.as_millis() as u32,
                    }));
                }
            }
            (CandidateState::Querying { clear, .. }, Message::QueryClear { key, round })
                if round == candidate.query_round =>
            {
                let has_majority = add_voter(clear);
                if has_majority {
                    candidate.propose(now, clocks, equal_epochs, key, &mut actions);
                }
            }
            (
                CandidateState::Querying { held, .. },
                Message::Held {
                    in_reply_to,
                    remaining_ms,
                    epoch,
                    ..
                },
            ) if in_reply_to == Epoch::from(candidate.query_round) => {
                candidate.highest = candidate.highest.max(epoch);
                if !held.iter().any(|(who, _)| *who == from) {
                    held.push((from, Duration::from_millis(remaining_ms.into())));
                }
                if held.len() > voter_count - majority {
                    held.sort_by_key(|(_, remaining)| *remaining);
                    // When enough of them are free, as far as they have said.
                    let remaining = held[held.len() + majority - voter_count - 1].1;
                    // Guards against two that stand and split the voters.
                    candidate.state = CandidateState::Waiting {
                        until: now + remaining + candidate.rank * RANK_DELAY,
                    };
                }
            }
            (
                CandidateState::Proposing {
                    epoch, rejected, ..
                },
                Message::Held {
                    in_reply_to,
                    epoch: highest,
                    ..
                }
                | Message::EpochTooLow {
                    in_reply_to,
                    highest,
                    ..
                },
            ) if in_reply_to == *epoch => {
                candidate.highest = candidate.highest.max(highest);
                add_voter(rejected);
                if rejected.len() > voter_count - majority {
                    candidate.state = CandidateState::Waiting {
                        until: now + reply_timeout.mul_f64(jitter),
                    };
                }
            }
            (
                CandidateState::Claiming {
                    epoch,
                    since,
                    granted,
                },
                Message::Granted {
                    key,
                    epoch: replied_epoch,
                    round: 0,
                },
            ) if replied_epoch == *epoch => {
                let has_majority = add_voter(granted);
                if has_majority {
                    // From when it was asked for: what is under way has run out of it.
                    let (epoch, since) = (*epoch, *since);
                    let until = since + lease.mul_f64(OWNER_LEASE_SHARE);
                    let granted = std::mem::take(granted);
                    let raise = None;
                    candidate.state = CandidateState::Owner {
                        epoch,
                        until,
                        since,
                        round: 0,
                        granted,
                        renewed: true,
                        raise,
                    };
                    actions.push(Action::Acquired { key, epoch });
                }
            }
            (
                CandidateState::Owner {
                    epoch,
                    until,
                    since,
                    round,
                    granted,
                    renewed,
                    ..
                },
                Message::Granted {
                    epoch: replied_epoch,
                    round: replied_round,
                    ..
                },
            ) if (replied_epoch, replied_round) == (*epoch, *round) => {
                // What ran out before this was heard stays lost.
                let has_majority = add_voter(granted);
                if has_majority && !*renewed && now < *until {
                    (*until, *renewed) = (*since + lease.mul_f64(OWNER_LEASE_SHARE), true);
                }
            }
            // A voter that has forgotten is asked for its promise again, or it would be lost to this owner.
            (
                CandidateState::Owner { epoch, .. },
                Message::EpochTooLow {
                    key,
                    in_reply_to,
                    highest,
                },
            ) if in_reply_to == *epoch && highest < *epoch => {
                let message = Message::Propose {
                    key,
                    epoch: *epoch,
                    replaces: None,
                };
                actions.push(Action::Send { to: from, message });
            }
            // Guards against votes that are promised to others and lost one by one: it goes above them.
            (
                CandidateState::Owner {
                    epoch,
                    raise: raise @ None,
                    ..
                },
                Message::EpochTooLow {
                    key,
                    in_reply_to,
                    highest,
                },
            ) if in_reply_to == *epoch => {
                let replaces = Some(*epoch);
                let epoch = (clocks.wall.as_millis() as Epoch)
                    .max(candidate.highest.max(highest).saturating_add(1));
                candidate.highest = epoch;
                *raise = Some(EpochRaise {
                    epoch,
                    since: now,
                    promised: vec![],
                    granted: vec![],
                });
                actions.extend(candidate.broadcast(Message::Propose {
                    key,
                    epoch,
                    replaces,
                }));
            }
            (
                CandidateState::Owner {
                    raise: Some(raise), ..
                },
                Message::Promise { key, epoch },
            ) if epoch == raise.epoch => {
                let before = raise.promised.len();
                let has_majority = add_voter(&mut raise.promised);
                if has_majority && before < majority {
                    raise.since = now;
                    actions.extend(candidate.broadcast(Message::Claim {
                        key,
                        epoch,
                        round: 0,
                        lease_ms: lease.as_millis() as u32,
                    }));
                }
            }
            (
                CandidateState::Owner {
                    raise: Some(raise),
                    until,
                    ..
                },
                Message::Granted { key, epoch, .. },
            ) if epoch == raise.epoch && raise.promised.len() >= majority => {
                let has_majority = add_voter(&mut raise.granted);
                if has_majority && now < *until {
                    let (since, granted) = (raise.since, std::mem::take(&mut raise.granted));
                    let until = since + lease.mul_f64(OWNER_LEASE_SHARE);
                    candidate.state = CandidateState::Owner {
                        epoch,
                        until,
                        since,
                        round: 0,
                        granted,
                        renewed: true,
                        raise: None,
                    };
                    actions.push(Action::Acquired { key, epoch });
                }
            }
            (CandidateState::Waiting { until }, Message::Released { epoch, .. }) => {
                candidate.highest = candidate.highest.max(epoch);
                *until = now + candidate.rank * RANK_DELAY;
            }
            (
                CandidateState::Claiming { epoch, .. },
                Message::EpochTooLow {
                    in_reply_to,
                    highest,
                    ..
                },
            ) if in_reply_to == *epoch => {
                candidate.highest = candidate.highest.max(highest);
            }
            _ => {}
        }
        if matches!(candidate.state, CandidateState::Waiting { until } if until <= now) {
            self.tick_key(now, clocks, key, &mut actions);
        }
        actions
    }
}

impl Candidate {
    /// Asks all voters for an epoch above all that were heard of.
    fn propose(
        &mut self,
        now: Duration,
        clocks: Clocks,
        equal_epochs: bool,
        key: LeaseKey,
        actions: &mut Vec<Action>,
    ) {
        let least = if equal_epochs {
            self.highest
        } else {
            self.highest.saturating_add(1)
        };
        let epoch = (clocks.wall.as_millis() as Epoch).max(least);
        self.highest = epoch;
        self.state = CandidateState::Proposing {
            epoch,
            since: now,
            promised: vec![],
            rejected: vec![],
        };
        actions.extend(self.broadcast(Message::Propose {
            key,
            epoch,
            replaces: None,
        }));
    }

    fn broadcast(&self, message: Message) -> Vec<Action> {
        self.voters
            .iter()
            .map(|to| Action::Send {
                to: *to,
                message: message.clone(),
            })
            .collect()
    }
}
