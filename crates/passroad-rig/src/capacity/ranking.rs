//! Ranks the rows that have a budget by the size at which they exceed it.

use super::estimate::{Estimate, LARGEST_MULTIPLE, row_budget, worst_event};
use super::roles::{ROLES, Role, Row};
use super::slopes::Slopes;
use super::target::Target;

/// A row with a budget in one condition, and the size at which its estimate exceeds the budget.
pub struct RankedRow<'a> {
    pub role: &'static Role,
    pub row: &'static Row,
    pub condition: String,
    pub estimate: Option<Estimate<'a>>,
    pub budget: f64,
    /// Multiple of the target; `None` where the budget is never exceeded or there is no estimate.
    pub exceeds_at: Option<f64>,
}

/// Every row with a budget, in the steady condition and in the event with the highest estimate, the first to exceed its
/// budget at the top. Rows without an estimate come first if they have no mechanism, otherwise last.
pub fn rank_rows<'a>(slopes: &'a Slopes, target: &'a Target) -> Vec<RankedRow<'a>> {
    let mut all = Vec::new();
    for role in &ROLES {
        for row in role.rows {
            let Some(budget) = row_budget(row, target) else {
                continue;
            };
            let mut estimates: Vec<(String, Estimate)> = Vec::new();
            for (condition, title) in [("rest", "at rest"), ("ordinary", "ordinary rate")] {
                if let Some(estimate) = Estimate::find(slopes, target, role, row, condition) {
                    estimates.push((title.into(), estimate));
                }
            }
            for (prefix, title) in [("event", "worst second"), ("return", "coming back")] {
                if let Some((event, estimate)) = worst_event(slopes, target, role, row, prefix) {
                    estimates.push((format!("{title}, {event}"), estimate));
                }
            }
            if estimates.is_empty() {
                let condition = "any".into();
                all.push(RankedRow {
                    role,
                    row,
                    condition,
                    estimate: None,
                    budget,
                    exceeds_at: None,
                });
            }
            // Steady conditions and events are ranked separately: a budget may be meant for either.
            let is_steady = |c: &str| c == "at rest" || c == "ordinary rate";
            let (steady, in_events): (Vec<_>, Vec<_>) =
                estimates.into_iter().partition(|(c, _)| is_steady(c));
            for group in [steady, in_events] {
                let highest = group
                    .into_iter()
                    .max_by(|a, b| a.1.value_at(1.0).total_cmp(&b.1.value_at(1.0)));
                if let Some((condition, estimate)) = highest {
                    let exceeds_at = estimate.exceeds_at(budget);
                    all.push(RankedRow {
                        role,
                        row,
                        condition,
                        estimate: Some(estimate),
                        budget,
                        exceeds_at,
                    });
                }
            }
        }
    }
    let multiple_of_target =
        |row: &RankedRow| match (&row.estimate, row.exceeds_at, row.row.mechanism.file) {
            (None, _, None) => -1.0,
            (_, Some(multiple), _) => multiple,
            (Some(_), None, _) => LARGEST_MULTIPLE * 2.0,
            (None, None, _) => LARGEST_MULTIPLE * 3.0,
        };
    // Among rows over their budget at the target's size, measured ones come before assumed ones.
    let is_over = |row: &RankedRow| multiple_of_target(row) >= 0.0 && budget_ratio(row) > 1.0;
    let source = |row: &RankedRow| {
        row.estimate
            .as_ref()
            .filter(|_| is_over(row))
            .map(Estimate::source)
    };
    let order = |row: &RankedRow| (multiple_of_target(row) >= 0.0, !is_over(row), source(row));
    all.sort_by(|a, b| {
        let by_size = order(a)
            .cmp(&order(b))
            .then_with(|| multiple_of_target(a).total_cmp(&multiple_of_target(b)));
        by_size.then_with(|| budget_ratio(b).total_cmp(&budget_ratio(a)))
    });
    all
}

/// The estimate at the target over the budget.
pub fn budget_ratio(row: &RankedRow) -> f64 {
    row.estimate
        .as_ref()
        .map_or(0.0, |estimate| estimate.value_at(1.0) / row.budget)
}
