//! The report as one HTML page without external resources: tables, and plots in SVG.

use crate::experiment::{Plan, ScheduledChange};
use crate::report::{SecondCounts, counts_by_second, policy_rows};
use crate::run::{Run, Tally, check_expectations};
use std::fmt::Write;
use std::time::Duration;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 220.0;
const LEFT_MARGIN: f64 = 56.0;
const BOTTOM_MARGIN: f64 = 24.0;
const COLOURS: [&str; 10] = [
    "#1b6ca8", "#d1495b", "#edae49", "#66a182", "#8d5a97", "#4f5d75", "#c06c2b", "#2e933c",
    "#9a031e", "#5f0f40",
];
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:920px;color:#222}\
table{border-collapse:collapse;font-size:13px}td,th{padding:3px 9px;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}h2{margin-top:1.6em;font-size:17px}svg{background:#fbfbfb}\
.bad{color:#b00020;font-weight:600}.key{font-size:13px;margin:.2em 0 1em}.key span{margin-right:1.2em}\
text{font-size:11px;fill:#555}";

pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// A plot over time or over another quantity, which the label of the x axis says.
struct Plot<'a> {
    title: String,
    unit: &'a str,
    x: &'a str,
    fault_spans: &'a [(f64, f64)], // spans of time in which a fault was in force: from, to
    lines: Vec<Line>,
    stacked: bool,
}

impl Plot<'_> {
    fn draw(&self, out: &mut String) {
        let all = || self.lines.iter().flat_map(|line| &line.points);
        let end = all().map(|point| point.0).fold(1e-9, f64::max);
        let top = match self.stacked {
            false => all().map(|point| point.1).fold(0.0, f64::max),
            true => {
                let most = self
                    .lines
                    .iter()
                    .map(|line| line.points.len())
                    .max()
                    .unwrap_or_default();
                let sum = |n: usize| {
                    self.lines
                        .iter()
                        .filter_map(|line| line.points.get(n))
                        .map(|point| point.1)
                        .sum::<f64>()
                };
                (0..most).map(sum).fold(0.0, f64::max)
            }
        };
        let top = round_axis_end(top);
        let x = |at: f64| LEFT_MARGIN + at / end * (WIDTH - LEFT_MARGIN - 8.0);
        let y = |value: f64| 8.0 + (1.0 - value / top) * (HEIGHT - BOTTOM_MARGIN - 8.0);
        let _ = write!(
            out,
            "<h2>{}</h2><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">",
            escape(&self.title)
        );
        for (from, to) in self.fault_spans {
            let (left, right) = (x(from.min(end)), x(to.min(end)));
            let (width, height) = ((right - left).max(1.0), HEIGHT - BOTTOM_MARGIN - 8.0);
            let _ = write!(
                out,
                "<rect x=\"{left:.1}\" y=\"8\" width=\"{width:.1}\" height=\"{height}\" fill=\"#000\" opacity=\".06\"/>"
            );
        }
        for n in 0..=4 {
            let value = top * f64::from(n) / 4.0;
            let (at, right) = (y(value), WIDTH - 8.0);
            let label = axis_label(value);
            let _ = write!(
                out,
                "<line x1=\"{LEFT_MARGIN}\" x2=\"{right}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#e2e2e2\"/>\
                 <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{label}</text>",
                LEFT_MARGIN - 6.0,
                at + 4.0
            );
        }
        for n in 0..=8 {
            let value = end * f64::from(n) / 8.0;
            let (at, low) = (x(value), HEIGHT - 6.0);
            let label = axis_label(value);
            let _ = write!(
                out,
                "<text x=\"{at:.1}\" y=\"{low}\" text-anchor=\"middle\">{label}</text>"
            );
        }
        let mut base: Vec<f64> = Vec::new();
        for (n, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            if self.stacked {
                base.resize(base.len().max(line.points.len()), 0.0);
                let tops: Vec<f64> = line
                    .points
                    .iter()
                    .zip(&base)
                    .map(|(point, base_value)| point.1 + base_value)
                    .collect();
                let up = line
                    .points
                    .iter()
                    .zip(&tops)
                    .map(|(point, v)| (x(point.0), y(*v)));
                let down = line
                    .points
                    .iter()
                    .zip(&base)
                    .rev()
                    .map(|(point, v)| (x(point.0), y(*v)));
                let path: Vec<String> = up
                    .chain(down)
                    .map(|(x, y)| format!("{x:.1},{y:.1}"))
                    .collect();
                let path = path.join(" ");
                let _ = write!(
                    out,
                    "<polygon points=\"{path}\" fill=\"{colour}\" opacity=\".8\"/>"
                );
                base[..tops.len()].copy_from_slice(&tops);
            } else {
                let path: Vec<String> = line
                    .points
                    .iter()
                    .map(|point| format!("{:.1},{:.1}", x(point.0), y(point.1)))
                    .collect();
                let path = path.join(" ");
                let _ = write!(
                    out,
                    "<polyline points=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.4\"/>"
                );
            }
        }
        let _ = write!(out, "</svg><div class=\"key\">");
        // With more lines than colours a legend would be ambiguous.
        if self.lines.len() <= COLOURS.len() {
            for (n, line) in self.lines.iter().enumerate() {
                let (colour, name) = (COLOURS[n % COLOURS.len()], escape(&line.name));
                let _ = write!(
                    out,
                    "<span><b style=\"color:{colour}\">&#9632;</b> {name}</span>"
                );
            }
        }
        let (unit, x) = (escape(self.unit), escape(self.x));
        let _ = write!(out, "<span>{unit} over {x}</span></div>");
    }
}

/// The next round number for the end of an axis: 1, 2 or 5 times a power of ten.
fn round_axis_end(top: f64) -> f64 {
    if top <= 0.0 {
        return 1.0;
    }
    let step = libm::pow(10.0, libm::floor(libm::log10(top)));
    [1.0, 2.0, 5.0, 10.0]
        .into_iter()
        .map(|n| n * step)
        .find(|n| *n >= top * 0.999)
        .unwrap_or(top)
}

fn axis_label(value: f64) -> String {
    match value {
        0.0 => "0".into(),
        v if v >= 100.0 => format!("{v:.0}"),
        v if v >= 10.0 => format!("{v:.1}"),
        v => format!("{v:.2}"),
    }
}

/// Spans of time in which at least one fault was in force: from a change that begins a fault while there is none, to the
/// change that ends the last one.
fn fault_spans(plan: &Plan) -> Vec<(f64, f64)> {
    let begins = |c: &ScheduledChange| match c {
        ScheduledChange::EndpointFault(_, change) => {
            use crate::model::FaultChange;
            match change {
                FaultChange::Stalled(on)
                | FaultChange::ReportsIdle(on)
                | FaultChange::ClassHangs(_, on) => *on,
                FaultChange::SpeedLeft(left) => *left < 1.0,
                FaultChange::ErrorShare(share)
                | FaultChange::MalformedShare(share)
                | FaultChange::ResetShare(share) => *share > 0.0,
            }
        }
        ScheduledChange::NetworkCut { on, .. } => *on,
        ScheduledChange::DiscoveryDown(on) | ScheduledChange::DiscoveryMalformed(on) => *on,
        ScheduledChange::DiscoveryDelay(by) | ScheduledChange::DiscoveryStagger(by) => {
            !by.is_zero()
        }
        ScheduledChange::Start(_) | ScheduledChange::Leave(_) => false,
        _ => true,
    };
    let (mut open, mut from, mut spans) = (0usize, 0.0, Vec::new());
    for (at, change) in &plan.changes {
        let at = at.as_secs_f64();
        if begins(change) {
            if open == 0 {
                from = at;
            }
            open += 1;
        } else {
            open = open.saturating_sub(1);
            if open == 0 {
                spans.push((from, at));
            }
        }
    }
    if open > 0 {
        spans.push((from, plan.length.as_secs_f64()));
    }
    spans
}

fn table(plan: &Plan, runs: &[Run], out: &mut String) {
    let rows = policy_rows(plan, runs);
    let _ = write!(out, "<table><tr><th>policy</th>");
    for (name, _) in rows.first().map(|row| &row.figures[..]).unwrap_or_default() {
        let _ = write!(out, "<th>{name}</th>");
    }
    let _ = write!(out, "<th>broken rules</th></tr>");
    for row in &rows {
        let _ = write!(out, "<tr><td>{}</td>", escape(&row.policy));
        for (name, value) in &row.figures {
            let digits = if name.ends_with("ms") { 1 } else { 3 };
            let _ = write!(out, "<td>{value:.digits$}</td>");
        }
        let violations: Vec<_> = row
            .violations
            .iter()
            .map(|(rule, n)| format!("{} {n}", rule.name()))
            .collect();
        let names = if violations.is_empty() {
            "none".into()
        } else {
            escape(&violations.join(", "))
        };
        let _ = write!(out, "<td>{names}</td></tr>");
    }
    let _ = write!(out, "</table>");
}

/// The whole page; plots are of the first seed.
pub fn page(plan: &Plan, runs: &[Run], simulated: bool) -> String {
    let mut out = String::new();
    let about = escape(&plan.about);
    let mode = if simulated {
        "Simulated: models of servers, no machine was measured"
    } else {
        "On loopback sockets"
    };
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{about}</title><style>{STYLE}</style>\
         <h1>{about}</h1><p>{mode}. {} instances, {} endpoints in {} zones, {:.0} commands a second, {:.0} s, \
         seeds {:?}.</p>",
        plan.instances,
        plan.endpoints.len(),
        plan.zones.len(),
        plan.per_second,
        plan.length.as_secs_f64(),
        plan.seeds
    );
    table(plan, runs, &mut out);
    let results = check_expectations(plan, runs);
    if !results.is_empty() {
        let _ = write!(out, "<h2>What must hold</h2><ul>");
        for result in &results {
            let (class, verdict) = if result.met {
                ("good", "holds")
            } else {
                ("bad", "does not hold")
            };
            let (text, bound) = (escape(&result.label), escape(&result.bound));
            let _ = write!(
                out,
                "<li class=\"{class}\">{verdict}: {text} is {:.4}, {bound}</li>",
                result.figure
            );
        }
        let _ = write!(out, "</ul>");
    }
    plots(plan, runs, &mut out);
    for run in runs
        .iter()
        .filter(|run| !run.violations.is_empty() && run.policy == "passroad")
    {
        let _ = write!(out, "<h2>Broken by passroad, seed {}</h2><ul>", run.seed);
        for violation in run.violations.iter().take(50) {
            let (at, rule, what) = (
                violation.time.as_secs_f64(),
                violation.rule.name(),
                escape(&violation.message),
            );
            let _ = write!(out, "<li>{at:.3} s: {rule}: {what}</li>");
        }
        let _ = write!(out, "</ul>");
    }
    out + "</html>\n"
}

fn plots(plan: &Plan, runs: &[Run], out: &mut String) {
    let Some(seed) = runs.first().map(|run| run.seed) else {
        return;
    };
    let first: Vec<&Run> = runs.iter().filter(|run| run.seed == seed).collect();
    let spans = fault_spans(plan);
    let plot = |title: &str, unit, lines, stacked| Plot {
        title: title.into(),
        unit,
        x: "seconds",
        fault_spans: &spans,
        lines,
        stacked,
    };
    let by_second = |run: &Run, of: &dyn Fn(&SecondCounts) -> f64| -> Vec<(f64, f64)> {
        counts_by_second(run, plan)
            .iter()
            .enumerate()
            .map(|(n, counts)| (n as f64, of(counts)))
            .collect()
    };
    let each = |of: &dyn Fn(&SecondCounts) -> f64| -> Vec<Line> {
        first
            .iter()
            .map(|run| Line {
                name: run.policy.clone(),
                points: by_second(run, of),
            })
            .collect()
    };
    let share = |counts: &SecondCounts, n: usize| n as f64 / counts.arrived.max(1) as f64;
    plot(
        "Answered within the goal",
        "share of commands",
        each(&|counts| share(counts, counts.served)),
        false,
    )
    .draw(out);
    plot(
        "Relays",
        "for each command",
        each(&|counts| share(counts, counts.relays)),
        false,
    )
    .draw(out);
    let quantiles = |run: &&Run| {
        let tally = Tally::of_class(run, plan, &(plan.settle..plan.length), None);
        let points = (0..=100)
            .map(|n| (f64::from(n), tally.percentile_ms(f64::from(n).min(99.9))))
            .collect();
        Line {
            name: run.policy.clone(),
            points,
        }
    };
    let lines = first.iter().map(quantiles).collect();
    let title = "Time to an answer".to_string();
    Plot {
        title,
        unit: "milliseconds",
        x: "percent of the answers",
        fault_spans: &[],
        lines,
        stacked: false,
    }
    .draw(out);
    let Some(main_run) = first
        .iter()
        .find(|run| run.policy == "passroad")
        .or(first.first())
    else {
        return;
    };
    type CountOf = fn(&SecondCounts) -> f64;
    let kinds: [(&str, CountOf); 5] = [
        ("served", |counts| counts.served as f64),
        ("late", |counts| counts.late as f64),
        ("declined", |counts| counts.refused as f64),
        ("terminated", |counts| counts.failed as f64),
        ("no answer", |counts| counts.unanswered as f64),
    ];
    let lines = kinds
        .iter()
        .map(|(name, of)| Line {
            name: (*name).into(),
            points: by_second(main_run, of),
        })
        .collect();
    plot(
        &format!("Answers of {}", main_run.policy),
        "commands a second",
        lines,
        true,
    )
    .draw(out);
    let sample_lines = |of: &dyn Fn(&crate::virtual_time::FleetSample, usize) -> f64| -> Vec<Line> {
        let line = |endpoint: usize| {
            let points = main_run
                .samples
                .iter()
                .map(|sample| (sample.time.as_secs_f64(), of(sample, endpoint)))
                .collect();
            Line {
                name: format!("{endpoint} ({})", plan.zones[plan.endpoints[endpoint].zone]),
                points,
            }
        };
        (0..plan.endpoints.len().min(60)).map(line).collect()
    };
    let outstanding_lines = sample_lines(&|sample, endpoint| sample.outstanding[endpoint] as f64);
    plot(
        &format!("Held by each endpoint, {}", main_run.policy),
        "commands",
        outstanding_lines,
        false,
    )
    .draw(out);
    let connection_lines = sample_lines(&|sample, endpoint| sample.connections[endpoint] as f64);
    plot(
        &format!("Connections to each endpoint, {}", main_run.policy),
        "open",
        connection_lines,
        false,
    )
    .draw(out);
    let lines_by_zone = zone_lines(plan, main_run);
    if lines_by_zone.len() > 1 {
        plot(
            &format!("Relays to each zone, {}", main_run.policy),
            "a second",
            lines_by_zone,
            true,
        )
        .draw(out);
    }
}

/// Relays per second by the zone that they were sent to.
fn zone_lines(plan: &Plan, run: &Run) -> Vec<Line> {
    let length = plan.length.as_secs_f64().ceil() as usize;
    let mut counts = vec![vec![0u32; length]; plan.zones.len()];
    for sent in run
        .history
        .relays
        .iter()
        .filter(|relay| relay.sent_at < Duration::from_secs(length as u64))
    {
        counts[plan.endpoints[sent.endpoint].zone][sent.sent_at.as_secs() as usize] += 1;
    }
    let line = |(zone, counts): (usize, Vec<u32>)| Line {
        name: plan.zones[zone].clone(),
        points: counts
            .iter()
            .enumerate()
            .map(|(n, c)| (n as f64, f64::from(*c)))
            .collect(),
    };
    counts.into_iter().enumerate().map(line).collect()
}

#[cfg(test)]
mod tests;
