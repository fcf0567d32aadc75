//! The candidate: how it queries and proposes, becomes the owner of a key, and renews or releases it.

use crate::{
    Action, Clocks, Epoch, LeaseKey, LeaseManager, LossReason, Member, Message, OWNER_LEASE_SHARE,
    RANK_DELAY, RELEASE_INTERVAL, RENEWAL_DIVISOR, REPLY_TIMEOUT_DIVISOR,
};
use std::time::Duration;

/// State of a candidate for one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum CandidateState {
    /// Not a candidate.
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

/// An owner moving to a higher epoch because a voter has promised one that prevents renewal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct EpochRaise {
    epoch: Epoch,
    since: Duration,
    promised: Vec<Member>,
    granted: Vec<Member>,
}

/// A candidate for one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Candidate {
    pub(crate) voters: Vec<Member>,
    pub(crate) eligible: bool,
    pub(crate) rank: u32,      // among the candidates
    pub(crate) highest: Epoch, // seen anywhere
    pub(crate) query_round: u32,
    pub(crate) state: CandidateState,
}

impl LeaseManager {
    /// Handles the timers of one key.
    pub(crate) fn tick_key(
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
                // Random delay: prevents candidates from proposing in step and blocking each other.
                candidate.state = CandidateState::Waiting {
                    until: now + reply_timeout.mul_f64(0.3 + 2.0 * jitter),
                };
            }
            CandidateState::Claiming { epoch, since, .. } if now >= *since + reply_timeout => {
                // Releases the grants of a minority early, so that they don't block others.
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

    /// Handles a reply of a voter.
    pub(crate) fn receive_as_candidate(
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
        // Only voters count.
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
                    // When enough voters become free for a majority, by the times they sent.
                    let remaining = held[held.len() + majority - voter_count - 1].1;
                    // The delay by rank keeps two candidates from splitting the voters.
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
                    // The lease counts from when it was claimed, so that time in transit shortens it.
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
                // A lease that expired before this grant was received stays lost.
                let has_majority = add_voter(granted);
                if has_majority && !*renewed && now < *until {
                    (*until, *renewed) = (*since + lease.mul_f64(OWNER_LEASE_SHARE), true);
                }
            }
            // Asks a voter that lost its state for its promise again, or its vote would be lost to this owner.
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
            // Raises the epoch above what others were promised. Otherwise the owner would lose its votes one by one.
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
    /// Proposes an epoch above all that were seen to all voters.
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

    pub(crate) fn broadcast(&self, message: Message) -> Vec<Action> {
        self.voters
            .iter()
            .map(|to| Action::Send {
                to: *to,
                message: message.clone(),
            })
            .collect()
    }
}
