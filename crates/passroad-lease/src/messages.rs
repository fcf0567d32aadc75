//! The messages of the lease protocol, and the actions that a [`LeaseManager`](crate::LeaseManager) returns.

use crate::{Epoch, LeaseKey, Member, Vote};
use serde::{Deserialize, Serialize};

/// Messages between sidecars about a key.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Asks whether the key is held. Prevents a candidate from proposing next to an owner: a voter that has not granted
    /// to that owner would promise its vote away.
    Query {
        key: LeaseKey,
        round: u32,
    },
    /// The voter knows of no live grant.
    QueryClear {
        key: LeaseKey,
        round: u32,
    },
    /// Asks for a promise of this epoch. An owner names the epoch that the new one replaces.
    Propose {
        key: LeaseKey,
        epoch: Epoch,
        replaces: Option<Epoch>,
    },
    Promise {
        key: LeaseKey,
        epoch: Epoch,
    },
    /// Rejects a query or proposal: another member holds the key for this long. `in_reply_to` is the proposed epoch or
    /// the round of the query.
    Held {
        key: LeaseKey,
        in_reply_to: Epoch,
        epoch: Epoch,
        owner: Member,
        remaining_ms: u32,
    },
    /// Rejects an epoch because a higher one was promised.
    EpochTooLow {
        key: LeaseKey,
        in_reply_to: Epoch,
        highest: Epoch,
    },
    /// Takes or renews the lease, which runs from when the voter receives this.
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
    /// The sender gives up the key.
    Release {
        key: LeaseKey,
        epoch: Epoch,
    },
    /// Tells a candidate that was rejected before that the key has been released.
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

    /// None for bytes that are no message or have trailing bytes.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::take_from_bytes(bytes)
            .ok()
            .filter(|(_, rest)| rest.is_empty())
            .map(|(message, _)| message)
    }
}

/// Actions for the caller, in order: a vote is persisted before the actions behind it are taken.
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
    /// Given up by the owner.
    Released,
    /// A higher epoch is known elsewhere, such as at the protected resource.
    Superseded,
}
