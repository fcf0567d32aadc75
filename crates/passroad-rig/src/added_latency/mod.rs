//! Latency that a sidecar adds to a call: the same open-loop load goes directly to the endpoints and through real
//! sidecars, alternating within one run, and the difference is broken down by cause. All figures come from real
//! processes on loopback sockets.

mod endpoint;
mod http;
mod relay;
mod report;
mod sidecar;

pub use report::{command, commit, json, text};

use crate::rng::SeededRng;
use crate::sockets::Program;
use endpoint::{EndpointConfig, MAX_REUSE_GAP_US, Tier, TierCounters};
use hdrhistogram::Histogram;
use http::{Client, lock};
use relay::relay;
use sidecar::{CpuUsage, Sidecar};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Share of each slice whose latencies are not counted: calls of the previous arm may still be in progress, and an arm that
/// had no load for a while warms up again.
pub const WARM_UP_SHARE: f64 = 0.2;
/// Calls that can be in progress at once; any further call waits, which shows as lateness.
const CALLER_THREADS: usize = 128;
const START_DELAY: Duration = Duration::from_millis(500);
/// Deadline that each call carries.
const CALL_DEADLINE_MS: u64 = 1000;
/// Times the configured number of endpoints, so that none is called again soon after a call.
const MORE_ENDPOINTS_FACTOR: usize = 4;
/// Upper bound of recorded latencies, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Whether connections are kept after a call, both from the caller and to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    Warm,
    Cold,
}

impl ConnectionReuse {
    pub fn name(self) -> &'static str {
        match self {
            ConnectionReuse::Warm => "warm",
            ConnectionReuse::Cold => "cold",
        }
    }
}

#[derive(Debug, Clone)]
pub struct MeasurementConfig {
    /// Calls per second while an arm has the load.
    pub rates: Vec<u32>,
    pub connections: Vec<ConnectionReuse>,
    /// Counted rounds; in each, every arm has the load for one slice.
    pub rounds: usize,
    pub slice: Duration,
    /// Length of the call chain: each call makes a nested call to the next tier, each tier with its own sidecar.
    pub depth: usize,
    /// Endpoints of each tier.
    pub endpoints: usize,
    /// Service time of a call at an endpoint, which sleeps instead of using a core.
    pub work: Duration,
    pub seed: u64,
    /// Also measure the arms that break the difference down by cause.
    pub breakdown: bool,
}

/// What the calls of an arm pass through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPath {
    Direct,
    /// Through a byte relay.
    Relay,
    /// Through a sidecar in its default configuration, except for the differences in the fields.
    Sidecar {
        probes: bool,
        more_endpoints: bool,
        other_endpoint_connections: bool,
    },
}

impl CallPath {
    /// A sidecar in its default configuration.
    pub const AS_SHIPPED: CallPath = CallPath::Sidecar {
        probes: true,
        more_endpoints: false,
        other_endpoint_connections: false,
    };
    pub const NO_PROBES: CallPath = CallPath::Sidecar {
        probes: false,
        more_endpoints: false,
        other_endpoint_connections: false,
    };
    pub const MORE_ENDPOINTS: CallPath = CallPath::Sidecar {
        probes: false,
        more_endpoints: true,
        other_endpoint_connections: false,
    };
    /// Endpoints close connections where callers keep theirs, and the reverse.
    pub const OTHER_ENDPOINT_CONNECTIONS: CallPath = CallPath::Sidecar {
        probes: true,
        more_endpoints: false,
        other_endpoint_connections: true,
    };

    pub fn all(depth: usize, breakdown: bool) -> Vec<CallPath> {
        match (breakdown, depth) {
            (false, _) => vec![CallPath::Direct, CallPath::AS_SHIPPED],
            (true, 1) => {
                vec![
                    CallPath::Direct,
                    CallPath::Relay,
                    CallPath::AS_SHIPPED,
                    CallPath::NO_PROBES,
                    CallPath::MORE_ENDPOINTS,
                    CallPath::OTHER_ENDPOINT_CONNECTIONS,
                ]
            }
            // Each arm needs its own endpoints and sidecars at every depth, so the other two are left out.
            (true, _) => vec![
                CallPath::Direct,
                CallPath::Relay,
                CallPath::AS_SHIPPED,
                CallPath::NO_PROBES,
            ],
        }
    }
}

/// Result of one arm.
pub struct Arm {
    pub call_path: CallPath,
    /// Latencies in microseconds by counted round: from when a call was sent, and from when it was due.
    pub from_sent: Vec<Histogram<u64>>,
    pub from_due: Vec<Histogram<u64>>,
    /// All calls from the first counted round on.
    pub calls: u64,
    /// Calls not answered with 200.
    pub failed: u64,
    /// Counts at its endpoints while it had the load.
    pub counts: EndpointCounts,
    /// CPU usage of its sidecars while it had the load, and while other arms had it.
    pub loaded_cpu: CpuUsage,
    pub idle_cpu: CpuUsage,
    pub sidecars: usize,
    /// Microseconds from the response to a call to the next request on that connection, over all tiers.
    pub reuse_gaps: Histogram<u64>,
    /// Reused connections that callers found closed.
    pub stale_connections: u64,
}

/// Counts at the endpoints of all tiers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Calls at the tier that the callers reach.
    pub first_calls: u64,
    /// Calls at the deepest tier.
    pub last_calls: u64,
    pub calls: u64,
    pub probes: u64,
    pub accepted: u64,
    /// Sum of the remaining deadlines of calls at the deepest tier.
    pub remaining_ms: u64,
    /// Highest number of connections open at the end of a slice.
    pub open: u64,
}

/// Result for one rate and one connection reuse mode.
pub struct Measurement {
    pub rate: u32,
    pub connections: ConnectionReuse,
    pub arms: Vec<Arm>,
    /// Microseconds by which calls were sent after they were due.
    pub lateness: Histogram<u64>,
    /// Share of all cores' time that the hypervisor gave to other guests during the measurement (steal time).
    pub steal_share: f64,
}

impl Measurement {
    pub fn arm(&self, call_path: CallPath) -> Option<&Arm> {
        self.arms.iter().find(|arm| arm.call_path == call_path)
    }

    /// Whether every call of every arm was answered with 200.
    pub fn all_succeeded(&self) -> bool {
        self.arms.iter().all(|arm| arm.calls > 0 && arm.failed == 0)
    }
}

/// Measures each combination of rate and connection reuse, one after the other.
pub fn run(config: &MeasurementConfig, program: &Program) -> Result<Vec<Measurement>, String> {
    let folder = TempFolder::new()
        .map_err(|e| format!("cannot create the folder for sidecar configurations: {e}"))?;
    let mut all = Vec::new();
    for rate in &config.rates {
        for connections in &config.connections {
            all.push(
                measure(config, *rate, *connections, program, &folder.0)
                    .map_err(|e| e.to_string())?,
            );
        }
    }
    Ok(all)
}

/// Folder for configurations and logs of sidecars; deleted on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> io::Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("passroad-added-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The running processes and endpoints of an arm. The field order makes sidecars stop before the endpoints behind them.
struct RunningArm {
    call_path: CallPath,
    client: Arc<Client>,
    sidecars: Vec<Sidecar>,
    /// The deepest tier first.
    tiers: Vec<Tier>,
}

impl RunningArm {
    fn new(
        config: &MeasurementConfig,
        connections: ConnectionReuse,
        call_path: CallPath,
        arm_index: usize,
        program: &Program,
        folder: &Path,
    ) -> io::Result<RunningArm> {
        let cold = connections == ConnectionReuse::Cold;
        let (count, close) = match call_path {
            CallPath::Sidecar {
                more_endpoints,
                other_endpoint_connections,
                ..
            } => (
                config.endpoints
                    * if more_endpoints {
                        MORE_ENDPOINTS_FACTOR
                    } else {
                        1
                    },
                cold != other_endpoint_connections,
            ),
            CallPath::Direct | CallPath::Relay => (config.endpoints, cold),
        };
        let (mut sidecars, mut tiers, mut client) = (Vec::new(), Vec::new(), None);
        for tier in 0..config.depth {
            let started = Tier::start(
                count,
                &EndpointConfig {
                    work: config.work,
                    close,
                    downstream: client.take(),
                },
            )?;
            let addresses = match call_path {
                CallPath::Direct => started.addresses.clone(),
                CallPath::Relay => relay(&started.addresses)?,
                CallPath::Sidecar { probes, .. } => {
                    let name = format!("added-{arm_index}-{tier}");
                    let seed = SeededRng::stream(config.seed, &name, 0).next_u64();
                    let sidecar =
                        Sidecar::start(program, folder, &name, &started.addresses, probes, seed)?;
                    let address = sidecar.address;
                    sidecars.push(sidecar);
                    vec![address]
                }
            };
            tiers.push(started);
            client = Some(Arc::new(Client::new(&addresses, cold)));
        }
        let client = client.ok_or_else(|| io::Error::other("depth must be at least 1"))?;
        Ok(RunningArm {
            call_path,
            client,
            sidecars,
            tiers,
        })
    }

    fn cpu_usage(&self) -> CpuUsage {
        self.sidecars
            .iter()
            .map(Sidecar::cpu_usage)
            .fold(CpuUsage::default(), CpuUsage::plus)
    }

    fn counts(&self) -> EndpointCounts {
        let sum = |counter: fn(&TierCounters) -> u64| {
            self.tiers.iter().map(|tier| counter(&tier.counters)).sum()
        };
        let calls = |tier: Option<&Tier>| tier.map_or(0, |tier| tier.counters.calls.load(Relaxed));
        EndpointCounts {
            first_calls: calls(self.tiers.last()),
            last_calls: calls(self.tiers.first()),
            calls: sum(|t| t.calls.load(Relaxed)),
            probes: sum(|t| t.probes.load(Relaxed)),
            accepted: sum(|t| t.accepted.load(Relaxed)),
            remaining_ms: self
                .tiers
                .first()
                .map_or(0, |tier| tier.counters.remaining_ms.load(Relaxed)),
            open: sum(|t| t.open.load(Relaxed)),
        }
    }
}

impl EndpointCounts {
    fn add_since(&mut self, now: EndpointCounts, before: EndpointCounts) {
        self.first_calls += now.first_calls - before.first_calls;
        self.last_calls += now.last_calls - before.last_calls;
        self.calls += now.calls - before.calls;
        self.probes += now.probes - before.probes;
        self.accepted += now.accepted - before.accepted;
        self.remaining_ms += now.remaining_ms - before.remaining_ms;
        self.open = self.open.max(now.open);
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ScheduledCall {
    /// When it is due, from the start of the measurement.
    due: Duration,
    arm: usize,
    /// Round 0 is the warm-up and not counted.
    round: usize,
    /// Whether its latency is counted: false in the warm-up round and in the warm-up share of a slice.
    counted: bool,
    /// Selects the address where the client has several.
    pick: usize,
}

/// Which arm has the load in each slice of a round. Rounds start with different arms and every other round is reversed,
/// so that no arm always follows the same one.
fn arm_order(arms: usize, round: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..arms).map(|n| (n + round / 2) % arms).collect();
    if round % 2 == 1 {
        order.reverse();
    }
    order
}

/// The calls of all rounds ordered by time. Arrivals are a Poisson process; within a round all arms get the same arrivals.
fn schedule(
    rate: u32,
    seed: u64,
    arms: usize,
    rounds: usize,
    slice: Duration,
) -> Vec<ScheduledCall> {
    let mut all = Vec::new();
    for round in 0..=rounds {
        let mut rng = SeededRng::stream(seed, "arrivals", round as u64);
        let mut arrivals = Vec::new();
        let mut at = rng.exponential() / f64::from(rate);
        while at < slice.as_secs_f64() {
            arrivals.push((Duration::from_secs_f64(at), rng.below(1 << 20)));
            at += rng.exponential() / f64::from(rate);
        }
        for (slot, arm) in arm_order(arms, round).into_iter().enumerate() {
            let starts_at = slice * (round * arms + slot) as u32;
            all.extend(arrivals.iter().map(|(at, pick)| ScheduledCall {
                due: starts_at + *at,
                arm,
                round,
                counted: round > 0 && *at >= slice.mul_f64(WARM_UP_SHARE),
                pick: *pick,
            }));
        }
    }
    all
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)
}

fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        std::thread::sleep(left);
    }
}

/// Index of a call in the schedule, its lateness, its latency, and whether it was answered with 200.
type CompletedCall = (usize, Duration, Duration, bool);

fn measure(
    config: &MeasurementConfig,
    rate: u32,
    connections: ConnectionReuse,
    program: &Program,
    folder: &Path,
) -> io::Result<Measurement> {
    let call_paths = CallPath::all(config.depth, config.breakdown);
    let mut running_arms = Vec::new();
    for (arm_index, call_path) in call_paths.iter().enumerate() {
        running_arms.push(RunningArm::new(
            config,
            connections,
            *call_path,
            arm_index,
            program,
            folder,
        )?);
    }
    let calls = schedule(
        rate,
        config.seed,
        running_arms.len(),
        config.rounds,
        config.slice,
    );
    let (next, completed, starts_at) = (
        AtomicUsize::new(0),
        Mutex::new(Vec::new()),
        Instant::now() + START_DELAY,
    );
    let before = cpu_ticks();
    let mut sums = vec![
        (
            EndpointCounts::default(),
            CpuUsage::default(),
            CpuUsage::default()
        );
        running_arms.len()
    ];
    std::thread::scope(|scope| -> io::Result<()> {
        for _ in 0..CALLER_THREADS {
            let caller = std::thread::Builder::new()
                .name("caller".into())
                .stack_size(256 << 10);
            caller.spawn_scoped(scope, || {
                let own_calls = run_caller(&running_arms, &calls, &next, starts_at);
                lock(&completed).extend(own_calls);
            })?;
        }
        let snapshot = || {
            running_arms
                .iter()
                .map(|arm| (arm.counts(), arm.cpu_usage()))
                .collect::<Vec<_>>()
        };
        sleep_until(starts_at);
        let mut before = snapshot();
        for round in 0..=config.rounds {
            for (slot, arm) in arm_order(running_arms.len(), round).into_iter().enumerate() {
                sleep_until(
                    starts_at + config.slice * (round * running_arms.len() + slot + 1) as u32,
                );
                let now = snapshot();
                for (n, (now, then)) in now.iter().zip(&before).enumerate().filter(|_| round > 0) {
                    let loaded_cpu = now.1.since(then.1);
                    if n == arm {
                        sums[n].0.add_since(now.0, then.0);
                        sums[n].1 = sums[n].1.plus(loaded_cpu);
                    } else {
                        sums[n].2 = sums[n].2.plus(loaded_cpu);
                    }
                }
                before = now;
            }
        }
        Ok(())
    })?;
    let completed: Vec<CompletedCall> = std::mem::take(&mut lock(&completed));
    let mut lateness = histogram()?;
    let mut arms = Vec::new();
    for (running, (counts, loaded_cpu, idle_cpu)) in running_arms.iter().zip(sums) {
        let rounds = || {
            (0..config.rounds)
                .map(|_| histogram())
                .collect::<io::Result<Vec<_>>>()
        };
        let mut reuse_gaps =
            Histogram::new_with_bounds(1, MAX_REUSE_GAP_US, 3).map_err(io::Error::other)?;
        for tier in &running.tiers {
            reuse_gaps
                .add(&*lock(&tier.counters.reuse_gaps))
                .map_err(io::Error::other)?;
        }
        arms.push(Arm {
            call_path: running.call_path,
            from_sent: rounds()?,
            from_due: rounds()?,
            calls: 0,
            failed: 0,
            counts,
            loaded_cpu,
            idle_cpu,
            sidecars: running.sidecars.len(),
            reuse_gaps,
            stale_connections: running.client.stale_connections.load(Relaxed),
        });
    }
    let micros = |time: Duration| (time.as_micros() as u64).max(1);
    for (index, sent_late_by, took, answered) in completed {
        let call = calls[index];
        if call.round == 0 {
            continue;
        }
        let arm = &mut arms[call.arm];
        arm.calls += 1;
        arm.failed += u64::from(!answered);
        lateness.saturating_record(micros(sent_late_by));
        // A failed call has no latency; it is reported in `failed`.
        if call.counted && answered {
            arm.from_sent[call.round - 1].saturating_record(micros(took));
            arm.from_due[call.round - 1].saturating_record(micros(sent_late_by + took));
        }
    }
    let (total, stolen) = cpu_ticks();
    let steal_share = (stolen - before.1) / (total - before.0).max(1.0);
    Ok(Measurement {
        rate,
        connections,
        arms,
        lateness,
        steal_share,
    })
}

/// Total ticks of all cores so far, and the steal ticks among them; zero where `/proc/stat` is not available.
fn cpu_ticks() -> (f64, f64) {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let ticks = stat
        .lines()
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .skip(1);
    let ticks: Vec<f64> = ticks.take(8).filter_map(|n| n.parse().ok()).collect();
    (
        ticks.iter().sum(),
        ticks.get(7).copied().unwrap_or_default(),
    )
}

/// Loop of one caller thread: takes the next call of the schedule, waits until it is due, and makes it.
fn run_caller(
    running_arms: &[RunningArm],
    calls: &[ScheduledCall],
    next: &AtomicUsize,
    starts_at: Instant,
) -> Vec<CompletedCall> {
    let mut completed = Vec::new();
    loop {
        let index = next.fetch_add(1, Relaxed);
        let Some(call) = calls.get(index) else {
            return completed;
        };
        let due = starts_at + call.due;
        sleep_until(due);
        let sent = Instant::now();
        let status = running_arms[call.arm].client.call(
            call.pick,
            &format!("{index:016x}"),
            CALL_DEADLINE_MS,
        );
        let took = sent.elapsed();
        if let Err(error) = &status {
            log::debug!("call {index}: {error}");
        }
        completed.push((
            index,
            sent.saturating_duration_since(due),
            took,
            matches!(status, Ok(200)),
        ));
    }
}
