//! The page as HTML: the tables that have a budget, and each figure's curve with its budget as a line.

use super::page::{breaking, figure};
use super::slopes::{Slopes, Source};
use super::target::Target;
use crate::html::escape;
use std::fmt::Write;

const WIDE: f64 = 720.0;
const HIGH: f64 = 200.0;
const LEFT: f64 = 70.0;
const BELOW: f64 = 24.0;
const STEPS: usize = 60;
/// Curves are drawn up to so many times the target.
const FAR: f64 = 5.0;
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:820px;color:#222}\
h2{margin-top:1.6em;font-size:16px}svg{background:#fbfbfb}text{font-size:11px;fill:#555}p{margin:.3em 0}";

/// A page that needs nothing else.
pub fn page(slopes: &Slopes, target: &Target) -> String {
    let mut out = String::new();
    let title = escape(&target.about);
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p>Each figure over the number of sidecars, up to {FAR} times the target; red: its budget; grey: \
         the target. What breaks first comes first.</p>"
    );
    for b in breaking(slopes, target) {
        let heading = format!("{}: {}, {}", b.role.title, b.row.title, b.condition);
        let _ = write!(out, "<h2>{}</h2>", escape(&heading));
        let Some(f) = &b.figure else {
            let _ = write!(
                out,
                "<p>Not measured; the budget is {} {}.</p>",
                figure(b.budget),
                b.row.unit
            );
            continue;
        };
        let word = match f.source() {
            Source::Measured => "measured",
            Source::Simulated => "simulated",
            Source::Assumed => "assumed",
        };
        let curve: Vec<(f64, f64)> = (1..=STEPS)
            .map(|n| n as f64 * FAR / STEPS as f64)
            .map(|times| {
                (
                    target.variable("sidecars", times).unwrap_or_default(),
                    f.at(times),
                )
            })
            .collect();
        let top = curve.iter().map(|p| p.1).fold(b.budget, f64::max) * 1.05;
        let end = curve.last().map_or(1.0, |p| p.0);
        let x = |at: f64| LEFT + at / end * (WIDE - LEFT - 8.0);
        let y = |value: f64| 8.0 + (1.0 - value / top) * (HIGH - BELOW - 8.0);
        let _ = write!(out, "<svg width=\"{WIDE}\" height=\"{HIGH}\" role=\"img\">");
        let here = x(target.variable("sidecars", 1.0).unwrap_or_default());
        let (low, right) = (HIGH - BELOW, WIDE - 8.0);
        let _ = write!(
            out,
            "<line x1=\"{here:.1}\" x2=\"{here:.1}\" y1=\"8\" y2=\"{low}\" stroke=\"#bbb\"/>\
             <line x1=\"{LEFT}\" x2=\"{right}\" y1=\"{0:.1}\" y2=\"{0:.1}\" stroke=\"#d1495b\"/>\
             <text x=\"{1}\" y=\"{2:.1}\" text-anchor=\"end\">{3}</text><text x=\"{1}\" y=\"{low}\" \
             text-anchor=\"end\">0</text>",
            y(b.budget),
            LEFT - 6.0,
            y(b.budget) + 4.0,
            figure(b.budget)
        );
        for times in 0..=5 {
            let at = target
                .variable("sidecars", f64::from(times))
                .unwrap_or_default();
            let _ = write!(
                out,
                "<text x=\"{:.1}\" y=\"{}\" text-anchor=\"middle\">{}</text>",
                x(at),
                HIGH - 6.0,
                figure(at)
            );
        }
        let path: Vec<String> = curve
            .iter()
            .map(|p| format!("{:.1},{:.1}", x(p.0), y(p.1)))
            .collect();
        let _ = write!(
            out,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"#1b6ca8\" stroke-width=\"1.6\"/></svg>\
             <p>{word}: {} {} at the target, budget {}</p>",
            path.join(" "),
            figure(f.at(1.0)),
            escape(b.row.unit),
            figure(b.budget)
        );
    }
    out + "</html>\n"
}
