//! Points as runs left them, and the laws fitted to them: what `capacity/slopes.json` holds.

use super::fit::{Form, fit};
use super::roles::{CONDITIONS, ROLES, STATISTICS};
use super::target::Target;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// One run's points, as `capacity/points/*.json` holds them.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct PointsFile {
    pub run: String,
    pub commit: String,
    pub seed: u64,
    pub simulated: bool,
    #[serde(default)]
    pub note: String,
    pub points: Vec<Point>,
}

#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct Point {
    pub role: String,
    pub quantity: String,
    pub unit: String,
    pub condition: String,
    pub statistic: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub at: BTreeMap<String, Value>,
    pub value: f64,
    #[serde(default)]
    pub note: String,
}

/// Where a figure comes from.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    Measured,
    Simulated,
    Assumed,
}

/// A run that points are from.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunOf {
    pub file: String,
    pub run: String,
    pub commit: String,
    pub seed: u64,
    pub simulated: bool,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Dot {
    pub x: f64,
    pub value: f64,
    pub run: usize,
}

/// How one figure grows.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Law {
    pub role: String,
    pub quantity: String,
    pub unit: String,
    pub condition: String,
    pub statistic: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// What it was taken at beside what it grows by.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fixed: BTreeMap<String, Value>,
    pub source: Source,
    /// What it grows by: variables of the target, with `*` between them; empty for a constant of one size.
    pub by: String,
    pub form: Form,
    pub constant: f64,
    pub slope: f64,
    /// Root of the mean squared residual, in the unit; none of what is assumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<f64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub points: Vec<Dot>,
    /// Of what is assumed, from what.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    pub runs: Vec<RunOf>,
    pub laws: Vec<Law>,
}

/// What is assumed, as `capacity/assumed.toml` holds it.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct AssumedFile {
    law: Vec<Assumed>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Assumed {
    role: String,
    quantity: String,
    unit: String,
    condition: String,
    statistic: String,
    #[serde(default)]
    by: String,
    #[serde(default = "linear")]
    form: Form,
    #[serde(default)]
    constant: f64,
    #[serde(default)]
    slope: f64,
    why: String,
}

fn linear() -> Form {
    Form::Linear
}

/// Sizes that differ by no more than this part of the target's are the target's.
const NEAR: f64 = 0.03;
/// What may grow by itself, those first that a figure is told by.
const DRIVERS: [&str; 6] = [
    "sidecars",
    "endpoints",
    "services",
    "calls_per_second",
    "depth",
    "voters",
];

/// Six digits: more would make each run another file, and no run knows more.
pub fn six(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// All points of a folder, by file name.
pub fn read_points(folder: &Path) -> Result<Vec<(RunOf, Vec<Point>)>, String> {
    let at = |what: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", what.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|e| at(folder, &e))? {
        let path = entry.map_err(|e| at(folder, &e))?.path();
        if path.extension().is_some_and(|e| e == "json") {
            files.push(path);
        }
    }
    files.sort();
    files.iter().map(|path| read_file(path)).collect()
}

fn read_file(path: &Path) -> Result<(RunOf, Vec<Point>), String> {
    let at = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
    let file: PointsFile = serde_json::from_str(&text).map_err(|e| at(e.to_string()))?;
    for (n, point) in file.points.iter().enumerate() {
        known(&point.role, &point.condition, &point.statistic)
            .map_err(|e| at(format!("point {n}: {e}")))?;
        if !point.value.is_finite() {
            return Err(at(format!("point {n}: value is no number")));
        }
    }
    let name = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let PointsFile {
        run,
        commit,
        seed,
        simulated,
        points,
        ..
    } = file;
    Ok((
        RunOf {
            file: name,
            run,
            commit,
            seed,
            simulated,
        },
        points,
    ))
}

fn known(role: &str, condition: &str, statistic: &str) -> Result<(), String> {
    if !ROLES.iter().any(|r| r.key == role) {
        return Err(format!("role: unknown '{role}'"));
    }
    let event = condition
        .strip_prefix("event:")
        .or(condition.strip_prefix("return:"));
    if !CONDITIONS.contains(&condition) && event.is_none_or(str::is_empty) {
        return Err(format!("condition: unknown '{condition}'"));
    }
    if !STATISTICS.contains(&statistic) {
        return Err(format!("statistic: unknown '{statistic}'"));
    }
    Ok(())
}

/// Laws that are assumed; a fault is told with file and line.
pub fn read_assumed(path: &Path, target: &Target) -> Result<Vec<Law>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let file: AssumedFile = toml::from_str(&text).map_err(|e| {
        let wrong =
            passroad_units::ConfigError::from_parser(&text, e.span().map(|s| s.start), e.message());
        format!("{}: {wrong}", path.display())
    })?;
    let one = |(n, told): (usize, Assumed)| {
        let wrong = |e: String| format!("{}: law {}: {e}", path.display(), n + 1);
        known(&told.role, &told.condition, &told.statistic).map_err(wrong)?;
        if size(&told.by, target, 1.0).is_none() {
            return Err(wrong(format!("by: unknown '{}'", told.by)));
        }
        Ok(Law {
            role: told.role,
            quantity: told.quantity,
            unit: told.unit,
            condition: told.condition,
            statistic: told.statistic,
            kind: String::new(),
            fixed: BTreeMap::new(),
            source: Source::Assumed,
            form: if told.by.is_empty() {
                Form::Constant
            } else {
                told.form
            },
            by: told.by,
            constant: told.constant,
            slope: told.slope,
            error: None,
            points: Vec::new(),
            why: told.why,
        })
    };
    file.law.into_iter().enumerate().map(one).collect()
}

/// What a law grows by, of a target at so many times its size; none where it names what there isn't.
pub fn size(by: &str, target: &Target, times: f64) -> Option<f64> {
    by.split('*')
        .map(str::trim)
        .filter(|n| !n.is_empty())
        .map(|name| target.variable(name, times))
        .product()
}

/// Laws of all points, and what is assumed where there are none.
pub fn from_points(files: &[(RunOf, Vec<Point>)], assumed: Vec<Law>) -> Slopes {
    let runs: Vec<RunOf> = files.iter().map(|(run, _)| run.clone()).collect();
    let mut groups: BTreeMap<[String; 7], Vec<(usize, &Point)>> = BTreeMap::new();
    for (n, (run, points)) in files.iter().enumerate() {
        for p in points {
            // What is not a number parts the points: figures with warm connections are no figures with cold ones.
            let words: Vec<String> =
                p.at.iter()
                    .filter(|(_, v)| !v.is_number())
                    .map(|(k, v)| format!("{k}={v}"))
                    .collect();
            let origin = if run.simulated {
                "simulated"
            } else {
                "measured"
            };
            let key = [
                &p.role,
                &p.quantity,
                &p.condition,
                &p.statistic,
                &p.kind,
                &p.unit,
            ]
            .map(String::clone);
            let [role, quantity, condition, statistic, kind, unit] = key;
            let key = [
                role,
                quantity,
                condition,
                statistic,
                kind,
                unit,
                format!("{origin} {}", words.join(" ")),
            ];
            groups.entry(key).or_default().push((n, p));
        }
    }
    let mut laws: Vec<Law> = groups
        .into_values()
        .flat_map(|group| laws_of(&group, &runs))
        .collect();
    for law in assumed {
        let same = |l: &Law| {
            l.role == law.role && l.quantity == law.quantity && l.condition == law.condition
        };
        if !laws.iter().any(|l| l.source != Source::Assumed && same(l)) {
            laws.push(law);
        }
    }
    let place = |law: &Law| ROLES.iter().position(|r| r.key == law.role);
    laws.sort_by_key(|law| {
        let words = [&law.quantity, &law.condition, &law.statistic, &law.kind].map(String::clone);
        (place(law), words)
    });
    Slopes { runs, laws }
}

fn number(p: &Point, name: &str) -> Option<f64> {
    p.at.get(name).and_then(Value::as_f64)
}

/// Laws of one figure: what varies most is what it grows by; what varies beside it, and does not follow it, parts them.
fn laws_of(group: &[(usize, &Point)], runs: &[RunOf]) -> Vec<Law> {
    let distinct = |name: &str| -> BTreeSet<u64> {
        group
            .iter()
            .filter_map(|(_, p)| number(p, name))
            .map(f64::to_bits)
            .collect()
    };
    let named = group
        .iter()
        .flat_map(|(_, p)| p.at.keys().map(String::as_str));
    let names: BTreeSet<&str> = named.filter(|name| !distinct(name).is_empty()).collect();
    let rank = |name: &str| {
        DRIVERS
            .iter()
            .position(|d| *d == name)
            .unwrap_or(DRIVERS.len())
    };
    let by = names
        .iter()
        .copied()
        .filter(|name| distinct(name).len() > 1)
        .max_by_key(|name| (distinct(name).len(), usize::MAX - rank(name)));
    // One that rises with what it grows by: of every size just one value, and more of a larger one.
    let follows = |name: &str| {
        let Some(by) = by else { return false };
        let mut pairs: Vec<(f64, f64)> = group
            .iter()
            .filter_map(|(_, p)| Some((number(p, by)?, number(p, name)?)))
            .collect();
        pairs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        pairs.dedup();
        pairs.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 < w[1].1)
    };
    let parting: Vec<&str> = names
        .iter()
        .copied()
        .filter(|name| Some(*name) != by && distinct(name).len() > 1 && !follows(name))
        .collect();
    let mut parts: BTreeMap<Vec<Option<u64>>, Vec<(usize, &Point)>> = BTreeMap::new();
    for (run, p) in group {
        let key = parting
            .iter()
            .map(|name| number(p, name).map(f64::to_bits))
            .collect();
        parts.entry(key).or_default().push((*run, p));
    }
    parts
        .into_values()
        .filter_map(|part| law_of(&part, by, runs))
        .collect()
}

fn law_of(part: &[(usize, &Point)], by: Option<&str>, runs: &[RunOf]) -> Option<Law> {
    let x = |p: &Point| by.and_then(|by| number(p, by)).unwrap_or(0.0);
    let pairs: Vec<(f64, f64)> = part.iter().map(|(_, p)| (x(p), p.value)).collect();
    let fit = fit(&pairs)?;
    let (first_run, first) = *part.first()?;
    // What is the same at all of them.
    let same = |(name, value): &(&String, &Value)| {
        part.iter().all(|(_, p)| p.at.get(*name) == Some(value))
    };
    let fixed = first
        .at
        .iter()
        .filter(same)
        .map(|(k, v)| (k.clone(), v.clone()));
    let mut points: Vec<Dot> = part
        .iter()
        .map(|(run, p)| Dot {
            x: six(x(p)),
            value: six(p.value),
            run: *run,
        })
        .collect();
    points.sort_by(|a, b| {
        a.x.total_cmp(&b.x)
            .then(a.run.cmp(&b.run))
            .then(a.value.total_cmp(&b.value))
    });
    let grows = by.filter(|by| {
        !first
            .at
            .get(*by)
            .is_some_and(|v| same(&(&(*by).to_string(), v)))
    });
    Some(Law {
        role: first.role.clone(),
        quantity: first.quantity.clone(),
        unit: first.unit.clone(),
        condition: first.condition.clone(),
        statistic: first.statistic.clone(),
        kind: first.kind.clone(),
        fixed: fixed.collect(),
        source: if runs[first_run].simulated {
            Source::Simulated
        } else {
            Source::Measured
        },
        by: grows.unwrap_or_default().into(),
        form: fit.form,
        constant: six(fit.constant),
        slope: six(fit.slope),
        error: Some(six(fit.error)),
        points,
        why: String::new(),
    })
}

/// The file's text; the same points make the same text, to the byte.
pub fn text(slopes: &Slopes) -> Result<String, String> {
    Ok(serde_json::to_string_pretty(slopes).map_err(|e| e.to_string())? + "\n")
}

pub fn read(path: &Path) -> Result<Slopes, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Law {
    /// The figure at so many times the target's size; none where the target has no such size.
    pub fn at(&self, target: &Target, times: f64) -> Option<f64> {
        let x = if self.by.is_empty() {
            0.0
        } else {
            size(&self.by, target, times)?
        };
        let value = self.constant + self.slope * self.form.of(x);
        // What is counted can't be less than nothing; differences may be, and then some point is.
        let difference = self.points.iter().any(|dot| dot.value < 0.0);
        Some(if difference { value } else { value.max(0.0) })
    }

    /// Mean of the points at the target's own size, where it was played.
    pub fn played(&self, target: &Target) -> Option<f64> {
        let x = if self.by.is_empty() {
            None
        } else {
            size(&self.by, target, 1.0)
        };
        let at_size = |dot: &&Dot| x.is_some_and(|x| (dot.x - x).abs() <= NEAR * x);
        let here: Vec<f64> = match &self.by[..] {
            // Of one size only, if that is the target's.
            "" if self.fixed_is_target(target) => self.points.iter().map(|d| d.value).collect(),
            _ => self
                .points
                .iter()
                .filter(at_size)
                .map(|d| d.value)
                .collect(),
        };
        (!here.is_empty()).then(|| here.iter().sum::<f64>() / here.len() as f64)
    }

    /// Whether all that it was taken at is what the target says.
    fn fixed_is_target(&self, target: &Target) -> bool {
        self.strangeness(target) == 0
    }

    /// In how many sizes what it was taken at differs from the target. Endpoints and services are left out: where sidecars
    /// don't grow with them they are what one sidecar sees.
    pub fn strangeness(&self, target: &Target) -> usize {
        let differs = |(name, value): (&String, &Value)| {
            let (Some(value), Some(wanted)) = (value.as_f64(), target.variable(name, 1.0)) else {
                return false;
            };
            let seen = name == "endpoints" || name == "services";
            !seen && (value - wanted).abs() > NEAR * wanted
        };
        self.fixed.iter().filter(|pair| differs(*pair)).count()
    }

    pub fn sizes(&self) -> usize {
        self.points
            .iter()
            .map(|d| d.x.to_bits())
            .collect::<BTreeSet<_>>()
            .len()
    }
}
