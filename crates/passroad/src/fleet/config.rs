//! The fleet file, and what the configuration says about the other sidecars.

use hyper::Uri;
use passroad_choice::interner::stable_hash;
use passroad_units::{ConfigError, HumanDuration, Ratio, line_number};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

const MIN_LEASE: Duration = Duration::from_millis(200);
const MAX_LEASE: Duration = Duration::from_secs(60);
const MAX_VOTERS: usize = 7;
const MAX_TASKS: usize = 8;
/// The lease divided by this is left when a call ends.
const CALL_MARGIN_DIVISOR: u32 = 20;

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    #[serde(default = "default_lease")]
    lease: Spanned<HumanDuration>,
    #[serde(default = "default_period")]
    period: Spanned<HumanDuration>,
    #[serde(default = "default_voters")]
    voters: Spanned<usize>,
    #[serde(default)]
    state: Option<Spanned<String>>,
    #[serde(default, rename = "duty")]
    tasks: Vec<Spanned<TaskTable>>,
    #[serde(default, rename = "upkeep")]
    maintenance: Option<Spanned<MaintenanceTable>>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct MaintenanceTable {
    #[serde(default = "default_max_out", rename = "at_once")]
    max_out: usize,
    #[serde(default = "default_max_out", rename = "at_once_in_a_zone")]
    max_out_per_zone: usize,
    #[serde(default, rename = "at_once_in_a_cell")]
    max_out_per_cell: Option<usize>,
    #[serde(default = "default_reserve", rename = "reserve")]
    capacity_reserve: Ratio,
    #[serde(default, rename = "warm")]
    warm_up_time: Option<HumanDuration>,
}

fn default_max_out() -> usize {
    1
}
fn default_reserve() -> Ratio {
    Ratio(0.1)
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct TaskTable {
    name: Spanned<String>,
    #[serde(rename = "every")]
    interval: Spanned<HumanDuration>,
    call: Spanned<String>,
    #[serde(default, rename = "within")]
    timeout: Option<Spanned<HumanDuration>>,
}

fn default_lease() -> Spanned<HumanDuration> {
    Spanned::new(0..0, HumanDuration(Duration::from_secs(3)))
}
fn default_period() -> Spanned<HumanDuration> {
    Spanned::new(0..0, HumanDuration(Duration::from_secs(1)))
}
fn default_voters() -> Spanned<usize> {
    Spanned::new(0..0, 5)
}

/// The contents of the fleet file.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    pub lease: Duration,
    pub period: Duration,
    pub voters: usize,
    pub state: Option<PathBuf>,
    pub tasks: Vec<LeasedTask>,
    /// None if the file doesn't configure maintenance.
    pub maintenance: Option<MaintenanceSettings>,
}

/// How many machines may be out for maintenance at once.
#[derive(Debug, Clone)]
pub struct MaintenanceSettings {
    pub max_out: usize,
    pub max_out_per_zone: usize,
    pub max_out_per_cell: usize,
    pub capacity_reserve: f64,
    /// How long a machine takes to be warm; taken from the settings if the file doesn't say.
    pub warm_up_time: Duration,
}

/// Name of the lease whose owner coordinates maintenance.
pub const MAINTENANCE_LEASE: &str = "upkeep";

/// A task of the fleet that only the owner of its lease carries out.
#[derive(Debug, Clone)]
pub struct LeasedTask {
    pub name: String,
    pub key: u64,
    pub interval: Duration,
    /// None for the lease whose owner coordinates maintenance.
    pub call: Option<Uri>,
    /// A call ends after this, which is before the lease that it began under can expire.
    pub timeout: Duration,
}

/// This sidecar and its peers.
#[derive(Debug, Clone)]
pub struct PeerConfig {
    pub name: String,
    /// Index of this sidecar among the addresses.
    pub me: u16,
    pub listen: SocketAddr,
    pub addresses: Vec<SocketAddr>,
    pub messages_allowed: bool,
}

impl PeerConfig {
    /// From the whole configuration file.
    pub fn from_value(name: &str, config: &serde_json::Value) -> Result<PeerConfig, String> {
        let at = |path: &str| config.pointer(path).filter(|v| !v.is_null());
        let address =
            |v: &serde_json::Value, key: &str| match v.as_str().map(str::parse::<SocketAddr>) {
                Some(Ok(address)) => Ok(address),
                _ => Err(format!("{key}: {v} is no address")),
            };
        let listen =
            at("/peer_listen").ok_or("peer_listen is missing, and the fleet's file needs it")?;
        let listen = address(listen, "peer_listen")?;
        let peers = at("/peers").and_then(serde_json::Value::as_array);
        let peers = peers.ok_or("peers: no list, and the fleet's file needs it")?;
        let peers = peers
            .iter()
            .map(|v| address(v, "peers"))
            .collect::<Result<Vec<_>, _>>()?;
        if let Some(duplicate) = (1..peers.len()).find(|n| peers[..*n].contains(&peers[*n])) {
            return Err(format!("peers: {} is there twice", peers[duplicate]));
        }
        let me = match at("/settings/my_number").map(|v| (v, v.as_u64())) {
            Some((_, Some(me))) if (me as usize) < peers.len() => me as u16,
            Some((v, _)) => return Err(format!("settings: /my_number: {v} is no place in peers")),
            None => match peers.iter().position(|peer| *peer == listen) {
                Some(me) => me as u16,
                None => {
                    return Err(
                        "settings: /my_number is missing, and peer_listen is not in peers".into(),
                    );
                }
            },
        };
        if peers.len() > 8000 {
            return Err(format!("peers: {}, over 8000", peers.len()));
        }
        let messages_allowed = match at("/settings/allowed/may_tell") {
            None => false,
            Some(v) => v
                .as_bool()
                .ok_or("settings: /allowed/may_tell is not true or false")?,
        };
        Ok(PeerConfig {
            name: name.into(),
            me,
            listen,
            addresses: peers,
            messages_allowed,
        })
    }
}

/// Parses the fleet file; errors name the line.
pub fn parse(text: &str) -> Result<FleetConfig, ConfigError> {
    let file: FleetFile = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let error = |at: usize, message: String| {
        Err(ConfigError {
            line: line_number(text, at),
            message,
        })
    };
    let lease = file.lease.get_ref().0;
    if !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
        return error(file.lease.span().start, "lease: from 200ms to 60s".into());
    }
    let period = file.period.get_ref().0;
    if !(Duration::from_millis(100)..=MAX_LEASE).contains(&period) {
        return error(file.period.span().start, "period: from 100ms to 60s".into());
    }
    let voters = *file.voters.get_ref();
    if voters > MAX_VOTERS || voters.is_multiple_of(2) {
        return error(
            file.voters.span().start,
            format!("voters: {voters} is not 1, 3, 5 or 7"),
        );
    }
    if file
        .state
        .as_ref()
        .is_some_and(|state| state.get_ref().is_empty())
    {
        return error(
            file.state.map_or(0, |s| s.span().start),
            "state: names no file".into(),
        );
    }
    if file.tasks.len() > MAX_TASKS {
        return error(
            file.tasks[MAX_TASKS].span().start,
            format!("duty: more than {MAX_TASKS}"),
        );
    }
    let mut tasks: Vec<LeasedTask> = Vec::new();
    for spanned in &file.tasks {
        let task = spanned.get_ref();
        let name = task.name.get_ref().clone();
        let invalid =
            name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        if invalid || name == MAINTENANCE_LEASE || tasks.iter().any(|known| known.name == name) {
            let at = task.name.span().start;
            return error(
                at,
                format!("name: '{name}' is taken, or not of letters, digits and -"),
            );
        }
        let interval = task.interval.get_ref().0;
        if interval < Duration::from_millis(1) {
            return error(
                task.interval.span().start,
                "every: a millisecond at least".into(),
            );
        }
        let call = task.call.get_ref();
        let uri = call.parse::<Uri>().ok().filter(|uri| {
            uri.scheme_str() == Some("http")
                && uri
                    .host()
                    .is_some_and(|host| host.parse::<std::net::IpAddr>().is_ok())
        });
        let Some(uri) = uri else {
            let at = task.call.span().start;
            return error(
                at,
                format!("call: '{call}' is no http://ADDRESS:PORT/PATH (names are not looked up)"),
            );
        };
        // A call has to end before the lease expires, of which a third may have passed since the last renewal.
        let most = lease.mul_f64(0.95 * 2.0 / 3.0) - lease / CALL_MARGIN_DIVISOR;
        let timeout = match &task.timeout {
            None => most.min(Duration::from_secs(5)),
            Some(timeout) if timeout.get_ref().0.is_zero() || timeout.get_ref().0 > most => {
                let at = timeout.span().start;
                return error(
                    at,
                    format!(
                        "within: more than 0 and at most {most:?}, given the lease of {lease:?}"
                    ),
                );
            }
            Some(timeout) => timeout.get_ref().0,
        };
        let key = stable_hash(&name);
        tasks.push(LeasedTask {
            name,
            key,
            interval,
            call: Some(uri),
            timeout,
        });
    }
    let maintenance = match &file.maintenance {
        None => None,
        Some(table) => {
            let (at, table) = (table.span().start, table.get_ref());
            let is_zero = table.max_out == 0
                || table.max_out_per_zone == 0
                || table.max_out_per_cell == Some(0);
            if is_zero || table.capacity_reserve.0 > 0.9 {
                return error(
                    at,
                    "upkeep: at_once, in a zone and in a cell from 1, reserve to 90%".into(),
                );
            }
            let (timeout, interval) = (Duration::MAX, Duration::MAX);
            let key = stable_hash(MAINTENANCE_LEASE);
            tasks.push(LeasedTask {
                name: MAINTENANCE_LEASE.into(),
                key,
                interval,
                call: None,
                timeout,
            });
            Some(MaintenanceSettings {
                max_out: table.max_out,
                max_out_per_zone: table.max_out_per_zone,
                max_out_per_cell: table.max_out_per_cell.unwrap_or(table.max_out),
                capacity_reserve: table.capacity_reserve.0,
                warm_up_time: table.warm_up_time.unwrap_or_default().0,
            })
        }
    };
    let state = file.state.map(|state| PathBuf::from(state.into_inner()));
    Ok(FleetConfig {
        lease,
        period,
        voters,
        state,
        tasks,
        maintenance,
    })
}

#[cfg(test)]
mod tests;
