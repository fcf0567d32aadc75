//! The environment of a fleet of communicating sidecars on loopback sockets: the network between them, the resource
//! that lease owners act on, the faults of both, and the operators who maintain machines.

use super::Sidecars;
use super::clients::Clients;
use super::fenced_resource::FencedResource;
use super::peer_network::PeerNetwork;
use super::process_control::{kill, stop};
use super::run_state::{RunState, lock};
use super::sidecar::call_management;
use crate::fleet::{FleetFaultKind, FleetPlan, FleetResults, MaintenanceInterval, RESTART_DELAY};
use crate::ledger::Entry;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// A process resumed after SIGSTOP has this long to notice the pause before its clients send again.
const RESUME_DELAY: Duration = Duration::from_millis(500);

/// How often operators poll the state of maintenance, and retry a call that was not accepted.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(50);

/// Everything around the sidecars of a fleet: network, resource, faults and operators.
pub struct FleetEnvironment {
    pub plan: FleetPlan,
    run_state: Arc<RunState>,
    peers: Arc<PeerNetwork>,
    resource: Arc<FencedResource>,
    /// How often a fault of processes took effect.
    hits: AtomicUsize,
    maintenance: Mutex<Vec<MaintenanceInterval>>,
    /// The sidecar last seen as coordinator of maintenance; `usize::MAX` for none.
    coordinator: AtomicUsize,
    /// Datagrams that each sidecar had sent when the run began.
    sent_before_run: Mutex<Vec<u64>>,
}

impl FleetEnvironment {
    pub async fn start(
        run_state: &Arc<RunState>,
        plan: &FleetPlan,
        seed: u64,
    ) -> io::Result<Arc<FleetEnvironment>> {
        Ok(Arc::new(FleetEnvironment {
            plan: plan.clone(),
            run_state: Arc::clone(run_state),
            peers: PeerNetwork::start(run_state.plan.instances, seed).await?,
            resource: FencedResource::start(run_state, plan).await?,
            hits: AtomicUsize::new(0),
            maintenance: Mutex::default(),
            coordinator: AtomicUsize::new(usize::MAX),
            sent_before_run: Mutex::default(),
        }))
    }

    /// Adds the addresses of the other sidecars to the configuration of one.
    pub fn configure(&self, instance: usize, configuration: &mut Value) {
        configuration["peer_listen"] = json!(self.peers.real[instance]);
        configuration["peers"] = json!(self.peers.proxies);
        configuration["peers_all"] = json!(self.peers.all);
        configuration["settings"]["my_number"] = json!(instance);
    }

    /// The text of the fleet file of a sidecar.
    pub fn fleet_file(&self, instance: usize, folder: &Path) -> String {
        let plan = &self.plan;
        let ms = |time: Duration| format!("\"{}ms\"", time.as_millis());
        let mut text = format!(
            "lease = {}\nperiod = {}\nvoters = {}\n",
            ms(plan.lease),
            ms(plan.period),
            plan.voters
        );
        if plan.persist_votes {
            text += &format!(
                "state = {:?}\n",
                folder
                    .join(format!("{instance}.state"))
                    .display()
                    .to_string()
            );
        }
        if let Some(maintenance) = &plan.maintenance {
            text += &format!(
                "\n[upkeep]\nat_once = {0}\nat_once_in_a_zone = {0}\n",
                maintenance.max_concurrent
            );
        }
        for role in &plan.leased_roles {
            let (name, address) = (&role.name, self.resource.address);
            text += &format!("\n[[duty]]\nname = \"{name}\"\ncall = \"http://{address}/{name}\"\n");
            text += &format!(
                "every = {}\nwithin = {}\n",
                ms(role.interval),
                ms(role.timeout)
            );
        }
        text
    }

    /// Schedules all faults of the plan.
    pub fn schedule_faults(self: &Arc<Self>, clients: &Arc<Clients>, sidecars: &Sidecars) {
        let environment = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(environment.run_state.instant(Duration::ZERO)).await;
            *lock(&environment.sent_before_run) = environment.peers.counts();
        });
        for index in 0..self.plan.faults.len() {
            let (environment, clients, sidecars) =
                (Arc::clone(self), Arc::clone(clients), Arc::clone(sidecars));
            tokio::spawn(async move { environment.apply_fault(index, clients, sidecars).await });
        }
    }

    async fn apply_fault(&self, index: usize, clients: Arc<Clients>, sidecars: Sidecars) {
        let (fault, instances) = (&self.plan.faults[index], self.run_state.plan.instances);
        sleep_until(self.run_state.instant(fault.from)).await;
        let coordinator =
            Some(self.coordinator.load(Relaxed)).filter(|instance| *instance < instances);
        let instances_hit = fault.target.resolve(
            &self.plan,
            instances,
            self.resource.last_owner().or(coordinator),
        );
        log::info!(
            "fault {index} at {:.1} s: {:?} of {instances_hit:?}",
            fault.from.as_secs_f64(),
            fault.kind
        );
        let duration = fault.to.map(|to| to.saturating_sub(fault.from));
        match fault.kind {
            FleetFaultKind::Kill | FleetFaultKind::Stop => {
                self.hits.fetch_add(instances_hit.len(), Relaxed);
                for instance in instances_hit {
                    let (clients, sidecars) = (Arc::clone(&clients), Arc::clone(&sidecars));
                    let down = duration.unwrap_or(RESTART_DELAY);
                    if fault.kind == FleetFaultKind::Kill {
                        tokio::spawn(kill(clients, sidecars, instance, down));
                    } else {
                        tokio::spawn(stop(clients, sidecars, instance));
                    }
                }
            }
            FleetFaultKind::Pause => {
                for instance in &instances_hit {
                    self.hits.fetch_add(1, Relaxed);
                    // The process does not run: its clients treat their commands there as lost.
                    clients.targets[*instance].away.store(true, Relaxed);
                    let _ = sidecars[*instance].lock().await.signal(Signal::STOP);
                    self.run_state.record(Entry::SidecarKilled {
                        instance: *instance,
                    });
                }
                sleep(duration.unwrap_or_default()).await;
                for instance in &instances_hit {
                    let _ = sidecars[*instance].lock().await.signal(Signal::CONT);
                }
                sleep(RESUME_DELAY).await;
                instances_hit
                    .iter()
                    .for_each(|instance| clients.targets[*instance].away.store(false, Relaxed));
            }
            FleetFaultKind::HoldBackCalls => {
                self.resource.delay_calls(index, instances_hit);
                sleep(duration.unwrap_or_default()).await;
                self.resource.release_calls(index);
            }
            kind => {
                let membership = |list: &[usize]| {
                    (0..instances)
                        .map(|instance| list.contains(&instance))
                        .collect::<Vec<_>>()
                };
                let from = membership(&instances_hit);
                let to = match &fault.others {
                    Some(others) => membership(others),
                    None if instances_hit.len() == instances => vec![true; instances],
                    None => from.iter().map(|member| !member).collect(),
                };
                self.peers.begin_fault(index, from, to, kind);
                if let Some(duration) = duration {
                    sleep(duration).await;
                    self.peers.end_fault(index).await;
                }
            }
        }
    }

    /// Operators request maintenance of machines, work on each that is reported as at work, and report its end.
    pub fn schedule_maintenance(self: &Arc<Self>, sidecars: &Sidecars) {
        let Some(maintenance) = self.plan.maintenance.clone() else {
            return;
        };
        for (number, (at, instance, endpoints)) in maintenance.requests.into_iter().enumerate() {
            let (environment, sidecars) = (Arc::clone(self), Arc::clone(sidecars));
            tokio::spawn(async move {
                sleep_until(environment.run_state.instant(at)).await;
                let machines: Vec<String> = endpoints
                    .iter()
                    .map(|endpoint| format!("e{endpoint}"))
                    .collect();
                let body = json!({ "machines": machines, "for_s": 3600, "name": format!("request {number}") });
                environment
                    .call_until_accepted(
                        &sidecars,
                        instance,
                        "POST",
                        "/admin/work",
                        &body.to_string(),
                    )
                    .await;
            });
        }
        let (environment, sidecars) = (Arc::clone(self), Arc::clone(sidecars));
        tokio::spawn(async move {
            environment
                .perform_maintenance(sidecars, maintenance.duration)
                .await
        });
    }

    /// Calls the management endpoint of a sidecar until the call is accepted or conflicts; where one does not answer,
    /// the next ones are tried in turn.
    async fn call_until_accepted(
        &self,
        sidecars: &Sidecars,
        first: usize,
        method: &str,
        path: &str,
        body: &str,
    ) {
        for instance in first.. {
            let address = management_address(sidecars, instance % sidecars.len()).await;
            if let Some(address) = address
                && let Some((200 | 409, _)) = call_management(&address, method, path, body).await
            {
                return;
            }
            sleep(OPERATOR_INTERVAL).await;
        }
    }

    async fn perform_maintenance(self: Arc<Self>, sidecars: Sidecars, duration: Duration) {
        let mut started: Vec<String> = Vec::new();
        for instance in 0.. {
            sleep(OPERATOR_INTERVAL).await;
            let Some(address) = management_address(&sidecars, instance % sidecars.len()).await
            else {
                continue;
            };
            let Some((200, answer)) = call_management(&address, "GET", "/admin/work", "").await
            else {
                continue;
            };
            if answer["conducts"] == true {
                self.coordinator.store(instance % sidecars.len(), Relaxed);
            }
            for entry in answer["order"].as_array().into_iter().flatten() {
                // Each time that a machine is reported as at work, its maintenance is performed once.
                let key = format!("{} {}", entry["machine"], entry["place"]);
                if entry["state"] != "at work" || started.contains(&key) {
                    continue;
                }
                started.push(key);
                let machine = entry["machine"].as_str().unwrap_or_default().to_string();
                let Some(endpoint) = machine
                    .strip_prefix('e')
                    .and_then(|digits| digits.parse().ok())
                else {
                    continue;
                };
                let (environment, sidecars, from) = (
                    Arc::clone(&self),
                    Arc::clone(&sidecars),
                    self.run_state.now(),
                );
                tokio::spawn(async move {
                    sleep(duration).await;
                    let to = environment.run_state.now();
                    lock(&environment.maintenance).push(MaintenanceInterval { endpoint, from, to });
                    let body = json!({ "machine": machine }).to_string();
                    environment
                        .call_until_accepted(&sidecars, instance, "POST", "/admin/work/done", &body)
                        .await;
                });
            }
        }
    }

    /// The results of a run, for the checks.
    pub fn results(&self, length: Duration) -> FleetResults {
        FleetResults {
            acts: self.resource.acts(),
            datagrams_sent: self
                .peers
                .counts()
                .iter()
                .zip(lock(&self.sent_before_run).iter())
                .map(|(now, before)| now - before)
                .collect(),
            longest_datagram_bytes: self.peers.longest.load(Relaxed),
            seconds: self.run_state.now().max(length).as_secs_f64(),
            maintenance: lock(&self.maintenance).clone(),
            fault_hits: self.peers.hits() + self.resource.hits() + self.hits.load(Relaxed),
            ..FleetResults::default()
        }
    }
}

/// None while the sidecar is down: its lock is held for as long as it is killed or stopped.
async fn management_address(sidecars: &Sidecars, instance: usize) -> Option<String> {
    sidecars[instance].try_lock().ok()?.management_address()
}
