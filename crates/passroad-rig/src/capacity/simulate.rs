//! Points from virtual time for quantities that no run on sockets measures: the load that an endpoint sees, and what voters
//! and owners of leases send.

use super::slopes::round_to_six_digits;
use crate::distribution;
use crate::experiment::{self, Plan};
use crate::run::{Run, simulate_all};
use passroad_lease::voters_for;
use serde_json::{Value, json};
use std::path::Path;

/// The points of one seed at all sizes (numbers of sidecars); endpoints and load scale in proportion.
///
/// # Errors
/// The file is invalid, with its line, or the experiment can't be simulated.
pub fn points(file: &Path, sizes: &[usize], seed: u64, commit: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan = experiment::parse(&text).map_err(|error| format!("{}: {error}", file.display()))?;
    let name = file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let sizes = if sizes.is_empty() {
        &[plan.instances][..]
    } else {
        sizes
    };
    let mut all: Vec<Value> = Vec::new();
    for size in sizes {
        let mut sized = plan.clone();
        (sized.seeds, sized.policies) = (vec![seed], vec!["passroad".into()]);
        sized.instances = *size;
        if plan.fleet.is_none() {
            let endpoints = (plan.endpoints.len() * size).div_ceil(plan.instances);
            sized.endpoints = plan
                .endpoints
                .iter()
                .cycle()
                .take(endpoints)
                .cloned()
                .collect();
            sized.per_second = plan.per_second * *size as f64 / plan.instances as f64;
        }
        for run in simulate_all(&sized, 1)? {
            match &run.fleet {
                Some(_) => all.extend(fleet_points(&sized, &run)),
                None => all.extend(endpoint_points(&sized, &run, &name)),
            }
        }
    }
    let list = sizes
        .iter()
        .map(usize::to_string)
        .collect::<Vec<_>>()
        .join(",");
    let run = format!(
        "passroad-rig capacity --simulate {} --sizes {list} --seeds {seed}",
        file.file_name().unwrap_or_default().to_string_lossy()
    );
    Ok(json!({ "run": run, "commit": commit, "seed": seed, "simulated": true, "points": all }))
}

/// What an endpoint sees after the settling time. `experiment` names the experiment, so that laws of different ones stay
/// separate.
fn endpoint_points(plan: &Plan, run: &Run, experiment: &str) -> Vec<Value> {
    let window = plan.settle..plan.length;
    let seconds = (window.end - window.start).as_secs_f64();
    let (count, sidecars) = (plan.endpoints.len() as f64, plan.instances);
    let calls = run
        .history
        .commands
        .iter()
        .filter(|c| window.contains(&c.arrived_at))
        .count() as f64;
    let attempts = run
        .history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
        .count() as f64;
    let probes = run.history.probes.len() as f64 / run.history.commands.len().max(1) as f64;
    let samples: Vec<_> = run
        .samples
        .iter()
        .filter(|sample| window.contains(&sample.time))
        .collect();
    let connections: usize = samples.iter().flat_map(|sample| &sample.connections).sum();
    let busiest = distribution::relative_loads(run, plan, &window)
        .into_iter()
        .fold(0.0, f64::max);
    let mean_connections = connections as f64 / (samples.len() as f64 * count).max(1.0);
    let calls_per_endpoint = calls / seconds / count;
    let rows = [
        ("calls", "1/s", "mean", attempts / seconds / count),
        ("probes-per-call", "", "mean", probes),
        (
            "messages-in",
            "1/s",
            "mean",
            attempts / seconds / count + probes * calls_per_endpoint,
        ),
        ("connections", "", "mean", mean_connections),
        (
            "connections",
            "",
            "busiest",
            distribution::most_connections(run, &window) as f64,
        ),
        ("busiest", "", "busiest", busiest),
    ];
    let at = json!({
        "of": experiment, "sidecars": sidecars, "endpoints": plan.endpoints.len(), "calls_per_second": (plan.per_second / count).round(),
    });
    let point = |(quantity, unit, statistic, value): (&str, &str, &str, f64)| {
        json!({
            "role": "endpoint", "quantity": quantity, "unit": unit, "condition": "ordinary", "statistic": statistic,
            "kind": "virtual", "at": at, "value": round_to_six_digits(value),
        })
    };
    rows.into_iter().map(point).collect()
}

/// Datagrams that sidecars send: the rate of those that are neither voters nor owners, and what voters and owners send in
/// addition.
fn fleet_points(plan: &Plan, run: &Run) -> Vec<Value> {
    let (Some(fleet_run), Some(fleet)) = (&run.fleet, &plan.fleet) else {
        return Vec::new();
    };
    let owners: Vec<usize> = fleet_run
        .ownerships()
        .iter()
        .map(|ownership| ownership.owner)
        .collect();
    let voters: Vec<usize> = fleet
        .leased_roles
        .iter()
        .flat_map(|role| voters_for(role.lease_key(), plan.instances, fleet.voters))
        .map(usize::from)
        .collect();
    let rate = |index: usize| fleet_run.datagrams_sent[index] as f64 / fleet_run.seconds.max(1e-9);
    let mean = |indices: &[usize]| {
        indices.iter().map(|index| rate(*index)).sum::<f64>() / indices.len().max(1) as f64
    };
    let others: Vec<usize> = (0..plan.instances)
        .filter(|index| !owners.contains(index) && !voters.contains(index))
        .collect();
    let only_voters: Vec<usize> = voters
        .iter()
        .copied()
        .filter(|index| !owners.contains(index))
        .collect();
    let control = mean(&others);
    let busiest = others.iter().map(|index| rate(*index)).fold(0.0, f64::max);
    let rows = [
        ("control", "messages-out", "1/s", "mean", control),
        ("control", "messages-out", "1/s", "busiest", busiest),
        (
            "control",
            "false-doubts",
            "",
            "mean",
            fleet_run.suspicions as f64,
        ),
        (
            "voter",
            "messages-out",
            "1/s",
            "mean",
            (mean(&only_voters) - control).max(0.0),
        ),
        (
            "duty-owner",
            "messages-out",
            "1/s",
            "mean",
            (mean(&owners) - control).max(0.0),
        ),
    ];
    let point = |(role, quantity, unit, statistic, value): (&str, &str, &str, &str, f64)| {
        json!({
            "role": role, "quantity": quantity, "unit": unit, "condition": "rest", "statistic": statistic,
            "kind": "virtual, datagrams", "at": { "sidecars": plan.instances }, "value": round_to_six_digits(value),
        })
    };
    rows.into_iter().map(point).collect()
}
