//! The fence of a protected resource: the highest epoch (fencing token) seen for each key, and its owner.

use crate::{Epoch, LeaseKey, Member};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fence {
    seen: BTreeMap<LeaseKey, (Epoch, Member)>,
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceRejection {
    /// A higher epoch has been seen.
    StaleEpoch { highest: Epoch },
    /// The same epoch has been seen from another owner.
    OwnerMismatch { owner: Member },
}

impl Fence {
    /// Accepts or rejects a call. Once an epoch is accepted, no lower one is.
    pub fn admit(
        &mut self,
        key: LeaseKey,
        epoch: Epoch,
        owner: Member,
    ) -> Result<(), FenceRejection> {
        match self.seen.get(&key).copied() {
            Some((highest, _)) if epoch < highest => Err(FenceRejection::StaleEpoch { highest }),
            Some((highest, other)) if epoch == highest && owner != other => {
                Err(FenceRejection::OwnerMismatch { owner: other })
            }
            _ => {
                self.seen.insert(key, (epoch, owner));
                Ok(())
            }
        }
    }

    pub fn highest(&self, key: LeaseKey) -> Option<(Epoch, Member)> {
        self.seen.get(&key).copied()
    }
}
