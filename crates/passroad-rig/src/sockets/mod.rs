//! A day on loopback sockets: the model behind HTTP/1.1, real sidecars in processes of their own, clients with an open
//! load, discovery. What is measured here hangs on the machine; the rules don't.

mod clients;
mod discovery;
mod endpoint;
mod ground;
pub(crate) mod http;
mod peers;
mod resource;
mod scene;
mod sidecar;

pub use clients::SLACK;
pub use sidecar::{Program, usable};

use crate::experiment::{Plan, ScheduledChange};
use crate::fleet::FleetDay;
use crate::ledger::Entry;
use crate::rng::SeededRng;
use crate::virtual_time::{FleetSample, Recording};
use clients::{Clients, Side};
use discovery::Discovery;
use endpoint::Stand;
use ground::Ground;
use scene::Scene;
use sidecar::Sidecar;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

const LEAD: Duration = Duration::from_secs(2); // until the day begins, for all to start
const LOOK: Duration = Duration::from_millis(100);
const RESTART: Duration = Duration::from_millis(500); // of a sidecar that was killed
/// New commands still come for so long after a sidecar was told to stop.
const STILL_ASKING: Duration = Duration::from_millis(300);

/// Where files of a day are put; gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> std::io::Result<Folder> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "passroad-rig-{}-{}",
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

/// Plays a day in real time; remarks tell what the wire does not show. `keep` is where logs of sidecars go.
pub fn play(
    plan: &Plan,
    seed: u64,
    program: &Program,
    routes: Option<&String>,
    keep: Option<&Path>,
    shows: bool,
) -> Result<(Recording, Vec<String>, Option<FleetDay>), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let played = runtime.block_on(day(plan, seed, program, routes, keep, shows));
    // What still waits somewhere has nothing more to tell.
    runtime.shutdown_background();
    played.map_err(|e| e.to_string())
}

type Sidecars = Arc<Vec<Mutex<Sidecar>>>;

async fn day(
    plan: &Plan,
    seed: u64,
    program: &Program,
    routes: Option<&String>,
    keep: Option<&Path>,
    shows: bool,
) -> std::io::Result<(Recording, Vec<String>, Option<FleetDay>)> {
    if plan.endpoints.len() > 240 || plan.instances > 240 {
        return Err(std::io::Error::other(
            "on sockets there are 240 endpoints and 240 instances at most",
        ));
    }
    let scene = Arc::new(Scene::new(
        plan.clone(),
        LEAD + Duration::from_millis(20 * plan.instances as u64),
    ));
    let folder = Folder::new()?;
    let mut stands = Vec::new();
    for n in 0..plan.endpoints.len() {
        stands.push(Stand::start(&scene, n, seed).await?);
    }
    let discovery = Discovery::start(&scene, &stands).await?;
    if let Some(routes) = routes {
        std::fs::write(folder.0.join(sidecar::ROUTES), routes)?;
    }
    let ground = match &plan.fleet {
        Some(fleet) => Some(Ground::start(&scene, fleet, seed).await?),
        None => None,
    };
    let (mut sidecars, mut sides, mut starts) = (Vec::new(), Vec::new(), JoinSet::new());
    for n in 0..plan.instances {
        let own = SeededRng::stream(seed, "instance", n as u64).next_u64();
        let mut sidecar = Sidecar::new(&scene, program, &folder.0, n, own, &discovery)?;
        if let Some(ground) = &ground {
            std::fs::write(sidecar.fleet_file(), ground.file(n, &folder.0))?;
            ground.tell(n, sidecar.told());
        }
        sides.push(Arc::new(Side::new(sidecar.address)));
        starts.spawn(async move { (n, sidecar.start().await, sidecar) });
    }
    while let Some(started) = starts.join_next().await {
        sidecars.push(started.map_err(std::io::Error::other)?);
    }
    sidecars.sort_by_key(|(n, ..)| *n);
    // Of several that did not come up the first is named, whichever was the quickest.
    let started = sidecars
        .into_iter()
        .map(|(_, started, sidecar)| started.map(|()| Mutex::new(sidecar)));
    let sidecars = started.collect::<std::io::Result<Vec<Mutex<Sidecar>>>>()?;
    let sidecars: Sidecars = Arc::new(sidecars);
    let clients = Clients::new(&scene, sides, seed);
    let asking = tokio::spawn(Arc::clone(&clients).run());
    let looking = tokio::spawn(look(Arc::clone(&scene), stands.clone()));
    let showing = shows.then(|| tokio::spawn(show(Arc::clone(&scene))));
    if let Some(ground) = &ground {
        ground.strike(&clients, &sidecars);
        ground.have_work_done(&sidecars);
    }
    let mut remarks = Vec::new();
    for (at, change) in &plan.changes {
        sleep_until(scene.instant(*at)).await;
        match change {
            ScheduledChange::SidecarKill(n) => drop(tokio::spawn(kill(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *n,
                RESTART,
            ))),
            ScheduledChange::SidecarStop(n) => drop(tokio::spawn(stop(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *n,
            ))),
            ScheduledChange::SidecarUpgrade(n) => drop(tokio::spawn(upgrade(
                Arc::clone(&clients),
                Arc::clone(&sidecars),
                *n,
            ))),
            ScheduledChange::SidecarReconfigure(n, relays) => {
                sidecars[*n].lock().await.retune(*relays)?
            }
            ScheduledChange::Cordon(endpoint, out) => {
                cordon(&scene, &sidecars, *endpoint, *out).await
            }
            ScheduledChange::SidecarReload(n) => sidecars[*n]
                .lock()
                .await
                .signal(rustix::process::Signal::HUP)?,
            ScheduledChange::EndpointFault(n, _)
            | ScheduledChange::Crash(n)
            | ScheduledChange::Start(n)
            | ScheduledChange::Drain(n)
            | ScheduledChange::Leave(n) => {
                stands[*n].change(change).await?;
                discovery.change(change);
            }
            ScheduledChange::NetworkCut { endpoint, .. } => {
                stands[*endpoint].change(change).await?
            }
            _ => discovery.change(change),
        }
    }
    let _ = asking.await;
    let end = plan.length + plan.answer_tail() + Duration::from_millis(200);
    sleep_until(scene.instant(end)).await;
    let looks = looking.await.unwrap_or_default();
    if let Some(showing) = showing {
        let _ = showing.await;
    }
    remarks.extend(clients.late());
    let fleet = ground.as_ref().map(|ground| ground.day(plan.length));
    let mut lines = Vec::new();
    let commands = scene.commands();
    let mut stops = JoinSet::new();
    for (n, sidecar) in sidecars.iter().enumerate() {
        let mut sidecar = sidecar.lock().await;
        if let Some(status) = sidecar.crashed() {
            remarks.push(format!("sidecar {n} ended by itself: {status}"));
            scene.note(Entry::SidecarCrashed { instance: n });
        } else {
            if let Some(used) = sidecar.used() {
                let own = commands.get(n).copied().unwrap_or_default().max(1);
                let each = used.cpu.as_secs_f64() * 1e6 / own as f64;
                let (cpu, mb) = (used.cpu.as_secs_f64(), used.memory_kb as f64 / 1024.0);
                remarks.push(format!(
                    "sidecar {n}: {own} commands, {cpu:.2} s CPU, {each:.0} us each, {mb:.1} MB"
                ));
            }
            let sidecars = Arc::clone(&sidecars);
            stops.spawn(async move { (n, sidecars[n].lock().await.stop().await) });
        }
    }
    // All together: one after the other would take a second each.
    while let Some(stopped) = stops.join_next().await {
        let (n, ended) = stopped.map_err(std::io::Error::other)?;
        if !matches!(ended, Ok(Some(0))) {
            remarks.push(format!("sidecar {n} ended with {ended:?} after SIGTERM"));
            scene.note(Entry::SidecarCrashed { instance: n });
        }
    }
    let (mut first, mut again) = (Vec::new(), Vec::new());
    for sidecar in sidecars.iter() {
        let mut times = sidecar.lock().await.ready_after.clone().into_iter();
        first.extend(times.next());
        again.extend(times);
    }
    for (what, times) in [("first", first), ("again", again)] {
        remarks.extend(sidecar::by_share(times).map(|said| format!("started {what}: {said}")));
    }
    for (n, sidecar) in sidecars.iter().enumerate() {
        let sidecar = sidecar.lock().await;
        let said = std::fs::read_to_string(sidecar.log()).unwrap_or_default();
        lines.extend(
            said.lines()
                .map(|line| (Duration::ZERO, n, line.to_string())),
        );
        if let Some(keep) = keep {
            std::fs::create_dir_all(keep)?;
            std::fs::write(keep.join(format!("sidecar-{seed}-{n}.log")), said)?;
        }
    }
    let connections = scene.connections.load(Relaxed);
    Ok((
        Recording {
            ledger: scene.take_ledger(),
            samples: looks,
            log_lines: lines,
            connections,
        },
        remarks,
        fleet,
    ))
}

/// A line a second while a day goes on.
async fn show(scene: Arc<Scene>) {
    for second in 1..=scene.plan.length.as_secs() {
        sleep_until(scene.instant(Duration::from_secs(second))).await;
        let (asked, answered, declined, terminated) = scene.counts();
        println!(
            "{second:>4} s: {asked} asked, {answered} answered, {declined} declined, {terminated} terminated"
        );
    }
}

async fn look(scene: Arc<Scene>, stands: Vec<Arc<Stand>>) -> Vec<FleetSample> {
    let mut looks = Vec::new();
    let mut at = Duration::ZERO;
    while at <= scene.plan.length {
        sleep_until(scene.instant(at)).await;
        let (held, links) = stands.iter().map(|s| s.look()).unzip();
        looks.push(FleetSample {
            time: scene.now(),
            outstanding: held,
            connections: links,
        });
        at += LOOK;
    }
    looks
}

/// SIGKILL: what it held is lost, and it is started again as a supervisor would.
async fn kill(clients: Arc<Clients>, sidecars: Sidecars, n: usize, down: Duration) {
    let mut sidecar = sidecars[n].lock().await;
    clients.sides[n].away.store(true, Relaxed);
    sidecar.kill();
    clients.scene.note(Entry::SidecarKilled { instance: n });
    sleep(down).await;
    begin_again(&clients, &mut sidecar, n).await;
}

/// SIGTERM under load, its orderly end, and a new start.
async fn stop(clients: Arc<Clients>, sidecars: Sidecars, n: usize) {
    let mut sidecar = sidecars[n].lock().await;
    let asking = Arc::clone(&clients.sides[n]);
    tokio::spawn(async move {
        sleep(STILL_ASKING).await;
        asking.away.store(true, Relaxed);
    });
    match sidecar.stop().await {
        Ok(Some(0)) => {}
        other => {
            log::error!("sidecar {n}: its stop came to {other:?}");
            clients.scene.note(Entry::SidecarCrashed { instance: n });
        }
    }
    sleep(STILL_ASKING).await;
    begin_again(&clients, &mut sidecar, n).await;
}

/// The next process beside the one that runs; clients are told nothing.
async fn upgrade(clients: Arc<Clients>, sidecars: Sidecars, n: usize) {
    let ended = sidecars[n].lock().await.upgrade().await;
    if !matches!(ended, Ok(Some(0))) {
        log::error!("sidecar {n}: its upgrade came to {ended:?}");
        clients.scene.note(Entry::SidecarCrashed { instance: n });
    }
}

/// Operators call all sidecars, one after the other.
async fn cordon(scene: &Scene, sidecars: &Sidecars, endpoint: usize, out: bool) {
    let (path, body) = (
        if out {
            "/admin/cordon"
        } else {
            "/admin/uncordon"
        },
        format!(r#"{{"id":"e{endpoint}"}}"#),
    );
    for (instance, sidecar) in sidecars.iter().enumerate() {
        let told = Entry::Cordoned {
            instance,
            endpoint,
            cordoned: out,
        };
        // Back from the call on; out from the yes on.
        if !out {
            scene.note(told.clone());
        }
        match sidecar.lock().await.call(path, &body).await {
            true if out => scene.note(told),
            true => {}
            false => log::error!("sidecar {instance} said no to {path} of endpoint {endpoint}"),
        }
    }
}

async fn begin_again(clients: &Clients, sidecar: &mut Sidecar, n: usize) {
    match sidecar.start().await {
        Ok(()) => clients.sides[n].away.store(false, Relaxed),
        Err(fault) => {
            log::error!("sidecar {n} could not start again: {fault}");
            clients.scene.note(Entry::SidecarCrashed { instance: n });
        }
    }
}
