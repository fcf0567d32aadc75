//! `passroad-rig`: runs experiments from files, checks their expectations and writes reports.

use clap::{Parser, Subcommand};
use passroad_rig::added_latency::{self, ConnectionReuse, MeasurementConfig};
use passroad_rig::experiment::{self, POLICIES, Plan, SocketMode};
use passroad_rig::sockets::{self, Program};
use passroad_rig::{compare, report, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A simulated fleet for passroad: load, faults, and checks of the rules of the service.
///
/// `run` runs experiments and checks their expectations. Exit code: 0 if all hold, 1 if one does not, 2 if the input
/// can't be used.
#[derive(Parser)]
#[command(name = "passroad-rig", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A demonstration: two sidecars and six endpoints on loopback sockets, one of which fails in the middle. Needs no file.
    Try {
        /// How long the load lasts.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(4..=600))]
        seconds: u64,
        #[command(flatten)]
        out: ReportFiles,
    },
    /// Run experiments and check their expectations.
    Run {
        /// Files, as those under experiments/.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// In virtual time, or on loopback sockets with real sidecars. The default is what the file says, or virtual time.
        /// On sockets only passroad's policies run, and expectations on others are skipped.
        #[arg(long, value_enum)]
        on: Option<Mode>,
        /// Use these seeds instead of the file's: 1,2,5 or 1..20.
        #[arg(long, value_parser = seeds)]
        seeds: Option<Seeds>,
        /// Run these policies instead of the file's: passroad, passroad-routes, random, round-robin, least-of-two,
        /// full-sight.
        #[arg(long, value_delimiter = ',')]
        policies: Vec<String>,
        /// Use this number of instances instead of the file's; the load stays the same.
        #[arg(long)]
        instances: Option<usize>,
        /// Number of runs simulated at the same time; the result is the same for any number.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Turn off the fence at the resource, to see what it prevents; for experiments with peers.
        #[arg(long)]
        no_fence: bool,
        /// On sockets, start this program instead of the built-in sidecar, for example an earlier version.
        #[arg(long, value_name = "PATH")]
        sidecar: Option<PathBuf>,
        /// On sockets, write the logs of the sidecars to this folder.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
        /// Print the balancer's log lines as well.
        #[arg(long)]
        lines: bool,
        #[command(flatten)]
        out: ReportFiles,
    },
    /// Compare two JSON reports of one experiment, paired by seed, and say which differences are not significant.
    Compare { before: PathBuf, after: PathBuf },
    /// Check experiment files without running them.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print the configuration of a sidecar in an experiment, as a sample.
    Sample { file: Option<PathBuf> },
    /// Simulate random histories of sidecars that exchange messages, and check that none breaks a guarantee.
    Histories {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 1000)]
        count: u64,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Turn off the fence at the resource, to see what it prevents.
        #[arg(long)]
        no_fence: bool,
    },
    /// Measure the latency that a sidecar adds to a call: the same load to the endpoints directly and through it, in turns.
    AddedLatency(AddedLatencyArguments),
    /// Write the tables of docs/CAPACITY.md: what each role needs at the target's size, and what breaks first.
    Capacity(passroad_rig::capacity::CapacityArgs),
    /// Run scale experiments: as many sidecars as a target has, simulated ones beside real ones, on loopback.
    Scale {
        /// Files, as experiments/scale-*.toml.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Use this number of sidecars instead of the file's.
        #[arg(long)]
        sidecars: Option<usize>,
        /// Use these seeds instead of the file's: 1,2,5 or 1..3.
        #[arg(long, value_parser = seeds)]
        seeds: Option<Seeds>,
        /// Write the figures as points for the capacity page to this file; with {seed} in its name a file for each seed.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// The short hash of the measured program's commit.
        #[arg(long, default_value = "unknown")]
        commit: String,
    },
    /// Be the process of some hundred simulated sidecars; it ends when its standard input closes.
    #[command(hide = true, name = "hollow")]
    SimulatedSidecars { folder: PathBuf },
    /// Run the sidecar itself, as the rig does on sockets; it reads LB_CONFIG and ends when its standard input closes.
    #[command(hide = true)]
    Sidecar,
}

#[derive(clap::Args)]
struct AddedLatencyArguments {
    /// Calls per second; one measurement for each rate.
    #[arg(long, value_delimiter = ',', default_value = "230,920", value_parser = clap::value_parser!(u32).range(1..=20_000))]
    rate: Vec<u32>,
    /// Whether connections are kept between calls: warm, cold.
    #[arg(long, value_delimiter = ',', default_value = "warm,cold", value_parser = connections)]
    connections: Vec<ConnectionReuse>,
    /// How long each arm has the load, all its turns together.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=600))]
    seconds: u32,
    /// How long one turn is, in milliseconds; the first fifth of it is not counted.
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(50..=10_000))]
    turn_ms: u32,
    /// Depth of nested calls, each through a sidecar of its own.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=9))]
    depth: u32,
    /// Endpoints of each tier.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=60))]
    endpoints: u32,
    /// Work of a call at its endpoint, in milliseconds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=100))]
    work_ms: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only measure directly and with the sidecar as shipped, not the arms that break the difference down.
    #[arg(long)]
    no_parts: bool,
    /// Start this program instead of the built-in sidecar.
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

/// Measures added latency; returns whether every call was answered.
fn measure_added_latency(arguments: AddedLatencyArguments) -> Result<bool, String> {
    let settings = MeasurementConfig {
        rates: arguments.rate,
        connections: arguments.connections,
        // At least two, as a single round has no standard error.
        rounds: (arguments.seconds * 1000)
            .div_ceil(arguments.turn_ms)
            .max(2) as usize,
        slice: Duration::from_millis(u64::from(arguments.turn_ms)),
        depth: arguments.depth as usize,
        endpoints: arguments.endpoints as usize,
        work: Duration::from_millis(arguments.work_ms),
        seed: arguments.seed,
        breakdown: !arguments.no_parts,
    };
    let results = added_latency::run(&settings, &sidecar_program(arguments.sidecar)?)?;
    print!("{}", added_latency::text(&settings, &results));
    if let Some(path) = &arguments.json {
        let points = added_latency::json(
            &settings,
            &results,
            &added_latency::command(),
            &added_latency::commit(),
        );
        write(
            path,
            &serde_json::to_string_pretty(&points).map_err(|error| error.to_string())?,
        )?;
    }
    Ok(results
        .iter()
        .all(added_latency::Measurement::all_succeeded))
}

/// Where reports are written beside standard output.
#[derive(clap::Args)]
struct ReportFiles {
    /// Write figures and series as JSON to this file, - for standard output instead of the text; with several
    /// experiments to this folder.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with tables and plots to this file; with several experiments to this folder.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

#[derive(clap::ValueEnum, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Virtual,
    Sockets,
}

#[derive(Clone)]
struct Seeds(Vec<u64>);

fn seeds(text: &str) -> Result<Seeds, String> {
    let number = |t: &str| {
        t.trim()
            .parse::<u64>()
            .map_err(|_| format!("'{t}' is no seed"))
    };
    let seeds = match text.split_once("..") {
        Some((from, to)) => (number(from)?..=number(to)?).take(10_001).collect(),
        None => text.split(',').map(number).collect::<Result<Vec<_>, _>>()?,
    };
    match seeds.len() {
        0 => Err("none".into()),
        1..=10_000 => Ok(Seeds(seeds)),
        _ => Err("more than 10000".into()),
    }
}

const TRY_EXPERIMENT: &str = include_str!("try.toml");

fn read(path: &Path, instances: Option<usize>) -> Result<Plan, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    experiment::parse_with_instances(&text, instances)
        .map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes a file whole or not at all, so that a full disk doesn't leave half a report behind.
fn write(path: &Path, text: &str) -> Result<(), String> {
    let describe =
        |what: &str, error: std::io::Error| format!("{what} {}: {error}", path.display());
    if let Some(folder) = path.parent().filter(|f| !f.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(|error| describe("folder of", error))?;
    }
    let temporary = path.with_extension("new");
    let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|error| {
        let _ = std::fs::remove_file(&temporary);
        describe("report", error)
    })
}

/// The program that is started as a sidecar: this executable, or the one given.
fn sidecar_program(sidecar: Option<PathBuf>) -> Result<Program, String> {
    match sidecar {
        Some(path) => {
            sockets::check_program(&path)?;
            Ok(Program {
                path,
                arguments: Vec::new(),
            })
        }
        None => {
            let path =
                std::env::current_exe().map_err(|error| format!("this executable: {error}"))?;
            Ok(Program {
                path,
                arguments: vec!["sidecar".into()],
            })
        }
    }
}

/// The process that started this one holds the other end of its standard input. Prevents sidecars from being left behind by
/// a rig that was killed.
fn exit_when_stdin_closes() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if matches!(arguments.command, Command::Sidecar) {
        // A stopped process can't see that its input closes, but is killed with its parent.
        let _ =
            rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        exit_when_stdin_closes();
        return passroad::main();
    }
    if let Command::SimulatedSidecars { folder } = arguments.command {
        let _ =
            rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
        return match passroad_rig::scale::host::run(folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("passroad-rig: {error}");
                ExitCode::from(2)
            }
        };
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match execute(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("passroad-rig: {}", error.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// Runs a command; returns whether all checks passed.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::AddedLatency(arguments) => measure_added_latency(arguments),
        Command::Capacity(arguments) => passroad_rig::capacity::run(&arguments, write),
        Command::Sidecar | Command::SimulatedSidecars { .. } => Ok(true),
        Command::Scale {
            files,
            sidecars,
            seeds,
            json,
            commit,
        } => {
            let seeds = seeds.map(|Seeds(seeds)| seeds);
            passroad_rig::scale::command::run(&files, sidecars, seeds, json.as_deref(), &commit)
        }
        Command::Histories {
            from,
            count,
            threads,
            no_fence,
        } => {
            let totals =
                passroad_rig::fleet::random_histories::run(from, count, threads, !no_fence);
            println!(
                "simulated: {} histories, {} acts by {} epochs, {} refused, faults hit {} times",
                totals.histories,
                totals.acts,
                totals.ownerships,
                totals.refused_acts,
                totals.fault_hits
            );
            for (seed, violation) in totals.broken.iter().take(20) {
                println!("broken, seed {seed}: {violation}");
            }
            println!("{} broken", totals.broken.len());
            Ok(totals.broken.is_empty())
        }
        Command::Check { files } => {
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
        Command::Sample { file } => {
            let plan = match file {
                Some(file) => read(&file, None)?,
                None => built_in_experiment()?,
            };
            let configuration = serde_json::json!({
                "name": "sample", "listen": "127.0.0.1:7800", "discovery": "127.0.0.1:7900", "management": "127.0.0.1:7950", "seed": "8c1f30d27a5be964",
                "limits": { "sockets": 1024, "memory_mb": 64 }, "settings": plan.settings(0),
            });
            println!(
                "{}",
                serde_json::to_string_pretty(&configuration).map_err(|error| error.to_string())?
            );
            Ok(true)
        }
        Command::Compare { before, after } => {
            let read = |path: &Path| -> Result<serde_json::Value, String> {
                let text = std::fs::read_to_string(path)
                    .map_err(|error| format!("{}: {error}", path.display()))?;
                serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
            };
            print!(
                "{}",
                compare::text(&compare::compare(&read(&before)?, &read(&after)?)?)
            );
            Ok(true)
        }
        Command::Try { seconds, out } => {
            let mut plan = built_in_experiment()?;
            plan.length = Duration::from_secs(seconds);
            // The fault is in the middle, for any length.
            let middle = [plan.length * 2 / 5, plan.length * 7 / 10];
            plan.changes
                .iter_mut()
                .zip(middle)
                .for_each(|(change, at)| change.0 = at);
            plan.expectations
                .iter_mut()
                .for_each(|expectation| expectation.window = plan.settle..plan.length);
            println!(
                "{}. Endpoint 2 fails from {:.0} to {:.0} s.",
                plan.about,
                middle[0].as_secs_f64(),
                middle[1].as_secs_f64()
            );
            let runs = run::run_on_sockets(&plan, &sidecar_program(None)?, None, true)?;
            out.write_reports(Path::new("try"), false, &plan, &runs, false)?;
            let violations: usize = runs.iter().map(|run| run.violations.len()).sum();
            match violations {
                0 => println!("4 rules kept, and nothing given up was held back"),
                n => println!("rules broken {n} times"),
            }
            Ok(violations == 0)
        }
        Command::Run {
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
            // All files are read before the first run, so that an error in the last doesn't cost the time of the others.
            let plans = files
                .iter()
                .map(|file| read(file, instances))
                .collect::<Result<Vec<_>, _>>()?;
            let sidecar_program = sidecar_program(sidecar)?;
            let mut all_met = true;
            for (file, mut plan) in files.iter().zip(plans) {
                let on_sockets = match (on, plan.socket_mode) {
                    (Some(Mode::Virtual), Some(SocketMode::Required)) => {
                        return Err(format!(
                            "{}: needs sockets, by its key sockets",
                            file.display()
                        ));
                    }
                    (Some(Mode::Sockets), Some(SocketMode::Never)) => {
                        return Err(format!(
                            "{}: can't run on sockets, by its key sockets",
                            file.display()
                        ));
                    }
                    (Some(on), _) => on == Mode::Sockets,
                    (None, socket_mode) => {
                        matches!(
                            socket_mode,
                            Some(SocketMode::Required | SocketMode::Preferred)
                        )
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
                let runs = match on_sockets {
                    true => run::run_on_sockets(&plan, &sidecar_program, logs.as_deref(), false)?,
                    false => run::simulate_all(&plan, threads)?,
                };
                all_met &= run::check_expectations(&plan, &runs)
                    .iter()
                    .all(|result| result.met);
                out.write_reports(file, files.len() > 1, &plan, &runs, !on_sockets)?;
                for run in runs
                    .iter()
                    .filter(|run| lines && run.policy.starts_with("passroad"))
                {
                    for (at, instance, line) in &run.log_lines {
                        println!("{:.3} s, instance {instance}: {line}", at.as_secs_f64());
                    }
                }
            }
            Ok(all_met)
        }
    }
}

fn built_in_experiment() -> Result<Plan, String> {
    experiment::parse(TRY_EXPERIMENT).map_err(|error| format!("the built-in experiment: {error}"))
}

impl ReportFiles {
    fn write_reports(
        &self,
        experiment: &Path,
        several: bool,
        plan: &Plan,
        runs: &[run::Run],
        simulated: bool,
    ) -> Result<(), String> {
        let named = |path: &Path, end: &str| match several {
            true => {
                path.join(Path::new(experiment.file_name().unwrap_or_default()).with_extension(end))
            }
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
