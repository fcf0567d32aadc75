//! What came of an experiment, as text and as JSON.

use crate::distribution;
use crate::experiment::Plan;
use crate::ledger::{Answer, Rule};
use crate::run::{ExpectationResult, Run, Tally, check_expectations};
use serde_json::{Value, json};
use std::fmt::Write;
use std::time::Duration;

/// Sidecars from which on it is told how evenly they load.
const SEVERAL: usize = 50;
/// Ownerships that are told one by one.
const MOST_REIGNS: usize = 12;

/// Counts of one second of a day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Second {
    pub asked: usize,
    pub served: usize,
    pub late: usize,
    pub declined: usize,
    pub terminated: usize,
    pub unanswered: usize,
    pub relays: usize,
}

pub fn seconds(run: &Run, plan: &Plan) -> Vec<Second> {
    let mut all = vec![Second::default(); plan.length.as_secs_f64().ceil() as usize];
    for c in &run.history.commands {
        let Some(second) = all.get_mut(c.arrived_at.as_secs() as usize) else {
            continue;
        };
        second.asked += 1;
        second.relays += c.relays.len();
        match c.answers.first() {
            Some((at, Answer::Answered))
                if at.saturating_sub(c.arrived_at) <= plan.classes[c.class].deadline_target =>
            {
                second.served += 1;
            }
            Some((_, Answer::Answered)) => second.late += 1,
            Some((_, Answer::Refused)) => second.declined += 1,
            Some((_, Answer::Failed)) => second.terminated += 1,
            None => second.unanswered += 1,
        }
    }
    all
}

/// Means over the seeds of one policy.
pub struct Row {
    pub policy: String,
    pub figures: Vec<(&'static str, f64)>,
    pub broken: Vec<(Rule, usize)>,
}

pub fn rows(plan: &Plan, runs: &[Run]) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut policies: Vec<&String> = Vec::new();
    runs.iter().for_each(|r| {
        if !policies.contains(&&r.policy) {
            policies.push(&r.policy);
        }
    });
    for policy in policies {
        let own: Vec<&Run> = runs.iter().filter(|r| r.policy == *policy).collect();
        let days: Vec<_> = own.iter().map(|run| day(plan, run)).collect();
        let n = days.len().max(1) as f64;
        // Means over the seeds, of pushes the worst.
        let figure = |k: usize, name: &'static str| match name {
            "push" | "ramp" => (name, days.iter().map(|d| d[k].1).fold(0.0, f64::max)),
            _ => (name, days.iter().map(|d| d[k].1).sum::<f64>() / n),
        };
        let names = days
            .first()
            .map(|d| d.iter().map(|(name, _)| *name).collect::<Vec<_>>());
        let figures = names
            .unwrap_or_default()
            .into_iter()
            .enumerate()
            .map(|(k, name)| figure(k, name))
            .collect();
        let broken = Rule::ALL
            .iter()
            .map(|rule| (*rule, own.iter().map(|r| r.violation_count(*rule)).sum()));
        rows.push(Row {
            policy: policy.clone(),
            figures,
            broken: broken.filter(|(_, n)| *n > 0).collect(),
        });
    }
    rows
}

/// The figures of one day.
fn day(plan: &Plan, run: &Run) -> Vec<(&'static str, f64)> {
    let t = Tally::of_class(run, plan, &(plan.settle..plan.length), None);
    let probes = run.history.probes.len() as f64 / run.history.commands.len().max(1) as f64;
    vec![
        ("worth", t.utility / t.utility_offered.max(1e-9)),
        ("served", t.share(t.served)),
        ("late", t.share(t.late)),
        ("declined", t.share(t.refused)),
        ("terminated", t.share(t.failed)),
        ("lost", t.share(t.unanswered)),
        ("p50 ms", t.percentile_ms(50.0)),
        ("p99 ms", t.percentile_ms(99.0)),
        ("relays", t.share(t.relays)),
        ("probes", probes),
        ("push", run.worst_cold_overload()),
        ("ramp", run.worst_cold_start_load()),
    ]
}

/// A table, what must hold, and the first of the breaches.
pub fn text(plan: &Plan, runs: &[Run], simulated: bool) -> String {
    let mut out = String::new();
    let word = if simulated { "simulated" } else { "on sockets" };
    let rate = plan.per_second;
    let _ = writeln!(out, "{}", plan.about);
    let _ = writeln!(
        out,
        "{word}: {} instances, {} endpoints in {} zones, {rate:.0} commands a second, {:.0} s, seeds {:?}",
        plan.instances,
        plan.endpoints.len(),
        plan.zones.len(),
        plan.length.as_secs_f64(),
        plan.seeds
    );
    let rows = rows(plan, runs);
    let _ = write!(out, "\n{:<14}", "");
    for (name, _) in rows.first().map(|r| &r.figures[..]).unwrap_or_default() {
        let _ = write!(out, "{name:>11}");
    }
    let _ = writeln!(out, "   broken rules");
    for row in &rows {
        let _ = write!(out, "{:<14}", row.policy);
        for (name, figure) in &row.figures {
            let digits = if name.ends_with("ms") { 1 } else { 3 };
            let _ = write!(out, "{figure:>11.digits$}");
        }
        let broken: Vec<_> = row
            .broken
            .iter()
            .map(|(rule, n)| format!("{} {n}", rule.name()))
            .collect();
        let _ = writeln!(
            out,
            "   {}",
            if broken.is_empty() {
                "none".into()
            } else {
                broken.join(", ")
            }
        );
    }
    if plan.instances >= SEVERAL {
        rows.iter()
            .for_each(|row| out.push_str(&spread_line(plan, runs, &row.policy)));
    }
    for run in runs.iter().filter(|r| r.policy.starts_with("passroad")) {
        for breach in run.violations.iter().take(5) {
            let (seed, at) = (run.seed, breach.time.as_secs_f64());
            let _ = writeln!(
                out,
                "broken, seed {seed}, {at:.3} s: {}: {}",
                breach.rule.name(),
                breach.message
            );
        }
        if let Some(fleet) = &run.fleet {
            let unowned = fleet.unowned(
                &(plan.settle..plan.length),
                plan.fleet.as_ref().map_or(0, |f| f.duties.len()),
            );
            let _ = writeln!(
                out,
                "seed {}: {} acts by {} epochs, {} refused, {} stale ones obeyed, {} owners at once, {unowned:.3} s \
                 unowned at most, {:.2} datagrams a second of the busiest, {} doubts ({} refuted), faults hit {} times",
                run.seed,
                fleet.acts.iter().filter(|a| a.accepted).count(),
                fleet.owners(),
                fleet.stale_tries(),
                fleet.stale_acts(),
                fleet.owners_at_once(),
                fleet.peer_datagrams(),
                fleet.doubts,
                fleet.refuted,
                fleet.hits
            );
        }
        for reign in run
            .fleet
            .iter()
            .flat_map(|fleet| fleet.reigns())
            .take(MOST_REIGNS)
        {
            let (first, last) = (reign.first.as_secs_f64(), reign.last.as_secs_f64());
            let _ = writeln!(
                out,
                "  duty {}: sidecar {} by epoch {}, {first:.3} to {last:.3} s, {} acts",
                reign.duty, reign.owner, reign.epoch, reign.acts
            );
        }
        for work in run.fleet.iter().flat_map(|fleet| &fleet.works) {
            let (from, to) = (work.from.as_secs_f64(), work.to.as_secs_f64());
            let _ = writeln!(
                out,
                "  endpoint {}: at work from {from:.3} to {to:.3} s",
                work.endpoint
            );
        }
        for remark in &run.remarks {
            let _ = writeln!(out, "{remark}");
        }
    }
    let holds = check_expectations(plan, runs);
    if !holds.is_empty() {
        let _ = writeln!(out, "\nwhat must hold");
    }
    for ExpectationResult {
        label: text,
        line,
        figure,
        bound,
        met: good,
    } in &holds
    {
        let word = if *good { "holds" } else { "DOES NOT HOLD" };
        let _ = writeln!(
            out,
            "  {word}: {text} is {figure:.4}, {bound} (line {line})"
        );
    }
    out
}

/// How evenly the endpoints were loaded: means over the seeds.
fn spread_line(plan: &Plan, runs: &[Run], policy: &str) -> String {
    let own: Vec<&Run> = runs.iter().filter(|r| r.policy == policy).collect();
    let window = plan.settle..plan.length;
    let mean = |of: &dyn Fn(&Run) -> f64| {
        own.iter().map(|run| of(run)).sum::<f64>() / own.len().max(1) as f64
    };
    let shares = |run: &Run| distribution::relative_loads(run, plan, &window);
    let holders = |run: &Run| distribution::sidecars_per_endpoint(run, plan, &window);
    let (second, fast) = (Duration::from_secs(1), Duration::from_millis(100));
    format!(
        "{policy:<14} busiest {:.2}, idlest {:.2} of the fair share; dispersion {:.2} in 1 s, {:.2} in 100 ms; idle beside a queue \
         {:.3}; {:.0} to {:.0} sidecars an endpoint, {:.0} connections opened, {:.0} at one; {:.2} crowds a second\n",
        mean(&|run| shares(run).into_iter().fold(0.0, f64::max)),
        mean(&|run| shares(run).into_iter().fold(f64::MAX, f64::min)),
        mean(&|run| distribution::dispersion(run, plan, &window, second)),
        mean(&|run| distribution::dispersion(run, plan, &window, fast)),
        mean(&|run| distribution::idle_share(run, plan, &window)),
        mean(&|run| holders(run).into_iter().min().unwrap_or(0) as f64),
        mean(&|run| holders(run).into_iter().max().unwrap_or(0) as f64),
        mean(&|run| run.connections as f64),
        mean(&|run| distribution::most_connections(run, &window) as f64),
        mean(&|run| distribution::synchronized_choices(run, plan, &window)),
    )
}

/// The same and the series, for other programs.
pub fn json(plan: &Plan, runs: &[Run], simulated: bool) -> Value {
    let days: Vec<Value> = runs
        .iter()
        .map(|run| {
            let series: Vec<Value> = seconds(run, plan)
                .iter()
                .map(|s| {
                    json!({
                        "asked": s.asked, "served": s.served, "late": s.late, "declined": s.declined,
                        "terminated": s.terminated, "unanswered": s.unanswered, "relays": s.relays,
                    })
                })
                .collect();
            let breaches: Vec<Value> = run
                .violations
                .iter()
                .take(100)
                .map(|b| json!({ "rule": b.rule.name(), "at_s": b.time.as_secs_f64(), "what": b.message }))
                .collect();
            let figures: serde_json::Map<String, Value> =
                day(plan, run).into_iter().map(|(name, f)| (name.replace(' ', "_"), json!(f))).collect();
            json!({
                "policy": run.policy, "seed": run.seed, "figures": figures, "seconds": series, "breaches": breaches,
                "connections": run.connections, "remarks": run.remarks,
                "fleet": run.fleet.as_ref().map(|fleet| json!({
                    "acts": fleet.acts.len(), "owners": fleet.owners(), "stale_tries": fleet.stale_tries(),
                    "stale_acts": fleet.stale_acts(), "owners_at_once": fleet.owners_at_once(),
                    "believers": fleet.believers, "peer_datagrams": fleet.peer_datagrams(),
                    "doubts": fleet.doubts, "hits": fleet.hits,
                })),
            })
        })
        .collect();
    let rows: Vec<Value> = rows(plan, runs)
        .iter()
        .map(|row| {
            let figures: serde_json::Map<String, Value> = row
                .figures
                .iter()
                .map(|(name, f)| (name.replace(' ', "_"), json!(f)))
                .collect();
            let broken: serde_json::Map<String, Value> = row
                .broken
                .iter()
                .map(|(rule, n)| (rule.name().into(), json!(n)))
                .collect();
            json!({ "policy": row.policy, "figures": figures, "broken": broken })
        })
        .collect();
    let holds: Vec<Value> = check_expectations(plan, runs)
        .iter()
        .map(|h| json!({ "text": h.label, "line": h.line, "figure": h.figure, "bound": h.bound, "holds": h.met }))
        .collect();
    json!({
        "about": plan.about, "simulated": simulated, "instances": plan.instances,
        "endpoints": plan.endpoints.len(), "zones": plan.zones, "per_second": plan.per_second,
        "length_s": plan.length.as_secs_f64(), "policies": rows, "holds": holds, "days": days,
    })
}
