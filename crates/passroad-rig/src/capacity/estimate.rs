//! Estimates for the rows of the page: the law that each quantity of a row goes by, and its value at a multiple of the
//! target.

use super::roles::{EVENTS, Role, Row};
use super::slopes::{Law, Slopes, Source};
use super::target::Target;
use std::cmp::Reverse;

/// Multiples of the target between which the size is searched at which a budget is exceeded.
const SMALLEST_MULTIPLE: f64 = 1e-3;
pub const LARGEST_MULTIPLE: f64 = 1e3;

/// The estimate of a row in one condition: the sum of the laws of its quantities.
pub struct Estimate<'a> {
    laws: Vec<&'a Law>,
    target: &'a Target,
    /// Two standard errors, where the run reported them.
    pub error: Option<f64>,
}

/// Two standard errors of a quantity, where its run wrote them as points of `<quantity>-error`.
pub fn two_standard_errors(slopes: &Slopes, law: &Law, target: &Target) -> Option<f64> {
    let name = format!("{}-error", law.quantity);
    let key = |law: &Law| {
        (
            law.role.clone(),
            law.condition.clone(),
            law.kind.clone(),
            law.source,
        )
    };
    let same =
        |other: &&Law| other.quantity == name && key(other) == key(law) && other.fixed == law.fixed;
    slopes
        .laws
        .iter()
        .find(same)
        .and_then(|law| law.value_at(target, 1.0))
}

impl<'a> Estimate<'a> {
    /// `None` where a quantity has no law.
    pub fn find(
        slopes: &'a Slopes,
        target: &'a Target,
        role: &Role,
        row: &Row,
        condition: &str,
    ) -> Option<Estimate<'a>> {
        let laws = row
            .quantities
            .iter()
            .map(|quantity| select_law(slopes, target, role, row, quantity, condition));
        let laws = laws.collect::<Option<Vec<_>>>()?;
        let error = match &laws[..] {
            [law] => two_standard_errors(slopes, law, target),
            _ => None,
        };
        Some(Estimate {
            laws,
            target,
            error,
        })
    }

    /// The estimate for the target scaled by `times`.
    pub fn value_at(&self, times: f64) -> f64 {
        self.laws
            .iter()
            .filter_map(|law| law.value_at(self.target, times))
            .sum()
    }

    /// The weakest source of its laws.
    pub fn source(&self) -> Source {
        self.laws
            .iter()
            .map(|law| law.source)
            .max()
            .unwrap_or(Source::Assumed)
    }

    /// Sum of the means of the points at the target's own size; `None` where a law has no such points.
    pub fn mean_at_target(&self) -> Option<f64> {
        self.laws
            .iter()
            .map(|law| law.mean_at_target(self.target))
            .sum()
    }

    /// Whether a law has points at one number of sidecars only, so that its growth is unknown. Points of a single sidecar
    /// carry no such number and do not grow, as the calls of one sidecar stay the same.
    pub fn has_one_size(&self) -> bool {
        let has_one_size = |law: &&Law| {
            law.source != Source::Assumed && law.by.is_empty() && law.fixed.contains_key("sidecars")
        };
        self.laws.iter().any(has_one_size)
    }

    /// The smallest multiple of the target at which the estimate exceeds the budget; `None` if it does not up to
    /// [`LARGEST_MULTIPLE`].
    pub fn exceeds_at(&self, budget: f64) -> Option<f64> {
        if self.has_one_size() {
            return (self.value_at(1.0) > budget).then_some(1.0);
        }
        let exceeds = |times: f64| self.value_at(times) > budget;
        let steps = 240;
        let step = |n: usize| {
            SMALLEST_MULTIPLE * (LARGEST_MULTIPLE / SMALLEST_MULTIPLE).powf(n as f64 / steps as f64)
        };
        let first = (0..=steps).map(step).find(|times| exceeds(*times))?;
        if first <= SMALLEST_MULTIPLE {
            return Some(0.0);
        }
        let (mut low, mut high) = (
            first / (LARGEST_MULTIPLE / SMALLEST_MULTIPLE).powf(1.0 / steps as f64),
            first,
        );
        for _ in 0..40 {
            let middle = (low + high) / 2.0;
            if exceeds(middle) {
                high = middle
            } else {
                low = middle
            }
        }
        Some(high)
    }
}

/// Selects the law for a quantity of a row: measured before simulated before assumed, then the one whose fixed sizes match
/// the target best, then by statistic (the busiest; in events the worst second), then with the most sizes.
fn select_law<'a>(
    slopes: &'a Slopes,
    target: &'a Target,
    role: &Role,
    row: &Row,
    quantity: &str,
    condition: &str,
) -> Option<&'a Law> {
    let is_event = condition.contains(':');
    let statistics = match is_event {
        true => ["worst-second", "busiest", "mean"],
        false => ["busiest", "mean", "worst-second"],
    };
    let fits = |law: &&Law| {
        let matches_filter = row
            .filter
            .is_none_or(|(key, wanted)| match law.fixed.get(key) {
                Some(value) => value.as_str() == Some(wanted),
                None => law.source == Source::Assumed,
            });
        let same = law.role == role.key && law.quantity == quantity && law.condition == condition;
        same && matches_filter && law.value_at(target, 1.0).is_some()
    };
    let rank = |law: &&Law| {
        let statistic = statistics
            .iter()
            .position(|s| *s == law.statistic)
            .unwrap_or(statistics.len());
        let not_at_target = law.mean_at_target(target).is_none();
        (
            law.source,
            law.mismatched_sizes(target),
            statistic,
            not_at_target,
            Reverse(law.distinct_sizes()),
            law.kind.clone(),
        )
    };
    slopes.laws.iter().filter(fits).min_by_key(rank)
}

/// A row's budget in its unit.
pub fn row_budget(row: &Row, target: &Target) -> Option<f64> {
    let budget = row.budget.as_ref()?;
    budget
        .keys
        .iter()
        .map(|key| target.value(key))
        .product::<Option<f64>>()
        .map(|v| v * budget.factor)
}

/// Names and titles of events: those of [`EVENTS`], then others that occur in points.
pub fn events(slopes: &Slopes) -> Vec<(String, String)> {
    let mut all: Vec<(String, String)> = EVENTS
        .iter()
        .map(|(k, t)| ((*k).into(), (*t).into()))
        .collect();
    for law in &slopes.laws {
        let name = law
            .condition
            .strip_prefix("event:")
            .or(law.condition.strip_prefix("return:"));
        if let Some(name) = name.filter(|name| all.iter().all(|(key, _)| key != name)) {
            all.push((name.into(), name.into()));
        }
    }
    all
}

/// The event with the highest estimate, with its title.
pub fn worst_event<'a>(
    slopes: &'a Slopes,
    target: &'a Target,
    role: &Role,
    row: &Row,
    prefix: &str,
) -> Option<(String, Estimate<'a>)> {
    let estimate = |(key, title): (String, String)| {
        Some((
            title,
            Estimate::find(slopes, target, role, row, &format!("{prefix}:{key}"))?,
        ))
    };
    events(slopes)
        .into_iter()
        .filter_map(estimate)
        .max_by(|a, b| {
            a.1.value_at(1.0)
                .total_cmp(&b.1.value_at(1.0))
                .then_with(|| b.0.cmp(&a.0))
        })
}
