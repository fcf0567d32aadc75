//! Capacity planning: scaling laws fitted to measured points, a target size with budgets, and the tables of the capacity
//! page computed from both.

pub mod estimate;
pub mod fit;
pub mod number_format;
pub mod page;
pub mod plot;
pub mod ranking;
mod report;
pub mod roles;
pub mod simulate;
pub mod slopes;
pub mod target;

use std::path::{Path, PathBuf};
use target::Target;

const SLOPES: &str = "capacity/slopes.json";
const TARGET: &str = "capacity/target.toml";
const POINTS: &str = "capacity/points";
const ASSUMED: &str = "capacity/assumed.toml";
const PAGE: &str = "docs/CAPACITY.md";

/// Arguments of `passroad-rig capacity`.
#[derive(clap::Args)]
pub struct CapacityArgs {
    /// Print the tables for another installation's size and budgets; the page is not changed.
    #[arg(long, value_name = "FILE")]
    target: Option<PathBuf>,
    /// Fit the laws to the points again and write them, with the assumed laws.
    #[arg(long, conflicts_with_all = ["check", "target"])]
    fit: bool,
    /// Write nothing; fail if the laws differ from those fitted to the points, or the page's tables from those computed.
    #[arg(long, conflicts_with_all = ["json", "html", "target"])]
    check: bool,
    /// Write all estimates as JSON to this file, - for standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write an HTML page with a curve for each row that has a budget.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Simulate this experiment in virtual time and write its points to the file of --json; {seed} in its name is replaced by
    /// the seed.
    #[arg(long, value_name = "FILE", requires = "json", conflicts_with_all = ["fit", "check", "target", "html"])]
    simulate: Option<PathBuf>,
    /// Numbers of sidecars for --simulate, with endpoints and load in proportion; by default as in the file.
    #[arg(long, value_delimiter = ',', requires = "simulate")]
    sizes: Vec<usize>,
    /// Seeds for --simulate.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1",
        requires = "simulate"
    )]
    seeds: Vec<u64>,
    /// Commit of the simulated program, for --simulate.
    #[arg(long, default_value = "unknown", requires = "simulate")]
    commit: String,
    /// The folder that holds capacity/ and docs/.
    #[arg(long, value_name = "FOLDER", default_value = ".")]
    root: PathBuf,
}

fn read_target(path: &Path) -> Result<Target, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    target::read(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Runs the command; returns whether a check passed. An error names the input that can't be used.
pub fn run(
    args: &CapacityArgs,
    write: impl Fn(&Path, &str) -> Result<(), String>,
) -> Result<bool, String> {
    if let (Some(file), Some(path)) = (&args.simulate, &args.json) {
        for seed in &args.seeds {
            let points = simulate::points(file, &args.sizes, *seed, &args.commit)?;
            let text = serde_json::to_string_pretty(&points).map_err(|e| e.to_string())?;
            let path = path
                .display()
                .to_string()
                .replace("{seed}", &seed.to_string());
            write(Path::new(&path), &(text + "\n"))?;
        }
        return Ok(true);
    }
    let path_of = |name: &str| args.root.join(name);
    let target = read_target(args.target.as_deref().unwrap_or(&path_of(TARGET)))?;
    let fitted_text = || -> Result<String, String> {
        let assumed = slopes::read_assumed(&path_of(ASSUMED), &target)?;
        slopes::text(&slopes::fit_laws(
            &slopes::read_points(&path_of(POINTS))?,
            assumed,
        ))
    };
    if args.fit {
        write(&path_of(SLOPES), &fitted_text()?)?;
    }
    let slopes = slopes::read(&path_of(SLOPES))?;
    if args.check {
        let text =
            |name: &str| std::fs::read_to_string(path_of(name)).map_err(|e| format!("{name}: {e}"));
        let mut matches = is_same(SLOPES, &text(SLOPES)?, &fitted_text()?);
        let old = text(PAGE)?;
        let new =
            page::with_tables(&old, &page::tables(&slopes, &target)).ok_or_else(missing_marks)?;
        matches &= is_same(PAGE, &old, &new);
        if matches {
            println!("{PAGE}: the tables match {SLOPES} and {TARGET}");
        }
        return Ok(matches);
    }
    let to_stdout = args.json.as_deref() == Some(Path::new("-"));
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report::json(&slopes, &target))
            .map_err(|e| e.to_string())?;
        match to_stdout {
            true => println!("{text}"),
            false => write(path, &(text + "\n"))?,
        }
    }
    if let Some(path) = &args.html {
        write(path, &plot::page(&slopes, &target))?;
    }
    let tables = page::tables(&slopes, &target);
    if args.target.is_some() {
        if !to_stdout {
            print!("{tables}");
        }
        return Ok(true);
    }
    if args.json.is_none() && args.html.is_none() {
        let old = std::fs::read_to_string(path_of(PAGE)).map_err(|e| format!("{PAGE}: {e}"))?;
        write(
            &path_of(PAGE),
            &page::with_tables(&old, &tables).ok_or_else(missing_marks)?,
        )?;
        println!("{PAGE}: written from {SLOPES} and {TARGET}");
    }
    Ok(true)
}

fn missing_marks() -> String {
    format!(
        "{PAGE}: each of these marks has to occur once, in this order: {} and {}",
        page::BEGIN,
        page::END
    )
}

/// Whether the texts are equal; prints the first line that differs.
fn is_same(name: &str, old: &str, new: &str) -> bool {
    if old == new {
        return true;
    }
    let differs = old.lines().zip(new.lines()).position(|(a, b)| a != b);
    let line = differs.unwrap_or_else(|| old.lines().count().min(new.lines().count()));
    println!(
        "{name}: line {} differs from the computed text; passroad-rig capacity --fit writes it",
        line + 1
    );
    if let (Some(a), Some(b)) = (old.lines().nth(line), new.lines().nth(line)) {
        println!("  found:    {a}\n  computed: {b}");
    }
    false
}
