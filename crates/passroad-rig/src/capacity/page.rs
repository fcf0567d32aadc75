//! The tables of the page: worked out from laws and target, as Markdown, JSON and HTML.

use super::fit::Form;
use super::roles::{EVENTS, Mechanism, ROLES, Role, Row};
use super::slopes::{Law, Slopes, Source};
use super::target::Target;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::fmt::Write;

pub const BEGIN: &str = "<!-- begin: written by `passroad-rig capacity`; `--check` compares -->";
pub const END: &str = "<!-- end -->";
/// Sizes looked at for where a budget is passed, as multiples of the target.
const SMALLEST: f64 = 1e-3;
const LARGEST: f64 = 1e3;

/// One figure of a row in a condition, worked out from the laws of its parts.
pub struct Figure<'a> {
    laws: Vec<&'a Law>,
    target: &'a Target,
    /// Two standard errors, where the run told them.
    error: Option<f64>,
}

/// Two standard errors of a figure, where its run left them as points beside it.
fn told_error(slopes: &Slopes, law: &Law, target: &Target) -> Option<f64> {
    let name = format!("{}-error", law.quantity);
    let key = |l: &Law| {
        (
            l.role.clone(),
            l.condition.clone(),
            l.kind.clone(),
            l.source,
        )
    };
    let same = |l: &&Law| l.quantity == name && key(l) == key(law) && l.fixed == law.fixed;
    slopes
        .laws
        .iter()
        .find(same)
        .and_then(|l| l.at(target, 1.0))
}

impl<'a> Figure<'a> {
    /// None where a part has no law.
    pub fn find(
        slopes: &'a Slopes,
        target: &'a Target,
        role: &Role,
        row: &Row,
        condition: &str,
    ) -> Option<Figure<'a>> {
        let laws = row
            .parts
            .iter()
            .map(|part| law(slopes, target, role, row, part, condition));
        let laws = laws.collect::<Option<Vec<_>>>()?;
        let error = match &laws[..] {
            [law] => told_error(slopes, law, target),
            _ => None,
        };
        Some(Figure {
            laws,
            target,
            error,
        })
    }

    pub fn at(&self, times: f64) -> f64 {
        self.laws
            .iter()
            .filter_map(|l| l.at(self.target, times))
            .sum()
    }

    /// The weakest of its parts' sources.
    pub fn source(&self) -> Source {
        self.laws
            .iter()
            .map(|l| l.source)
            .max()
            .unwrap_or(Source::Assumed)
    }

    /// Means of what was measured at the target's own size, if all parts were.
    pub fn played(&self) -> Option<f64> {
        self.laws.iter().map(|l| l.played(self.target)).sum()
    }

    /// Whether a part was taken at one number of sidecars only, so that nothing is known of growth. What was taken at one
    /// sidecar alone has no such number, and doesn't grow: its own calls stay.
    fn one_size(&self) -> bool {
        let one = |l: &&Law| {
            l.source != Source::Assumed && l.by.is_empty() && l.fixed.contains_key("sidecars")
        };
        self.laws.iter().any(one)
    }

    /// The smallest multiple of the target at which it is above the budget; none if it is not up to a thousand times.
    pub fn passes(&self, budget: f64) -> Option<f64> {
        if self.one_size() {
            return (self.at(1.0) > budget).then_some(1.0);
        }
        let over = |times: f64| self.at(times) > budget;
        let steps = 240;
        let step = |n: usize| SMALLEST * (LARGEST / SMALLEST).powf(n as f64 / steps as f64);
        let first = (0..=steps).map(step).find(|times| over(*times))?;
        if first <= SMALLEST {
            return Some(0.0);
        }
        let (mut low, mut high) = (first / (LARGEST / SMALLEST).powf(1.0 / steps as f64), first);
        for _ in 0..40 {
            let middle = (low + high) / 2.0;
            if over(middle) {
                high = middle
            } else {
                low = middle
            }
        }
        Some(high)
    }
}

/// The law that a row goes by: of the busiest one, in events of the worst second; measured before simulated before
/// assumed, taken nearest to the target, at the most sizes.
fn law<'a>(
    slopes: &'a Slopes,
    target: &'a Target,
    role: &Role,
    row: &Row,
    part: &str,
    condition: &str,
) -> Option<&'a Law> {
    let event = condition.contains(':');
    let order = match event {
        true => ["worst-second", "busiest", "mean"],
        false => ["busiest", "mean", "worst-second"],
    };
    let fits = |law: &&Law| {
        let with = row.with.is_none_or(|(key, word)| match law.fixed.get(key) {
            Some(value) => value.as_str() == Some(word),
            None => law.source == Source::Assumed,
        });
        let same = law.role == role.key && law.quantity == part && law.condition == condition;
        same && with && law.at(target, 1.0).is_some()
    };
    let rank = |law: &&Law| {
        let statistic = order
            .iter()
            .position(|s| *s == law.statistic)
            .unwrap_or(order.len());
        let whole = law.played(target).is_none();
        (
            law.source,
            law.strangeness(target),
            statistic,
            whole,
            Reverse(law.sizes()),
            law.kind.clone(),
        )
    };
    slopes.laws.iter().filter(fits).min_by_key(rank)
}

/// Three digits; whole numbers as they are.
pub fn figure(value: f64) -> String {
    match value.abs() {
        v if v < 999.5 && v.fract() == 0.0 => format!("{value:.0}"),
        v if v >= 999.5 => thousands(value),
        v if v >= 99.95 => format!("{value:.0}"),
        v if v >= 9.995 => format!("{value:.1}"),
        v if v >= 0.9995 => format!("{value:.2}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.1e}"),
    }
}

fn thousands(value: f64) -> String {
    // Three digits count, the rest are noughts.
    let step = libm::pow(10.0, libm::floor(libm::log10(value.abs())) - 2.0).max(1.0);
    let digits = format!("{:.0}", (value / step).round() * step);
    let (sign, digits) = digits
        .strip_prefix('-')
        .map_or(("", &digits[..]), |d| ("-", d));
    let mut out = String::new();
    for (n, c) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(c);
    }
    format!("{sign}{out}")
}

fn mark(source: Source) -> &'static str {
    match source {
        Source::Measured => "",
        Source::Simulated => " s",
        Source::Assumed => " a",
    }
}

fn plus_minus(f: &Figure) -> String {
    f.error
        .map_or(String::new(), |error| format!(" +- {}", figure(error)))
}

fn told(figure_of: Option<&Figure>, times: f64) -> String {
    match figure_of {
        Some(f) => figure(f.at(times)) + &plus_minus(f) + mark(f.source()),
        None => "not measured".into(),
    }
}

fn carried(mechanism: Mechanism) -> String {
    match mechanism.file {
        Some(file) => format!("{}, `{file}`", mechanism.what),
        None => format!("**none**: {}", mechanism.what),
    }
}

/// A row's budget in its unit.
fn budget(row: &Row, target: &Target) -> Option<f64> {
    let budget = row.budget.as_ref()?;
    budget
        .keys
        .iter()
        .map(|key| target.value(key))
        .product::<Option<f64>>()
        .map(|v| v * budget.factor)
}

/// Names of the events after a prefix: those that the page knows, then others that points name.
fn events(slopes: &Slopes) -> Vec<(String, String)> {
    let mut all: Vec<(String, String)> = EVENTS
        .iter()
        .map(|(k, t)| ((*k).into(), (*t).into()))
        .collect();
    for law in &slopes.laws {
        let name = law
            .condition
            .strip_prefix("event:")
            .or(law.condition.strip_prefix("return:"));
        if let Some(name) = name.filter(|name| all.iter().all(|(key, _)| key != name)) {
            all.push((name.into(), name.into()));
        }
    }
    all
}

/// Of all events the one with the highest figure, with its name.
fn worst<'a>(
    slopes: &'a Slopes,
    target: &'a Target,
    role: &Role,
    row: &Row,
    prefix: &str,
) -> Option<(String, Figure<'a>)> {
    let one = |(key, title): (String, String)| {
        Some((
            title,
            Figure::find(slopes, target, role, row, &format!("{prefix}:{key}"))?,
        ))
    };
    events(slopes).into_iter().filter_map(one).max_by(|a, b| {
        a.1.at(1.0)
            .total_cmp(&b.1.at(1.0))
            .then_with(|| b.0.cmp(&a.0))
    })
}

/// A budget, and where a figure passes it.
pub struct Breaking<'a> {
    pub role: &'static Role,
    pub row: &'static Row,
    pub condition: String,
    pub figure: Option<Figure<'a>>,
    pub budget: f64,
    /// Multiple of the target; none where it is never passed, or nothing is known.
    pub passes: Option<f64>,
}

/// Every row with a budget in the condition in which it is nearest to it, what breaks first at the top; rows of which
/// nothing is known come first where no mechanism carries them, else last.
pub fn breaking<'a>(slopes: &'a Slopes, target: &'a Target) -> Vec<Breaking<'a>> {
    let mut all = Vec::new();
    for role in &ROLES {
        for row in role.rows {
            let Some(budget) = budget(row, target) else {
                continue;
            };
            let mut figures: Vec<(String, Figure)> = Vec::new();
            for (condition, title) in [("rest", "at rest"), ("ordinary", "ordinary rate")] {
                if let Some(figure) = Figure::find(slopes, target, role, row, condition) {
                    figures.push((title.into(), figure));
                }
            }
            for (prefix, words) in [("event", "worst second"), ("return", "coming back")] {
                if let Some((event, figure)) = worst(slopes, target, role, row, prefix) {
                    figures.push((format!("{words}, {event}"), figure));
                }
            }
            if figures.is_empty() {
                let condition = "any".into();
                all.push(Breaking {
                    role,
                    row,
                    condition,
                    figure: None,
                    budget,
                    passes: None,
                });
            }
            // At the ordinary rate and in a worst second apart: a budget may be meant for either.
            let steady = |c: &str| c == "at rest" || c == "ordinary rate";
            let (usual, event): (Vec<_>, Vec<_>) =
                figures.into_iter().partition(|(c, _)| steady(c));
            for group in [usual, event] {
                let most = group
                    .into_iter()
                    .max_by(|a, b| a.1.at(1.0).total_cmp(&b.1.at(1.0)));
                if let Some((condition, figure)) = most {
                    let passes = figure.passes(budget);
                    all.push(Breaking {
                        role,
                        row,
                        condition,
                        figure: Some(figure),
                        budget,
                        passes,
                    });
                }
            }
        }
    }
    let rank = |b: &Breaking| match (&b.figure, b.passes, b.row.carried.file) {
        (None, _, None) => -1.0,
        (_, Some(passes), _) => passes,
        (Some(_), None, _) => LARGEST * 2.0,
        (None, None, _) => LARGEST * 3.0,
    };
    // Of those over it at the target's size what is measured comes before what is assumed.
    let over = |b: &Breaking| rank(b) >= 0.0 && ratio(b) > 1.0;
    let source = |b: &Breaking| b.figure.as_ref().filter(|_| over(b)).map(Figure::source);
    let first = |b: &Breaking| (rank(b) >= 0.0, !over(b), source(b));
    all.sort_by(|a, b| {
        let by_size = first(a)
            .cmp(&first(b))
            .then_with(|| rank(a).total_cmp(&rank(b)));
        by_size.then_with(|| ratio(b).total_cmp(&ratio(a)))
    });
    all
}

fn ratio(b: &Breaking) -> f64 {
    b.figure.as_ref().map_or(0.0, |f| f.at(1.0) / b.budget)
}

/// At which size a budget is passed.
fn size_of(b: &Breaking, target: &Target) -> String {
    let sidecars = |times: f64| {
        figure(
            target
                .variable("sidecars", times)
                .unwrap_or_default()
                .round(),
        )
    };
    match (&b.figure, b.passes) {
        (None, _) => "not measured".into(),
        (Some(f), Some(_)) if f.one_size() => {
            format!("{} sidecars or fewer, of one size", sidecars(1.0))
        }
        (Some(f), None) if f.one_size() => "not known, of one size".into(),
        (_, Some(times)) if times <= 0.0 => "any size".into(),
        (_, Some(times)) => format!("{} sidecars (x{})", sidecars(times), figure(times)),
        (_, None) => format!("none up to x{LARGEST:.0}"),
    }
}

/// The tables between the marks.
pub fn tables(slopes: &Slopes, target: &Target) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "*{}: {} sidecars, {} endpoints in {} services, {} calls a second, {} deep, {} changes a day.*\n\n\
         Plain figures are measured, `s` simulated, `a` assumed (from what, stands below). `not measured`: nothing is \
         known.",
        target.about,
        figure(target.variable("sidecars", 1.0).unwrap_or_default()),
        figure(target.variable("endpoints", 1.0).unwrap_or_default()),
        figure(target.variable("services", 1.0).unwrap_or_default()),
        figure(target.variable("calls_total", 1.0).unwrap_or_default()),
        figure(target.variable("depth", 1.0).unwrap_or_default()),
        figure(target.value("changes_per_day").unwrap_or_default()),
    );
    first_missing(slopes, target, &mut out);
    breaks(slopes, target, &mut out);
    both_ways(slopes, target, &mut out);
    for role in &ROLES {
        role_table(role, slopes, target, &mut out);
    }
    honest(slopes, &mut out);
    event_table(slopes, target, &mut out);
    law_table(slopes, target, &mut out);
    out
}

/// A figure with its unit, and where it comes from, in a sentence.
fn spoken(f: &Figure, unit: &str) -> String {
    let unit = match unit {
        "1/s" => " a second".into(),
        "" => String::new(),
        unit => format!(" {unit}"),
    };
    let from = match f.source() {
        Source::Measured => "measured",
        Source::Simulated => "simulated",
        Source::Assumed => "assumed",
    };
    format!("{}{}{unit} ({from})", figure(f.at(1.0)), plus_minus(f))
}

fn in_words(b: &Breaking, slopes: &Slopes, target: &Target) -> String {
    let role = b.role.title.split(':').next().unwrap_or_default();
    let what = format!("{role}: {}", b.row.title);
    let budget = format!("{} {}", figure(b.budget), b.row.unit);
    let Some(f) = &b.figure else {
        // What the role would have to carry, where the row itself has nothing to show.
        let sent = b.role.rows.iter().find(|r| r.parts == ["messages-out"]);
        let sent = sent.and_then(|row| {
            Some((
                Figure::find(slopes, target, b.role, row, "ordinary")?,
                row.unit,
            ))
        });
        let load = sent.map_or(String::new(), |(f, unit)| {
            format!("; {} would have to go out", spoken(&f, unit))
        });
        return format!(
            "{what}: {budget} allowed, no figure{load}; {}",
            carried(b.row.carried)
        );
    };
    let passes = format!("passed at {}", size_of(b, target));
    format!(
        "{what}, {}: {} for a budget of {budget}, x{}, {passes}; {}",
        b.condition,
        spoken(f, b.row.unit),
        figure(f.at(1.0) / b.budget),
        carried(b.row.carried)
    )
}

fn first_missing(slopes: &Slopes, target: &Target, out: &mut String) {
    let all = breaking(slopes, target);
    let _ = writeln!(
        out,
        "\n### The first missing mechanism, and the three rows after it\n"
    );
    let missing = |b: &Breaking| b.row.carried.file.is_none() && !b.row.otherwise;
    let Some(at) = all.iter().position(missing) else {
        let _ = writeln!(out, "No row with a budget is without a mechanism.");
        return;
    };
    let first = &all[at];
    let _ = writeln!(
        out,
        "1. **Missing first.** {}.",
        in_words(first, slopes, target)
    );
    // One row of a role: others of it stand in the table below.
    let mut seen = vec![first.role.key];
    for b in &all {
        let key = b.role.key;
        let passed = b.figure.is_some() && !b.row.otherwise;
        if seen.len() < 4 && passed && !seen.contains(&key) {
            seen.push(key);
            let _ = writeln!(out, "{}. {}.", seen.len(), in_words(b, slopes, target));
        }
    }
}

/// Which rows pass their budgets between two multiples of the size.
fn passed_between(all: &[Breaking], from: Option<f64>, to: f64) -> String {
    let passes = |b: &&Breaking| {
        let over = |times: f64| b.figure.as_ref().is_some_and(|f| f.at(times) > b.budget);
        over(to) && from.is_none_or(|from| !over(from))
    };
    let names: Vec<String> = all
        .iter()
        .filter(passes)
        .map(|b| format!("{}: {} ({})", b.role.key, b.row.title, b.condition))
        .collect();
    if names.is_empty() {
        "none".into()
    } else {
        names.join("; ")
    }
}

fn breaks(slopes: &Slopes, target: &Target, out: &mut String) {
    let all = breaking(slopes, target);
    let _ = writeln!(
        out,
        "\n### What breaks first\n\n- Over the budget at the target's size: {}.\n- At twice the size also: {}.\n- At five \
         times also: {}.\n- Without any figure: {}.",
        passed_between(&all, None, 1.0),
        passed_between(&all, Some(1.0), 2.0),
        passed_between(&all, Some(2.0), 5.0),
        all.iter()
            .filter(|b| b.figure.is_none())
            .map(|b| format!("{}: {}", b.role.key, b.row.title))
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
    for b in &all {
        let at = |times: f64| {
            b.figure.as_ref().map_or("-".into(), |f| {
                if times > 1.0 && f.one_size() {
                    return "not known".into();
                }
                let value = figure(f.at(times) / b.budget);
                if f.at(times) > b.budget {
                    format!("**{value}**")
                } else {
                    value
                }
            })
        };
        let unknown = b.figure.as_ref().is_some_and(Figure::one_size);
        let _ = writeln!(
            out,
            "| {} | {}, {} | {} | {}{} | {} | {} | {} | {} | {} | {} |",
            b.role.key,
            b.row.title,
            if b.row.otherwise {
                format!("{} (other reading)", b.row.unit)
            } else {
                b.row.unit.into()
            },
            b.condition,
            told(b.figure.as_ref(), 1.0),
            if unknown { " =" } else { "" },
            figure(b.budget),
            at(1.0),
            at(2.0),
            at(5.0),
            size_of(b, target),
            carried(b.row.carried)
        );
    }
}

/// Readings that the target leaves open, counted both ways.
fn both_ways(slopes: &Slopes, target: &Target, out: &mut String) {
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
        figure(calls),
        figure(calls * depth)
    );
    let call_path = &ROLES[0];
    let outer = target.with_calls_times(depth);
    let cpu = |target| {
        let row = call_path.rows.iter().find(|r| r.parts == ["cpu"])?;
        Some(told(
            Figure::find(slopes, target, call_path, row, "ordinary").as_ref(),
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
    let with = |part: &[&str]| control.rows.iter().find(|r| r.parts == part);
    for (condition, words) in [("rest", "at rest"), ("ordinary", "at the ordinary rate")] {
        let find = |part: &[&str]| {
            with(part).and_then(|row| Figure::find(slopes, target, control, row, condition))
        };
        let apart = find(&["bytes-in", "bytes-out"]);
        let both = find(&["bytes-in", "bytes-out", "probe-bytes"]);
        if apart.is_some() || both.is_some() {
            let _ = writeln!(
                out,
                "| control bytes a second, in and out, {words}: probes apart, or a probe is control | {} | {} |",
                told(apart.as_ref(), 1.0),
                told(both.as_ref(), 1.0)
            );
        }
        let (inward, outward) = (find(&["bytes-in"]), find(&["bytes-out"]));
        if let (Some(inward), Some(outward)) = (inward, outward) {
            let most = if inward.at(1.0) > outward.at(1.0) {
                &inward
            } else {
                &outward
            };
            let _ = writeln!(
                out,
                "| control bytes a second, {words}: the budget is for each way, or for both together | {} | {} |",
                told(Some(most), 1.0),
                told(apart.as_ref(), 1.0)
            );
        }
    }
    let cut = value("region_cut");
    let limit = target.value("change_in_force").unwrap_or_default();
    let _ = writeln!(
        out,
        "| a change made while a region is cut off is in force everywhere after, s: the clock stands for who can't be \
         reached, or runs | {} from the healing | {}, so {} changes a cut miss it |",
        figure(limit),
        figure(cut),
        figure(value("changes_per_second") * cut)
    );
    let gone = target.value("machines_per_day").unwrap_or_default();
    let _ = writeln!(
        out,
        "| everywhere while machines are down, sidecars: those that run, or all | {} | {} |",
        figure(sidecars - gone),
        figure(sidecars)
    );
}

fn role_table(role: &Role, slopes: &Slopes, target: &Target, out: &mut String) {
    let _ = writeln!(
        out,
        "\n### {}\n\n| state: what it holds | grows by | bounded by |\n| --- | --- | --- |",
        role.title
    );
    for (what, grows, bound) in role.state {
        let _ = writeln!(out, "| {what} | {grows} | {} |", carried(*bound));
    }
    let _ = writeln!(
        out,
        "\n| figure | at rest | ordinary rate | worst second of an event | while it comes back | played | budget | ratio, \
         usual | ratio, worst | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for row in role.rows {
        let rest = Figure::find(slopes, target, role, row, "rest");
        let ordinary = Figure::find(slopes, target, role, row, "ordinary");
        let (event, back) = (
            worst(slopes, target, role, row, "event"),
            worst(slopes, target, role, row, "return"),
        );
        let named = |found: &Option<(String, Figure)>| match found {
            Some((title, f)) => format!("{} ({title})", told(Some(f), 1.0)),
            None => "not measured".into(),
        };
        let budget = budget(row, target);
        let ratio = |figures: &[Option<&Figure>]| {
            let most = figures.iter().flatten().map(|f| f.at(1.0)).reduce(f64::max);
            match (most, budget) {
                (Some(most), Some(budget)) => figure(most / budget),
                (None, Some(_)) => "not known".into(),
                (_, None) => "-".into(),
            }
        };
        let played = [&ordinary, &rest]
            .into_iter()
            .flatten()
            .find_map(Figure::played);
        let _ = writeln!(
            out,
            "| {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.title,
            if row.unit.is_empty() {
                String::new()
            } else {
                format!(", {}", row.unit)
            },
            told(rest.as_ref(), 1.0),
            told(ordinary.as_ref(), 1.0),
            named(&event),
            named(&back),
            played.map_or("-".into(), figure),
            budget.map_or("none in the target".into(), figure),
            ratio(&[rest.as_ref(), ordinary.as_ref()]),
            ratio(&[event.as_ref().map(|e| &e.1), back.as_ref().map(|b| &b.1)]),
            carried(row.carried)
        );
    }
}

/// Mean of a law's points at so many sidecars.
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

/// Hollow sidecars beside real ones, wherever both were played at one size; nothing where none were.
fn honest(slopes: &Slopes, out: &mut String) {
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
                let word = match off {
                    _ if !off.is_finite() => "no telling".into(),
                    off if off.abs() <= 10.0 => format!("within a tenth ({off:+.1}%)"),
                    off => {
                        format!(
                            "**{}% too {}**",
                            figure(off.abs()),
                            if off < 0.0 { "low" } else { "high" }
                        )
                    }
                };
                let _ = writeln!(
                    rows,
                    "| {} | {}, {} | {} | {} | {} | {} | {word} |",
                    real.role,
                    real.quantity,
                    real.unit,
                    real.condition,
                    figure(size),
                    figure(a),
                    figure(b)
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

fn event_table(slopes: &Slopes, target: &Target, out: &mut String) {
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
                let found = Figure::find(slopes, target, role, row, &format!("{prefix}:{key}"));
                found.map(|f| told(Some(&f), 1.0))
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

/// What points were taken at.
fn word(value: &Value) -> String {
    match (value.as_f64(), value.as_str()) {
        (Some(number), _) => figure(number),
        (None, Some(text)) => text.into(),
        (None, None) => value.to_string(),
    }
}

fn law_text(law: &Law) -> String {
    if law.by.is_empty() || law.form == Form::Constant {
        return figure(law.constant);
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
        figure(law.constant),
        figure(law.slope.abs())
    )
}

fn law_table(slopes: &Slopes, target: &Target, out: &mut String) {
    let _ = writeln!(
        out,
        "\n### Laws, what they were fitted to, and their error\n\nThe error is the root of the mean squared residual. Of one \
         size: a mean, no law. Of two: a line through both, without a check.\n\n\
         | role | quantity | condition | statistic | of | law | points: size: figure | error | at the target | played there | \
         run: seed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let error_of = |law: &Law| match (told_error(slopes, law, target), law.error) {
        (Some(told), _) => format!("+- {} (two standard errors)", figure(told)),
        (None, Some(_)) if law.points.len() == 1 => "one point".into(),
        (None, Some(_)) if law.points.len() == 2 && law.form != Form::Constant => {
            "a line through both".into()
        }
        (None, error) => error.map_or("-".into(), figure),
    };
    let shown = |l: &&Law| l.source != Source::Assumed && !l.quantity.ends_with("-error");
    for law in slopes.laws.iter().filter(shown) {
        let points: Vec<String> = law
            .points
            .iter()
            .map(|p| format!("{}: {}", figure(p.x), figure(p.value)))
            .collect();
        let points = match law.by.is_empty() {
            true => law.points.iter().map(|p| figure(p.value)).collect(),
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
            .map(|(k, v)| format!("{} {}", k.replace('_', " "), word(v)))
            .collect();
        let _ = writeln!(
            out,
            "| {} | {}, {}{} | {} | {} | {}{}{} | {} | {} | {} | {} | {} | {} |",
            law.role,
            law.quantity,
            law.unit,
            mark(law.source),
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
            law.at(target, 1.0).map_or("-".into(), figure),
            law.played(target).map_or("-".into(), figure),
            runs.join(", ")
        );
    }
    let _ = writeln!(
        out,
        "\n| run | file | command | commit | seed | |\n| --- | --- | --- | --- | --- | --- |"
    );
    for (n, run) in slopes.runs.iter().enumerate() {
        let word = if run.simulated {
            "simulated"
        } else {
            "on sockets"
        };
        let _ = writeln!(
            out,
            "| {} | `capacity/points/{}` | `{}` | {} | {} | {word} |",
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
            law.at(target, 1.0).map_or("-".into(), figure),
            law.why
        );
    }
}

/// A page with other tables between the marks; none where the marks are not there once each, in order.
pub fn with_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    (!after.contains(BEGIN) && !after.contains(END) && !before.contains(END))
        .then(|| format!("{before}{BEGIN}\n\n{}\n{END}{after}", tables.trim_end()))
}

/// Everything worked out, for other programs.
pub fn json(slopes: &Slopes, target: &Target) -> Value {
    let of = |f: &Figure, budget: Option<f64>| {
        json!({
            "value": f.at(1.0), "twice": f.at(2.0), "five_times": f.at(5.0), "played": f.played(), "source": f.source(),
            "ratio": budget.map(|b| f.at(1.0) / b),
            "passes_at_sidecars": budget.and_then(|b| f.passes(b)).and_then(|t| target.variable("sidecars", t)),
        })
    };
    let mut rows = Vec::new();
    for role in &ROLES {
        for row in role.rows {
            let budget = budget(row, target);
            let mut conditions = serde_json::Map::new();
            let events = events(slopes);
            let names = events
                .iter()
                .flat_map(|(key, _)| [format!("event:{key}"), format!("return:{key}")]);
            for condition in ["rest".to_string(), "ordinary".to_string()]
                .into_iter()
                .chain(names)
            {
                if let Some(f) = Figure::find(slopes, target, role, row, &condition) {
                    conditions.insert(condition, of(&f, budget));
                }
            }
            rows.push(json!({
                "role": role.key, "title": row.title, "quantities": row.parts, "unit": row.unit, "budget": budget,
                "mechanism": row.carried.file.map(|_| row.carried.what), "file": row.carried.file,
                "conditions": conditions,
            }));
        }
    }
    json!({ "target": target, "rows": rows, "laws": slopes.laws, "runs": slopes.runs })
}
