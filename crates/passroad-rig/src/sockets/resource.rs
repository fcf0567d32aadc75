//! What duties act on: it keeps the highest epoch it has seen of each, and writes each act and refusal down.

use super::http::{Talk, answer};
use super::scene::{Scene, address, held};
use crate::fleet::{Act, FleetPlan};
use passroad_lease::Fence;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

pub struct Resource {
    pub address: SocketAddr,
    scene: Arc<Scene>,
    plan: FleetPlan,
    fence: Mutex<Fence>,
    acts: Mutex<Vec<Act>>,
    /// Whose calls are held back, by which fault.
    kept: watch::Sender<Vec<(usize, Vec<usize>)>>,
    hits: Mutex<usize>,
}

impl Resource {
    pub async fn start(scene: &Arc<Scene>, plan: &FleetPlan) -> io::Result<Arc<Resource>> {
        let listener = TcpListener::bind(SocketAddr::new(address(244, 0), 0)).await?;
        let resource = Arc::new(Resource {
            address: listener.local_addr()?,
            scene: Arc::clone(scene),
            plan: plan.clone(),
            fence: Mutex::default(),
            acts: Mutex::default(),
            kept: watch::channel(Vec::new()).0,
            hits: Mutex::default(),
        });
        let own = Arc::clone(&resource);
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let own = Arc::clone(&own);
                    tokio::spawn(async move { own.serve(stream).await });
                }
            }
        });
        Ok(resource)
    }

    async fn serve(&self, stream: TcpStream) {
        let mut talk = Talk::new(stream);
        while let Ok(Some(call)) = talk.request().await {
            let header = |name| call.header(name).map(str::to_string).unwrap_or_default();
            let duty = self
                .plan
                .duties
                .iter()
                .position(|duty| duty.name == header("duty"));
            let (epoch, owner) = (
                header("epoch").parse::<u64>(),
                header("owner").parse::<usize>(),
            );
            let (Some(duty), Ok(epoch), Ok(owner)) = (duty, epoch, owner) else {
                let _ = talk.write(&answer("400 Bad Request", "", "")).await;
                return;
            };
            // What has come is done, whether or not its caller still waits.
            self.arrives(owner).await;
            sleep(self.plan.duties[duty].work).await;
            let said = match self.commit(duty, epoch, owner) {
                None => answer("200 OK", "", ""),
                Some(highest) => answer("409 Conflict", &format!("Epoch: {highest}\r\n"), ""),
            };
            if talk.write(&said).await.is_err() {
                return;
            }
        }
    }

    /// Ends when no fault holds this one's calls back.
    async fn arrives(&self, owner: usize) {
        let mut kept = self.kept.subscribe();
        let holds =
            |kept: &Vec<(usize, Vec<usize>)>| kept.iter().any(|(_, whose)| whose.contains(&owner));
        if holds(&kept.borrow()) {
            *held(&self.hits) += 1;
        }
        // The sender lives as long as this does.
        let _ = kept.wait_for(|kept| !holds(kept)).await;
    }

    /// The highest epoch seen, where that refuses this one.
    fn commit(&self, duty: usize, epoch: u64, owner: usize) -> Option<u64> {
        let (mut fence, mut acts) = (held(&self.fence), held(&self.acts));
        let accepted = fence.admit(duty as u64, epoch, owner as u16).is_ok() || !self.plan.fence;
        acts.push(Act {
            at: self.scene.now(),
            duty,
            epoch,
            owner,
            accepted,
        });
        fence
            .highest(duty as u64)
            .map(|(highest, _)| highest)
            .filter(|_| !accepted)
    }

    pub fn keep(&self, id: usize, whose: Vec<usize>) {
        self.kept.send_modify(|kept| kept.push((id, whose)));
    }

    pub fn let_go(&self, id: usize) {
        self.kept
            .send_modify(|kept| kept.retain(|(of, _)| *of != id));
    }

    /// Whose act was last accepted.
    pub fn owner(&self) -> Option<usize> {
        held(&self.acts)
            .iter()
            .rev()
            .find(|act| act.accepted)
            .map(|act| act.owner)
    }

    pub fn acts(&self) -> Vec<Act> {
        held(&self.acts).clone()
    }

    pub fn hits(&self) -> usize {
        *held(&self.hits)
    }
}
