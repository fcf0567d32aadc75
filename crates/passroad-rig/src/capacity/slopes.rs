//! Measured points and the scaling laws fitted to them, which `capacity/slopes.json` holds.

use super::fit::{Form, fit};
use super::roles::{CONDITIONS, ROLES, STATISTICS};
use super::target::Target;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The points of one run: a file in `capacity/points`.
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

/// Where a value comes from; the weakest source is the greatest.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    Measured,
    Simulated,
    Assumed,
}

/// The run that points come from.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunInfo {
    pub file: String,
    pub run: String,
    pub commit: String,
    pub seed: u64,
    pub simulated: bool,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct LawPoint {
    pub x: f64,
    pub value: f64,
    /// Index into [`Slopes::runs`].
    pub run: usize,
}

/// How one quantity of a role grows.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Law {
    pub role: String,
    pub quantity: String,
    pub unit: String,
    pub condition: String,
    pub statistic: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Attributes that all points share, other than the variable it grows by.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fixed: BTreeMap<String, Value>,
    pub source: Source,
    /// The variables of the target it grows by, separated by `*`; empty for a constant from one size.
    pub by: String,
    pub form: Form,
    pub constant: f64,
    pub slope: f64,
    /// Root mean square residual, in the unit; `None` for an assumed law.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<f64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub points: Vec<LawPoint>,
    /// What an assumed law is based on.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    pub runs: Vec<RunInfo>,
    pub laws: Vec<Law>,
}

/// The assumed laws in `capacity/assumed.toml`.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct AssumedLaws {
    law: Vec<AssumedLaw>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct AssumedLaw {
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

/// A size counts as the target's if it differs from it by at most this share.
const SIZE_TOLERANCE: f64 = 0.03;
/// Variables that a quantity may grow by, in order of preference.
const GROWTH_VARIABLES: [&str; 6] = [
    "sidecars",
    "endpoints",
    "services",
    "calls_per_second",
    "depth",
    "voters",
];

/// Rounds to six digits, so that refitting the same points gives the same file; no measurement is more precise.
pub fn round_to_six_digits(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// Reads all points files of a folder, ordered by file name.
pub fn read_points(folder: &Path) -> Result<Vec<(RunInfo, Vec<Point>)>, String> {
    let error_in = |what: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", what.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|e| error_in(folder, &e))? {
        let path = entry.map_err(|e| error_in(folder, &e))?.path();
        if path.extension().is_some_and(|e| e == "json") {
            files.push(path);
        }
    }
    files.sort();
    files.iter().map(|path| read_file(path)).collect()
}

fn read_file(path: &Path) -> Result<(RunInfo, Vec<Point>), String> {
    let error_in = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| error_in(e.to_string()))?;
    let file: PointsFile = serde_json::from_str(&text).map_err(|e| error_in(e.to_string()))?;
    for (index, point) in file.points.iter().enumerate() {
        check_names(&point.role, &point.condition, &point.statistic)
            .map_err(|e| error_in(format!("point {index}: {e}")))?;
        if !point.value.is_finite() {
            return Err(error_in(format!(
                "point {index}: value is not a finite number"
            )));
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
        RunInfo {
            file: name,
            run,
            commit,
            seed,
            simulated,
        },
        points,
    ))
}

fn check_names(role: &str, condition: &str, statistic: &str) -> Result<(), String> {
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

/// Reads the assumed laws; an error names the file and the line or law.
pub fn read_assumed(path: &Path, target: &Target) -> Result<Vec<Law>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let file: AssumedLaws = toml::from_str(&text).map_err(|e| {
        let error =
            passroad_units::ConfigError::from_parser(&text, e.span().map(|s| s.start), e.message());
        format!("{}: {error}", path.display())
    })?;
    let to_law = |(index, entry): (usize, AssumedLaw)| {
        let law_error = |e: String| format!("{}: law {}: {e}", path.display(), index + 1);
        check_names(&entry.role, &entry.condition, &entry.statistic).map_err(law_error)?;
        if growth_size(&entry.by, target, 1.0).is_none() {
            return Err(law_error(format!("by: unknown '{}'", entry.by)));
        }
        Ok(Law {
            role: entry.role,
            quantity: entry.quantity,
            unit: entry.unit,
            condition: entry.condition,
            statistic: entry.statistic,
            kind: String::new(),
            fixed: BTreeMap::new(),
            source: Source::Assumed,
            form: if entry.by.is_empty() {
                Form::Constant
            } else {
                entry.form
            },
            by: entry.by,
            constant: entry.constant,
            slope: entry.slope,
            error: None,
            points: Vec::new(),
            why: entry.why,
        })
    };
    file.law.into_iter().enumerate().map(to_law).collect()
}

/// The product of the variables that a law grows by, for a target scaled by `times`; `None` for an unknown variable.
pub fn growth_size(by: &str, target: &Target, times: f64) -> Option<f64> {
    by.split('*')
        .map(str::trim)
        .filter(|n| !n.is_empty())
        .map(|name| target.variable(name, times))
        .product()
}

/// Fits laws to all points, and adds the assumed laws for quantities without points.
pub fn fit_laws(files: &[(RunInfo, Vec<Point>)], assumed: Vec<Law>) -> Slopes {
    let runs: Vec<RunInfo> = files.iter().map(|(run, _)| run.clone()).collect();
    let mut groups: BTreeMap<[String; 7], Vec<(usize, &Point)>> = BTreeMap::new();
    for (run_index, (run, points)) in files.iter().enumerate() {
        for point in points {
            // Text attributes separate points: values with warm connections are not comparable to those with cold ones.
            let text_attributes: Vec<String> = point
                .at
                .iter()
                .filter(|(_, v)| !v.is_number())
                .map(|(k, v)| format!("{k}={v}"))
                .collect();
            let origin = if run.simulated {
                "simulated"
            } else {
                "measured"
            };
            let key = [
                &point.role,
                &point.quantity,
                &point.condition,
                &point.statistic,
                &point.kind,
                &point.unit,
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
                format!("{origin} {}", text_attributes.join(" ")),
            ];
            groups.entry(key).or_default().push((run_index, point));
        }
    }
    let mut laws: Vec<Law> = groups
        .into_values()
        .flat_map(|group| fit_group(&group, &runs))
        .collect();
    for law in assumed {
        let same = |l: &Law| {
            l.role == law.role && l.quantity == law.quantity && l.condition == law.condition
        };
        if !laws.iter().any(|l| l.source != Source::Assumed && same(l)) {
            laws.push(law);
        }
    }
    let role_index = |law: &Law| ROLES.iter().position(|r| r.key == law.role);
    laws.sort_by_key(|law| {
        let names = [&law.quantity, &law.condition, &law.statistic, &law.kind].map(String::clone);
        (role_index(law), names)
    });
    Slopes { runs, laws }
}

fn number(point: &Point, name: &str) -> Option<f64> {
    point.at.get(name).and_then(Value::as_f64)
}

/// Fits the laws of one quantity. It grows by the variable with the most distinct values; other variables that vary
/// independently of it separate the points into several laws.
fn fit_group(group: &[(usize, &Point)], runs: &[RunInfo]) -> Vec<Law> {
    let distinct = |name: &str| -> BTreeSet<u64> {
        group
            .iter()
            .filter_map(|(_, point)| number(point, name))
            .map(f64::to_bits)
            .collect()
    };
    let named = group
        .iter()
        .flat_map(|(_, point)| point.at.keys().map(String::as_str));
    let names: BTreeSet<&str> = named.filter(|name| !distinct(name).is_empty()).collect();
    let rank = |name: &str| {
        GROWTH_VARIABLES
            .iter()
            .position(|d| *d == name)
            .unwrap_or(GROWTH_VARIABLES.len())
    };
    let by = names
        .iter()
        .copied()
        .filter(|name| distinct(name).len() > 1)
        .max_by_key(|name| (distinct(name).len(), usize::MAX - rank(name)));
    // A variable follows the growth variable if it has one value per size and increases with it.
    let follows = |name: &str| {
        let Some(by) = by else { return false };
        let mut pairs: Vec<(f64, f64)> = group
            .iter()
            .filter_map(|(_, point)| Some((number(point, by)?, number(point, name)?)))
            .collect();
        pairs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        pairs.dedup();
        pairs.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 < w[1].1)
    };
    let separating: Vec<&str> = names
        .iter()
        .copied()
        .filter(|name| Some(*name) != by && distinct(name).len() > 1 && !follows(name))
        .collect();
    let mut parts: BTreeMap<Vec<Option<u64>>, Vec<(usize, &Point)>> = BTreeMap::new();
    for (run, point) in group {
        let key = separating
            .iter()
            .map(|name| number(point, name).map(f64::to_bits))
            .collect();
        parts.entry(key).or_default().push((*run, point));
    }
    parts
        .into_values()
        .filter_map(|part| fit_law(&part, by, runs))
        .collect()
}

fn fit_law(part: &[(usize, &Point)], by: Option<&str>, runs: &[RunInfo]) -> Option<Law> {
    let x = |point: &Point| by.and_then(|by| number(point, by)).unwrap_or(0.0);
    let pairs: Vec<(f64, f64)> = part
        .iter()
        .map(|(_, point)| (x(point), point.value))
        .collect();
    let fit = fit(&pairs)?;
    let (first_run, first) = *part.first()?;
    // Attributes that all points share.
    let same = |(name, value): &(&String, &Value)| {
        part.iter()
            .all(|(_, point)| point.at.get(*name) == Some(value))
    };
    let fixed = first
        .at
        .iter()
        .filter(same)
        .map(|(k, v)| (k.clone(), v.clone()));
    let mut points: Vec<LawPoint> = part
        .iter()
        .map(|(run, point)| LawPoint {
            x: round_to_six_digits(x(point)),
            value: round_to_six_digits(point.value),
            run: *run,
        })
        .collect();
    points.sort_by(|a, b| {
        a.x.total_cmp(&b.x)
            .then(a.run.cmp(&b.run))
            .then(a.value.total_cmp(&b.value))
    });
    let growth_variable = by.filter(|by| {
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
        by: growth_variable.unwrap_or_default().into(),
        form: fit.form,
        constant: round_to_six_digits(fit.constant),
        slope: round_to_six_digits(fit.slope),
        error: Some(round_to_six_digits(fit.error)),
        points,
        why: String::new(),
    })
}

/// The text of `slopes.json`; the same points give the same bytes.
pub fn text(slopes: &Slopes) -> Result<String, String> {
    Ok(serde_json::to_string_pretty(slopes).map_err(|e| e.to_string())? + "\n")
}

pub fn read(path: &Path) -> Result<Slopes, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Law {
    /// The value for a target scaled by `times`; `None` where the target lacks a variable.
    pub fn value_at(&self, target: &Target, times: f64) -> Option<f64> {
        let x = if self.by.is_empty() {
            0.0
        } else {
            growth_size(&self.by, target, times)?
        };
        let value = self.constant + self.slope * self.form.transform(x);
        // A count cannot be negative. A difference can, and then some of its points are.
        let difference = self.points.iter().any(|point| point.value < 0.0);
        Some(if difference { value } else { value.max(0.0) })
    }

    /// Mean of the points at the target's own size, where there are any.
    pub fn mean_at_target(&self, target: &Target) -> Option<f64> {
        let x = if self.by.is_empty() {
            None
        } else {
            growth_size(&self.by, target, 1.0)
        };
        let at_size =
            |point: &&LawPoint| x.is_some_and(|x| (point.x - x).abs() <= SIZE_TOLERANCE * x);
        let at_target: Vec<f64> = match &self.by[..] {
            // Points of one size only, which has to be the target's.
            "" if self.measured_at_target_size(target) => {
                self.points.iter().map(|point| point.value).collect()
            }
            _ => self
                .points
                .iter()
                .filter(at_size)
                .map(|point| point.value)
                .collect(),
        };
        (!at_target.is_empty()).then(|| at_target.iter().sum::<f64>() / at_target.len() as f64)
    }

    /// Whether all fixed sizes match the target.
    fn measured_at_target_size(&self, target: &Target) -> bool {
        self.mismatched_sizes(target) == 0
    }

    /// How many fixed sizes differ from the target. Endpoints and services are left out: where the number of sidecars is not
    /// varied with them, they are those that one sidecar sees.
    pub fn mismatched_sizes(&self, target: &Target) -> usize {
        let differs = |(name, value): (&String, &Value)| {
            let (Some(value), Some(wanted)) = (value.as_f64(), target.variable(name, 1.0)) else {
                return false;
            };
            let seen_by_one_sidecar = name == "endpoints" || name == "services";
            !seen_by_one_sidecar && (value - wanted).abs() > SIZE_TOLERANCE * wanted
        };
        self.fixed.iter().filter(|pair| differs(*pair)).count()
    }

    pub fn distinct_sizes(&self) -> usize {
        self.points
            .iter()
            .map(|point| point.x.to_bits())
            .collect::<BTreeSet<_>>()
            .len()
    }
}
