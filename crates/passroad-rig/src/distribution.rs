//! How evenly the relays of a run lie over its endpoints, and how many connections that took.

use crate::experiment::Plan;
use crate::run::Run;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// Sidecars that choose the same endpoint within this are counted together.
const TOGETHER: Duration = Duration::from_millis(50);

/// Relays that went out within a window, by endpoint.
fn relay_counts(run: &Run, plan: &Plan, window: &Range<Duration>) -> Vec<f64> {
    let mut counts = vec![0.0; plan.endpoints.len()];
    run.history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
        .for_each(|r| counts[r.endpoint] += 1.0);
    counts
}

/// Of each endpoint, its relays over its fair share by cores and speed. What is down or cold meanwhile still counts whole.
pub fn relative_loads(run: &Run, plan: &Plan, window: &Range<Duration>) -> Vec<f64> {
    let counts = relay_counts(run, plan, window);
    let size = |n: usize| plan.endpoints[n].spec.cores as f64 * plan.endpoints[n].spec.speed;
    let (all, sizes) = (
        counts.iter().sum::<f64>(),
        (0..counts.len()).map(size).sum::<f64>(),
    );
    counts
        .iter()
        .enumerate()
        .map(|(n, count)| count * sizes / (all * size(n)).max(1e-9))
        .collect()
}

/// Variance over mean of the relays of an endpoint within a time of this length: 1 where each choice is random.
pub fn dispersion(run: &Run, plan: &Plan, window: &Range<Duration>, step: Duration) -> f64 {
    let steps = ((window.end - window.start).as_secs_f64() / step.as_secs_f64())
        .floor()
        .max(1.0) as usize;
    let mut cells = vec![0.0f64; steps * plan.endpoints.len()];
    for r in run
        .history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
    {
        let at = ((r.sent_at - window.start).as_secs_f64() / step.as_secs_f64()) as usize;
        if at < steps {
            cells[at * plan.endpoints.len() + r.endpoint] += 1.0;
        }
    }
    let mean = cells.iter().sum::<f64>() / cells.len() as f64;
    cells
        .iter()
        .map(|cell| (cell - mean) * (cell - mean))
        .sum::<f64>()
        / cells.len() as f64
        / mean.max(1e-9)
}

/// Share of endpoint-time with nothing held while another endpoint holds more than it has cores for.
pub fn idle_share(run: &Run, plan: &Plan, window: &Range<Duration>) -> f64 {
    let looks: Vec<_> = run
        .samples
        .iter()
        .filter(|look| window.contains(&look.time))
        .collect();
    let queues = |held: &[usize]| (0..held.len()).any(|n| held[n] > plan.endpoints[n].spec.cores);
    let idle: usize = looks
        .iter()
        .filter(|look| queues(&look.outstanding))
        .map(|look| look.outstanding.iter().filter(|held| **held == 0).count())
        .sum();
    idle as f64 / (looks.len() * plan.endpoints.len()).max(1) as f64
}

/// How many sidecars used each endpoint within a window.
pub fn sidecars_per_endpoint(run: &Run, plan: &Plan, window: &Range<Duration>) -> Vec<usize> {
    let mut users = vec![BTreeSet::new(); plan.endpoints.len()];
    for r in run
        .history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
    {
        users[r.endpoint].insert(run.history.commands[r.command].instance);
    }
    users.iter().map(BTreeSet::len).collect()
}

/// How often a tenth of all sidecars chose the same endpoint within 50 ms, a second.
pub fn synchronized_choices(run: &Run, plan: &Plan, window: &Range<Duration>) -> f64 {
    let mut by_endpoint = vec![Vec::new(); plan.endpoints.len()];
    for r in run
        .history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
    {
        by_endpoint[r.endpoint].push((r.sent_at, run.history.commands[r.command].instance));
    }
    let tenth = plan.instances.div_ceil(10).max(2);
    let mut times = 0;
    for mut relays in by_endpoint {
        relays.sort_unstable();
        let mut from = 0;
        while from < relays.len() {
            let end = relays[from..]
                .iter()
                .take_while(|(at, _)| *at < relays[from].0 + TOGETHER)
                .count();
            let users: BTreeSet<usize> = relays[from..from + end]
                .iter()
                .map(|(_, instance)| *instance)
                .collect();
            // One crowd counts once.
            let crowd = users.len() >= tenth;
            times += usize::from(crowd);
            from += if crowd { end } else { 1 };
        }
    }
    times as f64 / (window.end - window.start).as_secs_f64().max(1e-9)
}

/// Most open connections at one endpoint.
pub fn most_connections(run: &Run, window: &Range<Duration>) -> usize {
    let looks = run
        .samples
        .iter()
        .filter(|look| window.contains(&look.time));
    looks
        .flat_map(|look| look.connections.iter().copied())
        .max()
        .unwrap_or(0)
}

#[cfg(test)]
mod tests;
