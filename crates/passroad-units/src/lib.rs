//! Durations and shares with units as written in configuration files (`440ms`, `1.5s`, `13%`), and the error type for
//! faults in such files.

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use std::fmt;
use std::time::Duration;

/// Durations of a year or more are rejected as typos.
const MAX_SECONDS: f64 = 3.2e7;

/// A duration deserialized from text with a unit: `"30us"`, `"440ms"`, `"1.5s"`, `"2m"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HumanDuration(pub Duration);

/// Parses a non-negative decimal number followed by `us`, `ms`, `s` or `m`.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let number_length = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(number_length);
    let scale = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "" => {
            return Err(format!(
                "'{text}' has no unit; write for example 440ms, 1.5s or 2m"
            ));
        }
        "%" => return Err(format!("'{text}' is a share where a duration is expected")),
        other => {
            return Err(format!(
                "'{text}': unknown unit '{other}'; expected us, ms, s or m"
            ));
        }
    };
    let number: f64 = number
        .parse()
        .map_err(|_| format!("'{text}' is not a duration"))?;
    Some(number * scale)
        .filter(|seconds| *seconds < MAX_SECONDS)
        .map(Duration::from_secs_f64)
        .ok_or_else(|| format!("'{text}' is too long"))
}

impl<'de> Deserialize<'de> for HumanDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ValueVisitor;
        impl Visitor<'_> for ValueVisitor {
            type Value = HumanDuration;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a duration with a unit, such as \"440ms\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<HumanDuration, E> {
                parse_duration(text).map(HumanDuration).map_err(E::custom)
            }
        }
        deserializer.deserialize_any(ValueVisitor)
    }
}

/// A share between 0 and 1, deserialized from a number (`0.13`) or a percentage (`"13%"`).
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Ratio(pub f64);

impl<'de> Deserialize<'de> for Ratio {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ValueVisitor;
        impl Visitor<'_> for ValueVisitor {
            type Value = Ratio;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a share between 0 and 1, such as 0.13 or \"13%\"")
            }
            fn visit_f64<E: Error>(self, number: f64) -> Result<Ratio, E> {
                let in_range = (0.0..=1.0).contains(&number);
                in_range
                    .then_some(Ratio(number))
                    .ok_or_else(|| E::custom(format!("{number} is not a share between 0 and 1")))
            }
            fn visit_i64<E: Error>(self, number: i64) -> Result<Ratio, E> {
                self.visit_f64(number as f64)
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Ratio, E> {
                let Some(number) = text.strip_suffix('%') else {
                    return Err(E::custom(format!(
                        "'{text}' is not a share; write for example 0.13 or 13%"
                    )));
                };
                let number: f64 = number
                    .trim()
                    .parse()
                    .map_err(|_| E::custom(format!("'{text}' is not a share")))?;
                self.visit_f64(number / 100.0)
            }
        }
        deserializer.deserialize_any(ValueVisitor)
    }
}

/// The line number, counted from 1, of a byte offset in a text.
pub fn line_number(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// A fault in a configuration file, with the line where it was found.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    pub line: usize,
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl ConfigError {
    /// Builds the error from a deserializer's message and the byte offset it reports. The message is prefixed with the
    /// key on that line, if there is one.
    pub fn from_parser(text: &str, offset: Option<usize>, message: &str) -> ConfigError {
        let line = line_number(text, offset.unwrap_or_default());
        let source = text.lines().nth(line - 1).unwrap_or_default();
        let key = source
            .split_once('=')
            .map(|(key, _)| key.trim())
            .filter(|key| !key.is_empty());
        let message = message.replace('\n', " ");
        ConfigError {
            line,
            message: key.map_or(message.clone(), |key| format!("{key}: {message}")),
        }
    }
}

#[cfg(test)]
mod tests;
