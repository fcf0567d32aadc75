//! The sidecar's configuration: loaded at the start, and reloaded on SIGHUP.

use crate::Files;
use crate::endpoint_list::EndpointList;
use crate::fleet;
use passroad_choice::BalancerConfig;
use passroad_routes::RoutesConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

pub struct SidecarConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Directory of the handover socket, shared with the old and the new process, if there is one.
    pub handover_dir: Option<PathBuf>,
    /// Address of the management endpoint, if there is one.
    pub management: Option<SocketAddr>,
    pub max_sockets: usize,
    pub memory_bytes: usize,
    pub initial_list: Option<EndpointList>,
    pub balancer: BalancerConfig,
    /// Settings for shadow evaluation: what they would have decided differently is counted.
    pub shadow: Option<ShadowConfig>,
    pub connect_timeout: Duration,
    /// Which pool serves which request, if a file says so.
    pub routes: Option<RoutesConfig>,
    /// The fleet member's configuration, if there is a fleet file.
    pub fleet: Option<(fleet::FleetConfig, fleet::PeerConfig)>,
    /// The whole configuration file.
    document: serde_json::Value,
}

/// Timings of the sidecar itself that follow from the configuration.
#[derive(Clone, Copy)]
pub struct Timings {
    /// How long a watch on the list waits: a fraction of the time after which a list has to be polled. Renewing a watch
    /// costs discovery nothing, and one whose connection fell silent is noticed only at its end.
    pub poll_hold: Duration,
    /// The longest time limit that an open command may have.
    pub max_time_limit: Duration,
    /// How long the agent has for a full list, well within the grace for drains. Set if lists are pushed: discovery is
    /// then an agent on this machine, whose news counts as received at once.
    pub agent_timeout: Option<Duration>,
}

impl Timings {
    pub fn of(config: &BalancerConfig) -> Self {
        let longest = config
            .classes
            .iter()
            .map(|class| class.time_limit)
            .max()
            .unwrap_or_default();
        let agent = (!config.list_on_request).then_some(config.drain_grace / 2);
        Timings {
            poll_hold: config.list_poll_interval / 4,
            max_time_limit: longest,
            agent_timeout: agent,
        }
    }

    /// The timings after a reconfiguration; commands of the previous one may still be open.
    pub fn then(self, other: Timings) -> Self {
        Timings {
            max_time_limit: self.max_time_limit.max(other.max_time_limit),
            ..other
        }
    }
}

/// Settings for shadow evaluation, and how often the log reports what they would have decided differently.
pub struct ShadowConfig {
    pub balancer: BalancerConfig,
    pub log_interval: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShadowSection {
    /// Merged into `settings` key by key; null removes a key.
    settings: serde_json::Value,
    #[serde(default = "default_interval_s")]
    every_s: f64,
}

fn default_interval_s() -> f64 {
    60.0
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    management: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: LimitsSection,
    known: Option<EndpointList>,
    settings: serde_json::Value,
    watch: Option<ShadowSection>,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    sockets: usize,
    memory_mb: f64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}

/// Loads the configuration file that `LB_CONFIG` names, the routes that `LB_ROUTES` names and the fleet file that
/// `LB_FLEET` names. Other variables stand in for what the configuration file leaves out.
pub fn load(files: &Files) -> Result<SidecarConfig, String> {
    let path_of = |option: &Option<PathBuf>, variable: &str| {
        option
            .clone()
            .or_else(|| std::env::var_os(variable).map(PathBuf::from))
    };
    let path =
        path_of(&files.config, "LB_CONFIG").ok_or_else(|| "LB_CONFIG is not set".to_string())?;
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let parsed = parse(&bytes, |name| std::env::var(name).ok());
    let mut config = parsed.map_err(|error| format!("{}: {error}", path.display()))?;
    if let Some(path) = path_of(&files.routes, "LB_ROUTES") {
        config.routes = Some(load_routes(&path, &config.balancer)?);
    }
    if let Some(path) = path_of(&files.fleet, "LB_FLEET") {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut fleet =
            fleet::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
        // The settings apply if the file doesn't say.
        let default = config.balancer.warm_up_time;
        fleet
            .maintenance
            .iter_mut()
            .filter(|maintenance| maintenance.warm_up_time.is_zero())
            .for_each(|maintenance| maintenance.warm_up_time = default);
        config.fleet = Some((
            fleet,
            fleet::PeerConfig::from_value(&config.name, &config.document)?,
        ));
    }
    Ok(config)
}

/// Checks these files as a start would; returns a summary.
pub fn check(files: &Files) -> Result<String, String> {
    let config = load(files)?;
    let shadow = if config.shadow.is_some() {
        ", with shadow settings"
    } else {
        ""
    };
    let (classes, zones) = (config.balancer.classes.len(), config.balancer.zones.len());
    let routes = match &config.routes {
        Some(routes) => format!(
            "{} routes to {} pools",
            routes.routes.len(),
            routes.pools.len()
        ),
        None => "no routes".into(),
    };
    let fleet = match &config.fleet {
        Some((fleet, peers)) if peers.messages_allowed => {
            format!(
                ", {} duties among {} sidecars",
                fleet.tasks.len(),
                peers.addresses.len()
            )
        }
        Some(_) => ", a fleet file but messages are forbidden".into(),
        None => String::new(),
    };
    let management = config
        .management
        .map_or_else(String::new, |at| format!(", management at {at}"));
    Ok(format!(
        "{}: {classes} request classes, {zones} zones, {routes}{fleet}{management}{shadow}: nothing is wrong",
        config.name
    ))
}

/// Loads the routes file against the settings that it is used with.
fn load_routes(path: &Path, config: &BalancerConfig) -> Result<RoutesConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    passroad_routes::parse_routes(&text, config)
        .map_err(|error| format!("{}: {error}", path.display()))
}

/// Registered before the sidecar reports that it is ready: by default the signal would end the process.
pub fn sighup() -> Result<Signal, String> {
    signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))
}

/// Reloads the files on each SIGHUP, and applies them whole or not at all: an invalid file changes nothing.
pub async fn reload_on_sighup(
    files: Files,
    mut hangups: Signal,
    mut before: ActiveConfig,
    reconfigure: impl Fn(&SidecarConfig) -> Result<(), String>,
) {
    while hangups.recv().await.is_some() {
        let now = load(&files).and_then(|now| {
            before.check_complete(&now)?;
            if before.document["settings"] != now.document["settings"]
                || before.routes != now.routes
            {
                reconfigure(&now)?;
            }
            Ok(now)
        });
        match now {
            Ok(now) => {
                let moved = before
                    .discovery
                    .send_if_modified(|at| std::mem::replace(at, now.discovery) != now.discovery);
                let pending = before.changed_fixed_parts(&now);
                let pending = if pending.is_empty() {
                    "nothing".into()
                } else {
                    pending.join(", ")
                };
                let still = if moved { "now" } else { "still" };
                log::info!(
                    "configuration read again: discovery is {still} at {}; for the next start: {pending}",
                    now.discovery
                );
                (before.document, before.routes) = (now.document, now.routes);
            }
            Err(error) => log::warn!(
                "configuration not applied, the previous one stays in force: {}",
                error.replace('\n', " ")
            ),
        }
    }
}

/// The configuration in force, and the parts of it that stay until the process ends.
pub struct ActiveConfig {
    document: serde_json::Value,
    routes: Option<RoutesConfig>,
    discovery: watch::Sender<SocketAddr>,
    fixed: [(&'static str, serde_json::Value); 6],
}

/// Parts of the file that a running process can't change.
fn fixed_parts(document: &serde_json::Value) -> [(&'static str, serde_json::Value); 6] {
    let part = |path: &'static str| (path, document.pointer(path).cloned().unwrap_or_default());
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

impl ActiveConfig {
    pub fn of(config: &SidecarConfig, discovery: watch::Sender<SocketAddr>) -> Self {
        let (document, routes) = (config.document.clone(), config.routes.clone());
        ActiveConfig {
            fixed: fixed_parts(&document),
            document,
            routes,
            discovery,
        }
    }

    fn changed_fixed_parts(&self, now: &SidecarConfig) -> Vec<&'static str> {
        let all = self.fixed.iter().zip(fixed_parts(&now.document));
        let mut parts: Vec<_> = all
            .filter(|(was, is)| was.1 != is.1)
            .map(|(was, _)| &was.0[1..])
            .collect();
        parts.extend((self.document.get("watch") != now.document.get("watch")).then_some("watch"));
        parts
    }

    /// Prevents applying a truncated file, which would be read as one with fewer settings.
    fn check_complete(&self, now: &SidecarConfig) -> Result<(), String> {
        match missing_key(&self.document, &now.document, "") {
            Some(path) => Err(format!("{path} is missing")),
            None => Ok(()),
        }
    }
}

/// Keys that a new file may lack although the previous one has them.
const OPTIONAL: [&str; 6] = [
    "/known",
    "/watch",
    "/settings/domain/passes_deadline",
    "/settings/domain/warm_keys",
    "/settings/prices/fleet",
    "/aim_stretch",
];

/// The first key of the previous file that the new one lacks. For a list of objects, a key that all of them had.
fn missing_key(before: &serde_json::Value, now: &serde_json::Value, path: &str) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (before, now) {
        (Object(before), Object(now)) => before.iter().find_map(|(key, value)| {
            let path = format!("{path}/{key}");
            if OPTIONAL.iter().any(|optional| path.ends_with(optional)) {
                return None;
            }
            match now.get(key) {
                Some(now) => missing_key(value, now, &path),
                None => Some(path),
            }
        }),
        (Array(before), Array(now)) => {
            let mut all = before.iter().filter_map(|element| element.as_object());
            let mut common = all.next()?.clone();
            all.for_each(|element| common.retain(|key, _| element.contains_key(key)));
            let common = Object(
                common
                    .into_iter()
                    .map(|(key, _)| (key, serde_json::Value::Null))
                    .collect(),
            );
            now.iter()
                .enumerate()
                .find_map(|(index, now)| missing_key(&common, now, &format!("{path}/{index}")))
        }
        _ => None,
    }
}

fn parse(bytes: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<SidecarConfig, String> {
    let file: ConfigFile = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let document: serde_json::Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let address = |value: Option<SocketAddr>, name: &str| match (value, variable(name)) {
        (Some(address), _) => Ok(address),
        (None, Some(text)) => text.parse().map_err(|e| format!("{name}: {e}")),
        (None, None) => Err(format!("no address: {name} is not set either")),
    };
    let management = match (
        file.management,
        variable("LB_MANAGEMENT").filter(|text| !text.is_empty()),
    ) {
        (None, Some(text)) => Some(text.parse().map_err(|e| format!("LB_MANAGEMENT: {e}"))?),
        (value, _) => value,
    };
    let shadow = file
        .watch
        .map(|section| parse_shadow(seed, &file.settings, section))
        .transpose();
    Ok(SidecarConfig {
        shadow: shadow.map_err(|error| format!("watch: {error}"))?,
        listen: address(file.listen, "LB_LISTEN")?,
        discovery: address(file.discovery, "LB_DISCOVERY")?,
        management,
        handover_dir: variable("TMPDIR").map(PathBuf::from),
        max_sockets: file.limits.sockets,
        memory_bytes: (file.limits.memory_mb.clamp(1.0, 1e6) * 1e6) as usize,
        initial_list: file.known,
        connect_timeout: passroad_orders::connect_timeout(&file.settings)?,
        balancer: passroad_orders::config_from_value(seed, &file.settings)?,
        routes: None,
        fleet: None,
        name: file
            .name
            .or_else(|| variable("LB_NAME"))
            .unwrap_or_else(|| "passroad".into()),
        document,
    })
}

/// Parses the shadow section. What commands are and where the sidecar is located can't differ, or the counts would not
/// be comparable.
fn parse_shadow(
    seed: u64,
    settings: &serde_json::Value,
    section: ShadowSection,
) -> Result<ShadowConfig, String> {
    let patch = section
        .settings
        .as_object()
        .ok_or("settings: not an object")?;
    if let Some(key) = ["verbs", "tenants", "dcs", "az", "discovery", "tick"]
        .iter()
        .find(|key| patch.contains_key(**key))
    {
        return Err(format!("settings: /{key} must be as it is"));
    }
    if !(0.1..=86_400.0).contains(&section.every_s) {
        return Err(format!(
            "every_s: {} is not from 0.1 to 86400",
            section.every_s
        ));
    }
    let mut patched = settings.clone();
    merge_patch(&mut patched, &section.settings);
    let balancer = passroad_orders::config_from_value(seed, &patched)?;
    Ok(ShadowConfig {
        balancer,
        log_interval: Duration::from_secs_f64(section.every_s),
    })
}

/// JSON merge patch (RFC 7396).
fn merge_patch(target: &mut serde_json::Value, patch: &serde_json::Value) {
    let Some(keys) = patch.as_object() else {
        return target.clone_from(patch);
    };
    if !target.is_object() {
        *target = serde_json::json!({});
    }
    let Some(object) = target.as_object_mut() else {
        return;
    };
    for (key, value) in keys {
        if value.is_null() {
            object.remove(key);
        } else {
            merge_patch(object.entry(key).or_insert(serde_json::Value::Null), value);
        }
    }
}

#[cfg(test)]
mod tests;
