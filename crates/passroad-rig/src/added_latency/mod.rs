//! What a call gains in the sidecar: the same open load straight to the endpoints and through real sidecars, by turns in
//! one run, and where the difference goes. All figures are of real processes on loopback sockets.

mod between;
mod door;
mod endpoint;
mod report;

pub use report::{command, commit, json, text};

use crate::rng::SeededRng;
use crate::sockets::Program;
use between::{Sidecar, Used, relay};
use door::{Door, held};
use endpoint::{Make, Tally, Tier};
use hdrhistogram::Histogram;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// This part of a slice is played and not counted: calls of the arm before may still be out, and an arm that had no load
/// for a while finds its way back.
pub const SETTLE: f64 = 0.2;
/// Calls that can be out at once; one more waits, which shows as lateness.
const CALLERS: usize = 128;
const LEAD: Duration = Duration::from_millis(500);
/// What a call says that it has.
const LIMIT_MS: u64 = 1000;
/// Endpoints in place of the stated ones where none is to be used again soon.
const SPREAD: usize = 4;
/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 10_000_000;

/// Whether connections outlive a call, on both sides of whatever stands between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connections {
    Warm,
    Cold,
}

impl Connections {
    pub fn name(self) -> &'static str {
        match self {
            Connections::Warm => "warm",
            Connections::Cold => "cold",
        }
    }
}

/// What is to be measured.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Calls a second while an arm has the load.
    pub rates: Vec<u32>,
    pub connections: Vec<Connections>,
    /// Counted rounds; in each, every arm has the load for one slice.
    pub rounds: usize,
    pub slice: Duration,
    /// Calls that a call is made of, one within the other, each with a sidecar of its own.
    pub depth: usize,
    /// Of each tier.
    pub endpoints: usize,
    /// Of a call at an endpoint; it passes there without use of a core.
    pub work: Duration,
    pub seed: u64,
    /// Also the arms that say where the difference goes.
    pub parts: bool,
}

/// Which way the calls of an arm go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Direct,
    /// Through a relay of bytes.
    Relay,
    /// Through a sidecar as it is shipped, but for what is named.
    Sidecar {
        probes: bool,
        spread: bool,
        flipped: bool,
    },
}

impl Way {
    pub const SHIPPED: Way = Way::Sidecar {
        probes: true,
        spread: false,
        flipped: false,
    };
    pub const UNPROBED: Way = Way::Sidecar {
        probes: false,
        spread: false,
        flipped: false,
    };
    pub const SPREAD: Way = Way::Sidecar {
        probes: false,
        spread: true,
        flipped: false,
    };
    pub const FLIPPED: Way = Way::Sidecar {
        probes: true,
        spread: false,
        flipped: true,
    };

    pub fn all(depth: usize, parts: bool) -> Vec<Way> {
        match (parts, depth) {
            (false, _) => vec![Way::Direct, Way::SHIPPED],
            (true, 1) => {
                vec![
                    Way::Direct,
                    Way::Relay,
                    Way::SHIPPED,
                    Way::UNPROBED,
                    Way::SPREAD,
                    Way::FLIPPED,
                ]
            }
            // Each arm is a tree of its own.
            (true, _) => vec![Way::Direct, Way::Relay, Way::SHIPPED, Way::UNPROBED],
        }
    }
}

/// What one arm came to.
pub struct Arm {
    pub way: Way,
    /// Latencies in microseconds by counted round: from when a call was sent, and from when it was due.
    pub sent: Vec<Histogram<u64>>,
    pub due: Vec<Histogram<u64>>,
    /// All of its calls from the first counted round on, and those not answered with 200.
    pub calls: u64,
    pub failed: u64,
    /// What its endpoints saw while it had the load: calls at the last tier, probes of all tiers, connections.
    pub seen: Seen,
    /// What its sidecars were given while it had the load, and while others had it.
    pub used: Used,
    pub resting: Used,
    pub sidecars: usize,
    /// Microseconds from a call's answer to the next request on that connection, of all tiers.
    pub behind: Histogram<u64>,
    /// Kept connections that callers found closed.
    pub stale: u64,
}

/// Counts at endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    pub first_calls: u64,
    pub last_calls: u64,
    pub calls: u64,
    pub probes: u64,
    pub accepted: u64,
    pub left_ms: u64,
    /// Open at the end of a slice, at most.
    pub open: u64,
}

/// One rate with one kind of connections.
pub struct Measured {
    pub rate: u32,
    pub connections: Connections,
    pub arms: Vec<Arm>,
    /// Microseconds by which calls were sent after they were due.
    pub late: Histogram<u64>,
    /// The share of all cores' time that the machine's host gave to others meanwhile.
    pub stolen: f64,
}

impl Measured {
    pub fn arm(&self, way: Way) -> Option<&Arm> {
        self.arms.iter().find(|arm| arm.way == way)
    }

    /// Whether every call of every arm was answered.
    pub fn whole(&self) -> bool {
        self.arms.iter().all(|arm| arm.calls > 0 && arm.failed == 0)
    }
}

/// Plays all that is asked, one after the other.
pub fn run(asked: &Asked, program: &Program) -> Result<Vec<Measured>, String> {
    let folder = Folder::new().map_err(|e| format!("folder for configurations: {e}"))?;
    let mut all = Vec::new();
    for rate in &asked.rates {
        for connections in &asked.connections {
            all.push(
                measure(asked, *rate, *connections, program, &folder.0)
                    .map_err(|e| e.to_string())?,
            );
        }
    }
    Ok(all)
}

/// Where configurations and logs of sidecars are put; gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("passroad-added-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An arm in place: callers come in at the door. Sidecars end before the endpoints behind them.
struct Built {
    way: Way,
    door: Arc<Door>,
    sidecars: Vec<Sidecar>,
    tiers: Vec<Tier>, // the last one first
}

impl Built {
    fn new(
        asked: &Asked,
        connections: Connections,
        way: Way,
        n: usize,
        program: &Program,
        folder: &Path,
    ) -> io::Result<Built> {
        let cold = connections == Connections::Cold;
        let (count, closes) = match way {
            Way::Sidecar {
                spread, flipped, ..
            } => (
                asked.endpoints * if spread { SPREAD } else { 1 },
                cold != flipped,
            ),
            Way::Direct | Way::Relay => (asked.endpoints, cold),
        };
        let (mut sidecars, mut tiers, mut door) = (Vec::new(), Vec::new(), None);
        for tier in 0..asked.depth {
            let started = Tier::start(
                count,
                &Make {
                    work: asked.work,
                    closes,
                    next: door.take(),
                },
            )?;
            let addresses = match way {
                Way::Direct => started.addresses.clone(),
                Way::Relay => relay(&started.addresses)?,
                Way::Sidecar { probes, .. } => {
                    let name = format!("added-{n}-{tier}");
                    let seed = SeededRng::stream(asked.seed, &name, 0).next_u64();
                    let sidecar =
                        Sidecar::start(program, folder, &name, &started.addresses, probes, seed)?;
                    let address = sidecar.address;
                    sidecars.push(sidecar);
                    vec![address]
                }
            };
            tiers.push(started);
            door = Some(Arc::new(Door::new(&addresses, cold)));
        }
        let door = door.ok_or_else(|| io::Error::other("no tier"))?;
        Ok(Built {
            way,
            door,
            sidecars,
            tiers,
        })
    }

    fn used(&self) -> Used {
        self.sidecars
            .iter()
            .map(Sidecar::used)
            .fold(Used::default(), Used::and)
    }

    fn seen(&self) -> Seen {
        let sum = |of: fn(&Tally) -> u64| self.tiers.iter().map(|tier| of(&tier.tally)).sum();
        let of = |tier: Option<&Tier>| tier.map_or(0, |tier| tier.tally.calls.load(Relaxed));
        Seen {
            first_calls: of(self.tiers.last()),
            last_calls: of(self.tiers.first()),
            calls: sum(|t| t.calls.load(Relaxed)),
            probes: sum(|t| t.probes.load(Relaxed)),
            accepted: sum(|t| t.accepted.load(Relaxed)),
            left_ms: self
                .tiers
                .first()
                .map_or(0, |tier| tier.tally.left_ms.load(Relaxed)),
            open: sum(|t| t.open.load(Relaxed)),
        }
    }
}

impl Seen {
    fn add_since(&mut self, now: Seen, before: Seen) {
        self.first_calls += now.first_calls - before.first_calls;
        self.last_calls += now.last_calls - before.last_calls;
        self.calls += now.calls - before.calls;
        self.probes += now.probes - before.probes;
        self.accepted += now.accepted - before.accepted;
        self.left_ms += now.left_ms - before.left_ms;
        self.open = self.open.max(now.open);
    }
}

/// A call that is to be made.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Due {
    at: Duration,
    arm: usize,
    round: usize, // 0 is not counted
    counted: bool,
    pick: usize,
}

/// Which arm has the load in each slice of a round: in each round another one begins, and every other round goes
/// backwards, so that none always follows the same.
fn order(arms: usize, round: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..arms).map(|n| (n + round / 2) % arms).collect();
    if round % 2 == 1 {
        order.reverse();
    }
    order
}

/// The calls of all rounds in the order of their times. Arrivals are Poisson; within a round all arms get the same.
fn schedule(rate: u32, seed: u64, arms: usize, rounds: usize, slice: Duration) -> Vec<Due> {
    let mut all = Vec::new();
    for round in 0..=rounds {
        let mut chance = SeededRng::stream(seed, "arrivals", round as u64);
        let mut arrivals = Vec::new();
        let mut at = chance.exponential() / f64::from(rate);
        while at < slice.as_secs_f64() {
            arrivals.push((Duration::from_secs_f64(at), chance.below(1 << 20)));
            at += chance.exponential() / f64::from(rate);
        }
        for (slot, arm) in order(arms, round).into_iter().enumerate() {
            let begins = slice * (round * arms + slot) as u32;
            all.extend(arrivals.iter().map(|(at, pick)| Due {
                at: begins + *at,
                arm,
                round,
                counted: round > 0 && *at >= slice.mul_f64(SETTLE),
                pick: *pick,
            }));
        }
    }
    all
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, LONGEST, 3).map_err(io::Error::other)
}

fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        std::thread::sleep(left);
    }
}

/// A call that was made: which, how late it was sent, how long it took, whether it was answered with 200.
type Made = (usize, Duration, Duration, bool);

fn measure(
    asked: &Asked,
    rate: u32,
    connections: Connections,
    program: &Program,
    folder: &Path,
) -> io::Result<Measured> {
    let ways = Way::all(asked.depth, asked.parts);
    let mut built = Vec::new();
    for (n, way) in ways.iter().enumerate() {
        built.push(Built::new(asked, connections, *way, n, program, folder)?);
    }
    let due = schedule(rate, asked.seed, built.len(), asked.rounds, asked.slice);
    let (next, made, begins) = (
        AtomicUsize::new(0),
        Mutex::new(Vec::new()),
        Instant::now() + LEAD,
    );
    let before = clock();
    let mut sums = vec![(Seen::default(), Used::default(), Used::default()); built.len()];
    std::thread::scope(|scope| -> io::Result<()> {
        for _ in 0..CALLERS {
            let caller = std::thread::Builder::new()
                .name("caller".into())
                .stack_size(256 << 10);
            caller.spawn_scoped(scope, || {
                let own = call_all(&built, &due, &next, begins);
                held(&made).extend(own);
            })?;
        }
        let look = || {
            built
                .iter()
                .map(|b| (b.seen(), b.used()))
                .collect::<Vec<_>>()
        };
        sleep_until(begins);
        let mut before = look();
        for round in 0..=asked.rounds {
            for (slot, arm) in order(built.len(), round).into_iter().enumerate() {
                sleep_until(begins + asked.slice * (round * built.len() + slot + 1) as u32);
                let now = look();
                for (n, (now, then)) in now.iter().zip(&before).enumerate().filter(|_| round > 0) {
                    let used = now.1.since(then.1);
                    if n == arm {
                        sums[n].0.add_since(now.0, then.0);
                        sums[n].1 = sums[n].1.and(used);
                    } else {
                        sums[n].2 = sums[n].2.and(used);
                    }
                }
                before = now;
            }
        }
        Ok(())
    })?;
    let made: Vec<Made> = std::mem::take(&mut held(&made));
    let mut late = histogram()?;
    let mut arms = Vec::new();
    for (built, (seen, used, resting)) in built.iter().zip(sums) {
        let rounds = || {
            (0..asked.rounds)
                .map(|_| histogram())
                .collect::<io::Result<Vec<_>>>()
        };
        let mut behind = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        for tier in &built.tiers {
            behind
                .add(&*held(&tier.tally.behind))
                .map_err(io::Error::other)?;
        }
        arms.push(Arm {
            way: built.way,
            sent: rounds()?,
            due: rounds()?,
            calls: 0,
            failed: 0,
            seen,
            used,
            resting,
            sidecars: built.sidecars.len(),
            behind,
            stale: built.door.stale.load(Relaxed),
        });
    }
    let micros = |time: Duration| (time.as_micros() as u64).max(1);
    for (n, lateness, took, answered) in made {
        let call = due[n];
        if call.round == 0 {
            continue;
        }
        let arm = &mut arms[call.arm];
        arm.calls += 1;
        arm.failed += u64::from(!answered);
        late.saturating_record(micros(lateness));
        // One that failed has no latency; it is told beside.
        if call.counted && answered {
            arm.sent[call.round - 1].saturating_record(micros(took));
            arm.due[call.round - 1].saturating_record(micros(lateness + took));
        }
    }
    let (all, stolen) = clock();
    let stolen = (stolen - before.1) / (all - before.0).max(1.0);
    Ok(Measured {
        rate,
        connections,
        arms,
        late,
        stolen,
    })
}

/// Ticks of all cores so far, and of those the ones that the machine's host gave to others; none where it is not told.
fn clock() -> (f64, f64) {
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

/// One caller: takes the next call that nobody has, waits until it is due, and makes it.
fn call_all(built: &[Built], due: &[Due], next: &AtomicUsize, begins: Instant) -> Vec<Made> {
    let mut made = Vec::new();
    loop {
        let n = next.fetch_add(1, Relaxed);
        let Some(call) = due.get(n) else { return made };
        let at = begins + call.at;
        sleep_until(at);
        let sent = Instant::now();
        let status = built[call.arm]
            .door
            .call(call.pick, &format!("{n:016x}"), LIMIT_MS);
        let took = sent.elapsed();
        if let Err(fault) = &status {
            log::debug!("call {n}: {fault}");
        }
        made.push((
            n,
            sent.saturating_duration_since(at),
            took,
            matches!(status, Ok(200)),
        ));
    }
}
