//! What list, desk, upgrade and start share: a member of the list, a list, what is asked of discovery, and what one process
//! hands over to the next.

use passroad_choice::EndpointState;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Deserialize, Debug, Default)]
pub struct List {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize, Serialize, Debug, Clone, PartialEq)]
pub struct Member {
    pub id: String,
    pub host_port: Option<SocketAddr>,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: usize,
    pub phase: Phase,
    #[serde(default = "usual_size")]
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

fn usual_size() -> f64 {
    1.0
}

impl Member {
    pub fn mode(&self) -> EndpointState {
        match self.phase {
            Phase::Up => EndpointState::Running,
            Phase::Draining => EndpointState::Draining,
            Phase::Removed => EndpointState::Removed,
        }
    }
}

/// What the module asks of discovery.
#[derive(Debug, PartialEq)]
pub enum Call {
    Watch(bool),
    Whole,
}

/// What a process knows that the next one is to know.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
pub struct Known {
    pub version: u32,
    pub listen: SocketAddr,
    pub revision: Option<u64>,
    pub members: Vec<Member>,
    pub bans: Vec<String>,
    /// Marks of ids that have left the list.
    pub left: Vec<u64>,
    /// Ids of commands that are open.
    #[serde(default)]
    pub open: Vec<String>,
    pub descriptors: usize,
    /// What the module has learnt; of another form it is passed over alone.
    #[serde(default)]
    pub learnt: serde_json::Value,
}

pub fn read(bytes: &[u8]) -> Result<List, String> {
    let list: List = serde_json::from_slice(bytes).map_err(|e| format!("malformed list: {e}"))?;
    match list
        .members
        .iter()
        .find(|m| m.phase == Phase::Up && m.host_port.is_none())
    {
        Some(lost) => Err(format!(
            "malformed list: {} is up without an address",
            lost.id
        )),
        None => Ok(list),
    }
}
