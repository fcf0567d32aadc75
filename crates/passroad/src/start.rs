//! What a sidecar is told at its start.

use crate::list::List;
use passroad_choice::StandingOrders;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub known: Option<List>,
    pub orders: StandingOrders,
    pub connect_within: Duration,
}

#[derive(Deserialize)]
struct Told {
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// Reads the file that `LB_CONFIG` names; the other variables stand in for what it leaves out.
pub fn read() -> Result<Start, String> {
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set".to_string())?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&bytes, |name| std::env::var(name).ok()).map_err(|fault| format!("{path}: {fault}"))
}

fn parse(bytes: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
    let told: Told = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&told.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let address = |told: Option<SocketAddr>, name: &str| match (told, variable(name)) {
        (Some(address), _) => Ok(address),
        (None, Some(text)) => text.parse().map_err(|e| format!("{name}: {e}")),
        (None, None) => Err(format!("no address: {name} is not set either")),
    };
    Ok(Start {
        listen: address(told.listen, "LB_LISTEN")?,
        discovery: address(told.discovery, "LB_DISCOVERY")?,
        sockets: told.limits.sockets,
        known: told.known,
        connect_within: passroad_orders::connect_within(&told.settings)?,
        orders: passroad_orders::from_value(seed, &told.settings)?,
        name: told.name,
    })
}
