//! What lies between sidecars that talk: a shadow address for each, by which the others know it, so that any datagram can
//! be lost, late, doubled, cut off in one direction or kept.

use super::scene::{address, held};
use crate::fleet::What;
use crate::fleet::wires::Wires;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Longer than any datagram between sidecars may be, so that a longer one is seen.
const ROOM: usize = 2048;

pub struct Peers {
    /// Where each listens.
    pub real: Vec<SocketAddr>,
    /// By which the others know it.
    pub shadow: Vec<SocketAddr>,
    pub all: SocketAddr,
    sockets: Vec<UdpSocket>,
    wires: Mutex<Wires>,
    pub sent: Vec<AtomicU64>,
    pub longest: AtomicUsize,
}

impl Peers {
    pub async fn start(instances: usize, seed: u64) -> io::Result<Arc<Peers>> {
        let (mut real, mut sockets) = (Vec::new(), Vec::new());
        for n in 0..instances {
            // A port that is free at this address now; nobody else comes to an address of this rig.
            real.push(
                std::net::UdpSocket::bind(SocketAddr::new(address(247, n), 0))?.local_addr()?,
            );
            sockets.push(UdpSocket::bind(SocketAddr::new(address(246, n), 0)).await?);
        }
        let shadow = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let to_all = UdpSocket::bind(SocketAddr::new(address(245, 0), 0)).await?;
        let peers = Arc::new(Peers {
            real,
            shadow,
            all: to_all.local_addr()?,
            sockets,
            wires: Mutex::new(Wires::new(seed)),
            sent: (0..instances).map(|_| AtomicU64::new(0)).collect(),
            longest: AtomicUsize::new(0),
        });
        let numbers: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            peers
                .real
                .iter()
                .enumerate()
                .map(|(n, at)| (*at, n))
                .collect(),
        );
        for to in 0..instances {
            let (own, numbers) = (Arc::clone(&peers), Arc::clone(&numbers));
            tokio::spawn(async move {
                let mut bytes = vec![0; ROOM];
                loop {
                    // An error is of a datagram that nobody took: its receiver is down.
                    if let Ok((count, from)) = own.sockets[to].recv_from(&mut bytes).await
                        && let Some(from) = numbers.get(&from)
                    {
                        own.pass(*from, to, &bytes[..count]).await;
                    }
                }
            });
        }
        let (own, numbers) = (Arc::clone(&peers), numbers);
        tokio::spawn(async move {
            let mut bytes = vec![0; ROOM];
            loop {
                if let Ok((count, from)) = to_all.recv_from(&mut bytes).await
                    && let Some(from) = numbers.get(&from)
                {
                    for to in (0..own.real.len()).filter(|to| to != from) {
                        own.pass(*from, to, &bytes[..count]).await;
                    }
                }
            }
        });
        Ok(peers)
    }

    async fn pass(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        self.sent[from].fetch_add(1, Relaxed);
        self.longest.fetch_max(bytes.len(), Relaxed);
        let arrives = held(&self.wires).pass(from, to, bytes);
        for after in arrives {
            if after.is_zero() {
                self.deliver(from, to, bytes).await;
            } else {
                let (own, bytes) = (Arc::clone(self), bytes.to_vec());
                tokio::spawn(async move {
                    sleep(after).await;
                    own.deliver(from, to, &bytes).await;
                });
            }
        }
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[from].send_to(bytes, self.real[to]).await;
    }

    pub fn begin(&self, id: usize, from: Vec<bool>, to: Vec<bool>, what: What) {
        held(&self.wires).begin(id, from, to, what);
    }

    pub async fn end(&self, id: usize) {
        let kept = held(&self.wires).end(id);
        for (from, to, bytes) in kept {
            self.deliver(from, to, &bytes).await;
        }
    }

    pub fn hits(&self) -> usize {
        held(&self.wires).hits
    }

    pub fn counts(&self) -> Vec<u64> {
        self.sent.iter().map(|sent| sent.load(Relaxed)).collect()
    }
}
