//! One line of the wire: a message name and name=value pairs.

use passroad_choice::{LoadReport, Outcome};
use std::time::Duration;

/// Fields whose value runs to the end of the line.
const TEXTS: [&str; 2] = ["config", "message"];

pub struct Line<'a> {
    pub name: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Result<Self, String> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() {
            return Err("a line without a message name".into());
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let end = rest.find(' ').unwrap_or(rest.len());
            let Some((key, value)) = rest[..end].split_once('=') else {
                return Err(format!("'{}' is no name=value pair", &rest[..end]));
            };
            if TEXTS.contains(&key) {
                pairs.push((key, &rest[key.len() + 1..]));
                break;
            }
            pairs.push((key, value));
            rest = rest.get(end + 1..).unwrap_or("");
        }
        Ok(Line { name, pairs })
    }

    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    pub fn need(&self, key: &str) -> Result<&'a str, String> {
        self.get(key)
            .ok_or_else(|| format!("{} without {key}", self.name))
    }

    pub fn whole(&self, key: &str) -> Result<u64, String> {
        let text = self.need(key)?;
        text.parse()
            .map_err(|_| format!("{}: {key}={text} is not a whole number", self.name))
    }

    pub fn whole_or(&self, key: &str, absent: u64) -> Result<u64, String> {
        if self.get(key).is_some() {
            self.whole(key)
        } else {
            Ok(absent)
        }
    }

    /// A span; negative ones count as nothing left.
    pub fn span_or(&self, key: &str, absent: Duration) -> Result<Duration, String> {
        let Some(text) = self.get(key) else {
            return Ok(absent);
        };
        let n: i64 = text
            .parse()
            .map_err(|_| format!("{}: {key}={text} is not a span", self.name))?;
        Ok(Duration::from_nanos(n.max(0) as u64))
    }

    pub fn span(&self, key: &str) -> Result<Duration, String> {
        self.need(key)?;
        self.span_or(key, Duration::ZERO)
    }

    pub fn flag(&self, key: &str) -> Result<bool, String> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{}: {key}={other} is neither 1 nor 0", self.name)),
        }
    }

    pub fn number_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        let Some(text) = self.get(key) else {
            return Ok(absent);
        };
        finite(text).ok_or_else(|| format!("{}: {key}={text} is not a number", self.name))
    }

    pub fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.need("disposition")? {
            "0" => Outcome::Answered,
            "1" => Outcome::Error,
            "2" => Outcome::Overloaded,
            "3" => Outcome::TimedOut,
            "4" => Outcome::ConnectFailed,
            "5" => Outcome::ConnectionLost,
            "6" => Outcome::Cancelled,
            "7" => Outcome::NotSent,
            other => return Err(format!("{}: unknown outcome {other}", self.name)),
        })
    }

    pub fn report(&self) -> Result<Option<LoadReport>, String> {
        let Some(text) = self.get("telemetry").filter(|t| !t.is_empty() && *t != "-") else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let bad = || format!("{}: '{pair}' in telemetry is no name:number", self.name);
            let (key, value) = pair.split_once(':').ok_or_else(bad)?;
            let value = Some(finite(value).ok_or_else(bad)?);
            match key {
                "outstanding" => report.outstanding = value,
                "backlog" => report.backlog = value,
                "utilization" => report.utilization = value,
                "recent_ms" => report.recent_ms = value,
                "throughput" => report.throughput = value,
                "errors_per_s" => report.errors_per_s = value,
                _ => {}
            }
        }
        Ok(Some(report))
    }
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite())
}
