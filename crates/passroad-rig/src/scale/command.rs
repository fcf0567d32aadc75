//! `passroad-rig scale`: reads files, prints what they require of the machine, runs them, and writes the points.

use super::{MachineResources, Point, Requirements, ScalePlan};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Runs all files; returns whether all their conditions hold.
///
/// # Errors
/// One line: an error in a file with its line and key, a requirement that exceeds the machine, or a process that failed to
/// start.
pub fn run(
    files: &[PathBuf],
    sidecars: Option<usize>,
    seeds: Option<Vec<u64>>,
    json: Option<&Path>,
    commit: &str,
) -> Result<bool, String> {
    let parse = |file: &PathBuf| {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        super::plan::parse(&text, sidecars).map_err(|error| format!("{}: {error}", file.display()))
    };
    let mut plans = files
        .iter()
        .map(parse)
        .collect::<Result<Vec<ScalePlan>, _>>()?;
    let machine = MachineResources::read();
    for (file, plan) in files.iter().zip(&mut plans) {
        plan.seeds = seeds.clone().unwrap_or_else(|| plan.seeds.clone());
        let largest = plan.sizes.iter().copied().max().unwrap_or_default();
        let requirements = Requirements::new(plan, largest);
        println!(
            "{}, {largest} sidecars: {}",
            file.display(),
            requirements.summary(&machine)
        );
        if let Some(exceeded) = requirements.first_exceeded(&machine) {
            return Err(format!("{}: does not fit: {exceeded}", file.display()));
        }
    }
    let program = std::env::current_exe().map_err(|e| format!("this executable: {e}"))?;
    let mut all_hold = true;
    let mut points: BTreeMap<u64, Vec<Point>> = BTreeMap::new();
    for (file, plan) in files.iter().zip(&plans) {
        for seed in &plan.seeds {
            for size in &plan.sizes {
                println!(
                    "{}: {}; {size} sidecars, seed {seed}",
                    file.display(),
                    plan.about
                );
                let result = super::run_size(plan, *size, *seed, &program)?;
                result.lines.iter().for_each(|line| println!("{line}"));
                for (line, holds) in plan.evaluate_holds(&result.figures) {
                    println!("{} {line}", if holds { "holds: " } else { "BROKEN:" });
                    all_hold &= holds;
                }
                let points_of_seed = points.entry(*seed).or_default();
                points_of_seed.extend(result.points);
                // Written after each size, so that a later failure does not lose the points of earlier sizes.
                if let Some(path) = json {
                    let path = path
                        .display()
                        .to_string()
                        .replace("{seed}", &seed.to_string());
                    write_atomically(
                        Path::new(&path),
                        &points_json(file, commit, *seed, points_of_seed)?,
                    )?;
                }
            }
        }
    }
    Ok(all_hold)
}

/// The points as JSON, one line each.
fn points_json(file: &Path, commit: &str, seed: u64, points: &[Point]) -> Result<String, String> {
    let to_text = |e: serde_json::Error| e.to_string();
    let lines = points
        .iter()
        .map(|point| serde_json::to_string(point).map_err(to_text));
    let lines = lines.collect::<Result<Vec<_>, _>>()?.join(",\n  ");
    let run = serde_json::to_string(&format!(
        "passroad-rig scale {} --seeds {seed}",
        file.display()
    ));
    let (run, commit) = (
        run.map_err(to_text)?,
        serde_json::to_string(commit).map_err(to_text)?,
    );
    Ok(format!(
        "{{\"run\": {run}, \"commit\": {commit}, \"seed\": {seed}, \"simulated\": false, \"points\": [\n  {lines}\n]}}\n"
    ))
}

/// Writes the whole file or nothing: a full disk must not leave a truncated file behind.
fn write_atomically(path: &Path, text: &str) -> Result<(), String> {
    let describe = |what: &str, e: std::io::Error| format!("{what} {}: {e}", path.display());
    if let Some(folder) = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
    {
        std::fs::create_dir_all(folder).map_err(|e| describe("cannot create the folder of", e))?;
    }
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(|e| describe("cannot write the points to", e))
}
