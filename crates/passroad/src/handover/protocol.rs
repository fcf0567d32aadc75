//! What the two processes of a handover send each other: the state, and then lines over the link, one message each.
//!
//! The new process requests the newest version that it speaks; the old one answers in the newest that both speak.
//! Version 1 has one set of endpoints that are out of use, without the reason. A change of it on the link is always an
//! operator's call.

use crate::endpoint_list::HandoverState;
use crate::exclusions::{ExclusionChange, ExclusionNotice, ExclusionReason};
use serde::{Deserialize, Serialize};

/// The newest version that this process speaks.
pub const VERSION: u32 = 2;
/// The version in which exclusions have no reason.
pub const VERSION_WITHOUT_REASONS: u32 = 1;

/// A line between the two processes.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Message {
    /// The new process requests a handover, in this version.
    #[serde(rename = "ask")]
    Request(u32),
    /// The new process accepts clients.
    Ready,
    #[serde(rename = "out")]
    Cordoned(String),
    #[serde(rename = "back")]
    Uncordoned(String),
    /// Maintenance of an endpoint has begun or ended; not in version 1.
    #[serde(rename = "work")]
    MaintenanceBegun(String),
    #[serde(rename = "worked")]
    MaintenanceEnded(String),
    /// The last change of an exclusion is in effect here, too.
    #[serde(rename = "done")]
    Applied,
    /// A command of this id is open here, or no longer.
    #[serde(rename = "taken")]
    IdOpened(String),
    #[serde(rename = "given")]
    IdClosed(String),
}

impl Message {
    /// The message as a line.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }

    /// The message that tells a process of this version of a change; none if the change is nothing to it.
    pub fn for_notice(notice: &ExclusionNotice, version: u32) -> Option<Message> {
        let change = &notice.change;
        let id = change.id.clone();
        if version > VERSION_WITHOUT_REASONS {
            return Some(match (change.reason, change.excluded) {
                (ExclusionReason::Operator, true) => Message::Cordoned(id),
                (ExclusionReason::Operator, false) => Message::Uncordoned(id),
                (ExclusionReason::Maintenance, true) => Message::MaintenanceBegun(id),
                (ExclusionReason::Maintenance, false) => Message::MaintenanceEnded(id),
            });
        }
        match (change.excluded, notice.out_of_use) {
            (true, _) => Some(Message::Cordoned(id)),
            (false, false) => Some(Message::Uncordoned(id)),
            // The other reason still holds; there the end of one would end both.
            (false, true) => None,
        }
    }

    /// The change of an exclusion that the message reports, if it reports one.
    pub fn exclusion_change(&self) -> Option<ExclusionChange> {
        let (id, reason, excluded) = match self {
            Message::Cordoned(id) => (id, ExclusionReason::Operator, true),
            Message::Uncordoned(id) => (id, ExclusionReason::Operator, false),
            Message::MaintenanceBegun(id) => (id, ExclusionReason::Maintenance, true),
            Message::MaintenanceEnded(id) => (id, ExclusionReason::Maintenance, false),
            _ => return None,
        };
        Some(ExclusionChange {
            id: id.clone(),
            reason,
            excluded,
        })
    }
}

/// The version that both processes speak, if the new one requests this version.
pub fn common_version(requested: u32) -> Option<u32> {
    (requested >= VERSION_WITHOUT_REASONS).then_some(requested.min(VERSION))
}

/// The state as a process of this version reads it.
pub fn state_in_version(mut state: HandoverState, version: u32) -> HandoverState {
    state.version = version;
    if version == VERSION_WITHOUT_REASONS {
        state.cordoned.append(&mut state.under_maintenance);
    }
    state
}
