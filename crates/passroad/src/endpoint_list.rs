//! Types shared by discovery, dispatcher, handover and configuration: the endpoint list and its entries, the
//! dispatcher's requests to discovery, and the state that a process hands over to its successor.

use passroad_choice::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

#[derive(Deserialize, Debug, Default)]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    #[serde(rename = "members")]
    pub entries: Vec<ListEntry>,
}

#[derive(Deserialize, Serialize, Debug, Clone, PartialEq)]
pub struct ListEntry {
    pub id: String,
    #[serde(rename = "host_port")]
    pub address: Option<SocketAddr>,
    #[serde(default, rename = "locality")]
    pub zone: String,
    #[serde(default, rename = "flavor")]
    pub kind: String,
    #[serde(default)]
    pub cell: usize,
    pub phase: Phase,
    #[serde(default = "default_size")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: u64,
}

#[derive(Deserialize, Serialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Up,
    Draining,
    Removed,
}

fn default_size() -> f64 {
    1.0
}

impl ListEntry {
    pub fn state(&self) -> EndpointState {
        match self.phase {
            Phase::Up => EndpointState::Running,
            Phase::Draining => EndpointState::Draining,
            Phase::Removed => EndpointState::Removed,
        }
    }
}

/// The dispatcher's requests to discovery.
#[derive(Debug, PartialEq)]
pub enum DiscoveryRequest {
    Watch(bool),
    FullList,
}

/// The state that a process hands over to its successor.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
pub struct HandoverState {
    pub version: u32,
    pub listen: SocketAddr,
    pub revision: Option<u64>,
    #[serde(rename = "members")]
    pub entries: Vec<ListEntry>,
    /// Ids of endpoints that an operator has cordoned. In version 1: of all that are out of use, for whichever reason.
    #[serde(rename = "bans")]
    pub cordoned: BTreeSet<String>,
    /// Ids of endpoints that are out for maintenance; not in version 1.
    #[serde(default, rename = "work", skip_serializing_if = "BTreeSet::is_empty")]
    pub under_maintenance: BTreeSet<String>,
    /// Hashes of ids that have left the list.
    #[serde(rename = "left")]
    pub removed: Vec<u64>,
    /// Ids of open commands.
    #[serde(default, rename = "open")]
    pub open_ids: Vec<String>,
    pub descriptors: usize,
    /// What the decision module has learned. If it can't be read, the rest is still taken over.
    #[serde(default, rename = "learnt")]
    pub learned_state: serde_json::Value,
}

pub fn parse_list(bytes: &[u8]) -> Result<EndpointList, String> {
    let list: EndpointList =
        serde_json::from_slice(bytes).map_err(|e| format!("malformed list: {e}"))?;
    match list
        .entries
        .iter()
        .find(|entry| entry.phase == Phase::Up && entry.address.is_none())
    {
        Some(entry) => Err(format!(
            "malformed list: {} is up without an address",
            entry.id
        )),
        None => Ok(list),
    }
}
