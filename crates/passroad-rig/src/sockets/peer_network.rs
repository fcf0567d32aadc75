//! The network between communicating sidecars: each has a proxy address by which the others know it, so that any
//! datagram can be lost, delayed, duplicated, cut off in one direction or held back.

use super::run_state::{lock, loopback_address};
use crate::fleet::FleetFaultKind;
use crate::fleet::datagram_faults::DatagramFaults;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Longer than any datagram between sidecars may be, so that an oversized one is noticed.
const BUFFER_BYTES: usize = 2048;

/// Forwards all datagrams between sidecars, subject to the faults in force.
pub struct PeerNetwork {
    /// The address on which each sidecar listens.
    pub real: Vec<SocketAddr>,
    /// The proxy address by which the others know it.
    pub proxies: Vec<SocketAddr>,
    /// The address that forwards a datagram to all others.
    pub all: SocketAddr,
    sockets: Vec<UdpSocket>,
    datagram_faults: Mutex<DatagramFaults>,
    /// Datagrams that each sidecar has sent.
    pub sent: Vec<AtomicU64>,
    /// Bytes of the longest datagram.
    pub longest: AtomicUsize,
}

impl PeerNetwork {
    pub async fn start(instances: usize, seed: u64) -> io::Result<Arc<PeerNetwork>> {
        let (mut real, mut sockets) = (Vec::new(), Vec::new());
        for instance in 0..instances {
            // A port that is free at this address now; no other process uses the addresses of this rig.
            real.push(
                std::net::UdpSocket::bind(SocketAddr::new(loopback_address(247, instance), 0))?
                    .local_addr()?,
            );
            sockets
                .push(UdpSocket::bind(SocketAddr::new(loopback_address(246, instance), 0)).await?);
        }
        let proxies = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let to_all = UdpSocket::bind(SocketAddr::new(loopback_address(245, 0), 0)).await?;
        let peers = Arc::new(PeerNetwork {
            real,
            proxies,
            all: to_all.local_addr()?,
            sockets,
            datagram_faults: Mutex::new(DatagramFaults::new(seed)),
            sent: (0..instances).map(|_| AtomicU64::new(0)).collect(),
            longest: AtomicUsize::new(0),
        });
        let instance_of: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            peers
                .real
                .iter()
                .enumerate()
                .map(|(instance, address)| (*address, instance))
                .collect(),
        );
        for to in 0..instances {
            let (network, instance_of) = (Arc::clone(&peers), Arc::clone(&instance_of));
            tokio::spawn(async move {
                let mut bytes = vec![0; BUFFER_BYTES];
                loop {
                    // An error here concerns an earlier datagram that was refused: its receiver is down.
                    if let Ok((count, from)) = network.sockets[to].recv_from(&mut bytes).await
                        && let Some(from) = instance_of.get(&from)
                    {
                        network.forward(*from, to, &bytes[..count]).await;
                    }
                }
            });
        }
        let (network, instance_of) = (Arc::clone(&peers), instance_of);
        tokio::spawn(async move {
            let mut bytes = vec![0; BUFFER_BYTES];
            loop {
                if let Ok((count, from)) = to_all.recv_from(&mut bytes).await
                    && let Some(from) = instance_of.get(&from)
                {
                    for to in (0..network.real.len()).filter(|to| to != from) {
                        network.forward(*from, to, &bytes[..count]).await;
                    }
                }
            }
        });
        Ok(peers)
    }

    /// Counts a datagram and delivers it as often and as late as the faults in force demand.
    async fn forward(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        self.sent[from].fetch_add(1, Relaxed);
        self.longest.fetch_max(bytes.len(), Relaxed);
        let delays = lock(&self.datagram_faults).delivery_delays(from, to, bytes);
        for delay in delays {
            if delay.is_zero() {
                self.deliver(from, to, bytes).await;
            } else {
                let (network, bytes) = (Arc::clone(self), bytes.to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    network.deliver(from, to, &bytes).await;
                });
            }
        }
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[from].send_to(bytes, self.real[to]).await;
    }

    pub fn begin_fault(&self, id: usize, from: Vec<bool>, to: Vec<bool>, kind: FleetFaultKind) {
        lock(&self.datagram_faults).begin_fault(id, from, to, kind);
    }

    /// Ends a fault and delivers the datagrams that it held back.
    pub async fn end_fault(&self, id: usize) {
        let held_back = lock(&self.datagram_faults).end_fault(id);
        for (from, to, bytes) in held_back {
            self.deliver(from, to, &bytes).await;
        }
    }

    /// How often a fault took effect.
    pub fn hits(&self) -> usize {
        lock(&self.datagram_faults).hits
    }

    /// Datagrams sent by each sidecar so far.
    pub fn counts(&self) -> Vec<u64> {
        self.sent.iter().map(|sent| sent.load(Relaxed)).collect()
    }
}
