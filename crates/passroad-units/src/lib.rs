//! Values with units, as files of passroad write them: `440ms`, `1.5s`, `13%`.

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use std::fmt;
use std::time::Duration;

/// A span of time: `"30us"`, `"440ms"`, `"1.5s"`, `"2m"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub Duration);

pub fn read_time(text: &str) -> Result<Duration, String> {
    let digits = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
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
        "%" => return Err(format!("'{text}' is a share where a time is expected")),
        other => {
            return Err(format!(
                "'{text}': unknown unit '{other}'; there are us, ms, s and m"
            ));
        }
    };
    let number: f64 = number.parse().map_err(|_| format!("'{text}' is no time"))?;
    // A year and more is a slip of the pen.
    Some(number * scale)
        .filter(|s| *s < 3.2e7)
        .map(Duration::from_secs_f64)
        .ok_or_else(|| format!("'{text}' is too long"))
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = Time;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a time with its unit, as \"440ms\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Time, E> {
                read_time(text).map(Time).map_err(E::custom)
            }
        }
        from.deserialize_any(Reader)
    }
}

/// A share from 0 to 1: `0.13` or `"13%"`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Share(pub f64);

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = Share;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a share from 0 to 1, as 0.13 or \"13%\"")
            }
            fn visit_f64<E: Error>(self, n: f64) -> Result<Share, E> {
                let fits = (0.0..=1.0).contains(&n);
                fits.then_some(Share(n))
                    .ok_or_else(|| E::custom(format!("{n} is no share from 0 to 1")))
            }
            fn visit_i64<E: Error>(self, n: i64) -> Result<Share, E> {
                self.visit_f64(n as f64)
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Share, E> {
                let Some(number) = text.strip_suffix('%') else {
                    return Err(E::custom(format!(
                        "'{text}' is no share; write for example 0.13 or 13%"
                    )));
                };
                let number: f64 = number
                    .trim()
                    .parse()
                    .map_err(|_| E::custom(format!("'{text}' is no share")))?;
                self.visit_f64(number / 100.0)
            }
        }
        from.deserialize_any(Reader)
    }
}

/// The line of a place in a text, from one.
pub fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

/// What is wrong in a file, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Wrong {
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl Wrong {
    /// Of what a reader said: its place, and the key on that line where there is one.
    pub fn of(text: &str, at: Option<usize>, said: &str) -> Wrong {
        let line = line_of(text, at.unwrap_or_default());
        let source = text.lines().nth(line - 1).unwrap_or_default();
        let key = source
            .split_once('=')
            .map(|(key, _)| key.trim())
            .filter(|k| !k.is_empty());
        let said = said.replace('\n', " ");
        Wrong {
            line,
            what: key.map_or(said.clone(), |key| format!("{key}: {said}")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case("30us", Ok(30))]
    #[case("440ms", Ok(440_000))]
    #[case("1.5s", Ok(1_500_000))]
    #[case("2m", Ok(120_000_000))]
    #[case("0s", Ok(0))]
    #[case("5", Err("no unit"))]
    #[case("13%", Err("is a share"))]
    #[case("5h", Err("unknown unit 'h'"))]
    #[case("1.2.3s", Err("is no time"))]
    #[case("s", Err("is no time"))]
    #[case("99999999s", Err("too long"))]
    fn times_have_units(#[case] text: &str, #[case] expected: Result<u64, &str>) {
        match (read_time(text), expected) {
            (Ok(time), Ok(us)) => assert_eq!(time, Duration::from_micros(us)),
            (Err(said), Err(part)) => assert!(said.contains(part), "{said}"),
            (read, _) => panic!("{read:?}"),
        }
    }
}
