//! Compares two reports of the same experiment, paired by seed: which figures differ, and whether by more than chance.

use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The difference of one figure over the seeds that both reports have.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    pub policy: String,
    pub figure: String,
    pub before: f64,
    pub after: f64,
    pub mean: f64,
    /// Twice the standard error of the mean, from the differences per seed.
    pub margin: f64,
    pub seeds: usize,
}

impl Difference {
    /// Whether the difference is more than chance. A single seed has no standard error, so it never is.
    pub fn is_significant(&self) -> bool {
        self.seeds > 1 && self.mean.abs() > self.margin && self.mean != 0.0
    }
}

/// Figures by name, of each policy and seed.
type FiguresByRun = BTreeMap<(String, u64), BTreeMap<String, f64>>;

fn figures_by_run(report: &Value) -> Result<FiguresByRun, String> {
    let runs = report["days"]
        .as_array()
        .ok_or("no days: not a report of passroad-rig")?;
    let mut all = FiguresByRun::new();
    for run in runs {
        let policy = run["policy"]
            .as_str()
            .ok_or("an entry of days without its policy")?;
        let seed = run["seed"]
            .as_u64()
            .ok_or("an entry of days without its seed")?;
        let figures = run["figures"]
            .as_object()
            .ok_or("an entry of days without figures")?;
        let figures = figures
            .iter()
            .filter_map(|(name, figure)| Some((name.clone(), figure.as_f64()?)));
        all.insert((policy.into(), seed), figures.collect());
    }
    Ok(all)
}

/// Pairs the runs of two reports by policy and seed; an error where they are of different experiments or share no run.
pub fn compare(before: &Value, after: &Value) -> Result<Vec<Difference>, String> {
    if before["about"] != after["about"] || before["simulated"] != after["simulated"] {
        let describe = |report: &Value| {
            let mode = if report["simulated"] == true {
                "simulated"
            } else {
                "on sockets"
            };
            format!("'{}' {mode}", report["about"].as_str().unwrap_or("?"))
        };
        return Err(format!(
            "not of the same experiment: {} and {}",
            describe(before),
            describe(after)
        ));
    }
    let (before_runs, after_runs) = (figures_by_run(before)?, figures_by_run(after)?);
    let mut pairs: BTreeMap<(String, String), Vec<(f64, f64)>> = BTreeMap::new();
    for (run, figures) in &before_runs {
        for (name, before_value) in figures {
            if let Some(after_value) = after_runs.get(run).and_then(|figures| figures.get(name)) {
                pairs
                    .entry((run.0.clone(), name.clone()))
                    .or_default()
                    .push((*before_value, *after_value));
            }
        }
    }
    if pairs.is_empty() {
        return Err("no day of the same policy and seed in both".into());
    }
    let difference_of = |((policy, figure), pairs): ((String, String), Vec<(f64, f64)>)| {
        let count = pairs.len() as f64;
        let mean_of = |figure_of: &dyn Fn(&(f64, f64)) -> f64| {
            pairs.iter().map(figure_of).sum::<f64>() / count
        };
        let mean = mean_of(&|pair| pair.1 - pair.0);
        let variance =
            mean_of(&|pair| (pair.1 - pair.0 - mean).powi(2)) * count / (count - 1.0).max(1.0);
        Difference {
            policy,
            figure,
            before: mean_of(&|pair| pair.0),
            after: mean_of(&|pair| pair.1),
            mean,
            margin: 2.0 * (variance / count).sqrt(),
            seeds: pairs.len(),
        }
    };
    Ok(pairs.into_iter().map(difference_of).collect())
}

/// The differences as a table.
pub fn text(differences: &[Difference]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<16}{:<12}{:>10}{:>10}{:>11}{:>10}",
        "policy", "figure", "before", "after", "change", "+-"
    );
    for difference in differences {
        let verdict = match (difference.mean == 0.0, difference.is_significant()) {
            (true, _) => "the same",
            (_, true) => "",
            (_, false) => "not significant",
        };
        let (policy, figure) = (&difference.policy, &difference.figure);
        let _ = writeln!(
            out,
            "{policy:<16}{figure:<12}{:>10.4}{:>10.4}{:>+11.4}{:>10.4}  {verdict}",
            difference.before, difference.after, difference.mean, difference.margin
        );
    }
    out
}

#[cfg(test)]
mod tests;
