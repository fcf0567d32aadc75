//! Two reports of the same experiment, seed by seed: what differs, and whether it can be told from chance.

use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The difference of one figure over the seeds that both have.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    pub policy: String,
    pub figure: String,
    pub before: f64,
    pub after: f64,
    pub mean: f64,
    /// Of the mean: twice its standard error, by the differences of the seeds.
    pub spread: f64,
    pub seeds: usize,
}

impl Difference {
    /// Whether it is more than chance. One seed alone tells nothing, unless nothing differs.
    pub fn told_apart(&self) -> bool {
        self.seeds > 1 && self.mean.abs() > self.spread && self.mean != 0.0
    }
}

type Days = BTreeMap<(String, u64), BTreeMap<String, f64>>;

fn days(report: &Value) -> Result<Days, String> {
    let days = report["days"]
        .as_array()
        .ok_or("no days: not a report of passroad-rig")?;
    let mut all = Days::new();
    for day in days {
        let policy = day["policy"].as_str().ok_or("a day without its policy")?;
        let seed = day["seed"].as_u64().ok_or("a day without its seed")?;
        let figures = day["figures"].as_object().ok_or("a day without figures")?;
        let figures = figures
            .iter()
            .filter_map(|(name, f)| Some((name.clone(), f.as_f64()?)));
        all.insert((policy.into(), seed), figures.collect());
    }
    Ok(all)
}

pub fn compare(before: &Value, after: &Value) -> Result<Vec<Difference>, String> {
    if before["about"] != after["about"] || before["simulated"] != after["simulated"] {
        let of = |r: &Value| {
            let word = if r["simulated"] == true {
                "simulated"
            } else {
                "on sockets"
            };
            format!("'{}' {word}", r["about"].as_str().unwrap_or("?"))
        };
        return Err(format!(
            "not of the same experiment: {} and {}",
            of(before),
            of(after)
        ));
    }
    let (a, b) = (days(before)?, days(after)?);
    let mut pairs: BTreeMap<(String, String), Vec<(f64, f64)>> = BTreeMap::new();
    for (day, figures) in &a {
        for (name, x) in figures {
            if let Some(y) = b.get(day).and_then(|f| f.get(name)) {
                pairs
                    .entry((day.0.clone(), name.clone()))
                    .or_default()
                    .push((*x, *y));
            }
        }
    }
    if pairs.is_empty() {
        return Err("no day of the same policy and seed in both".into());
    }
    let one = |((policy, figure), pairs): ((String, String), Vec<(f64, f64)>)| {
        let n = pairs.len() as f64;
        let mean_of = |f: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(f).sum::<f64>() / n;
        let mean = mean_of(&|p| p.1 - p.0);
        let variance = mean_of(&|p| (p.1 - p.0 - mean).powi(2)) * n / (n - 1.0).max(1.0);
        Difference {
            policy,
            figure,
            before: mean_of(&|p| p.0),
            after: mean_of(&|p| p.1),
            mean,
            spread: 2.0 * (variance / n).sqrt(),
            seeds: pairs.len(),
        }
    };
    Ok(pairs.into_iter().map(one).collect())
}

pub fn text(differences: &[Difference]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<16}{:<12}{:>10}{:>10}{:>11}{:>10}",
        "policy", "figure", "before", "after", "change", "+-"
    );
    for d in differences {
        let word = match (d.mean == 0.0, d.told_apart()) {
            (true, _) => "the same",
            (_, true) => "",
            (_, false) => "no telling apart",
        };
        let (policy, figure) = (&d.policy, &d.figure);
        let _ = writeln!(
            out,
            "{policy:<16}{figure:<12}{:>10.4}{:>10.4}{:>+11.4}{:>10.4}  {word}",
            d.before, d.after, d.mean, d.spread
        );
    }
    out
}

#[cfg(test)]
mod tests;
