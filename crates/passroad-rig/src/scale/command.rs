//! `passroad-rig scale`: reads files, tells what they need, plays them, and writes the points.

use super::{Machine, Need, Point, ScalePlan};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Whether all that the files ask for held.
///
/// # Errors
/// One line: what is wrong with a file, by its line and key; what does not fit the machine; what did not come up.
pub fn run(
    files: &[PathBuf],
    sidecars: Option<usize>,
    seeds: Option<Vec<u64>>,
    json: Option<&Path>,
    commit: &str,
) -> Result<bool, String> {
    let read = |file: &PathBuf| {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        super::plan::read(&text, sidecars).map_err(|wrong| format!("{}: {wrong}", file.display()))
    };
    let mut plans = files
        .iter()
        .map(read)
        .collect::<Result<Vec<ScalePlan>, _>>()?;
    let machine = Machine::look();
    for (file, plan) in files.iter().zip(&mut plans) {
        plan.seeds = seeds.clone().unwrap_or_else(|| plan.seeds.clone());
        let most = plan.sizes.iter().copied().max().unwrap_or_default();
        let need = Need::of(plan, most);
        println!(
            "{}, {most} sidecars: {}",
            file.display(),
            need.text(&machine)
        );
        if let Some(what) = need.refused(&machine) {
            return Err(format!("{}: does not fit: {what}", file.display()));
        }
    }
    let program = std::env::current_exe().map_err(|e| format!("this executable: {e}"))?;
    let mut good = true;
    let mut points: BTreeMap<u64, Vec<Point>> = BTreeMap::new();
    for (file, plan) in files.iter().zip(&plans) {
        for seed in &plan.seeds {
            for size in &plan.sizes {
                println!(
                    "{}: {}; {size} sidecars, seed {seed}",
                    file.display(),
                    plan.about
                );
                let played = super::play(plan, *size, *seed, &program)?;
                played.lines.iter().for_each(|line| println!("{line}"));
                for (line, held) in plan.judge(&played.figures) {
                    println!("{} {line}", if held { "holds: " } else { "BROKEN:" });
                    good &= held;
                }
                let all = points.entry(*seed).or_default();
                all.extend(played.points);
                // After each size: what a later one fails by must not cost the figures of these.
                if let Some(path) = json {
                    let path = path
                        .display()
                        .to_string()
                        .replace("{seed}", &seed.to_string());
                    write(Path::new(&path), &text(file, commit, *seed, all)?)?;
                }
            }
        }
    }
    Ok(good)
}

/// A line for each point.
fn text(file: &Path, commit: &str, seed: u64, points: &[Point]) -> Result<String, String> {
    let fault = |e: serde_json::Error| e.to_string();
    let lines = points
        .iter()
        .map(|point| serde_json::to_string(point).map_err(fault));
    let lines = lines.collect::<Result<Vec<_>, _>>()?.join(",\n  ");
    let run = serde_json::to_string(&format!(
        "passroad-rig scale {} --seeds {seed}",
        file.display()
    ));
    let (run, commit) = (
        run.map_err(fault)?,
        serde_json::to_string(commit).map_err(fault)?,
    );
    Ok(format!(
        "{{\"run\": {run}, \"commit\": {commit}, \"seed\": {seed}, \"simulated\": false, \"points\": [\n  {lines}\n]}}\n"
    ))
}

/// Whole or not at all: a disk that is full must not leave half a file behind.
fn write(path: &Path, text: &str) -> Result<(), String> {
    let at = |what: &str, e: std::io::Error| format!("{what} {}: {e}", path.display());
    if let Some(folder) = path.parent().filter(|f| !f.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(|e| at("folder of", e))?;
    }
    let new = path.with_extension("new");
    std::fs::write(&new, text)
        .and_then(|()| std::fs::rename(&new, path))
        .map_err(|e| at("points", e))
}
