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
    name: Option<String>,
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
        name: told.name.or_else(|| variable("LB_NAME")).unwrap_or_else(|| "passroad".into()),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const SETTINGS: &str = r#"{"verbs":[{"name":"v","effect":"read_like"}]}"#;

    #[rstest]
    #[case(r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2","#, Ok(("n7", 1)))]
    #[case(r#""name":"n8","discovery":"127.0.0.1:2","#, Ok(("n8", 9)))]
    #[case(r#""listen":"127.0.0.1:1","#, Err("no address: LB_DISCOVERY is not set either"))]
    fn variables_stand_in_for_what_the_file_leaves_out(
        #[case] fields: &str,
        #[case] expected: Result<(&str, u16), &str>,
    ) {
        let text = format!(r#"{{{fields}"seed":"0f","settings":{SETTINGS}}}"#);
        let variable = |name: &str| match name {
            "LB_NAME" => Some("n7".to_string()),
            "LB_LISTEN" => Some("127.0.0.1:9".to_string()),
            _ => None,
        };
        let start = parse(text.as_bytes(), variable);
        let read = start.as_ref().map(|s| (s.name.as_str(), s.listen.port())).map_err(String::as_str);
        assert_eq!((read, start.as_ref().ok().map(|s| s.sockets)), (expected, expected.ok().map(|_| 1024)));
    }
}
