//! The ground on which sidecars talk, on sockets: what lies between them, what they act on, and the faults of both.

use super::clients::Clients;
use super::peers::Peers;
use super::resource::Resource;
use super::scene::{Scene, held};
use super::sidecar::operate;
use super::{Sidecars, kill, stop};
use crate::fleet::{FleetDay, FleetPlan, RESTART, What, Worked};
use crate::ledger::Entry;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// A process that was stopped has this long to find out before its clients are back.
const WAKES: Duration = Duration::from_millis(500);

/// How often operators look, and say again what was not taken.
const LOOKS: Duration = Duration::from_millis(50);

pub struct Ground {
    pub plan: FleetPlan,
    scene: Arc<Scene>,
    peers: Arc<Peers>,
    resource: Arc<Resource>,
    hits: AtomicUsize,
    works: Mutex<Vec<Worked>>,
    /// Who was last seen to conduct the order of work.
    conductor: AtomicUsize,
    /// What each had sent when the day began.
    before: Mutex<Vec<u64>>,
}

impl Ground {
    pub async fn start(scene: &Arc<Scene>, plan: &FleetPlan, seed: u64) -> io::Result<Arc<Ground>> {
        Ok(Arc::new(Ground {
            plan: plan.clone(),
            scene: Arc::clone(scene),
            peers: Peers::start(scene.plan.instances, seed).await?,
            resource: Resource::start(scene, plan).await?,
            hits: AtomicUsize::new(0),
            works: Mutex::default(),
            conductor: AtomicUsize::new(usize::MAX),
            before: Mutex::default(),
        }))
    }

    /// What the nth sidecar is told of the others.
    pub fn tell(&self, n: usize, told: &mut Value) {
        told["peer_listen"] = json!(self.peers.real[n]);
        told["peers"] = json!(self.peers.shadow);
        told["peers_all"] = json!(self.peers.all);
        told["settings"]["my_number"] = json!(n);
    }

    /// The fleet's file of the nth sidecar.
    pub fn file(&self, n: usize, folder: &Path) -> String {
        let plan = &self.plan;
        let ms = |time: Duration| format!("\"{}ms\"", time.as_millis());
        let mut text = format!(
            "lease = {}\nperiod = {}\nvoters = {}\n",
            ms(plan.lease),
            ms(plan.period),
            plan.voters
        );
        if plan.state {
            text += &format!(
                "state = {:?}\n",
                folder.join(format!("{n}.state")).display().to_string()
            );
        }
        if let Some(work) = &plan.work {
            text += &format!(
                "\n[upkeep]\nat_once = {0}\nat_once_in_a_zone = {0}\n",
                work.at_once
            );
        }
        for duty in &plan.duties {
            let (name, at) = (&duty.name, self.resource.address);
            text += &format!("\n[[duty]]\nname = \"{name}\"\ncall = \"http://{at}/{name}\"\n");
            text += &format!("every = {}\nwithin = {}\n", ms(duty.every), ms(duty.within));
        }
        text
    }

    /// Brings all faults of the plan, each in its time.
    pub fn strike(self: &Arc<Self>, clients: &Arc<Clients>, sidecars: &Sidecars) {
        let own = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(own.scene.instant(Duration::ZERO)).await;
            *held(&own.before) = own.peers.counts();
        });
        for n in 0..self.plan.faults.len() {
            let (own, clients, sidecars) =
                (Arc::clone(self), Arc::clone(clients), Arc::clone(sidecars));
            tokio::spawn(async move { own.fault(n, clients, sidecars).await });
        }
    }

    async fn fault(&self, n: usize, clients: Arc<Clients>, sidecars: Sidecars) {
        let (fault, instances) = (&self.plan.faults[n], self.scene.plan.instances);
        sleep_until(self.scene.instant(fault.from)).await;
        let conductor = Some(self.conductor.load(Relaxed)).filter(|n| *n < instances);
        let whom = fault
            .whom
            .find(&self.plan, instances, self.resource.owner().or(conductor));
        log::info!(
            "fault {n} at {:.1} s: {:?} of {whom:?}",
            fault.from.as_secs_f64(),
            fault.what
        );
        let lasts = fault.to.map(|to| to.saturating_sub(fault.from));
        match fault.what {
            What::Kill | What::Stop => {
                self.hits.fetch_add(whom.len(), Relaxed);
                for n in whom {
                    let (clients, sidecars) = (Arc::clone(&clients), Arc::clone(&sidecars));
                    let back = lasts.unwrap_or(RESTART);
                    if fault.what == What::Kill {
                        tokio::spawn(kill(clients, sidecars, n, back));
                    } else {
                        tokio::spawn(stop(clients, sidecars, n));
                    }
                }
            }
            What::Pause => {
                for n in &whom {
                    self.hits.fetch_add(1, Relaxed);
                    // What it holds is lost to its clients: it does not run.
                    clients.sides[*n].away.store(true, Relaxed);
                    let _ = sidecars[*n].lock().await.signal(Signal::STOP);
                    self.scene.note(Entry::SidecarKilled { instance: *n });
                }
                sleep(lasts.unwrap_or_default()).await;
                for n in &whom {
                    let _ = sidecars[*n].lock().await.signal(Signal::CONT);
                }
                sleep(WAKES).await;
                whom.iter()
                    .for_each(|n| clients.sides[*n].away.store(false, Relaxed));
            }
            What::ActsKeep => {
                self.resource.keep(n, whom);
                sleep(lasts.unwrap_or_default()).await;
                self.resource.let_go(n);
            }
            what => {
                let side = |list: &[usize]| {
                    (0..instances)
                        .map(|n| list.contains(&n))
                        .collect::<Vec<_>>()
                };
                let from = side(&whom);
                let to = match &fault.others {
                    Some(others) => side(others),
                    None if whom.len() == instances => vec![true; instances],
                    None => from.iter().map(|of| !of).collect(),
                };
                self.peers.begin(n, from, to, what);
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    self.peers.end(n).await;
                }
            }
        }
    }

    /// Operators ask for machines, work on each that they are told is empty, and say when it is done.
    pub fn have_work_done(self: &Arc<Self>, sidecars: &Sidecars) {
        let Some(work) = self.plan.work.clone() else {
            return;
        };
        for (n, (at, instance, endpoints)) in work.requests.into_iter().enumerate() {
            let (own, sidecars) = (Arc::clone(self), Arc::clone(sidecars));
            tokio::spawn(async move {
                sleep_until(own.scene.instant(at)).await;
                let machines: Vec<String> = endpoints.iter().map(|e| format!("e{e}")).collect();
                let body =
                    json!({ "machines": machines, "for_s": 3600, "name": format!("request {n}") });
                own.operate(
                    &sidecars,
                    instance,
                    "POST",
                    "/admin/work",
                    &body.to_string(),
                )
                .await;
            });
        }
        let (own, sidecars) = (Arc::clone(self), Arc::clone(sidecars));
        tokio::spawn(async move { own.watch(sidecars, work.lasts).await });
    }

    /// A call at a sidecar until it is taken, at the next ones where that one does not answer.
    async fn operate(
        &self,
        sidecars: &Sidecars,
        first: usize,
        method: &str,
        path: &str,
        body: &str,
    ) {
        for n in first.. {
            let door = door_of(sidecars, n % sidecars.len()).await;
            if let Some(door) = door
                && let Some((200 | 409, _)) = operate(&door, method, path, body).await
            {
                return;
            }
            sleep(LOOKS).await;
        }
    }

    async fn watch(self: Arc<Self>, sidecars: Sidecars, lasts: Duration) {
        let mut begun: Vec<String> = Vec::new();
        for n in 0.. {
            sleep(LOOKS).await;
            let Some(door) = door_of(&sidecars, n % sidecars.len()).await else {
                continue;
            };
            let Some((200, said)) = operate(&door, "GET", "/admin/work", "").await else {
                continue;
            };
            if said["conducts"] == true {
                self.conductor.store(n % sidecars.len(), Relaxed);
            }
            for entry in said["order"].as_array().into_iter().flatten() {
                // Each time that a machine is told to be at work, somebody works on it, once.
                let key = format!("{} {}", entry["machine"], entry["place"]);
                if entry["state"] != "at work" || begun.contains(&key) {
                    continue;
                }
                begun.push(key);
                let machine = entry["machine"].as_str().unwrap_or_default().to_string();
                let Some(endpoint) = machine.strip_prefix('e').and_then(|n| n.parse().ok()) else {
                    continue;
                };
                let (own, sidecars, from) =
                    (Arc::clone(&self), Arc::clone(&sidecars), self.scene.now());
                tokio::spawn(async move {
                    sleep(lasts).await;
                    let to = own.scene.now();
                    held(&own.works).push(Worked { endpoint, from, to });
                    let body = json!({ "machine": machine }).to_string();
                    own.operate(&sidecars, n, "POST", "/admin/work/done", &body)
                        .await;
                });
            }
        }
    }

    pub fn day(&self, length: Duration) -> FleetDay {
        FleetDay {
            acts: self.resource.acts(),
            datagrams: self
                .peers
                .counts()
                .iter()
                .zip(held(&self.before).iter())
                .map(|(now, then)| now - then)
                .collect(),
            longest: self.peers.longest.load(Relaxed),
            seconds: self.scene.now().max(length).as_secs_f64(),
            works: held(&self.works).clone(),
            hits: self.peers.hits() + self.resource.hits() + self.hits.load(Relaxed),
            ..FleetDay::default()
        }
    }
}

/// None while it is away: its lock is held for as long as it is killed or stopped.
async fn door_of(sidecars: &Sidecars, n: usize) -> Option<String> {
    sidecars[n].try_lock().ok()?.door()
}
