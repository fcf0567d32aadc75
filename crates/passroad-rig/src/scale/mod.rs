//! Scale runs: as many sidecars as an operators' target has, hollow ones beside real ones, on loopback. A hollow one runs
//! the program's own list, membership, leases, upkeep and configuration without a front; some hundred share a process.

pub mod command;
mod discovery;
pub mod host;
mod load;
pub mod measure;
mod need;
pub mod plan;
mod processes;
mod wires;

pub use measure::Point;
pub use need::{Machine, Need};
pub use plan::ScalePlan;

use crate::rng::SeededRng;
use discovery::Discovery;
use load::Load;
use measure::{Look, Roles};
use passroad_choice::EndpointState;
use passroad_choice::interner::stable_hash;
use passroad_peers::MemberState;
use plan::{Event, Kind};
use processes::{Processes, Turn};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::time::{sleep, sleep_until};
use wires::Wires;

/// So long after a fault of its own a member may rightly be doubted.
const AFTERMATH: Duration = Duration::from_secs(30);
/// Wrong doubts of one member within this are one.
const EPISODE: Duration = Duration::from_secs(10);
/// How often it is looked whether what is awaited has come.
const BETWEEN_LOOKS: Duration = Duration::from_millis(100);

/// A panic in one task must not end the others: what is held stays in use.
fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address of its own on the loopback network; the process number keeps rigs that run side by side apart.
fn place(row: usize, n: usize) -> IpAddr {
    let block = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        (8 * row + n / 250 + 1) as u8,
        (n % 250 + 1) as u8,
    ))
}

/// What of a sidecar's status a run goes by.
fn brief(said: &Value) -> Value {
    let members = said["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let count = |word: &str| members.iter().filter(|m| m["standing"] == word).count();
    json!({
        "here": count("here"), "doubt": count("doubt"), "gone": count("gone"),
        "doubts": said["doubts"], "refuted": said["doubts_refuted"], "held_back": said["datagrams"]["held_back"],
    })
}

/// Where files of a run are put; gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> std::io::Result<Folder> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "passroad-scale-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What came of one size and seed.
pub struct Played {
    pub points: Vec<Point>,
    /// What holds ask for.
    pub figures: BTreeMap<&'static str, f64>,
    pub lines: Vec<String>,
}

/// Plays one size by one seed; `program` is the rig's own executable.
pub fn play(
    plan: &ScalePlan,
    sidecars: usize,
    seed: u64,
    program: &Path,
) -> Result<Played, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let played = runtime.block_on(run(plan, sidecars, seed, program));
    runtime.shutdown_background();
    played.map_err(|e| e.to_string())
}

/// Who was inside a cut, from when to when, since 1970.
type Parted = (Vec<bool>, Duration, Option<Duration>);

/// The state of a run that its events change.
struct Ground {
    plan: ScalePlan,
    seed: u64,
    wires: Arc<Wires>,
    discovery: Arc<Discovery>,
    processes: Arc<Processes>,
    alive: Mutex<Vec<bool>>,
    /// Each member's own troubles: from when to when, since 1970.
    troubles: Mutex<Vec<(usize, Duration, Option<Duration>)>>,
    cuts: Mutex<Vec<Parted>>,
    /// How long after its end all that were killed had the list that says that they are back.
    listed: Mutex<Vec<(String, Duration)>>,
}

fn unix() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

async fn run(
    plan: &ScalePlan,
    sidecars: usize,
    seed: u64,
    program: &Path,
) -> std::io::Result<Played> {
    let folder = Folder::new()?;
    let wires = Wires::start(plan, sidecars).await?;
    let endpoints = load::endpoints(sidecars, plan.real > 0).await?;
    let discovery = Discovery::start(plan, &wires, endpoints).await?;
    // Spread over the zones, as the others are.
    let real: Vec<usize> = (0..plan.real)
        .map(|k| k * sidecars / plan.real.max(1))
        .collect();
    let hollow: Vec<usize> = (0..sidecars).filter(|n| !real.contains(n)).collect();
    std::fs::write(
        folder.0.join("fleet.toml"),
        plan.fleet_file(discovery.resource),
    )?;
    let (mut fronts, mut doors) = (Vec::new(), BTreeMap::new());
    let free =
        |row, n| std::net::TcpListener::bind((place(row, n), 0)).and_then(|l| l.local_addr());
    for n in 0..sidecars {
        let listen = if real.contains(&n) {
            free(4, n)?
        } else {
            (place(4, n), 7000).into()
        };
        let mut told = json!({
            "name": format!("scale-{n}"), "listen": listen, "discovery": discovery.addresses[n],
            "seed": format!("{:x}", SeededRng::stream(seed, "instance", n as u64).next_u64()),
            "limits": { "sockets": 256, "memory_mb": 64 }, "settings": plan.settings(n),
            "peer_listen": wires.real[n], "peers": wires.shadow,
        });
        if real.contains(&n) {
            let door = free(5, n)?;
            told["management"] = json!(door);
            doors.insert(n, door);
            fronts.push(listen);
        }
        std::fs::write(folder.0.join(format!("{n}.json")), told.to_string())?;
        std::fs::write(folder.0.join(format!("{n}.routes.toml")), plan.routes(n))?;
    }
    let hosts = hollow.len().div_ceil(need::A_HOST).max(1);
    let whose = hollow
        .chunks(hollow.len().div_ceil(hosts).max(1))
        .map(<[usize]>::to_vec)
        .collect();
    let processes = Arc::new(Processes::start(
        program, &folder.0, sidecars, whose, doors,
    )?);
    let ground = Arc::new(Ground {
        plan: plan.clone(),
        seed,
        wires,
        discovery,
        processes,
        alive: Mutex::new(vec![true; sidecars]),
        troubles: Mutex::default(),
        cuts: Mutex::default(),
        listed: Mutex::default(),
    });
    let all: Vec<usize> = (0..sidecars).collect();
    // One after the other, and by turns in all hosts: that all start at once is an event of its own.
    let mut order = all.clone();
    order.sort_by_key(|n| (n * 7919) % sidecars);
    let first = unix();
    for n in order {
        ground.processes.begin(n)?;
        // Until then it was rightly doubted.
        held(&ground.troubles).push((n, first, Some(unix())));
        sleep(plan.apart).await;
    }
    ground.processes.up(&all).await?;
    sleep(plan.settle).await;
    let before = ground.processes.statuses(&all).await;
    let (began, unix_began) = (Instant::now(), unix());
    let ends = began + plan.length;
    let looking = {
        let ground = Arc::clone(&ground);
        let look = move || {
            measure::look(
                &ground.wires,
                &ground.discovery,
                &ground.processes,
                began,
                ends,
            )
        };
        std::thread::spawn(look)
    };
    let load = match plan.load > 0.0 {
        true => Some(Load::begin(plan, seed, &fronts, ends.into())?),
        false => None,
    };
    if plan.changes_a_day > 0.0 {
        tokio::spawn(Arc::clone(&ground).change(ends));
    }
    for event in &plan.events {
        sleep_until((began + event.at).into()).await;
        ground.strike(event, began + event.span().end).await?;
    }
    sleep_until(ends.into()).await;
    while !looking.is_finished() {
        sleep(BETWEEN_LOOKS).await;
    }
    let looks = looking
        .join()
        .map_err(|_| std::io::Error::other("the looks have failed"))?;
    let statuses = ground.processes.statuses(&all).await;
    if let Some(crashed) = ground.processes.crashed().first() {
        return Err(std::io::Error::other(crashed.clone()));
    }
    let mut played = ground.figures(
        &looks,
        &hollow,
        &real,
        (began, unix_began),
        &before,
        &statuses,
    );
    if let Some(load) = load {
        let (asked, served) = (load.asked.load(Relaxed), load.served.load(Relaxed));
        played.lines.push(format!(
            "load: {asked} calls of {} real sidecars, {served} served, p50 {:.2?}, p99 {:.2?} (with the rig's own part)",
            real.len(),
            load.within(0.5),
            load.within(0.99)
        ));
    }
    let whole: Vec<f64> = ground.processes.whole_memory();
    if !whole.is_empty() {
        let mean = whole.iter().sum::<f64>() / whole.len() as f64 / 1e6;
        played.lines.push(format!(
            "a real sidecar holds {mean:.1} MB with the program's own pages"
        ));
    }
    Ok(played)
}

impl Ground {
    fn trouble(&self, n: usize) {
        held(&self.troubles).push((n, unix(), None));
        held(&self.alive)[n] = false;
    }

    fn well(&self, n: usize) {
        let mut troubles = held(&self.troubles);
        let open = troubles
            .iter_mut()
            .rev()
            .find(|(of, _, to)| *of == n && to.is_none());
        open.into_iter().for_each(|(.., to)| *to = Some(unix()));
        held(&self.alive)[n] = true;
    }

    /// Endpoints drain and are back, at the plan's rate.
    async fn change(self: Arc<Self>, until: Instant) {
        let mut dice = SeededRng::stream(self.seed, "changes", 0);
        let (count, mut drained) = (held(&self.alive).len(), None);
        loop {
            sleep(Duration::from_secs_f64(
                86_400.0 / self.plan.changes_a_day * dice.exponential(),
            ))
            .await;
            if Instant::now() >= until {
                return;
            }
            match drained.take() {
                Some(n) => self.discovery.tell(&[n], EndpointState::Running),
                None => {
                    let n = dice.below(count);
                    drained = Some(n);
                    self.discovery.tell(&[n], EndpointState::Draining)
                }
            };
        }
    }

    async fn strike(self: &Arc<Self>, event: &Event, ends: Instant) -> std::io::Result<()> {
        let sidecars = held(&self.alive).len();
        match event.kind {
            Kind::Cut(region, way) => {
                let inside: Vec<bool> = (0..sidecars)
                    .map(|n| self.plan.region(n) == region)
                    .collect();
                held(&self.cuts).push((inside.clone(), unix(), None));
                self.wires.cut(inside, way);
                sleep_until(ends.into()).await;
                self.wires.heal();
                held(&self.cuts)
                    .last_mut()
                    .into_iter()
                    .for_each(|(.., to)| *to = Some(unix()));
            }
            Kind::DiscoveryDown => {
                self.discovery.down(true);
                sleep_until(ends.into()).await;
                self.discovery.down(false);
            }
            Kind::Kill(whom) => {
                let these = self.plan.find(whom, sidecars, self.seed);
                for n in &these {
                    self.trouble(*n);
                    self.processes.kill(*n)?;
                }
                sleep_until((Instant::now() + event.noticed).min(ends).into()).await;
                self.discovery.tell(&these, EndpointState::Removed);
                sleep_until(ends.into()).await;
                for n in &these {
                    self.discovery.forget(*n);
                    self.well(*n);
                    self.processes.begin(*n)?;
                }
                self.processes.up(&these).await?;
                self.discovery.tell(&these, EndpointState::Running);
                while self.discovery.listed(&these) < 1.0 && ends.elapsed() < AFTERMATH {
                    sleep(BETWEEN_LOOKS).await;
                }
                held(&self.listed).push((event.name.clone(), ends.elapsed()));
            }
            Kind::Restart(whom) => {
                let these = self.plan.find(whom, sidecars, self.seed);
                let apart = event.lasts / these.len().max(1) as u32;
                let mut turns = tokio::task::JoinSet::new();
                for (k, n) in these.into_iter().enumerate() {
                    let (own, at) = (Arc::clone(self), Instant::now() + apart * k as u32);
                    turns.spawn(async move {
                        sleep_until(at.into()).await;
                        own.discovery.tell(&[n], EndpointState::Draining);
                        own.trouble(n);
                        own.processes.stop(n).await?;
                        own.discovery.tell(&[n], EndpointState::Removed);
                        own.discovery.forget(n);
                        own.processes.begin(n)?;
                        own.processes.up(&[n]).await?;
                        own.well(n);
                        own.discovery.tell(&[n], EndpointState::Running);
                        Ok::<_, std::io::Error>(())
                    });
                }
                while let Some(turn) = turns.join_next().await {
                    turn.map_err(std::io::Error::other)??;
                }
            }
        }
        Ok(())
    }

    /// Whether one may doubt the other then: it, or the way between, is in trouble or was just before.
    fn rightly(&self, turn: &Turn) -> bool {
        let during = |from: &Duration, to: &Option<Duration>| {
            turn.at >= *from && to.is_none_or(|to| turn.at <= to + AFTERMATH)
        };
        let own = held(&self.troubles)
            .iter()
            .any(|(n, from, to)| *n == turn.of && during(from, to));
        // Across a cut news of one side's members go round on both.
        own || held(&self.cuts)
            .iter()
            .any(|(_, from, to)| during(from, to))
    }

    /// Members that were wrongly doubted or taken for gone by somebody, in a span of time.
    fn false_doubts(&self, turns: &[Turn], from: Duration, to: Duration) -> usize {
        let mut last: BTreeMap<usize, Duration> = BTreeMap::new();
        let mut count = 0;
        let wrong = |turn: &&Turn| turn.standing != MemberState::Alive && !self.rightly(turn);
        for turn in turns
            .iter()
            .filter(wrong)
            .filter(|turn| turn.at >= from && turn.at < to)
        {
            let before = last.insert(turn.of, turn.at);
            count += usize::from(before.is_none_or(|before| turn.at > before + EPISODE));
        }
        count
    }

    /// How long until all who lived through it knew of each death, and of each start behind it.
    fn known_by_all(
        &self,
        turns: &[Turn],
        hollow: &[usize],
        event: &Event,
        at: Duration,
    ) -> [Vec<Option<Duration>>; 2] {
        let (from, to) = (at + event.at, at + event.span().end);
        let troubles = held(&self.troubles).clone();
        let hit: Vec<_> = troubles
            .iter()
            .filter(|(_, began, _)| *began >= from && *began < to)
            .collect();
        let whose: BTreeSet<usize> = hit.iter().map(|(n, ..)| *n).collect();
        let watch: Vec<usize> = hollow
            .iter()
            .copied()
            .filter(|n| !whose.contains(n))
            .collect();
        if watch.is_empty() {
            return [Vec::new(), Vec::new()];
        }
        let mut by: BTreeMap<usize, Vec<&Turn>> = BTreeMap::new();
        turns
            .iter()
            .filter(|turn| whose.contains(&turn.of))
            .for_each(|turn| by.entry(turn.of).or_default().push(turn));
        let first =
            |of: usize, standing: MemberState, after: Duration, before: Option<Duration>| {
                let mut seen: BTreeMap<usize, Duration> = BTreeMap::new();
                for turn in by.get(&of).into_iter().flatten() {
                    let fits = turn.standing == standing
                        && turn.at >= after
                        && before.is_none_or(|b| turn.at < b);
                    if fits {
                        seen.entry(turn.by).or_insert(turn.at - after);
                    }
                }
                let all = watch.iter().map(|n| seen.get(n).copied());
                all.collect::<Option<Vec<_>>>()
                    .and_then(|all| all.into_iter().max())
            };
        let deaths = hit
            .iter()
            .map(|(n, began, back)| first(*n, MemberState::Dead, *began, *back))
            .collect();
        let starts = hit
            .iter()
            .filter_map(|(n, _, back)| back.map(|back| first(*n, MemberState::Alive, back, None)));
        [deaths, starts.collect()]
    }

    /// Since the end of a cut, until each had all again; none where some had not by the end.
    fn healed(&self, turns: &[Turn], event: &Event, at: Duration) -> Option<Duration> {
        let end = at + event.span().end;
        let mut away: BTreeSet<(usize, usize)> = BTreeSet::new();
        let mut last = end;
        for turn in turns {
            if turn.standing == MemberState::Alive {
                if away.remove(&(turn.by, turn.of)) && away.is_empty() {
                    last = turn.at;
                }
            } else {
                away.insert((turn.by, turn.of));
            }
        }
        away.is_empty().then(|| last.saturating_sub(end))
    }

    /// What came of a run that began then, by both clocks.
    fn figures(
        &self,
        looks: &[Look],
        hollow: &[usize],
        real: &[usize],
        (began, unix_began): (Instant, Duration),
        before: &BTreeMap<usize, Value>,
        statuses: &BTreeMap<usize, Value>,
    ) -> Played {
        let plan = &self.plan;
        let count = hollow.len() + real.len();
        let mut turns = held(&self.processes.heard).turns.clone();
        turns.sort_by_key(|turn| turn.at);
        let voters: BTreeSet<usize> = [stable_hash("sweep"), stable_hash("upkeep")]
            .into_iter()
            .flat_map(|duty| passroad_lease::voters_for(duty, count, plan.fleet.voters))
            .map(usize::from)
            .collect();
        let owners: BTreeSet<usize> = held(&self.discovery.owners)
            .iter()
            .map(|(_, n)| *n)
            .collect();
        let roles = Roles {
            hollow: hollow.to_vec(),
            real: real.to_vec(),
            loaded: plan.load > 0.0,
            voters: voters.into_iter().collect(),
            owners: owners.iter().copied().collect(),
            at: BTreeMap::from([
                ("sidecars", count),
                ("endpoints", count),
                ("services", plan.services),
            ]),
        };
        let (mut points, mut lines, mut doubts) = (Vec::new(), Vec::new(), 0);
        let conditions = plan.conditions();
        let whole = looks.last().map_or(began, |look| look.at);
        for (n, (from, condition)) in conditions.iter().enumerate() {
            let to = conditions.get(n + 1).map_or(whole, |(to, _)| began + *to);
            let from = began + *from;
            let margin = Duration::from_millis(500);
            let window: Vec<Look> = looks
                .iter()
                .filter(|look| look.at + margin > from && look.at < to + margin)
                .cloned()
                .collect();
            if window.len() < 2 {
                continue;
            }
            let mut own = measure::points(&window, &roles, condition);
            // Without events each sidecar's own doubts are wrong ones; with them it is gone by what members went through.
            let wrong = match plan.events.is_empty() {
                true => {
                    own_of("doubts", statuses).saturating_sub(own_of("doubts", before)) as usize
                }
                false => self.false_doubts(
                    &turns,
                    unix_began + (from - began),
                    unix_began + (to - began),
                ),
            };
            doubts += wrong;
            own.push(self.point(
                &roles,
                "false-doubts",
                "count",
                condition,
                "mean",
                wrong as f64,
            ));
            for known in self.discovery.spread(
                from,
                to,
                &self.who_lived(from, to, began, unix_began, count),
            ) {
                match known {
                    Some(time) => {
                        let seconds = time.as_secs_f64();
                        own.push(Point {
                            role: "discovery",
                            ..self.point(
                                &roles,
                                "known-by-all",
                                "s",
                                condition,
                                "worst-second",
                                seconds,
                            )
                        });
                    }
                    None => lines.push(format!(
                        "{condition}: a change of the list did not come to all"
                    )),
                }
            }
            lines.extend(lines_of(&own, condition));
            lines.push(self.threads_line(&window, &roles));
            points.extend(own);
        }
        for (name, time) in held(&self.listed).iter() {
            lines.push(format!(
                "{name}: {:.1} s after its end all that began have the newest list",
                time.as_secs_f64()
            ));
        }
        let (mut known, mut due) = (0, 0);
        for event in &plan.events {
            let conditions = [
                format!("event:{}", event.name),
                format!("return:{}", event.name),
            ];
            if matches!(event.kind, Kind::Cut(..)) {
                due += 1;
                if let Some(time) = self.healed(&turns, event, unix_began) {
                    known += 1;
                    let seconds = time.as_secs_f64();
                    lines.push(format!(
                        "{}: {seconds:.1} s after its end all have all again",
                        event.name
                    ));
                    points.push(self.point(
                        &roles,
                        "known-by-all",
                        "s",
                        &conditions[1],
                        "worst-second",
                        seconds,
                    ));
                } else {
                    lines.push(format!(
                        "{}: at the end of the run some do not have all again",
                        event.name
                    ));
                }
                continue;
            }
            let both = self.known_by_all(&turns, hollow, event, unix_began);
            for ((what, times), condition) in
                ["deaths", "starts"].iter().zip(&both).zip(&conditions)
            {
                let some: Vec<f64> = times.iter().flatten().map(Duration::as_secs_f64).collect();
                (known, due) = (known + some.len(), due + times.len());
                if times.is_empty() {
                    continue;
                }
                let mean = some.iter().sum::<f64>() / some.len().max(1) as f64;
                let worst = some.iter().copied().fold(0.0, f64::max);
                let counts = format!("{} of {} {what}", some.len(), times.len());
                lines.push(format!(
                    "{}: {counts} known by all, mean {mean:.1} s, worst {worst:.1} s",
                    event.name
                ));
                if !some.is_empty() {
                    points.push(self.point(&roles, "known-by-all", "s", condition, "mean", mean));
                    points.push(self.point(
                        &roles,
                        "known-by-all",
                        "s",
                        condition,
                        "worst-second",
                        worst,
                    ));
                }
            }
        }
        let alive: Vec<usize> = (0..count).filter(|n| held(&self.alive)[*n]).collect();
        let here: u64 = statuses
            .values()
            .filter_map(|said| said["here"].as_u64())
            .sum();
        let sent = |look: &Look, n: usize| look.counted[n].messages_out[wires::PEERS] as f64;
        let first = looks.iter().take_while(|look| {
            conditions
                .get(1)
                .is_none_or(|(to, _)| look.at < began + *to)
        });
        let first: Vec<Look> = first.cloned().collect();
        let all: Vec<usize> = (0..count).collect();
        let talk = measure::spread(&first, &all, sent);
        lines.push(format!(
            "{} of {count} answer, doubts of their own {} (in settling {}), refuted {}, datagrams held back {}; longest {} bytes",
            statuses.len(),
            own_of("doubts", statuses),
            own_of("doubts", before),
            own_of("refuted", statuses),
            own_of("held_back", statuses),
            self.wires.longest.load(Relaxed)
        ));
        let figures = BTreeMap::from([
            (
                "here",
                here as f64 / (alive.len() * alive.len()).max(1) as f64,
            ),
            ("listed", self.discovery.listed(&alive)),
            ("false-doubts", doubts as f64),
            ("longest", self.wires.longest.load(Relaxed) as f64),
            ("busiest-over-mean", talk.busiest / talk.mean.max(1e-9)),
            ("a-period", talk.mean * plan.fleet.period.0.as_secs_f64()),
            ("owners", owners.len() as f64),
            (
                "known",
                if due == 0 {
                    1.0
                } else {
                    known as f64 / due as f64
                },
            ),
        ]);
        Played {
            points,
            figures,
            lines,
        }
    }

    /// Those that no trouble met in a window.
    fn who_lived(
        &self,
        from: Instant,
        to: Instant,
        began: Instant,
        unix: Duration,
        count: usize,
    ) -> Vec<usize> {
        let (from, to) = (unix + (from - began), unix + (to - began));
        let troubles = held(&self.troubles);
        let met = |n: &usize| {
            troubles
                .iter()
                .any(|(of, a, b)| of == n && *a < to && b.is_none_or(|b| b > from))
        };
        (0..count).filter(|n| !met(n)).collect()
    }

    fn point(
        &self,
        roles: &Roles,
        quantity: &'static str,
        unit: &'static str,
        condition: &str,
        statistic: &'static str,
        value: f64,
    ) -> Point {
        let (condition, at, value) = (
            condition.to_string(),
            roles.at.clone(),
            measure::rounded(value),
        );
        Point {
            role: "control",
            quantity,
            unit,
            condition,
            statistic,
            kind: "hollow",
            at,
            value,
        }
    }

    fn threads_line(&self, looks: &[Look], roles: &Roles) -> String {
        let of = |these: &[usize], thread: usize| {
            measure::spread(looks, these, |look, n| look.cpu[n][thread].as_secs_f64()).mean * 100.0
        };
        let mut text = format!(
            "    CPU by thread, hollow: list {:.3}%, fleet {:.3}% of a core",
            of(&roles.hollow, 0),
            of(&roles.hollow, 1)
        );
        if !roles.real.is_empty() {
            let (main, fleet) = (of(&roles.real, 0), of(&roles.real, 1));
            text += &format!("; real: all others {main:.3}%, fleet {fleet:.3}%");
        }
        text
    }
}

/// The sum of one count of all.
fn own_of(key: &str, of: &BTreeMap<usize, Value>) -> u64 {
    of.values().filter_map(|said| said[key].as_u64()).sum()
}

/// Rows of a window for people.
fn lines_of(points: &[Point], condition: &str) -> Vec<String> {
    let mut rows: BTreeMap<(&str, &str, &str), BTreeMap<&str, f64>> = BTreeMap::new();
    for point in points {
        let row = rows
            .entry((point.role, point.kind, point.quantity))
            .or_default();
        let held = row.entry(point.statistic).or_insert(point.value);
        *held = held.max(point.value);
    }
    let row = |((role, kind, quantity), each): (&(&str, &str, &str), &BTreeMap<&str, f64>)| {
        let of = |name: &str| {
            each.get(name)
                .map_or_else(|| "-".to_string(), |value| format!("{value:.6}"))
        };
        let (mean, busiest, worst) = (of("mean"), of("busiest"), of("worst-second"));
        format!(
            "{condition:<18} {role:<11} {kind:<7} {quantity:<13} {mean:>14} {busiest:>14} {worst:>14}"
        )
    };
    rows.iter().map(row).collect()
}
