//! Computes the points, metrics and printed lines of a run from its samples, state changes and recorded faults.

use super::measure::{Roles, Sample};
use super::plan::{Event, EventKind};
use super::processes::StateChange;
use super::run::{JUSTIFIED_AFTER_FAULT, ScaleRun};
use super::{Point, SizeResult, lock, measure, network};
use passroad_choice::interner::stable_hash;
use passroad_peers::MemberState;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Unjustified suspicions of a member within this time count as one.
const SUSPICION_EPISODE: Duration = Duration::from_secs(10);

impl ScaleRun {
    /// Whether a suspicion is justified: the member is down or a network cut is in force, or was shortly before.
    fn is_justified(&self, change: &StateChange) -> bool {
        let during = |from: &Duration, to: &Option<Duration>| {
            change.time >= *from && to.is_none_or(|to| change.time <= to + JUSTIFIED_AFTER_FAULT)
        };
        let down = lock(&self.downtimes)
            .iter()
            .any(|(sidecar, from, to)| *sidecar == change.member && during(from, to));
        // During a cut each side also spreads suspicions about members of its own side.
        down || lock(&self.cuts)
            .iter()
            .any(|(_, from, to)| during(from, to))
    }

    /// Number of unjustified changes to suspect or dead in a window; those of a member within an episode count once.
    fn count_false_suspicions(
        &self,
        state_changes: &[StateChange],
        from: Duration,
        to: Duration,
    ) -> usize {
        let mut last: BTreeMap<usize, Duration> = BTreeMap::new();
        let mut count = 0;
        let unjustified = |change: &&StateChange| {
            change.state != MemberState::Alive && !self.is_justified(change)
        };
        for change in state_changes
            .iter()
            .filter(unjustified)
            .filter(|change| change.time >= from && change.time < to)
        {
            let previous = last.insert(change.member, change.time);
            count += usize::from(
                previous.is_none_or(|previous| change.time > previous + SUSPICION_EPISODE),
            );
        }
        count
    }

    /// For each sidecar that an event took down, the time until all unaffected simulated sidecars saw it as dead, and
    /// the time from its restart until they all saw it as alive; None where some never did.
    fn propagation_times(
        &self,
        state_changes: &[StateChange],
        simulated: &[usize],
        event: &Event,
        started: Duration,
    ) -> [Vec<Option<Duration>>; 2] {
        let (from, to) = (started + event.start, started + event.span().end);
        let downtimes = lock(&self.downtimes).clone();
        let affected: Vec<_> = downtimes
            .iter()
            .filter(|(_, down, _)| *down >= from && *down < to)
            .collect();
        let members: BTreeSet<usize> = affected.iter().map(|(sidecar, ..)| *sidecar).collect();
        let observers: Vec<usize> = simulated
            .iter()
            .copied()
            .filter(|sidecar| !members.contains(sidecar))
            .collect();
        if observers.is_empty() {
            return [Vec::new(), Vec::new()];
        }
        let mut by_member: BTreeMap<usize, Vec<&StateChange>> = BTreeMap::new();
        state_changes
            .iter()
            .filter(|change| members.contains(&change.member))
            .for_each(|change| by_member.entry(change.member).or_default().push(change));
        let slowest =
            |member: usize, state: MemberState, after: Duration, before: Option<Duration>| {
                let mut seen: BTreeMap<usize, Duration> = BTreeMap::new();
                for change in by_member.get(&member).into_iter().flatten() {
                    let matches = change.state == state
                        && change.time >= after
                        && before.is_none_or(|before| change.time < before);
                    if matches {
                        seen.entry(change.observer).or_insert(change.time - after);
                    }
                }
                let all = observers.iter().map(|sidecar| seen.get(sidecar).copied());
                all.collect::<Option<Vec<_>>>()
                    .and_then(|all| all.into_iter().max())
            };
        let deaths = affected
            .iter()
            .map(|(sidecar, down, up)| slowest(*sidecar, MemberState::Dead, *down, *up))
            .collect();
        let starts = affected.iter().filter_map(|(sidecar, _, up)| {
            up.map(|up| slowest(*sidecar, MemberState::Alive, up, None))
        });
        [deaths, starts.collect()]
    }

    /// Time from the end of a cut until all sidecars saw all others as alive again; None where some did not by the end.
    fn recovery_time(
        &self,
        state_changes: &[StateChange],
        event: &Event,
        started: Duration,
    ) -> Option<Duration> {
        let end = started + event.span().end;
        let mut missing: BTreeSet<(usize, usize)> = BTreeSet::new();
        let mut last = end;
        for change in state_changes {
            if change.state == MemberState::Alive {
                if missing.remove(&(change.observer, change.member)) && missing.is_empty() {
                    last = change.time;
                }
            } else {
                missing.insert((change.observer, change.member));
            }
        }
        missing.is_empty().then(|| last.saturating_sub(end))
    }

    /// Computes points, metrics and lines of a run, whose start is given by both clocks.
    pub(super) fn evaluate(
        &self,
        samples: &[Sample],
        simulated: &[usize],
        real: &[usize],
        (started, unix_started): (Instant, Duration),
        before: &BTreeMap<usize, Value>,
        statuses: &BTreeMap<usize, Value>,
    ) -> SizeResult {
        let plan = &self.plan;
        let count = simulated.len() + real.len();
        let mut state_changes = lock(&self.processes.reports).state_changes.clone();
        state_changes.sort_by_key(|change| change.time);
        let voters: BTreeSet<usize> = [stable_hash("sweep"), stable_hash("upkeep")]
            .into_iter()
            .flat_map(|lease_key| passroad_lease::voters_for(lease_key, count, plan.fleet.voters))
            .map(usize::from)
            .collect();
        let owners: BTreeSet<usize> = lock(&self.discovery.owners)
            .iter()
            .map(|(_, sidecar)| *sidecar)
            .collect();
        let roles = Roles {
            simulated: simulated.to_vec(),
            real: real.to_vec(),
            loaded: plan.load > 0.0,
            voters: voters.into_iter().collect(),
            owners: owners.iter().copied().collect(),
            dimensions: BTreeMap::from([
                ("sidecars", count),
                ("endpoints", count),
                ("services", plan.services),
            ]),
        };
        let (mut points, mut lines, mut false_suspicions) = (Vec::new(), Vec::new(), 0);
        let conditions = plan.conditions();
        let last = samples.last().map_or(started, |sample| sample.time);
        for (index, (from, condition)) in conditions.iter().enumerate() {
            let to = conditions
                .get(index + 1)
                .map_or(last, |(to, _)| started + *to);
            let from = started + *from;
            let margin = Duration::from_millis(500);
            let window: Vec<Sample> = samples
                .iter()
                .filter(|sample| sample.time + margin > from && sample.time < to + margin)
                .cloned()
                .collect();
            if window.len() < 2 {
                continue;
            }
            let mut window_points = measure::points(&window, &roles, condition);
            // Without events every suspicion that a sidecar counted is unjustified; with events the recorded faults
            // decide.
            let unjustified = match plan.events.is_empty() {
                true => {
                    sum_of("doubts", statuses).saturating_sub(sum_of("doubts", before)) as usize
                }
                false => self.count_false_suspicions(
                    &state_changes,
                    unix_started + (from - started),
                    unix_started + (to - started),
                ),
            };
            false_suspicions += unjustified;
            window_points.push(self.point(
                &roles,
                "false-doubts",
                "count",
                condition,
                "mean",
                unjustified as f64,
            ));
            for propagation in self.discovery.propagation_times(
                from,
                to,
                &self.without_downtime(from, to, started, unix_started, count),
            ) {
                match propagation {
                    Some(time) => {
                        let seconds = time.as_secs_f64();
                        window_points.push(Point {
                            role: "discovery",
                            ..self.point(
                                &roles,
                                "known-by-all",
                                "s",
                                condition,
                                "worst-second",
                                seconds,
                            )
                        });
                    }
                    None => lines.push(format!(
                        "{condition}: a change of the list did not reach all sidecars"
                    )),
                }
            }
            lines.extend(table_rows(&window_points, condition));
            lines.push(self.cpu_by_thread(&window, &roles));
            points.extend(window_points);
        }
        for (name, time) in lock(&self.list_recovery).iter() {
            lines.push(format!(
                "{name}: {:.1} s after its end all restarted sidecars had the newest list",
                time.as_secs_f64()
            ));
        }
        let (mut observed, mut expected) = (0, 0);
        for event in &plan.events {
            let conditions = [
                format!("event:{}", event.name),
                format!("return:{}", event.name),
            ];
            if matches!(event.kind, EventKind::Cut(..)) {
                expected += 1;
                if let Some(time) = self.recovery_time(&state_changes, event, unix_started) {
                    observed += 1;
                    let seconds = time.as_secs_f64();
                    lines.push(format!(
                        "{}: {seconds:.1} s after its end all sidecars saw all others as alive again",
                        event.name
                    ));
                    points.push(self.point(
                        &roles,
                        "known-by-all",
                        "s",
                        &conditions[1],
                        "worst-second",
                        seconds,
                    ));
                } else {
                    lines.push(format!(
                        "{}: at the end of the run some sidecars did not see all others as alive",
                        event.name
                    ));
                }
                continue;
            }
            let deaths_and_starts =
                self.propagation_times(&state_changes, simulated, event, unix_started);
            for ((what, times), condition) in ["deaths", "starts"]
                .iter()
                .zip(&deaths_and_starts)
                .zip(&conditions)
            {
                let seconds: Vec<f64> = times.iter().flatten().map(Duration::as_secs_f64).collect();
                (observed, expected) = (observed + seconds.len(), expected + times.len());
                if times.is_empty() {
                    continue;
                }
                let mean = seconds.iter().sum::<f64>() / seconds.len().max(1) as f64;
                let worst = seconds.iter().copied().fold(0.0, f64::max);
                let counts = format!("{} of {} {what}", seconds.len(), times.len());
                lines.push(format!(
                    "{}: {counts} known by all, mean {mean:.1} s, worst {worst:.1} s",
                    event.name
                ));
                if !seconds.is_empty() {
                    points.push(self.point(&roles, "known-by-all", "s", condition, "mean", mean));
                    points.push(self.point(
                        &roles,
                        "known-by-all",
                        "s",
                        condition,
                        "worst-second",
                        worst,
                    ));
                }
            }
        }
        let running: Vec<usize> = (0..count)
            .filter(|sidecar| lock(&self.running)[*sidecar])
            .collect();
        let alive_seen: u64 = statuses
            .values()
            .filter_map(|status| status["here"].as_u64())
            .sum();
        let sent = |sample: &Sample, sidecar: usize| {
            sample.traffic[sidecar].messages_out[network::MEMBERSHIP] as f64
        };
        let first_condition = samples.iter().take_while(|sample| {
            conditions
                .get(1)
                .is_none_or(|(to, _)| sample.time < started + *to)
        });
        let first_condition: Vec<Sample> = first_condition.cloned().collect();
        let all: Vec<usize> = (0..count).collect();
        let membership = measure::spread(&first_condition, &all, sent);
        lines.push(format!(
            "{} of {count} sidecars answered; suspicions {} ({} before the measurement), refuted {}, datagrams held back {}; longest {} bytes",
            statuses.len(),
            sum_of("doubts", statuses),
            sum_of("doubts", before),
            sum_of("refuted", statuses),
            sum_of("held_back", statuses),
            self.network.longest.load(Relaxed)
        ));
        let figures = BTreeMap::from([
            (
                "here",
                alive_seen as f64 / (running.len() * running.len()).max(1) as f64,
            ),
            ("listed", self.discovery.share_up_to_date(&running)),
            ("false-doubts", false_suspicions as f64),
            ("longest", self.network.longest.load(Relaxed) as f64),
            (
                "busiest-over-mean",
                membership.busiest / membership.mean.max(1e-9),
            ),
            (
                "a-period",
                membership.mean * plan.fleet.period.0.as_secs_f64(),
            ),
            ("owners", owners.len() as f64),
            (
                "known",
                if expected == 0 {
                    1.0
                } else {
                    observed as f64 / expected as f64
                },
            ),
        ]);
        SizeResult {
            points,
            figures,
            lines,
        }
    }

    /// The sidecars without downtime in a window.
    fn without_downtime(
        &self,
        from: Instant,
        to: Instant,
        started: Instant,
        unix_started: Duration,
        count: usize,
    ) -> Vec<usize> {
        let (from, to) = (
            unix_started + (from - started),
            unix_started + (to - started),
        );
        let downtimes = lock(&self.downtimes);
        let was_down = |sidecar: &usize| {
            downtimes.iter().any(|(down, start, end)| {
                down == sidecar && *start < to && end.is_none_or(|end| end > from)
            })
        };
        (0..count).filter(|sidecar| !was_down(sidecar)).collect()
    }

    /// A point of the control plane of simulated sidecars.
    fn point(
        &self,
        roles: &Roles,
        quantity: &'static str,
        unit: &'static str,
        condition: &str,
        statistic: &'static str,
        value: f64,
    ) -> Point {
        let (condition, at, value) = (
            condition.to_string(),
            roles.dimensions.clone(),
            measure::round(value),
        );
        Point {
            role: "control",
            quantity,
            unit,
            condition,
            statistic,
            kind: "hollow",
            at,
            value,
        }
    }

    /// The line about CPU time by thread for a window.
    fn cpu_by_thread(&self, samples: &[Sample], roles: &Roles) -> String {
        let percent = |sidecars: &[usize], thread: usize| {
            measure::spread(samples, sidecars, |sample, sidecar| {
                sample.cpu[sidecar][thread].as_secs_f64()
            })
            .mean
                * 100.0
        };
        let mut text = format!(
            "    CPU by thread, simulated: discovery {:.3}%, fleet {:.3}% of a core",
            percent(&roles.simulated, 0),
            percent(&roles.simulated, 1)
        );
        if !roles.real.is_empty() {
            let (others, fleet) = (percent(&roles.real, 0), percent(&roles.real, 1));
            text += &format!("; real: all others {others:.3}%, fleet {fleet:.3}%");
        }
        text
    }
}

/// The sum of one count of all statuses.
fn sum_of(key: &str, statuses: &BTreeMap<usize, Value>) -> u64 {
    statuses
        .values()
        .filter_map(|status| status[key].as_u64())
        .sum()
}

/// The rows of the printed table for a window.
fn table_rows(points: &[Point], condition: &str) -> Vec<String> {
    let mut rows: BTreeMap<(&str, &str, &str), BTreeMap<&str, f64>> = BTreeMap::new();
    for point in points {
        let row = rows
            .entry((point.role, point.kind, point.quantity))
            .or_default();
        let value = row.entry(point.statistic).or_insert(point.value);
        *value = value.max(point.value);
    }
    let format_row = |((role, kind, quantity), values): (
        &(&str, &str, &str),
        &BTreeMap<&str, f64>,
    )| {
        let statistic = |name: &str| {
            values
                .get(name)
                .map_or_else(|| "-".to_string(), |value| format!("{value:.6}"))
        };
        let (mean, busiest, worst) = (
            statistic("mean"),
            statistic("busiest"),
            statistic("worst-second"),
        );
        format!(
            "{condition:<18} {role:<11} {kind:<7} {quantity:<13} {mean:>14} {busiest:>14} {worst:>14}"
        )
    };
    rows.iter().map(format_row).collect()
}
