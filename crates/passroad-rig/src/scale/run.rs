//! One run of a plan with one size and seed: starts all parts and processes, applies the events and takes samples.

use super::discovery::Discovery;
use super::load::{self, Load};
use super::network::SidecarNetwork;
use super::plan::{Event, EventKind};
use super::processes::Processes;
use super::{
    ScalePlan, SizeResult, TemporaryFolder, lock, loopback_address, measure, requirements,
};
use crate::rng::SeededRng;
use passroad_choice::EndpointState;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};
use tokio::time::{sleep, sleep_until};

/// Suspicions of a member are justified for this long after a fault that affected it.
pub(super) const JUSTIFIED_AFTER_FAULT: Duration = Duration::from_secs(30);
/// How often a condition that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The sidecars inside a cut, and its start and end since the Unix epoch.
type CutRecord = (Vec<bool>, Duration, Option<Duration>);

/// The parts of a running fleet, and the record of what happened to its sidecars.
pub(super) struct ScaleRun {
    pub(super) plan: ScalePlan,
    seed: u64,
    pub(super) network: Arc<SidecarNetwork>,
    pub(super) discovery: Arc<Discovery>,
    pub(super) processes: Arc<Processes>,
    pub(super) running: Mutex<Vec<bool>>,
    /// Downtimes: the sidecar, and start and end since the Unix epoch.
    pub(super) downtimes: Mutex<Vec<(usize, Duration, Option<Duration>)>>,
    pub(super) cuts: Mutex<Vec<CutRecord>>,
    /// By event, the time from its end until all killed sidecars had the newest list again.
    pub(super) list_recovery: Mutex<Vec<(String, Duration)>>,
}

/// The time since the Unix epoch.
fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Runs a plan in processes of its own, and evaluates the run.
pub async fn run(
    plan: &ScalePlan,
    sidecars: usize,
    seed: u64,
    program: &Path,
) -> std::io::Result<SizeResult> {
    let folder = TemporaryFolder::new()?;
    let network = SidecarNetwork::start(plan, sidecars).await?;
    let endpoints = load::start_endpoints(sidecars, plan.real > 0).await?;
    let discovery = Discovery::start(plan, &network, endpoints).await?;
    // Spread over the zones, as the simulated ones are.
    let real: Vec<usize> = (0..plan.real)
        .map(|number| number * sidecars / plan.real.max(1))
        .collect();
    let simulated: Vec<usize> = (0..sidecars)
        .filter(|sidecar| !real.contains(sidecar))
        .collect();
    std::fs::write(
        folder.0.join("fleet.toml"),
        plan.fleet_file(discovery.resource),
    )?;
    let (mut listen_addresses, mut management_addresses) = (Vec::new(), BTreeMap::new());
    let free_address = |row, sidecar| {
        std::net::TcpListener::bind((loopback_address(row, sidecar), 0))
            .and_then(|listener| listener.local_addr())
    };
    for sidecar in 0..sidecars {
        let listen = if real.contains(&sidecar) {
            free_address(4, sidecar)?
        } else {
            (loopback_address(4, sidecar), 7000).into()
        };
        let mut configuration = json!({
            "name": format!("scale-{sidecar}"), "listen": listen, "discovery": discovery.addresses[sidecar],
            "seed": format!("{:x}", SeededRng::stream(seed, "instance", sidecar as u64).next_u64()),
            "limits": { "sockets": 256, "memory_mb": 64 }, "settings": plan.settings(sidecar),
            "peer_listen": network.real[sidecar], "peers": network.proxies,
        });
        if real.contains(&sidecar) {
            let management = free_address(5, sidecar)?;
            configuration["management"] = json!(management);
            management_addresses.insert(sidecar, management);
            listen_addresses.push(listen);
        }
        std::fs::write(
            folder.0.join(format!("{sidecar}.json")),
            configuration.to_string(),
        )?;
        std::fs::write(
            folder.0.join(format!("{sidecar}.routes.toml")),
            plan.routes(sidecar),
        )?;
    }
    let hosts = simulated
        .len()
        .div_ceil(requirements::MAX_SIDECARS_PER_HOST)
        .max(1);
    let sidecars_by_host = simulated
        .chunks(simulated.len().div_ceil(hosts).max(1))
        .map(<[usize]>::to_vec)
        .collect();
    let processes = Arc::new(Processes::start(
        program,
        &folder.0,
        sidecars,
        sidecars_by_host,
        management_addresses,
    )?);
    let run = Arc::new(ScaleRun {
        plan: plan.clone(),
        seed,
        network,
        discovery,
        processes,
        running: Mutex::new(vec![true; sidecars]),
        downtimes: Mutex::default(),
        cuts: Mutex::default(),
        list_recovery: Mutex::default(),
    });
    let all: Vec<usize> = (0..sidecars).collect();
    // Started one after the other, in all hosts in turn: a simultaneous start of all would be a fault of its run.
    let mut order = all.clone();
    order.sort_by_key(|sidecar| (sidecar * 7919) % sidecars);
    let first_start = unix_now();
    for sidecar in order {
        run.processes.start_sidecar(sidecar)?;
        // Suspicions before its start are justified.
        lock(&run.downtimes).push((sidecar, first_start, Some(unix_now())));
        sleep(plan.start_interval).await;
    }
    run.processes.wait_until_running(&all).await?;
    sleep(plan.settle_time).await;
    let before = run.processes.statuses(&all).await;
    let (started, unix_started) = (Instant::now(), unix_now());
    let end = started + plan.length;
    let sampling = {
        let run = Arc::clone(&run);
        let take_samples = move || {
            measure::take_samples(&run.network, &run.discovery, &run.processes, started, end)
        };
        std::thread::spawn(take_samples)
    };
    let load = match plan.load > 0.0 {
        true => Some(Load::start(plan, seed, &listen_addresses, end.into())?),
        false => None,
    };
    if plan.changes_per_day > 0.0 {
        tokio::spawn(Arc::clone(&run).churn_endpoints(end));
    }
    for event in &plan.events {
        sleep_until((started + event.start).into()).await;
        run.apply_event(event, started + event.span().end).await?;
    }
    sleep_until(end.into()).await;
    while !sampling.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    let samples = sampling
        .join()
        .map_err(|_| std::io::Error::other("the sampling thread panicked"))?;
    let statuses = run.processes.statuses(&all).await;
    if let Some(crashed) = run.processes.crashes().first() {
        return Err(std::io::Error::other(crashed.clone()));
    }
    let mut result = run.evaluate(
        &samples,
        &simulated,
        &real,
        (started, unix_started),
        &before,
        &statuses,
    );
    if let Some(load) = load {
        let (sent, served) = (load.sent.load(Relaxed), load.served.load(Relaxed));
        result.lines.push(format!(
            "load: {sent} calls to {} real sidecars, {served} served, p50 {:.2?}, p99 {:.2?} (including the rig's own latency)",
            real.len(),
            load.latency_quantile(0.5),
            load.latency_quantile(0.99)
        ));
    }
    let memory: Vec<f64> = run.processes.total_memory();
    if !memory.is_empty() {
        let mean = memory.iter().sum::<f64>() / memory.len() as f64 / 1e6;
        result.lines.push(format!(
            "a real sidecar uses {mean:.1} MB of resident memory, including the pages of the program file"
        ));
    }
    Ok(result)
}

impl ScaleRun {
    fn begin_downtime(&self, sidecar: usize) {
        lock(&self.downtimes).push((sidecar, unix_now(), None));
        lock(&self.running)[sidecar] = false;
    }

    fn end_downtime(&self, sidecar: usize) {
        let mut downtimes = lock(&self.downtimes);
        let current = downtimes
            .iter_mut()
            .rev()
            .find(|(down, _, to)| *down == sidecar && to.is_none());
        current
            .into_iter()
            .for_each(|(.., to)| *to = Some(unix_now()));
        lock(&self.running)[sidecar] = true;
    }

    /// Drains and restores random endpoints in turn, at the rate of the plan.
    async fn churn_endpoints(self: Arc<Self>, until: Instant) {
        let mut rng = SeededRng::stream(self.seed, "changes", 0);
        let (count, mut drained) = (lock(&self.running).len(), None);
        loop {
            sleep(Duration::from_secs_f64(
                86_400.0 / self.plan.changes_per_day * rng.exponential(),
            ))
            .await;
            if Instant::now() >= until {
                return;
            }
            match drained.take() {
                Some(endpoint) => self
                    .discovery
                    .set_state(&[endpoint], EndpointState::Running),
                None => {
                    let endpoint = rng.below(count);
                    drained = Some(endpoint);
                    self.discovery
                        .set_state(&[endpoint], EndpointState::Draining)
                }
            };
        }
    }

    /// Applies an event and waits until it is over.
    async fn apply_event(self: &Arc<Self>, event: &Event, end: Instant) -> std::io::Result<()> {
        let sidecars = lock(&self.running).len();
        match event.kind {
            EventKind::Cut(region, direction) => {
                let inside: Vec<bool> = (0..sidecars)
                    .map(|sidecar| self.plan.region(sidecar) == region)
                    .collect();
                lock(&self.cuts).push((inside.clone(), unix_now(), None));
                self.network.begin_cut(inside, direction);
                sleep_until(end.into()).await;
                self.network.end_cut();
                lock(&self.cuts)
                    .last_mut()
                    .into_iter()
                    .for_each(|(.., to)| *to = Some(unix_now()));
            }
            EventKind::DiscoveryDown => {
                self.discovery.set_down(true);
                sleep_until(end.into()).await;
                self.discovery.set_down(false);
            }
            EventKind::Kill(selection) => {
                let affected = self.plan.select(selection, sidecars, self.seed);
                for sidecar in &affected {
                    self.begin_downtime(*sidecar);
                    self.processes.kill(*sidecar)?;
                }
                sleep_until((Instant::now() + event.detection_delay).min(end).into()).await;
                self.discovery.set_state(&affected, EndpointState::Removed);
                sleep_until(end.into()).await;
                for sidecar in &affected {
                    self.discovery.reset_acknowledged(*sidecar);
                    self.end_downtime(*sidecar);
                    self.processes.start_sidecar(*sidecar)?;
                }
                self.processes.wait_until_running(&affected).await?;
                self.discovery.set_state(&affected, EndpointState::Running);
                while self.discovery.share_up_to_date(&affected) < 1.0
                    && end.elapsed() < JUSTIFIED_AFTER_FAULT
                {
                    sleep(POLL_INTERVAL).await;
                }
                lock(&self.list_recovery).push((event.name.clone(), end.elapsed()));
            }
            EventKind::Restart(selection) => {
                let affected = self.plan.select(selection, sidecars, self.seed);
                let interval = event.duration / affected.len().max(1) as u32;
                let mut restarts = tokio::task::JoinSet::new();
                for (number, sidecar) in affected.into_iter().enumerate() {
                    let (run, time) = (Arc::clone(self), Instant::now() + interval * number as u32);
                    restarts.spawn(async move {
                        sleep_until(time.into()).await;
                        run.discovery.set_state(&[sidecar], EndpointState::Draining);
                        run.begin_downtime(sidecar);
                        run.processes.stop(sidecar).await?;
                        run.discovery.set_state(&[sidecar], EndpointState::Removed);
                        run.discovery.reset_acknowledged(sidecar);
                        run.processes.start_sidecar(sidecar)?;
                        run.processes.wait_until_running(&[sidecar]).await?;
                        run.end_downtime(sidecar);
                        run.discovery.set_state(&[sidecar], EndpointState::Running);
                        Ok::<_, std::io::Error>(())
                    });
                }
                while let Some(restart) = restarts.join_next().await {
                    restart.map_err(std::io::Error::other)??;
                }
            }
        }
        Ok(())
    }
}
