//! One line of the protocol: a message name and name=value pairs.

use passroad_choice::{LoadReport, Outcome};
use std::time::Duration;

/// Fields whose value extends to the end of the line, spaces included.
const REST_OF_LINE_FIELDS: [&str; 2] = ["config", "message"];

pub struct Line<'a> {
    pub name: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Result<Self, String> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() {
            return Err("missing message name".into());
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let end = rest.find(' ').unwrap_or(rest.len());
            let Some((key, value)) = rest[..end].split_once('=') else {
                return Err(format!("'{}' is not a name=value pair", &rest[..end]));
            };
            if REST_OF_LINE_FIELDS.contains(&key) {
                pairs.push((key, &rest[key.len() + 1..]));
                break;
            }
            pairs.push((key, value));
            rest = rest.get(end + 1..).unwrap_or("");
        }
        Ok(Line { name, pairs })
    }

    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    }

    pub fn required(&self, key: &str) -> Result<&'a str, String> {
        self.get(key)
            .ok_or_else(|| format!("{}: missing {key}", self.name))
    }

    pub fn integer(&self, key: &str) -> Result<u64, String> {
        let text = self.required(key)?;
        text.parse()
            .map_err(|_| format!("{}: {key}={text} is not an unsigned integer", self.name))
    }

    pub fn integer_or(&self, key: &str, default: u64) -> Result<u64, String> {
        if self.get(key).is_some() {
            self.integer(key)
        } else {
            Ok(default)
        }
    }

    /// A duration in nanoseconds; negative values count as zero.
    pub fn duration_or(&self, key: &str, default: Duration) -> Result<Duration, String> {
        let Some(text) = self.get(key) else {
            return Ok(default);
        };
        let nanos: i64 = text.parse().map_err(|_| {
            format!(
                "{}: {key}={text} is not a duration in nanoseconds",
                self.name
            )
        })?;
        Ok(Duration::from_nanos(nanos.max(0) as u64))
    }

    pub fn duration(&self, key: &str) -> Result<Duration, String> {
        self.required(key)?;
        self.duration_or(key, Duration::ZERO)
    }

    pub fn boolean(&self, key: &str) -> Result<bool, String> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{}: {key}={other} is neither 1 nor 0", self.name)),
        }
    }

    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        let Some(text) = self.get(key) else {
            return Ok(default);
        };
        parse_finite(text).ok_or_else(|| format!("{}: {key}={text} is not a number", self.name))
    }

    pub fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.required("disposition")? {
            "0" => Outcome::Answered,
            "1" => Outcome::Error,
            "2" => Outcome::Overloaded,
            "3" => Outcome::TimedOut,
            "4" => Outcome::ConnectFailed,
            "5" => Outcome::ConnectionLost,
            "6" => Outcome::Cancelled,
            "7" => Outcome::NotSent,
            other => return Err(format!("{}: unknown disposition {other}", self.name)),
        })
    }

    pub fn load_report(&self) -> Result<Option<LoadReport>, String> {
        let Some(text) = self
            .get("telemetry")
            .filter(|text| !text.is_empty() && *text != "-")
        else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let invalid = || {
                format!(
                    "{}: '{pair}' in telemetry is not a name:number pair",
                    self.name
                )
            };
            let (key, value) = pair.split_once(':').ok_or_else(invalid)?;
            let value = Some(parse_finite(value).ok_or_else(invalid)?);
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

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
