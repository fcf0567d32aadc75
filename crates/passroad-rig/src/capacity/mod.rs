//! What an installation of a given size needs: laws fitted to points of runs, a target, and the tables of the page that
//! they make.

pub mod fit;
pub mod page;
pub mod plot;
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

/// What `passroad-rig capacity` is told.
#[derive(clap::Args)]
pub struct Told {
    /// Another installation's size and budgets; its tables are printed, the page stays.
    #[arg(long, value_name = "FILE")]
    target: Option<PathBuf>,
    /// Fit anew: write the laws from the points and from what is assumed.
    #[arg(long, conflicts_with_all = ["check", "target"])]
    fit: bool,
    /// Change nothing; fail where the laws are not those of the points, or the page's tables not those of the laws.
    #[arg(long, conflicts_with_all = ["json", "html", "target"])]
    check: bool,
    /// Write all that is worked out as JSON to this file, - for standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with each figure's curve and its budget as a line.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Play this experiment in virtual time and write its points to the file of --json, {seed} in its name being the seed.
    #[arg(long, value_name = "FILE", requires = "json", conflicts_with_all = ["fit", "check", "target", "html"])]
    simulate: Option<PathBuf>,
    /// Of --simulate: so many sidecars, endpoints and load in proportion; else as the file says.
    #[arg(long, value_delimiter = ',', requires = "simulate")]
    sizes: Vec<usize>,
    /// Of --simulate.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1",
        requires = "simulate"
    )]
    seeds: Vec<u64>,
    /// Of --simulate: the commit of what was played.
    #[arg(long, default_value = "unknown", requires = "simulate")]
    commit: String,
    /// The folder that holds capacity/ and docs/.
    #[arg(long, value_name = "FOLDER", default_value = ".")]
    root: PathBuf,
}

fn read_target(path: &Path) -> Result<Target, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    target::read(&text).map_err(|wrong| format!("{}: {wrong}", path.display()))
}

/// Whether all held; a fault names what can't be used.
pub fn act(told: &Told, write: impl Fn(&Path, &str) -> Result<(), String>) -> Result<bool, String> {
    if let (Some(file), Some(path)) = (&told.simulate, &told.json) {
        for seed in &told.seeds {
            let points = simulate::points(file, &told.sizes, *seed, &told.commit)?;
            let text = serde_json::to_string_pretty(&points).map_err(|e| e.to_string())?;
            let path = path
                .display()
                .to_string()
                .replace("{seed}", &seed.to_string());
            write(Path::new(&path), &(text + "\n"))?;
        }
        return Ok(true);
    }
    let at = |name: &str| told.root.join(name);
    let target = read_target(told.target.as_deref().unwrap_or(&at(TARGET)))?;
    let fitted = || -> Result<String, String> {
        let assumed = slopes::read_assumed(&at(ASSUMED), &target)?;
        slopes::text(&slopes::from_points(
            &slopes::read_points(&at(POINTS))?,
            assumed,
        ))
    };
    if told.fit {
        write(&at(SLOPES), &fitted()?)?;
    }
    let slopes = slopes::read(&at(SLOPES))?;
    if told.check {
        let text =
            |name: &str| std::fs::read_to_string(at(name)).map_err(|e| format!("{name}: {e}"));
        let mut good = same(SLOPES, &text(SLOPES)?, &fitted()?);
        let old = text(PAGE)?;
        let new = page::with_tables(&old, &page::tables(&slopes, &target)).ok_or_else(no_marks)?;
        good &= same(PAGE, &old, &new);
        if good {
            println!("{PAGE}: its tables are those of {SLOPES} and {TARGET}");
        }
        return Ok(good);
    }
    let on_output = told.json.as_deref() == Some(Path::new("-"));
    if let Some(path) = &told.json {
        let text = serde_json::to_string_pretty(&page::json(&slopes, &target))
            .map_err(|e| e.to_string())?;
        match on_output {
            true => println!("{text}"),
            false => write(path, &(text + "\n"))?,
        }
    }
    if let Some(path) = &told.html {
        write(path, &plot::page(&slopes, &target))?;
    }
    let tables = page::tables(&slopes, &target);
    if told.target.is_some() {
        if !on_output {
            print!("{tables}");
        }
        return Ok(true);
    }
    if told.json.is_none() && told.html.is_none() {
        let old = std::fs::read_to_string(at(PAGE)).map_err(|e| format!("{PAGE}: {e}"))?;
        write(
            &at(PAGE),
            &page::with_tables(&old, &tables).ok_or_else(no_marks)?,
        )?;
        println!("{PAGE}: written from {SLOPES} and {TARGET}");
    }
    Ok(true)
}

fn no_marks() -> String {
    format!(
        "{PAGE}: the marks are not there once each: {} and {}",
        page::BEGIN,
        page::END
    )
}

/// Tells the first line that differs.
fn same(name: &str, old: &str, new: &str) -> bool {
    if old == new {
        return true;
    }
    let differs = old.lines().zip(new.lines()).position(|(a, b)| a != b);
    let line = differs.unwrap_or_else(|| old.lines().count().min(new.lines().count()));
    println!(
        "{name}: line {} is not what the figures make; passroad-rig capacity --fit writes it",
        line + 1
    );
    if let (Some(a), Some(b)) = (old.lines().nth(line), new.lines().nth(line)) {
        println!("  there: {a}\n  made:  {b}");
    }
    false
}
