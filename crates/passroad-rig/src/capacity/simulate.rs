//! Points from virtual time, for what no run on sockets measures: what an endpoint sees, and what voters and owners send.

use super::slopes::six;
use crate::distribution;
use crate::experiment::{self, Plan};
use crate::run::{Run, simulate_all};
use passroad_lease::voters_for;
use serde_json::{Value, json};
use std::path::Path;

/// The points of one seed, at all sizes: so many sidecars, with endpoints and load in proportion.
///
/// # Errors
/// What is wrong with the file, by its line; a plan that can't be played.
pub fn points(file: &Path, sizes: &[usize], seed: u64, commit: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan = experiment::parse(&text).map_err(|wrong| format!("{}: {wrong}", file.display()))?;
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
                Some(_) => all.extend(talk(&sized, &run)),
                None => all.extend(endpoint(&sized, &run, &name)),
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

/// What an endpoint sees, over the day after its settling; `of` names the experiment, so that its law stays apart.
fn endpoint(plan: &Plan, run: &Run, of: &str) -> Vec<Value> {
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
    let looks: Vec<_> = run
        .samples
        .iter()
        .filter(|look| window.contains(&look.time))
        .collect();
    let links: usize = looks.iter().flat_map(|look| &look.connections).sum();
    let busiest = distribution::relative_loads(run, plan, &window)
        .into_iter()
        .fold(0.0, f64::max);
    let held = links as f64 / (looks.len() as f64 * count).max(1.0);
    let each = calls / seconds / count;
    let rows = [
        ("calls", "1/s", "mean", attempts / seconds / count),
        ("probes-per-call", "", "mean", probes),
        (
            "messages-in",
            "1/s",
            "mean",
            attempts / seconds / count + probes * each,
        ),
        ("connections", "", "mean", held),
        (
            "connections",
            "",
            "busiest",
            distribution::most_connections(run, &window) as f64,
        ),
        ("busiest", "", "busiest", busiest),
    ];
    let at = json!({
        "of": of, "sidecars": sidecars, "endpoints": plan.endpoints.len(), "calls_per_second": (plan.per_second / count).round(),
    });
    let point = |(quantity, unit, statistic, value): (&str, &str, &str, f64)| {
        json!({
            "role": "endpoint", "quantity": quantity, "unit": unit, "condition": "ordinary", "statistic": statistic,
            "kind": "virtual", "at": at, "value": six(value),
        })
    };
    rows.into_iter().map(point).collect()
}

/// Datagrams that sidecars send: those that are neither voters nor owners, and what voters and owners send beside it.
fn talk(plan: &Plan, run: &Run) -> Vec<Value> {
    let (Some(day), Some(fleet)) = (&run.fleet, &plan.fleet) else {
        return Vec::new();
    };
    let owners: Vec<usize> = day
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
    let rate = |n: usize| day.datagrams_sent[n] as f64 / day.seconds.max(1e-9);
    let mean =
        |these: &[usize]| these.iter().map(|n| rate(*n)).sum::<f64>() / these.len().max(1) as f64;
    let plain: Vec<usize> = (0..plan.instances)
        .filter(|n| !owners.contains(n) && !voters.contains(n))
        .collect();
    let only_voters: Vec<usize> = voters
        .iter()
        .copied()
        .filter(|n| !owners.contains(n))
        .collect();
    let control = mean(&plain);
    let most = plain.iter().map(|n| rate(*n)).fold(0.0, f64::max);
    let rows = [
        ("control", "messages-out", "1/s", "mean", control),
        ("control", "messages-out", "1/s", "busiest", most),
        ("control", "false-doubts", "", "mean", day.suspicions as f64),
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
            "kind": "virtual, datagrams", "at": { "sidecars": plan.instances }, "value": six(value),
        })
    };
    rows.into_iter().map(point).collect()
}
