//! The resource that owners of leased roles act on: it keeps the highest epoch seen for each role, and records each
//! accepted and each refused act.

use super::http::{HttpConnection, response};
use super::run_state::{RunState, lock, loopback_address};
use crate::fleet::{Act, FleetPlan};
use passroad_lease::Fence;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// A resource behind HTTP that refuses acts of old epochs, unless the plan disables the fence.
pub struct FencedResource {
    pub address: SocketAddr,
    run_state: Arc<RunState>,
    plan: FleetPlan,
    fence: Mutex<Fence>,
    acts: Mutex<Vec<Act>>,
    /// The instances whose calls are held back, by the number of the fault.
    delayed: watch::Sender<Vec<(usize, Vec<usize>)>>,
    /// How often a fault held a call back.
    hits: Mutex<usize>,
}

impl FencedResource {
    pub async fn start(
        run_state: &Arc<RunState>,
        plan: &FleetPlan,
    ) -> io::Result<Arc<FencedResource>> {
        let listener = TcpListener::bind(SocketAddr::new(loopback_address(244, 0), 0)).await?;
        let resource = Arc::new(FencedResource {
            address: listener.local_addr()?,
            run_state: Arc::clone(run_state),
            plan: plan.clone(),
            fence: Mutex::default(),
            acts: Mutex::default(),
            delayed: watch::channel(Vec::new()).0,
            hits: Mutex::default(),
        });
        let accepting = Arc::clone(&resource);
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let resource = Arc::clone(&accepting);
                    tokio::spawn(async move { resource.serve(stream).await });
                }
            }
        });
        Ok(resource)
    }

    async fn serve(&self, stream: TcpStream) {
        let mut connection = HttpConnection::new(stream);
        while let Ok(Some(call)) = connection.read_request().await {
            let header = |name| call.header(name).map(str::to_string).unwrap_or_default();
            let role = self
                .plan
                .leased_roles
                .iter()
                .position(|role| role.name == header("duty"));
            let (epoch, owner) = (
                header("epoch").parse::<u64>(),
                header("owner").parse::<usize>(),
            );
            let (Some(role), Ok(epoch), Ok(owner)) = (role, epoch, owner) else {
                let _ = connection.write(&response("400 Bad Request", "", "")).await;
                return;
            };
            // A call that has arrived is carried out, whether or not its caller still waits.
            self.wait_until_released(owner).await;
            sleep(self.plan.leased_roles[role].act_duration).await;
            let answer = match self.commit(role, epoch, owner) {
                None => response("200 OK", "", ""),
                Some(highest) => response("409 Conflict", &format!("Epoch: {highest}\r\n"), ""),
            };
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }

    /// Returns when no fault holds back the calls of this owner.
    async fn wait_until_released(&self, owner: usize) {
        let mut delayed = self.delayed.subscribe();
        let is_delayed = |delayed: &Vec<(usize, Vec<usize>)>| {
            delayed.iter().any(|(_, owners)| owners.contains(&owner))
        };
        if is_delayed(&delayed.borrow()) {
            *lock(&self.hits) += 1;
        }
        // The sender lives as long as the resource, so this can't fail.
        let _ = delayed.wait_for(|delayed| !is_delayed(delayed)).await;
    }

    /// Records an act; the highest epoch seen where the act is refused because of it.
    fn commit(&self, role: usize, epoch: u64, owner: usize) -> Option<u64> {
        let (mut fence, mut acts) = (lock(&self.fence), lock(&self.acts));
        let accepted = fence.admit(role as u64, epoch, owner as u16).is_ok() || !self.plan.fence;
        acts.push(Act {
            time: self.run_state.now(),
            role,
            epoch,
            owner,
            accepted,
        });
        fence
            .highest(role as u64)
            .map(|(highest, _)| highest)
            .filter(|_| !accepted)
    }

    pub fn delay_calls(&self, fault: usize, owners: Vec<usize>) {
        self.delayed
            .send_modify(|delayed| delayed.push((fault, owners)));
    }

    pub fn release_calls(&self, fault: usize) {
        self.delayed
            .send_modify(|delayed| delayed.retain(|(by, _)| *by != fault));
    }

    /// The owner whose act was accepted last.
    pub fn last_owner(&self) -> Option<usize> {
        lock(&self.acts)
            .iter()
            .rev()
            .find(|act| act.accepted)
            .map(|act| act.owner)
    }

    pub fn acts(&self) -> Vec<Act> {
        lock(&self.acts).clone()
    }

    /// How often a fault held a call back.
    pub fn hits(&self) -> usize {
        *lock(&self.hits)
    }
}
