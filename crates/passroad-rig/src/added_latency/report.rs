//! Renders measurements as a text table and as JSON points that capacity slopes are fitted to.

use super::{Arm, CallPath, ConnectionReuse, Measurement, MeasurementConfig};
use crate::rng::SeededRng;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt::Write;

/// Latency that a sidecar may add to a call at the 99th percentile.
pub const BUDGET_MS: f64 = 0.53;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];
/// Bootstrap resamples of the rounds, from which the standard error of a difference is estimated.
const BOOTSTRAP_RESAMPLES: u64 = 100;
/// A sidecar does not reuse a connection for a millisecond after a response (reuse hold-off); a request that arrives this
/// many microseconds after a response may have waited for that.
const HOLD_OFF_GAP_US: (u64, u64) = (900, 2_500);

fn merge<'a>(histograms: impl IntoIterator<Item = &'a Histogram<u64>>) -> Histogram<u64> {
    let mut merged: Option<Histogram<u64>> = None;
    for histogram in histograms {
        match &mut merged {
            // All have the same bounds and precision, so adding cannot fail.
            Some(merged) => merged.add(histogram).unwrap_or_default(),
            None => merged = Some(histogram.clone()),
        }
    }
    merged.unwrap_or_else(|| Histogram::new(3).expect("three digits are allowed"))
}

/// The share of calls that took longer than the median direct call plus the budget.
fn share_over_budget(arm: &Arm, direct: &Arm) -> f64 {
    let limit_us = merge(&direct.from_sent).value_at_quantile(0.5) + (BUDGET_MS * 1000.0) as u64;
    let latencies = merge(&arm.from_sent);
    let within = latencies.count_between(0, limit_us);
    (latencies.len() - within) as f64 / latencies.len().max(1) as f64
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}

/// Difference between the same quantile of two arms, and twice its standard error from resampled rounds. Each resample
/// takes the same rounds of both arms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    pub ms: f64,
    pub error: f64,
}

fn differences(
    compared: &[Histogram<u64>],
    baseline: &[Histogram<u64>],
    seed: u64,
) -> [Difference; 3] {
    let rounds = compared.len().min(baseline.len());
    let differences = |rounds: &[usize]| {
        let (compared, baseline) = (
            merge(rounds.iter().map(|n| &compared[*n])),
            merge(rounds.iter().map(|n| &baseline[*n])),
        );
        QUANTILES.map(|(_, quantile)| {
            quantile_ms(&compared, quantile) - quantile_ms(&baseline, quantile)
        })
    };
    let all = differences(&(0..rounds).collect::<Vec<_>>());
    let mut rng = SeededRng::stream(seed, "redraw", 0);
    let resampled: Vec<[f64; 3]> = (0..BOOTSTRAP_RESAMPLES)
        .map(|_| differences(&(0..rounds).map(|_| rng.below(rounds)).collect::<Vec<_>>()))
        .collect();
    std::array::from_fn(|n| {
        let mean = resampled.iter().map(|d| d[n]).sum::<f64>() / resampled.len() as f64;
        let variance = resampled.iter().map(|d| (d[n] - mean).powi(2)).sum::<f64>()
            / (resampled.len() - 1) as f64;
        Difference {
            ms: all[n],
            error: 2.0 * variance.sqrt(),
        }
    })
}

/// Breakdown of the added latency: name, description and the two arms whose difference is the part. The parts add up to
/// the whole, except for those described as "not of the sum".
fn breakdown(measurement: &Measurement) -> Vec<(&'static str, &'static str, &Arm, &Arm)> {
    let all = [
        (
            "process-on-the-way",
            "a relay of bytes less straight: sockets and wake-ups",
            CallPath::Relay,
            CallPath::Direct,
        ),
        (
            "http-and-desk",
            "never probed nor resting less the relay",
            CallPath::MORE_ENDPOINTS,
            CallPath::Relay,
        ),
        (
            "rest",
            "never probed, less the same with 4 x the endpoints",
            CallPath::NO_PROBES,
            CallPath::MORE_ENDPOINTS,
        ),
        (
            "probe",
            "as shipped less probes forbidden",
            CallPath::AS_SHIPPED,
            CallPath::NO_PROBES,
        ),
        (
            "endpoint-connections",
            other_connections_text(measurement.connections),
            CallPath::OTHER_ENDPOINT_CONNECTIONS,
            CallPath::AS_SHIPPED,
        ),
    ];
    all.into_iter()
        .filter_map(|(name, what, compared, baseline)| {
            Some((
                name,
                what,
                measurement.arm(compared)?,
                measurement.arm(baseline)?,
            ))
        })
        .collect()
}

fn other_connections_text(connections: ConnectionReuse) -> &'static str {
    match connections {
        ConnectionReuse::Warm => {
            "endpoints close behind each answer, less as shipped; not of the sum"
        }
        ConnectionReuse::Cold => "endpoints keep connections, less as shipped; not of the sum",
    }
}

fn path_name(call_path: CallPath, config: &MeasurementConfig) -> String {
    match call_path {
        CallPath::Direct => "direct".into(),
        CallPath::Relay => "relay of bytes".into(),
        CallPath::MORE_ENDPOINTS => format!(
            "via, no probes, {} endpoints",
            config.endpoints * super::MORE_ENDPOINTS_FACTOR
        ),
        CallPath::NO_PROBES => "via, no probes".into(),
        CallPath::OTHER_ENDPOINT_CONNECTIONS => "via, endpoints' connections other".into(),
        CallPath::Sidecar { .. } => "via, as shipped".into(),
    }
}

/// Costs per call at a sidecar, and its share of a core.
struct Costs {
    cpu_us: f64,
    wait_us: f64,
    wakeups: f64,
    probes: f64,
    /// Attempts at the first tier for each call of a caller.
    attempts: f64,
    cpu: f64,
    resting_cpu: f64,
}

fn costs(arm: &Arm, config: &MeasurementConfig, arms: usize) -> Costs {
    let per_call = |total: f64| total / (arm.counts.calls.max(1) as f64);
    let (sidecars, seconds) = (
        arm.sidecars.max(1) as f64,
        config.slice.as_secs_f64() * config.rounds.max(1) as f64,
    );
    let idle_seconds = seconds * arms.saturating_sub(1).max(1) as f64;
    Costs {
        cpu_us: per_call(arm.loaded_cpu.running.as_secs_f64() * 1e6),
        wait_us: per_call(arm.loaded_cpu.waiting.as_secs_f64() * 1e6),
        wakeups: per_call(arm.loaded_cpu.wakeups as f64),
        probes: per_call(arm.counts.probes as f64),
        attempts: arm.counts.first_calls as f64 / arm.calls.max(1) as f64,
        cpu: arm.loaded_cpu.running.as_secs_f64() / seconds / sidecars,
        resting_cpu: arm.idle_cpu.running.as_secs_f64() / idle_seconds / sidecars,
    }
}

/// Of the requests that followed a response on the same connection, the share that may have waited for the reuse
/// hold-off, and the median gap of those in milliseconds.
fn requests_after_hold_off(arm: &Arm) -> (f64, f64) {
    let mut gaps = Histogram::<u64>::new(3).expect("three digits are allowed");
    let within = arm
        .reuse_gaps
        .iter_recorded()
        .filter(|v| (HOLD_OFF_GAP_US.0..=HOLD_OFF_GAP_US.1).contains(&v.value_iterated_to()));
    for value in within {
        gaps.record_n(value.value_iterated_to(), value.count_at_value())
            .expect("the histogram resizes itself");
    }
    (
        gaps.len() as f64 / arm.reuse_gaps.len().max(1) as f64,
        quantile_ms(&gaps, 0.5),
    )
}

/// One table per rate and connection reuse mode.
pub fn text(config: &MeasurementConfig, all: &[Measurement]) -> String {
    let mut out = String::new();
    for measurement in all {
        write_table(config, measurement, &mut out).expect("writing to a string cannot fail");
    }
    out
}

fn write_table(
    config: &MeasurementConfig,
    measurement: &Measurement,
    out: &mut String,
) -> std::fmt::Result {
    writeln!(
        out,
        "{} calls a second, {} connections, {} deep, {} endpoints with {:.1} ms of work, seed {}, {:.1} s each arm by \
         turns, real processes on loopback",
        measurement.rate,
        measurement.connections.name(),
        config.depth,
        config.endpoints,
        config.work.as_secs_f64() * 1e3,
        config.seed,
        config.slice.as_secs_f64() * config.rounds as f64
    )?;
    writeln!(
        out,
        "{:<34} {:>7} {:>6}  {:>8} {:>8} {:>8}   {:>8} {:>8} {:>8} {:>9}",
        "ms from sent, then from due",
        "calls",
        "failed",
        "p50",
        "p99",
        "p99.9",
        "p50",
        "p99",
        "p99.9",
        "over"
    )?;
    for arm in &measurement.arms {
        write!(
            out,
            "{:<34} {:>7} {:>6} ",
            path_name(arm.call_path, config),
            arm.calls,
            arm.failed
        )?;
        for rounds in [&arm.from_sent, &arm.from_due] {
            let latencies = merge(rounds);
            QUANTILES
                .iter()
                .try_for_each(|(_, q)| write!(out, " {:>8.3}", quantile_ms(&latencies, *q)))?;
            write!(out, "  ")?;
        }
        match measurement.arm(CallPath::Direct) {
            Some(direct) => writeln!(out, "{:>7.2}%", share_over_budget(arm, direct) * 100.0)?,
            None => writeln!(out)?,
        }
    }
    if let (Some(via), Some(direct)) = (
        measurement.arm(CallPath::AS_SHIPPED),
        measurement.arm(CallPath::Direct),
    ) {
        let added = differences(&via.from_sent, &direct.from_sent, config.seed);
        write_difference(out, "added", "as shipped less direct, from sent", added)?;
        write_difference(
            out,
            "added",
            "the same, from due",
            differences(&via.from_due, &direct.from_due, config.seed),
        )?;
        let (p99, error) = (added[1].ms / BUDGET_MS, added[1].error / BUDGET_MS);
        writeln!(
            out,
            "  budget {BUDGET_MS} ms for 99 in 100: {p99:.2} +- {error:.2} of it"
        )?;
        writeln!(
            out,
            "  over: share of calls that took {BUDGET_MS} ms longer than the median straight one; as shipped less direct {:.2}%",
            (share_over_budget(via, direct) - share_over_budget(direct, direct)) * 100.0
        )?;
    }
    for (part, what, compared, baseline) in breakdown(measurement) {
        write_difference(
            out,
            part,
            what,
            differences(&compared.from_sent, &baseline.from_sent, config.seed),
        )?;
    }
    for arm in measurement.arms.iter().filter(|arm| arm.sidecars > 0) {
        let costs = costs(arm, config, measurement.arms.len());
        let (share, median) = requests_after_hold_off(arm);
        writeln!(
            out,
            "  {}: {:.0} us CPU a call, {:.0} us ready without a core, {:.2} wakes, {:.3} probes, {:.4} attempts, {} connections, \
             {:.3} of a core ({:.4} while others have the load); {:.1}% of requests 0.9 to 2.5 ms behind an answer, \
             median {:.2} ms",
            path_name(arm.call_path, config),
            costs.cpu_us,
            costs.wait_us,
            costs.wakeups,
            costs.probes,
            costs.attempts,
            arm.counts.open,
            costs.cpu,
            costs.resting_cpu,
            share * 100.0,
            median
        )?;
        if config.depth > 1 {
            writeln!(
                out,
                "    remaining deadline at the last tier: {:.0} ms; calls there for each outer one: {:.4}",
                arm.counts.remaining_ms as f64 / arm.counts.last_calls.max(1) as f64,
                arm.counts.last_calls as f64 / arm.counts.first_calls.max(1) as f64
            )?;
        }
    }
    writeln!(
        out,
        "  the load itself was late by p50 {:.3}, p99 {:.3}, p99.9 {:.3} ms; the machine's host took {:.2}% of its time",
        quantile_ms(&measurement.lateness, 0.5),
        quantile_ms(&measurement.lateness, 0.99),
        quantile_ms(&measurement.lateness, 0.999),
        measurement.steal_share * 100.0
    )?;
    writeln!(
        out,
        "  (a difference is that of the two arms' quantiles; +- is twice its standard error by {BOOTSTRAP_RESAMPLES} redraws of \
         the rounds, paired)\n"
    )
}

fn write_difference(
    out: &mut String,
    part: &str,
    what: &str,
    differences: [Difference; 3],
) -> std::fmt::Result {
    write!(out, "  {part:<22}")?;
    for ((name, _), difference) in QUANTILES.iter().zip(differences) {
        write!(
            out,
            " {name} {:>7.3} +- {:<6.3}",
            difference.ms, difference.error
        )?;
    }
    writeln!(out, " ms  ({what})")
}

/// Points for capacity slopes. `run` is the command that produced them, `commit` the version of the measured program.
pub fn json(config: &MeasurementConfig, all: &[Measurement], run: &str, commit: &str) -> Value {
    let points: Vec<Value> = all
        .iter()
        .flat_map(|measurement| points(config, measurement))
        .collect();
    json!({ "run": run, "commit": commit, "seed": config.seed, "simulated": false, "points": points })
}

fn points(config: &MeasurementConfig, measurement: &Measurement) -> Vec<Value> {
    let role = if config.depth == 9 {
        "client-nine-deep"
    } else {
        "call-path"
    };
    let mut points = Vec::new();
    let mut add_point = |quantity: String, unit: &str, statistic: &str, value: f64| {
        points.push(json!({
            "role": role, "quantity": quantity, "unit": unit, "condition": "ordinary", "statistic": statistic,
            "kind": "real", "value": value,
            "at": {
                "calls_per_second": measurement.rate, "depth": config.depth, "endpoints": config.endpoints,
                "connections": measurement.connections.name(), "work_ms": config.work.as_secs_f64() * 1e3,
            },
        }));
    };
    let (via, direct) = (
        measurement.arm(CallPath::AS_SHIPPED),
        measurement.arm(CallPath::Direct),
    );
    if let (Some(via), Some(direct)) = (via, direct) {
        for (prefix, arm) in [("direct", direct), ("via", via)] {
            let latencies = merge(&arm.from_sent);
            QUANTILES.iter().for_each(|(q, quantile)| {
                add_point(
                    format!("{prefix}-{q}"),
                    "ms",
                    "mean",
                    quantile_ms(&latencies, *quantile),
                )
            });
        }
        let from_sent = differences(&via.from_sent, &direct.from_sent, config.seed);
        let from_due = differences(&via.from_due, &direct.from_due, config.seed);
        for (n, (q, _)) in QUANTILES.iter().enumerate() {
            add_point(format!("added-{q}"), "ms", "mean", from_sent[n].ms);
            add_point(
                format!("added-{q}-error"),
                "ms",
                "twice-standard-error",
                from_sent[n].error,
            );
            add_point(format!("added-{q}-from-due"), "ms", "mean", from_due[n].ms);
        }
        add_point(
            "direct-over-budget".into(),
            "share",
            "mean",
            share_over_budget(direct, direct),
        );
        add_point(
            "via-over-budget".into(),
            "share",
            "mean",
            share_over_budget(via, direct),
        );
        let costs = costs(via, config, measurement.arms.len());
        add_point("cpu-per-call".into(), "us", "mean", costs.cpu_us);
        add_point("cpu".into(), "core", "mean", costs.cpu);
        add_point("probes-per-call".into(), "count", "mean", costs.probes);
        add_point("attempts-per-call".into(), "count", "mean", costs.attempts);
        add_point(
            "connections".into(),
            "count",
            "most",
            via.counts.open as f64,
        );
        add_point("wakes-per-call".into(), "count", "mean", costs.wakeups);
        add_point(
            "ready-without-core-per-call".into(),
            "us",
            "mean",
            costs.wait_us,
        );
    }
    for (part, _, compared, baseline) in breakdown(measurement) {
        let differences = differences(&compared.from_sent, &baseline.from_sent, config.seed);
        for ((q, _), difference) in QUANTILES.iter().zip(differences) {
            add_point(format!("added-part:{part}"), "ms", q, difference.ms);
        }
    }
    points
}

/// The command line of this process without the `--json` option.
pub fn command() -> String {
    let mut command = vec!["passroad-rig".to_string()];
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--json" => drop(arguments.next()),
            other if other.starts_with("--json=") => {}
            _ => command.push(argument),
        }
    }
    command.join(" ")
}

/// The commit of the current folder, marked as dirty where files differ from it. It names the measured program only where
/// that was built in this folder.
pub fn commit() -> String {
    let arguments = ["describe", "--always", "--dirty", "--exclude", "*"];
    let output = std::process::Command::new("git")
        .args(arguments)
        .output()
        .ok()
        .filter(|o| o.status.success());
    let version = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string());
    version.unwrap_or_else(|| "unknown".into())
}
