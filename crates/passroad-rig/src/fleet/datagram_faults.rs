//! Applies the active faults to datagrams: loss, delay, duplication and holding back. Used on sockets and in virtual
//! time.

use super::FleetFaultKind;
use crate::rng::SeededRng;
use std::time::Duration;

#[derive(Debug)]
struct Fault {
    id: usize,
    from: Vec<bool>,
    to: Vec<bool>,
    kind: FleetFaultKind,
}

/// A datagram that is held back until a fault ends.
type HeldDatagram = (usize, usize, usize, Vec<u8>); // fault, from, to, bytes

#[derive(Debug)]
pub struct DatagramFaults {
    faults: Vec<Fault>,
    held_back: Vec<HeldDatagram>,
    rng: SeededRng,
    /// How often a fault took effect.
    pub hits: usize,
}

impl DatagramFaults {
    pub fn new(seed: u64) -> Self {
        DatagramFaults {
            faults: Vec::new(),
            held_back: Vec::new(),
            rng: SeededRng::stream(seed, "wires", 0),
            hits: 0,
        }
    }

    /// Begins a fault of datagrams between two groups of sidecars.
    pub fn begin_fault(&mut self, id: usize, from: Vec<bool>, to: Vec<bool>, kind: FleetFaultKind) {
        self.faults.push(Fault { id, from, to, kind });
    }

    /// Ends a fault; returns the datagrams that it held back, in the order in which they were sent.
    pub fn end_fault(&mut self, id: usize) -> Vec<(usize, usize, Vec<u8>)> {
        self.faults.retain(|fault| fault.id != id);
        let (released, held_back) = std::mem::take(&mut self.held_back)
            .into_iter()
            .partition(|(fault, ..)| *fault == id);
        self.held_back = held_back;
        let released: Vec<HeldDatagram> = released;
        released
            .into_iter()
            .map(|(_, from, to, bytes)| (from, to, bytes))
            .collect()
    }

    /// The delays after which a datagram arrives: none if it is lost or held back, several if it is duplicated.
    pub fn delivery_delays(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<Duration> {
        let mut delays = vec![Duration::ZERO];
        for fault in &self.faults {
            let forward = fault.from[from] && fault.to[to];
            let backward = fault.from[to] && fault.to[from];
            let hit = match fault.kind {
                FleetFaultKind::Cut { out, back } => {
                    let cut = out && forward || back && backward;
                    if cut {
                        delays.clear();
                    }
                    cut
                }
                _ if !(forward || backward) => false,
                FleetFaultKind::Loss(share) => {
                    let lost = self.rng.uniform() < share;
                    if lost {
                        delays.clear();
                    }
                    lost
                }
                FleetFaultKind::Delay {
                    delay: added,
                    jitter,
                } => {
                    delays
                        .iter_mut()
                        .for_each(|delay| *delay += added + jitter.mul_f64(self.rng.uniform()));
                    true
                }
                FleetFaultKind::Duplication(share) => {
                    let duplicated = self.rng.uniform() < share && !delays.is_empty();
                    if duplicated {
                        let extra = Duration::from_millis(self.rng.below(50) as u64);
                        delays.push(delays[0] + extra);
                    }
                    duplicated
                }
                FleetFaultKind::HoldBack => {
                    if !delays.is_empty() {
                        delays.clear();
                        self.held_back.push((fault.id, from, to, bytes.to_vec()));
                    }
                    true
                }
                _ => false,
            };
            self.hits += usize::from(hit);
        }
        delays
    }
}

#[cfg(test)]
mod tests;
