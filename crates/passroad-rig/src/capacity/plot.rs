//! An HTML page with a curve for each row that has a budget, and the budget as a line.

use super::number_format::format_number;
use super::ranking::rank_rows;
use super::slopes::{Slopes, Source};
use super::target::Target;
use crate::html::escape;
use std::fmt::Write;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 200.0;
const LEFT_MARGIN: f64 = 70.0;
const BOTTOM_MARGIN: f64 = 24.0;
const CURVE_STEPS: usize = 60;
/// Curves are drawn up to this multiple of the target.
const MAX_MULTIPLE: f64 = 5.0;
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:820px;color:#222}\
h2{margin-top:1.6em;font-size:16px}svg{background:#fbfbfb}text{font-size:11px;fill:#555}p{margin:.3em 0}";

/// A self-contained page without scripts or external resources.
pub fn page(slopes: &Slopes, target: &Target) -> String {
    let mut out = String::new();
    let title = escape(&target.about);
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p>Each figure over the number of sidecars, up to {MAX_MULTIPLE} times the target; red: its budget; grey: \
         the target. What breaks first comes first.</p>"
    );
    for ranked in rank_rows(slopes, target) {
        let heading = format!(
            "{}: {}, {}",
            ranked.role.title, ranked.row.title, ranked.condition
        );
        let _ = write!(out, "<h2>{}</h2>", escape(&heading));
        let Some(estimate) = &ranked.estimate else {
            let _ = write!(
                out,
                "<p>Not measured; the budget is {} {}.</p>",
                format_number(ranked.budget),
                ranked.row.unit
            );
            continue;
        };
        let source = match estimate.source() {
            Source::Measured => "measured",
            Source::Simulated => "simulated",
            Source::Assumed => "assumed",
        };
        let curve: Vec<(f64, f64)> = (1..=CURVE_STEPS)
            .map(|n| n as f64 * MAX_MULTIPLE / CURVE_STEPS as f64)
            .map(|times| {
                (
                    target.variable("sidecars", times).unwrap_or_default(),
                    estimate.value_at(times),
                )
            })
            .collect();
        let max_value = curve.iter().map(|p| p.1).fold(ranked.budget, f64::max) * 1.05;
        let max_sidecars = curve.last().map_or(1.0, |p| p.0);
        let x = |sidecars: f64| LEFT_MARGIN + sidecars / max_sidecars * (WIDTH - LEFT_MARGIN - 8.0);
        let y = |value: f64| 8.0 + (1.0 - value / max_value) * (HEIGHT - BOTTOM_MARGIN - 8.0);
        let _ = write!(
            out,
            "<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">"
        );
        let target_x = x(target.variable("sidecars", 1.0).unwrap_or_default());
        let (low, right) = (HEIGHT - BOTTOM_MARGIN, WIDTH - 8.0);
        let _ = write!(
            out,
            "<line x1=\"{target_x:.1}\" x2=\"{target_x:.1}\" y1=\"8\" y2=\"{low}\" stroke=\"#bbb\"/>\
             <line x1=\"{LEFT_MARGIN}\" x2=\"{right}\" y1=\"{0:.1}\" y2=\"{0:.1}\" stroke=\"#d1495b\"/>\
             <text x=\"{1}\" y=\"{2:.1}\" text-anchor=\"end\">{3}</text><text x=\"{1}\" y=\"{low}\" \
             text-anchor=\"end\">0</text>",
            y(ranked.budget),
            LEFT_MARGIN - 6.0,
            y(ranked.budget) + 4.0,
            format_number(ranked.budget)
        );
        for times in 0..=5 {
            let sidecars = target
                .variable("sidecars", f64::from(times))
                .unwrap_or_default();
            let _ = write!(
                out,
                "<text x=\"{:.1}\" y=\"{}\" text-anchor=\"middle\">{}</text>",
                x(sidecars),
                HEIGHT - 6.0,
                format_number(sidecars)
            );
        }
        let path: Vec<String> = curve
            .iter()
            .map(|p| format!("{:.1},{:.1}", x(p.0), y(p.1)))
            .collect();
        let _ = write!(
            out,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"#1b6ca8\" stroke-width=\"1.6\"/></svg>\
             <p>{source}: {} {} at the target, budget {}</p>",
            path.join(" "),
            format_number(estimate.value_at(1.0)),
            escape(ranked.row.unit),
            format_number(ranked.budget)
        );
    }
    out + "</html>\n"
}
