//! `passroad-rig`: experiments from files, played and judged.

use clap::{Parser, Subcommand};
use passroad_rig::added_latency::{self, ConnectionReuse, MeasurementConfig};
use passroad_rig::experiment::{self, POLICIES, Plan, SocketMode};
use passroad_rig::sockets::{self, Program};
use passroad_rig::{compare, report, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A stand-in fleet for passroad: load, faults, and a ledger of the rules.
///
/// `run` plays experiments and says whether what they ask for holds: 0 if all of it does, 1 if something does not,
/// 2 if something given can't be used.
#[derive(Parser)]
#[command(name = "passroad-rig", version)]
struct Told {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// See it work: two sidecars and six endpoints on loopback sockets, one of which fails in the middle. No file needed.
    Try {
        /// How long the load lasts.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(4..=600))]
        seconds: u64,
        #[command(flatten)]
        out: Out,
    },
    /// Play experiments and say whether what they ask for holds.
    Run {
        /// Files, as those under experiments/.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// In simulated time, or on loopback sockets against real sidecars; else as the file says, simulated if it says
        /// nothing. On sockets only passroad decides, and holds of others are passed over.
        #[arg(long, value_enum)]
        on: Option<On>,
        /// Play these seeds in place of the file's: 1,2,5 or 1..20.
        #[arg(long, value_parser = seeds)]
        seeds: Option<Seeds>,
        /// Let these decide in place of the file's: passroad, passroad-routes, random, round-robin, least-of-two,
        /// full-sight.
        #[arg(long, value_delimiter = ',')]
        policies: Vec<String>,
        /// Play so many instances in place of the file's; the load stays as it is.
        #[arg(long)]
        instances: Option<usize>,
        /// Simulated days played at the same time; the result is the same for any number.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Take the fence at the resource out, to see what it is for: of sidecars that talk.
        #[arg(long)]
        no_fence: bool,
        /// On sockets, start this program in place of the one built in: an earlier version, for example.
        #[arg(long, value_name = "PATH")]
        sidecar: Option<PathBuf>,
        /// On sockets, put the logs of the sidecars into this folder.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
        /// Print the module's log lines as well.
        #[arg(long)]
        lines: bool,
        #[command(flatten)]
        out: Out,
    },
    /// Set two JSON reports of one experiment side by side, paired by seed; says where there is no telling apart.
    Compare { before: PathBuf, after: PathBuf },
    /// Read experiments and say what is wrong with them.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print the configuration that a sidecar gets in an experiment, as a sample of one.
    Sample { file: Option<PathBuf> },
    /// Play histories of sidecars that talk, drawn at random, in simulated time, and say whether any breaks a promise.
    Histories {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 1000)]
        count: u64,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Take the fence at the resource out, to see what it is for.
        #[arg(long)]
        no_fence: bool,
    },
    /// Measure what a call gains in a sidecar: the same load straight to the endpoints and through it, by turns.
    AddedLatency(AddedLatency),
    /// Write the tables of docs/CAPACITY.md: what each role needs at the target's size, and what breaks first.
    Capacity(passroad_rig::capacity::CapacityArgs),
    /// Play scale runs: as many sidecars as a target has, hollow ones beside real ones, on loopback.
    Scale {
        /// Files, as experiments/scale-*.toml.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Play this size in place of the file's.
        #[arg(long)]
        sidecars: Option<usize>,
        /// Play these seeds in place of the file's: 1,2,5 or 1..3.
        #[arg(long, value_parser = seeds)]
        seeds: Option<Seeds>,
        /// Write the figures as points for the capacity page to this file; with {seed} in its name a file for each seed.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// What the figures are of: the short hash of the program's commit.
        #[arg(long, default_value = "unknown")]
        commit: String,
    },
    /// Be the process of some hundred hollow sidecars; it ends with its standard input.
    #[command(hide = true)]
    Hollow { folder: PathBuf },
    /// Run the sidecar itself, as the rig does on sockets; it reads LB_CONFIG and ends with its standard input.
    #[command(hide = true)]
    Sidecar,
}

#[derive(clap::Args)]
struct AddedLatency {
    /// Calls a second, one measurement each.
    #[arg(long, value_delimiter = ',', default_value = "230,920", value_parser = clap::value_parser!(u32).range(1..=20_000))]
    rate: Vec<u32>,
    /// Whether connections outlive a call: warm, cold.
    #[arg(long, value_delimiter = ',', default_value = "warm,cold", value_parser = connections)]
    connections: Vec<ConnectionReuse>,
    /// How long each arm has the load, all its turns together.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=600))]
    seconds: u32,
    /// How long one turn is, in milliseconds; the first fifth of it is not counted.
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(50..=10_000))]
    turn_ms: u32,
    /// Calls within calls, each with a sidecar of its own.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=9))]
    depth: u32,
    /// Endpoints of each tier.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=60))]
    endpoints: u32,
    /// Of a call at its endpoint, in milliseconds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=100))]
    work_ms: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only straight and as shipped, not the arms that say where the difference goes.
    #[arg(long)]
    no_parts: bool,
    /// Start this program in place of the one built in.
    #[arg(long, value_name = "PATH")]
    sidecar: Option<PathBuf>,
    /// Write points for slopes as JSON to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn connections(text: &str) -> Result<ConnectionReuse, String> {
    match text {
        "warm" => Ok(ConnectionReuse::Warm),
        "cold" => Ok(ConnectionReuse::Cold),
        _ => Err(format!("'{text}' is neither warm nor cold")),
    }
}

/// Whether every call was answered.
fn added(told: AddedLatency) -> Result<bool, String> {
    let asked = MeasurementConfig {
        rates: told.rate,
        connections: told.connections,
        // Two at least: of one there is no error.
        rounds: (told.seconds * 1000).div_ceil(told.turn_ms).max(2) as usize,
        slice: Duration::from_millis(u64::from(told.turn_ms)),
        depth: told.depth as usize,
        endpoints: told.endpoints as usize,
        work: Duration::from_millis(told.work_ms),
        seed: told.seed,
        breakdown: !told.no_parts,
    };
    let all = added_latency::run(&asked, &program(told.sidecar)?)?;
    print!("{}", added_latency::text(&asked, &all));
    if let Some(path) = &told.json {
        let points = added_latency::json(
            &asked,
            &all,
            &added_latency::command(),
            &added_latency::commit(),
        );
        write(
            path,
            &serde_json::to_string_pretty(&points).map_err(|e| e.to_string())?,
        )?;
    }
    Ok(all.iter().all(added_latency::Measurement::all_succeeded))
}

/// Where reports go beside standard output.
#[derive(clap::Args)]
struct Out {
    /// Write figures and series as JSON to this file, - for standard output in place of the text; with several
    /// experiments to this folder.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with tables and plots to this file; with several experiments to this folder.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(clap::ValueEnum, Clone, Copy, PartialEq, Eq)]
enum On {
    Virtual,
    SocketMode,
}

#[derive(Clone)]
struct Seeds(Vec<u64>);

fn seeds(text: &str) -> Result<Seeds, String> {
    let number = |t: &str| {
        t.trim()
            .parse::<u64>()
            .map_err(|_| format!("'{t}' is no seed"))
    };
    let all = match text.split_once("..") {
        Some((from, to)) => (number(from)?..=number(to)?).take(10_001).collect(),
        None => text.split(',').map(number).collect::<Result<Vec<_>, _>>()?,
    };
    match all.len() {
        0 => Err("none".into()),
        1..=10_000 => Ok(Seeds(all)),
        _ => Err("more than 10000".into()),
    }
}

const TRY: &str = include_str!("try.toml");

fn read(path: &Path, instances: Option<usize>) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    experiment::parse_with_instances(&text, instances)
        .map_err(|wrong| format!("{}: {wrong}", path.display()))
}

/// Whole or not at all: a disk that is full must not leave half a page behind.
fn write(path: &Path, text: &str) -> Result<(), String> {
    let at = |what: &str, e: std::io::Error| format!("{what} {}: {e}", path.display());
    if let Some(folder) = path.parent().filter(|f| !f.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(|e| at("folder of", e))?;
    }
    let new = path.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    written.map_err(|e| {
        let _ = std::fs::remove_file(&new);
        at("report", e)
    })
}

/// What is started as a sidecar: this executable itself, or another build.
fn program(sidecar: Option<PathBuf>) -> Result<Program, String> {
    match sidecar {
        Some(path) => {
            sockets::usable(&path)?;
            Ok(Program {
                path,
                arguments: Vec::new(),
            })
        }
        None => {
            let path = std::env::current_exe().map_err(|e| format!("this executable: {e}"))?;
            Ok(Program {
                path,
                arguments: vec!["sidecar".into()],
            })
        }
    }
}

/// Whoever started it holds the other end of its standard input. Guards against sidecars left behind by a rig that
/// was killed.
fn end_with_input() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

fn main() -> ExitCode {
    let told = Told::parse();
    if matches!(told.what, What::Sidecar) {
        // Also one that is stopped ends with the rig.
        let _ =
            rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        end_with_input();
        return passroad::main();
    }
    if let What::Hollow { folder } = told.what {
        let _ =
            rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
        return match passroad_rig::scale::host::run(folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(fault) => {
                eprintln!("passroad-rig: {fault}");
                ExitCode::from(2)
            }
        };
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match act(told.what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("passroad-rig: {}", fault.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// Whether all held.
fn act(what: What) -> Result<bool, String> {
    match what {
        What::AddedLatency(told) => added(told),
        What::Capacity(told) => passroad_rig::capacity::run(&told, write),
        What::Sidecar | What::Hollow { .. } => Ok(true),
        What::Scale {
            files,
            sidecars,
            seeds,
            json,
            commit,
        } => {
            let seeds = seeds.map(|Seeds(seeds)| seeds);
            passroad_rig::scale::command::run(&files, sidecars, seeds, json.as_deref(), &commit)
        }
        What::Histories {
            from,
            count,
            threads,
            no_fence,
        } => {
            let sums = passroad_rig::fleet::histories::run(from, count, threads, !no_fence);
            println!(
                "simulated: {} histories, {} acts by {} epochs, {} refused, faults hit {} times",
                sums.histories, sums.acts, sums.owners, sums.stale_tries, sums.hits
            );
            for (seed, what) in sums.broken.iter().take(20) {
                println!("broken, seed {seed}: {what}");
            }
            println!("{} broken", sums.broken.len());
            Ok(sums.broken.is_empty())
        }
        What::Check { files } => {
            for file in &files {
                let plan = read(file, None)?;
                println!(
                    "{}: {} ({} must hold)",
                    file.display(),
                    plan.about,
                    plan.expectations.len()
                );
            }
            Ok(true)
        }
        What::Sample { file } => {
            let plan = match file {
                Some(file) => read(&file, None)?,
                None => built_in()?,
            };
            let told = serde_json::json!({
                "name": "sample", "listen": "127.0.0.1:7800", "discovery": "127.0.0.1:7900", "management": "127.0.0.1:7950", "seed": "8c1f30d27a5be964",
                "limits": { "sockets": 1024, "memory_mb": 64 }, "settings": plan.settings(0),
            });
            println!(
                "{}",
                serde_json::to_string_pretty(&told).map_err(|e| e.to_string())?
            );
            Ok(true)
        }
        What::Compare { before, after } => {
            let read = |path: &Path| -> Result<serde_json::Value, String> {
                let text = std::fs::read_to_string(path)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
                serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
            };
            print!(
                "{}",
                compare::text(&compare::compare(&read(&before)?, &read(&after)?)?)
            );
            Ok(true)
        }
        What::Try { seconds, out } => {
            let mut plan = built_in()?;
            plan.length = Duration::from_secs(seconds);
            // In the middle, however long it is.
            let middle = [plan.length * 2 / 5, plan.length * 7 / 10];
            plan.changes
                .iter_mut()
                .zip(middle)
                .for_each(|(change, at)| change.0 = at);
            plan.expectations
                .iter_mut()
                .for_each(|hold| hold.window = plan.settle..plan.length);
            println!(
                "{}. Endpoint 2 fails from {:.0} to {:.0} s.",
                plan.about,
                middle[0].as_secs_f64(),
                middle[1].as_secs_f64()
            );
            let runs = run::run_on_sockets(&plan, &program(None)?, None, true)?;
            out.put(Path::new("try"), false, &plan, &runs, false)?;
            let broken: usize = runs.iter().map(|r| r.violations.len()).sum();
            match broken {
                0 => println!("4 rules kept, and nothing given up was held back"),
                n => println!("rules broken {n} times"),
            }
            Ok(broken == 0)
        }
        What::Run {
            files,
            on,
            seeds,
            policies,
            instances,
            threads,
            no_fence,
            sidecar,
            logs,
            lines,
            out,
        } => {
            if let Some(unknown) = policies.iter().find(|p| !POLICIES.contains(&p.as_str())) {
                return Err(format!(
                    "--policies: unknown '{unknown}'; there are {}",
                    POLICIES.join(", ")
                ));
            }
            // All are read before the first is played: a slip in the last must not cost the others' time.
            let plans = files
                .iter()
                .map(|file| read(file, instances))
                .collect::<Result<Vec<_>, _>>()?;
            let program = program(sidecar)?;
            let mut good = true;
            for (file, mut plan) in files.iter().zip(plans) {
                let real = match (on, plan.socket_mode) {
                    (Some(On::Virtual), Some(SocketMode::Required)) => {
                        return Err(format!("{}: needs sockets, as it says", file.display()));
                    }
                    (Some(On::SocketMode), Some(SocketMode::Never)) => {
                        return Err(format!(
                            "{}: is not for sockets, as it says",
                            file.display()
                        ));
                    }
                    (Some(on), _) => on == On::SocketMode,
                    (None, told) => {
                        matches!(told, Some(SocketMode::Required | SocketMode::Preferred))
                    }
                };
                if let Some(Seeds(seeds)) = &seeds {
                    plan.seeds.clone_from(seeds);
                }
                if let Some(fleet) = plan.fleet.as_mut().filter(|_| no_fence) {
                    fleet.fence = false;
                }
                if !policies.is_empty() {
                    plan.policies.clone_from(&policies);
                }
                let runs = match real {
                    true => run::run_on_sockets(&plan, &program, logs.as_deref(), false)?,
                    false => run::simulate_all(&plan, threads)?,
                };
                good &= run::check_expectations(&plan, &runs).iter().all(|h| h.met);
                out.put(file, files.len() > 1, &plan, &runs, !real)?;
                for run in runs
                    .iter()
                    .filter(|r| lines && r.policy.starts_with("passroad"))
                {
                    for (at, instance, line) in &run.log_lines {
                        println!("{:.3} s, instance {instance}: {line}", at.as_secs_f64());
                    }
                }
            }
            Ok(good)
        }
    }
}

fn built_in() -> Result<Plan, String> {
    experiment::parse(TRY).map_err(|wrong| format!("the built-in experiment: {wrong}"))
}

impl Out {
    fn put(
        &self,
        of: &Path,
        many: bool,
        plan: &Plan,
        runs: &[run::Run],
        simulated: bool,
    ) -> Result<(), String> {
        let named = |path: &Path, end: &str| match many {
            true => path.join(Path::new(of.file_name().unwrap_or_default()).with_extension(end)),
            false => path.to_path_buf(),
        };
        let on_output = self.json.as_deref() == Some(Path::new("-"));
        match &self.json {
            Some(_) if on_output => println!("{}", report::json(plan, runs, simulated)),
            Some(path) => write(
                &named(path, "json"),
                &report::json(plan, runs, simulated).to_string(),
            )?,
            None => {}
        }
        if let Some(path) = &self.html {
            write(
                &named(path, "html"),
                &passroad_rig::html::page(plan, runs, simulated),
            )?;
        }
        if !on_output {
            println!("{}", report::text(plan, runs, simulated));
        }
        Ok(())
    }
}
