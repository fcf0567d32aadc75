//! What lies between the sidecars of a scale run: a shadow address for each, by which the others know it. The way takes its
//! time by place, may be cut, and each datagram is counted by its channel.

use super::plan::{ScalePlan, Way};
use super::{held, place};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Longer than any datagram between sidecars may be, so that a longer one is seen.
const ROOM: usize = 2048;
/// Channels of datagrams, and behind them the calls at discovery.
pub const PEERS: usize = 0;
pub const LEASES: usize = 1;
pub const WORK: usize = 2;
pub const LIST: usize = 3;
pub const CHANNELS: usize = 4;

/// Bytes and messages of one sidecar, in and out, by channel; payload, without the heads of IP, UDP and TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counted {
    pub bytes_in: [u64; CHANNELS],
    pub bytes_out: [u64; CHANNELS],
    pub messages_in: [u64; CHANNELS],
    pub messages_out: [u64; CHANNELS],
}

#[derive(Debug, Default)]
pub struct Counter {
    bytes_in: [AtomicU64; CHANNELS],
    bytes_out: [AtomicU64; CHANNELS],
    messages_in: [AtomicU64; CHANNELS],
    messages_out: [AtomicU64; CHANNELS],
}

impl Counter {
    pub fn came(&self, channel: usize, bytes: usize) {
        self.bytes_in[channel].fetch_add(bytes as u64, Relaxed);
        self.messages_in[channel].fetch_add(1, Relaxed);
    }

    pub fn went(&self, channel: usize, bytes: usize) {
        self.bytes_out[channel].fetch_add(bytes as u64, Relaxed);
        self.messages_out[channel].fetch_add(1, Relaxed);
    }

    pub fn read(&self) -> Counted {
        let all = |of: &[AtomicU64; CHANNELS]| std::array::from_fn(|n| of[n].load(Relaxed));
        Counted {
            bytes_in: all(&self.bytes_in),
            bytes_out: all(&self.bytes_out),
            messages_in: all(&self.messages_in),
            messages_out: all(&self.messages_out),
        }
    }
}

/// Who is on the inside of a cut.
#[derive(Debug, Clone)]
struct Cut {
    inside: Vec<bool>,
    way: Way,
}

pub struct Wires {
    plan: ScalePlan,
    /// Where each listens.
    pub real: Vec<SocketAddr>,
    /// By which the others know it.
    pub shadow: Vec<SocketAddr>,
    pub counters: Vec<Counter>,
    pub longest: AtomicUsize,
    sockets: Vec<UdpSocket>,
    cut: Mutex<Option<Cut>>,
}

impl Wires {
    pub async fn start(plan: &ScalePlan, sidecars: usize) -> io::Result<Arc<Wires>> {
        let (mut real, mut sockets) = (Vec::new(), Vec::new());
        for n in 0..sidecars {
            // A port that is free at this address now; nobody else comes to an address of this rig.
            real.push(std::net::UdpSocket::bind(SocketAddr::new(place(0, n), 0))?.local_addr()?);
            sockets.push(UdpSocket::bind(SocketAddr::new(place(1, n), 0)).await?);
        }
        let shadow = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let wires = Arc::new(Wires {
            plan: plan.clone(),
            real,
            shadow,
            counters: (0..sidecars).map(|_| Counter::default()).collect(),
            longest: AtomicUsize::new(0),
            sockets,
            cut: Mutex::default(),
        });
        let numbers: Arc<HashMap<SocketAddr, usize>> = Arc::new(
            wires
                .real
                .iter()
                .enumerate()
                .map(|(n, at)| (*at, n))
                .collect(),
        );
        for to in 0..sidecars {
            let (own, numbers) = (Arc::clone(&wires), Arc::clone(&numbers));
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
        Ok(wires)
    }

    async fn pass(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        // The fourth byte of the frame; what has none is of the first channel.
        let channel = bytes
            .get(3)
            .map_or(PEERS, |channel| usize::from(*channel).min(WORK));
        self.counters[from].went(channel, bytes.len());
        self.longest.fetch_max(bytes.len(), Relaxed);
        if self.lost(from, to) {
            return;
        }
        let way = self.plan.way(from, to);
        if way.is_zero() {
            self.deliver(channel, from, to, bytes).await;
        } else {
            let (own, bytes) = (Arc::clone(self), bytes.to_vec());
            tokio::spawn(async move {
                sleep(way).await;
                own.deliver(channel, from, to, &bytes).await;
            });
        }
    }

    async fn deliver(&self, channel: usize, from: usize, to: usize, bytes: &[u8]) {
        self.counters[to].came(channel, bytes.len());
        let _ = self.sockets[from].send_to(bytes, self.real[to]).await;
    }

    fn lost(&self, from: usize, to: usize) -> bool {
        held(&self.cut).as_ref().is_some_and(|cut| {
            let (a, b) = (cut.inside[from], cut.inside[to]);
            a != b && (cut.way == Way::Both || (cut.way == Way::Out) == a)
        })
    }

    /// Whether two lose each other, in one direction at least.
    pub fn parted(&self, a: usize, b: usize) -> bool {
        held(&self.cut)
            .as_ref()
            .is_some_and(|cut| cut.inside[a] != cut.inside[b])
    }

    /// Discovery stands beside the first sidecar; no answer comes through a cut of either direction.
    pub fn parted_from_discovery(&self, n: usize) -> bool {
        self.parted(0, n)
    }

    pub fn cut(&self, inside: Vec<bool>, way: Way) {
        *held(&self.cut) = Some(Cut { inside, way });
    }

    pub fn heal(&self) {
        *held(&self.cut) = None;
    }
}
