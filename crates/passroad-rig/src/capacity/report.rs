//! All estimates as JSON, for other programs.

use super::estimate::{Estimate, events, row_budget};
use super::roles::ROLES;
use super::slopes::Slopes;
use super::target::Target;
use serde_json::{Value, json};

/// All rows with their estimates and budgets, the laws and their runs.
pub fn json(slopes: &Slopes, target: &Target) -> Value {
    let estimate_json = |estimate: &Estimate, budget: Option<f64>| {
        json!({
            "value": estimate.value_at(1.0), "twice": estimate.value_at(2.0), "five_times": estimate.value_at(5.0), "played": estimate.mean_at_target(), "source": estimate.source(),
            "ratio": budget.map(|budget| estimate.value_at(1.0) / budget),
            "passes_at_sidecars": budget.and_then(|budget| estimate.exceeds_at(budget)).and_then(|times| target.variable("sidecars", times)),
        })
    };
    let mut rows = Vec::new();
    for role in &ROLES {
        for row in role.rows {
            let budget = row_budget(row, target);
            let mut conditions = serde_json::Map::new();
            let events = events(slopes);
            let names = events
                .iter()
                .flat_map(|(key, _)| [format!("event:{key}"), format!("return:{key}")]);
            for condition in ["rest".to_string(), "ordinary".to_string()]
                .into_iter()
                .chain(names)
            {
                if let Some(estimate) = Estimate::find(slopes, target, role, row, &condition) {
                    conditions.insert(condition, estimate_json(&estimate, budget));
                }
            }
            rows.push(json!({
                "role": role.key, "title": row.title, "quantities": row.quantities, "unit": row.unit, "budget": budget,
                "mechanism": row.mechanism.file.map(|_| row.mechanism.what), "file": row.mechanism.file,
                "conditions": conditions,
            }));
        }
    }
    json!({ "target": target, "rows": rows, "laws": slopes.laws, "runs": slopes.runs })
}
