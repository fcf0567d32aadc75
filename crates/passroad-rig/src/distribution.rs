//! How evenly the relays of a run are distributed over the endpoints, and how many connections that took.

use crate::experiment::Plan;
use crate::run::Run;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// Choices of the same endpoint within this time count as synchronized.
const SYNCHRONIZED_WITHIN: Duration = Duration::from_millis(50);

/// Relays sent within a window, by endpoint.
fn relay_counts(run: &Run, plan: &Plan, window: &Range<Duration>) -> Vec<f64> {
    let mut counts = vec![0.0; plan.endpoints.len()];
    run.history
        .relays
        .iter()
        .filter(|relay| window.contains(&relay.sent_at))
        .for_each(|relay| counts[relay.endpoint] += 1.0);
    counts
}

/// The relays of each endpoint over its fair share by cores and speed. Endpoints that are down or cold for a while count
/// with their full size.
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

/// Variance over mean of the relays of an endpoint within a time of this length. It is 1 where each choice is random.
pub fn dispersion(run: &Run, plan: &Plan, window: &Range<Duration>, interval: Duration) -> f64 {
    let intervals = ((window.end - window.start).as_secs_f64() / interval.as_secs_f64())
        .floor()
        .max(1.0) as usize;
    let mut counts = vec![0.0f64; intervals * plan.endpoints.len()];
    for relay in run
        .history
        .relays
        .iter()
        .filter(|relay| window.contains(&relay.sent_at))
    {
        let time = ((relay.sent_at - window.start).as_secs_f64() / interval.as_secs_f64()) as usize;
        if time < intervals {
            counts[time * plan.endpoints.len() + relay.endpoint] += 1.0;
        }
    }
    let mean = counts.iter().sum::<f64>() / counts.len() as f64;
    counts
        .iter()
        .map(|cell| (cell - mean) * (cell - mean))
        .sum::<f64>()
        / counts.len() as f64
        / mean.max(1e-9)
}

/// Share of endpoint time without an outstanding command while another endpoint has more of them than cores.
pub fn idle_share(run: &Run, plan: &Plan, window: &Range<Duration>) -> f64 {
    let samples: Vec<_> = run
        .samples
        .iter()
        .filter(|sample| window.contains(&sample.time))
        .collect();
    let has_queue = |outstanding: &[usize]| {
        (0..outstanding.len()).any(|n| outstanding[n] > plan.endpoints[n].spec.cores)
    };
    let idle: usize = samples
        .iter()
        .filter(|sample| has_queue(&sample.outstanding))
        .map(|sample| {
            sample
                .outstanding
                .iter()
                .filter(|outstanding| **outstanding == 0)
                .count()
        })
        .sum();
    idle as f64 / (samples.len() * plan.endpoints.len()).max(1) as f64
}

/// Number of sidecars that sent to each endpoint within a window.
pub fn sidecars_per_endpoint(run: &Run, plan: &Plan, window: &Range<Duration>) -> Vec<usize> {
    let mut sidecars = vec![BTreeSet::new(); plan.endpoints.len()];
    for relay in run
        .history
        .relays
        .iter()
        .filter(|relay| window.contains(&relay.sent_at))
    {
        sidecars[relay.endpoint].insert(run.history.commands[relay.command].instance);
    }
    sidecars.iter().map(BTreeSet::len).collect()
}

/// How often per second a tenth of all sidecars, and at least two, chose the same endpoint within 50 ms.
pub fn synchronized_choices(run: &Run, plan: &Plan, window: &Range<Duration>) -> f64 {
    let mut by_endpoint = vec![Vec::new(); plan.endpoints.len()];
    for relay in run
        .history
        .relays
        .iter()
        .filter(|relay| window.contains(&relay.sent_at))
    {
        by_endpoint[relay.endpoint]
            .push((relay.sent_at, run.history.commands[relay.command].instance));
    }
    let tenth = plan.instances.div_ceil(10).max(2);
    let mut crowds = 0;
    for mut relays in by_endpoint {
        relays.sort_unstable();
        let mut first = 0;
        while first < relays.len() {
            let end = relays[first..]
                .iter()
                .take_while(|(time, _)| *time < relays[first].0 + SYNCHRONIZED_WITHIN)
                .count();
            let sidecars: BTreeSet<usize> = relays[first..first + end]
                .iter()
                .map(|(_, instance)| *instance)
                .collect();
            // Each crowd is counted once.
            let crowd = sidecars.len() >= tenth;
            crowds += usize::from(crowd);
            first += if crowd { end } else { 1 };
        }
    }
    crowds as f64 / (window.end - window.start).as_secs_f64().max(1e-9)
}

/// Most open connections at one endpoint in any sample.
pub fn most_connections(run: &Run, window: &Range<Duration>) -> usize {
    let samples = run
        .samples
        .iter()
        .filter(|sample| window.contains(&sample.time));
    samples
        .flat_map(|sample| sample.connections.iter().copied())
        .max()
        .unwrap_or(0)
}

#[cfg(test)]
mod tests;
