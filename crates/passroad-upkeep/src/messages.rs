//! The messages between sidecars, and the actions that a [`MaintenanceManager`](crate::MaintenanceManager) returns.

use crate::{Entry, Epoch, MachineId, MaintenanceState, Member};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Asks for log entries from an offset on. Sent by a new coordinator, or with epoch 0 by a participant that has
    /// just started.
    Query {
        coordinator_epoch: Epoch,
        offset: u32,
    },
    /// Entries from an offset on, and how many there are. Uninformed if the sender has received no log since it
    /// started.
    QueryReply {
        coordinator_epoch: Epoch,
        offset: u32,
        total: u32,
        uninformed: bool,
        entries: Vec<Entry>,
    },
    /// The coordinator's current steps of some entries, and how many entries are unfinished.
    Update {
        coordinator_epoch: Epoch,
        open_entries: u32,
        entries: Vec<Entry>,
    },
    /// Acknowledges versions of entries, each with whether the sender has nothing on the machine.
    Ack {
        coordinator_epoch: Epoch,
        acks: Vec<(MachineId, Epoch, u32, bool)>,
    },
    /// An operator's request to take machines out.
    Schedule {
        request: u64,
        duration_s: u32,
        auto_return: bool,
        machines: Vec<MachineId>,
    },
    /// An operator's action on one machine.
    Operate {
        request: u64,
        machine: MachineId,
        action: OperatorAction,
    },
    /// The coordinator and a majority have the request, or why it is rejected.
    Response {
        request: u64,
        rejected: Option<Rejection>,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OperatorAction {
    /// Cancels it, if maintenance has not begun.
    Withdraw,
    /// Ends the maintenance and returns the machine to use.
    Complete,
    /// Treats the machine as idle although some sidecars have not reported it.
    Force,
    /// Starts the coordinator with the entries it knows, although a majority of the voters has lost its state.
    Bootstrap,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    UnknownMachine,
    /// Maintenance has begun; it can only be completed.
    AlreadyStarted,
    NotUnderMaintenance,
    NotDraining,
}

impl Message {
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

/// Actions for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Member,
        message: Message,
    },
    /// Stop sending to a machine, or use it again.
    SetExcluded {
        machine: MachineId,
        excluded: bool,
    },
    /// The answer to an operator's request.
    Respond {
        request: u64,
        rejected: Option<Rejection>,
    },
    Report {
        machine: MachineId,
        event: MachineEvent,
    },
}

/// Events of a machine for the log, each reported once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    StateChanged(MaintenanceState),
    /// Some sidecars have not replied: the machine waits for them, or for an operator.
    WaitingForReplies {
        missing_replies: usize,
    },
    Forced {
        not_idle: usize,
    },
    /// Its duration is over, and it is still out.
    Overdue,
    /// Other machines are down: it goes back to the queue before its maintenance has begun.
    Requeued,
}
