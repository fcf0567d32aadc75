//! Runs an experiment in real time on loopback sockets: endpoint models behind HTTP/1.1, real sidecar processes,
//! clients with an open-loop load, and discovery. Measured figures depend on the machine; the checked rules do not.

mod clients;
mod discovery;
mod endpoint;
mod fenced_resource;
mod fleet_environment;
pub(crate) mod http;
mod peer_network;
mod process_control;
mod run_state;
mod sidecar;

pub use clients::ANSWER_SLACK;
pub use sidecar::{Program, check_program};

use crate::experiment::{Plan, ScheduledChange};
use crate::fleet::FleetResults;
use crate::ledger::Entry;
use crate::rng::SeededRng;
use crate::virtual_time::{FleetSample, Recording};
use clients::{Clients, SidecarClient};
use discovery::Discovery;
use endpoint::EndpointServer;
use fleet_environment::FleetEnvironment;
use process_control::{cordon, kill, stop, upgrade};
use run_state::RunState;
use sidecar::Sidecar;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

/// Time for all processes to start before the run begins; more for each instance.
const START_DELAY: Duration = Duration::from_secs(2);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// A killed sidecar is restarted after this time.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The temporary folder of a run; deleted when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> std::io::Result<TemporaryFolder> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "passroad-rig-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a plan in real time; the remarks report what the ledger does not show. `log_folder` is where the logs of the
/// sidecars are kept, if anywhere.
pub fn run(
    plan: &Plan,
    seed: u64,
    program: &Program,
    routes: Option<&String>,
    log_folder: Option<&Path>,
    show_progress: bool,
) -> Result<(Recording, Vec<String>, Option<FleetResults>), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let result = runtime.block_on(run_plan(
        plan,
        seed,
        program,
        routes,
        log_folder,
        show_progress,
    ));
    // Tasks that still wait don't contribute to the result any more.
    runtime.shutdown_background();
    result.map_err(|e| e.to_string())
}

/// The sidecars by instance.
type Sidecars = Arc<Vec<Mutex<Sidecar>>>;

/// Starts all parts, applies the changes of the plan at their times, stops all parts and collects the results.
async fn run_plan(
    plan: &Plan,
    seed: u64,
    program: &Program,
    routes: Option<&String>,
    log_folder: Option<&Path>,
    show_progress: bool,
) -> std::io::Result<(Recording, Vec<String>, Option<FleetResults>)> {
    if plan.endpoints.len() > 240 || plan.instances > 240 {
        return Err(std::io::Error::other(
            "on sockets there are 240 endpoints and 240 instances at most",
        ));
    }
    let run_state = Arc::new(RunState::new(
        plan.clone(),
        START_DELAY + Duration::from_millis(20 * plan.instances as u64),
    ));
    let folder = TemporaryFolder::new()?;
    let mut servers = Vec::new();
    for endpoint in 0..plan.endpoints.len() {
        servers.push(EndpointServer::start(&run_state, endpoint, seed).await?);
    }
    let discovery = Discovery::start(&run_state, &servers).await?;
    if let Some(routes) = routes {
        std::fs::write(folder.0.join(sidecar::ROUTES_FILE), routes)?;
    }
    let environment = match &plan.fleet {
        Some(fleet) => Some(FleetEnvironment::start(&run_state, fleet, seed).await?),
        None => None,
    };
    let (mut sidecars, mut targets, mut starts) = (Vec::new(), Vec::new(), JoinSet::new());
    for instance in 0..plan.instances {
        let instance_seed = SeededRng::stream(seed, "instance", instance as u64).next_u64();
        let mut sidecar = Sidecar::new(
            &run_state,
            program,
            &folder.0,
            instance,
            instance_seed,
            &discovery,
        )?;
        if let Some(environment) = &environment {
            std::fs::write(
                sidecar.fleet_file_path(),
                environment.fleet_file(instance, &folder.0),
            )?;
            environment.configure(instance, sidecar.configuration_mut());
        }
        targets.push(Arc::new(SidecarClient::new(sidecar.address)));
        starts.spawn(async move { (instance, sidecar.start().await, sidecar) });
    }
    while let Some(started) = starts.join_next().await {
        sidecars.push(started.map_err(std::io::Error::other)?);
    }
    sidecars.sort_by_key(|(instance, ..)| *instance);
    // Of several that failed to start, the one with the lowest number is reported, whichever failed first.
    let started = sidecars
        .into_iter()
        .map(|(_, started, sidecar)| started.map(|()| Mutex::new(sidecar)));
    let sidecars = started.collect::<std::io::Result<Vec<Mutex<Sidecar>>>>()?;
    let sidecars: Sidecars = Arc::new(sidecars);
    let clients = Clients::new(&run_state, targets, seed);
    let sending = tokio::spawn(Arc::clone(&clients).run());
    let sampling = tokio::spawn(sample_endpoints(Arc::clone(&run_state), servers.clone()));
    let progress = show_progress.then(|| tokio::spawn(print_progress(Arc::clone(&run_state))));
    if let Some(environment) = &environment {
        environment.schedule_faults(&clients, &sidecars);
        environment.schedule_maintenance(&sidecars);
    }
    let mut remarks = Vec::new();
    for (time, change) in &plan.changes {
        sleep_until(run_state.instant(*time)).await;
        match change {
            ScheduledChange::SidecarKill(instance) => drop(tokio::spawn(kill(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *instance,
                RESTART_DELAY,
            ))),
            ScheduledChange::SidecarStop(instance) => drop(tokio::spawn(stop(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *instance,
            ))),
            ScheduledChange::SidecarUpgrade(instance) => drop(tokio::spawn(upgrade(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *instance,
            ))),
            ScheduledChange::SidecarReconfigure(instance, relays) => {
                sidecars[*instance].lock().await.reconfigure(*relays)?
            }
            ScheduledChange::Cordon(endpoint, cordoned) => {
                cordon(&run_state, &sidecars, *endpoint, *cordoned).await
            }
            ScheduledChange::SidecarReload(instance) => sidecars[*instance]
                .lock()
                .await
                .signal(rustix::process::Signal::HUP)?,
            ScheduledChange::EndpointFault(endpoint, _)
            | ScheduledChange::Crash(endpoint)
            | ScheduledChange::Start(endpoint)
            | ScheduledChange::Drain(endpoint)
            | ScheduledChange::Leave(endpoint) => {
                servers[*endpoint].apply(change).await?;
                discovery.apply(change);
            }
            ScheduledChange::NetworkCut { endpoint, .. } => {
                servers[*endpoint].apply(change).await?
            }
            _ => discovery.apply(change),
        }
    }
    let _ = sending.await;
    let end = plan.length + plan.answer_tail() + Duration::from_millis(200);
    sleep_until(run_state.instant(end)).await;
    let samples = sampling.await.unwrap_or_default();
    if let Some(progress) = progress {
        let _ = progress.await;
    }
    remarks.extend(clients.lateness_warning());
    let fleet = environment
        .as_ref()
        .map(|environment| environment.results(plan.length));
    let mut lines = Vec::new();
    let commands = run_state.commands_per_instance();
    let mut stops = JoinSet::new();
    for (instance, sidecar) in sidecars.iter().enumerate() {
        let mut sidecar = sidecar.lock().await;
        if let Some(status) = sidecar.take_crash() {
            remarks.push(format!("sidecar {instance} ended by itself: {status}"));
            run_state.record(Entry::SidecarCrashed { instance });
        } else {
            if let Some(usage) = sidecar.resource_usage() {
                let count = commands.get(instance).copied().unwrap_or_default().max(1);
                let each = usage.cpu.as_secs_f64() * 1e6 / count as f64;
                let (cpu, mb) = (usage.cpu.as_secs_f64(), usage.memory_kb as f64 / 1024.0);
                remarks.push(format!(
                    "sidecar {instance}: {count} commands, {cpu:.2} s CPU, {each:.0} us each, {mb:.1} MB"
                ));
            }
            let sidecars = Arc::clone(&sidecars);
            stops.spawn(async move { (instance, sidecars[instance].lock().await.stop().await) });
        }
    }
    // All at the same time: one after the other would take a second each.
    while let Some(stopped) = stops.join_next().await {
        let (instance, ended) = stopped.map_err(std::io::Error::other)?;
        if !matches!(ended, Ok(Some(0))) {
            remarks.push(format!(
                "sidecar {instance} ended with {ended:?} after SIGTERM"
            ));
            run_state.record(Entry::SidecarCrashed { instance });
        }
    }
    let (mut first, mut repeated) = (Vec::new(), Vec::new());
    for sidecar in sidecars.iter() {
        let mut times = sidecar.lock().await.ready_times.clone().into_iter();
        first.extend(times.next());
        repeated.extend(times);
    }
    for (which, times) in [("first", first), ("again", repeated)] {
        remarks.extend(
            sidecar::summarize_ready_times(times)
                .map(|summary| format!("started {which}: {summary}")),
        );
    }
    for (instance, sidecar) in sidecars.iter().enumerate() {
        let sidecar = sidecar.lock().await;
        let log = std::fs::read_to_string(sidecar.log_path()).unwrap_or_default();
        lines.extend(
            log.lines()
                .map(|line| (Duration::ZERO, instance, line.to_string())),
        );
        if let Some(log_folder) = log_folder {
            std::fs::create_dir_all(log_folder)?;
            std::fs::write(
                log_folder.join(format!("sidecar-{seed}-{instance}.log")),
                log,
            )?;
        }
    }
    let connections = run_state.connections.load(Relaxed);
    Ok((
        Recording {
            ledger: run_state.take_ledger(),
            samples,
            log_lines: lines,
            connections,
        },
        remarks,
        fleet,
    ))
}

/// Prints a line of counts every second of the run.
async fn print_progress(run_state: Arc<RunState>) {
    for second in 1..=run_state.plan.length.as_secs() {
        sleep_until(run_state.instant(Duration::from_secs(second))).await;
        let (sent, answered, refused, failed) = run_state.counts();
        println!(
            "{second:>4} s: {sent} sent, {answered} answered, {refused} refused, {failed} failed"
        );
    }
}

/// Samples outstanding commands and connections of all endpoints during the run.
async fn sample_endpoints(
    run_state: Arc<RunState>,
    servers: Vec<Arc<EndpointServer>>,
) -> Vec<FleetSample> {
    let mut samples = Vec::new();
    let mut time = Duration::ZERO;
    while time <= run_state.plan.length {
        sleep_until(run_state.instant(time)).await;
        let (outstanding, connections) = servers.iter().map(|server| server.sample()).unzip();
        samples.push(FleetSample {
            time: run_state.now(),
            outstanding,
            connections,
        });
        time += SAMPLE_INTERVAL;
    }
    samples
}
