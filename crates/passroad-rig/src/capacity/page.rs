//! The tables of the capacity page as Markdown.

use super::estimate::{
    Estimate, LARGEST_MULTIPLE, events, row_budget, two_standard_errors, worst_event,
};
use super::fit::Form;
use super::number_format::format_number;
use super::ranking::{RankedRow, rank_rows};
use super::roles::{Mechanism, ROLES, Role};
use super::slopes::{Law, Slopes, Source};
use super::target::Target;
use serde_json::Value;
use std::fmt::Write;

/// Mark in the page before the tables.
pub const BEGIN: &str = "<!-- begin: written by `passroad-rig capacity`; `--check` compares -->";
/// Mark in the page after the tables.
pub const END: &str = "<!-- end -->";

fn source_mark(source: Source) -> &'static str {
    match source {
        Source::Measured => "",
        Source::Simulated => " s",
        Source::Assumed => " a",
    }
}

fn plus_minus(estimate: &Estimate) -> String {
    estimate.error.map_or(String::new(), |error| {
        format!(" +- {}", format_number(error))
    })
}

fn estimate_text(estimate: Option<&Estimate>, times: f64) -> String {
    match estimate {
        Some(estimate) => {
            format_number(estimate.value_at(times))
                + &plus_minus(estimate)
                + source_mark(estimate.source())
        }
        None => "not measured".into(),
    }
}

fn mechanism_text(mechanism: Mechanism) -> String {
    match mechanism.file {
        Some(file) => format!("{}, `{file}`", mechanism.what),
        None => format!("**none**: {}", mechanism.what),
    }
}

/// The size at which a row exceeds its budget.
fn exceeded_at_text(ranked: &RankedRow, target: &Target) -> String {
    let sidecars = |times: f64| {
        format_number(
            target
                .variable("sidecars", times)
                .unwrap_or_default()
                .round(),
        )
    };
    match (&ranked.estimate, ranked.exceeds_at) {
        (None, _) => "not measured".into(),
        (Some(estimate), Some(_)) if estimate.has_one_size() => {
            format!("{} sidecars or fewer, of one size", sidecars(1.0))
        }
        (Some(estimate), None) if estimate.has_one_size() => "not known, of one size".into(),
        (_, Some(times)) if times <= 0.0 => "any size".into(),
        (_, Some(times)) => format!("{} sidecars (x{})", sidecars(times), format_number(times)),
        (_, None) => format!("none up to x{LARGEST_MULTIPLE:.0}"),
    }
}

/// All tables, which stand between the marks of the page.
pub fn tables(slopes: &Slopes, target: &Target) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "*{}: {} sidecars, {} endpoints in {} services, {} calls a second, {} deep, {} changes a day.*\n\n\
         Plain figures are measured, `s` simulated, `a` assumed (from what, stands below). `not measured`: nothing is \
         known.",
        target.about,
        format_number(target.variable("sidecars", 1.0).unwrap_or_default()),
        format_number(target.variable("endpoints", 1.0).unwrap_or_default()),
        format_number(target.variable("services", 1.0).unwrap_or_default()),
        format_number(target.variable("calls_total", 1.0).unwrap_or_default()),
        format_number(target.variable("depth", 1.0).unwrap_or_default()),
        format_number(target.value("changes_per_day").unwrap_or_default()),
    );
    write_first_missing(slopes, target, &mut out);
    write_ranking(slopes, target, &mut out);
    write_interpretations(slopes, target, &mut out);
    for role in &ROLES {
        write_role(role, slopes, target, &mut out);
    }
    write_hollow_comparison(slopes, &mut out);
    write_events(slopes, target, &mut out);
    write_laws(slopes, target, &mut out);
    out
}

/// An estimate with its unit and source.
fn estimate_in_words(estimate: &Estimate, unit: &str) -> String {
    let unit = match unit {
        "1/s" => " a second".into(),
        "" => String::new(),
        unit => format!(" {unit}"),
    };
    let from = match estimate.source() {
        Source::Measured => "measured",
        Source::Simulated => "simulated",
        Source::Assumed => "assumed",
    };
    format!(
        "{}{}{unit} ({from})",
        format_number(estimate.value_at(1.0)),
        plus_minus(estimate)
    )
}

fn row_in_words(ranked: &RankedRow, slopes: &Slopes, target: &Target) -> String {
    let role = ranked.role.title.split(':').next().unwrap_or_default();
    let what = format!("{role}: {}", ranked.row.title);
    let budget = format!("{} {}", format_number(ranked.budget), ranked.row.unit);
    let Some(estimate) = &ranked.estimate else {
        // The row itself has no estimate, so the messages that the role would have to send are shown.
        let sent = ranked
            .role
            .rows
            .iter()
            .find(|r| r.quantities == ["messages-out"]);
        let sent = sent.and_then(|row| {
            Some((
                Estimate::find(slopes, target, ranked.role, row, "ordinary")?,
                row.unit,
            ))
        });
        let load = sent.map_or(String::new(), |(estimate, unit)| {
            format!(
                "; {} would have to go out",
                estimate_in_words(&estimate, unit)
            )
        });
        return format!(
            "{what}: {budget} allowed, no figure{load}; {}",
            mechanism_text(ranked.row.mechanism)
        );
    };
    let exceeded_at = format!("passed at {}", exceeded_at_text(ranked, target));
    format!(
        "{what}, {}: {} for a budget of {budget}, x{}, {exceeded_at}; {}",
        ranked.condition,
        estimate_in_words(estimate, ranked.row.unit),
        format_number(estimate.value_at(1.0) / ranked.budget),
        mechanism_text(ranked.row.mechanism)
    )
}

fn write_first_missing(slopes: &Slopes, target: &Target, out: &mut String) {
    let all = rank_rows(slopes, target);
    let _ = writeln!(
        out,
        "\n### The first missing mechanism, and the three rows after it\n"
    );
    let missing =
        |ranked: &RankedRow| ranked.row.mechanism.file.is_none() && !ranked.row.alternative;
    let Some(first_missing) = all.iter().position(missing) else {
        let _ = writeln!(out, "No row with a budget is without a mechanism.");
        return;
    };
    let first = &all[first_missing];
    let _ = writeln!(
        out,
        "1. **Missing first.** {}.",
        row_in_words(first, slopes, target)
    );
    // One row per role; the others are in the table below.
    let mut seen = vec![first.role.key];
    for ranked in &all {
        let key = ranked.role.key;
        let has_estimate = ranked.estimate.is_some() && !ranked.row.alternative;
        if seen.len() < 4 && has_estimate && !seen.contains(&key) {
            seen.push(key);
            let _ = writeln!(
                out,
                "{}. {}.",
                seen.len(),
                row_in_words(ranked, slopes, target)
            );
        }
    }
}

/// The rows that exceed their budgets between two multiples of the target.
fn exceeded_between(all: &[RankedRow], from: Option<f64>, to: f64) -> String {
    let is_exceeded = |ranked: &&RankedRow| {
        let exceeds = |times: f64| {
            ranked
                .estimate
                .as_ref()
                .is_some_and(|estimate| estimate.value_at(times) > ranked.budget)
        };
        exceeds(to) && from.is_none_or(|from| !exceeds(from))
    };
    let names: Vec<String> = all
        .iter()
        .filter(is_exceeded)
        .map(|ranked| {
            format!(
                "{}: {} ({})",
                ranked.role.key, ranked.row.title, ranked.condition
            )
        })
        .collect();
    if names.is_empty() {
        "none".into()
    } else {
        names.join("; ")
    }
}

fn write_ranking(slopes: &Slopes, target: &Target, out: &mut String) {
    let all = rank_rows(slopes, target);
    let _ = writeln!(
        out,
        "\n### What breaks first\n\n- Over the budget at the target's size: {}.\n- At twice the size also: {}.\n- At five \
         times also: {}.\n- Without any figure: {}.",
        exceeded_between(&all, None, 1.0),
        exceeded_between(&all, Some(1.0), 2.0),
        exceeded_between(&all, Some(2.0), 5.0),
        all.iter()
            .filter(|ranked| ranked.estimate.is_none())
            .map(|ranked| format!("{}: {}", ranked.role.key, ranked.row.title))
            .collect::<Vec<_>>()
            .join("; ")
    );
    let _ = writeln!(
        out,
        "\nRows with a budget: those over it now, what is measured first, then by the size at which each passes it; at twice and five times \
         the size each sidecar's own calls stay, all else grows. `=` behind a figure: taken at one size, growth is not \
         known.\n\n\
         | role | figure | condition | now | budget | ratio | x2 | x5 | passes its budget at | carried by |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for ranked in &all {
        let ratio_at = |times: f64| {
            ranked.estimate.as_ref().map_or("-".into(), |estimate| {
                if times > 1.0 && estimate.has_one_size() {
                    return "not known".into();
                }
                let value = format_number(estimate.value_at(times) / ranked.budget);
                if estimate.value_at(times) > ranked.budget {
                    format!("**{value}**")
                } else {
                    value
                }
            })
        };
        let growth_unknown = ranked.estimate.as_ref().is_some_and(Estimate::has_one_size);
        let _ = writeln!(
            out,
            "| {} | {}, {} | {} | {}{} | {} | {} | {} | {} | {} | {} |",
            ranked.role.key,
            ranked.row.title,
            if ranked.row.alternative {
                format!("{} (other reading)", ranked.row.unit)
            } else {
                ranked.row.unit.into()
            },
            ranked.condition,
            estimate_text(ranked.estimate.as_ref(), 1.0),
            if growth_unknown { " =" } else { "" },
            format_number(ranked.budget),
            ratio_at(1.0),
            ratio_at(2.0),
            ratio_at(5.0),
            exceeded_at_text(ranked, target),
            mechanism_text(ranked.row.mechanism)
        );
    }
}

/// Interpretations that the target leaves open, each with both results.
fn write_interpretations(slopes: &Slopes, target: &Target, out: &mut String) {
    let value = |name: &str| target.variable(name, 1.0).unwrap_or_default();
    let (calls, depth, sidecars) = (value("calls_per_second"), value("depth"), value("sidecars"));
    let _ = writeln!(
        out,
        "\n### Readings, counted both ways\n\n| what | one way | the other way |\n| --- | --- | --- |"
    );
    let _ = writeln!(
        out,
        "| calls a second of one sidecar: the total counts inner calls, or outer ones only that are all a chain of the full \
         depth | {} | {} |",
        format_number(calls),
        format_number(calls * depth)
    );
    let call_path = &ROLES[0];
    let outer = target.with_calls_times(depth);
    let cpu = |target| {
        let row = call_path.rows.iter().find(|r| r.quantities == ["cpu"])?;
        Some(estimate_text(
            Estimate::find(slopes, target, call_path, row, "ordinary").as_ref(),
            1.0,
        ))
    };
    if let (Some(inner), Some(outer)) = (cpu(target), cpu(&outer)) {
        let _ = writeln!(
            out,
            "| the same, in cores of a sidecar on the way | {inner} | {outer} |"
        );
    }
    let control = &ROLES[1];
    let row_of = |quantities: &[&str]| control.rows.iter().find(|r| r.quantities == quantities);
    for (condition, title) in [("rest", "at rest"), ("ordinary", "at the ordinary rate")] {
        let find = |quantities: &[&str]| {
            row_of(quantities)
                .and_then(|row| Estimate::find(slopes, target, control, row, condition))
        };
        let apart = find(&["bytes-in", "bytes-out"]);
        let both = find(&["bytes-in", "bytes-out", "probe-bytes"]);
        if apart.is_some() || both.is_some() {
            let _ = writeln!(
                out,
                "| control bytes a second, in and out, {title}: probes apart, or a probe is control | {} | {} |",
                estimate_text(apart.as_ref(), 1.0),
                estimate_text(both.as_ref(), 1.0)
            );
        }
        let (inward, outward) = (find(&["bytes-in"]), find(&["bytes-out"]));
        if let (Some(inward), Some(outward)) = (inward, outward) {
            let most = if inward.value_at(1.0) > outward.value_at(1.0) {
                &inward
            } else {
                &outward
            };
            let _ = writeln!(
                out,
                "| control bytes a second, {title}: the budget is for each way, or for both together | {} | {} |",
                estimate_text(Some(most), 1.0),
                estimate_text(apart.as_ref(), 1.0)
            );
        }
    }
    let cut = value("region_cut");
    let limit = target.value("change_in_force").unwrap_or_default();
    let _ = writeln!(
        out,
        "| a change made while a region is cut off is in force everywhere after, s: the clock stands for who can't be \
         reached, or runs | {} from the healing | {}, so {} changes a cut miss it |",
        format_number(limit),
        format_number(cut),
        format_number(value("changes_per_second") * cut)
    );
    let gone = target.value("machines_per_day").unwrap_or_default();
    let _ = writeln!(
        out,
        "| everywhere while machines are down, sidecars: those that run, or all | {} | {} |",
        format_number(sidecars - gone),
        format_number(sidecars)
    );
}

fn write_role(role: &Role, slopes: &Slopes, target: &Target, out: &mut String) {
    let _ = writeln!(
        out,
        "\n### {}\n\n| state: what it holds | grows by | bounded by |\n| --- | --- | --- |",
        role.title
    );
    for (what, grows, bound) in role.state {
        let _ = writeln!(out, "| {what} | {grows} | {} |", mechanism_text(*bound));
    }
    let _ = writeln!(
        out,
        "\n| figure | at rest | ordinary rate | worst second of an event | while it comes back | played | budget | ratio, \
         usual | ratio, worst | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for row in role.rows {
        let rest = Estimate::find(slopes, target, role, row, "rest");
        let ordinary = Estimate::find(slopes, target, role, row, "ordinary");
        let (event, back) = (
            worst_event(slopes, target, role, row, "event"),
            worst_event(slopes, target, role, row, "return"),
        );
        let named = |found: &Option<(String, Estimate)>| match found {
            Some((title, estimate)) => format!("{} ({title})", estimate_text(Some(estimate), 1.0)),
            None => "not measured".into(),
        };
        let budget = row_budget(row, target);
        let ratio = |figures: &[Option<&Estimate>]| {
            let most = figures
                .iter()
                .flatten()
                .map(|estimate| estimate.value_at(1.0))
                .reduce(f64::max);
            match (most, budget) {
                (Some(most), Some(budget)) => format_number(most / budget),
                (None, Some(_)) => "not known".into(),
                (_, None) => "-".into(),
            }
        };
        let mean_at_target = [&ordinary, &rest]
            .into_iter()
            .flatten()
            .find_map(Estimate::mean_at_target);
        let _ = writeln!(
            out,
            "| {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.title,
            if row.unit.is_empty() {
                String::new()
            } else {
                format!(", {}", row.unit)
            },
            estimate_text(rest.as_ref(), 1.0),
            estimate_text(ordinary.as_ref(), 1.0),
            named(&event),
            named(&back),
            mean_at_target.map_or("-".into(), format_number),
            budget.map_or("none in the target".into(), format_number),
            ratio(&[rest.as_ref(), ordinary.as_ref()]),
            ratio(&[event.as_ref().map(|e| &e.1), back.as_ref().map(|b| &b.1)]),
            mechanism_text(row.mechanism)
        );
    }
}

/// Mean of a law's points at a number of sidecars.
fn mean_at(law: &Law, sidecars: f64) -> Option<f64> {
    let fixed = law.fixed.get("sidecars").and_then(Value::as_f64);
    let here = |x: f64| {
        if law.by == "sidecars" {
            x == sidecars
        } else {
            fixed == Some(sidecars)
        }
    };
    let values: Vec<f64> = law
        .points
        .iter()
        .filter(|dot| here(dot.x))
        .map(|dot| dot.value)
        .collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// Compares simulated sidecar processes ("hollow") with real ones wherever both were measured at one size.
fn write_hollow_comparison(slopes: &Slopes, out: &mut String) {
    let mut rows = String::new();
    let of = |kind: &'static str| {
        slopes
            .laws
            .iter()
            .filter(move |l| l.kind == kind && l.statistic == "mean")
    };
    for real in of("real") {
        let key = |l: &Law| (l.role.clone(), l.quantity.clone(), l.condition.clone());
        for hollow in of("hollow").filter(|hollow| key(hollow) == key(real)) {
            let mut sizes: Vec<f64> = real.points.iter().map(|dot| dot.x).collect();
            sizes.extend(real.fixed.get("sidecars").and_then(Value::as_f64));
            sizes.sort_by(f64::total_cmp);
            sizes.dedup();
            for size in sizes {
                let (Some(a), Some(b)) = (mean_at(real, size), mean_at(hollow, size)) else {
                    continue;
                };
                let off = 100.0 * (b / a - 1.0);
                let verdict = match off {
                    _ if !off.is_finite() => "no telling".into(),
                    off if off.abs() <= 10.0 => format!("within a tenth ({off:+.1}%)"),
                    off => {
                        format!(
                            "**{}% too {}**",
                            format_number(off.abs()),
                            if off < 0.0 { "low" } else { "high" }
                        )
                    }
                };
                let _ = writeln!(
                    rows,
                    "| {} | {}, {} | {} | {} | {} | {} | {verdict} |",
                    real.role,
                    real.quantity,
                    real.unit,
                    real.condition,
                    format_number(size),
                    format_number(a),
                    format_number(b)
                );
            }
        }
    }
    let _ = writeln!(out, "\n### Is hollow honest?\n");
    if rows.is_empty() {
        let _ = writeln!(out, "Hollow and real sidecars were not played at one size.");
    } else {
        let _ = writeln!(
            out,
            "Means of all hollow against all real, at one size.\n\n| role | figure | condition | sidecars | real | hollow | \
             hollow is |\n| --- | --- | --- | --- | --- | --- | --- |\n{}",
            rows.trim_end()
        );
    }
}

fn write_events(slopes: &Slopes, target: &Target, out: &mut String) {
    let events = events(slopes);
    let _ = write!(
        out,
        "\n### Event by event\n\nWorst second / while it comes back; `-` was neither measured nor assumed.\n\n| role | figure |"
    );
    for (_, title) in &events {
        let _ = write!(out, " {title} |");
    }
    let _ = writeln!(out, "\n| --- | --- |{}", " --- |".repeat(events.len()));
    for role in &ROLES {
        for row in role.rows {
            let cell = |prefix: &str, key: &str| {
                let found = Estimate::find(slopes, target, role, row, &format!("{prefix}:{key}"));
                found.map(|estimate| estimate_text(Some(&estimate), 1.0))
            };
            let cells: Vec<_> = events
                .iter()
                .map(|(key, _)| (cell("event", key), cell("return", key)))
                .collect();
            if cells.iter().all(|(a, b)| a.is_none() && b.is_none()) {
                continue;
            }
            let _ = write!(out, "| {} | {}, {} |", role.key, row.title, row.unit);
            for (event, back) in cells {
                let or = |cell: Option<String>| cell.unwrap_or("-".into());
                let _ = match (&event, &back) {
                    (None, None) => write!(out, " - |"),
                    _ => write!(out, " {} / {} |", or(event), or(back)),
                };
            }
            let _ = writeln!(out);
        }
    }
}

/// The value of an attribute of points.
fn attribute_text(value: &Value) -> String {
    match (value.as_f64(), value.as_str()) {
        (Some(number), _) => format_number(number),
        (None, Some(text)) => text.into(),
        (None, None) => value.to_string(),
    }
}

fn law_text(law: &Law) -> String {
    if law.by.is_empty() || law.form == Form::Constant {
        return format_number(law.constant);
    }
    let by = law.by.replace('*', " x ").replace('_', " ");
    let of = match law.form {
        Form::Constant | Form::Linear => by,
        Form::Sqrt => format!("sqrt({by})"),
        Form::Log => format!("ln({by})"),
        Form::Quadratic => format!("({by})^2"),
    };
    let sign = if law.slope < 0.0 { "-" } else { "+" };
    format!(
        "{} {sign} {} x {of}",
        format_number(law.constant),
        format_number(law.slope.abs())
    )
}

fn write_laws(slopes: &Slopes, target: &Target, out: &mut String) {
    let _ = writeln!(
        out,
        "\n### Laws, what they were fitted to, and their error\n\nThe error is the root of the mean squared residual. Of one \
         size: a mean, no law. Of two: a line through both, without a check.\n\n\
         | role | quantity | condition | statistic | of | law | points: size: figure | error | at the target | played there | \
         run: seed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let error_of = |law: &Law| match (two_standard_errors(slopes, law, target), law.error) {
        (Some(error), _) => format!("+- {} (two standard errors)", format_number(error)),
        (None, Some(_)) if law.points.len() == 1 => "one point".into(),
        (None, Some(_)) if law.points.len() == 2 && law.form != Form::Constant => {
            "a line through both".into()
        }
        (None, error) => error.map_or("-".into(), format_number),
    };
    let shown = |l: &&Law| l.source != Source::Assumed && !l.quantity.ends_with("-error");
    for law in slopes.laws.iter().filter(shown) {
        let points: Vec<String> = law
            .points
            .iter()
            .map(|p| format!("{}: {}", format_number(p.x), format_number(p.value)))
            .collect();
        let points = match law.by.is_empty() {
            true => law.points.iter().map(|p| format_number(p.value)).collect(),
            false => points,
        };
        let mut runs: Vec<usize> = law.points.iter().map(|p| p.run).collect();
        runs.dedup();
        runs.sort_unstable();
        runs.dedup();
        let runs: Vec<String> = runs
            .iter()
            .filter_map(|n| {
                slopes
                    .runs
                    .get(*n)
                    .map(|r| format!("{}: {}", n + 1, r.seed))
            })
            .collect();
        let fixed: Vec<String> = law
            .fixed
            .iter()
            .map(|(k, v)| format!("{} {}", k.replace('_', " "), attribute_text(v)))
            .collect();
        let _ = writeln!(
            out,
            "| {} | {}, {}{} | {} | {} | {}{}{} | {} | {} | {} | {} | {} | {} |",
            law.role,
            law.quantity,
            law.unit,
            source_mark(law.source),
            law.condition,
            law.statistic,
            law.kind,
            if law.kind.is_empty() || fixed.is_empty() {
                ""
            } else {
                "; "
            },
            fixed.join(", "),
            law_text(law),
            points.join("; "),
            error_of(law),
            law.value_at(target, 1.0).map_or("-".into(), format_number),
            law.mean_at_target(target).map_or("-".into(), format_number),
            runs.join(", ")
        );
    }
    let _ = writeln!(
        out,
        "\n| run | file | command | commit | seed | |\n| --- | --- | --- | --- | --- | --- |"
    );
    for (n, run) in slopes.runs.iter().enumerate() {
        let origin = if run.simulated {
            "simulated"
        } else {
            "on sockets"
        };
        let _ = writeln!(
            out,
            "| {} | `capacity/points/{}` | `{}` | {} | {} | {origin} |",
            n + 1,
            run.file,
            run.run.replace('|', "\\|"),
            run.commit,
            run.seed
        );
    }
    let _ = writeln!(
        out,
        "\n### What is assumed\n\n| role | quantity | condition | law | at the target | from what |\n\
         | --- | --- | --- | --- | --- | --- |"
    );
    for law in slopes.laws.iter().filter(|l| l.source == Source::Assumed) {
        let _ = writeln!(
            out,
            "| {} | {}, {} | {} | {} | {} | {} |",
            law.role,
            law.quantity,
            law.unit,
            law.condition,
            law_text(law),
            law.value_at(target, 1.0).map_or("-".into(), format_number),
            law.why
        );
    }
}

/// Replaces the tables between the marks; `None` unless each mark occurs once and in order.
pub fn with_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    (!after.contains(BEGIN) && !after.contains(END) && !before.contains(END))
        .then(|| format!("{before}{BEGIN}\n\n{}\n{END}{after}", tables.trim_end()))
}
