//! What a voter keeps for one duty.

use crate::{Epoch, Member};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Those turned away whom a voter tells when it is free again.
const MOST_TOLD: usize = 4;

/// Somebody has the duty until then, by the voter's steady clock.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    pub epoch: Epoch,
    pub owner: Member,
    #[serde(skip)]
    pub until: Duration,
    pub lease: Duration,
}

#[derive(Serialize, Deserialize, Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    /// The highest epoch that was promised, and to whom; to nobody once it was given up.
    pub promised: Epoch,
    pub to: Option<Member>,
    pub grant: Option<Grant>,
    #[serde(skip)]
    away: Vec<Member>,
}

impl Vote {
    pub fn promised(promised: Epoch, to: Member) -> Vote {
        Vote {
            promised,
            to: Some(to),
            ..Vote::default()
        }
    }

    pub(crate) fn live(&self, now: Duration) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// What a restart has to know: a grant that is renewed is the same there.
    pub(crate) fn on_disk(&self) -> (Epoch, Option<Member>, Option<(Epoch, Member, Duration)>) {
        (
            self.promised,
            self.to,
            self.grant
                .map(|grant| (grant.epoch, grant.owner, grant.lease)),
        )
    }

    /// Promises what is higher than all before, or again what was promised to the same one.
    pub(crate) fn promise(&mut self, epoch: Epoch, to: Member, any: bool) -> bool {
        let again = epoch == self.promised && (self.to == Some(to) || any);
        if epoch > self.promised || again {
            (self.promised, self.to) = (epoch, Some(to));
            return true;
        }
        false
    }

    /// Guards against a take that comes late or twice, after the voter has promised otherwise or forgotten.
    pub(crate) fn is_for(&self, epoch: Epoch, owner: Member, any: bool) -> bool {
        self.promised == epoch && (self.to == Some(owner) || any)
    }

    /// The epoch of the live grant's owner, where that was promised a higher one in its place.
    pub(crate) fn risen(&self, epoch: Epoch, owner: Member) -> Option<Epoch> {
        let own = self
            .grant
            .filter(|grant| grant.owner == owner && self.is_for(epoch, owner, false));
        own.map(|grant| grant.epoch)
    }

    pub(crate) fn turned_away(&mut self, who: Member) {
        self.away.retain(|other| *other != who);
        self.away.push(who);
        if self.away.len() > MOST_TOLD {
            self.away.remove(0);
        }
    }

    /// Given up: nobody has it, and what is still under way of that epoch finds no promise. Returns whom to tell.
    pub(crate) fn free(&mut self) -> Vec<Member> {
        (self.to, self.grant) = (None, None);
        std::mem::take(&mut self.away)
    }

    /// How long ago it was kept is not known.
    pub(crate) fn read_again(&mut self, now: Duration) {
        self.grant
            .iter_mut()
            .for_each(|grant| grant.until = now + grant.lease);
    }
}
