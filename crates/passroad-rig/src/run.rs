//! Runs an experiment, simulated or on sockets, and computes the figures by which its expectations are checked.

use crate::distribution;
use crate::experiment::{Expectation, Metric, Plan};
use crate::fleet::{Act, FleetResults, simulation};
use crate::ledger::{Answer, CommandRecord, History, Rule, RuleContext, Violation};
use crate::sockets::{self, Program};
use crate::virtual_time::{self, FleetSample, Recording};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

/// One run of one policy with one seed.
pub struct Run {
    pub policy: String,
    pub seed: u64,
    pub history: History,
    pub rule_context: RuleContext,
    pub violations: Vec<Violation>,
    pub samples: Vec<FleetSample>,
    pub log_lines: Vec<(Duration, usize, String)>,
    pub connections: usize,
    /// Findings about the processes that the ledger doesn't have; on sockets only.
    pub remarks: Vec<String>,
    /// Whether the run was in virtual time.
    pub simulated: bool,
    /// What happened between the sidecars, where the experiment has peers.
    pub fleet: Option<FleetResults>,
}

impl Run {
    pub fn from_recording(
        plan: &Plan,
        policy: &str,
        seed: u64,
        recording: Recording,
        slack: Duration,
    ) -> Run {
        let rule_context = RuleContext::from_plan(plan, slack);
        let history = recording.ledger.history();
        let violations = history.check_rules(&rule_context);
        Run {
            policy: policy.into(),
            seed,
            history,
            rule_context,
            violations,
            samples: recording.samples,
            log_lines: recording.log_lines,
            connections: recording.connections,
            remarks: Vec::new(),
            simulated: true,
            fleet: None,
        }
    }

    pub fn violation_count(&self, rule: Rule) -> usize {
        self.violations
            .iter()
            .filter(|violation| violation.rule == rule)
            .count()
    }

    /// The most work that any cold endpoint was offered, in multiples of its capacity.
    pub fn worst_cold_overload(&self) -> f64 {
        (0..self.rule_context.endpoints.len())
            .map(|endpoint| self.history.cold_overload(endpoint, &self.rule_context).0)
            .fold(0.0, f64::max)
    }

    /// The most commands that any cold endpoint got over its `overload_window`, as a share of the bound.
    pub fn worst_cold_start_load(&self) -> f64 {
        (0..self.rule_context.endpoints.len())
            .map(|endpoint| self.history.cold_start_load(endpoint, &self.rule_context).0)
            .fold(0.0, f64::max)
    }
}

/// Simulates all runs of an experiment, by policy and seed, on a number of threads. The result is the same for any number.
pub fn simulate_all(plan: &Plan, threads: usize) -> Result<Vec<Run>, String> {
    let runs_to_simulate: Vec<(&String, u64)> = plan
        .policies
        .iter()
        .flat_map(|policy| plan.seeds.iter().map(move |s| (policy, *s)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, runs_to_simulate.len().max(1)) {
            scope.spawn(|| {
                while let Some((n, (policy, seed))) = {
                    let n = next.fetch_add(1, Relaxed);
                    runs_to_simulate.get(n).map(|run| (n, *run))
                } {
                    let run = virtual_time::simulate(plan, seed, policy)
                        .map(|recording| {
                            Run::from_recording(plan, policy, seed, recording, Duration::ZERO)
                        })
                        .map(|run| Run {
                            fleet: simulate_fleet(plan, policy, seed),
                            ..run
                        });
                    done.lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .insert(n, run);
                }
            });
        }
    });
    done.into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .into_values()
        .collect()
}

/// Simulates the sidecars' traffic among each other. It is a simulation of its own, as it and the commands don't affect
/// each other.
fn simulate_fleet(plan: &Plan, policy: &str, seed: u64) -> Option<FleetResults> {
    let fleet = plan
        .fleet
        .as_ref()
        .filter(|_| policy.starts_with("passroad"))?;
    Some(simulation::simulate(
        fleet,
        plan.instances,
        plan.length,
        plan.round_trip / 2,
        seed,
    ))
}

/// Runs all seeds of an experiment on sockets, one after the other. Only passroad's policies run there.
pub fn run_on_sockets(
    plan: &Plan,
    program: &Program,
    log_folder: Option<&Path>,
    show_progress: bool,
) -> Result<Vec<Run>, String> {
    let mut runs = Vec::new();
    for policy in plan
        .policies
        .iter()
        .filter(|policy| policy.starts_with("passroad"))
    {
        for seed in &plan.seeds {
            let routes = plan.routes.as_ref().filter(|_| policy == "passroad-routes");
            let (recording, remarks, fleet) =
                sockets::run(plan, *seed, program, routes, log_folder, show_progress)?;
            runs.push(Run {
                remarks,
                fleet,
                simulated: false,
                ..Run::from_recording(plan, policy, *seed, recording, sockets::ANSWER_SLACK)
            });
        }
    }
    Ok(runs)
}

/// Counts of the outcomes of commands that arrived within a window.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub commands: usize,
    pub served: usize, // within their deadline target
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub unanswered: usize,
    pub relays: usize,
    pub utility: f64, // of chains with a try that was answered within its deadline target
    pub utility_offered: f64,
    pub response_times: Option<Histogram<u64>>, // microseconds to an answer
}

impl Tally {
    pub fn of_class(
        run: &Run,
        plan: &Plan,
        window: &Range<Duration>,
        class: Option<usize>,
    ) -> Tally {
        Tally::of_matching(run, plan, window, |command| {
            class.is_none_or(|class| command.class == class)
        })
    }

    /// Counts commands that arrived within a window and match a filter.
    pub fn of_matching(
        run: &Run,
        plan: &Plan,
        window: &Range<Duration>,
        matches_filter: impl Fn(&CommandRecord) -> bool,
    ) -> Tally {
        let mut tally = Tally::default();
        let mut response_times = Histogram::new_with_bounds(1, 3_600_000_000, 3).ok();
        let within = |command: &&CommandRecord| {
            window.contains(&command.arrived_at) && matches_filter(command)
        };
        for command in run.history.commands.iter().filter(within) {
            tally.commands += 1;
            tally.relays += command.relays.len();
            let elapsed = command
                .answers
                .first()
                .map(|(at, _)| at.saturating_sub(command.arrived_at));
            match command.answers.first().map(|(_, answer)| *answer) {
                Some(Answer::Answered) => {
                    let elapsed = elapsed.unwrap_or_default();
                    let in_time = elapsed <= plan.classes[command.class].deadline_target;
                    tally.served += usize::from(in_time);
                    tally.late += usize::from(!in_time);
                    response_times.iter_mut().for_each(|histogram| {
                        histogram.saturating_record(elapsed.as_micros() as u64)
                    });
                }
                Some(Answer::Refused) => tally.refused += 1,
                Some(Answer::Failed) => tally.failed += 1,
                None => tally.unanswered += 1,
            }
        }
        // A chain of tries counts its utility once, if any of them was answered within the deadline target.
        let mut chains: BTreeMap<usize, bool> = BTreeMap::new();
        for command in &run.history.commands {
            let Some(first) = run
                .history
                .commands
                .get(command.chain)
                .filter(|first| within(first))
            else {
                continue;
            };
            let met = command.answers.first().is_some_and(|(at, answer)| {
                *answer == Answer::Answered
                    && at.saturating_sub(command.arrived_at)
                        <= plan.classes[first.class].deadline_target
            });
            *chains.entry(command.chain).or_default() |= met;
        }
        for (chain, met) in chains {
            let utility = plan.classes[run.history.commands[chain].class].utility;
            tally.utility_offered += utility;
            tally.utility += if met { utility } else { 0.0 };
        }
        tally.response_times = response_times;
        tally
    }

    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.commands.max(1) as f64
    }

    /// Milliseconds within which this percentage of the answers came.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.response_times.as_ref().map_or(0.0, |histogram| {
            histogram.value_at_quantile(percentile / 100.0) as f64 / 1e3
        })
    }
}

/// A metric of a run, as an expectation asks for it.
pub fn measure(run: &Run, plan: &Plan, expectation: &Expectation) -> f64 {
    let matches_filter = |command: &CommandRecord| {
        expectation.class.is_none_or(|class| command.class == class)
            && expectation
                .client_zone
                .is_none_or(|zone| plan.zone_of(command.instance) == zone)
    };
    let tally = || Tally::of_matching(run, plan, &expectation.window, matches_filter);
    let fleet = |of: fn(&FleetResults) -> f64| run.fleet.as_ref().map_or(f64::NAN, of);
    match expectation.metric {
        Metric::Served => {
            let tally = tally();
            tally.share(tally.served)
        }
        Metric::Worth => {
            let tally = tally();
            tally.utility / tally.utility_offered.max(1e-9)
        }
        Metric::Declined => {
            let tally = tally();
            tally.share(tally.refused)
        }
        Metric::Terminated => {
            let tally = tally();
            tally.share(tally.failed)
        }
        Metric::Late => {
            let tally = tally();
            tally.share(tally.late)
        }
        Metric::P50 => tally().percentile_ms(50.0),
        Metric::P99 => tally().percentile_ms(99.0),
        Metric::Relays => {
            let tally = tally();
            tally.share(tally.relays)
        }
        Metric::Probes => {
            let probes = run
                .history
                .probes
                .iter()
                .filter(|(at, _)| expectation.window.contains(at))
                .count();
            probes as f64 / tally().commands.max(1) as f64
        }
        Metric::Broken => run.violations.len() as f64,
        Metric::Push => run.worst_cold_overload(),
        Metric::Ramp => run.worst_cold_start_load(),
        Metric::Share => zone_share(run, plan, &expectation.window, expectation.zone),
        Metric::Recovers => {
            let quarter = Duration::from_millis(250);
            let served = |from: Duration| {
                let tally =
                    Tally::of_matching(run, plan, &(from..from + 4 * quarter), matches_filter);
                tally.share(tally.served)
            };
            let first_fault = plan.changes.first().map_or(plan.length, |(at, _)| *at);
            let before = Tally::of_matching(run, plan, &(plan.settle..first_fault), matches_filter);
            let recovered_share = 0.95 * before.share(before.served);
            let (mut time, mut recovered_at) = (expectation.window.start, expectation.window.start);
            while time + 4 * quarter <= expectation.window.end {
                if served(time) < recovered_share {
                    recovered_at = time + quarter;
                }
                time += quarter;
            }
            (recovered_at - expectation.window.start).as_secs_f64()
        }
        Metric::Returns => {
            let first_fault = plan.changes.first().map_or(plan.length, |(at, _)| *at);
            let before = zone_share(run, plan, &(plan.settle..first_fault), expectation.zone);
            let half = Duration::from_millis(500);
            let mut time = expectation.window.start;
            while time + 2 * half <= expectation.window.end
                && zone_share(run, plan, &(time..time + 2 * half), expectation.zone) < 0.9 * before
            {
                time += half;
            }
            (time - expectation.window.start).as_secs_f64()
        }
        Metric::Swing => {
            let second = Duration::from_secs(1);
            let mut shares = Vec::new();
            let mut time = expectation.window.start;
            while time + second <= expectation.window.end {
                shares.push(zone_share(
                    run,
                    plan,
                    &(time..time + second),
                    expectation.zone,
                ));
                time += second;
            }
            let steps = shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
            steps.sum::<f64>() / shares.len().saturating_sub(1).max(1) as f64
        }
        Metric::Busiest => distribution::relative_loads(run, plan, &expectation.window)
            .into_iter()
            .fold(0.0, f64::max),
        Metric::Idlest => distribution::relative_loads(run, plan, &expectation.window)
            .into_iter()
            .fold(f64::MAX, f64::min),
        Metric::Herding => {
            distribution::dispersion(run, plan, &expectation.window, Duration::from_secs(1))
        }
        Metric::HerdingFast => {
            distribution::dispersion(run, plan, &expectation.window, Duration::from_millis(100))
        }
        Metric::Idle => distribution::idle_share(run, plan, &expectation.window),
        Metric::HoldersMost => distribution::sidecars_per_endpoint(run, plan, &expectation.window)
            .into_iter()
            .max()
            .unwrap_or(0) as f64,
        Metric::HoldersLeast => distribution::sidecars_per_endpoint(run, plan, &expectation.window)
            .into_iter()
            .min()
            .unwrap_or(0) as f64,
        Metric::LinksMost => distribution::most_connections(run, &expectation.window) as f64,
        Metric::Connections => run.connections as f64,
        Metric::Together => distribution::synchronized_choices(run, plan, &expectation.window),
        Metric::OwnersAtOnce => fleet(|fleet| fleet.owners_at_once() as f64),
        Metric::Believers => {
            fleet(|fleet| fleet.max_believed_owners.map_or(f64::NAN, |n| n as f64))
        }
        Metric::StaleActs => fleet(|fleet| fleet.stale_acts() as f64),
        Metric::StaleTries => fleet(|fleet| fleet.refused_acts() as f64),
        Metric::Unowned => {
            let leased_roles = plan
                .fleet
                .as_ref()
                .map_or(0, |plan| plan.leased_roles.len());
            run.fleet.as_ref().map_or(f64::NAN, |fleet| {
                fleet.longest_unowned_seconds(&expectation.window, leased_roles)
            })
        }
        Metric::Acts => {
            let within = |act: &&Act| act.accepted && expectation.window.contains(&act.time);
            run.fleet.as_ref().map_or(f64::NAN, |fleet| {
                fleet.acts.iter().filter(within).count() as f64
            })
        }
        Metric::Owners => fleet(|fleet| fleet.ownership_count() as f64),
        Metric::PeerDatagrams => fleet(FleetResults::busiest_sender_rate),
        Metric::Doubts => fleet(|fleet| fleet.suspicions as f64),
        Metric::Hits => fleet(|fleet| fleet.fault_hits as f64),
        Metric::Worked => fleet(|fleet| fleet.machines_maintained() as f64),
        Metric::AtWork => fleet(|fleet| fleet.max_machines_under_maintenance() as f64),
        Metric::WorkBroken => relays_during_work(run) as f64,
        Metric::WorkTime => {
            let requests = plan
                .fleet
                .iter()
                .flat_map(|fleet| fleet.maintenance.iter())
                .flat_map(|work| &work.requests);
            let last_end = |endpoints: &[usize]| {
                let own = run
                    .fleet
                    .iter()
                    .flat_map(|fleet| &fleet.maintenance)
                    .filter(|work| endpoints.contains(&work.endpoint));
                own.map(|work| work.to).max().unwrap_or(Duration::MAX)
            };
            let durations = requests
                .map(|(at, _, endpoints)| last_end(endpoints).saturating_sub(*at).as_secs_f64());
            durations.fold(0.0, f64::max)
        }
        Metric::Load => {
            let in_zone =
                |endpoint: &usize| Some(plan.endpoints[*endpoint].zone) == expectation.zone;
            let own: Vec<usize> = (0..plan.endpoints.len()).filter(in_zone).collect();
            let cores: usize = own
                .iter()
                .map(|endpoint| plan.endpoints[*endpoint].spec.cores)
                .sum();
            let samples: Vec<_> = run
                .samples
                .iter()
                .filter(|sample| expectation.window.contains(&sample.time))
                .collect();
            let outstanding: usize = samples
                .iter()
                .map(|sample| {
                    own.iter()
                        .map(|endpoint| sample.outstanding[*endpoint])
                        .sum::<usize>()
                })
                .sum();
            outstanding as f64 / samples.len().max(1) as f64 / cores.max(1) as f64
        }
    }
}

/// Relays that were sent to an endpoint during maintenance on it, or were on it when that began.
fn relays_during_work(run: &Run) -> usize {
    let works = run.fleet.iter().flat_map(|fleet| &fleet.maintenance);
    let disturbed = |work: &crate::fleet::MaintenanceInterval| {
        let on = run
            .history
            .relays
            .iter()
            .filter(|relay| relay.endpoint == work.endpoint);
        on.filter(|relay| {
            relay.sent_at < work.to && relay.ended.is_none_or(|(at, _)| at > work.from)
        })
        .count()
    };
    works.map(disturbed).sum()
}

/// Share of the relays within a window that went to a zone.
fn zone_share(run: &Run, plan: &Plan, window: &Range<Duration>, zone: Option<usize>) -> f64 {
    let (mut in_zone, mut all) = (0u32, 0u32);
    for relay in run
        .history
        .relays
        .iter()
        .filter(|relay| window.contains(&relay.sent_at))
    {
        all += 1;
        in_zone += u32::from(Some(plan.endpoints[relay.endpoint].zone) == zone);
    }
    f64::from(in_zone) / f64::from(all.max(1))
}

/// Whether an expectation is met, and by which figure: the mean over the seeds, but the worst seed for metrics that must
/// hold in each run.
pub struct ExpectationResult {
    pub label: String,
    pub line: usize,
    pub figure: f64,
    pub bound: String,
    pub met: bool,
}

pub fn check_expectations(plan: &Plan, runs: &[Run]) -> Vec<ExpectationResult> {
    let figure = |expectation: &Expectation, policy: &str| {
        let all: Vec<f64> = runs
            .iter()
            .filter(|run| run.policy == policy)
            .map(|run| measure(run, plan, expectation))
            .collect();
        match expectation.metric {
            Metric::Broken
            | Metric::Push
            | Metric::Ramp
            | Metric::Recovers
            | Metric::Returns
            | Metric::OwnersAtOnce
            | Metric::Believers
            | Metric::StaleActs
            | Metric::AtWork
            | Metric::WorkBroken
            | Metric::WorkTime
            | Metric::Unowned => all.into_iter().fold(0.0, f64::max),
            _ => all.iter().sum::<f64>() / all.len().max(1) as f64,
        }
    };
    let check = |expectation: &Expectation| {
        let other = expectation
            .compared_policy
            .as_ref()
            .map_or(0.0, |other| figure(expectation, other));
        let figure = figure(expectation, &expectation.policy) - other;
        let met = expectation.at_least.is_none_or(|least| figure >= least)
            && expectation.at_most.is_none_or(|most| figure <= most);
        let bounds = [
            ("at least", expectation.at_least),
            ("at most", expectation.at_most),
        ];
        let bound: Vec<_> = bounds
            .iter()
            .filter_map(|(word, value)| Some(format!("{word} {}", (*value)?)))
            .collect();
        ExpectationResult {
            label: expectation.label.clone(),
            line: expectation.line,
            figure,
            bound: bound.join(", "),
            met,
        }
    };
    // Expectations on policies that were not run are left out.
    let was_run = |name: &String| runs.iter().any(|run| run.policy == *name);
    let applies = |expectation: &&Expectation| {
        !expectation.simulated_only || runs.iter().all(|run| run.simulated)
    };
    let can_be_checked = |expectation: &&Expectation| {
        was_run(&expectation.policy)
            && expectation.compared_policy.iter().all(was_run)
            && applies(expectation)
    };
    plan.expectations
        .iter()
        .filter(can_be_checked)
        .map(check)
        .collect()
}

#[cfg(test)]
mod tests;
