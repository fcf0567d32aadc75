//! What a voter stores for one key.

use crate::{Epoch, Member};
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

    /// Whether the current promise is this epoch, to this member. Prevents a claim that is late or duplicated from being
    /// granted after the voter has promised another epoch or lost its state.
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

    /// Drops the grant and the promise, so that messages of that epoch still in flight are rejected. Returns the members
    /// to notify.
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
