//! Reports of an experiment, as text and as JSON.

use crate::distribution;
use crate::experiment::Plan;
use crate::ledger::{Answer, Rule};
use crate::run::{ExpectationResult, Run, Tally, check_expectations};
use serde_json::{Value, json};
use std::fmt::Write;
use std::time::Duration;

/// Number of instances from which on the text has a line on how evenly they load the endpoints.
const MIN_INSTANCES_FOR_SPREAD: usize = 50;
/// Ownerships that the text lists for each run.
const MAX_LISTED_OWNERSHIPS: usize = 12;

/// Counts of the commands that arrived in one second of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SecondCounts {
    pub arrived: usize,
    pub served: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub unanswered: usize,
    pub relays: usize,
}

/// Counts by the second in which the commands arrived.
pub fn counts_by_second(run: &Run, plan: &Plan) -> Vec<SecondCounts> {
    let mut all = vec![SecondCounts::default(); plan.length.as_secs_f64().ceil() as usize];
    for command in &run.history.commands {
        let Some(second) = all.get_mut(command.arrived_at.as_secs() as usize) else {
            continue;
        };
        second.arrived += 1;
        second.relays += command.relays.len();
        match command.answers.first() {
            Some((at, Answer::Answered))
                if at.saturating_sub(command.arrived_at)
                    <= plan.classes[command.class].deadline_target =>
            {
                second.served += 1;
            }
            Some((_, Answer::Answered)) => second.late += 1,
            Some((_, Answer::Refused)) => second.refused += 1,
            Some((_, Answer::Failed)) => second.failed += 1,
            None => second.unanswered += 1,
        }
    }
    all
}

/// Figures of one policy: means over the seeds.
pub struct PolicyRow {
    pub policy: String,
    pub figures: Vec<(&'static str, f64)>,
    pub violations: Vec<(Rule, usize)>,
}

pub fn policy_rows(plan: &Plan, runs: &[Run]) -> Vec<PolicyRow> {
    let mut rows = Vec::new();
    let mut policies: Vec<&String> = Vec::new();
    runs.iter().for_each(|run| {
        if !policies.contains(&&run.policy) {
            policies.push(&run.policy);
        }
    });
    for policy in policies {
        let own_runs: Vec<&Run> = runs.iter().filter(|run| run.policy == *policy).collect();
        let figures_by_run: Vec<_> = own_runs.iter().map(|run| run_figures(plan, run)).collect();
        let n = figures_by_run.len().max(1) as f64;
        // Means over the seeds, but the worst seed for load on cold endpoints.
        let figure = |index: usize, name: &'static str| match name {
            "push" | "ramp" => (
                name,
                figures_by_run
                    .iter()
                    .map(|figures| figures[index].1)
                    .fold(0.0, f64::max),
            ),
            _ => (
                name,
                figures_by_run
                    .iter()
                    .map(|figures| figures[index].1)
                    .sum::<f64>()
                    / n,
            ),
        };
        let names = figures_by_run
            .first()
            .map(|figures| figures.iter().map(|(name, _)| *name).collect::<Vec<_>>());
        let figures = names
            .unwrap_or_default()
            .into_iter()
            .enumerate()
            .map(|(index, name)| figure(index, name))
            .collect();
        let violations = Rule::ALL.iter().map(|rule| {
            (
                *rule,
                own_runs.iter().map(|run| run.violation_count(*rule)).sum(),
            )
        });
        rows.push(PolicyRow {
            policy: policy.clone(),
            figures,
            violations: violations.filter(|(_, n)| *n > 0).collect(),
        });
    }
    rows
}

/// The figures of one run.
fn run_figures(plan: &Plan, run: &Run) -> Vec<(&'static str, f64)> {
    let tally = Tally::of_class(run, plan, &(plan.settle..plan.length), None);
    let probes = run.history.probes.len() as f64 / run.history.commands.len().max(1) as f64;
    vec![
        ("worth", tally.utility / tally.utility_offered.max(1e-9)),
        ("served", tally.share(tally.served)),
        ("late", tally.share(tally.late)),
        ("declined", tally.share(tally.refused)),
        ("terminated", tally.share(tally.failed)),
        ("lost", tally.share(tally.unanswered)),
        ("p50 ms", tally.percentile_ms(50.0)),
        ("p99 ms", tally.percentile_ms(99.0)),
        ("relays", tally.share(tally.relays)),
        ("probes", probes),
        ("push", run.worst_cold_overload()),
        ("ramp", run.worst_cold_start_load()),
    ]
}

/// The report as text: a table by policy, the expectations, and the first violations of each run.
pub fn text(plan: &Plan, runs: &[Run], simulated: bool) -> String {
    let mut out = String::new();
    let mode = if simulated { "simulated" } else { "on sockets" };
    let rate = plan.per_second;
    let _ = writeln!(out, "{}", plan.about);
    let _ = writeln!(
        out,
        "{mode}: {} instances, {} endpoints in {} zones, {rate:.0} commands a second, {:.0} s, seeds {:?}",
        plan.instances,
        plan.endpoints.len(),
        plan.zones.len(),
        plan.length.as_secs_f64(),
        plan.seeds
    );
    let rows = policy_rows(plan, runs);
    let _ = write!(out, "\n{:<14}", "");
    for (name, _) in rows.first().map(|row| &row.figures[..]).unwrap_or_default() {
        let _ = write!(out, "{name:>11}");
    }
    let _ = writeln!(out, "   broken rules");
    for row in &rows {
        let _ = write!(out, "{:<14}", row.policy);
        for (name, figure) in &row.figures {
            let digits = if name.ends_with("ms") { 1 } else { 3 };
            let _ = write!(out, "{figure:>11.digits$}");
        }
        let violations: Vec<_> = row
            .violations
            .iter()
            .map(|(rule, n)| format!("{} {n}", rule.name()))
            .collect();
        let _ = writeln!(
            out,
            "   {}",
            if violations.is_empty() {
                "none".into()
            } else {
                violations.join(", ")
            }
        );
    }
    if plan.instances >= MIN_INSTANCES_FOR_SPREAD {
        rows.iter()
            .for_each(|row| out.push_str(&spread_line(plan, runs, &row.policy)));
    }
    for run in runs.iter().filter(|run| run.policy.starts_with("passroad")) {
        for violation in run.violations.iter().take(5) {
            let (seed, at) = (run.seed, violation.time.as_secs_f64());
            let _ = writeln!(
                out,
                "broken, seed {seed}, {at:.3} s: {}: {}",
                violation.rule.name(),
                violation.message
            );
        }
        if let Some(fleet) = &run.fleet {
            let unowned = fleet.longest_unowned_seconds(
                &(plan.settle..plan.length),
                plan.fleet
                    .as_ref()
                    .map_or(0, |fleet| fleet.leased_roles.len()),
            );
            let _ = writeln!(
                out,
                "seed {}: {} acts by {} epochs, {} refused, {} stale ones obeyed, {} owners at once, {unowned:.3} s \
                 unowned at most, {:.2} datagrams a second of the busiest, {} doubts ({} refuted), faults hit {} times",
                run.seed,
                fleet.acts.iter().filter(|a| a.accepted).count(),
                fleet.ownership_count(),
                fleet.refused_acts(),
                fleet.stale_acts(),
                fleet.owners_at_once(),
                fleet.busiest_sender_rate(),
                fleet.suspicions,
                fleet.refuted,
                fleet.fault_hits
            );
        }
        for ownership in run
            .fleet
            .iter()
            .flat_map(|fleet| fleet.ownerships())
            .take(MAX_LISTED_OWNERSHIPS)
        {
            let (first, last) = (ownership.first.as_secs_f64(), ownership.last.as_secs_f64());
            let _ = writeln!(
                out,
                "  duty {}: sidecar {} by epoch {}, {first:.3} to {last:.3} s, {} acts",
                ownership.role, ownership.owner, ownership.epoch, ownership.acts
            );
        }
        for work in run.fleet.iter().flat_map(|fleet| &fleet.maintenance) {
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
    let results = check_expectations(plan, runs);
    if !results.is_empty() {
        let _ = writeln!(out, "\nwhat must hold");
    }
    for ExpectationResult {
        label,
        line,
        figure,
        bound,
        met,
    } in &results
    {
        let verdict = if *met { "holds" } else { "DOES NOT HOLD" };
        let _ = writeln!(
            out,
            "  {verdict}: {label} is {figure:.4}, {bound} (line {line})"
        );
    }
    out
}

/// How evenly the endpoints were loaded: means over the seeds.
fn spread_line(plan: &Plan, runs: &[Run], policy: &str) -> String {
    let own_runs: Vec<&Run> = runs.iter().filter(|run| run.policy == policy).collect();
    let window = plan.settle..plan.length;
    let mean = |figure_of: &dyn Fn(&Run) -> f64| {
        own_runs.iter().map(|run| figure_of(run)).sum::<f64>() / own_runs.len().max(1) as f64
    };
    let shares = |run: &Run| distribution::relative_loads(run, plan, &window);
    let holders = |run: &Run| distribution::sidecars_per_endpoint(run, plan, &window);
    let (second, tenth_second) = (Duration::from_secs(1), Duration::from_millis(100));
    format!(
        "{policy:<14} busiest {:.2}, idlest {:.2} of the fair share; dispersion {:.2} in 1 s, {:.2} in 100 ms; idle beside a queue \
         {:.3}; {:.0} to {:.0} sidecars an endpoint, {:.0} connections opened, {:.0} at one; {:.2} crowds a second\n",
        mean(&|run| shares(run).into_iter().fold(0.0, f64::max)),
        mean(&|run| shares(run).into_iter().fold(f64::MAX, f64::min)),
        mean(&|run| distribution::dispersion(run, plan, &window, second)),
        mean(&|run| distribution::dispersion(run, plan, &window, tenth_second)),
        mean(&|run| distribution::idle_share(run, plan, &window)),
        mean(&|run| holders(run).into_iter().min().unwrap_or(0) as f64),
        mean(&|run| holders(run).into_iter().max().unwrap_or(0) as f64),
        mean(&|run| run.connections as f64),
        mean(&|run| distribution::most_connections(run, &window) as f64),
        mean(&|run| distribution::synchronized_choices(run, plan, &window)),
    )
}

/// The report as JSON, with series by second.
pub fn json(plan: &Plan, runs: &[Run], simulated: bool) -> Value {
    let entries: Vec<Value> = runs
        .iter()
        .map(|run| {
            let series: Vec<Value> = counts_by_second(run, plan)
                .iter()
                .map(|counts| {
                    json!({
                        "asked": counts.arrived, "served": counts.served, "late": counts.late, "declined": counts.refused,
                        "terminated": counts.failed, "unanswered": counts.unanswered, "relays": counts.relays,
                    })
                })
                .collect();
            let violations: Vec<Value> = run
                .violations
                .iter()
                .take(100)
                .map(|violation| json!({ "rule": violation.rule.name(), "at_s": violation.time.as_secs_f64(), "what": violation.message }))
                .collect();
            let figures: serde_json::Map<String, Value> =
                run_figures(plan, run).into_iter().map(|(name, figure)| (name.replace(' ', "_"), json!(figure))).collect();
            json!({
                "policy": run.policy, "seed": run.seed, "figures": figures, "seconds": series, "breaches": violations,
                "connections": run.connections, "remarks": run.remarks,
                "fleet": run.fleet.as_ref().map(|fleet| json!({
                    "acts": fleet.acts.len(), "owners": fleet.ownership_count(), "stale_tries": fleet.refused_acts(),
                    "stale_acts": fleet.stale_acts(), "owners_at_once": fleet.owners_at_once(),
                    "believers": fleet.max_believed_owners, "peer_datagrams": fleet.busiest_sender_rate(),
                    "doubts": fleet.suspicions, "hits": fleet.fault_hits,
                })),
            })
        })
        .collect();
    let rows: Vec<Value> = policy_rows(plan, runs)
        .iter()
        .map(|row| {
            let figures: serde_json::Map<String, Value> = row
                .figures
                .iter()
                .map(|(name, figure)| (name.replace(' ', "_"), json!(figure)))
                .collect();
            let violations: serde_json::Map<String, Value> = row
                .violations
                .iter()
                .map(|(rule, n)| (rule.name().into(), json!(n)))
                .collect();
            json!({ "policy": row.policy, "figures": figures, "broken": violations })
        })
        .collect();
    let results: Vec<Value> = check_expectations(plan, runs)
        .iter()
        .map(|result| json!({ "text": result.label, "line": result.line, "figure": result.figure, "bound": result.bound, "holds": result.met }))
        .collect();
    json!({
        "about": plan.about, "simulated": simulated, "instances": plan.instances,
        "endpoints": plan.endpoints.len(), "zones": plan.zones, "per_second": plan.per_second,
        "length_s": plan.length.as_secs_f64(), "policies": rows, "holds": results, "days": entries,
    })
}
