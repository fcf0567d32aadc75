//! The fence at whoever is acted on: the highest epoch seen for a duty, and whose it was.

use crate::{Duty, Epoch, Member};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fence {
    seen: BTreeMap<Duty, (Epoch, Member)>,
}

/// Why an act is not obeyed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// A higher epoch was seen.
    Lower { highest: Epoch },
    /// The same epoch was seen of another owner.
    OfAnother { owner: Member },
}

impl Fence {
    /// Lets an act in, or tells why not. What it has let in no lower one follows.
    pub fn admit(&mut self, duty: Duty, epoch: Epoch, owner: Member) -> Result<(), Refused> {
        match self.seen.get(&duty).copied() {
            Some((highest, _)) if epoch < highest => Err(Refused::Lower { highest }),
            Some((highest, other)) if epoch == highest && owner != other => {
                Err(Refused::OfAnother { owner: other })
            }
            _ => {
                self.seen.insert(duty, (epoch, owner));
                Ok(())
            }
        }
    }

    pub fn highest(&self, duty: Duty) -> Option<(Epoch, Member)> {
        self.seen.get(&duty).copied()
    }
}
