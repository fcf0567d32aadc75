//! The routes file: its format, and the validated configuration. Unknown names, pools without a route and commands
//! without a route are errors with a line number; nothing is guessed.

use passroad_choice::BalancerConfig;
use passroad_units::{ConfigError, HumanDuration, Ratio, line_number};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RoutesFile {
    pool: Vec<Spanned<PoolTable>>,
    route: Vec<Spanned<RouteTable>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolTable {
    name: String,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    tiers: Vec<Vec<String>>,
    #[serde(default)]
    weights: BTreeMap<String, f64>,
    #[serde(default = "default_headroom")]
    headroom: f64,
    #[serde(default, rename = "spill")]
    spillover: SpilloverTable,
    #[serde(default, rename = "return")]
    recovery: RecoveryTable,
}

fn default_headroom() -> f64 {
    1.4
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SpilloverTable {
    #[serde(rename = "most")]
    max_share: Ratio,
    #[serde(rename = "per_second")]
    max_rate: Option<f64>,
    #[serde(rename = "ceiling")]
    max_load: Ratio,
    #[serde(rename = "trickle")]
    min_share: Ratio,
}

impl Default for SpilloverTable {
    fn default() -> Self {
        SpilloverTable {
            max_share: Ratio(1.0),
            max_rate: None,
            max_load: Ratio(0.8),
            min_share: Ratio(0.02),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RecoveryTable {
    #[serde(rename = "over")]
    time: HumanDuration,
    #[serde(rename = "spread")]
    jitter: Ratio,
}

impl Default for RecoveryTable {
    fn default() -> Self {
        RecoveryTable {
            time: HumanDuration(Duration::from_secs(60)),
            jitter: Ratio(0.25),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteTable {
    #[serde(default, rename = "verbs")]
    classes: Vec<String>,
    #[serde(default, rename = "companies")]
    tenants: Vec<String>,
    pool: String,
}

/// Selects zones for a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneSelector {
    /// The zone of this sidecar.
    Own,
    Zone(usize),
    /// All zones that no tier names.
    Rest,
}

#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    pub name: String,
    /// An endpoint belongs to the pool if its id starts with one of these; an empty list matches all.
    pub labels: Vec<String>,
    /// An endpoint belongs to the pool if its kind is one of these; an empty list matches all.
    pub kinds: Vec<String>,
    /// Factor on the listed weight by kind, 1 for others.
    pub weights: BTreeMap<String, f64>,
    pub tiers: Vec<Vec<ZoneSelector>>,
    /// A tier keeps all of its traffic while its usable share times the headroom is at least 1.
    pub headroom: f64,
    /// Share of the own command rate that may spill at most.
    pub max_spill_share: f64,
    /// Commands per second that may spill at most.
    pub max_spill_rate: f64,
    /// Utilization of the receiving zone above which less is sent there.
    pub max_receiver_load: f64,
    /// Share of the own command rate that may always spill; without it nothing would be known about the receiver.
    pub min_spill_share: f64,
    pub recovery_time: Duration,
    pub recovery_jitter: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    pub classes: Vec<usize>, // empty: all
    pub tenants: Vec<usize>, // empty: all
    pub pool: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RoutesConfig {
    pub pools: Vec<PoolConfig>,
    pub routes: Vec<RouteConfig>,
}

impl RoutesConfig {
    /// The pool that serves a command, by the first route that matches.
    pub fn pool_of(&self, class: usize, tenant: Option<usize>) -> usize {
        let matches = |route: &&RouteConfig| {
            (route.classes.is_empty() || route.classes.contains(&class))
                && (route.tenants.is_empty()
                    || tenant.is_some_and(|tenant| route.tenants.contains(&tenant)))
        };
        self.routes
            .iter()
            .find(matches)
            .map_or(0, |route| route.pool)
    }
}

/// Parses a routes file and validates it against the settings that it is used with.
pub fn parse_routes(text: &str, config: &BalancerConfig) -> Result<RoutesConfig, ConfigError> {
    let file: RoutesFile = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let mut pools: Vec<PoolConfig> = Vec::new();
    for table in &file.pool {
        let error = |message: String| {
            Err(ConfigError {
                line: line_number(text, table.span().start),
                message,
            })
        };
        let pool = table.get_ref();
        if pool.name.is_empty() || pools.iter().any(|other| other.name == pool.name) {
            return error(format!("name: '{}' is empty or already used", pool.name));
        }
        let tiers = match resolve_tiers(pool, config) {
            Ok(tiers) => tiers,
            Err(message) => return error(format!("pool {}: tiers: {message}", pool.name)),
        };
        if !(1.0..=10.0).contains(&pool.headroom) {
            return error(format!(
                "pool {}: headroom: must be between 1 and 10",
                pool.name
            ));
        }
        if let Some((kind, weight)) = pool
            .weights
            .iter()
            .find(|(_, w)| !(0.0..=1000.0).contains(*w))
        {
            return error(format!(
                "pool {}: weights: {kind} = {weight} is not between 0 and 1000",
                pool.name
            ));
        }
        if let Some(kind) = pool
            .weights
            .keys()
            .find(|k| !pool.kinds.is_empty() && !pool.kinds.contains(k))
        {
            return error(format!(
                "pool {}: weights: {kind} is not one of its kinds",
                pool.name
            ));
        }
        if pool
            .spillover
            .max_rate
            .is_some_and(|rate| rate.is_nan() || rate < 0.0)
        {
            return error(format!(
                "pool {}: spill.per_second: must be 0 or more",
                pool.name
            ));
        }
        if pool.spillover.max_load.0 <= 0.0 {
            return error(format!(
                "pool {}: spill.ceiling: 0 prevents all spill-over; remove the lower-priority tiers instead",
                pool.name
            ));
        }
        pools.push(PoolConfig {
            name: pool.name.clone(),
            labels: pool.labels.clone(),
            kinds: pool.kinds.clone(),
            weights: pool.weights.clone(),
            tiers,
            headroom: pool.headroom,
            max_spill_share: pool.spillover.max_share.0,
            max_spill_rate: pool.spillover.max_rate.unwrap_or(f64::INFINITY),
            max_receiver_load: pool.spillover.max_load.0,
            min_spill_share: pool.spillover.min_share.0.min(pool.spillover.max_share.0),
            recovery_time: pool.recovery.time.0,
            recovery_jitter: pool.recovery.jitter.0,
        });
    }
    let mut routes: Vec<RouteConfig> = Vec::new();
    for table in &file.route {
        let error = |message: String| {
            Err(ConfigError {
                line: line_number(text, table.span().start),
                message,
            })
        };
        let route = table.get_ref();
        let Some(pool) = pools.iter().position(|p| p.name == route.pool) else {
            return error(format!("pool: unknown '{}'", route.pool));
        };
        let find = |names: &[String], known: Vec<&str>, key: &str| -> Result<Vec<usize>, String> {
            let index = |name: &String| {
                let index = known.iter().position(|k| k == name);
                index.ok_or_else(|| {
                    format!(
                        "{key}: unknown '{name}'; expected one of {}",
                        known.join(", ")
                    )
                })
            };
            names.iter().map(index).collect()
        };
        let classes = find(
            &route.classes,
            config
                .classes
                .iter()
                .map(|class| class.name.as_str())
                .collect(),
            "verbs",
        );
        let tenants = find(
            &route.tenants,
            config
                .tenants
                .iter()
                .map(|tenant| tenant.name.as_str())
                .collect(),
            "companies",
        );
        let (classes, tenants) = match (classes, tenants) {
            (Ok(classes), Ok(tenants)) => (classes, tenants),
            (Err(message), _) | (_, Err(message)) => return error(message),
        };
        let shadows = |earlier: &RouteConfig| {
            let covers = |wide: &[usize], narrow: &[usize]| {
                wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
            };
            covers(&earlier.classes, &classes) && covers(&earlier.tenants, &tenants)
        };
        if routes.iter().any(shadows) {
            return error(format!(
                "route to {}: an earlier route already matches all of its commands",
                route.pool
            ));
        }
        routes.push(RouteConfig {
            classes,
            tenants,
            pool,
        });
    }
    // Commands without a tenant, or of a tenant that no route names, need a route without tenants.
    for (n, class) in config.classes.iter().enumerate() {
        let matches = |route: &RouteConfig| {
            route.tenants.is_empty() && (route.classes.is_empty() || route.classes.contains(&n))
        };
        if !routes.iter().any(matches) {
            let message = format!(
                "route: no route matches {} for all tenants; add a last route without companies",
                class.name
            );
            return Err(ConfigError {
                line: line_number(text, file.route.last().map_or(0, |r| r.span().start)),
                message,
            });
        }
    }
    if let Some(n) = (0..pools.len()).find(|n| !routes.iter().any(|r| r.pool == *n)) {
        let line = line_number(text, file.pool[n].span().start);
        return Err(ConfigError {
            line,
            message: format!("pool {}: no route uses it", pools[n].name),
        });
    }
    Ok(RoutesConfig { pools, routes })
}

fn resolve_tiers(
    pool: &PoolTable,
    config: &BalancerConfig,
) -> Result<Vec<Vec<ZoneSelector>>, String> {
    let mut seen: Vec<ZoneSelector> = Vec::new();
    let mut tiers = Vec::new();
    if pool.tiers.is_empty() {
        return Err("empty list".into());
    }
    for names in &pool.tiers {
        if names.is_empty() {
            return Err("a tier is empty".into());
        }
        let mut tier = Vec::new();
        for name in names {
            if seen.contains(&ZoneSelector::Rest) {
                return Err(format!(
                    "'{name}' comes after \"*\", which selects all other zones"
                ));
            }
            let selector = match name.as_str() {
                "own" => ZoneSelector::Own,
                "*" => ZoneSelector::Rest,
                name => match config.zones.iter().position(|z| z == name) {
                    Some(zone) => ZoneSelector::Zone(zone),
                    None => {
                        return Err(format!(
                            "unknown zone '{name}'; expected one of {}",
                            config.zones.join(", ")
                        ));
                    }
                },
            };
            if seen.contains(&selector) {
                return Err(format!("'{name}' is listed twice"));
            }
            seen.push(selector);
            tier.push(selector);
        }
        tiers.push(tier);
    }
    Ok(tiers)
}

#[cfg(test)]
pub mod tests;
