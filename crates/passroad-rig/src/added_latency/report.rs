//! What a measurement says, as a table and as points of a slope.

use super::{Arm, Asked, Connections, Measured, Way};
use crate::rng::SeededRng;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt::Write;

/// What the operators set aside for what a call gains, for 99 in 100.
pub const BUDGET_MS: f64 = 0.53;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];
/// Rounds drawn anew to tell a figure's error.
const REDRAWS: u64 = 100;
/// A connection rests for a millisecond behind a call's answer; what comes this long behind one may have waited for it.
const RESTED: (u64, u64) = (900, 2_500);

fn sum<'a>(all: impl IntoIterator<Item = &'a Histogram<u64>>) -> Histogram<u64> {
    let mut whole: Option<Histogram<u64>> = None;
    for one in all {
        match &mut whole {
            // All are of one shape.
            Some(whole) => whole.add(one).unwrap_or_default(),
            None => whole = Some(one.clone()),
        }
    }
    whole.unwrap_or_else(|| Histogram::new(3).expect("three digits are allowed"))
}

/// The share of calls that took longer than the budget on top of the median straight call.
fn over(arm: &Arm, direct: &Arm) -> f64 {
    let most = sum(&direct.sent).value_at_quantile(0.5) + (BUDGET_MS * 1000.0) as u64;
    let whole = sum(&arm.sent);
    let within = whole.count_between(0, most);
    (whole.len() - within) as f64 / whole.len().max(1) as f64
}

fn ms(of: &Histogram<u64>, quantile: f64) -> f64 {
    of.value_at_quantile(quantile) as f64 / 1000.0
}

/// A difference of quantiles of two arms, and twice its standard error by rounds drawn anew, the same of both arms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gain {
    pub ms: f64,
    pub error: f64,
}

fn gains(more: &[Histogram<u64>], less: &[Histogram<u64>], seed: u64) -> [Gain; 3] {
    let rounds = more.len().min(less.len());
    let differences = |rounds: &[usize]| {
        let (more, less) = (
            sum(rounds.iter().map(|n| &more[*n])),
            sum(rounds.iter().map(|n| &less[*n])),
        );
        QUANTILES.map(|(_, quantile)| ms(&more, quantile) - ms(&less, quantile))
    };
    let all = differences(&(0..rounds).collect::<Vec<_>>());
    let mut chance = SeededRng::stream(seed, "redraw", 0);
    let drawn: Vec<[f64; 3]> = (0..REDRAWS)
        .map(|_| {
            differences(
                &(0..rounds)
                    .map(|_| chance.below(rounds))
                    .collect::<Vec<_>>(),
            )
        })
        .collect();
    std::array::from_fn(|n| {
        let mean = drawn.iter().map(|d| d[n]).sum::<f64>() / drawn.len() as f64;
        let variance =
            drawn.iter().map(|d| (d[n] - mean).powi(2)).sum::<f64>() / (drawn.len() - 1) as f64;
        Gain {
            ms: all[n],
            error: 2.0 * variance.sqrt(),
        }
    })
}

/// Where the difference goes: each part is one arm less another; those marked make up the whole.
fn parts(measured: &Measured) -> Vec<(&'static str, &'static str, &Arm, &Arm)> {
    let all = [
        (
            "process-on-the-way",
            "a relay of bytes less straight: sockets and wake-ups",
            Way::Relay,
            Way::Direct,
        ),
        (
            "http-and-desk",
            "never probed nor resting less the relay",
            Way::SPREAD,
            Way::Relay,
        ),
        (
            "rest",
            "never probed, less the same with 4 x the endpoints",
            Way::UNPROBED,
            Way::SPREAD,
        ),
        (
            "probe",
            "as shipped less probes forbidden",
            Way::SHIPPED,
            Way::UNPROBED,
        ),
        (
            "endpoint-connections",
            flipped(measured.connections),
            Way::FLIPPED,
            Way::SHIPPED,
        ),
    ];
    all.into_iter()
        .filter_map(|(name, what, more, less)| {
            Some((name, what, measured.arm(more)?, measured.arm(less)?))
        })
        .collect()
}

fn flipped(connections: Connections) -> &'static str {
    match connections {
        Connections::Warm => "endpoints close behind each answer, less as shipped; not of the sum",
        Connections::Cold => "endpoints keep connections, less as shipped; not of the sum",
    }
}

fn name(way: Way, asked: &Asked) -> String {
    match way {
        Way::Direct => "direct".into(),
        Way::Relay => "relay of bytes".into(),
        Way::SPREAD => format!(
            "via, no probes, {} endpoints",
            asked.endpoints * super::SPREAD
        ),
        Way::UNPROBED => "via, no probes".into(),
        Way::FLIPPED => "via, endpoints' connections other".into(),
        Way::Sidecar { .. } => "via, as shipped".into(),
    }
}

/// Figures of a sidecar for each call that it had, and its share of a core.
struct Costs {
    cpu_us: f64,
    wait_us: f64,
    wakes: f64,
    probes: f64,
    /// At the first tier, for each outer call.
    attempts: f64,
    cpu: f64,
    resting_cpu: f64,
}

fn costs(arm: &Arm, asked: &Asked, arms: usize) -> Costs {
    let each = |n: f64| n / (arm.seen.calls.max(1) as f64);
    let (sidecars, seconds) = (
        arm.sidecars.max(1) as f64,
        asked.slice.as_secs_f64() * asked.rounds.max(1) as f64,
    );
    let resting = seconds * arms.saturating_sub(1).max(1) as f64;
    Costs {
        cpu_us: each(arm.used.running.as_secs_f64() * 1e6),
        wait_us: each(arm.used.waiting.as_secs_f64() * 1e6),
        wakes: each(arm.used.wakes as f64),
        probes: each(arm.seen.probes as f64),
        attempts: arm.seen.first_calls as f64 / arm.calls.max(1) as f64,
        cpu: arm.used.running.as_secs_f64() / seconds / sidecars,
        resting_cpu: arm.resting.running.as_secs_f64() / resting / sidecars,
    }
}

/// Of the requests behind a call's answer on one connection, the share that may have waited for it to rest, and the
/// median of those in milliseconds.
fn rested(arm: &Arm) -> (f64, f64) {
    let mut waited = Histogram::<u64>::new(3).expect("three digits are allowed");
    let within = arm
        .behind
        .iter_recorded()
        .filter(|v| (RESTED.0..=RESTED.1).contains(&v.value_iterated_to()));
    for value in within {
        waited
            .record_n(value.value_iterated_to(), value.count_at_value())
            .expect("it grows");
    }
    (
        waited.len() as f64 / arm.behind.len().max(1) as f64,
        ms(&waited, 0.5),
    )
}

/// A table for each rate and kind of connections.
pub fn text(asked: &Asked, all: &[Measured]) -> String {
    let mut out = String::new();
    for measured in all {
        one(asked, measured, &mut out).expect("a string takes all");
    }
    out
}

fn one(asked: &Asked, measured: &Measured, out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "{} calls a second, {} connections, {} deep, {} endpoints with {:.1} ms of work, seed {}, {:.1} s each arm by \
         turns, real processes on loopback",
        measured.rate,
        measured.connections.name(),
        asked.depth,
        asked.endpoints,
        asked.work.as_secs_f64() * 1e3,
        asked.seed,
        asked.slice.as_secs_f64() * asked.rounds as f64
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
    for arm in &measured.arms {
        write!(
            out,
            "{:<34} {:>7} {:>6} ",
            name(arm.way, asked),
            arm.calls,
            arm.failed
        )?;
        for rounds in [&arm.sent, &arm.due] {
            let whole = sum(rounds);
            QUANTILES
                .iter()
                .try_for_each(|(_, q)| write!(out, " {:>8.3}", ms(&whole, *q)))?;
            write!(out, "  ")?;
        }
        match measured.arm(Way::Direct) {
            Some(direct) => writeln!(out, "{:>7.2}%", over(arm, direct) * 100.0)?,
            None => writeln!(out)?,
        }
    }
    if let (Some(via), Some(direct)) = (measured.arm(Way::SHIPPED), measured.arm(Way::Direct)) {
        let added = gains(&via.sent, &direct.sent, asked.seed);
        line(out, "added", "as shipped less direct, from sent", added)?;
        line(
            out,
            "added",
            "the same, from due",
            gains(&via.due, &direct.due, asked.seed),
        )?;
        let (p99, error) = (added[1].ms / BUDGET_MS, added[1].error / BUDGET_MS);
        writeln!(
            out,
            "  budget {BUDGET_MS} ms for 99 in 100: {p99:.2} +- {error:.2} of it"
        )?;
        writeln!(
            out,
            "  over: share of calls that took {BUDGET_MS} ms longer than the median straight one; as shipped less direct {:.2}%",
            (over(via, direct) - over(direct, direct)) * 100.0
        )?;
    }
    for (part, what, more, less) in parts(measured) {
        line(out, part, what, gains(&more.sent, &less.sent, asked.seed))?;
    }
    for arm in measured.arms.iter().filter(|arm| arm.sidecars > 0) {
        let costs = costs(arm, asked, measured.arms.len());
        let (share, median) = rested(arm);
        writeln!(
            out,
            "  {}: {:.0} us CPU a call, {:.0} us ready without a core, {:.2} wakes, {:.3} probes, {:.4} attempts, {} connections, \
             {:.3} of a core ({:.4} while others have the load); {:.1}% of requests 0.9 to 2.5 ms behind an answer, \
             median {:.2} ms",
            name(arm.way, asked),
            costs.cpu_us,
            costs.wait_us,
            costs.wakes,
            costs.probes,
            costs.attempts,
            arm.seen.open,
            costs.cpu,
            costs.resting_cpu,
            share * 100.0,
            median
        )?;
        if asked.depth > 1 {
            writeln!(
                out,
                "    time left told at the last tier: {:.0} ms; calls there for each outer one: {:.4}",
                arm.seen.left_ms as f64 / arm.seen.last_calls.max(1) as f64,
                arm.seen.last_calls as f64 / arm.seen.first_calls.max(1) as f64
            )?;
        }
    }
    writeln!(
        out,
        "  the load itself was late by p50 {:.3}, p99 {:.3}, p99.9 {:.3} ms; the machine's host took {:.2}% of its time",
        ms(&measured.late, 0.5),
        ms(&measured.late, 0.99),
        ms(&measured.late, 0.999),
        measured.stolen * 100.0
    )?;
    writeln!(
        out,
        "  (a difference is that of the two arms' quantiles; +- is twice its standard error by {REDRAWS} redraws of \
         the rounds, paired)\n"
    )
}

fn line(out: &mut String, part: &str, what: &str, gains: [Gain; 3]) -> std::fmt::Result {
    write!(out, "  {part:<22}")?;
    for ((name, _), gain) in QUANTILES.iter().zip(gains) {
        write!(out, " {name} {:>7.3} +- {:<6.3}", gain.ms, gain.error)?;
    }
    writeln!(out, " ms  ({what})")
}

/// Points for slopes. `run` is the command that made them, `commit` the program measured.
pub fn json(asked: &Asked, all: &[Measured], run: &str, commit: &str) -> Value {
    let points: Vec<Value> = all
        .iter()
        .flat_map(|measured| points(asked, measured))
        .collect();
    json!({ "run": run, "commit": commit, "seed": asked.seed, "simulated": false, "points": points })
}

fn points(asked: &Asked, measured: &Measured) -> Vec<Value> {
    let role = if asked.depth == 9 {
        "client-nine-deep"
    } else {
        "call-path"
    };
    let mut points = Vec::new();
    let mut put = |quantity: String, unit: &str, statistic: &str, value: f64| {
        points.push(json!({
            "role": role, "quantity": quantity, "unit": unit, "condition": "ordinary", "statistic": statistic,
            "kind": "real", "value": value,
            "at": {
                "calls_per_second": measured.rate, "depth": asked.depth, "endpoints": asked.endpoints,
                "connections": measured.connections.name(), "work_ms": asked.work.as_secs_f64() * 1e3,
            },
        }));
    };
    let (via, direct) = (measured.arm(Way::SHIPPED), measured.arm(Way::Direct));
    if let (Some(via), Some(direct)) = (via, direct) {
        for (word, arm) in [("direct", direct), ("via", via)] {
            let whole = sum(&arm.sent);
            QUANTILES
                .iter()
                .for_each(|(q, at)| put(format!("{word}-{q}"), "ms", "mean", ms(&whole, *at)));
        }
        let from_sent = gains(&via.sent, &direct.sent, asked.seed);
        let from_due = gains(&via.due, &direct.due, asked.seed);
        for (n, (q, _)) in QUANTILES.iter().enumerate() {
            put(format!("added-{q}"), "ms", "mean", from_sent[n].ms);
            put(
                format!("added-{q}-error"),
                "ms",
                "twice-standard-error",
                from_sent[n].error,
            );
            put(format!("added-{q}-from-due"), "ms", "mean", from_due[n].ms);
        }
        put(
            "direct-over-budget".into(),
            "share",
            "mean",
            over(direct, direct),
        );
        put("via-over-budget".into(), "share", "mean", over(via, direct));
        let costs = costs(via, asked, measured.arms.len());
        put("cpu-per-call".into(), "us", "mean", costs.cpu_us);
        put("cpu".into(), "core", "mean", costs.cpu);
        put("probes-per-call".into(), "count", "mean", costs.probes);
        put("attempts-per-call".into(), "count", "mean", costs.attempts);
        put("connections".into(), "count", "most", via.seen.open as f64);
        put("wakes-per-call".into(), "count", "mean", costs.wakes);
        put(
            "ready-without-core-per-call".into(),
            "us",
            "mean",
            costs.wait_us,
        );
    }
    for (part, _, more, less) in parts(measured) {
        let gains = gains(&more.sent, &less.sent, asked.seed);
        for ((q, _), gain) in QUANTILES.iter().zip(gains) {
            put(format!("added-part:{part}"), "ms", q, gain.ms);
        }
    }
    points
}

/// The command as it was given, but for where the points go.
pub fn command() -> String {
    let mut words = vec!["passroad-rig".to_string()];
    let mut given = std::env::args().skip(1);
    while let Some(word) = given.next() {
        match word.as_str() {
            "--json" => drop(given.next()),
            other if other.starts_with("--json=") => {}
            _ => words.push(word),
        }
    }
    words.join(" ")
}

/// The commit of the folder that it is run in, marked where files differ from it; right where the program was built there.
pub fn commit() -> String {
    let words = ["describe", "--always", "--dirty", "--exclude", "*"];
    let said = std::process::Command::new("git")
        .args(words)
        .output()
        .ok()
        .filter(|o| o.status.success());
    let said = said.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string());
    said.unwrap_or_else(|| "unknown".into())
}
