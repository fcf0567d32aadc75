//! Target of a capacity plan: the size of an installation and its budgets, read from a file. There are no defaults: an
//! unknown key, a missing key or an invalid value is an error that names line and key.

use passroad_units::{ConfigError, parse_duration};
use serde::Serialize;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// Type and range of a value.
#[derive(Clone, Copy, PartialEq)]
enum ValueKind {
    /// An integer of at least one.
    Count,
    /// A positive number.
    Amount,
    /// A share of one: 0.029 or "2.9%".
    Share,
    /// A duration such as "17s", stored in seconds.
    Time,
}

/// All keys: section, key, kind of value.
const TARGET_KEYS: &[(&str, &str, ValueKind)] = &[
    ("size", "sidecars", ValueKind::Count),
    ("size", "endpoints", ValueKind::Count),
    ("size", "services", ValueKind::Count),
    ("size", "regions", ValueKind::Count),
    ("size", "zones", ValueKind::Count),
    ("size", "calls_per_second", ValueKind::Amount),
    ("size", "depth", ValueKind::Count),
    ("size", "changes_per_day", ValueKind::Amount),
    ("budget", "added_p99", ValueKind::Time),
    ("budget", "control_cpu", ValueKind::Share),
    ("budget", "control_memory_mb", ValueKind::Amount),
    ("budget", "control_bytes_per_second", ValueKind::Amount),
    ("budget", "change_in_force", ValueKind::Time),
    ("budget", "control_machines", ValueKind::Count),
    ("machine", "cores", ValueKind::Count),
    ("machine", "memory_mb", ValueKind::Amount),
    ("machine", "bytes_per_second", ValueKind::Amount),
    ("failures", "machines_per_day", ValueKind::Count),
    ("failures", "restarts_per_day", ValueKind::Count),
    ("failures", "rack_sidecars", ValueKind::Count),
    ("failures", "region_cut", ValueKind::Time),
    ("failures", "discovery_down", ValueKind::Time),
];

/// A target as read; times in seconds, shares of one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Target {
    pub about: String,
    values: BTreeMap<String, f64>,
}

/// The line of a key in its section; the section's line if the key is missing, line 1 if the section is too.
fn line_of(text: &str, section: &str, key: Option<&str>) -> usize {
    let (mut in_section, mut header) = (section.is_empty(), 1);
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            in_section = name.trim() == section;
            if in_section {
                header = n + 1;
            }
        } else if in_section
            && line
                .split_once('=')
                .is_some_and(|(k, _)| Some(k.trim()) == key)
        {
            return n + 1;
        }
    }
    header
}

/// Reads a target; an error names the line and key of the first problem.
pub fn read(text: &str) -> Result<Target, ConfigError> {
    let table: Table = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let error_at = |section: &str, key: &str, what: String| {
        let key_exists = table
            .get(section)
            .and_then(Value::as_table)
            .is_some_and(|t| t.contains_key(key));
        let line = line_of(text, section, key_exists.then_some(key));
        let name = if section.is_empty() {
            key.to_string()
        } else {
            format!("{section}.{key}")
        };
        ConfigError {
            line,
            message: format!("{name}: {what}"),
        }
    };
    let sections = ["size", "budget", "machine", "failures"];
    for (name, value) in &table {
        let is_known = name == "about" || sections.contains(&name.as_str());
        if !is_known {
            let line = match value {
                Value::Table(_) => line_of(text, name, None),
                _ => line_of(text, "", Some(name)),
            };
            return Err(ConfigError {
                line,
                message: format!("{name}: unknown key"),
            });
        }
        for key in value.as_table().into_iter().flat_map(Table::keys) {
            if !TARGET_KEYS
                .iter()
                .any(|(section, known, _)| section == name && known == key)
            {
                return Err(error_at(name, key, "unknown key".into()));
            }
        }
    }
    let about = match table.get("about") {
        Some(Value::String(about)) => about.replace('\n', " "),
        Some(_) => {
            return Err(ConfigError {
                line: line_of(text, "", Some("about")),
                message: "about: not a string".into(),
            });
        }
        None => return Err(error_at("", "about", "missing".into())),
    };
    let mut values = BTreeMap::new();
    for (section, key, value_kind) in TARGET_KEYS {
        let Some(value) = table.get(*section).and_then(|s| s.get(key)) else {
            return Err(error_at(section, key, "missing".into()));
        };
        let number = number(value, *value_kind).map_err(|what| error_at(section, key, what))?;
        values.insert((*key).to_string(), number);
    }
    let target = Target { about, values };
    if target.get("zones") < target.get("regions") {
        return Err(error_at("size", "zones", "fewer than regions".into()));
    }
    if target.get("sidecars") < target.get("services") {
        return Err(error_at("size", "sidecars", "fewer than services".into()));
    }
    Ok(target)
}

fn number(value: &Value, value_kind: ValueKind) -> Result<f64, String> {
    let number = match (value, value_kind) {
        (Value::String(text), ValueKind::Time) => parse_duration(text)?.as_secs_f64(),
        (_, ValueKind::Time) => {
            return Err(format!(
                "{value} is not a duration; write for example \"17s\""
            ));
        }
        (Value::String(text), ValueKind::Share) => {
            let share = text
                .strip_suffix('%')
                .and_then(|t| t.trim().parse::<f64>().ok());
            share.ok_or_else(|| format!("'{text}' is not a share; write for example \"2.9%\""))?
                / 100.0
        }
        (Value::Integer(n), _) => *n as f64,
        (Value::Float(n), _) if value_kind != ValueKind::Count => *n,
        (Value::Float(_), _) => return Err(format!("{value} is not an integer")),
        _ => return Err(format!("{value} is not a number")),
    };
    match value_kind {
        _ if !number.is_finite() => Err(format!("{value} is not a number")),
        ValueKind::Count if number < 1.0 => Err(format!("{value} is less than one")),
        _ if number <= 0.0 => Err(format!("{value} is not positive")),
        ValueKind::Share if number > 1.0 => Err(format!("{value} is above one")),
        _ if number > 1e12 => Err(format!("{value} is too large")),
        _ => Ok(number),
    }
}

impl Target {
    fn get(&self, key: &str) -> f64 {
        self.values.get(key).copied().unwrap_or(f64::NAN)
    }

    /// The same target with its calls per second multiplied.
    pub fn with_calls_times(&self, times: f64) -> Target {
        let mut target = self.clone();
        if let Some(calls) = target.values.get_mut("calls_per_second") {
            *calls *= times;
        }
        target
    }

    /// A budget or another value by its key; `None` for an unknown key.
    pub fn value(&self, key: &str) -> Option<f64> {
        self.values.get(key).copied()
    }

    /// A variable that laws grow by, for the target scaled by `times`. Sidecars, endpoints, services, calls, changes and
    /// failures scale, so that the calls of one sidecar stay the same; regions, zones and depth do not scale.
    pub fn variable(&self, name: &str, times: f64) -> Option<f64> {
        let scaled = |key: &str| self.get(key) * times;
        Some(match name {
            "sidecars" | "endpoints" | "services" | "restarts_per_day" | "machines_per_day" => {
                scaled(name)
            }
            "regions" | "zones" | "depth" => self.get(name),
            "calls_total" => scaled("calls_per_second"),
            // Per sidecar, as in the points.
            "calls_per_second" => self.get("calls_per_second") / self.get("sidecars"),
            "changes_per_second" => scaled("changes_per_day") / 86_400.0,
            "sidecars_per_zone" => scaled("sidecars") / self.get("zones"),
            "sidecars_per_region" => scaled("sidecars") / self.get("regions"),
            "sidecars_per_service" => self.get("sidecars") / self.get("services"),
            "endpoints_per_service" => self.get("endpoints") / self.get("services"),
            "rack_sidecars" => scaled(name),
            "region_cut" | "discovery_down" => self.get(name),
            _ => return None,
        })
    }
}
