//! The size that an installation has to carry and what it may cost, read from a file. Nothing is guessed: an unknown
//! key, a missing one or a value that can't be is an error that names line and key.

use passroad_units::{ConfigError, parse_duration};
use serde::Serialize;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// What a value has to be.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Count,  // a whole number, one at least
    Amount, // a number above nought
    Share,  // of one: 0.029 or "2.9%"
    Time,   // "17s", kept in seconds
}

/// Every key there is: section, key, what it has to be.
const KEYS: &[(&str, &str, Kind)] = &[
    ("size", "sidecars", Kind::Count),
    ("size", "endpoints", Kind::Count),
    ("size", "services", Kind::Count),
    ("size", "regions", Kind::Count),
    ("size", "zones", Kind::Count),
    ("size", "calls_per_second", Kind::Amount),
    ("size", "depth", Kind::Count),
    ("size", "changes_per_day", Kind::Amount),
    ("budget", "added_p99", Kind::Time),
    ("budget", "control_cpu", Kind::Share),
    ("budget", "control_memory_mb", Kind::Amount),
    ("budget", "control_bytes_per_second", Kind::Amount),
    ("budget", "change_in_force", Kind::Time),
    ("budget", "control_machines", Kind::Count),
    ("machine", "cores", Kind::Count),
    ("machine", "memory_mb", Kind::Amount),
    ("machine", "bytes_per_second", Kind::Amount),
    ("failures", "machines_per_day", Kind::Count),
    ("failures", "restarts_per_day", Kind::Count),
    ("failures", "rack_sidecars", Kind::Count),
    ("failures", "region_cut", Kind::Time),
    ("failures", "discovery_down", Kind::Time),
];

/// What was read; times in seconds, shares of one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Target {
    pub about: String,
    values: BTreeMap<String, f64>,
}

/// The line of a key in its section, else of the section, else the first.
fn line_of(text: &str, section: &str, key: Option<&str>) -> usize {
    let (mut here, mut header) = (section.is_empty(), 1);
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            here = name.trim() == section;
            if here {
                header = n + 1;
            }
        } else if here
            && line
                .split_once('=')
                .is_some_and(|(k, _)| Some(k.trim()) == key)
        {
            return n + 1;
        }
    }
    header
}

/// Reads a target; the first thing wrong is told with its line and key.
pub fn read(text: &str) -> Result<Target, ConfigError> {
    let table: Table = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let wrong = |section: &str, key: &str, what: String| {
        let key_there = table
            .get(section)
            .and_then(Value::as_table)
            .is_some_and(|t| t.contains_key(key));
        let line = line_of(text, section, key_there.then_some(key));
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
        let known = name == "about" || sections.contains(&name.as_str());
        if !known {
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
            if !KEYS
                .iter()
                .any(|(section, known, _)| section == name && known == key)
            {
                return Err(wrong(name, key, "unknown key".into()));
            }
        }
    }
    let about = match table.get("about") {
        Some(Value::String(about)) => about.replace('\n', " "),
        Some(_) => {
            return Err(ConfigError {
                line: line_of(text, "", Some("about")),
                message: "about: not a text".into(),
            });
        }
        None => return Err(wrong("", "about", "missing".into())),
    };
    let mut values = BTreeMap::new();
    for (section, key, kind) in KEYS {
        let Some(value) = table.get(*section).and_then(|s| s.get(key)) else {
            return Err(wrong(section, key, "missing".into()));
        };
        let number = number(value, *kind).map_err(|what| wrong(section, key, what))?;
        values.insert((*key).to_string(), number);
    }
    let target = Target { about, values };
    if target.get("zones") < target.get("regions") {
        return Err(wrong("size", "zones", "fewer than regions".into()));
    }
    if target.get("sidecars") < target.get("services") {
        return Err(wrong("size", "sidecars", "fewer than services".into()));
    }
    Ok(target)
}

fn number(value: &Value, kind: Kind) -> Result<f64, String> {
    let number = match (value, kind) {
        (Value::String(text), Kind::Time) => parse_duration(text)?.as_secs_f64(),
        (_, Kind::Time) => return Err(format!("{value} is no time; write for example \"17s\"")),
        (Value::String(text), Kind::Share) => {
            let share = text
                .strip_suffix('%')
                .and_then(|t| t.trim().parse::<f64>().ok());
            share.ok_or_else(|| format!("'{text}' is no share; write for example \"2.9%\""))?
                / 100.0
        }
        (Value::Integer(n), _) => *n as f64,
        (Value::Float(n), _) if kind != Kind::Count => *n,
        (Value::Float(_), _) => return Err(format!("{value} is no whole number")),
        _ => return Err(format!("{value} is no number")),
    };
    match kind {
        _ if !number.is_finite() => Err(format!("{value} is no number")),
        Kind::Count if number < 1.0 => Err(format!("{value} is less than one")),
        _ if number <= 0.0 => Err(format!("{value} is not above nought")),
        Kind::Share if number > 1.0 => Err(format!("{value} is above one")),
        _ if number > 1e12 => Err(format!("{value} is too much")),
        _ => Ok(number),
    }
}

impl Target {
    fn get(&self, key: &str) -> f64 {
        self.values.get(key).copied().unwrap_or(f64::NAN)
    }

    /// The same with so many times the calls.
    pub fn with_calls_times(&self, times: f64) -> Target {
        let mut target = self.clone();
        if let Some(calls) = target.values.get_mut("calls_per_second") {
            *calls *= times;
        }
        target
    }

    /// A budget or another value by its key; none where there is no such key.
    pub fn value(&self, key: &str) -> Option<f64> {
        self.values.get(key).copied()
    }

    /// What figures grow by, at so many times the size: sidecars, endpoints, services, calls, changes and failures grow,
    /// so that each sidecar's own calls stay; regions, zones and depth stay.
    pub fn variable(&self, name: &str, times: f64) -> Option<f64> {
        let grown = |key: &str| self.get(key) * times;
        Some(match name {
            "sidecars" | "endpoints" | "services" | "restarts_per_day" | "machines_per_day" => {
                grown(name)
            }
            "regions" | "zones" | "depth" => self.get(name),
            "calls_total" => grown("calls_per_second"),
            // As points are taken: of one sidecar.
            "calls_per_second" => self.get("calls_per_second") / self.get("sidecars"),
            "changes_per_second" => grown("changes_per_day") / 86_400.0,
            "sidecars_per_zone" => grown("sidecars") / self.get("zones"),
            "sidecars_per_region" => grown("sidecars") / self.get("regions"),
            "sidecars_per_service" => self.get("sidecars") / self.get("services"),
            "endpoints_per_service" => self.get("endpoints") / self.get("services"),
            "rack_sidecars" => grown(name),
            "region_cut" | "discovery_down" => self.get(name),
            _ => return None,
        })
    }
}
