//! The voter: what it stores for each key, and how it answers candidates and owners.

use crate::{Action, Clocks, Epoch, LeaseManager, MAX_KEYS, Member, Message};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Rejected candidates that a voter notifies when the key is released, at most.
const MAX_WAITING: usize = 4;

/// A member's ownership, as granted by this voter.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    pub epoch: Epoch,
    pub owner: Member,
    /// By the voter's monotonic clock.
    #[serde(skip)]
    pub until: Duration,
    pub lease: Duration,
}

#[derive(Serialize, Deserialize, Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    /// The highest epoch promised.
    pub promised: Epoch,
    /// Whom it was promised to; none once that member has released the key.
    pub promised_to: Option<Member>,
    pub grant: Option<Grant>,
    #[serde(skip)]
    waiting: Vec<Member>,
}

impl Vote {
    pub fn promised(promised: Epoch, to: Member) -> Vote {
        Vote {
            promised,
            promised_to: Some(to),
            ..Vote::default()
        }
    }

    pub(crate) fn live_grant(&self, now: Duration) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// The fields that a restart needs. Renewing a grant changes none of them.
    pub(crate) fn persisted(&self) -> (Epoch, Option<Member>, Option<(Epoch, Member, Duration)>) {
        (
            self.promised,
            self.promised_to,
            self.grant
                .map(|grant| (grant.epoch, grant.owner, grant.lease)),
        )
    }

    /// Promises an epoch higher than all before, or repeats a promise to the same member.
    pub(crate) fn promise(&mut self, epoch: Epoch, to: Member, any_owner: bool) -> bool {
        let repeated = epoch == self.promised && (self.promised_to == Some(to) || any_owner);
        if epoch > self.promised || repeated {
            (self.promised, self.promised_to) = (epoch, Some(to));
            return true;
        }
        false
    }

    /// Whether the current promise is this epoch, to this member. Prevents a claim that is late or duplicated from
    /// being granted after the voter has promised another epoch or lost its state.
    pub(crate) fn is_promised_to(&self, epoch: Epoch, owner: Member, any_owner: bool) -> bool {
        self.promised == epoch && (self.promised_to == Some(owner) || any_owner)
    }

    /// The epoch of the grant that the same owner may replace by the higher epoch it was promised.
    pub(crate) fn replaceable_epoch(&self, epoch: Epoch, owner: Member) -> Option<Epoch> {
        let own = self
            .grant
            .filter(|grant| grant.owner == owner && self.is_promised_to(epoch, owner, false));
        own.map(|grant| grant.epoch)
    }

    pub(crate) fn add_waiting(&mut self, candidate: Member) {
        self.waiting.retain(|other| *other != candidate);
        self.waiting.push(candidate);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.remove(0);
        }
    }

    /// Drops the grant and the promise, so that messages of that epoch still in flight are rejected. Returns the
    /// members to notify.
    pub(crate) fn release(&mut self) -> Vec<Member> {
        (self.promised_to, self.grant) = (None, None);
        std::mem::take(&mut self.waiting)
    }

    /// Restarts a grant that was read from disk for its full lease, as its age isn't known.
    pub(crate) fn restart_grant_timer(&mut self, now: Duration) {
        self.grant
            .iter_mut()
            .for_each(|grant| grant.until = now + grant.lease);
    }
}

impl LeaseManager {
    /// Handles a message to this sidecar as a voter.
    pub(crate) fn receive_as_voter(
        &mut self,
        clocks: Clocks,
        from: Member,
        message: Message,
    ) -> Vec<Action> {
        if self.is_recovering(clocks) {
            return Vec::new();
        }
        let (key, now) = (message.key(), clocks.monotonic);
        let any_owner = injected!(self, any_owner);
        let longest = self.config.lease;
        // Bounds the number of keys that others can make this voter store.
        if self.votes.len() >= MAX_KEYS && !self.votes.contains_key(&key) {
            return Vec::new();
        }
        let vote = self.votes.entry(key).or_default();
        let mut actions = Vec::new();
        let mut send = |to: Member, message: Message| actions.push(Action::Send { to, message });
        // The live grant that conflicts, unless it is the sender's own, being renewed or replaced.
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
            // A promise next to a live grant was made to its owner, to replace that grant.
            Message::Claim {
                epoch,
                round,
                lease_ms,
                ..
            } => match conflict(vote, epoch, vote.replaceable_epoch(epoch, from)) {
                Some(message) => send(from, message),
                // Prevents leases longer than the recovery period of a voter that lost its state.
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
}
