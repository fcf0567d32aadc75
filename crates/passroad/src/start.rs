//! What a sidecar is told at its start, and anew on SIGHUP.

use crate::Files;
use crate::fleet;
use crate::members::List;
use passroad_choice::BalancerConfig;
use passroad_routes::RoutesConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Shared with the processes before and after this one, where it is.
    pub folder: Option<PathBuf>,
    /// The operators' door, where there is one.
    pub management: Option<SocketAddr>,
    pub sockets: usize,
    pub memory: usize, // bytes
    pub known: Option<List>,
    pub orders: BalancerConfig,
    /// Orders that are only watched: what they would have decided otherwise is counted.
    pub watch: Option<Watch>,
    pub connect_within: Duration,
    /// Which pool serves what, where a file says so.
    pub routes: Option<RoutesConfig>,
    /// Its part in the fleet, where a file asks for one.
    pub fleet: Option<(fleet::FleetOrders, fleet::Place)>,
    /// The whole file.
    told: serde_json::Value,
}

/// Times of the sidecar's own that follow from the orders.
#[derive(Clone, Copy)]
pub struct Pace {
    /// How long a watch on the list waits. Renewing one costs discovery nothing, and one whose connection fell silent
    /// is found out only at its end: a fraction of the time that a list may go unasked for.
    pub hold: Duration,
    /// The longest limit that a command may have come with.
    pub longest: Duration,
    /// Lists are pushed: who is asked is an agent beside this process, whose news counts as told at once. So long it has for
    /// a whole list: well within the grace for drains.
    pub agent: Option<Duration>,
}

impl Pace {
    pub fn of(orders: &BalancerConfig) -> Self {
        let longest = orders
            .classes
            .iter()
            .map(|v| v.time_limit)
            .max()
            .unwrap_or_default();
        let agent = (!orders.list_on_request).then_some(orders.drain_grace / 2);
        Pace {
            hold: orders.list_poll_interval / 4,
            longest,
            agent,
        }
    }

    /// Other orders: commands of the ones before may be open.
    pub fn then(self, other: Pace) -> Self {
        Pace {
            longest: self.longest.max(other.longest),
            ..other
        }
    }
}

/// Settings of another shape, and how often the log says what they would have decided otherwise.
pub struct Watch {
    pub orders: BalancerConfig,
    pub every: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Watched {
    /// Laid over `settings`, key by key; null takes a key out.
    settings: serde_json::Value,
    #[serde(default = "each_minute")]
    every_s: f64,
}

fn each_minute() -> f64 {
    60.0
}

#[derive(Deserialize)]
struct Told {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    management: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: serde_json::Value,
    watch: Option<Watched>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}

/// Reads the file that `LB_CONFIG` names, and the routes that `LB_ROUTES` names; the other variables stand in for what
/// the first leaves out.
pub fn read(files: &Files) -> Result<Start, String> {
    let named = |told: &Option<PathBuf>, name: &str| {
        told.clone()
            .or_else(|| std::env::var_os(name).map(PathBuf::from))
    };
    let path =
        named(&files.config, "LB_CONFIG").ok_or_else(|| "LB_CONFIG is not set".to_string())?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let read = parse(&bytes, |name| std::env::var(name).ok());
    let mut start = read.map_err(|fault| format!("{}: {fault}", path.display()))?;
    if let Some(path) = named(&files.routes, "LB_ROUTES") {
        start.routes = Some(read_routes(&path, &start.orders)?);
    }
    if let Some(path) = named(&files.fleet, "LB_FLEET") {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut orders =
            fleet::read(&text).map_err(|wrong| format!("{}: {wrong}", path.display()))?;
        // As long as the settings say, where the file does not.
        let warm = start.orders.warm_up_time;
        orders
            .upkeep
            .iter_mut()
            .filter(|upkeep| upkeep.warm.is_zero())
            .for_each(|upkeep| upkeep.warm = warm);
        start.fleet = Some((orders, fleet::Place::of(&start.name, &start.told)?));
    }
    Ok(start)
}

/// What a start would say of these files, without one.
pub fn check(files: &Files) -> Result<String, String> {
    let start = read(files)?;
    let watch = if start.watch.is_some() {
        ", with other settings watched"
    } else {
        ""
    };
    let (verbs, zones) = (start.orders.classes.len(), start.orders.zones.len());
    let routes = match &start.routes {
        Some(routes) => format!(
            "{} routes to {} pools",
            routes.routes.len(),
            routes.pools.len()
        ),
        None => "no routes".into(),
    };
    let fleet = match &start.fleet {
        Some((orders, place)) if place.may_talk => {
            format!(
                ", {} duties among {} sidecars",
                orders.duties.len(),
                place.peers.len()
            )
        }
        Some(_) => ", a fleet's file but no leave to talk".into(),
        None => String::new(),
    };
    let door = start
        .management
        .map_or_else(String::new, |at| format!(", operators at {at}"));
    Ok(format!(
        "{}: {verbs} verbs, {zones} zones, {routes}{fleet}{door}{watch}: nothing is wrong",
        start.name
    ))
}

/// Reads the file of routes that `LB_ROUTES` names, against the settings that it is to work with.
fn read_routes(path: &Path, orders: &BalancerConfig) -> Result<RoutesConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    passroad_routes::parse_routes(&text, orders)
        .map_err(|wrong| format!("{}: {wrong}", path.display()))
}

/// Caught from before the sidecar says that it is ready: by default the signal would end it.
pub fn sighup() -> Result<Signal, String> {
    signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))
}

/// Reads the file again on each SIGHUP, and takes it whole or not at all: a faulty file leaves all as it was.
pub async fn read_again(
    files: Files,
    mut hangups: Signal,
    mut before: Kept,
    retune: impl Fn(&Start) -> Result<(), String>,
) {
    while hangups.recv().await.is_some() {
        let now = read(&files).and_then(|now| {
            before.complete(&now)?;
            if before.told["settings"] != now.told["settings"] || before.routes != now.routes {
                retune(&now)?;
            }
            Ok(now)
        });
        match now {
            Ok(now) => {
                let moved = before
                    .discovery
                    .send_if_modified(|at| std::mem::replace(at, now.discovery) != now.discovery);
                let waiting = before.differs(&now);
                let rest = if waiting.is_empty() {
                    "nothing".into()
                } else {
                    waiting.join(", ")
                };
                let word = if moved { "now" } else { "still" };
                log::info!(
                    "configuration read again: discovery is {word} at {}; for the next start: {rest}",
                    now.discovery
                );
                (before.told, before.routes) = (now.told, now.routes);
            }
            Err(fault) => log::warn!(
                "configuration not taken, the one before stays in force: {}",
                fault.replace('\n', " ")
            ),
        }
    }
}

/// The configuration in force, and what of it stays so until the process ends.
pub struct Kept {
    told: serde_json::Value,
    routes: Option<RoutesConfig>,
    discovery: watch::Sender<SocketAddr>,
    at_start: [(&'static str, serde_json::Value); 6],
}

/// Parts of the file that a running process can't change.
fn fixed(told: &serde_json::Value) -> [(&'static str, serde_json::Value); 6] {
    let part = |path: &'static str| (path, told.pointer(path).cloned().unwrap_or_default());
    [
        "/name",
        "/listen",
        "/management",
        "/limits",
        "/settings/allowed/connect_timeout",
        "/settings/allowed/idle_close",
    ]
    .map(part)
}

impl Kept {
    pub fn of(start: &Start, discovery: watch::Sender<SocketAddr>) -> Self {
        let (told, routes) = (start.told.clone(), start.routes.clone());
        Kept {
            at_start: fixed(&told),
            told,
            routes,
            discovery,
        }
    }

    fn differs(&self, now: &Start) -> Vec<&'static str> {
        let all = self.at_start.iter().zip(fixed(&now.told));
        let mut parts: Vec<_> = all
            .filter(|(was, is)| was.1 != is.1)
            .map(|(was, _)| &was.0[1..])
            .collect();
        parts.extend((self.told.get("watch") != now.told.get("watch")).then_some("watch"));
        parts
    }

    /// Guards against a file that was cut short and is read as one with fewer orders.
    fn complete(&self, now: &Start) -> Result<(), String> {
        match lacks(&self.told, &now.told, "") {
            Some(path) => Err(format!("{path} is missing")),
            None => Ok(()),
        }
    }
}

/// What may be left out of a file that takes the place of one which has it.
const OPTIONAL: [&str; 6] = [
    "/known",
    "/watch",
    "/settings/domain/passes_deadline",
    "/settings/domain/warm_keys",
    "/settings/prices/fleet",
    "/aim_stretch",
];

/// The first key that is there before and not now; of a list of objects, one that all had.
fn lacks(before: &serde_json::Value, now: &serde_json::Value, path: &str) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (before, now) {
        (Object(before), Object(now)) => before.iter().find_map(|(key, held)| {
            let path = format!("{path}/{key}");
            if OPTIONAL.iter().any(|optional| path.ends_with(optional)) {
                return None;
            }
            match now.get(key) {
                Some(now) => lacks(held, now, &path),
                None => Some(path),
            }
        }),
        (Array(before), Array(now)) => {
            let mut all = before.iter().filter_map(|held| held.as_object());
            let mut common = all.next()?.clone();
            all.for_each(|held| common.retain(|key, _| held.contains_key(key)));
            let common = Object(
                common
                    .into_iter()
                    .map(|(key, _)| (key, serde_json::Value::Null))
                    .collect(),
            );
            now.iter()
                .enumerate()
                .find_map(|(n, now)| lacks(&common, now, &format!("{path}/{n}")))
        }
        _ => None,
    }
}

fn parse(bytes: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
    let told: Told = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let whole: serde_json::Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&told.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let address = |told: Option<SocketAddr>, name: &str| match (told, variable(name)) {
        (Some(address), _) => Ok(address),
        (None, Some(text)) => text.parse().map_err(|e| format!("{name}: {e}")),
        (None, None) => Err(format!("no address: {name} is not set either")),
    };
    let management = match (
        told.management,
        variable("LB_MANAGEMENT").filter(|text| !text.is_empty()),
    ) {
        (None, Some(text)) => Some(text.parse().map_err(|e| format!("LB_MANAGEMENT: {e}"))?),
        (told, _) => told,
    };
    let watch = told
        .watch
        .map(|watch| watched(seed, &told.settings, watch))
        .transpose();
    Ok(Start {
        watch: watch.map_err(|fault| format!("watch: {fault}"))?,
        listen: address(told.listen, "LB_LISTEN")?,
        discovery: address(told.discovery, "LB_DISCOVERY")?,
        management,
        folder: variable("TMPDIR").map(PathBuf::from),
        sockets: told.limits.sockets,
        memory: (told.limits.memory_mb.clamp(1.0, 1e6) * 1e6) as usize,
        known: told.known,
        connect_within: passroad_orders::connect_timeout(&told.settings)?,
        orders: passroad_orders::config_from_value(seed, &told.settings)?,
        routes: None,
        fleet: None,
        name: told
            .name
            .or_else(|| variable("LB_NAME"))
            .unwrap_or_else(|| "passroad".into()),
        told: whole,
    })
}

/// Guards against a watch that counts nothing comparable: what commands are and where the sidecar stands can't differ.
fn watched(seed: u64, settings: &serde_json::Value, watch: Watched) -> Result<Watch, String> {
    let over = watch
        .settings
        .as_object()
        .ok_or("settings: not an object")?;
    if let Some(key) = ["verbs", "tenants", "dcs", "az", "discovery", "tick"]
        .iter()
        .find(|key| over.contains_key(**key))
    {
        return Err(format!("settings: /{key} must be as it is"));
    }
    if !(0.1..=86_400.0).contains(&watch.every_s) {
        return Err(format!(
            "every_s: {} is not from 0.1 to 86400",
            watch.every_s
        ));
    }
    let mut whole = settings.clone();
    lay_over(&mut whole, &watch.settings);
    let orders = passroad_orders::config_from_value(seed, &whole)?;
    Ok(Watch {
        orders,
        every: Duration::from_secs_f64(watch.every_s),
    })
}

/// As RFC 7396 has it.
fn lay_over(under: &mut serde_json::Value, over: &serde_json::Value) {
    let Some(keys) = over.as_object() else {
        return under.clone_from(over);
    };
    if !under.is_object() {
        *under = serde_json::json!({});
    }
    let Some(held) = under.as_object_mut() else {
        return;
    };
    for (key, value) in keys {
        if value.is_null() {
            held.remove(key);
        } else {
            lay_over(held.entry(key).or_insert(serde_json::Value::Null), value);
        }
    }
}

#[cfg(test)]
mod tests;
