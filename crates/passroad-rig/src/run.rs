//! Plays what an experiment asks for and measures what came of it.

use crate::distribution;
use crate::experiment::{Expectation, Metric, Plan};
use crate::fleet::{Act, FleetDay, world};
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

/// One day of one policy.
pub struct Run {
    pub policy: String,
    pub seed: u64,
    pub history: History,
    pub rule_context: RuleContext,
    pub violations: Vec<Violation>,
    pub samples: Vec<FleetSample>,
    pub log_lines: Vec<(Duration, usize, String)>,
    pub connections: usize,
    /// What can't be read off the wire: of processes, on sockets only.
    pub remarks: Vec<String>,
    /// Played in virtual time.
    pub simulated: bool,
    /// Of sidecars that talk.
    pub fleet: Option<FleetDay>,
}

impl Run {
    pub fn from_recording(
        plan: &Plan,
        policy: &str,
        seed: u64,
        played: Recording,
        slack: Duration,
    ) -> Run {
        let facts = RuleContext::from_plan(plan, slack);
        let books = played.ledger.history();
        let breaches = books.check_rules(&facts);
        Run {
            policy: policy.into(),
            seed,
            history: books,
            rule_context: facts,
            violations: breaches,
            samples: played.samples,
            log_lines: played.log_lines,
            connections: played.connections,
            remarks: Vec::new(),
            simulated: true,
            fleet: None,
        }
    }

    pub fn violation_count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|b| b.rule == rule).count()
    }

    /// The most that any cold endpoint was offered, in multiples of what it could do.
    pub fn worst_cold_overload(&self) -> f64 {
        (0..self.rule_context.endpoints.len())
            .map(|e| self.history.cold_overload(e, &self.rule_context).0)
            .fold(0.0, f64::max)
    }

    /// The most requests that any cold endpoint got over `tip_after`, against what doesn't push it over; 1 is the bound.
    pub fn worst_cold_start_load(&self) -> f64 {
        (0..self.rule_context.endpoints.len())
            .map(|e| self.history.cold_start_load(e, &self.rule_context).0)
            .fold(0.0, f64::max)
    }
}

/// All days of an experiment in virtual time, by policy and seed, on as many threads as asked for.
pub fn simulate_all(plan: &Plan, threads: usize) -> Result<Vec<Run>, String> {
    let days: Vec<(&String, u64)> = plan
        .policies
        .iter()
        .flat_map(|p| plan.seeds.iter().map(move |s| (p, *s)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, days.len().max(1)) {
            scope.spawn(|| {
                while let Some((n, (policy, seed))) = {
                    let n = next.fetch_add(1, Relaxed);
                    days.get(n).map(|day| (n, *day))
                } {
                    let run = virtual_time::simulate(plan, seed, policy)
                        .map(|played| {
                            Run::from_recording(plan, policy, seed, played, Duration::ZERO)
                        })
                        .map(|run| Run {
                            fleet: fleet_of(plan, policy, seed),
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

/// Sidecars that talk, beside the commands: neither has to do with the other.
fn fleet_of(plan: &Plan, policy: &str, seed: u64) -> Option<FleetDay> {
    let fleet = plan
        .fleet
        .as_ref()
        .filter(|_| policy.starts_with("passroad"))?;
    Some(world::play(
        fleet,
        plan.instances,
        plan.length,
        plan.round_trip / 2,
        seed,
    ))
}

/// All seeds of an experiment on sockets, one after the other; there only passroad decides, with routes and without.
pub fn run_on_sockets(
    plan: &Plan,
    program: &Program,
    keep: Option<&Path>,
    shows: bool,
) -> Result<Vec<Run>, String> {
    let mut runs = Vec::new();
    for policy in plan.policies.iter().filter(|p| p.starts_with("passroad")) {
        for seed in &plan.seeds {
            let routes = plan.routes.as_ref().filter(|_| policy == "passroad-routes");
            let (played, remarks, fleet) =
                sockets::play(plan, *seed, program, routes, keep, shows)?;
            runs.push(Run {
                remarks,
                fleet,
                simulated: false,
                ..Run::from_recording(plan, policy, *seed, played, sockets::SLACK)
            });
        }
    }
    Ok(runs)
}

/// What became of the commands that came within a window.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub commands: usize,
    pub served: usize, // within their goal
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub unanswered: usize,
    pub relays: usize,
    pub utility: f64, // of chains: what was answered within the goal of its first try
    pub utility_offered: f64,
    pub response_times: Option<Histogram<u64>>, // microseconds to an answer
}

impl Tally {
    pub fn of_class(
        run: &Run,
        plan: &Plan,
        window: &Range<Duration>,
        verb: Option<usize>,
    ) -> Tally {
        Tally::of_matching(run, plan, window, |c| verb.is_none_or(|v| c.class == v))
    }

    /// Of commands that came within a window and are asked about.
    pub fn of_matching(
        run: &Run,
        plan: &Plan,
        window: &Range<Duration>,
        asked: impl Fn(&CommandRecord) -> bool,
    ) -> Tally {
        let mut tally = Tally::default();
        let mut times = Histogram::new_with_bounds(1, 3_600_000_000, 3).ok();
        let within = |c: &&CommandRecord| window.contains(&c.arrived_at) && asked(c);
        for c in run.history.commands.iter().filter(within) {
            tally.commands += 1;
            tally.relays += c.relays.len();
            let spent = c
                .answers
                .first()
                .map(|(at, _)| at.saturating_sub(c.arrived_at));
            match c.answers.first().map(|(_, answer)| *answer) {
                Some(Answer::Answered) => {
                    let spent = spent.unwrap_or_default();
                    let good = spent <= plan.classes[c.class].deadline_target;
                    tally.served += usize::from(good);
                    tally.late += usize::from(!good);
                    times
                        .iter_mut()
                        .for_each(|t| t.saturating_record(spent.as_micros() as u64));
                }
                Some(Answer::Refused) => tally.refused += 1,
                Some(Answer::Failed) => tally.failed += 1,
                None => tally.unanswered += 1,
            }
        }
        // A chain is worth its utility once, if any of its tries was answered in that try's goal.
        let mut chains: BTreeMap<usize, bool> = BTreeMap::new();
        for c in &run.history.commands {
            let Some(first) = run
                .history
                .commands
                .get(c.chain)
                .filter(|first| within(first))
            else {
                continue;
            };
            let good = c.answers.first().is_some_and(|(at, answer)| {
                *answer == Answer::Answered
                    && at.saturating_sub(c.arrived_at) <= plan.classes[first.class].deadline_target
            });
            *chains.entry(c.chain).or_default() |= good;
        }
        for (chain, good) in chains {
            let utility = plan.classes[run.history.commands[chain].class].utility;
            tally.utility_offered += utility;
            tally.utility += if good { utility } else { 0.0 };
        }
        tally.response_times = times;
        tally
    }

    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.commands.max(1) as f64
    }

    /// Milliseconds within which so many of a hundred answers came.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.response_times.as_ref().map_or(0.0, |t| {
            t.value_at_quantile(percentile / 100.0) as f64 / 1e3
        })
    }
}

/// A figure of a run.
pub fn measure(run: &Run, plan: &Plan, hold: &Expectation) -> f64 {
    let asked = |c: &CommandRecord| {
        hold.class.is_none_or(|v| c.class == v)
            && hold
                .client_zone
                .is_none_or(|zone| plan.zone_of(c.instance) == zone)
    };
    let tally = || Tally::of_matching(run, plan, &hold.window, asked);
    let fleet = |of: fn(&FleetDay) -> f64| run.fleet.as_ref().map_or(f64::NAN, of);
    match hold.metric {
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
                .filter(|(at, _)| hold.window.contains(at))
                .count();
            probes as f64 / tally().commands.max(1) as f64
        }
        Metric::Broken => run.violations.len() as f64,
        Metric::Push => run.worst_cold_overload(),
        Metric::Ramp => run.worst_cold_start_load(),
        Metric::Share => share_of(run, plan, &hold.window, hold.zone),
        Metric::Recovers => {
            let quarter = Duration::from_millis(250);
            let served = |from: Duration| {
                let tally = Tally::of_matching(run, plan, &(from..from + 4 * quarter), asked);
                tally.share(tally.served)
            };
            let first = plan.changes.first().map_or(plan.length, |(at, _)| *at);
            let before = Tally::of_matching(run, plan, &(plan.settle..first), asked);
            let enough = 0.95 * before.share(before.served);
            let (mut at, mut since) = (hold.window.start, hold.window.start);
            while at + 4 * quarter <= hold.window.end {
                if served(at) < enough {
                    since = at + quarter;
                }
                at += quarter;
            }
            (since - hold.window.start).as_secs_f64()
        }
        Metric::Returns => {
            let first = plan.changes.first().map_or(plan.length, |(at, _)| *at);
            let before = share_of(run, plan, &(plan.settle..first), hold.zone);
            let half = Duration::from_millis(500);
            let mut at = hold.window.start;
            while at + 2 * half <= hold.window.end
                && share_of(run, plan, &(at..at + 2 * half), hold.zone) < 0.9 * before
            {
                at += half;
            }
            (at - hold.window.start).as_secs_f64()
        }
        Metric::Swing => {
            let second = Duration::from_secs(1);
            let mut shares = Vec::new();
            let mut at = hold.window.start;
            while at + second <= hold.window.end {
                shares.push(share_of(run, plan, &(at..at + second), hold.zone));
                at += second;
            }
            let steps = shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
            steps.sum::<f64>() / shares.len().saturating_sub(1).max(1) as f64
        }
        Metric::Busiest => distribution::relative_loads(run, plan, &hold.window)
            .into_iter()
            .fold(0.0, f64::max),
        Metric::Idlest => distribution::relative_loads(run, plan, &hold.window)
            .into_iter()
            .fold(f64::MAX, f64::min),
        Metric::Herding => {
            distribution::dispersion(run, plan, &hold.window, Duration::from_secs(1))
        }
        Metric::HerdingFast => {
            distribution::dispersion(run, plan, &hold.window, Duration::from_millis(100))
        }
        Metric::Idle => distribution::idle_share(run, plan, &hold.window),
        Metric::HoldersMost => distribution::sidecars_per_endpoint(run, plan, &hold.window)
            .into_iter()
            .max()
            .unwrap_or(0) as f64,
        Metric::HoldersLeast => distribution::sidecars_per_endpoint(run, plan, &hold.window)
            .into_iter()
            .min()
            .unwrap_or(0) as f64,
        Metric::LinksMost => distribution::most_connections(run, &hold.window) as f64,
        Metric::Connections => run.connections as f64,
        Metric::Together => distribution::synchronized_choices(run, plan, &hold.window),
        Metric::OwnersAtOnce => fleet(|f| f.owners_at_once() as f64),
        Metric::Believers => fleet(|f| f.believers.map_or(f64::NAN, |n| n as f64)),
        Metric::StaleActs => fleet(|f| f.stale_acts() as f64),
        Metric::StaleTries => fleet(|f| f.stale_tries() as f64),
        Metric::Unowned => {
            let duties = plan.fleet.as_ref().map_or(0, |plan| plan.duties.len());
            run.fleet
                .as_ref()
                .map_or(f64::NAN, |f| f.unowned(&hold.window, duties))
        }
        Metric::Acts => {
            let within = |a: &&Act| a.accepted && hold.window.contains(&a.at);
            run.fleet
                .as_ref()
                .map_or(f64::NAN, |f| f.acts.iter().filter(within).count() as f64)
        }
        Metric::Owners => fleet(|f| f.owners() as f64),
        Metric::PeerDatagrams => fleet(FleetDay::peer_datagrams),
        Metric::Doubts => fleet(|f| f.doubts as f64),
        Metric::Hits => fleet(|f| f.hits as f64),
        Metric::Worked => fleet(|f| f.worked() as f64),
        Metric::AtWork => fleet(|f| f.at_work() as f64),
        Metric::WorkBroken => work_broken(run) as f64,
        Metric::WorkTime => {
            let requests = plan
                .fleet
                .iter()
                .flat_map(|f| f.work.iter())
                .flat_map(|work| &work.requests);
            let last = |es: &[usize]| {
                let own = run
                    .fleet
                    .iter()
                    .flat_map(|f| &f.works)
                    .filter(|w| es.contains(&w.endpoint));
                own.map(|w| w.to).max().unwrap_or(Duration::MAX)
            };
            let times = requests.map(|(at, _, es)| last(es).saturating_sub(*at).as_secs_f64());
            times.fold(0.0, f64::max)
        }
        Metric::Load => {
            let there = |e: &usize| Some(plan.endpoints[*e].zone) == hold.zone;
            let own: Vec<usize> = (0..plan.endpoints.len()).filter(there).collect();
            let cores: usize = own.iter().map(|e| plan.endpoints[*e].spec.cores).sum();
            let looks: Vec<_> = run
                .samples
                .iter()
                .filter(|l| hold.window.contains(&l.time))
                .collect();
            let check_expectations: usize = looks
                .iter()
                .map(|l| own.iter().map(|e| l.outstanding[*e]).sum::<usize>())
                .sum();
            check_expectations as f64 / looks.len().max(1) as f64 / cores.max(1) as f64
        }
    }
}

/// Relays that came to a machine while somebody worked on it, or were on it when that began.
fn work_broken(run: &Run) -> usize {
    let works = run.fleet.iter().flat_map(|fleet| &fleet.works);
    let broken = |work: &crate::fleet::Worked| {
        let on = run
            .history
            .relays
            .iter()
            .filter(|r| r.endpoint == work.endpoint);
        on.filter(|r| r.sent_at < work.to && r.ended.is_none_or(|(at, _)| at > work.from))
            .count()
    };
    works.map(broken).sum()
}

/// Of the relays within a window, the share that went to a zone.
fn share_of(run: &Run, plan: &Plan, window: &Range<Duration>, zone: Option<usize>) -> f64 {
    let (mut there, mut all) = (0u32, 0u32);
    for r in run
        .history
        .relays
        .iter()
        .filter(|r| window.contains(&r.sent_at))
    {
        all += 1;
        there += u32::from(Some(plan.endpoints[r.endpoint].zone) == zone);
    }
    f64::from(there) / f64::from(all.max(1))
}

/// Whether what must hold does, and by which figure: the mean over the seeds, but the worst one of broken rules and
/// of pushes.
pub struct ExpectationResult {
    pub label: String,
    pub line: usize,
    pub figure: f64,
    pub bound: String,
    pub met: bool,
}

pub fn check_expectations(plan: &Plan, runs: &[Run]) -> Vec<ExpectationResult> {
    let figure = |hold: &Expectation, policy: &str| {
        let all: Vec<f64> = runs
            .iter()
            .filter(|r| r.policy == policy)
            .map(|run| measure(run, plan, hold))
            .collect();
        match hold.metric {
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
    let one = |hold: &Expectation| {
        let other = hold
            .compared_policy
            .as_ref()
            .map_or(0.0, |other| figure(hold, other));
        let figure = figure(hold, &hold.policy) - other;
        let good = hold.at_least.is_none_or(|least| figure >= least)
            && hold.at_most.is_none_or(|m| figure <= m);
        let bounds = [("at least", hold.at_least), ("at most", hold.at_most)];
        let bound: Vec<_> = bounds
            .iter()
            .filter_map(|(word, b)| Some(format!("{word} {}", (*b)?)))
            .collect();
        ExpectationResult {
            label: hold.label.clone(),
            line: hold.line,
            figure,
            bound: bound.join(", "),
            met: good,
        }
    };
    // Of what was not played there is nothing to say.
    let played = |name: &String| runs.iter().any(|r| r.policy == *name);
    let seen = |h: &&Expectation| !h.simulated_only || runs.iter().all(|run| run.simulated);
    let known =
        |h: &&Expectation| played(&h.policy) && h.compared_policy.iter().all(played) && seen(h);
    plan.expectations.iter().filter(known).map(one).collect()
}

#[cfg(test)]
mod tests;
