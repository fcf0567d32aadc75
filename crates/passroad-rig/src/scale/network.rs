//! The network between the sidecars of a scale run: each has a proxy address by which the others know it. Datagrams are
//! delayed by the location of both ends, lost across a cut, and counted by channel.

use super::plan::{CutDirection, ScalePlan};
use super::{lock, loopback_address};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Longer than any datagram between sidecars may be, so that an oversized one is noticed.
const BUFFER_BYTES: usize = 2048;
/// Channels of datagrams: membership, leases and maintenance; the last channel counts the calls to discovery.
pub const MEMBERSHIP: usize = 0;
pub const LEASES: usize = 1;
pub const MAINTENANCE: usize = 2;
pub const DISCOVERY: usize = 3;
pub const CHANNEL_COUNT: usize = 4;

/// Bytes and messages of one sidecar, in and out, by channel; payload only, without IP, UDP and TCP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    pub bytes_in: [u64; CHANNEL_COUNT],
    pub bytes_out: [u64; CHANNEL_COUNT],
    pub messages_in: [u64; CHANNEL_COUNT],
    pub messages_out: [u64; CHANNEL_COUNT],
}

#[derive(Debug, Default)]
pub struct TrafficCounter {
    bytes_in: [AtomicU64; CHANNEL_COUNT],
    bytes_out: [AtomicU64; CHANNEL_COUNT],
    messages_in: [AtomicU64; CHANNEL_COUNT],
    messages_out: [AtomicU64; CHANNEL_COUNT],
}

impl TrafficCounter {
    pub fn count_in(&self, channel: usize, bytes: usize) {
        self.bytes_in[channel].fetch_add(bytes as u64, Relaxed);
        self.messages_in[channel].fetch_add(1, Relaxed);
    }

    pub fn count_out(&self, channel: usize, bytes: usize) {
        self.bytes_out[channel].fetch_add(bytes as u64, Relaxed);
        self.messages_out[channel].fetch_add(1, Relaxed);
    }

    pub fn read(&self) -> Traffic {
        let load = |counters: &[AtomicU64; CHANNEL_COUNT]| {
            std::array::from_fn(|channel| counters[channel].load(Relaxed))
        };
        Traffic {
            bytes_in: load(&self.bytes_in),
            bytes_out: load(&self.bytes_out),
            messages_in: load(&self.messages_in),
            messages_out: load(&self.messages_out),
        }
    }
}

/// A network cut between the sidecars inside and all others.
#[derive(Debug, Clone)]
struct Cut {
    inside: Vec<bool>,
    direction: CutDirection,
}

/// Forwards all datagrams between the sidecars.
pub struct SidecarNetwork {
    plan: ScalePlan,
    /// The address on which each sidecar listens.
    pub real: Vec<SocketAddr>,
    /// The proxy address by which the others know it.
    pub proxies: Vec<SocketAddr>,
    pub counters: Vec<TrafficCounter>,
    /// Bytes of the longest datagram.
    pub longest: AtomicUsize,
    sockets: Vec<UdpSocket>,
    cut: Mutex<Option<Cut>>,
}

impl SidecarNetwork {
    pub async fn start(plan: &ScalePlan, sidecars: usize) -> io::Result<Arc<SidecarNetwork>> {
        let (mut real, mut sockets) = (Vec::new(), Vec::new());
        for sidecar in 0..sidecars {
            // A port that is free at this address now; no other process uses the addresses of this rig.
            real.push(
                std::net::UdpSocket::bind(SocketAddr::new(loopback_address(0, sidecar), 0))?
                    .local_addr()?,
            );
            sockets.push(UdpSocket::bind(SocketAddr::new(loopback_address(1, sidecar), 0)).await?);
        }
        let proxies = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let network = Arc::new(SidecarNetwork {
            plan: plan.clone(),
            real,
            proxies,
            counters: (0..sidecars).map(|_| TrafficCounter::default()).collect(),
            longest: AtomicUsize::new(0),
            sockets,
            cut: Mutex::default(),
        });
        let sidecar_of: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            network
                .real
                .iter()
                .enumerate()
                .map(|(sidecar, address)| (*address, sidecar))
                .collect(),
        );
        for to in 0..sidecars {
            let (network, sidecar_of) = (Arc::clone(&network), Arc::clone(&sidecar_of));
            tokio::spawn(async move {
                let mut bytes = vec![0; BUFFER_BYTES];
                loop {
                    // An error here concerns an earlier datagram that was refused: its receiver is down.
                    if let Ok((count, from)) = network.sockets[to].recv_from(&mut bytes).await
                        && let Some(from) = sidecar_of.get(&from)
                    {
                        network.forward(*from, to, &bytes[..count]).await;
                    }
                }
            });
        }
        Ok(network)
    }

    async fn forward(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        // The channel is the fourth byte of the frame; shorter datagrams count for the first channel.
        let channel = bytes
            .get(3)
            .map_or(MEMBERSHIP, |channel| usize::from(*channel).min(MAINTENANCE));
        self.counters[from].count_out(channel, bytes.len());
        self.longest.fetch_max(bytes.len(), Relaxed);
        if self.is_lost(from, to) {
            return;
        }
        let delay = self.plan.one_way_delay(from, to);
        if delay.is_zero() {
            self.deliver(channel, from, to, bytes).await;
        } else {
            let (network, bytes) = (Arc::clone(self), bytes.to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                network.deliver(channel, from, to, &bytes).await;
            });
        }
    }

    async fn deliver(&self, channel: usize, from: usize, to: usize, bytes: &[u8]) {
        self.counters[to].count_in(channel, bytes.len());
        let _ = self.sockets[from].send_to(bytes, self.real[to]).await;
    }

    fn is_lost(&self, from: usize, to: usize) -> bool {
        lock(&self.cut).as_ref().is_some_and(|cut| {
            let (from_inside, to_inside) = (cut.inside[from], cut.inside[to]);
            from_inside != to_inside
                && (cut.direction == CutDirection::Both
                    || (cut.direction == CutDirection::Out) == from_inside)
        })
    }

    /// Whether datagrams between two sidecars are lost in at least one direction.
    pub fn is_cut_between(&self, first: usize, second: usize) -> bool {
        lock(&self.cut)
            .as_ref()
            .is_some_and(|cut| cut.inside[first] != cut.inside[second])
    }

    /// Discovery is located beside the first sidecar; a cut in either direction prevents its answers.
    pub fn is_cut_from_discovery(&self, sidecar: usize) -> bool {
        self.is_cut_between(0, sidecar)
    }

    pub fn begin_cut(&self, inside: Vec<bool>, direction: CutDirection) {
        *lock(&self.cut) = Some(Cut { inside, direction });
    }

    pub fn end_cut(&self) {
        *lock(&self.cut) = None;
    }
}
